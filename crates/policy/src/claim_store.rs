//! One batch at a time between the claims of an agent and the table service.

use crate::claim::{ClaimAction, ClaimConfig, ClaimWrite, CommitFailure, TableCallId};
use crate::claim_op::Op;
use proto::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const MOST_ROUNDS: u32 = 8;
const MOST_DOUBLINGS: u32 = 16;
const JITTER: f64 = 0.25;

#[derive(Debug)]
enum Flight {
    Reading(Vec<Op>),
    Committing(Vec<Op>),
    Scanning,
    Sweeping(usize),
}

/// How a transaction ended.
#[derive(Debug)]
pub(crate) enum Ended {
    /// Each change with the new version of its row.
    Done(Vec<(Op, u64)>),
    /// Nothing, or perhaps all, was written.
    Failed(Vec<Op>, CommitFailure),
    /// So many old rows were deleted.
    Swept(usize),
}

/// The batch under way, and the pauses between batches.
#[derive(Debug)]
pub(crate) struct ClaimStore {
    interval: Duration,
    min_backoff: Duration,
    max_backoff: Duration,
    rng: SmallRng,
    flight: Option<Flight>,
    call: TableCallId,
    rounds: u32,
    failures: u32,
    next_at: Duration,
    paused_until: Duration,
    commits: u64,
    unknown: u64,
}

impl ClaimStore {
    pub(crate) fn new(cfg: &ClaimConfig) -> Self {
        Self {
            interval: cfg.commit_interval,
            min_backoff: cfg.min_backoff,
            max_backoff: cfg.max_backoff,
            rng: SmallRng::seed_from_u64(cfg.seed),
            flight: None,
            call: 0,
            rounds: 0,
            failures: 0,
            next_at: Duration::ZERO,
            paused_until: Duration::ZERO,
            commits: 0,
            unknown: 0,
        }
    }

    pub(crate) fn set_interval(&mut self, interval: Duration) {
        self.interval = interval;
    }

    pub(crate) fn commits(&self) -> u64 {
        self.commits
    }

    pub(crate) fn unknown(&self) -> u64 {
        self.unknown
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.flight.is_none()
    }

    pub(crate) fn is_ready(&self, now: Duration) -> bool {
        self.is_idle() && self.next_at() <= now
    }

    /// When the next batch may start.
    pub(crate) fn next_at(&self) -> Duration {
        self.next_at.max(self.paused_until)
    }

