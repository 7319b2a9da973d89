//! An attempt, from its offer by a gateway to the last frame of the reply.

use crate::agent::Agent;
use crate::attempt_claim::AttemptClaim;
use crate::backend_run::BackendRun;
use crate::claimed_run::ClaimedRun;
use crate::claims::ClaimVerdict;
use crate::registration::Registration;
use crate::scheduler_driver::Command;
use async_io::Timer;
use bytes::{Bytes, BytesMut};
use futures_lite::future::or;
use policy::{DRAIN_RETRY_AFTER, Drain, Job, SchedulerEvent, rules_allow, serves};
use proto::{
    AnswerFrame, EventKind, Execution, Offer, Outcome, Refusal, RefusalReason, RequestFrame,
};
use runtime::{ByteReservation, FrameReceiver, FrameSender, LinkError, timeout};
use slog::{debug, info};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time after which a heartbeat is sent if there is nothing else to send.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Retry delay of refusals whose cause is expected to pass soon.
const TRANSIENT_RETRY_AFTER: Duration = Duration::from_millis(500);
const MAX_CONFIG_WAIT: Duration = Duration::from_secs(1);
/// Retry delay of refusals that the configuration or the plan of a span requires.
const PERSISTENT_RETRY_AFTER: Duration = Duration::from_secs(5);

/// An attempt, with the stream on which a gateway offered it.
#[derive(Debug)]
pub struct Attempt {
    pub(crate) agent: Arc<Agent>,
    pub(crate) offer: Offer,
    pub(crate) tx: FrameSender,
    pub(crate) rx: FrameReceiver,
    /// Whether the backend server may have run it.
    pub(crate) may_have_run: bool,
}

/// Counts an attempt as open until dropped. A drain waits for open attempts.
struct OpenAttempt {
    agent: Arc<Agent>,
}

impl OpenAttempt {
    fn new(agent: Arc<Agent>) -> Self {
        agent.open_attempts.fetch_add(1, Ordering::AcqRel);
        Self { agent }
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        self.agent.open_attempts.fetch_sub(1, Ordering::AcqRel);
    }
}

/// What ends a wait of a queued attempt.
enum WaitEvent {
    Command(Option<Command>),
    Frame(Result<Option<RequestFrame>, LinkError>),
    Verdict(ClaimVerdict),
    Heartbeat,
}

impl Attempt {
    /// Serves the attempt until its last frame is sent or the gateway has closed the stream.
    pub async fn run(mut self) {
        let agent = self.agent.clone();
        let attempt = self.offer.attempt;
        agent.metrics.offered.inc();
        let closed = self.tx.stopped();
        let _open = OpenAttempt::new(agent.clone());
        let last_reply = |times: Drain| times.last_reply;
        let served = agent
            .draining
            .before(&agent.clock, last_reply, self.serve());
        let served = async { Some(served.await) };
        let cancelled = async {
            closed.await;
            None
        };
        let ended = match or(served, cancelled).await {
            Some(Some(ended)) => Some(ended),
            Some(None) => Some(self.end_in_drain().await),
            None => None,
        };
        match ended {
            Some(Ok(())) => self.wait_for_delivery().await,
            Some(Err(err)) => {
                debug!(agent.log, "attempt: link failed"; "attempt" => %attempt, "err" => %err);
            }
            None => {
                agent.metrics.ended.with_label_values(&["cancelled"]).inc();
                agent.record(EventKind::Cancelled, &self.offer, "the gateway left");
            }
        }
    }

    /// Ends the attempt with a frame that says whether it may have run, as the process ends.
    async fn end_in_drain(&mut self) -> Result<(), LinkError> {
        if self.may_have_run {
            let reason = "the agent shuts down";
            self.fail(Execution::MayHaveRun, reason, DRAIN_RETRY_AFTER)
                .await
        } else {
            self.refuse_for(RefusalReason::ShuttingDown, DRAIN_RETRY_AFTER)
                .await
        }
    }

    /// Waits until the gateway has received the last frame, so that a shutdown does not cut it off.
    async fn wait_for_delivery(&mut self) {
        let _ = timeout(DELIVERY_TIMEOUT, self.tx.stopped()).await;
    }

