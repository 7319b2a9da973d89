//! Attempts at a request until an answer begins, or none can.

use crate::attempt::{Attempt, AttemptError, Head, Next};
use crate::call::Call;
use crate::caller_error::CallerError;
use crate::gateway::Gateway;
use bytes::Bytes;
use policy::{FailedAttempt, RoutingRequest, is_worth_retrying, may_retry};
use proto::{EventKind, Execution, RefusalReason, ServerId};
use slog::info;
use std::sync::Arc;
use std::time::Duration;

const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An answer that has begun.
#[derive(Debug)]
pub struct Begun {
    /// The attempt that answers.
    pub attempt: Attempt,
    /// Head of the answer.
    pub head: Head,
    /// First piece; none where the answer is empty and whole.
    pub first: Option<Bytes>,
}

/// Attempts at one request.
#[derive(Debug)]
pub struct Delivery<'a> {
    gateway: &'a Arc<Gateway>,
    call: &'a Call,
    tried: Vec<ServerId>,
    attempts: u32,
    may_have_run: bool,
}

impl<'a> Delivery<'a> {
    /// A request without attempts yet.
    pub fn new(gateway: &'a Arc<Gateway>, call: &'a Call) -> Self {
        Self {
            gateway,
            call,
            tried: Vec::new(),
            attempts: 0,
            may_have_run: false,
        }
    }

    /// Tries until an answer begins; an error says whether any of the request may have run.
    pub async fn run(mut self) -> Result<Begun, CallerError> {
        self.gateway.pools.on_first_attempt(self.call.target.pool());
        let mut last = None;
        let result = loop {
            match self.attempt(last.take()).await {
                Ok(begun) => {
                    self.gateway.pools.on_answer(self.call.target.pool());
                    break Ok(begun);
                }
                Err(failure) if self.may_follow(&failure) => {
                    self.may_have_run |= failure.error.execution() == Execution::MayHaveRun;
                    last = Some(failure);
                }
                Err(failure) if self.may_have_run => break Err(failure.error.after_a_run()),
                Err(failure) => break Err(failure.error),
            }
        };
        self.gateway
            .metrics
            .attempts_per_request
            .observe(f64::from(self.attempts));
        result
    }

    async fn attempt(&mut self, last: Option<Failure>) -> Result<Begun, Failure> {
        let ask = RoutingRequest {
            team: &self.call.team,
            model: self.call.model(),
            service: self.call.service(),
            prompt_tokens: self.call.prompt_tokens,
            output_tokens: self.call.output_tokens,
            remaining: self.call.remaining(),
            prefixes: &self.call.prefixes,
            tried: &self.tried,
        };
        let chosen = match self.gateway.pools.choose(self.call.target.pool(), &ask) {
            Ok(chosen) => chosen,
            Err(none) => {
                let error = CallerError::Refused(none.reason, none.retry_after);
                return Err(last.map_or(Failure::last(error), Failure::without_more));
            }
        };
        let server = chosen.server.clone();
        self.count(&server);
        let begun = match Attempt::start(self.gateway, self.call, chosen, self.attempts).await {
            Ok((attempt, head)) => first_piece(attempt, head).await,
            Err(err) => Err(err),
        };
        self.tried.push(server.clone());
        begun.map_err(|err| self.failure(&server, err))
    }

    fn count(&mut self, server: &ServerId) {
        self.attempts += 1;
        self.gateway.metrics.attempts.inc();
        if self.attempts > 1 {
            self.gateway.metrics.retries.inc();
        }
        let attempt = proto::AttemptId {
            request: self.call.id,
            number: self.attempts,
        };
        self.gateway
            .in_hand
            .offered(self.call.id, server, self.attempts);
        self.gateway.record(
            EventKind::Offered(attempt),
            self.call,
            Some(server.clone()),
            "",
        );
    }

    fn may_follow(&self, failure: &Failure) -> bool {
        let execution = failure.error.execution();
        let end = FailedAttempt {
            execution,
            answer_started: false,
            repeatable: self.call.repeatable,
        };
        let pool = self.call.target.pool();
        failure.more
            && self.attempts < self.gateway.settings.attempts
            && is_worth_retrying(self.call.remaining(), self.service_time())
            && may_retry(end)
            && (failure.free || self.gateway.pools.try_retry(pool, end))
    }

