//! One agent process, as its driver would wire it.

use super::{Call, MEMORY, Reply, Tamper};
use policy::*;
use proto::prelude::*;
use proto::{GrantId, SpanAnswer, SpanRequest, SpanTicket};
use std::collections::BTreeMap;

#[derive(Debug, Clone, Copy)]
pub struct ReplyTo {
    pub node: usize,
    pub leader: usize,
    pub ask: SpanRequestId,
    pub tamper: Tamper,
    pub from: usize,
}

#[derive(Debug)]
pub enum Input {
    Tick,
    Begin {
        ticket: SpanTicket,
        plan: SpanPlan,
        deadline: Duration,
    },
    GatewayGone,
    Ask {
        reply: ReplyTo,
        request: SpanRequest,
    },
    Answer {
        leader: usize,
        ask: SpanRequestId,
        answer: Option<SpanAnswer>,
    },
    Engine(Reply),
    Lease(LeaseEvent),
    Write {
        send_by: Duration,
        call: Call,
        tamper: Tamper,
        blind: bool,
    },
}

#[derive(Debug)]
pub enum Effect {
    Ask {
        server: usize,
        leader: usize,
        ask: SpanRequestId,
        request: SpanRequest,
    },
    Answer {
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
        tamper: Tamper,
    },
    Read,
    Commit {
        sent: Duration,
        version: u64,
        row: LeaseRow,
    },
}

#[derive(Debug)]
pub struct Led {
    pub leader: SpanLeader,
    pub text: Box<str>,
    pub segments: usize,
    pub began: Duration,
    /// When the first prefill was sent.
    pub reserved: Option<Duration>,
    pub end: Option<(Duration, LeaderAction)>,
}