    async fn serve(&mut self) -> Result<(), LinkError> {
        if !self.agent.control.may_admit() && !self.wait_for_current_config().await {
            return self
                .refuse_for(RefusalReason::NoConfig, TRANSIENT_RETRY_AFTER)
                .await;
        }
        if let Some((reason, retry_after)) = self.config_refusal() {
            return self.refuse_for(reason, retry_after).await;
        }
        if !self.offer.repeatable
            && let Err(retry_after) = self.agent.claims.admit()
        {
            let reason = RefusalReason::StoreUnavailable;
            return self.refuse_for(reason, retry_after).await;
        }
        let Some(reservation) = self.agent.body_budget.try_reserve(self.offer.body_bytes) else {
            return self
                .refuse_for(RefusalReason::QueueFull, TRANSIENT_RETRY_AFTER)
                .await;
        };
        match self.agent.engine.spans.plan(&self.offer) {
            None => {}
            Some(Ok(plan)) => return self.run_span(plan).await,
            Some(Err(reason)) => return self.refuse_for(reason, PERSISTENT_RETRY_AFTER).await,
        }
        let agent = self.agent.clone();
        let mut registration = Registration::new(
            agent.executor.clone(),
            agent.scheduler.clone(),
            agent.backend.clone(),
            self.offer.attempt,
        );
        agent.scheduler.handle(SchedulerEvent::Offer(self.job()));
        match registration.commands.recv().await {
            Ok(Command::Accept) => {
                let hints = agent.scheduler.hints();
                self.send(Outcome::Accepted(hints)).await?;
            }
            Ok(Command::Refuse(refusal)) => {
                registration.mark_ended_by_scheduler();
                return self.refuse(refusal).await;
            }
            _ => return Ok(()),
        }
        agent.record(EventKind::Queued(self.offer.attempt), &self.offer, "");
        self.wait_in_queue(registration, reservation).await
    }

    /// Receives the body and waits until the attempt is dispatched, refused or aborted.
    async fn wait_in_queue(
        &mut self,
        mut registration: Registration,
        _reservation: ByteReservation,
    ) -> Result<(), LinkError> {
        let mut body = BytesMut::with_capacity(self.offer.body_bytes as usize);
        let mut body_complete = false;
        let mut claim = None;
        loop {
            match self
                .next_wait_event(&registration, body_complete, claim.as_ref())
                .await
            {
                WaitEvent::Command(Some(Command::Dispatch { priority })) => {
                    return self
                        .dispatch(registration, claim, priority, body.freeze())
                        .await;
                }
                WaitEvent::Command(Some(Command::Refuse(refusal))) => {
                    registration.mark_ended_by_scheduler();
                    release_claim(claim).await;
                    return self.refuse(refusal).await;
                }
                WaitEvent::Command(Some(Command::Abort { retry_after, .. })) => {
                    registration.mark_ended_by_scheduler();
                    return self.refuse_for(RefusalReason::TooLate, retry_after).await;
                }
                WaitEvent::Verdict(ClaimVerdict::Run) => {
                    if let Some(claim) = &mut claim {
                        claim.set_granted();
                    }
                    self.agent
                        .scheduler
                        .handle(SchedulerEvent::BodyComplete(self.offer.attempt));
                }
                WaitEvent::Verdict(verdict) => {
                    drop(registration);
                    return self.end_without_running(verdict).await;
                }
                WaitEvent::Command(Some(Command::Accept)) => {}
                WaitEvent::Command(None) => return Ok(()),
                WaitEvent::Frame(frame) => {
                    let Some(frame) = frame? else {
                        return Ok(());
                    };
                    body_complete = self.append_body(frame, &mut body);
                    if body_complete && body.len() as u64 != self.offer.body_bytes {
                        return Ok(());
                    }
                    if body_complete && self.offer.repeatable {
                        self.agent
                            .scheduler
                            .handle(SchedulerEvent::BodyComplete(self.offer.attempt));
                    } else if body_complete {
                        claim = Some(AttemptClaim::new(self));
                    }
                }
                WaitEvent::Heartbeat => self.send(Outcome::Heartbeat).await?,
            }
        }
    }

    async fn next_wait_event(
        &mut self,
        registration: &Registration,
        body_complete: bool,
        claim: Option<&AttemptClaim>,
    ) -> WaitEvent {
        let command = async { WaitEvent::Command(registration.commands.recv().await.ok()) };
        let heartbeat = async {
            Timer::after(HEARTBEAT_INTERVAL).await;
            WaitEvent::Heartbeat
        };
        if let Some(claim) = claim {
            let verdict = async { WaitEvent::Verdict(claim.verdict().await) };
            return or(verdict, or(command, heartbeat)).await;
        }
        if body_complete {
            return or(command, heartbeat).await;
        }
        let frame = async { WaitEvent::Frame(self.rx.receive().await) };
        or(command, or(frame, heartbeat)).await
    }

    /// Appends a frame to the body. Returns whether the body has ended or is longer than offered.
    pub(crate) fn append_body(&self, frame: RequestFrame, body: &mut BytesMut) -> bool {
        match frame {
            RequestFrame::Body(data) => {
                body.extend_from_slice(&data);
                body.len() as u64 > self.offer.body_bytes
            }
            RequestFrame::BodyEnd => true,
        }
    }

