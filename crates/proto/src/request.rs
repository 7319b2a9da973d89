//! Frames of an attempt at a request, between a gateway and an agent.

use crate::hints::Hints;
use crate::ids::{AttemptId, ConfigVersion, ModelId, RouteId, TeamId, Tokens};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Offer of an attempt, sent by a gateway to an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Team of the caller.
    pub team: TeamId,
    /// Requested model; `None` for a plain service.
    pub model: Option<ModelId>,
    /// Route of a plain service; `None` for a model.
    pub route: Option<RouteId>,
    /// Path and query of the request to the backend server.
    pub path: Box<str>,
    /// HTTP method of the request to the backend server.
    pub method: Box<str>,
    /// Value of the `Content-Type` header, if there is one.
    pub content_type: Option<Box<str>>,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: Tokens,
    /// Limit on the tokens of the answer.
    pub output_tokens: Tokens,
    /// Whether the answer is streamed token by token.
    pub streamed: bool,
    /// Time until the deadline of the request, when the offer was sent.
    pub remaining: Duration,
    /// Hashes of the prefixes of the prompt, in blocks; the longest prefix comes last.
    pub prefixes: Vec<u64>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Idempotency key under which the caller may repeat the request, if it sent one.
    pub idempotency_key: Option<Box<str>>,
    /// Hash of the whole request, to detect a key that is reused with other content.
    pub content_hash: u64,
    /// Configuration version on which the gateway's decision is based.
    pub config: ConfigVersion,
    /// Size of the body, in bytes.
    pub body_bytes: u64,
}

/// Frame that a gateway sends after its [`Offer`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RequestFrame {
    /// Next chunk of the body.
    Body(Bytes),
    /// The body is complete.
    BodyEnd,
}

/// Frame that an agent sends on the stream of an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AnswerFrame {
    /// Id of the attempt. A frame with the id of another attempt is dropped and counted.
    pub attempt: AttemptId,
    /// Progress or result of the attempt.
    pub outcome: Outcome,
}

/// Progress or result of an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The agent has queued the attempt; the gateway may send the rest of the body.
    Accepted(Hints),
    /// The agent did not run the attempt.
    Refused(Refusal),
    /// The head of the backend server's answer.
    Head {
        /// HTTP status code.
        status: u16,
        /// Value of the `Content-Type` header, if there was one.
        content_type: Option<Box<str>>,
    },
    /// Next chunk of the answer's body.
    Data(Bytes),
    /// The agent is still working on the attempt. Sent while there is nothing else to send.
    Heartbeat,
    /// The answer is complete.
    End {
        /// Size of the whole answer's body, in bytes.
        bytes: u64,
        /// Checksum of the whole answer's body, computed by [`AnswerChecksum`].
        checksum: u64,
        /// State of the backend server after the attempt.
        hints: Hints,
    },
    /// The attempt failed before the answer was complete.
    Failed {
        /// Whether the request may have run.
        execution: Execution,
        /// Explanation for the caller.
        reason: Box<str>,
        /// Time after which to retry.
        retry_after: Duration,
        /// State of the backend server, if the agent has one.
        hints: Option<Hints>,
    },
}

/// Whether an attempt has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Execution {
    /// It did certainly not run and will not run.
    NotRun,
    /// It may have run, partly or completely.
    MayHaveRun,
}

/// Refusal of an attempt, which guarantees that it did not run and will not run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time after which to retry.
    pub retry_after: Duration,
    /// State of the backend server, if the agent has one.
    pub hints: Option<Hints>,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RefusalReason {
    /// It could not be finished before its deadline.
    TooLate,
    /// The queue is full.
    QueueFull,
    /// The backend server is in cold start, and the limit that applies there is reached.
    ColdStart,
    /// The prompt needs more memory than is available.
    NoMemory,
    /// The team is over its limit.
    TeamLimit,
    /// The failure domain has been taken out of service.
    DomainOut,
    /// The backend server is draining or leaving.
    Draining,
    /// The process is shutting down.
    ShuttingDown,
    /// There is no backend server that may serve the request.
    NoServer,
    /// The placement rules forbid the request on this backend server.
    NotAllowed,
    /// The model is not loaded on this backend server.
    ModelNotLoaded,
    /// The table service is unavailable, so that a request which must not run more than once cannot
    /// be claimed.
    StoreUnavailable,
    /// The idempotency key was used before with other content.
    KeyConflict,
    /// A request with the same idempotency key is running or may have run.
    KeyInUse,
    /// The node has no configuration yet.
    NoConfig,
    /// The backend server does not answer.
    ServerDown,
}

/// Running size and checksum of an answer's body.
#[derive(Clone, Default)]
pub struct AnswerChecksum {
    bytes: u64,
    hash: Xxh3,
}

impl AnswerChecksum {
    /// Adds the next chunk of the answer.
    pub fn update(&mut self, data: &[u8]) {
        self.bytes += data.len() as u64;
        self.hash.update(data);
    }

    /// Number of bytes so far.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Checksum of the bytes so far.
    pub fn checksum(&self) -> u64 {
        self.hash.digest()
    }
}

impl std::fmt::Debug for AnswerChecksum {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AnswerChecksum")
            .field("bytes", &self.bytes)
            .finish_non_exhaustive()
    }
}
