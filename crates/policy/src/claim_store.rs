//! Makes the calls to the table service for an agent's claims, one at a time.

use crate::claim_event::{ClaimAction, ClaimConfig, ClaimWrite, CommitFailure, TableCallId};
use crate::claim_op::Op;
use proto::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const MAX_READ_BACKS: u32 = 8;
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
const BACKOFF_JITTER_FRACTION: f64 = 0.25;

#[derive(Debug)]
enum InFlight {
    Reading(Vec<Op>),
    Committing(Vec<Op>),
    Scanning,
    Sweeping(usize),
}

/// Outcome of a transaction.
#[derive(Debug)]
pub(crate) enum BatchResult {
    /// The changes were written; each comes with the new version of its row.
    Committed(Vec<(Op, u64)>),
    /// Nothing was written, or the outcome is unknown.
    Failed(Vec<Op>, CommitFailure),
    /// Number of old rows that were deleted.
    Swept(usize),
}

/// The call in progress, the commit interval and the backoff after failures.
#[derive(Debug)]
pub(crate) struct ClaimStoreClient {
    interval: Duration,
    min_backoff: Duration,
    max_backoff: Duration,
    rng: SmallRng,
    in_flight: Option<InFlight>,
    call: TableCallId,
    read_backs: u32,
    consecutive_failures: u32,
    next_at: Duration,
    backoff_until: Duration,
    commits: u64,
    unknown: u64,
}

