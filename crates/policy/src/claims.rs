//! Claims: a request that may not be repeated runs only once its key has been claimed for it.
//!
//! The table service is the arbiter. Rows are never deleted before their retention has passed,
//! so a transaction that lands late meets a newer version and fails.

use crate::claim::{
    ClaimAction, ClaimConfig, ClaimCounts, ClaimEvent, ClaimRequest, CommitFailure, VersionedRow,
};
use crate::claim_op::{Claim, Finish, Insert, Op, Plan, Void};
use crate::claim_row::{ClaimRow, ClaimState, CompleteAnswer, StoredAnswer, row_key};
use crate::claim_store::{ClaimStore, Ended};
use crate::claim_sweep::ClaimSweep;
use proto::RefusalReason;
use proto::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

const IN_USE_RETRY_AFTER: Duration = Duration::from_secs(1);
const PRESSED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A claim that is ours and runs.
#[derive(Debug)]
struct Owned {
    claim: Claim,
    version: u64,
}

/// Decides on claims at one agent.
#[derive(Debug)]
pub struct Claims {
    cfg: ClaimConfig,
    waiting: VecDeque<Op>,
    store: ClaimStore,
    sweep: ClaimSweep,
    owned: BTreeMap<AttemptId, Owned>,
    unsaved_bytes: usize,
    nonces: SmallRng,
    counts: ClaimCounts,
}

impl Claims {
    /// No claims yet.
    pub fn new(cfg: ClaimConfig) -> Self {
        Self {
            store: ClaimStore::new(&cfg),
            sweep: ClaimSweep::new(&cfg),
            nonces: SmallRng::seed_from_u64(cfg.seed),
            cfg,
            waiting: VecDeque::new(),
            owned: BTreeMap::new(),
            unsaved_bytes: 0,
            counts: ClaimCounts::default(),
        }
    }

    /// Shares the rate of the table service with so many agents of plain services.
    pub fn set_agents(&mut self, agents: u32) {
        let cfg = ClaimConfig::for_agents(&self.cfg.node, agents, self.cfg.wall_start, 0);
        self.store.set_interval(cfg.commit_interval);
        self.sweep.set_interval(cfg.sweep_interval);
    }

    /// Whether a request that needs a claim may wait for its turn; if not, when to come back.
    /// While the table service fails such requests are refused before they take a place.
    pub fn admit(&self, now: Duration) -> Result<(), Duration> {
        if let Some(pause) = self.store.pause_left(now) {
            return Err(pause);
        }
        if self.pending() >= self.cfg.max_pending {
            return Err(PRESSED_RETRY_AFTER);
        }
        Ok(())
    }

