//! Input and output of [`SpanLeader`](crate::SpanLeader).

use proto::prelude::*;
use proto::{Execution, GrantId, RefusalReason, SpanAnswer, SpanRequest, SpanTicket};

/// Settings of a [`SpanLeader`](crate::SpanLeader).
#[derive(Debug, Clone, PartialEq)]
pub struct SpanConfig {
    /// How long a grant of memory lasts unless renewed.
    pub lease: Duration,
    /// Time between renewals of the grants.
    pub renew_interval: Duration,
    /// Longest wait for replies in a round of reservations.
    pub reserve_timeout: Duration,
    /// Time after which a prefill request without a reply is sent again.
    pub prefill_retry_interval: Duration,
}

impl Default for SpanConfig {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            renew_interval: Duration::from_secs(2),
            reserve_timeout: Duration::from_secs(1),
            prefill_retry_interval: Duration::from_secs(2),
        }
    }
}

/// The request that a span serves.
#[derive(Debug, Clone, PartialEq)]
pub struct SpanJob {
    /// Position in the order of all spans, by which members decide who gets memory first.
    pub ticket: SpanTicket,
    /// Team of the caller.
    pub team: TeamId,
    /// Model that answers.
    pub model: ModelId,
    /// Time by which the whole span must have finished.
    pub deadline: Duration,
}

/// Kind of a request to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpanStep {
    /// Sends [`SpanRequest::Reserve`].
    Reserve,
    /// Sends [`SpanRequest::Renew`].
    Renew,
    /// Sends [`SpanRequest::Prefill`].
    Prefill,
    /// Sends [`SpanRequest::Release`].
    Release,
}

/// Identifies a request to a member, and is returned with its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpanRequestId {
    /// Index of the segment in the plan.
    pub segment: usize,
    /// Round of reservations, from one. Replies to an earlier round are ignored.
    pub round: u32,
    /// Kind of the request.
    pub step: SpanStep,
    /// When the request was sent.
    pub sent: Duration,
}

/// Event that a [`SpanLeader`](crate::SpanLeader) handles.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaderEvent {
    /// A member replied; `None` if the link failed or the request timed out.
    Reply(SpanRequestId, Option<SpanAnswer>),
    /// The engine ended the answer; true if it is complete.
    DecodeEnded(bool),
    /// The caller or its gateway disconnected.
    Cancel,
    /// The time given by [`SpanLeader::next_wakeup`](crate::SpanLeader::next_wakeup) has come.
    Tick,
}

/// What the driver must do for a [`SpanLeader`](crate::SpanLeader).
#[derive(Debug, Clone, PartialEq)]
pub enum LeaderAction {
    /// Sends a request to a member, which may be this agent itself.
    Send {
        /// Backend server of the member.
        server: ServerId,
        /// To be returned with the reply.
        id: SpanRequestId,
        /// The request.
        request: SpanRequest,
    },
    /// Sends the caller's request to this agent's engine, to decode with the memory of this grant.
    Decode(GrantId),
    /// Cancels the caller's request at this agent's engine.
    CancelDecode,
    /// The span ended and its answer is complete.
    Finished,
    /// The span ended before any engine worked for it.
    Refused(RefusalReason),
    /// The span was aborted after engines had begun to work for it.
    Failed(Execution, &'static str),
}