    async fn dispatch(
        &mut self,
        registration: Registration,
        claim: Option<AttemptClaim>,
        priority: u8,
        body: Bytes,
    ) -> Result<(), LinkError> {
        self.may_have_run = true;
        self.agent.metrics.dispatched.inc();
        if !self.offer.streamed {
            self.agent
                .scheduler
                .handle(SchedulerEvent::NonStreaming(self.offer.attempt));
        }
        self.agent
            .record(EventKind::Dispatched(self.offer.attempt), &self.offer, "");
        match claim {
            Some(claim) => {
                ClaimedRun::new(self, &registration, claim)
                    .run(registration, priority, body)
                    .await
            }
            None => {
                BackendRun::new(self, registration)
                    .run(priority, body)
                    .await
            }
        }
    }

    /// Waits for a short time until the active configuration is confirmed, so that attempts may be
    /// admitted. Returns whether they may.
    async fn wait_for_current_config(&self) -> bool {
        let limit = self.offer.remaining.min(MAX_CONFIG_WAIT);
        let may_admit = self.agent.control.wait_until_admitting(limit).await;
        self.agent.update_server_settings();
        may_admit
    }

    /// Reason and retry delay of the refusal if the configuration forbids the attempt on this
    /// backend server.
    fn config_refusal(&self) -> Option<(RefusalReason, Duration)> {
        let view = self.agent.view.get();
        if view.version == 0 {
            return Some((RefusalReason::NoConfig, TRANSIENT_RETRY_AFTER));
        }
        let Some(server) = view.declared.server(&self.agent.settings.server) else {
            return Some((RefusalReason::NotAllowed, PERSISTENT_RETRY_AFTER));
        };
        let domain = view.declared.domain(&server.domain);
        if domain.is_none_or(|domain| domain.out) {
            return Some((RefusalReason::DomainOut, PERSISTENT_RETRY_AFTER));
        }
        if server.drained {
            return Some((RefusalReason::Draining, PERSISTENT_RETRY_AFTER));
        }
        let model = self.offer.model.as_deref();
        let route = self
            .offer
            .route
            .as_deref()
            .and_then(|path| view.declared.route(path));
        let service = route.map(|route| &*route.service);
        if !serves(server, model, service) {
            return Some((RefusalReason::ModelNotLoaded, PERSISTENT_RETRY_AFTER));
        }
        if !rules_allow(&view.declared, &self.offer.team, model, server) {
            return Some((RefusalReason::NotAllowed, PERSISTENT_RETRY_AFTER));
        }
        None
    }

    pub(crate) fn job(&self) -> Job {
        let view = self.agent.view.get();
        let weight = view
            .declared
            .team(&self.offer.team)
            .map_or(1, |team| team.weight);
        Job {
            attempt: self.offer.attempt,
            team: self.offer.team.clone(),
            weight,
            model: self.offer.model.clone(),
            prompt_tokens: self.offer.prompt_tokens,
            output_tokens: self.offer.output_tokens,
            cached_tokens: 0,
            has_span_grant: false,
            deadline: self.agent.scheduler.now() + self.offer.remaining,
        }
    }

    pub(crate) async fn send(&mut self, outcome: Outcome) -> Result<(), LinkError> {
        self.tx
            .send(&AnswerFrame {
                attempt: self.offer.attempt,
                outcome,
            })
            .await
    }

    pub(crate) async fn refuse_for(
        &mut self,
        reason: RefusalReason,
        retry_after: Duration,
    ) -> Result<(), LinkError> {
        let hints = Some(self.agent.scheduler.hints());
        self.refuse(Refusal {
            reason,
            retry_after,
            hints,
        })
        .await
    }

    pub(crate) async fn refuse(&mut self, refusal: Refusal) -> Result<(), LinkError> {
        let reason = refusal.reason;
        info!(self.agent.log, "attempt: refused";
            "attempt" => %self.offer.attempt, "reason" => ?reason);
        self.agent
            .metrics
            .ended
            .with_label_values(&["refused"])
            .inc();
        self.agent
            .record(EventKind::Refused, &self.offer, format!("{reason:?}"));
        self.send(Outcome::Refused(refusal)).await?;
        self.tx.finish();
        Ok(())
    }

    pub(crate) async fn fail(
        &mut self,
        execution: Execution,
        reason: &str,
        retry_after: Duration,
    ) -> Result<(), LinkError> {
        info!(self.agent.log, "attempt: failed";
            "attempt" => %self.offer.attempt, "reason" => reason);
        self.agent
            .metrics
            .ended
            .with_label_values(&["failed"])
            .inc();
        self.agent.record(EventKind::Failed, &self.offer, reason);
        let hints = Some(self.agent.scheduler.hints());
        let reason = reason.into();
        self.send(Outcome::Failed {
            execution,
            reason,
            retry_after,
            hints,
        })
        .await?;
        self.tx.finish();
        Ok(())
    }
}

async fn release_claim(claim: Option<AttemptClaim>) {
    if let Some(claim) = claim {
        claim.release().await;
    }
}