    /// Takes an event and appends actions to `out`.
    pub fn handle(&mut self, now: Duration, event: ClaimEvent, out: &mut Vec<ClaimAction>) {
        match event {
            ClaimEvent::Begin(request) => self.begin(now, request, out),
            ClaimEvent::Cancel(attempt) => self.cancel(attempt),
            ClaimEvent::NotSent(attempt) => {
                let reply = (RefusalReason::ServerDown, now + self.cfg.claim_timeout);
                self.give_back(attempt, Some(reply));
            }
            ClaimEvent::Answered { attempt, answer } => self.answered(attempt, &answer),
            ClaimEvent::AnswerLost(attempt) => self.finish(attempt, ClaimState::Broken),
            ClaimEvent::Read { call, rows } => {
                if let Some(ops) = self.store.on_read(call, rows.is_some()) {
                    self.on_rows(now, ops, rows, out);
                }
            }
            ClaimEvent::Committed { call, result } => {
                if let Some(ended) = self.store.on_committed(call, result) {
                    self.on_committed(now, ended, out);
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

    /// When [`ClaimEvent::Tick`] is due at the latest.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let waiting = self.waiting.iter().chain(self.store.flying());
        let reply_by = waiting.filter_map(Op::reply_by).min();
        let flush =
            (!self.waiting.is_empty() && self.store.is_idle()).then(|| self.store.next_at());
        let sweep = self
            .store
            .is_idle()
            .then(|| self.sweep.next_at().max(self.store.next_at()));
        [reply_by, flush, sweep].into_iter().flatten().min()
    }

    /// Requests that wait for their claims.
    pub fn pending(&self) -> usize {
        let ops = self.waiting.iter().chain(self.store.flying());
        ops.filter(|op| op.waits_to_run()).count()
    }

    /// Claims that run, and changes that are not yet in the table service.
    pub fn unsettled(&self) -> usize {
        self.waiting.len() + self.store.flying().count() + self.owned.len()
    }

    /// Counts since the start.
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
        self.waiting.push_back(Op::Insert(Insert {
            claim,
            reply_by,
            given_up: false,
            maybe_written: false,
        }));
    }

    fn cancel(&mut self, attempt: AttemptId) {
        let ops = self.waiting.iter_mut().chain(self.store.flying_mut());
        for op in ops {
            if let Op::Insert(insert) = op
                && insert.claim.attempt == attempt
            {
                insert.given_up = true;
            }
        }
        self.give_back(attempt, None);
    }

    /// Gives a claim of ours up that did not run.
    fn give_back(&mut self, attempt: AttemptId, reply: Option<(RefusalReason, Duration)>) {
        if let Some(owned) = self.owned.remove(&attempt) {
            let claim = owned.claim;
            self.waiting.push_back(Op::Void(Void { claim, reply }));
        }
    }

    fn answered(&mut self, attempt: AttemptId, answer: &CompleteAnswer) {
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
        self.waiting.push_back(Op::Finish(finish));
    }

    /// Refuses requests whose claim takes too long; what they wrote is given up later.
    fn expire(&mut self, now: Duration, out: &mut Vec<ClaimAction>) {
        let retry_after = self.store.pause_left(now).unwrap_or(PRESSED_RETRY_AFTER);
        for op in self.waiting.iter_mut().chain(self.store.flying_mut()) {
            if op.reply_by().is_some_and(|at| at <= now)
                && let Some((attempt, reason)) = op.give_up()
            {
                self.counts.refused += u64::from(reason == RefusalReason::StoreUnavailable);
                out.push(ClaimAction::Refuse {
                    attempt,
                    reason,
                    retry_after,
                });
            }
        }
        self.waiting.retain(|op| !op.is_needless());
    }

    /// Starts the next batch where none is under way.
    fn flush(&mut self, now: Duration, out: &mut Vec<ClaimAction>) {
        if !self.store.is_ready(now) {
            return;
        }
        if !self.waiting.is_empty() {
            let batch = self.take_batch();
            out.push(self.store.start(now, batch));
        } else if let Some(action) = self.sweep.next(now, &mut self.store) {
            out.push(action);
        }
    }

    /// Takes waiting changes, at most one for each row.
    fn take_batch(&mut self) -> Vec<Op> {
        let mut batch: Vec<Op> = Vec::new();
        let mut left = VecDeque::new();
        for op in self.waiting.drain(..) {
            let taken = batch.iter().any(|other| other.key() == op.key());
            if taken || batch.len() >= self.cfg.max_batch_rows {
                left.push_back(op);
            } else {
                batch.push(op);
            }
        }
        self.waiting = left;
        batch
    }

    /// Decides on each change by the row as it stands, and commits what is left to write.
    fn on_rows(
        &mut self,
        now: Duration,
        ops: Vec<Op>,
        rows: Option<Vec<VersionedRow>>,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some(rows) = rows else {
            self.store.pause(now);
            return self.on_failure(now, ops, out);
        };
        let mut batch = Vec::new();
        let mut writes = Vec::new();
        for op in ops.into_iter().filter_map(Op::settled) {
            let row = rows.iter().find(|row| *row.key == *op.key());
            match op.plan(row) {
                Plan::Write(write) => {
                    batch.push(op);
                    writes.push(write);
                }
                Plan::Done(version) => self.on_done(now, op, version, out),
                Plan::Taken(row) => self.on_taken(op, row, out),
                Plan::Lost => self.on_lost(op),
            }
        }
        if !writes.is_empty() {
            out.push(self.store.commit(now, batch, writes));
        }
    }

    fn on_committed(&mut self, now: Duration, ended: Ended, out: &mut Vec<ClaimAction>) {
        match ended {
            Ended::Done(ops) => {
                for (op, version) in ops {
                    self.on_done(now, op, version, out);
                }
            }
            Ended::Swept(deleted) => self.sweep.on_deleted(deleted),
            Ended::Failed(mut ops, failure) => {
                if failure == CommitFailure::Unknown {
                    ops.iter_mut().for_each(Op::note_unknown);
                }
                if failure == CommitFailure::Unavailable {
                    self.store.pause(now);
                }
                if failure == CommitFailure::Unavailable || self.store.is_tired() {
                    return self.on_failure(now, ops, out);
                }
                out.push(self.store.read_back(ops));
            }
        }
    }

    /// The table service fails: refuses who waits to run, keeps the rest for later.
    fn on_failure(&mut self, now: Duration, ops: Vec<Op>, out: &mut Vec<ClaimAction>) {
        for op in ops.into_iter().rev() {
            self.waiting.push_front(op);
        }
        let retry_after = self.store.pause_left(now).unwrap_or(PRESSED_RETRY_AFTER);
        for op in &mut self.waiting {
            if op.waits_to_run()
                && let Some((attempt, _)) = op.give_up()
            {
                self.counts.refused += 1;
                out.push(ClaimAction::Refuse {
                    attempt,
                    reason: RefusalReason::StoreUnavailable,
                    retry_after,
                });
            }
        }
        self.waiting.retain(|op| !op.is_needless());
        self.shed();
    }

    /// Keeps what waits for the table service within its bounds; a claim that is dropped stays
    /// in the table as one that may have run.
    fn shed(&mut self) {
        while self.waiting.len() > self.cfg.max_unsaved_changes {
            if let Some(op) = self.waiting.pop_front() {
                self.on_lost(op);
            }
        }
    }

    fn on_done(&mut self, now: Duration, op: Op, version: u64, out: &mut Vec<ClaimAction>) {
        match op {
            Op::Insert(insert) if !insert.given_up && insert.reply_by > now => {
                self.counts.claimed += 1;
                let attempt = insert.claim.attempt;
                let claim = insert.claim;
                self.owned.insert(attempt, Owned { claim, version });
                out.push(ClaimAction::Run(attempt));
            }
            Op::Insert(insert) => {
                if !insert.given_up {
                    self.counts.refused += 1;
                    out.push(ClaimAction::Refuse {
                        attempt: insert.claim.attempt,
                        reason: RefusalReason::StoreUnavailable,
                        retry_after: PRESSED_RETRY_AFTER,
                    });
                }
                self.waiting.push_back(Op::Void(Void {
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
                retry_after: PRESSED_RETRY_AFTER,
            });
        }
    }

    /// Another request holds the key, or held it: it is never taken over.
    fn on_taken(&mut self, op: Op, row: Option<ClaimRow>, out: &mut Vec<ClaimAction>) {
        let Op::Insert(insert) = op else {
            return self.on_lost(op);
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

    fn on_lost(&mut self, op: Op) {
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
