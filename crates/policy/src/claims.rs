//! At-most-once execution: a non-repeatable request runs only after its key has been claimed.
//!
//! A claim is a row of the table service, written on condition of the row's version. Rows are kept
//! until the end of their retention, so that a delayed transaction finds a newer version and fails.

use crate::claim_event::{
    ClaimAction, ClaimConfig, ClaimCounts, ClaimEvent, ClaimRequest, CommitFailure, VersionedRow,
};
use crate::claim_op::{Claim, Finish, Insert, Op, Plan, Void};
use crate::claim_row::{ClaimRow, ClaimState, CompleteAnswer, StoredAnswer, row_key};
use crate::claim_store::{BatchResult, ClaimStoreClient};
use crate::claim_sweep::ClaimSweep;
use proto::RefusalReason;
use proto::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

const IN_USE_RETRY_AFTER: Duration = Duration::from_secs(1);
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A claim of this agent whose request is running.
#[derive(Debug)]
struct OwnedClaim {
    claim: Claim,
    version: u64,
}

/// State machine for the claims of one agent.
#[derive(Debug)]
pub struct Claims {
    cfg: ClaimConfig,
    queue: VecDeque<Op>,
    store: ClaimStoreClient,
    sweep: ClaimSweep,
    owned: BTreeMap<AttemptId, OwnedClaim>,
    unsaved_bytes: usize,
    nonces: SmallRng,
    counts: ClaimCounts,
}

impl Claims {
    /// Creates the state without any claims.
    pub fn new(cfg: ClaimConfig) -> Self {
        Self {
            store: ClaimStoreClient::new(&cfg),
            sweep: ClaimSweep::new(&cfg),
            nonces: SmallRng::seed_from_u64(cfg.seed),
            cfg,
            queue: VecDeque::new(),
            owned: BTreeMap::new(),
            unsaved_bytes: 0,
            counts: ClaimCounts::default(),
        }
    }

    /// Sets the number of agents of plain services that share the rate limit of the table service.
    pub fn set_agents(&mut self, agents: u32) {
        let cfg = ClaimConfig::for_agents(&self.cfg.node, agents, self.cfg.wall_start, 0);
        self.store.set_interval(cfg.commit_interval);
        self.sweep.set_interval(cfg.sweep_interval);
    }

    /// Checks whether a request that needs a claim may be queued; if not, fails with the time after
    /// which to retry. While the table service fails, such requests take no place in the queue.
    pub fn admit(&self, now: Duration) -> Result<(), Duration> {
        if let Some(backoff) = self.store.backoff_left(now) {
            return Err(backoff);
        }
        if self.pending() >= self.cfg.max_pending {
            return Err(OVERLOAD_RETRY_AFTER);
        }
        Ok(())
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Duration, event: ClaimEvent, out: &mut Vec<ClaimAction>) {
        match event {
            ClaimEvent::Begin(request) => self.begin(now, request, out),
            ClaimEvent::Cancel(attempt) => self.cancel(attempt),
            ClaimEvent::NotSent(attempt) => {
                let reply = (RefusalReason::ServerDown, now + self.cfg.claim_timeout);
                self.void_claim(attempt, Some(reply));
            }
            ClaimEvent::Answered { attempt, answer } => self.on_answered(attempt, &answer),
            ClaimEvent::AnswerLost(attempt) => self.finish(attempt, ClaimState::Broken),
            ClaimEvent::Read { call, rows } => {
                if let Some(ops) = self.store.on_read(call, rows.is_some()) {
                    self.on_rows(now, ops, rows, out);
                }
            }
            ClaimEvent::Committed { call, result } => {
                if let Some(result) = self.store.on_committed(call, result) {
                    self.on_committed(now, result, out);
                }
            }
            ClaimEvent::Scanned { call, rows } => {
                if self.store.on_scanned(call) {
                    self.sweep.on_scanned(self.cfg.wall_start + now, rows);
                }
            }
            ClaimEvent::Tick => {}
        }
        self.expire(now, out);
        self.flush(now, out);
    }

