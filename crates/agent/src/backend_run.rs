//! Sends a dispatched attempt to the backend server and forwards the response as it arrives.

use crate::attempt::{Attempt, HEARTBEAT_INTERVAL};
use crate::backend::BackendError;
use crate::registration::Registration;
use crate::scheduler_driver::Command;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future::or;
use http_body_util::{BodyExt, Collected, Limited};
use policy::SchedulerEvent;
use proto::{AnswerChecksum, EventKind, Execution, GrantId, Outcome, RefusalReason};
use runtime::{LinkError, SingleResponse};
use serde::Deserialize;
use std::future::Future;
use std::pin::{Pin, pin};
use std::time::Duration;

const CHUNK_BYTES: usize = 256 << 10;
const MAX_REJECTION_BYTES: usize = 64 << 10;
const STATUS_UNAVAILABLE: u16 = 503;
const STATUS_TOO_MANY_REQUESTS: u16 = 429;
const EVENT_STREAM: &str = "text/event-stream";
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A dispatched attempt, from the call of the backend server to the last frame of the response.
#[derive(Debug)]
pub struct BackendRun<'a> {
    attempt: &'a mut Attempt,
    registration: Registration,
    grant: Option<GrantId>,
    checksum: AnswerChecksum,
    streamed: bool,
}

/// What ends a wait for the backend server.
enum RunEvent<T> {
    Done(T),
    Command(Option<Command>),
    Heartbeat,
}

/// Why the run ended early.
enum EarlyEnd {
    Link(LinkError),
    Aborted { retry_after: Duration },
}

impl From<LinkError> for EarlyEnd {
    fn from(err: LinkError) -> Self {
        Self::Link(err)
    }
}

#[derive(Deserialize)]
struct RejectionBody {
    ran: bool,
}

impl<'a> BackendRun<'a> {
    /// Creates a run of the attempt; nothing is sent yet.
    pub fn new(attempt: &'a mut Attempt, registration: Registration) -> Self {
        Self::with_grant(attempt, registration, None)
    }

    /// Creates a run of the attempt, which uses the engine memory reserved under `grant` if one is
    /// given; nothing is sent yet.
    pub fn with_grant(
        attempt: &'a mut Attempt,
        registration: Registration,
        grant: Option<GrantId>,
    ) -> Self {
        Self {
            attempt,
            registration,
            grant,
            checksum: AnswerChecksum::default(),
            streamed: false,
        }
    }

    /// Sends the request to the backend server and forwards the response to the gateway.
    pub async fn run(mut self, priority: u8, body: Bytes) -> Result<(), LinkError> {
        match self.exchange(priority, body).await {
            Ok(()) => Ok(()),
            Err(EarlyEnd::Link(err)) => Err(err),
            Err(EarlyEnd::Aborted { retry_after }) => {
                let reason = "the time of the request is up";
                self.attempt
                    .fail(Execution::MayHaveRun, reason, retry_after)
                    .await
            }
        }
    }

    async fn exchange(&mut self, priority: u8, body: Bytes) -> Result<(), EarlyEnd> {
        let backend = self.attempt.agent.backend.clone();
        let offer = self.attempt.offer.clone();
        if offer.model.is_some() {
            self.registration.mark_at_engine();
        }
        let response = self
            .wait_with_heartbeats(pin!(
                backend.send_request(&offer, priority, self.grant, body)
            ))
            .await?;
        match response {
            Ok(response) if is_rejection(&response) => self.handle_rejection(response).await,
            Ok(response) => self.forward_response(response).await,
            Err(err) => self.handle_failed_call(&err).await,
        }
    }

    /// Waits for `work` of the backend server while sending heartbeats to the gateway. Fails if the
    /// scheduler aborts the attempt.
    async fn wait_with_heartbeats<F: Future>(
        &mut self,
        mut work: Pin<&mut F>,
    ) -> Result<F::Output, EarlyEnd> {
        loop {
            let done = async { RunEvent::Done(work.as_mut().await) };
            let command = async { RunEvent::Command(self.registration.commands.recv().await.ok()) };
            let heartbeat = async {
                Timer::after(HEARTBEAT_INTERVAL).await;
                RunEvent::Heartbeat
            };
            match or(done, or(command, heartbeat)).await {
                RunEvent::Done(value) => return Ok(value),
                RunEvent::Command(Some(Command::Abort { retry_after, .. })) => {
                    return Err(EarlyEnd::Aborted { retry_after });
                }
                RunEvent::Command(_) => {}
                RunEvent::Heartbeat => self.attempt.send(Outcome::Heartbeat).await?,
            }
        }
    }

