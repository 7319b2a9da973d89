//! Inputs and outputs of [`crate::Claims`], by which a non-repeatable request runs at most once.

use crate::claim_row::CompleteAnswer;
use proto::prelude::*;
use proto::{NodeId, RefusalReason};

/// Number of a call to the table service, by which its response is matched.
pub type TableCallId = u64;

/// Settings of [`crate::Claims`].
#[derive(Debug, Clone, PartialEq)]
pub struct ClaimConfig {
    /// Name of the agent, stored in each claim that it writes.
    pub node: NodeId,
    /// Limit on the rows of one transaction.
    pub max_batch_rows: usize,
    /// Minimum time between two transactions of this agent.
    pub commit_interval: Duration,
    /// How long a request waits for its claim before it is refused.
    pub claim_timeout: Duration,
    /// Limit on requests that wait for their claims.
    pub max_pending: usize,
    /// Limit on the body of an answer that is stored for repeats, in bytes.
    pub max_answer_bytes: usize,
    /// Limit on the bytes of answers that wait to be stored while the table service is down.
    pub max_unsaved_bytes: usize,
    /// Limit on changes to claims that wait to be written while the table service is down.
    pub max_unsaved_changes: usize,
    /// Initial backoff after a failure of the table service; doubles with each failure in a row.
    pub min_backoff: Duration,
    /// Upper limit of the backoff, before jitter.
    pub max_backoff: Duration,
    /// Minimum time for which a claim is kept, so that a repeat of its key is recognized.
    pub retention: Duration,
    /// Time between two pages of the sweep that deletes old claims.
    pub sweep_interval: Duration,
    /// Rows per page of the sweep.
    pub sweep_page_rows: usize,
    /// Wall time, since the Unix epoch, at which `now` is zero.
    pub wall_start: Duration,
    /// Seed of the backoff jitter and of the nonces of claims.
    pub seed: u64,
}

/// Limit on transactions per second that all agents together send for claims.
const MAX_CLAIM_COMMITS_PER_SECOND: u32 = 150;
const MIN_COMMIT_INTERVAL: Duration = Duration::from_millis(10);
const DAY: Duration = Duration::from_secs(24 * 3600);

impl ClaimConfig {
    /// Settings for one of `agents` agents of plain services, which divide the rate limit of the
    /// table service among them.
    pub fn for_agents(node: &str, agents: u32, wall_start: Duration, seed: u64) -> Self {
        let share = Duration::from_secs(1) * agents / MAX_CLAIM_COMMITS_PER_SECOND;
        Self {
            node: node.into(),
            max_batch_rows: 64,
            commit_interval: share.max(MIN_COMMIT_INTERVAL),
            claim_timeout: Duration::from_secs(1),
            max_pending: 64,
            max_answer_bytes: 64 << 10,
            max_unsaved_bytes: 4 << 20,
            max_unsaved_changes: 4096,
            min_backoff: Duration::from_millis(250),
            max_backoff: Duration::from_secs(5),
            retention: DAY,
            sweep_interval: Duration::from_secs(1) * agents.max(1),
            sweep_page_rows: 500,
            wall_start,
            seed,
        }
    }
}

/// A request that may run once its key has been claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Attempt at the request that is to run.
    pub attempt: AttemptId,
    /// Team of the caller.
    pub team: TeamId,
    /// Idempotency key under which the caller may repeat the request.
    pub key: Box<str>,
    /// Hash of the whole request, to detect a key that is reused with other content.
    pub content: u64,
    /// When the request must have finished.
    pub deadline: Duration,
}

/// A row as read from the table service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedRow {
    /// Key of the row.
    pub key: Box<str>,
    /// Claim as JSON.
    pub value: Box<str>,
    /// Version, which changes with each write.
    pub version: u64,
}

/// A conditional write of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimWrite {
    /// Key of the row.
    pub key: Box<str>,
    /// Version that the row must have; zero if it must not exist.
    pub version: u64,
    /// New value; `None` deletes the row.
    pub value: Option<Box<str>>,
}

