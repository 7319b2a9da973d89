//! Makes attempts at a request until a response starts or no further attempt is allowed.

use crate::attempt::{Attempt, AttemptError, ResponseHead, ResponsePart};
use crate::caller_error::CallerError;
use crate::caller_request::CallerRequest;
use crate::gateway::Gateway;
use bytes::Bytes;
use policy::{FailedAttempt, RoutingRequest, is_worth_retrying, may_retry};
use proto::{EventKind, Execution, RefusalReason, ServerId};
use slog::info;
use std::sync::Arc;
use std::time::Duration;

const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A response that has started, so that no other attempt is possible.
#[derive(Debug)]
pub struct StartedResponse {
    /// The attempt that the rest of the response comes from.
    pub attempt: Attempt,
    /// Status and content type of the response.
    pub head: ResponseHead,
    /// First chunk of the body; `None` if the response is complete and empty.
    pub first: Option<Bytes>,
}

/// The attempts at one request: the servers tried, and whether a failed attempt may have run.
#[derive(Debug)]
pub struct Delivery<'a> {
    gateway: &'a Arc<Gateway>,
    request: &'a CallerRequest,
    tried: Vec<ServerId>,
    attempts: u32,
    may_have_run: bool,
}

impl<'a> Delivery<'a> {
    /// Prepares the delivery of a request; nothing is sent yet.
    pub fn new(gateway: &'a Arc<Gateway>, request: &'a CallerRequest) -> Self {
        Self {
            gateway,
            request,
            tried: Vec::new(),
            attempts: 0,
            may_have_run: false,
        }
    }

    /// Makes attempts until a response starts. The error tells whether the request may have run in
    /// any of them.
    pub async fn run(mut self) -> Result<StartedResponse, CallerError> {
        self.gateway
            .pools
            .on_first_attempt(self.request.target.pool());
        let mut previous = None;
        let result = loop {
            match self.attempt(previous.take()).await {
                Ok(started) => {
                    self.gateway.pools.on_response(self.request.target.pool());
                    break Ok(started);
                }
                Err(failure) if self.may_retry_after(&failure) => {
                    self.may_have_run |= failure.error.execution() == Execution::MayHaveRun;
                    if !self.may_have_run {
                        self.request.run.set(Execution::NotRun);
                    }
                    previous = Some(failure);
                }
                Err(failure) if self.may_have_run => {
                    break Err(failure.error.after_possible_execution());
                }
                Err(failure) => break Err(failure.error),
            }
        };
        self.gateway
            .metrics
            .attempts_per_request
            .observe(f64::from(self.attempts));
        result
    }

    async fn attempt(
        &mut self,
        previous: Option<AttemptFailure>,
    ) -> Result<StartedResponse, AttemptFailure> {
        let routing = RoutingRequest {
            team: &self.request.team,
            model: self.request.model(),
            service: self.request.service(),
            prompt_tokens: self.request.prompt_tokens,
            output_tokens: self.request.output_tokens,
            remaining: self.request.remaining(),
            prefixes: &self.request.prefixes,
            tried: &self.tried,
        };
        let chosen = match self
            .gateway
            .pools
            .choose(self.request.target.pool(), &routing)
        {
            Ok(chosen) => chosen,
            Err(refusal) => {
                let error = CallerError::Refused(refusal.reason, refusal.retry_after);
                return Err(previous.map_or(
                    AttemptFailure::final_error(error),
                    AttemptFailure::without_retry,
                ));
            }
        };
        let server = chosen.server.clone();
        self.record_attempt(&server);
        let started = match Attempt::start(self.gateway, self.request, chosen, self.attempts).await
        {
            Ok((attempt, head)) => first_chunk(attempt, head).await,
            Err(err) => Err(err),
        };
        self.tried.push(server.clone());
        started.map_err(|err| self.failure(&server, err))
    }

    fn record_attempt(&mut self, server: &ServerId) {
        self.attempts += 1;
        self.gateway.metrics.attempts.inc();
        if self.attempts > 1 {
            self.gateway.metrics.retries.inc();
        }
        let attempt = proto::AttemptId {
            request: self.request.id,
            number: self.attempts,
        };
        self.gateway
            .active_requests
            .set_offered(self.request.id, server, self.attempts);
        self.gateway.record(
            EventKind::Offered(attempt),
            self.request,
            Some(server.clone()),
            "",
        );
    }

    fn may_retry_after(&self, failure: &AttemptFailure) -> bool {
        let execution = failure.error.execution();
        let failed = FailedAttempt {
            execution,
            answer_started: false,
            repeatable: self.request.repeatable,
        };
        let pool = self.request.target.pool();
        failure.retryable
            && self.attempts < self.gateway.settings.max_attempts
            && is_worth_retrying(self.request.remaining(), self.service_time())
            && may_retry(failed)
            && (failure.free_retry || self.gateway.pools.try_retry(pool, failed))
    }

