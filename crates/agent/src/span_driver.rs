//! Drives [`SpanLeader`]: leads spans, and reaches their members over links to other agents.

use crate::memory_driver::MemoryDriver;
use crate::scheduler_driver::{Command, SchedulerDriver};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future::or;
use node::SharedClusterView;
use policy::{
    AbortReason, LeaderAction, LeaderEvent, SpanConfig, SpanJob, SpanLeader, SpanPlan,
    SpanPlanRequest, SpanRequestId, SpanStep, needs_span, plan_span,
};
use proto::{
    GrantId, Offer, RefusalReason, ServerId, SpanAnswer, SpanRequest, SpanTicket, StreamOpening,
};
use runtime::{Executor, LinkEndpoint, LinkError, Role, Timeline, timeout};
use slog::{Logger, debug};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_SLEEP: Duration = Duration::from_millis(250);
const ABORT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Message of a span to the attempt that it serves.
#[derive(Debug, Clone, PartialEq)]
pub enum SpanNotice {
    /// All segments are prefilled; this agent's engine is to decode in the memory of this grant.
    Decode(GrantId),
    /// The span was refused or failed, as the action says.
    End(LeaderAction),
}

/// Handle of a running span, held by its attempt. Dropping it cancels the span.
#[derive(Debug)]
pub struct SpanHandle {
    /// Notices from the span.
    pub notices: Receiver<SpanNotice>,
    events: Sender<LeaderEvent>,
    _guard: Sender<()>,
}

impl SpanHandle {
    /// Reports that the engine has ended the response.
    pub fn report_decoded(&self) {
        let _ = self.events.try_send(LeaderEvent::DecodeEnded(true));
    }
}

/// Leads the spans of this agent's attempts.
#[derive(Debug)]
pub struct SpanDriver {
    /// Executor of the spans' tasks.
    pub executor: Executor,
    /// Name of the backend server.
    pub server: ServerId,
    /// Latest configuration and membership.
    pub view: Arc<SharedClusterView>,
    /// Link to other agents.
    pub link: Arc<LinkEndpoint>,
    /// This agent's own part in spans, as a member.
    pub memory: Arc<MemoryDriver>,
    /// Driver of the scheduler, which has the clock and the registered attempts.
    pub scheduler: Arc<SchedulerDriver>,
    /// Timeline of the process.
    pub timeline: Arc<Timeline>,
    /// Log of the process.
    pub log: Logger,
    /// Number of spans led here that have not ended.
    pub active: AtomicUsize,
}