/// Why a transaction failed, or may have failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitFailure {
    /// A row does not have the expected version; nothing was written.
    Conflict,
    /// The table service could not be used; nothing was written.
    Unavailable,
    /// The outcome is unknown: the rows may have been written, or may still be.
    Unknown,
}

/// Input of [`crate::Claims`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// A request is ready to run and needs its claim.
    Begin(ClaimRequest),
    /// The request was cancelled before it was sent to the backend server.
    Cancel(AttemptId),
    /// The request was claimed, but did certainly not reach the backend server.
    NotSent(AttemptId),
    /// The complete answer of the backend server was received.
    Answered {
        /// Attempt that ran.
        attempt: AttemptId,
        /// Answer to store for repeats.
        answer: CompleteAnswer,
    },
    /// The request may have run, and its complete answer will not be received.
    AnswerLost(AttemptId),
    /// Response to [`ClaimAction::Read`].
    Read {
        /// Number of the call.
        call: TableCallId,
        /// Rows that exist; `None` if the call failed.
        rows: Option<Vec<VersionedRow>>,
    },
    /// Response to [`ClaimAction::Commit`].
    Committed {
        /// Number of the call.
        call: TableCallId,
        /// New version of each row, in the order of the writes.
        result: Result<Vec<u64>, CommitFailure>,
    },
    /// Response to [`ClaimAction::Scan`].
    Scanned {
        /// Number of the call.
        call: TableCallId,
        /// Rows of the page; `None` if the call failed.
        rows: Option<Vec<VersionedRow>>,
    },
    /// A wakeup is due, as given by [`crate::Claims::next_wakeup`].
    Tick,
}

/// Output of [`crate::Claims`], to be carried out by its driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Read rows and report [`ClaimEvent::Read`].
    Read {
        /// Number of the call.
        call: TableCallId,
        /// Keys of the rows.
        keys: Vec<Box<str>>,
    },
    /// Commit a transaction and report [`ClaimEvent::Committed`].
    Commit {
        /// Number of the call.
        call: TableCallId,
        /// Conditional writes; all or none take effect.
        writes: Vec<ClaimWrite>,
    },
    /// Read a page of claims and report [`ClaimEvent::Scanned`].
    Scan {
        /// Number of the call.
        call: TableCallId,
        /// The page starts after this key.
        after: Box<str>,
        /// Limit on the rows of the page.
        limit: usize,
    },
    /// Send the request to the backend server now.
    Run(AttemptId),
    /// Answer with the stored answer to the first request with this key.
    ReplayAnswer {
        /// Attempt to answer.
        attempt: AttemptId,
        /// Stored answer.
        answer: CompleteAnswer,
    },
    /// Refuse the request: it did not run and will not.
    Refuse {
        /// Attempt to refuse.
        attempt: AttemptId,
        /// Reason for the caller.
        reason: RefusalReason,
        /// How long the caller should wait before a retry.
        retry_after: Duration,
    },
    /// Fail the request: one with the same key may have run.
    MayHaveRun {
        /// Attempt to fail.
        attempt: AttemptId,
        /// Explanation for the caller.
        reason: Box<str>,
        /// How long the caller should wait before it repeats the request.
        retry_after: Duration,
    },
}

/// Counters since the start of the process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClaimCounts {
    /// Requests that ran because this agent claimed their key.
    pub claimed: u64,
    /// Repeats that got the stored answer.
    pub repeats: u64,
    /// Requests refused because the table service failed or was too slow.
    pub refused: u64,
    /// Requests failed because one with the same key may have run.
    pub in_use: u64,
    /// Transactions sent, including those of the sweep.
    pub commits: u64,
    /// Transactions with an unknown outcome.
    pub unknown: u64,
    /// Claims voided because their request did not run.
    pub voided: u64,
    /// Answers that could not be stored.
    pub answers_lost: u64,
    /// Claims deleted after their retention.
    pub swept: u64,
}
