//! Simulation of agents, engines and the table service, with one fault injected at one step.

mod engine;
mod node;

pub use engine::{Call, Engine, Reply};
pub use node::{Input, Node, ReplyTo};

use policy::{DesiredState, LeaseCommitResult, LeaseEvent, LeaseRow, SpanRequestId};
use proto::prelude::*;
use proto::{SpanAnswer, SpanRequest};
use std::collections::BTreeMap;

pub const ENGINE_TOKENS: Tokens = 1000;
const LINK_DELAY: Duration = Duration::from_millis(1);
const TICK_INTERVAL: Duration = Duration::from_millis(100);
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a process is frozen, longer than every lease.
pub const FREEZE_TIME: Duration = Duration::from_secs(25);
const REPLACEMENT_DELAY: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Step {
    Reserve,
    Prefill,
    Export,
    Import,
    Decode,
    Release,
    Load,
    Role,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    CrashLeader,
    CrashMember,
    FreezeLeader,
    FreezeMember,
    CutLink,
    LostAnswer,
    LateAnswer,
    GatewayGone,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ReplyFault {
    None,
    Lost,
    Late,
}

#[derive(Debug)]
pub enum Msg {
    Node(usize, Input),
    Engine {
        engine: usize,
        from: usize,
        call: Call,
        reply_fault: ReplyFault,
    },
    Read(usize),
    Commit {
        from: usize,
        sent: Duration,
        version: u64,
        row: LeaseRow,
    },
    Replace {
        server: usize,
        slot: Box<str>,
    },
}

#[derive(Debug, Default)]
pub struct World {
    pub now: Duration,
    pub engines: Vec<Engine>,
    pub nodes: Vec<Node>,
    pub desired: Vec<DesiredState>,
    pub pending_fault: Option<(Step, Fault)>,
    pub fault_injected_at: Option<Duration>,
    /// Whether processes send an order without checking its deadline again, as if they were paused
    /// after the check.
    pub skip_write_deadline: bool,
    cut: Option<(usize, usize, Duration)>,
    rows: BTreeMap<usize, (u64, LeaseRow)>,
    queue: BTreeMap<(Duration, u64), Msg>,
    posted: u64,
}

impl World {
    pub fn new(servers: usize, checks_fencing: bool) -> Self {
        let mut world = Self::default();
        for server in 0..servers {
            world
                .engines
                .push(Engine::new(ENGINE_TOKENS, checks_fencing));
            world.desired.push(DesiredState::default());
            world.spawn(server, &format!("slot-{server}"));
        }
        world
    }

    fn spawn(&mut self, server: usize, slot: &str) {
        let index = self.nodes.len();
        let fencing = self.engines[server].checks_fencing;
        self.nodes
            .push(Node::new(index, server, slot, fencing, self.now));
        self.post(Duration::ZERO, Msg::Node(index, Input::Tick));
    }

    pub fn post(&mut self, delay: Duration, msg: Msg) {
        self.posted += 1;
        self.queue.insert((self.now + delay, self.posted), msg);
    }

    /// Index of the newest agent of a backend server.
    pub fn agent(&self, server: usize) -> usize {
        let mut nodes = self.nodes.iter().rev();
        nodes.find(|node| node.server == server).unwrap().index
    }

    pub fn run_until(&mut self, end: Duration) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now = entry.key().0;
            let msg = entry.remove();
            self.deliver(msg);
        }
        self.now = end;
    }

    fn deliver(&mut self, msg: Msg) {
        match msg {
            Msg::Node(node, input) => self.deliver_to_node(node, input),
            Msg::Engine {
                engine,
                from,
                call,
                reply_fault,
            } => {
                let (work, reply) = self.engines[engine].call(self.now, call);
                self.engine_reply(from, work, reply, reply_fault);
            }
            Msg::Read(from) => {
                let row = self.rows.get(&self.nodes[from].server);
                let row = row.map_or((0, None), |(version, row)| (*version, Some(row.clone())));
                self.post(
                    LINK_DELAY,
                    Msg::Node(from, Input::Lease(LeaseEvent::Row(Some(row)))),
                );
            }
            Msg::Commit {
                from,
                sent,
                version,
                row,
            } => {
                let server = self.nodes[from].server;
                let found = self.rows.get(&server).map_or(0, |(version, _)| *version);
                let mut result = LeaseCommitResult::NotCommitted;
                if found == version {
                    self.rows.insert(server, (version + 1, row));
                    result = LeaseCommitResult::Committed(version + 1);
                }
                let event = LeaseEvent::Committed { sent, result };
                self.post(LINK_DELAY, Msg::Node(from, Input::Lease(event)));
            }
            Msg::Replace { server, slot } => self.spawn(server, &slot),
        }
    }

    fn deliver_to_node(&mut self, index: usize, input: Input) {
        let node = &mut self.nodes[index];
        if !node.alive {
            if let Input::Request { reply, .. } = input {
                self.answer(reply, None);
            }
            return;
        }
        if node.frozen_until > self.now {
            let delay = node.frozen_until - self.now;
            self.post(delay, Msg::Node(index, input));
            return;
        }
        if matches!(input, Input::Tick) {
            self.post(TICK_INTERVAL, Msg::Node(index, Input::Tick));
        }
        let desired = self.desired[self.nodes[index].server].clone();
        let mut out = Vec::new();
        self.nodes[index].handle(self.now, input, desired, &mut out);
        for effect in out {
            self.apply_effect(index, effect);
        }
    }

    fn apply_effect(&mut self, from: usize, effect: node::Effect) {
        use node::Effect;
        match effect {
            Effect::Request {
                server,
                leader,
                id,
                request,
            } => {
                let step = match request {
                    SpanRequest::Reserve { .. } => Some(Step::Reserve),
                    SpanRequest::Prefill { .. } => Some(Step::Prefill),
                    SpanRequest::Release { .. } => Some(Step::Release),
                    _ => None,
                };
                let to = self.agent(server);
                let reply_fault = match step {
                    Some(step) if to != from => self.inject_at(step, from, to),
                    _ => ReplyFault::None,
                };
                let reply = ReplyTo {
                    node: from,
                    leader,
                    id,
                    reply_fault,
                    from: to,
                };
                if self.is_cut(from, to) {
                    self.answer(reply, None);
                } else {
                    self.post(LINK_DELAY, Msg::Node(to, Input::Request { reply, request }));
                }
            }
            Effect::Reply { reply, answer } => self.answer(reply, Some(answer)),
            Effect::Call(call) => {
                let reply_fault = self.inject_at_call(from, &call);
                let engine = self.nodes[from].server;
                self.post(
                    LINK_DELAY,
                    Msg::Engine {
                        engine,
                        from,
                        call,
                        reply_fault,
                    },
                );
            }
            Effect::Write { send_by, call } => {
                let step = call.order_step();
                let reply_fault =
                    step.map_or(ReplyFault::None, |step| self.inject_at(step, from, from));
                let input = Input::Write {
                    send_by,
                    call,
                    reply_fault,
                    skip_deadline: self.skip_write_deadline,
                };
                self.post(Duration::ZERO, Msg::Node(from, input));
            }
            Effect::Send { call, reply_fault } => {
                let engine = self.nodes[from].server;
                self.post(
                    LINK_DELAY,
                    Msg::Engine {
                        engine,
                        from,
                        call,
                        reply_fault,
                    },
                );
            }
            Effect::Read => self.post(LINK_DELAY, Msg::Read(from)),
            Effect::Commit { sent, version, row } => {
                self.post(
                    LINK_DELAY,
                    Msg::Commit {
                        from,
                        sent,
                        version,
                        row,
                    },
                );
            }
        }
    }

    fn inject_at_call(&mut self, from: usize, call: &Call) -> ReplyFault {
        match call {
            Call::Prefill {
                import: Some(exporter),
                ..
            } => {
                let exporter = self.agent(*exporter);
                let leader = self.nodes.iter().position(|node| !node.leaders.is_empty());
                let leader = leader.unwrap_or(from);
                match self.pending_fault {
                    Some((Step::Export, _)) => self.inject_at(Step::Export, leader, exporter),
                    _ => self.inject_at(Step::Import, leader, from),
                }
            }
            Call::Decode { .. } => {
                let member = self.agent(0);
                self.inject_at(Step::Decode, from, member)
            }
            _ => ReplyFault::None,
        }
    }

    fn inject_at(&mut self, step: Step, leader: usize, member: usize) -> ReplyFault {
        let Some((_, fault)) = self
            .pending_fault
            .filter(|(pending_step, _)| *pending_step == step)
        else {
            return ReplyFault::None;
        };
        self.pending_fault = None;
        self.fault_injected_at = Some(self.now);
        match fault {
            Fault::CrashLeader => self.crash(leader),
            Fault::CrashMember => self.crash(member),
            Fault::FreezeLeader => self.freeze(leader),
            Fault::FreezeMember => self.freeze(member),
            Fault::CutLink if leader == member => return ReplyFault::Lost,
            Fault::CutLink => self.cut = Some((leader, member, self.now + FREEZE_TIME)),
            Fault::LostAnswer => return ReplyFault::Lost,
            Fault::LateAnswer => return ReplyFault::Late,
            Fault::GatewayGone => self.post(LINK_DELAY, Msg::Node(leader, Input::GatewayGone)),
        }
        ReplyFault::None
    }

    pub fn crash(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.alive = false;
        let (server, slot) = (node.server, node.slot.clone());
        self.engines[server].connection_closed(index);
        self.post(REPLACEMENT_DELAY, Msg::Replace { server, slot });
    }

    pub fn freeze(&mut self, index: usize) {
        self.nodes[index].frozen_until = self.now + FREEZE_TIME;
        let server = self.nodes[index].server;
        let slot = format!("rival-{index}").into();
        self.post(REPLACEMENT_DELAY, Msg::Replace { server, slot });
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cut
            .is_some_and(|(x, y, until)| self.now < until && ((x, y) == (a, b) || (y, x) == (a, b)))
    }

    fn answer(&mut self, reply: ReplyTo, answer: Option<SpanAnswer>) {
        let cut = reply.reply_fault == ReplyFault::Lost || self.is_cut(reply.node, reply.from);
        let answer = if cut { None } else { answer };
        let delay = match (reply.reply_fault, &answer) {
            (ReplyFault::Late, _) => FREEZE_TIME,
            (_, None) => REPLY_TIMEOUT,
            _ => LINK_DELAY,
        };
        let (leader, id): (usize, SpanRequestId) = (reply.leader, reply.id);
        let input = Input::Reply { leader, id, answer };
        self.post(delay, Msg::Node(reply.node, input));
    }

    fn engine_reply(&mut self, to: usize, work: Duration, reply: Reply, reply_fault: ReplyFault) {
        let delay = if reply_fault == ReplyFault::Late {
            FREEZE_TIME
        } else {
            work + LINK_DELAY
        };
        let reply = if reply_fault == ReplyFault::Lost {
            reply.lost()
        } else {
            reply
        };
        self.post(delay, Msg::Node(to, Input::Engine(reply)));
    }

    /// Tokens held on engines that no span of a running process owns.
    pub fn unowned_tokens(&self) -> Tokens {
        let claimed = |id: &str| self.nodes.iter().any(|node| node.claims(self.now, id));
        let engines = self.engines.iter();
        engines
            .map(|engine| engine.held_tokens_where(|id| !claimed(id)))
            .sum()
    }
}
