//! Simulated agent process, connected as its driver connects it.

use super::{Call, ENGINE_TOKENS, Reply, ReplyFault};
use policy::*;
use proto::prelude::*;
use proto::{GrantId, SpanAnswer, SpanRequest, SpanTicket};
use std::collections::BTreeMap;

#[derive(Debug, Clone, Copy)]
pub struct ReplyTo {
    pub node: usize,
    pub leader: usize,
    pub id: SpanRequestId,
    pub reply_fault: ReplyFault,
    pub from: usize,
}

#[derive(Debug)]
pub enum Input {
    Tick,
    StartSpan {
        ticket: SpanTicket,
        plan: SpanPlan,
        deadline: Duration,
    },
    GatewayGone,
    Request {
        reply: ReplyTo,
        request: SpanRequest,
    },
    Reply {
        leader: usize,
        id: SpanRequestId,
        answer: Option<SpanAnswer>,
    },
    Engine(Reply),
    Lease(LeaseEvent),
    Write {
        send_by: Duration,
        call: Call,
        reply_fault: ReplyFault,
        skip_deadline: bool,
    },
}

#[derive(Debug)]
pub enum Effect {
    Request {
        server: usize,
        leader: usize,
        id: SpanRequestId,
        request: SpanRequest,
    },
    Reply {
        reply: ReplyTo,
        answer: SpanAnswer,
    },
    Call(Call),
    Write {
        send_by: Duration,
        call: Call,
    },
    Send {
        call: Call,
        reply_fault: ReplyFault,
    },
    Read,
    Commit {
        sent: Duration,
        version: u64,
        row: LeaseRow,
    },
}

#[derive(Debug)]
pub struct LedSpan {
    pub leader: SpanLeader,
    pub attempt_id: Box<str>,
    pub segments: usize,
    pub started: Duration,
    /// When the first prefill was sent.
    pub prefill_started: Option<Duration>,
    pub end: Option<(Duration, LeaderAction)>,
}

#[derive(Debug)]
pub struct Node {
    pub index: usize,
    pub server: usize,
    pub slot: Box<str>,
    pub alive: bool,
    pub frozen_until: Duration,
    pub leaders: Vec<LedSpan>,
    pub member: SpanMember,
    pub lease: ServerLease,
    order_controller: OrderController,
    reconciler: MemoryReconciler,
    replies: BTreeMap<ReplyId, ReplyTo>,
    verify_sent: Duration,
}

impl Node {
    pub fn new(index: usize, server: usize, slot: &str, fencing: bool, _now: Duration) -> Self {
        let holder = format!("agent-{index}");
        let engine = ([127, 0, 0, 1], server as u16).into();
        let orders = OrderConfig {
            checks_fencing: fencing,
            ..OrderConfig::for_holder(&holder)
        };
        let memory = MemoryConfig::for_engine(ENGINE_TOKENS);
        Self {
            index,
            server,
            slot: slot.into(),
            alive: true,
            frozen_until: Duration::ZERO,
            leaders: Vec::new(),
            member: SpanMember::new(&server.to_string(), engine, memory),
            lease: ServerLease::new(ServerLeaseConfig::for_holder(&holder, slot)),
            order_controller: OrderController::new(orders),
            reconciler: MemoryReconciler::new(ReconcileConfig::default()),
            replies: BTreeMap::new(),
            verify_sent: Duration::ZERO,
        }
    }

    /// Whether a span that this process leads owns the holding with this id.
    pub fn claims(&self, now: Duration, id: &str) -> bool {
        let running = self.alive && self.frozen_until <= now;
        let mut led = self.leaders.iter().filter(|led| !led.leader.has_ended());
        running
            && led.any(|led| {
                let mut grants = (0..led.segments).map(|segment| led.leader.grant(segment));
                &*led.attempt_id == id || grants.any(|grant| &*format_grant(grant) == id)
            })
    }