    /// Predicted service time of the request at the server of the last attempt, without queueing.
    fn service_time(&self) -> Duration {
        let Some(server) = self.tried.last() else {
            return Duration::ZERO;
        };
        let (prompt, output) = (self.request.prompt_tokens, self.request.output_tokens);
        let pool = self.request.target.pool();
        self.gateway
            .pools
            .service_time(pool, server, prompt, output)
    }

    fn failure(&self, server: &ServerId, err: AttemptError) -> AttemptFailure {
        let failure = self.classify(server, err);
        info!(self.gateway.log, "request: attempt failed before a response";
            "request" => format!("{:032x}", self.request.id), "server" => &**server,
            "err" => %failure.error);
        failure
    }

    fn classify(&self, server: &ServerId, err: AttemptError) -> AttemptFailure {
        match err {
            AttemptError::Refused {
                reason,
                retry_after,
            } => AttemptFailure {
                error: CallerError::Refused(reason, retry_after),
                free_retry: is_misrouting(reason),
                retryable: reason != RefusalReason::KeyConflict,
            },
            AttemptError::Unreachable(err) => {
                info!(self.gateway.log, "request: agent unreachable"; "err" => %err);
                self.gateway
                    .pools
                    .on_unreachable(self.request.target.pool(), server);
                let reason = RefusalReason::ServerDown;
                let error = CallerError::Refused(reason, UNREACHABLE_RETRY_AFTER);
                AttemptFailure {
                    error,
                    free_retry: true,
                    retryable: true,
                }
            }
            AttemptError::ConnectionLost { execution, reason } => {
                self.gateway
                    .pools
                    .on_unreachable(self.request.target.pool(), server);
                AttemptFailure {
                    error: CallerError::Failed(execution, reason, UNREACHABLE_RETRY_AFTER),
                    free_retry: true,
                    retryable: true,
                }
            }
            AttemptError::Failed {
                execution,
                reason,
                retry_after,
            } => {
                self.gateway
                    .pools
                    .on_unreachable(self.request.target.pool(), server);
                let error = CallerError::Failed(execution, reason, retry_after);
                AttemptFailure {
                    error,
                    free_retry: false,
                    retryable: true,
                }
            }
            AttemptError::DeadlineExceeded(execution) => AttemptFailure::final_error(
                CallerError::DeadlineExceeded(execution, UNREACHABLE_RETRY_AFTER),
            ),
        }
    }
}

/// A failed attempt, and whether the request may be retried.
struct AttemptFailure {
    error: CallerError,
    /// Whether a retry is not charged to the retry budget, because the failed attempt put no load
    /// on a working engine.
    free_retry: bool,
    /// Whether another attempt may succeed.
    retryable: bool,
}

impl AttemptFailure {
    fn final_error(error: CallerError) -> Self {
        Self {
            error,
            free_retry: false,
            retryable: false,
        }
    }

    fn without_retry(self) -> Self {
        Self {
            retryable: false,
            ..self
        }
    }
}

/// Whether a refusal means that the routing information was out of date, rather than that load is
/// high.
fn is_misrouting(reason: RefusalReason) -> bool {
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

async fn first_chunk(
    mut attempt: Attempt,
    head: ResponseHead,
) -> Result<StartedResponse, AttemptError> {
    let first = match attempt.next().await? {
        ResponsePart::Data(data) => Some(data),
        ResponsePart::End => None,
    };
    Ok(StartedResponse {
        attempt,
        head,
        first,
    })
}

/// Converts the failure of an attempt whose response has started. Unless the attempt was refused or
/// its agent was unreachable, the request counts as possibly run.
pub fn midstream_error(err: AttemptError) -> CallerError {
    match err {
        AttemptError::Refused {
            reason,
            retry_after,
        } => CallerError::Refused(reason, retry_after),
        AttemptError::Unreachable(_) => {
            CallerError::Refused(RefusalReason::ServerDown, UNREACHABLE_RETRY_AFTER)
        }
        AttemptError::ConnectionLost { reason, .. } => {
            CallerError::Failed(Execution::MayHaveRun, reason, UNREACHABLE_RETRY_AFTER)
        }
        AttemptError::Failed {
            reason,
            retry_after,
            ..
        } => CallerError::Failed(Execution::MayHaveRun, reason, retry_after),
        AttemptError::DeadlineExceeded(_) => {
            CallerError::DeadlineExceeded(Execution::MayHaveRun, UNREACHABLE_RETRY_AFTER)
        }
    }
}
