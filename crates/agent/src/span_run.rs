//! An attempt whose prompt spans several engines.

use crate::attempt::{Attempt, HEARTBEAT_TIME};
use crate::backend_run::BackendRun;
use crate::registration::Registration;
use crate::scheduler_driver::Command;
use crate::span_driver::{Span, SpanNotice};
use async_io::Timer;
use bytes::{Bytes, BytesMut};
use futures_lite::future::or;
use policy::{Event, Job, LeaderAction, SpanPlan};
use proto::{EventKind, Execution, GrantId, Outcome, RequestFrame};
use runtime::LinkError;
use std::time::Duration;

const RETRY_AFTER: Duration = Duration::from_secs(2);

enum Wake {
    Notice(Option<SpanNotice>),
    Frame(Result<Option<RequestFrame>, LinkError>),
    Heartbeat,
}

impl Attempt {
    /// Runs the attempt as a span: reserves and prefills while the body arrives, then decodes.
    pub(crate) async fn run_span(&mut self, plan: SpanPlan) -> Result<(), LinkError> {
        let hints = self.agent.driver.hints();
        self.send(Outcome::Accepted(hints)).await?;
        let id = self.offer.attempt;
        self.agent
            .record(EventKind::Queued(id), &self.offer, "span");
        let span = self.agent.engine.spans.start(&self.offer, plan);
        let mut body = BytesMut::new();
        let mut complete = false;
        let mut grant = None;
        loop {
            if let (Some(grant), true) = (grant, complete) {
                return self.decode(&span, grant, body.freeze()).await;
            }
            match self.next_of_span(&span, complete).await {
                Wake::Notice(Some(SpanNotice::Decode(granted))) => grant = Some(granted),
                Wake::Notice(Some(SpanNotice::End(end))) => return self.end_span(end).await,
                Wake::Notice(None) => return Ok(()),
                Wake::Frame(frame) => {
                    let Some(frame) = frame? else {
                        return Ok(());
                    };
                    complete = self.take_body(frame, &mut body);
                    if complete && body.len() as u64 != self.offer.body_bytes {
                        return Ok(());
                    }
                }
                Wake::Heartbeat => self.send(Outcome::Heartbeat).await?,
            }
        }
    }

    async fn next_of_span(&mut self, span: &Span, complete: bool) -> Wake {
        let notice = async { Wake::Notice(span.notices.recv().await.ok()) };
        let heartbeat = async {
            Timer::after(HEARTBEAT_TIME).await;
            Wake::Heartbeat
        };
        if complete {
            return or(notice, heartbeat).await;
        }
        let frame = async { Wake::Frame(self.rx.receive().await) };
        or(notice, or(frame, heartbeat)).await
    }

    async fn decode(&mut self, span: &Span, grant: GrantId, body: Bytes) -> Result<(), LinkError> {
        let agent = self.agent.clone();
        let place = Registration::new(
            agent.executor.clone(),
            agent.driver.clone(),
            agent.backend.clone(),
            self.offer.attempt,
        );
        let Some(priority) = self.wait_for_place(&place).await? else {
            return self
                .fail(Execution::MayHaveRun, "the engine is full", RETRY_AFTER)
                .await;
        };
        agent.metrics.dispatched.inc();
        let id = self.offer.attempt;
        agent.record(EventKind::Dispatched(id), &self.offer, "span");
        let run = BackendRun::in_grant(self, place, Some(grant));
        let ended = run.run(priority, body).await;
        span.decoded();
        ended
    }

    /// Waits for a place in the engine's batch; the prompt is prefilled already.
    async fn wait_for_place(&mut self, place: &Registration) -> Result<Option<u8>, LinkError> {
        let job = Job {
            cached_tokens: self.offer.prompt_tokens,
            has_span_grant: true,
            ..self.job()
        };
        let attempt = job.attempt;
        let driver = self.agent.driver.clone();
        driver.handle(Event::Offer(job));
        driver.handle(Event::BodyComplete(attempt));
        loop {
            let command = async { Some(place.commands.recv().await.ok()) };
            let heartbeat = async {
                Timer::after(HEARTBEAT_TIME).await;
                None
            };
            match or(command, heartbeat).await {
                Some(Some(Command::Dispatch { priority })) => return Ok(Some(priority)),
                Some(Some(Command::Accept)) => {}
                Some(_) => return Ok(None),
                None => self.send(Outcome::Heartbeat).await?,
            }
        }
    }

    async fn end_span(&mut self, end: LeaderAction) -> Result<(), LinkError> {
        match end {
            LeaderAction::Failed(execution, reason) => {
                self.fail(execution, reason, RETRY_AFTER).await
            }
            LeaderAction::Refused(reason) => self.refuse_for(reason, RETRY_AFTER).await,
            _ => Ok(()),
        }
    }
}