    pub fn handle(
        &mut self,
        now: Duration,
        input: Input,
        desired: DesiredState,
        out: &mut Vec<Effect>,
    ) {
        match input {
            Input::Tick => self.tick(now, desired, out),
            Input::StartSpan {
                ticket,
                plan,
                deadline,
            } => self.start_span(now, ticket, plan, deadline, out),
            Input::GatewayGone => {
                for index in 0..self.leaders.len() {
                    self.handle_leader(now, index, LeaderEvent::Cancel, out);
                }
            }
            Input::Request { reply, request } => {
                let id = self.replies.len() as ReplyId;
                self.replies.insert(id, reply);
                self.handle_member(
                    now,
                    MemberEvent::Request {
                        reply_id: id,
                        request,
                    },
                    out,
                );
            }
            Input::Reply { leader, id, answer } => {
                self.handle_leader(now, leader, LeaderEvent::Reply(id, answer), out);
            }
            Input::Engine(reply) => self.on_engine_reply(now, reply, out),
            Input::Lease(event) => self.handle_lease(now, event, out),
            Input::Write {
                send_by,
                call,
                reply_fault,
                skip_deadline,
            } => {
                if skip_deadline || now < send_by {
                    out.push(Effect::Send { call, reply_fault });
                } else {
                    self.handle_orders(now, OrderEvent::Ended(OrderResult::NotApplied), out);
                }
            }
        }
    }

    fn tick(&mut self, now: Duration, desired: DesiredState, out: &mut Vec<Effect>) {
        self.handle_member(now, MemberEvent::Tick, out);
        for index in 0..self.leaders.len() {
            self.handle_leader(now, index, LeaderEvent::Tick, out);
        }
        self.handle_lease(now, LeaseEvent::Tick, out);
        self.handle_reconciler(now, ReconcileEvent::Tick, out);
        self.handle_orders(now, OrderEvent::DesiredChanged(desired), out);
        self.handle_orders(now, OrderEvent::Tick, out);
    }

    fn start_span(
        &mut self,
        now: Duration,
        ticket: SpanTicket,
        plan: SpanPlan,
        deadline: Duration,
        out: &mut Vec<Effect>,
    ) {
        let job = SpanJob {
            ticket,
            team: "t".into(),
            model: "m".into(),
            deadline,
        };
        let segments = plan.segments.len();
        let mut actions = Vec::new();
        let leader = SpanLeader::start(SpanConfig::default(), job, plan, now, &mut actions);
        let attempt_id = ticket.attempt.to_string().into();
        let (prefill_started, end) = (None, None);
        self.leaders.push(LedSpan {
            leader,
            attempt_id,
            segments,
            started: now,
            prefill_started,
            end,
        });
        self.apply_leader_actions(now, self.leaders.len() - 1, actions, out);
    }

    fn handle_leader(
        &mut self,
        now: Duration,
        index: usize,
        event: LeaderEvent,
        out: &mut Vec<Effect>,
    ) {
        let mut actions = Vec::new();
        self.leaders[index].leader.handle(now, event, &mut actions);
        self.apply_leader_actions(now, index, actions, out);
    }

    fn apply_leader_actions(
        &mut self,
        now: Duration,
        leader: usize,
        actions: Vec<LeaderAction>,
        out: &mut Vec<Effect>,
    ) {
        let node = self.index;
        let led = &mut self.leaders[leader];
        for action in actions {
            match action {
                LeaderAction::Send {
                    server,
                    id,
                    request,
                } => {
                    if id.step == SpanStep::Prefill {
                        led.prefill_started.get_or_insert(now);
                    }
                    let server = server.parse().unwrap();
                    out.push(Effect::Request {
                        server,
                        leader,
                        id,
                        request,
                    });
                }
                LeaderAction::Decode(grant) => {
                    let id = led.attempt_id.clone();
                    out.push(Effect::Call(Call::Decode {
                        node,
                        leader,
                        grant,
                        id,
                    }));
                }
                LeaderAction::CancelDecode => {
                    out.push(Effect::Call(Call::Cancel {
                        id: led.attempt_id.clone(),
                    }));
                }
                end => led.end = Some((now, end)),
            }
        }
    }

    fn handle_member(&mut self, now: Duration, event: MemberEvent, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        self.member.handle(now, event, &mut actions);
        for action in actions {
            out.push(match action {
                MemberAction::Reply { reply_id, answer } => Effect::Reply {
                    reply: self.replies[&reply_id],
                    answer,
                },
                MemberAction::Call(call) => Effect::Call(engine_call(call)),
            });
        }
    }

