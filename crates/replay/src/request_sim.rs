//! State of a request and its current attempt at the simulated gateway.

use policy::{TraceEnd, TraceRequest};
use proto::{AttemptId, Execution, ServerId, Tokens};
use std::time::Duration;

pub(crate) const MAX_ATTEMPTS: u32 = 3;

/// A request at the gateway.
#[derive(Debug)]
pub(crate) struct RequestSim {
    pub(crate) spec: TraceRequest,
    pub(crate) deadline: Duration,
    pub(crate) attempts: u32,
    pub(crate) tried: Vec<ServerId>,
    pub(crate) current: Option<CurrentAttempt>,
    /// Whether an earlier attempt may have run.
    pub(crate) may_have_run: bool,
    pub(crate) end: Option<(Duration, TraceEnd)>,
    pub(crate) first_token_at: Option<Duration>,
    pub(crate) retry_after: Option<Duration>,
}

/// The attempt of a request that is in progress.
#[derive(Debug)]
pub(crate) struct CurrentAttempt {
    pub(crate) id: AttemptId,
    pub(crate) server: ServerId,
    pub(crate) body_sent: bool,
    pub(crate) tokens: Tokens,
    pub(crate) last_message_at: Duration,
}

impl RequestSim {
    pub(crate) fn new(now: Duration, spec: TraceRequest) -> Self {
        Self {
            deadline: now + Duration::from_millis(spec.time_ms),
            spec,
            attempts: 0,
            tried: Vec::new(),
            current: None,
            may_have_run: false,
            end: None,
            first_token_at: None,
            retry_after: None,
        }
    }

    /// Whether the current attempt may have run, which is possible once its body was sent.
    pub(crate) fn execution(&self) -> Execution {
        match &self.current {
            Some(current) if current.body_sent => Execution::MayHaveRun,
            _ => Execution::NotRun,
        }
    }

    /// What the caller is told if the last attempt ends without an answer.
    pub(crate) fn end_without_answer(&self, last: Execution) -> TraceEnd {
        if self.may_have_run || last == Execution::MayHaveRun {
            TraceEnd::MayHaveRun
        } else {
            TraceEnd::NotRun
        }
    }

    /// The current attempt, if it has this id.
    pub(crate) fn current(&mut self, attempt: AttemptId) -> Option<&mut CurrentAttempt> {
        self.current
            .as_mut()
            .filter(|current| current.id == attempt)
    }
}
