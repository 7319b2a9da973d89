//! What goes in and comes out of the claims of requests that may not be repeated.

use crate::claim_row::CompleteAnswer;
use proto::prelude::*;
use proto::{NodeId, RefusalReason};

/// Number of a call to the table service.
pub type TableCallId = u64;

/// Settings of [`crate::Claims`].
#[derive(Debug, Clone, PartialEq)]
pub struct ClaimConfig {
    /// The agent.
    pub node: NodeId,
    /// Most rows of one transaction.
    pub max_batch_rows: usize,
    /// Least time between two transactions of this agent.
    pub commit_interval: Duration,
    /// Longest time that a request waits for its claim.
    pub claim_timeout: Duration,
    /// Most requests that wait for their claims.
    pub max_pending: usize,
    /// Longest body of an answer that is kept for repeats, in bytes.
    pub max_answer_bytes: usize,
    /// Most bytes of answers that wait to be kept while the table service is down.
    pub max_unsaved_bytes: usize,
    /// Most claims that wait to be given up while the table service is down.
    pub max_unsaved_changes: usize,
    /// Shortest pause after the table service failed; doubles with each failure in a row.
    pub min_backoff: Duration,
    /// Longest such pause.
    pub max_backoff: Duration,
    /// How long a key is remembered at least.
    pub retention: Duration,
    /// Time between two pages of the sweep of old claims.
    pub sweep_interval: Duration,
    /// Rows of a page of the sweep.
    pub sweep_page_rows: usize,
    /// Wall time at the zero of `now`, since the Unix epoch.
    pub wall_start: Duration,
    /// Seed of the jitter of pauses.
    pub seed: u64,
}

/// Transactions a second that claims of all agents together may take.
const CLAIM_WRITES_PER_SECOND: u32 = 150;
const SHORTEST_COMMIT_INTERVAL: Duration = Duration::from_millis(10);
const DAY: Duration = Duration::from_secs(24 * 3600);

impl ClaimConfig {
    /// Settings for one of `agents` agents of plain services, so that all of them together keep
    /// within the rate of the table service.
    pub fn for_agents(node: &str, agents: u32, wall_start: Duration, seed: u64) -> Self {
        let share = Duration::from_secs(1) * agents / CLAIM_WRITES_PER_SECOND;
        Self {
            node: node.into(),
            max_batch_rows: 64,
            commit_interval: share.max(SHORTEST_COMMIT_INTERVAL),
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

/// A request whose turn to run has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// Team of the caller.
    pub team: TeamId,
    /// Key under which the caller may repeat it.
    pub key: Box<str>,
    /// Hash of the whole request.
    pub content: u64,
    /// When the request must have finished.
    pub deadline: Duration,
}

/// A row as the table service gives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedRow {
    /// Key.
    pub key: Box<str>,
    /// Value.
    pub value: Box<str>,
    /// Version.
    pub version: u64,
}

/// A change of one row, on condition of its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimWrite {
    /// Key.
    pub key: Box<str>,
    /// Version that the row must have; zero where it must not exist.
    pub version: u64,
    /// New value; none deletes the row.
    pub value: Option<Box<str>>,
}

/// Why a transaction did not commit, or may not have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitFailure {
    /// A condition does not hold; nothing changed.
    Conflict,
    /// Nothing changed.
    Unavailable,
    /// The change may have taken effect, or may still.
    Unknown,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// A request may run as soon as it is claimed.
    Begin(ClaimRequest),
    /// The request was given up before it was given to the backend server.
    Cancel(AttemptId),
    /// The request was to run but certainly did not reach the backend server.
    NotSent(AttemptId),
    /// The backend server's whole answer came.
    Answered {
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        answer: CompleteAnswer,
    },
    /// The request may have run, and no whole answer will come.
    AnswerLost(AttemptId),
    /// Rows were read, or could not be.
    Read {
        /// The call.
        call: TableCallId,
        /// The rows that exist; none where the call failed.
        rows: Option<Vec<VersionedRow>>,
    },
    /// A transaction ended. Gives the new version of each row.
    Committed {
        /// The call.
        call: TableCallId,
        /// The versions.
        result: Result<Vec<u64>, CommitFailure>,
    },
    /// A page of rows was read for the sweep, or could not be.
    Scanned {
        /// The call.
        call: TableCallId,
        /// The rows; none where the call failed.
        rows: Option<Vec<VersionedRow>>,
    },
    /// Time passed.
    Tick,
}

/// What the driver must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Reads rows; [`ClaimEvent::Read`] follows.
    Read {
        /// The call.
        call: TableCallId,
        /// Keys.
        keys: Vec<Box<str>>,
    },
    /// Commits a transaction; [`ClaimEvent::Committed`] follows.
    Commit {
        /// The call.
        call: TableCallId,
        /// Changes, each on its condition.
        writes: Vec<ClaimWrite>,
    },
    /// Reads a page of claims; [`ClaimEvent::Scanned`] follows.
    Scan {
        /// The call.
        call: TableCallId,
        /// Key before the first.
        after: Box<str>,
        /// Most rows.
        limit: usize,
    },
    /// Gives the request to the backend server, now.
    Run(AttemptId),
    /// Answers with the whole answer that the first request of the key got.
    ReplayAnswer {
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        answer: CompleteAnswer,
    },
    /// Refuses: the request did not run and will not.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
    },
    /// Fails: a request of the same key may have run.
    MayHaveRun {
        /// The attempt.
        attempt: AttemptId,
        /// What is known, for the caller.
        reason: Box<str>,
        /// When to ask again.
        retry_after: Duration,
    },
}

/// Counts since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClaimCounts {
    /// Claims that were ours and ran.
    pub claimed: u64,
    /// Repeats that got the first answer.
    pub repeats: u64,
    /// Requests refused because the table service failed.
    pub refused: u64,
    /// Requests whose key may have run elsewhere.
    pub in_use: u64,
    /// Transactions sent.
    pub commits: u64,
    /// Transactions whose outcome was unknown.
    pub unknown: u64,
    /// Claims given up before they ran.
    pub voided: u64,
    /// Answers that could not be kept.
    pub answers_lost: u64,
    /// Old rows deleted.
    pub swept: u64,
}