    fn on_engine_reply(&mut self, now: Duration, reply: Reply, out: &mut Vec<Effect>) {
        match reply {
            Reply::Reserved(grant, end) => {
                self.handle_member(now, MemberEvent::Reserved(grant, end), out);
            }
            Reply::Prefilled(grant, end) => {
                self.handle_member(now, MemberEvent::Prefilled(grant, end), out);
            }
            Reply::Decoded(leader, ok) => {
                self.handle_leader(now, leader, LeaderEvent::DecodeEnded(ok), out);
            }
            Reply::Holdings(asked, holdings) => {
                if let Some(holdings) = &holdings {
                    self.handle_member(now, MemberEvent::Holdings(asked, holdings.clone()), out);
                }
                self.handle_reconciler(now, ReconcileEvent::Holdings(holdings), out);
            }
            Reply::State(state) => self.handle_orders(now, OrderEvent::State(state), out),
            Reply::Ordered(end) => self.handle_orders(now, OrderEvent::Ended(end), out),
            Reply::Nothing => {}
        }
    }

    fn handle_reconciler(&mut self, now: Duration, event: ReconcileEvent, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        let owned = |held: &Holding| {
            let mut led = self.leaders.iter().filter(|led| !led.leader.has_ended());
            self.member.owns(now, held) || led.any(|led| led.attempt_id == held.id)
        };
        self.reconciler.handle(now, event, owned, &mut actions);
        for action in actions {
            match action {
                ReconcileAction::Read => out.push(Effect::Call(Call::Holdings { asked: now })),
                ReconcileAction::Verify => self.handle_lease(now, LeaseEvent::Verify, out),
                ReconcileAction::Free(held) => out.push(Effect::Call(free(held))),
            }
        }
    }

    fn handle_orders(&mut self, now: Duration, event: OrderEvent, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        self.order_controller
            .handle(now, self.lease.epoch(now), event, &mut actions);
        for action in actions {
            match action {
                OrderAction::Read => out.push(Effect::Call(Call::State)),
                OrderAction::Verify => self.handle_lease(now, LeaseEvent::Verify, out),
                OrderAction::Send {
                    fence,
                    order,
                    send_by,
                    ..
                } => {
                    let call = Call::Order { fence, order };
                    out.push(Effect::Write { send_by, call });
                }
                OrderAction::Superseded => self.handle_lease(now, LeaseEvent::Superseded, out),
                OrderAction::Forbidden => {}
            }
        }
    }

    fn handle_lease(&mut self, now: Duration, event: LeaseEvent, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        self.lease.handle(now, event, &mut actions);
        for action in actions {
            match action {
                LeaseAction::Read => out.push(Effect::Read),
                LeaseAction::Commit { sent, version, row } => {
                    self.verify_sent = sent;
                    out.push(Effect::Commit { sent, version, row });
                }
                LeaseAction::Verified(ok) => {
                    self.handle_reconciler(now, ReconcileEvent::Verified(ok), out);
                    let proven = ok.then_some(self.verify_sent);
                    self.handle_orders(now, OrderEvent::Verified(proven), out);
                }
                LeaseAction::Acquired(_) | LeaseAction::Lost(_) => {}
            }
        }
    }
}

fn engine_call(call: SpanEngineCall) -> Call {
    match call {
        SpanEngineCall::Reserve { grant, tokens } => Call::Reserve { grant, tokens },
        SpanEngineCall::Release { grant } => Call::Release { grant },
        SpanEngineCall::Prefill {
            grant,
            from,
            to,
            import,
            ..
        } => Call::Prefill {
            grant,
            tokens: to - from,
            import: import.map(|import| usize::from(import.engine.port())),
        },
    }
}

fn free(held: Holding) -> Call {
    match held.kind {
        HoldingKind::Request => Call::Cancel { id: held.id },
        HoldingKind::Grant => {
            let grant: Option<GrantId> = parse_grant(&held.id);
            Call::Release {
                grant: grant.unwrap(),
            }
        }
    }
}
