//! What goes into and comes out of the leader of a span.

use proto::prelude::*;
use proto::{Execution, GrantId, RefusalReason, SpanAnswer, SpanRequest, SpanTicket};

/// Settings of a [`SpanLeader`](crate::SpanLeader).
#[derive(Debug, Clone, PartialEq)]
pub struct SpanConfig {
    /// How long a grant lasts unless renewed.
    pub lease: Duration,
    /// Time between renewals.
    pub renew_interval: Duration,
    /// Longest wait for the answer to a reservation.
    pub reserve_timeout: Duration,
    /// Time after which a prefill without an answer is asked for again.
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

/// What a span is for.
#[derive(Debug, Clone, PartialEq)]
pub struct SpanJob {
    /// Place in the order of spans.
    pub ticket: SpanTicket,
    /// Team of the caller.
    pub team: TeamId,
    /// Model.
    pub model: ModelId,
    /// When the span must have finished.
    pub deadline: Duration,
}

/// A step asked of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpanStep {
    /// [`SpanRequest::Reserve`].
    Reserve,
    /// [`SpanRequest::Renew`].
    Renew,
    /// [`SpanRequest::Prefill`].
    Prefill,
    /// [`SpanRequest::Release`].
    Release,
}

/// Names a question to a member; comes back with its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpanRequestId {
    /// Index of the segment.
    pub segment: usize,
    /// Round of reservation.
    pub round: u32,
    /// Step.
    pub step: SpanStep,
    /// When it was sent.
    pub sent: Duration,
}

/// What happened to a [`SpanLeader`](crate::SpanLeader).
#[derive(Debug, Clone, PartialEq)]
pub enum LeaderEvent {
    /// A member answered; none where the link failed.
    Reply(SpanRequestId, Option<SpanAnswer>),
    /// The engine ended the answer; tells whether it was whole.
    DecodeEnded(bool),
    /// The caller or its gateway left.
    Cancel,
    /// Time passed.
    Tick,
}

/// What the driver must do for a [`SpanLeader`](crate::SpanLeader).
#[derive(Debug, Clone, PartialEq)]
pub enum LeaderAction {
    /// Asks a member, which may be this agent itself.
    Send {
        /// Backend server of the member.
        server: ServerId,
        /// Comes back with the answer.
        id: SpanRequestId,
        /// The question.
        request: SpanRequest,
    },
    /// Gives the request to this agent's engine, under the grant.
    Decode(GrantId),
    /// Cancels the request at this agent's engine.
    CancelDecode,
    /// The span ended whole.
    Finished,
    /// The span did not run.
    Refused(RefusalReason),
    /// The span broke off.
    Failed(Execution, &'static str),
}
