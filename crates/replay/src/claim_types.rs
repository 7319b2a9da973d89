//! Faults, callers and recorded outcomes of the claim simulation.

use bytes::Bytes;
use proto::{AttemptId, RefusalReason};
use std::time::Duration;

/// Fault injected when an agent executes an action.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimFault {
    /// The agent is killed before the action.
    KillBefore,
    /// The agent is killed right after it has sent the action.
    KillAfter,
    /// The agent is paused for this long before the action.
    Freeze(Duration),
    /// The store is unavailable for this call and changes nothing.
    Down,
    /// The store is down for this long, starting with this action.
    DownFor(Duration),
    /// The store executes the call, but its reply is lost.
    LostAnswer,
    /// The call is lost before it reaches the store.
    LostCall,
    /// The store executes the call after this delay, when the agent has stopped waiting for it, and
    /// its reply is lost.
    Late(Duration),
    /// The store executes the call after this delay, at most the agent's timeout for the call.
    Slow(Duration),
    /// The backend server is unreachable, so the call is not sent.
    NotSent,
    /// The backend server runs the call, but its answer is lost.
    AnswerLost,
}

/// A fault to inject at one action of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Injection {
    /// Index of the agent, less than [`AGENT_COUNT`](crate::AGENT_COUNT).
    pub agent: usize,
    /// Zero-based index of the action among all actions of this agent.
    pub action: usize,
    /// Fault to inject there.
    pub fault: ClaimFault,
}

/// A caller, which retries with the same key until it gets an answer, a key conflict or its last
/// attempt fails.
#[derive(Debug, Clone)]
pub struct ClaimCaller {
    /// Virtual time of its first attempt.
    pub first_attempt_at: Duration,
    /// Index of the agent that its first attempt is routed to; retries alternate between agents.
    pub agent: usize,
    /// Idempotency key that all its attempts use.
    pub key: &'static str,
    /// Hash of the request's content; a key used with another hash is a conflict.
    pub content_hash: u64,
    /// Maximum number of attempts.
    pub max_attempts: u32,
}

/// Outcome of one attempt, as the caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete answer.
    Answer(Bytes),
    /// The attempt was refused and did not run.
    NotRun(RefusalReason),
    /// The request may have run, now or in an earlier attempt.
    MayHaveRun,
    /// The connection to the agent broke.
    ConnectionLost,
}

/// A call that the plain service ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRun {
    /// Attempt that the call belongs to.
    pub attempt: AttemptId,
    /// Idempotency key of the call.
    pub key: &'static str,
    /// Body of the answer, different for each call.
    pub answer: Bytes,
}