    /// Time left of a pause after a failure.
    pub(crate) fn pause_left(&self, now: Duration) -> Option<Duration> {
        let left = self.paused_until.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether the batch was tried too often.
    pub(crate) fn is_tired(&self) -> bool {
        self.rounds >= MOST_ROUNDS
    }

    /// Changes under way.
    pub(crate) fn flying(&self) -> impl Iterator<Item = &Op> {
        let ops: &[Op] = match &self.flight {
            Some(Flight::Reading(ops) | Flight::Committing(ops)) => ops,
            _ => &[],
        };
        ops.iter()
    }

    /// Changes under way.
    pub(crate) fn flying_mut(&mut self) -> impl Iterator<Item = &mut Op> {
        let ops: &mut [Op] = match &mut self.flight {
            Some(Flight::Reading(ops) | Flight::Committing(ops)) => ops,
            _ => &mut [],
        };
        ops.iter_mut()
    }

    /// Starts a batch: reads its rows, unless the versions of all are known.
    pub(crate) fn start(&mut self, now: Duration, ops: Vec<Op>) -> ClaimAction {
        self.rounds = 0;
        let known = ops.iter().map(|op| match op {
            Op::Finish(finish) => Some(finish.write()),
            _ => None,
        });
        match known.collect::<Option<Vec<ClaimWrite>>>() {
            Some(writes) => self.commit(now, ops, writes),
            None => self.read(ops),
        }
    }

    /// Reads the rows of a batch again.
    pub(crate) fn read_back(&mut self, ops: Vec<Op>) -> ClaimAction {
        self.rounds += 1;
        self.read(ops)
    }

    /// Commits a batch.
    pub(crate) fn commit(
        &mut self,
        now: Duration,
        ops: Vec<Op>,
        writes: Vec<ClaimWrite>,
    ) -> ClaimAction {
        self.next_at = now + self.interval;
        self.commits += 1;
        let call = self.fly(Flight::Committing(ops));
        ClaimAction::Commit { call, writes }
    }

    /// Deletes old rows.
    pub(crate) fn sweep(&mut self, now: Duration, writes: Vec<ClaimWrite>) -> ClaimAction {
        self.next_at = now + self.interval;
        self.commits += 1;
        let call = self.fly(Flight::Sweeping(writes.len()));
        ClaimAction::Commit { call, writes }
    }

    /// Reads a page of claims.
    pub(crate) fn scan(&mut self, after: Box<str>, limit: usize) -> ClaimAction {
        let call = self.fly(Flight::Scanning);
        ClaimAction::Scan { call, after, limit }
    }

    /// Takes the answer to a read; none where it is not the one that is awaited.
    pub(crate) fn on_read(&mut self, call: TableCallId, ok: bool) -> Option<Vec<Op>> {
        if call != self.call || !matches!(self.flight, Some(Flight::Reading(_))) {
            return None;
        }
        if ok {
            self.failures = 0;
        }
        match self.flight.take() {
            Some(Flight::Reading(ops)) => Some(ops),
            _ => None,
        }
    }

    /// Takes the answer to a scan; false where it is not the one that is awaited.
    pub(crate) fn on_scanned(&mut self, call: TableCallId) -> bool {
        let awaited = call == self.call && matches!(self.flight, Some(Flight::Scanning));
        if awaited {
            self.flight = None;
        }
        awaited
    }

    /// Takes the answer to a commit; none where it is not the one that is awaited.
    pub(crate) fn on_committed(
        &mut self,
        call: TableCallId,
        result: Result<Vec<u64>, CommitFailure>,
    ) -> Option<Ended> {
        if call != self.call {
            return None;
        }
        match self.flight.take() {
            Some(Flight::Committing(ops)) => Some(self.end(ops, result)),
            Some(Flight::Sweeping(rows)) => Some(Ended::Swept(result.map_or(0, |_| rows))),
            other => {
                self.flight = other;
                None
            }
        }
    }

    /// Pauses after a failure, longer each time in a row.
    pub(crate) fn pause(&mut self, now: Duration) {
        let doublings = self.failures.min(MOST_DOUBLINGS);
        self.failures += 1;
        let pause = self.min_backoff * (1 << doublings);
        let jitter = 1.0 + self.rng.random_range(0.0..JITTER);
        self.paused_until = now + pause.min(self.max_backoff).mul_f64(jitter);
    }

    fn end(&mut self, ops: Vec<Op>, result: Result<Vec<u64>, CommitFailure>) -> Ended {
        match result {
            Ok(versions) if versions.len() == ops.len() => {
                self.failures = 0;
                Ended::Done(ops.into_iter().zip(versions).collect())
            }
            Ok(_) => self.failed(ops, CommitFailure::Unknown),
            Err(failure) => self.failed(ops, failure),
        }
    }

    fn failed(&mut self, ops: Vec<Op>, failure: CommitFailure) -> Ended {
        self.unknown += u64::from(failure == CommitFailure::Unknown);
        Ended::Failed(ops, failure)
    }

    fn read(&mut self, ops: Vec<Op>) -> ClaimAction {
        let keys = ops.iter().map(|op| op.key().into()).collect();
        let call = self.fly(Flight::Reading(ops));
        ClaimAction::Read { call, keys }
    }

    fn fly(&mut self, flight: Flight) -> TableCallId {
        self.call += 1;
        self.flight = Some(flight);
        self.call
    }
}