    /// Time at which [`ClaimEvent::Tick`] is due, if nothing happens before.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let waiting = self.queue.iter().chain(self.store.in_flight_ops());
        let reply_by = waiting.filter_map(Op::reply_by).min();
        let flush = (!self.queue.is_empty() && self.store.is_idle()).then(|| self.store.next_at());
        let sweep = self
            .store
            .is_idle()
            .then(|| self.sweep.next_at().max(self.store.next_at()));
        [reply_by, flush, sweep].into_iter().flatten().min()
    }

    /// Number of requests that wait for their claims.
    pub fn pending(&self) -> usize {
        let ops = self.queue.iter().chain(self.store.in_flight_ops());
        ops.filter(|op| op.waits_to_run()).count()
    }

    /// Claimed requests that are running, plus changes not yet written to the table service.
    pub fn unsettled(&self) -> usize {
        self.queue.len() + self.store.in_flight_ops().count() + self.owned.len()
    }

    /// Counters since the start of the process.
    pub fn counts(&self) -> ClaimCounts {
        ClaimCounts {
            commits: self.store.commits(),
            unknown: self.store.unknown(),
            swept: self.sweep.swept(),
            ..self.counts.clone()
        }
    }

    fn begin(&mut self, now: Duration, request: ClaimRequest, out: &mut Vec<ClaimAction>) {
        if let Err(retry_after) = self.admit(now) {
            self.counts.refused += 1;
            out.push(ClaimAction::Refuse {
                attempt: request.attempt,
                reason: RefusalReason::StoreUnavailable,
                retry_after,
            });
            return;
        }
        let reply_by = request.deadline.min(now + self.cfg.claim_timeout);
        let row = ClaimRow {
            node: self.cfg.node.clone(),
            attempt: request.attempt.to_string().into(),
            nonce: self.nonces.random(),
            content: request.content,
            at: (self.cfg.wall_start + now).as_secs(),
            state: ClaimState::Claimed,
        };
        let claim = Claim {
            attempt: request.attempt,
            key: row_key(&request.team, &request.key),
            row,
        };
        self.queue.push_back(Op::Insert(Insert {
            claim,
            reply_by,
            given_up: false,
            maybe_written: false,
        }));
    }

    fn cancel(&mut self, attempt: AttemptId) {
        let ops = self.queue.iter_mut().chain(self.store.in_flight_ops_mut());
        for op in ops {
            if let Op::Insert(insert) = op
                && insert.claim.attempt == attempt
            {
                insert.given_up = true;
            }
        }
        self.void_claim(attempt, None);
    }

    /// Voids a claim of this agent whose request did not run.
    fn void_claim(&mut self, attempt: AttemptId, reply: Option<(RefusalReason, Duration)>) {
        if let Some(owned) = self.owned.remove(&attempt) {
            let claim = owned.claim;
            self.queue.push_back(Op::Void(Void { claim, reply }));
        }
    }

    fn on_answered(&mut self, attempt: AttemptId, answer: &CompleteAnswer) {
        let fits = answer.body.len() <= self.cfg.max_answer_bytes
            && self.unsaved_bytes + answer.body.len() <= self.cfg.max_unsaved_bytes;
        if fits {
            let stored = StoredAnswer::new(answer);
            self.finish(attempt, ClaimState::Finished(stored));
        } else {
            self.counts.answers_lost += 1;
            self.finish(attempt, ClaimState::Broken);
        }
    }

    fn finish(&mut self, attempt: AttemptId, state: ClaimState) {
        let Some(owned) = self.owned.remove(&attempt) else {
            return;
        };
        let finish = Finish {
            key: owned.claim.key,
            version: owned.version,
            value: owned.claim.row.with(state).to_value(),
        };
        self.unsaved_bytes += finish.value.len();
        self.queue.push_back(Op::Finish(finish));
    }

    /// Refuses requests whose claim takes too long; a claim that may be written is voided later.
    fn expire(&mut self, now: Duration, out: &mut Vec<ClaimAction>) {
        let retry_after = self.store.backoff_left(now).unwrap_or(OVERLOAD_RETRY_AFTER);
        for op in self.queue.iter_mut().chain(self.store.in_flight_ops_mut()) {
            if op.reply_by().is_some_and(|at| at <= now)
                && let Some((attempt, reason)) = op.refuse()
            {
                self.counts.refused += u64::from(reason == RefusalReason::StoreUnavailable);
                out.push(ClaimAction::Refuse {
                    attempt,
                    reason,
                    retry_after,
                });
            }
        }
        self.queue.retain(|op| !op.has_no_effect());
    }

    /// Starts the next batch or sweep call, if no call is in progress.
    fn flush(&mut self, now: Duration, out: &mut Vec<ClaimAction>) {
        if !self.store.is_ready(now) {
            return;
        }
        if !self.queue.is_empty() {
            let batch = self.take_batch();
            out.push(self.store.start(now, batch));
        } else if let Some(action) = self.sweep.next(now, &mut self.store) {
            out.push(action);
        }
    }

    /// Removes a batch from the queue, with at most one change per row.
    fn take_batch(&mut self) -> Vec<Op> {
        let mut batch: Vec<Op> = Vec::new();
        let mut rest = VecDeque::new();
        for op in self.queue.drain(..) {
            let has_same_key = batch.iter().any(|other| other.key() == op.key());
            if has_same_key || batch.len() >= self.cfg.max_batch_rows {
                rest.push_back(op);
            } else {
                batch.push(op);
            }
        }
        self.queue = rest;
        batch
    }

    /// Handles each change according to the current row, and commits those that have to be written.
    fn on_rows(
        &mut self,
        now: Duration,
        ops: Vec<Op>,
        rows: Option<Vec<VersionedRow>>,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some(rows) = rows else {
            self.store.back_off(now);
            return self.on_store_failure(now, ops, out);
        };
        let mut batch = Vec::new();
        let mut writes = Vec::new();
        for op in ops.into_iter().filter_map(Op::resolve_given_up) {
            let row = rows.iter().find(|row| *row.key == *op.key());
            match op.plan(row) {
                Plan::Write(write) => {
                    batch.push(op);
                    writes.push(write);
                }
                Plan::AlreadyWritten(version) => self.on_done(now, op, version, out),
                Plan::HeldByOther(row) => self.on_held_by_other(op, row, out),
                Plan::Superseded => self.discard(op),
            }
        }
        if !writes.is_empty() {
            out.push(self.store.commit(now, batch, writes));
        }
    }

    fn on_committed(&mut self, now: Duration, result: BatchResult, out: &mut Vec<ClaimAction>) {
        match result {
            BatchResult::Committed(ops) => {
                for (op, version) in ops {
                    self.on_done(now, op, version, out);
                }
            }
            BatchResult::Swept(deleted) => self.sweep.on_deleted(deleted),
            BatchResult::Failed(mut ops, failure) => {
                if failure == CommitFailure::Unknown {
                    ops.iter_mut().for_each(Op::mark_maybe_written);
                }
                if failure == CommitFailure::Unavailable {
                    self.store.back_off(now);
                }
                if failure == CommitFailure::Unavailable || self.store.read_backs_exhausted() {
                    return self.on_store_failure(now, ops, out);
                }
                out.push(self.store.read_back(ops));
            }
        }
    }

    /// The table service failed: refuses requests that wait to run, keeps other changes for later.
    fn on_store_failure(&mut self, now: Duration, ops: Vec<Op>, out: &mut Vec<ClaimAction>) {
        for op in ops.into_iter().rev() {
            self.queue.push_front(op);
        }
        let retry_after = self.store.backoff_left(now).unwrap_or(OVERLOAD_RETRY_AFTER);
        for op in &mut self.queue {
            if op.waits_to_run()
                && let Some((attempt, _)) = op.refuse()
            {
                self.counts.refused += 1;
                out.push(ClaimAction::Refuse {
                    attempt,
                    reason: RefusalReason::StoreUnavailable,
                    retry_after,
                });
            }
        }
        self.queue.retain(|op| !op.has_no_effect());
        self.drop_excess();
    }

    /// Drops the oldest changes beyond the limit of the queue. The claim of a dropped change stays
    /// in the table as one that may have run.
    fn drop_excess(&mut self) {
        while self.queue.len() > self.cfg.max_unsaved_changes {
            if let Some(op) = self.queue.pop_front() {
                self.discard(op);
            }
        }
    }

    fn on_done(&mut self, now: Duration, op: Op, version: u64, out: &mut Vec<ClaimAction>) {
        match op {
            Op::Insert(insert) if !insert.given_up && insert.reply_by > now => {
                self.counts.claimed += 1;
                let attempt = insert.claim.attempt;
                let claim = insert.claim;
                self.owned.insert(attempt, OwnedClaim { claim, version });
                out.push(ClaimAction::Run(attempt));
            }
            Op::Insert(insert) => {
                if !insert.given_up {
                    self.counts.refused += 1;
                    out.push(ClaimAction::Refuse {
                        attempt: insert.claim.attempt,
                        reason: RefusalReason::StoreUnavailable,
                        retry_after: OVERLOAD_RETRY_AFTER,
                    });
                }
                self.queue.push_back(Op::Void(Void {
                    claim: insert.claim,
                    reply: None,
                }));
            }
            Op::Finish(finish) => self.unsaved_bytes -= finish.value.len(),
            Op::Void(void) => self.on_void(void, out),
        }
    }

    fn on_void(&mut self, void: Void, out: &mut Vec<ClaimAction>) {
        self.counts.voided += 1;
        if let Some((reason, _)) = void.reply {
            out.push(ClaimAction::Refuse {
                attempt: void.claim.attempt,
                reason,
                retry_after: OVERLOAD_RETRY_AFTER,
            });
        }
    }

    /// Another request has claimed the key. Its claim is never taken over, even if that request
    /// has ended.
    fn on_held_by_other(&mut self, op: Op, row: Option<ClaimRow>, out: &mut Vec<ClaimAction>) {
        let Op::Insert(insert) = op else {
            return self.discard(op);
        };
        if insert.given_up {
            return;
        }
        let attempt = insert.claim.attempt;
        let answer = match &row {
            Some(row) if row.content != insert.claim.row.content => {
                out.push(ClaimAction::Refuse {
                    attempt,
                    reason: RefusalReason::KeyConflict,
                    retry_after: Duration::ZERO,
                });
                return;
            }
            Some(ClaimRow {
                state: ClaimState::Finished(stored),
                ..
            }) => stored.restore(),
            _ => None,
        };
        match answer {
            Some(answer) => {
                self.counts.repeats += 1;
                out.push(ClaimAction::ReplayAnswer { attempt, answer });
            }
            None => {
                self.counts.in_use += 1;
                out.push(ClaimAction::MayHaveRun {
                    attempt,
                    reason: in_use_reason(row.as_ref()).into(),
                    retry_after: IN_USE_RETRY_AFTER,
                });
            }
        }
    }

    fn discard(&mut self, op: Op) {
        if let Op::Finish(finish) = op {
            self.unsaved_bytes -= finish.value.len();
            self.counts.answers_lost += 1;
        }
    }
}

fn in_use_reason(row: Option<&ClaimRow>) -> &'static str {
    match row.map(|row| &row.state) {
        Some(ClaimState::Claimed) => "a request with this key runs or may have run",
        Some(ClaimState::Finished(_) | ClaimState::Broken) => {
            "a request with this key may have run, and its answer is lost"
        }
        _ => "the key is taken",
    }
}
