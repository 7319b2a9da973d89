//! Runs an attempt as a span, whose prompt takes the memory of several engines.

use crate::attempt::{Attempt, HEARTBEAT_INTERVAL};
use crate::backend_run::BackendRun;
use crate::registration::Registration;
use crate::scheduler_driver::Command;
use crate::span_driver::{SpanHandle, SpanNotice};
use async_io::Timer;
use bytes::{Bytes, BytesMut};
use futures_lite::future::or;
use policy::{Job, LeaderAction, SchedulerEvent, SpanPlan};
use proto::{EventKind, Execution, GrantId, Outcome, RequestFrame};
use runtime::LinkError;
use std::time::Duration;

const RETRY_AFTER: Duration = Duration::from_secs(2);

/// What ends a wait for the span.
enum SpanEvent {
    Notice(Option<SpanNotice>),
    Frame(Result<Option<RequestFrame>, LinkError>),
    Heartbeat,
}

impl Attempt {
    /// Runs the attempt as a span: reserves and prefills while the body arrives, then decodes.
    pub(crate) async fn run_span(&mut self, plan: SpanPlan) -> Result<(), LinkError> {
        let hints = self.agent.scheduler.hints();
        self.send(Outcome::Accepted(hints)).await?;
        let id = self.offer.attempt;
        self.agent
            .record(EventKind::Queued(id), &self.offer, "span");
        let span = self.agent.engine.spans.start(&self.offer, plan);
        self.may_have_run = true;
        let mut body = BytesMut::new();
        let mut body_complete = false;
        let mut grant = None;
        loop {
            if let (Some(grant), true) = (grant, body_complete) {
                return self.run_decode(&span, grant, body.freeze()).await;
            }
            match self.next_span_event(&span, body_complete).await {
                SpanEvent::Notice(Some(SpanNotice::Decode(granted))) => grant = Some(granted),
                SpanEvent::Notice(Some(SpanNotice::End(end))) => return self.end_span(end).await,
                SpanEvent::Notice(None) => return Ok(()),
                SpanEvent::Frame(frame) => {
                    let Some(frame) = frame? else {
                        return Ok(());
                    };
                    body_complete = self.append_body(frame, &mut body);
                    if body_complete && body.len() as u64 != self.offer.body_bytes {
                        return Ok(());
                    }
                }
                SpanEvent::Heartbeat => self.send(Outcome::Heartbeat).await?,
            }
        }
    }

    async fn next_span_event(&mut self, span: &SpanHandle, body_complete: bool) -> SpanEvent {
        let notice = async { SpanEvent::Notice(span.notices.recv().await.ok()) };
        let heartbeat = async {
            Timer::after(HEARTBEAT_INTERVAL).await;
            SpanEvent::Heartbeat
        };
        if body_complete {
            return or(notice, heartbeat).await;
        }
        let frame = async { SpanEvent::Frame(self.rx.receive().await) };
        or(notice, or(frame, heartbeat)).await
    }

    async fn run_decode(
        &mut self,
        span: &SpanHandle,
        grant: GrantId,
        body: Bytes,
    ) -> Result<(), LinkError> {
        let agent = self.agent.clone();
        let registration = Registration::new(
            agent.executor.clone(),
            agent.scheduler.clone(),
            agent.backend.clone(),
            self.offer.attempt,
        );
        let Some(priority) = self.wait_for_batch_slot(&registration).await? else {
            return self
                .fail(Execution::MayHaveRun, "the engine is full", RETRY_AFTER)
                .await;
        };
        agent.metrics.dispatched.inc();
        let id = self.offer.attempt;
        agent.record(EventKind::Dispatched(id), &self.offer, "span");
        let run = BackendRun::with_grant(self, registration, Some(grant));
        let ended = run.run(priority, body).await;
        span.report_decoded();
        ended
    }

    /// Waits for a place in the engine's batch and returns the priority; `None` if the scheduler
    /// refuses or aborts the attempt. The prompt is prefilled already.
    async fn wait_for_batch_slot(
        &mut self,
        registration: &Registration,
    ) -> Result<Option<u8>, LinkError> {
        let job = Job {
            cached_tokens: self.offer.prompt_tokens,
            has_span_grant: true,
            ..self.job()
        };
        let attempt = job.attempt;
        let driver = self.agent.scheduler.clone();
        driver.handle(SchedulerEvent::Offer(job));
        driver.handle(SchedulerEvent::BodyComplete(attempt));
        loop {
            let command = async { Some(registration.commands.recv().await.ok()) };
            let heartbeat = async {
                Timer::after(HEARTBEAT_INTERVAL).await;
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
