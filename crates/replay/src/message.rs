//! Messages and events of the simulation.

use declarations::Declarations;
use policy::Job;
use policy::{FaultKind, TraceRequest};
use proto::{AttemptId, Execution, Hints, Refusal};
use std::sync::Arc;

/// Index of an agent and its engine in the simulation.
pub(crate) type AgentIndex = usize;
/// Index of a request in the simulation.
pub(crate) type RequestIndex = usize;

/// Message from the gateway to an agent.
#[derive(Debug, Clone)]
pub(crate) enum ToAgent {
    Offer(Job),
    Body(AttemptId),
    Cancel(AttemptId),
}

/// Message from an agent to the gateway about one attempt.
#[derive(Debug, Clone)]
pub(crate) enum ToGateway {
    Accepted,
    Refused(Refusal),
    Tokens {
        count: u64,
        first: bool,
    },
    Heartbeat,
    End {
        hints: Box<Hints>,
    },
    Failed(Execution),
    /// The connection to the agent broke.
    ConnectionLost,
}

/// Scheduled event. A `u64` after an [`AgentIndex`] is the incarnation of the agent, so that
/// events for an earlier incarnation are ignored.
#[derive(Debug, Clone)]
pub(crate) enum SimEvent {
    SendRequest(TraceRequest),
    Retry(RequestIndex),
    Deadline(RequestIndex),
    SilenceTimeout(RequestIndex, AttemptId),
    ToAgent(AgentIndex, u64, ToAgent),
    ToGateway(AttemptId, ToGateway),
    SchedulerTick(AgentIndex, u64),
    EngineWakeup(AgentIndex),
    ReportLoad(AgentIndex, u64),
    SubmitToEngine(AgentIndex, u64, AttemptId, u8),
    CommitConfig(Arc<Declarations>, u64),
    ActivateConfig(AgentIndex, Arc<Declarations>, u64),
    ActivateRouterConfig(Arc<Declarations>),
    RestartAgent(AgentIndex),
    RestoreEngineSpeed(AgentIndex),
    InjectFault(AgentIndex, FaultKind),
}

/// Step of the request protocol at which a fault can be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// The gateway offers an attempt.
    Offer,
    /// The agent accepts or refuses the attempt.
    Verdict,
    /// The gateway sends the request body.
    Body,
    /// The agent submits the attempt to the engine.
    Dispatch,
    /// The agent sends the first token of the answer.
    FirstToken,
    /// The agent sends a later token of the answer.
    Stream,
    /// The agent sends the end of the answer or an error.
    End,
}

impl Step {
    /// All steps, in protocol order.
    pub const ALL: [Self; 7] = [
        Self::Offer,
        Self::Verdict,
        Self::Body,
        Self::Dispatch,
        Self::FirstToken,
        Self::Stream,
        Self::End,
    ];

    /// Name of the step in the printed fault matrix.
    pub fn name(self) -> &'static str {
        match self {
            Self::Offer => "offer",
            Self::Verdict => "verdict",
            Self::Body => "body",
            Self::Dispatch => "dispatch",
            Self::FirstToken => "first token",
            Self::Stream => "stream",
            Self::End => "end",
        }
    }
}
