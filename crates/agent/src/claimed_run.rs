//! A request that may not be repeated, from its dispatch to its last frame.

use crate::asked_claim::AskedClaim;
use crate::attempt::{Attempt, HEARTBEAT_TIME};
use crate::backend::{Backend, BackendError};
use crate::claims::ClaimVerdict;
use crate::registration::Registration;
use crate::scheduler_driver::Command;
use async_channel::Receiver;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future::or;
use http_body_util::{BodyExt, Limited};
use hyper::Response;
use hyper::body::Incoming;
use policy::{ClaimEvent, CompleteAnswer};
use proto::{AttemptId, Execution, Offer, Outcome, RefusalReason};
use runtime::{LinkError, timeout};
use serde::Deserialize;
use std::time::Duration;

const ANSWER_BYTES: usize = 16 << 20;
const UNAVAILABLE: u16 = 503;
const TOO_MANY: u16 = 429;
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time for which a call goes on after its caller has left, so that a repeat gets the answer.
const OUTLIVE_TIME: Duration = Duration::from_secs(60);
const TIME_UP: &str = "the time of the request is up";

#[derive(Deserialize)]
struct BackendRefusal {
    ran: bool,
}

/// How the backend server ended a call.
#[derive(Debug)]
enum CallEnd {
    Answered(CompleteAnswer),
    NotSent,
    Broken(Box<str>),
}

/// What a waiting request learns next.
enum Wake<T> {
    Next(Option<T>),
    Command(Option<Command>),
    Heartbeat,
}

/// A request that runs at most once, and has its claim.
pub struct ClaimedRun<'a> {
    attempt: &'a mut Attempt,
    commands: Receiver<Command>,
    asked: AskedClaim,
}

impl<'a> ClaimedRun<'a> {
    /// Starts with nothing sent.
    pub fn new(attempt: &'a mut Attempt, place: &Registration, asked: AskedClaim) -> Self {
        Self {
            attempt,
            commands: place.commands.clone(),
            asked,
        }
    }

    /// Calls the backend server in a task of its own, which outlives the caller, and passes on
    /// what it gives.
    pub async fn run(
        mut self,
        place: Registration,
        priority: u8,
        body: Bytes,
    ) -> Result<(), LinkError> {
        let agent = self.attempt.agent.clone();
        let offer = self.attempt.offer.clone();
        let (tx, rx) = async_channel::bounded(1);
        let (claims, backend) = (self.asked.hand_over(), agent.backend.clone());
        let mut place = place;
        agent.executor.detach(async move {
            let end = call_backend(&backend, &offer, priority, body).await;
            place.end(matches!(end, CallEnd::Answered(_)));
            claims.handle(event_of(offer.attempt, &end));
            let _ = tx.send(end).await;
        });
        match self.next(&rx).await? {
            Some(CallEnd::Answered(answer)) => self.attempt.pass_kept(answer).await,
            Some(CallEnd::NotSent) => self.refuse_unsent().await,
            Some(CallEnd::Broken(reason)) => self.fail(&reason).await,
            None => self.fail(TIME_UP).await,
        }
    }

    /// Waits until the claim is given up, so that another agent can claim the key.
    async fn refuse_unsent(&mut self) -> Result<(), LinkError> {
        let verdicts = self.asked.verdicts.clone();
        let (reason, retry_after) = match self.next(&verdicts).await? {
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

    /// The next message, while heartbeats go out; none where the time is up.
    async fn next<T>(&mut self, messages: &Receiver<T>) -> Result<Option<T>, LinkError> {
        loop {
            let next = async { Wake::Next(messages.recv().await.ok()) };
            let command = async { Wake::Command(self.commands.recv().await.ok()) };
            let heartbeat = async {
                Timer::after(HEARTBEAT_TIME).await;
                Wake::Heartbeat
            };
            match or(next, or(command, heartbeat)).await {
                Wake::Next(message) => return Ok(message),
                Wake::Command(Some(Command::Abort { .. })) => return Ok(None),
                Wake::Command(Some(_)) => {}
                Wake::Command(None) => return Ok(messages.recv().await.ok()),
                Wake::Heartbeat => self.attempt.send(Outcome::Heartbeat).await?,
            }
        }
    }
}

fn event_of(attempt: AttemptId, end: &CallEnd) -> ClaimEvent {
    match end {
        CallEnd::Answered(answer) => ClaimEvent::Answered {
            attempt,
            answer: answer.clone(),
        },
        CallEnd::NotSent => ClaimEvent::NotSent(attempt),
        CallEnd::Broken(_) => ClaimEvent::AnswerLost(attempt),
    }
}

async fn call_backend(backend: &Backend, offer: &Offer, priority: u8, body: Bytes) -> CallEnd {
    let limit = offer.remaining + OUTLIVE_TIME;
    let work = async {
        match backend.start(offer, priority, None, body).await {
            Ok(answer) => whole(answer).await,
            Err(err) => unanswered(&err),
        }
    };
    let late = CallEnd::Broken("the backend server did not answer".into());
    timeout(limit, work).await.unwrap_or(late)
}

fn unanswered(err: &BackendError) -> CallEnd {
    if err.is_unsent() {
        CallEnd::NotSent
    } else {
        CallEnd::Broken(err.to_string().into())
    }
}

async fn whole(answer: Response<Incoming>) -> CallEnd {
    let status = answer.status().as_u16();
    let content_type = answer.headers().get("content-type");
    let content_type = content_type
        .and_then(|value| value.to_str().ok())
        .map(Into::into);
    let body = Limited::new(answer.into_body(), ANSWER_BYTES).collect();
    let body = match body.await {
        Ok(body) => body.to_bytes(),
        Err(err) => {
            let reason = format!("the answer of the backend server broke off: {err}");
            return CallEnd::Broken(reason.into());
        }
    };
    if matches!(status, UNAVAILABLE | TOO_MANY) {
        return turned_away(&body);
    }
    CallEnd::Answered(CompleteAnswer {
        status,
        content_type,
        body,
    })
}

/// A refusal that does not say that the call did not run may have run it.
fn turned_away(body: &[u8]) -> CallEnd {
    match serde_json::from_slice::<BackendRefusal>(body) {
        Ok(BackendRefusal { ran: false }) => CallEnd::NotSent,
        _ => CallEnd::Broken("the backend server answered that it is unavailable".into()),
    }
}
