//! Grants memory of the engine to spans, and reconciles it with what the engine holds.

use crate::engine_client::EngineClient;
use crate::lease_driver::LeaseDriver;
use crate::scheduler_driver::{Command, SchedulerDriver};
use async_channel::Sender;
use async_io::Timer;
use platform::HttpPlatform;
use policy::{
    CallOutcome, Holding, HoldingKind, Job, MemberAction, MemberEvent, MemoryConfig,
    MemoryReconciler, ReconcileAction, ReconcileConfig, ReconcileEvent, ReplyId, SchedulerEvent,
    SpanEngineCall, SpanMember, parse_attempt, parse_grant,
};
use proto::{AttemptId, EventKind, SpanAnswer, SpanRequest, Tokens};
use runtime::{Executor, Timeline};
use slog::{Logger, info};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const SPAN_TEAM: &str = "spans";
const SPAN_MODEL: &str = "span";
const SPAN_WEIGHT: u32 = 100;
const TICK_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct State {
    member: SpanMember,
    total_tokens: Tokens,
    replies: HashMap<ReplyId, Sender<SpanAnswer>>,
    next_reply_id: ReplyId,
}

/// Registration of a segment at the scheduler, which ends on drop.
struct SegmentRegistration {
    attempt: AttemptId,
    scheduler: Arc<SchedulerDriver>,
}

impl Drop for SegmentRegistration {
    fn drop(&mut self) {
        self.scheduler.deregister(self.attempt);
        self.scheduler.handle(SchedulerEvent::Ended {
            attempt: self.attempt,
            ok: false,
        });
    }
}

/// Connects this agent's part in spans to its engine, scheduler and lease.
#[derive(Debug)]
pub struct MemoryDriver {
    executor: Executor,
    engine: EngineClient,
    scheduler: Arc<SchedulerDriver>,
    lease: Arc<LeaseDriver<HttpPlatform>>,
    state: Mutex<State>,
    timeline: Arc<Timeline>,
    log: Logger,
}

impl MemoryDriver {
    /// Creates a driver that has granted nothing and has no memory until it is configured.
    pub fn new(
        executor: Executor,
        server: &str,
        engine: EngineClient,
        scheduler: Arc<SchedulerDriver>,
        lease: Arc<LeaseDriver<HttpPlatform>>,
        timeline: Arc<Timeline>,
        log: Logger,
    ) -> Self {
        let cfg = MemoryConfig::for_engine(0);
        let member = SpanMember::new(server, engine.address(), cfg);
        let state = State {
            member,
            total_tokens: 0,
            replies: HashMap::new(),
            next_reply_id: 0,
        };
        Self {
            executor,
            engine,
            scheduler,
            lease,
            state: Mutex::new(state),
            timeline,
            log,
        }
    }

    /// Sets the size of the engine's memory and whether new grants are refused.
    pub fn configure(&self, total_tokens: Tokens, refuse_grants: bool) {
        let mut state = self.lock();
        if state.total_tokens != total_tokens {
            state.total_tokens = total_tokens;
            state
                .member
                .configure(MemoryConfig::for_engine(total_tokens));
        }
        state.member.set_refuse_grants(refuse_grants);
    }

    /// Memory granted to spans, in tokens of KV cache.
    pub fn granted_tokens(&self) -> Tokens {
        self.lock().member.leases().granted_tokens()
    }

    /// Handles a request of the leader of a span, and returns the reply.
    pub async fn handle_request(self: &Arc<Self>, request: SpanRequest) -> SpanAnswer {
        let (tx, rx) = async_channel::bounded(1);
        let reply_id = {
            let mut state = self.lock();
            state.next_reply_id += 1;
            let reply_id = state.next_reply_id;
            state.replies.insert(reply_id, tx);
            reply_id
        };
        self.handle(MemberEvent::Request { reply_id, request });
        rx.recv().await.unwrap_or(SpanAnswer::UnknownGrant)
    }

    /// Expires grants and reconciles memory with the engine. Never returns.
    pub async fn run(self: Arc<Self>) {
        let mut reconciler = MemoryReconciler::new(ReconcileConfig::default());
        loop {
            self.handle(MemberEvent::Tick);
            self.reconcile(&mut reconciler).await;
            Timer::after(TICK_INTERVAL).await;
        }
    }