    /// Time that the last tried server would need, once it is the request's turn.
    fn service_time(&self) -> Duration {
        let Some(server) = self.tried.last() else {
            return Duration::ZERO;
        };
        let (prompt, output) = (self.call.prompt_tokens, self.call.output_tokens);
        let pool = self.call.target.pool();
        self.gateway
            .pools
            .service_time(pool, server, prompt, output)
    }

    fn failure(&self, server: &ServerId, err: AttemptError) -> Failure {
        let failure = self.judge(server, err);
        info!(self.gateway.log, "request: attempt ended without an answer";
            "request" => format!("{:032x}", self.call.id), "server" => &**server,
            "err" => %failure.error);
        failure
    }

    fn judge(&self, server: &ServerId, err: AttemptError) -> Failure {
        match err {
            AttemptError::Refused {
                reason,
                retry_after,
            } => Failure {
                error: CallerError::Refused(reason, retry_after),
                free: is_misrouted(reason),
                more: reason != RefusalReason::KeyConflict,
            },
            AttemptError::Unreachable(err) => {
                info!(self.gateway.log, "request: agent not reached"; "err" => %err);
                self.gateway
                    .pools
                    .on_unreachable(self.call.target.pool(), server);
                let reason = RefusalReason::ServerDown;
                let error = CallerError::Refused(reason, UNREACHABLE_RETRY_AFTER);
                Failure {
                    error,
                    free: true,
                    more: true,
                }
            }
            AttemptError::Lost { execution, reason } => {
                self.gateway
                    .pools
                    .on_unreachable(self.call.target.pool(), server);
                Failure {
                    error: CallerError::Failed(execution, reason, UNREACHABLE_RETRY_AFTER),
                    free: true,
                    more: true,
                }
            }
            AttemptError::Failed {
                execution,
                reason,
                retry_after,
            } => {
                self.gateway
                    .pools
                    .on_unreachable(self.call.target.pool(), server);
                let error = CallerError::Failed(execution, reason, retry_after);
                Failure {
                    error,
                    free: false,
                    more: true,
                }
            }
            AttemptError::TimeUp(execution) => {
                Failure::last(CallerError::TimeUp(execution, UNREACHABLE_RETRY_AFTER))
            }
        }
    }
}

/// An attempt without an answer, and what may follow.
struct Failure {
    error: CallerError,
    /// Whether a retry costs nothing of the budget, since no engine that lives was touched.
    free: bool,
    /// Whether another attempt can help.
    more: bool,
}

impl Failure {
    fn last(error: CallerError) -> Self {
        Self {
            error,
            free: false,
            more: false,
        }
    }

    fn without_more(self) -> Self {
        Self {
            more: false,
            ..self
        }
    }
}

/// Whether a refusal tells that the hints were out of date rather than that load is high.
fn is_misrouted(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::DomainOut
            | RefusalReason::Draining
            | RefusalReason::ShuttingDown
            | RefusalReason::NoConfig
            | RefusalReason::ModelNotLoaded
            | RefusalReason::NotAllowed
    )
}

async fn first_piece(mut attempt: Attempt, head: Head) -> Result<Begun, AttemptError> {
    let first = match attempt.next().await? {
        Next::Data(data) => Some(data),
        Next::End => None,
    };
    Ok(Begun {
        attempt,
        head,
        first,
    })
}

/// Whether a failure in the middle of an answer leaves the request possibly run.
pub fn error_of(err: AttemptError) -> CallerError {
    match err {
        AttemptError::Refused {
            reason,
            retry_after,
        } => CallerError::Refused(reason, retry_after),
        AttemptError::Unreachable(_) => {
            CallerError::Refused(RefusalReason::ServerDown, UNREACHABLE_RETRY_AFTER)
        }
        AttemptError::Lost { reason, .. } => {
            CallerError::Failed(Execution::MayHaveRun, reason, UNREACHABLE_RETRY_AFTER)
        }
        AttemptError::Failed {
            reason,
            retry_after,
            ..
        } => CallerError::Failed(Execution::MayHaveRun, reason, retry_after),
        AttemptError::TimeUp(_) => {
            CallerError::TimeUp(Execution::MayHaveRun, UNREACHABLE_RETRY_AFTER)
        }
    }
}
