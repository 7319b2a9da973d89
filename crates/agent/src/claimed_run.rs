//! Runs a dispatched request that may not be repeated.

use crate::attempt::{Attempt, HEARTBEAT_INTERVAL};
use crate::attempt_claim::AttemptClaim;
use crate::backend::{Backend, BackendError};
use crate::claims::ClaimVerdict;
use crate::metrics::Metrics;
use crate::registration::Registration;
use crate::scheduler_driver::Command;
use async_channel::Receiver;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future::or;
use http_body_util::{BodyExt, Limited};
use policy::{ClaimEvent, CompleteAnswer};
use proto::{AttemptId, Execution, Offer, Outcome, RefusalReason};
use runtime::{LinkError, SingleResponse, timeout};
use serde::Deserialize;
use std::time::Duration;

const MAX_RESPONSE_BYTES: usize = 16 << 20;
const STATUS_UNAVAILABLE: u16 = 503;
const STATUS_TOO_MANY_REQUESTS: u16 = 429;
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// How long the call of the backend server may go on after the request's deadline. It goes on even
/// if the caller has left, so that a repeat gets the response.
const EXTRA_CALL_TIME: Duration = Duration::from_secs(60);
const TIME_UP_REASON: &str = "the time of the request is up";

#[derive(Deserialize)]
struct RejectionBody {
    ran: bool,
}

/// Result of a call of the backend server.
#[derive(Debug)]
enum CallResult {
    Answered(CompleteAnswer),
    NotSent,
    MayHaveRun(Box<str>),
}

/// What ends a wait of the run.
enum RunEvent<T> {
    Message(Option<T>),
    Command(Option<Command>),
    Heartbeat,
}

/// A dispatched request that must run at most once and whose claim is granted.
pub struct ClaimedRun<'a> {
    attempt: &'a mut Attempt,
    commands: Receiver<Command>,
    claim: AttemptClaim,
}

impl<'a> ClaimedRun<'a> {
    /// Creates a run of the attempt; nothing is sent yet.
    pub fn new(attempt: &'a mut Attempt, registration: &Registration, claim: AttemptClaim) -> Self {
        Self {
            attempt,
            commands: registration.commands.clone(),
            claim,
        }
    }

    /// Calls the backend server in a separate task, which goes on if the caller leaves, and sends
    /// the result to the gateway.
    pub async fn run(
        mut self,
        registration: Registration,
        priority: u8,
        body: Bytes,
    ) -> Result<(), LinkError> {
        let agent = self.attempt.agent.clone();
        let offer = self.attempt.offer.clone();
        let (tx, rx) = async_channel::bounded(1);
        let (claims, backend) = (self.claim.hand_over(), agent.backend.clone());
        let metrics = agent.metrics.clone();
        let mut registration = registration;
        agent.executor.detach(async move {
            let result = call_backend(&backend, &metrics, &offer, priority, body).await;
            registration.report_ended(matches!(result, CallResult::Answered(_)));
            claims.handle(claim_event(offer.attempt, &result));
            let _ = tx.send(result).await;
        });
        match self.next_message(&rx).await? {
            Some(CallResult::Answered(answer)) => self.attempt.send_complete_answer(answer).await,
            Some(CallResult::NotSent) => self.refuse_unsent().await,
            Some(CallResult::MayHaveRun(reason)) => self.fail(&reason).await,
            None => self.fail(TIME_UP_REASON).await,
        }
    }

    /// Refuses the attempt once its claim is released, so that another agent can claim the key.
    async fn refuse_unsent(&mut self) -> Result<(), LinkError> {
        let verdicts = self.claim.verdicts.clone();
        let (reason, retry_after) = match self.next_message(&verdicts).await? {
            Some(ClaimVerdict::Refuse {
                reason,
                retry_after,
            }) => (reason, retry_after),
            _ => (RefusalReason::ServerDown, RETRY_AFTER),
        };
        self.attempt.refuse_for(reason, retry_after).await
    }

    async fn fail(&mut self, reason: &str) -> Result<(), LinkError> {
        let execution = Execution::MayHaveRun;
        self.attempt.fail(execution, reason, RETRY_AFTER).await
    }

    /// Waits for the next message while sending heartbeats to the gateway. `None` if the scheduler
    /// aborts the request after its deadline, or if `messages` is closed.
    async fn next_message<T>(&mut self, messages: &Receiver<T>) -> Result<Option<T>, LinkError> {
        loop {
            let message = async { RunEvent::Message(messages.recv().await.ok()) };
            let command = async { RunEvent::Command(self.commands.recv().await.ok()) };
            let heartbeat = async {
                Timer::after(HEARTBEAT_INTERVAL).await;
                RunEvent::Heartbeat
            };
            match or(message, or(command, heartbeat)).await {
                RunEvent::Message(message) => return Ok(message),
                RunEvent::Command(Some(Command::Abort { .. })) => return Ok(None),
                RunEvent::Command(Some(_)) => {}
                RunEvent::Command(None) => return Ok(messages.recv().await.ok()),
                RunEvent::Heartbeat => self.attempt.send(Outcome::Heartbeat).await?,
            }
        }
    }
}

fn claim_event(attempt: AttemptId, result: &CallResult) -> ClaimEvent {
    match result {
        CallResult::Answered(answer) => ClaimEvent::Answered {
            attempt,
            answer: answer.clone(),
        },
        CallResult::NotSent => ClaimEvent::NotSent(attempt),
        CallResult::MayHaveRun(_) => ClaimEvent::AnswerLost(attempt),
    }
}

async fn call_backend(
    backend: &Backend,
    metrics: &Metrics,
    offer: &Offer,
    priority: u8,
    body: Bytes,
) -> CallResult {
    let limit = offer.remaining + EXTRA_CALL_TIME;
    let work = async {
        match backend.send_request(offer, priority, None, body).await {
            Ok(response) => collect_response(response).await,
            Err(err) => {
                metrics
                    .invalid_answers
                    .inc_by(err.is_invalid_answer().into());
                failed_call(&err)
            }
        }
    };
    let timed_out = CallResult::MayHaveRun("the backend server did not answer".into());
    timeout(limit, work).await.unwrap_or(timed_out)
}

fn failed_call(err: &BackendError) -> CallResult {
    if err.is_unsent() {
        CallResult::NotSent
    } else {
        CallResult::MayHaveRun(err.to_string().into())
    }
}

async fn collect_response(mut response: SingleResponse) -> CallResult {
    let status = response.head.status.as_u16();
    let content_type = response.head.headers.get("content-type");
    let content_type = content_type
        .and_then(|value| value.to_str().ok())
        .map(Into::into);
    let body = Limited::new(&mut response.body, MAX_RESPONSE_BYTES).collect();
    let body = match body.await {
        Ok(body) => body.to_bytes(),
        Err(err) => {
            let reason = format!("the answer of the backend server broke off: {err}");
            return CallResult::MayHaveRun(reason.into());
        }
    };
    if matches!(status, STATUS_UNAVAILABLE | STATUS_TOO_MANY_REQUESTS) {
        return parse_rejection(&body);
    }
    CallResult::Answered(CompleteAnswer {
        status,
        content_type,
        body,
    })
}

/// The request may have run unless the body says that it did not.
fn parse_rejection(body: &[u8]) -> CallResult {
    match serde_json::from_slice::<RejectionBody>(body) {
        Ok(RejectionBody { ran: false }) => CallResult::NotSent,
        _ => CallResult::MayHaveRun("the backend server answered that it is unavailable".into()),
    }
}