    async fn reconcile(self: &Arc<Self>, reconciler: &mut MemoryReconciler) {
        let mut actions = Vec::new();
        let mut event = ReconcileEvent::Tick;
        loop {
            let now = self.scheduler.now();
            reconciler.handle(now, event, |holding| self.owns(now, holding), &mut actions);
            let Some(action) = actions.pop() else {
                return;
            };
            event = match action {
                ReconcileAction::Read => {
                    let holdings = self.engine.holdings().await;
                    if let Some(holdings) = &holdings {
                        self.handle(MemberEvent::Holdings(now, holdings.clone()));
                    }
                    ReconcileEvent::Holdings(holdings)
                }
                ReconcileAction::Verify => {
                    ReconcileEvent::Verified(self.lease.verify().await.is_some())
                }
                ReconcileAction::Free(holding) => {
                    self.free(holding).await;
                    ReconcileEvent::Tick
                }
            };
        }
    }

    async fn free(&self, holding: Holding) {
        info!(self.log, "memory: freed what has no owner";
            "holding" => &*holding.id, "tokens" => holding.tokens);
        let detail = format!("{} of {} tokens", holding.id, holding.tokens);
        self.timeline
            .record(EventKind::Reclaimed, None, None, None, detail);
        match holding.kind {
            HoldingKind::Request => self.engine.cancel(&holding.id).await,
            HoldingKind::Grant => {
                let grant = parse_grant(&holding.id).unwrap_or_default();
                self.engine.release(grant).await
            }
        };
    }

    fn owns(&self, now: Duration, holding: &Holding) -> bool {
        match holding.kind {
            HoldingKind::Grant => self.lock().member.owns(now, holding),
            HoldingKind::Request => {
                let attempt = parse_attempt(&holding.id);
                attempt.is_some_and(|attempt| self.scheduler.is_registered(attempt))
            }
        }
    }

    fn handle(self: &Arc<Self>, event: MemberEvent) {
        let now = self.scheduler.now();
        let free_tokens = self.scheduler.hints().free_tokens;
        let mut out = Vec::new();
        let reserved = {
            let mut state = self.lock();
            let used = state.total_tokens.saturating_sub(free_tokens);
            let reserved = state.member.leases().reserved_tokens(now);
            state
                .member
                .set_request_tokens(used.saturating_sub(reserved));
            state.member.handle(now, event, &mut out);
            state.member.leases().reserved_tokens(now)
        };
        self.scheduler
            .handle(SchedulerEvent::GrantedMemory(reserved));
        for action in out {
            self.carry_out(action);
        }
    }

    fn carry_out(self: &Arc<Self>, action: MemberAction) {
        match action {
            MemberAction::Reply { reply_id, answer } => {
                if let Some(tx) = self.lock().replies.remove(&reply_id) {
                    let _ = tx.try_send(answer);
                }
            }
            MemberAction::Call(call) => {
                let driver = self.clone();
                self.executor.detach(async move { driver.call(call).await });
            }
        }
    }

    async fn call(self: Arc<Self>, call: SpanEngineCall) {
        let outcome = match &call {
            SpanEngineCall::Prefill { .. } => self.prefill_segment(&call).await,
            _ => self.engine.span_call(&call).await,
        };
        match call {
            SpanEngineCall::Reserve { grant, .. } => {
                self.handle(MemberEvent::Reserved(grant, outcome));
            }
            SpanEngineCall::Prefill { grant, .. } => {
                self.handle(MemberEvent::Prefilled(grant, outcome));
            }
            SpanEngineCall::Release { .. } => {}
        }
    }

    /// Prefills a segment once the scheduler dispatches it, because it takes a place in the
    /// engine's batch like any request.
    async fn prefill_segment(&self, call: &SpanEngineCall) -> CallOutcome {
        let SpanEngineCall::Prefill {
            grant,
            segment,
            from,
            to,
            remaining,
            ..
        } = call
        else {
            return CallOutcome::Refused;
        };
        let attempt = AttemptId {
            request: *grant,
            number: segment + 1,
        };
        let registration = SegmentRegistration {
            attempt,
            scheduler: self.scheduler.clone(),
        };
        let commands = self.scheduler.register(attempt);
        self.scheduler.handle(SchedulerEvent::Offer(Job {
            attempt,
            team: SPAN_TEAM.into(),
            weight: SPAN_WEIGHT,
            model: Some(SPAN_MODEL.into()),
            prompt_tokens: to - from,
            output_tokens: 0,
            cached_tokens: 0,
            has_span_grant: true,
            deadline: self.scheduler.now() + *remaining,
        }));
        self.scheduler.handle(SchedulerEvent::BodyComplete(attempt));
        while let Ok(command) = commands.recv().await {
            match command {
                Command::Accept => {}
                Command::Dispatch { .. } => {
                    let outcome = self.engine.span_call(call).await;
                    let ok = outcome == CallOutcome::Done;
                    self.scheduler.handle(SchedulerEvent::Ended { attempt, ok });
                    drop(registration);
                    return outcome;
                }
                Command::Refuse(_) | Command::Abort { .. } => return CallOutcome::Refused,
            }
        }
        CallOutcome::Refused
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