#[derive(Debug)]
pub struct Node {
    pub index: usize,
    pub server: usize,
    pub slot: Box<str>,
    pub alive: bool,
    pub frozen_until: Duration,
    pub leaders: Vec<Led>,
    pub member: SpanMember,
    pub lease: ServerLease,
    desk: OrderController,
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
        let memory = MemoryConfig::for_engine(MEMORY);
        Self {
            index,
            server,
            slot: slot.into(),
            alive: true,
            frozen_until: Duration::ZERO,
            leaders: Vec::new(),
            member: SpanMember::new(&server.to_string(), engine, memory),
            lease: ServerLease::new(ServerLeaseConfig::for_holder(&holder, slot)),
            desk: OrderController::new(orders),
            reconciler: MemoryReconciler::new(ReconcileConfig::default()),
            replies: BTreeMap::new(),
            verify_sent: Duration::ZERO,
        }
    }

    /// Whether a span that this process leads claims a holding.
    pub fn claims(&self, now: Duration, id: &str) -> bool {
        let running = self.alive && self.frozen_until <= now;
        let mut led = self.leaders.iter().filter(|led| !led.leader.has_ended());
        running
            && led.any(|led| {
                let mut grants = (0..led.segments).map(|segment| led.leader.grant(segment));
                &*led.text == id || grants.any(|grant| &*format_grant(grant) == id)
            })
    }

    pub fn handle(
        &mut self,
        now: Duration,
        input: Input,
        wanted: DesiredState,
        out: &mut Vec<Effect>,
    ) {
        match input {
            Input::Tick => self.tick(now, wanted, out),
            Input::Begin {
                ticket,
                plan,
                deadline,
            } => self.begin(now, ticket, plan, deadline, out),
            Input::GatewayGone => {
                for index in 0..self.leaders.len() {
                    self.lead(now, index, LeaderEvent::Cancel, out);
                }
            }
            Input::Ask { reply, request } => {
                let id = self.replies.len() as ReplyId;
                self.replies.insert(id, reply);
                self.ask(
                    now,
                    MemberEvent::Request {
                        reply_id: id,
                        request,
                    },
                    out,
                );
            }
            Input::Answer {
                leader,
                ask,
                answer,
            } => {
                self.lead(now, leader, LeaderEvent::Reply(ask, answer), out);
            }
            Input::Engine(reply) => self.engine(now, reply, out),
            Input::Lease(event) => self.lease(now, event, out),
            Input::Write {
                send_by,
                call,
                tamper,
                blind,
            } => {
                if blind || now < send_by {
                    out.push(Effect::Send { call, tamper });
                } else {
                    self.order(now, OrderEvent::Ended(OrderResult::NotApplied), out);
                }
            }
        }
    }

    fn tick(&mut self, now: Duration, wanted: DesiredState, out: &mut Vec<Effect>) {
        self.ask(now, MemberEvent::Tick, out);
        for index in 0..self.leaders.len() {
            self.lead(now, index, LeaderEvent::Tick, out);
        }
        self.lease(now, LeaseEvent::Tick, out);
        self.reconcile(now, ReconcileEvent::Tick, out);
        self.order(now, OrderEvent::DesiredChanged(wanted), out);
        self.order(now, OrderEvent::Tick, out);
    }

    fn begin(
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
        let text = ticket.attempt.to_string().into();
        let (reserved, end) = (None, None);
        self.leaders.push(Led {
            leader,
            text,
            segments,
            began: now,
            reserved,
            end,
        });
        self.leader_actions(now, self.leaders.len() - 1, actions, out);
    }

    fn lead(&mut self, now: Duration, index: usize, event: LeaderEvent, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        self.leaders[index].leader.handle(now, event, &mut actions);
        self.leader_actions(now, index, actions, out);
    }

    fn leader_actions(
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
                    id: ask,
                    request,
                } => {
                    if ask.step == SpanStep::Prefill {
                        led.reserved.get_or_insert(now);
                    }
                    let server = server.parse().unwrap();
                    out.push(Effect::Ask {
                        server,
                        leader,
                        ask,
                        request,
                    });
                }
                LeaderAction::Decode(grant) => {
                    let id = led.text.clone();
                    out.push(Effect::Call(Call::Decode {
                        node,
                        leader,
                        grant,
                        id,
                    }));
                }
                LeaderAction::CancelDecode => {
                    out.push(Effect::Call(Call::Cancel {
                        id: led.text.clone(),
                    }));
                }
                end => led.end = Some((now, end)),
            }
        }
    }

    fn ask(&mut self, now: Duration, event: MemberEvent, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        self.member.handle(now, event, &mut actions);
        for action in actions {
            out.push(match action {
                MemberAction::Reply { reply_id, answer } => Effect::Answer {
                    reply: self.replies[&reply_id],
                    answer,
                },
                MemberAction::Call(call) => Effect::Call(engine_call(call)),
            });
        }
    }

    fn engine(&mut self, now: Duration, reply: Reply, out: &mut Vec<Effect>) {
        match reply {
            Reply::Reserved(grant, end) => self.ask(now, MemberEvent::Reserved(grant, end), out),
            Reply::Prefilled(grant, end) => self.ask(now, MemberEvent::Prefilled(grant, end), out),
            Reply::Decoded(leader, ok) => self.lead(now, leader, LeaderEvent::DecodeEnded(ok), out),
            Reply::Holdings(asked, holdings) => {
                if let Some(holdings) = &holdings {
                    self.ask(now, MemberEvent::Holdings(asked, holdings.clone()), out);
                }
                self.reconcile(now, ReconcileEvent::Holdings(holdings), out);
            }
            Reply::State(state) => self.order(now, OrderEvent::State(state), out),
            Reply::Ordered(end) => self.order(now, OrderEvent::Ended(end), out),
            Reply::Nothing => {}
        }
    }

    fn reconcile(&mut self, now: Duration, event: ReconcileEvent, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        let owned = |held: &Holding| {
            let mut led = self.leaders.iter().filter(|led| !led.leader.has_ended());
            self.member.owns(now, held) || led.any(|led| led.text == held.id)
        };
        self.reconciler.handle(now, event, owned, &mut actions);
        for action in actions {
            match action {
                ReconcileAction::Read => out.push(Effect::Call(Call::Holdings { asked: now })),
                ReconcileAction::Verify => self.lease(now, LeaseEvent::Verify, out),
                ReconcileAction::Free(held) => out.push(Effect::Call(free(held))),
            }
        }
    }

    fn order(&mut self, now: Duration, event: OrderEvent, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        self.desk
            .handle(now, self.lease.epoch(now), event, &mut actions);
        for action in actions {
            match action {
                OrderAction::Read => out.push(Effect::Call(Call::State)),
                OrderAction::Verify => self.lease(now, LeaseEvent::Verify, out),
                OrderAction::Send {
                    fence,
                    order,
                    send_by,
                    ..
                } => {
                    let call = Call::Order { fence, order };
                    out.push(Effect::Write { send_by, call });
                }
                OrderAction::Superseded => self.lease(now, LeaseEvent::Superseded, out),
                OrderAction::Forbidden => {}
            }
        }
    }

    fn lease(&mut self, now: Duration, event: LeaseEvent, out: &mut Vec<Effect>) {
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
                    self.reconcile(now, ReconcileEvent::Verified(ok), out);
                    let proven = ok.then_some(self.verify_sent);
                    self.order(now, OrderEvent::Verified(proven), out);
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
        } => Call::Segment {
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