impl SpanDriver {
    /// Number of spans led here that have not ended.
    pub fn active_spans(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    /// Plans a span for an attempt that needs more memory than a single job may use on this engine;
    /// `None` if it needs no more. Fails with the reason of the refusal if this server drains or no
    /// set of engines can serve the attempt in its time.
    pub fn plan(&self, offer: &Offer) -> Option<Result<SpanPlan, RefusalReason>> {
        let model = offer.model.as_deref()?;
        let view = self.view.get();
        let tokens = offer.prompt_tokens + offer.output_tokens;
        if !needs_span(&view.declared, model, &self.server, tokens) {
            return None;
        }
        let request = SpanPlanRequest {
            team: &offer.team,
            model,
            leader: &self.server,
            prompt_tokens: offer.prompt_tokens,
            output_tokens: offer.output_tokens,
            excluded: &[],
            seed: offer.attempt.request as u64,
        };
        let hints = self.scheduler.hints();
        if hints.draining {
            return Some(Err(RefusalReason::Draining));
        }
        let plan = plan_span(&view.declared, &view.members, &request);
        let rate = hints.prefill_rate;
        Some(plan.and_then(|plan| {
            let is_in_time = plan.min_duration(rate, f64::INFINITY) <= offer.remaining;
            is_in_time.then_some(plan).ok_or(RefusalReason::TooLate)
        }))
    }

    /// Starts a span and returns its handle.
    pub fn start(self: &Arc<Self>, offer: &Offer, plan: SpanPlan) -> SpanHandle {
        let (events, events_rx) = async_channel::unbounded();
        let (notices_tx, notices) = async_channel::unbounded();
        let (guard, guard_rx) = async_channel::bounded(1);
        let now = self.scheduler.now();
        let job = SpanJob {
            ticket: SpanTicket {
                stamp: self.timeline.stamp(),
                attempt: offer.attempt,
            },
            team: offer.team.clone(),
            model: offer.model.clone().unwrap_or_default(),
            deadline: now + offer.remaining,
        };
        self.active.fetch_add(1, Ordering::Relaxed);
        let task = SpanTask {
            driver: self.clone(),
            job,
            events: events.clone(),
            notices: notices_tx,
        };
        self.executor.detach(task.run(plan, events_rx, guard_rx));
        SpanHandle {
            notices,
            events,
            _guard: guard,
        }
    }

    /// Sends a request to a member, which may be this agent itself. `None` if no reply came in
    /// time.
    async fn request(
        &self,
        server: &str,
        step: SpanStep,
        request: SpanRequest,
    ) -> Option<SpanAnswer> {
        let time_limit = match &request {
            SpanRequest::Prefill { remaining, .. } => *remaining,
            _ => REPLY_TIMEOUT,
        };
        if server == &*self.server {
            return timeout(time_limit, self.memory.handle_request(request))
                .await
                .ok();
        }
        match timeout(time_limit, self.request_from_peer(server, request)).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(err)) => {
                debug!(self.log, "span: member not reached"; "server" => server,
                    "step" => ?step, "err" => %err);
                None
            }
            Err(_) => None,
        }
    }

    async fn request_from_peer(
        &self,
        server: &str,
        request: SpanRequest,
    ) -> Result<Option<SpanAnswer>, LinkError> {
        let view = self.view.get();
        let Some(member) = view.members.agent_of(server) else {
            return Ok(None);
        };
        let opening = StreamOpening::Span {
            stamp: self.timeline.stamp(),
            request,
        };
        let (mut tx, mut rx) = self
            .link
            .open(member.address, Role::Agent, &opening)
            .await?;
        tx.finish();
        rx.receive().await
    }
}

impl Drop for SpanTask {
    fn drop(&mut self) {
        self.driver.active.fetch_sub(1, Ordering::Relaxed);
    }
}

struct SpanTask {
    driver: Arc<SpanDriver>,
    job: SpanJob,
    events: Sender<LeaderEvent>,
    notices: Sender<SpanNotice>,
}

impl SpanTask {
    async fn run(self, plan: SpanPlan, events: Receiver<LeaderEvent>, guard: Receiver<()>) {
        let scheduler = self.driver.scheduler.clone();
        let mut out = Vec::new();
        let cfg = SpanConfig::default();
        let now = scheduler.now();
        let mut leader = SpanLeader::start(cfg, self.job.clone(), plan, now, &mut out);
        loop {
            for action in out.drain(..) {
                self.carry_out(action);
            }
            if leader.has_ended() {
                return;
            }
            let due = leader.next_wakeup().unwrap_or_default();
            let sleep = due.saturating_sub(scheduler.now()).min(MAX_SLEEP);
            let timer = async {
                Timer::after(sleep).await;
                LeaderEvent::Tick
            };
            let event = async { events.recv().await.unwrap_or(LeaderEvent::Cancel) };
            let dropped = async {
                let _ = guard.recv().await;
                LeaderEvent::Cancel
            };
            let event = or(event, or(dropped, timer)).await;
            leader.handle(scheduler.now(), event, &mut out);
        }
    }

    fn carry_out(&self, action: LeaderAction) {
        match action {
            LeaderAction::Send {
                server,
                id,
                request,
            } => self.send(server, id, request),
            LeaderAction::Decode(grant) => {
                let _ = self.notices.try_send(SpanNotice::Decode(grant));
            }
            LeaderAction::CancelDecode => {
                let abort = Command::Abort {
                    reason: AbortReason::TooSlow,
                    retry_after: ABORT_RETRY_AFTER,
                };
                let attempt = self.job.ticket.attempt;
                self.driver.scheduler.send_command(attempt, abort);
            }
            LeaderAction::Finished => {}
            end => {
                let _ = self.notices.try_send(SpanNotice::End(end));
            }
        }
    }

    fn send(&self, server: ServerId, id: SpanRequestId, request: SpanRequest) {
        let driver = self.driver.clone();
        let events = self.events.clone();
        self.driver.executor.detach(async move {
            let reply = driver.request(&server, id.step, request).await;
            let _ = events.try_send(LeaderEvent::Reply(id, reply));
        });
    }
}