    async fn forward_response(&mut self, mut response: SingleResponse) -> Result<(), EarlyEnd> {
        let status = response.head.status.as_u16();
        let content_type = response.head.headers.get("content-type");
        let content_type: Option<Box<str>> = content_type
            .and_then(|value| value.to_str().ok())
            .map(Into::into);
        self.streamed = content_type
            .as_deref()
            .is_some_and(|name| name.starts_with(EVENT_STREAM));
        self.attempt
            .send(Outcome::Head {
                status,
                content_type,
            })
            .await?;
        loop {
            let frame = response.body.frame();
            let frame = self.wait_with_heartbeats(pin!(frame)).await?;
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.forward_data(data).await?;
                    }
                }
                Some(Err(err)) => return self.handle_broken_response(&err).await,
                None => return self.finish().await,
            }
        }
    }

    async fn forward_data(&mut self, mut data: Bytes) -> Result<(), EarlyEnd> {
        let id = self.attempt.offer.attempt;
        if self.checksum.bytes() == 0 {
            self.attempt
                .agent
                .record(EventKind::FirstByte(id), &self.attempt.offer, "");
            if self.streamed {
                self.attempt
                    .agent
                    .scheduler
                    .handle(SchedulerEvent::FirstToken(id));
            }
        }
        if self.streamed {
            let tokens = count_events(&data);
            self.attempt
                .agent
                .scheduler
                .handle(SchedulerEvent::Progress {
                    attempt: id,
                    tokens,
                });
        }
        self.checksum.update(&data);
        while !data.is_empty() {
            let chunk = data.split_to(data.len().min(CHUNK_BYTES));
            self.attempt.send(Outcome::Data(chunk)).await?;
        }
        Ok(())
    }

    async fn finish(&mut self) -> Result<(), EarlyEnd> {
        self.registration.report_ended(true);
        let agent = self.attempt.agent.clone();
        agent.metrics.ended.with_label_values(&["finished"]).inc();
        agent.record(
            EventKind::Finished(self.attempt.offer.attempt),
            &self.attempt.offer,
            "",
        );
        let (bytes, checksum) = (self.checksum.bytes(), self.checksum.checksum());
        let hints = agent.scheduler.hints();
        self.attempt
            .send(Outcome::End {
                bytes,
                checksum,
                hints,
            })
            .await?;
        self.attempt.tx.finish();
        Ok(())
    }

    async fn handle_rejection(&mut self, mut response: SingleResponse) -> Result<(), EarlyEnd> {
        let body = Limited::new(&mut response.body, MAX_REJECTION_BYTES).collect();
        let body = self.wait_with_heartbeats(pin!(body)).await?;
        let bytes = body.map(Collected::to_bytes).unwrap_or_default();
        let rejection = serde_json::from_slice::<RejectionBody>(&bytes);
        let ran = rejection.map_or(true, |rejection| rejection.ran);
        if ran {
            self.registration.report_ended(false);
            let reason = "the backend server answered that it is unavailable";
            self.attempt
                .fail(Execution::MayHaveRun, reason, RETRY_AFTER)
                .await?;
        } else {
            match self.registration.report_rejected() {
                Some(refusal) => self.attempt.refuse(refusal).await?,
                None => self.refuse_server_down().await?,
            }
        }
        Ok(())
    }

    async fn handle_failed_call(&mut self, err: &BackendError) -> Result<(), EarlyEnd> {
        self.registration.report_ended(false);
        if err.is_invalid_answer() {
            self.attempt.agent.metrics.invalid_answers.inc();
        }
        if err.is_unsent() {
            self.refuse_server_down().await?;
        } else {
            self.attempt
                .fail(Execution::MayHaveRun, &err.to_string(), RETRY_AFTER)
                .await?;
        }
        Ok(())
    }

    async fn refuse_server_down(&mut self) -> Result<(), LinkError> {
        let reason = RefusalReason::ServerDown;
        self.attempt.refuse_for(reason, RETRY_AFTER).await
    }

    async fn handle_broken_response(&mut self, err: &hyper::Error) -> Result<(), EarlyEnd> {
        self.registration.report_ended(false);
        let reason = format!("the answer of the backend server broke off: {err}");
        self.attempt
            .fail(Execution::MayHaveRun, &reason, RETRY_AFTER)
            .await?;
        Ok(())
    }
}

fn is_rejection(response: &SingleResponse) -> bool {
    matches!(
        response.head.status.as_u16(),
        STATUS_UNAVAILABLE | STATUS_TOO_MANY_REQUESTS
    )
}

/// Number of server-sent events that end in a chunk of the response, about one per token.
fn count_events(data: &[u8]) -> u64 {
    data.windows(2).filter(|pair| *pair == b"\n\n").count() as u64
}