impl ClaimStoreClient {
    pub(crate) fn new(cfg: &ClaimConfig) -> Self {
        Self {
            interval: cfg.commit_interval,
            min_backoff: cfg.min_backoff,
            max_backoff: cfg.max_backoff,
            rng: SmallRng::seed_from_u64(cfg.seed),
            in_flight: None,
            call: 0,
            read_backs: 0,
            consecutive_failures: 0,
            next_at: Duration::ZERO,
            backoff_until: Duration::ZERO,
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
        self.in_flight.is_none()
    }

    pub(crate) fn is_ready(&self, now: Duration) -> bool {
        self.is_idle() && self.next_at() <= now
    }

    /// Time at which the next call may start.
    pub(crate) fn next_at(&self) -> Duration {
        self.next_at.max(self.backoff_until)
    }

    /// Remaining backoff after a failure.
    pub(crate) fn backoff_left(&self, now: Duration) -> Option<Duration> {
        let left = self.backoff_until.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether the rows of the batch were read again too often, so that it is treated as failed.
    pub(crate) fn read_backs_exhausted(&self) -> bool {
        self.read_backs >= MAX_READ_BACKS
    }

    /// Changes of the batch in progress.
    pub(crate) fn in_flight_ops(&self) -> impl Iterator<Item = &Op> {
        let ops: &[Op] = match &self.in_flight {
            Some(InFlight::Reading(ops) | InFlight::Committing(ops)) => ops,
            _ => &[],
        };
        ops.iter()
    }

    /// Like [`Self::in_flight_ops`], with mutable access.
    pub(crate) fn in_flight_ops_mut(&mut self) -> impl Iterator<Item = &mut Op> {
        let ops: &mut [Op] = match &mut self.in_flight {
            Some(InFlight::Reading(ops) | InFlight::Committing(ops)) => ops,
            _ => &mut [],
        };
        ops.iter_mut()
    }

    /// Starts a batch. Reads its rows first, unless all their versions are known.
    pub(crate) fn start(&mut self, now: Duration, ops: Vec<Op>) -> ClaimAction {
        self.read_backs = 0;
        let known = ops.iter().map(|op| match op {
            Op::Finish(finish) => Some(finish.write()),
            _ => None,
        });
        match known.collect::<Option<Vec<ClaimWrite>>>() {
            Some(writes) => self.commit(now, ops, writes),
            None => self.read(ops),
        }
    }

    /// Reads the rows of a batch again after a commit that failed or has an unknown outcome.
    pub(crate) fn read_back(&mut self, ops: Vec<Op>) -> ClaimAction {
        self.read_backs += 1;
        self.read(ops)
    }

    /// Commits the writes of a batch.
    pub(crate) fn commit(
        &mut self,
        now: Duration,
        ops: Vec<Op>,
        writes: Vec<ClaimWrite>,
    ) -> ClaimAction {
        self.next_at = now + self.interval;
        self.commits += 1;
        let call = self.begin_call(InFlight::Committing(ops));
        ClaimAction::Commit { call, writes }
    }

    /// Commits deletions of old rows.
    pub(crate) fn sweep(&mut self, now: Duration, writes: Vec<ClaimWrite>) -> ClaimAction {
        self.next_at = now + self.interval;
        self.commits += 1;
        let call = self.begin_call(InFlight::Sweeping(writes.len()));
        ClaimAction::Commit { call, writes }
    }

    /// Reads a page of claims.
    pub(crate) fn scan(&mut self, after: Box<str>, limit: usize) -> ClaimAction {
        let call = self.begin_call(InFlight::Scanning);
        ClaimAction::Scan { call, after, limit }
    }

    /// Ends a read and returns its batch; `None` if the response is not that of the current call.
    pub(crate) fn on_read(&mut self, call: TableCallId, ok: bool) -> Option<Vec<Op>> {
        if call != self.call || !matches!(self.in_flight, Some(InFlight::Reading(_))) {
            return None;
        }
        if ok {
            self.consecutive_failures = 0;
        }
        match self.in_flight.take() {
            Some(InFlight::Reading(ops)) => Some(ops),
            _ => None,
        }
    }

    /// Ends a scan; `false` if the response is not that of the current call.
    pub(crate) fn on_scanned(&mut self, call: TableCallId) -> bool {
        let awaited = call == self.call && matches!(self.in_flight, Some(InFlight::Scanning));
        if awaited {
            self.in_flight = None;
        }
        awaited
    }

    /// Ends a commit; `None` if the response is not that of the current call.
    pub(crate) fn on_committed(
        &mut self,
        call: TableCallId,
        result: Result<Vec<u64>, CommitFailure>,
    ) -> Option<BatchResult> {
        if call != self.call {
            return None;
        }
        match self.in_flight.take() {
            Some(InFlight::Committing(ops)) => Some(self.batch_result(ops, result)),
            Some(InFlight::Sweeping(rows)) => Some(BatchResult::Swept(result.map_or(0, |_| rows))),
            other => {
                self.in_flight = other;
                None
            }
        }
    }

    /// Starts a backoff after a failure, with jitter. It doubles with each consecutive failure.
    pub(crate) fn back_off(&mut self, now: Duration) {
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        self.consecutive_failures += 1;
        let backoff = self.min_backoff * (1 << doublings);
        let jitter = 1.0 + self.rng.random_range(0.0..BACKOFF_JITTER_FRACTION);
        self.backoff_until = now + backoff.min(self.max_backoff).mul_f64(jitter);
    }

    fn batch_result(
        &mut self,
        ops: Vec<Op>,
        result: Result<Vec<u64>, CommitFailure>,
    ) -> BatchResult {
        match result {
            Ok(versions) if versions.len() == ops.len() => {
                self.consecutive_failures = 0;
                BatchResult::Committed(ops.into_iter().zip(versions).collect())
            }
            Ok(_) => self.failed(ops, CommitFailure::Unknown),
            Err(failure) => self.failed(ops, failure),
        }
    }

    fn failed(&mut self, ops: Vec<Op>, failure: CommitFailure) -> BatchResult {
        self.unknown += u64::from(failure == CommitFailure::Unknown);
        BatchResult::Failed(ops, failure)
    }

    fn read(&mut self, ops: Vec<Op>) -> ClaimAction {
        let keys = ops.iter().map(|op| op.key().into()).collect();
        let call = self.begin_call(InFlight::Reading(ops));
        ClaimAction::Read { call, keys }
    }

    fn begin_call(&mut self, in_flight: InFlight) -> TableCallId {
        self.call += 1;
        self.in_flight = Some(in_flight);
        self.call
    }
}
