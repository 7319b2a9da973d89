//! Messages for spans: prompts that are prefilled in segments by several engines.

use crate::ids::{AttemptId, GrantId, ModelId, ServerId, TeamId, Tokens};
use crate::timeline::Stamp;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Priority of a span. All agents grant memory in this order, older spans first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SpanTicket {
    /// Clock of the leading agent when the span began.
    pub stamp: Stamp,
    /// Attempt whose prompt is prefilled.
    pub attempt: AttemptId,
}

/// Request of the agent that leads a span to an agent that takes part in it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SpanRequest {
    /// Reserve memory under a lease.
    Reserve {
        /// Priority of the span.
        ticket: SpanTicket,
        /// Id of the grant, chosen by the leader.
        grant: GrantId,
        /// Team of the caller.
        team: TeamId,
        /// Model of the request.
        model: ModelId,
        /// Size of the memory, in tokens of KV cache.
        tokens: Tokens,
        /// Time after which the grant expires unless it is renewed.
        lease: Duration,
    },
    /// Renew the lease on a grant.
    Renew {
        /// Id of the grant.
        grant: GrantId,
        /// Time after which the grant expires unless it is renewed.
        lease: Duration,
    },
    /// Prefill a segment into granted memory, after importing the KV cache of the segments before
    /// it. Idempotent.
    Prefill {
        /// Id of the grant.
        grant: GrantId,
        /// Index of the segment, starting from 0.
        segment: u32,
        /// First token of the segment.
        from: Tokens,
        /// End of the segment: the token after its last one.
        to: Tokens,
        /// Location of the segment before; `None` for the first one.
        import: Option<SpanImport>,
        /// Time until the deadline of the request.
        remaining: Duration,
    },
    /// Release a grant, whose id is not used again. Idempotent.
    Release {
        /// Id of the grant.
        grant: GrantId,
        /// Priority of the span.
        ticket: SpanTicket,
        /// Whether the span keeps its place in the order, because it will ask again.
        keep_place: bool,
    },
}

/// Location from which a segment's KV cache can be imported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpanImport {
    /// Address of the engine that exports it.
    pub engine: SocketAddr,
    /// Grant that holds it at that engine.
    pub grant: GrantId,
}

/// Answer to a [`SpanRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SpanAnswer {
    /// The step was carried out.
    Done {
        /// Backend server that carried it out.
        server: ServerId,
        /// Address of the engine, from which other engines import.
        engine: SocketAddr,
    },
    /// The step was not carried out, and no memory is held for it.
    Refused {
        /// Reason of the refusal.
        reason: Box<str>,
        /// Time after which to ask again; `None` if asking again is of no use.
        retry_after: Option<Duration>,
    },
    /// The grant is unknown to this agent or has expired.
    UnknownGrant,
}
