//! Agents, engines and the table service in virtual time, with one fault at one step.

mod engine;
mod node;

pub use engine::{Call, Engine, Reply};
pub use node::{Input, Node, ReplyTo};

use policy::{DesiredState, LeaseCommitResult, LeaseEvent, LeaseRow, SpanRequestId};
use proto::prelude::*;
use proto::{SpanAnswer, SpanRequest};
use std::collections::BTreeMap;

pub const MEMORY: Tokens = 1000;
const HOP: Duration = Duration::from_millis(1);
const TICK: Duration = Duration::from_millis(100);
const SILENCE: Duration = Duration::from_secs(1);
/// Longer than every lease.
pub const FREEZE: Duration = Duration::from_secs(25);
const REPLACEMENT: Duration = Duration::from_secs(1);

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
pub enum Tamper {
    No,
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
        tamper: Tamper,
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
    pub wanted: Vec<DesiredState>,
    pub armed: Option<(Step, Fault)>,
    pub struck: Option<Duration>,
    /// Whether paused processes fail to look at the clock again before they write an order.
    pub blind_writes: bool,
    cut: Option<(usize, usize, Duration)>,
    rows: BTreeMap<usize, (u64, LeaseRow)>,
    queue: BTreeMap<(Duration, u64), Msg>,
    posted: u64,
}

impl World {
    pub fn new(servers: usize, checks_fencing: bool) -> Self {
        let mut world = Self::default();
        for server in 0..servers {
            world.engines.push(Engine::new(MEMORY, checks_fencing));
            world.wanted.push(DesiredState::default());
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

    /// The newest process beside a backend server.
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
                tamper,
            } => {
                let (work, reply) = self.engines[engine].call(self.now, call);
                self.engine_reply(from, work, reply, tamper);
            }
            Msg::Read(from) => {
                let row = self.rows.get(&self.nodes[from].server);
                let row = row.map_or((0, None), |(version, row)| (*version, Some(row.clone())));
                self.post(
                    HOP,
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
                self.post(HOP, Msg::Node(from, Input::Lease(event)));
            }
            Msg::Replace { server, slot } => self.spawn(server, &slot),
        }
    }

    fn deliver_to_node(&mut self, index: usize, input: Input) {
        let node = &mut self.nodes[index];
        if !node.alive {
            if let Input::Ask { reply, .. } = input {
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
            self.post(TICK, Msg::Node(index, Input::Tick));
        }
        let wanted = self.wanted[self.nodes[index].server].clone();
        let mut out = Vec::new();
        self.nodes[index].handle(self.now, input, wanted, &mut out);
        for effect in out {
            self.carry_out(index, effect);
        }
    }

    fn carry_out(&mut self, from: usize, effect: node::Effect) {
        use node::Effect;
        match effect {
            Effect::Ask {
                server,
                leader,
                ask,
                request,
            } => {
                let step = match request {
                    SpanRequest::Reserve { .. } => Some(Step::Reserve),
                    SpanRequest::Prefill { .. } => Some(Step::Prefill),
                    SpanRequest::Release { .. } => Some(Step::Release),
                    _ => None,
                };
                let to = self.agent(server);
                let tamper = match step {
                    Some(step) if to != from => self.strike(step, from, to),
                    _ => Tamper::No,
                };
                let reply = ReplyTo {
                    node: from,
                    leader,
                    ask,
                    tamper,
                    from: to,
                };
                if self.is_cut(from, to) {
                    self.answer(reply, None);
                } else {
                    self.post(HOP, Msg::Node(to, Input::Ask { reply, request }));
                }
            }
            Effect::Answer { reply, answer } => self.answer(reply, Some(answer)),
            Effect::Call(call) => {
                let tamper = self.strike_call(from, &call);
                let engine = self.nodes[from].server;
                self.post(
                    HOP,
                    Msg::Engine {
                        engine,
                        from,
                        call,
                        tamper,
                    },
                );
            }
            Effect::Write { send_by, call } => {
                let step = call.order_step();
                let tamper = step.map_or(Tamper::No, |step| self.strike(step, from, from));
                let input = Input::Write {
                    send_by,
                    call,
                    tamper,
                    blind: self.blind_writes,
                };
                self.post(Duration::ZERO, Msg::Node(from, input));
            }
            Effect::Send { call, tamper } => {
                let engine = self.nodes[from].server;
                self.post(
                    HOP,
                    Msg::Engine {
                        engine,
                        from,
                        call,
                        tamper,
                    },
                );
            }
            Effect::Read => self.post(HOP, Msg::Read(from)),
            Effect::Commit { sent, version, row } => {
                self.post(
                    HOP,
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

    fn strike_call(&mut self, from: usize, call: &Call) -> Tamper {
        match call {
            Call::Segment {
                import: Some(exporter),
                ..
            } => {
                let exporter = self.agent(*exporter);
                let leader = self.nodes.iter().position(|node| !node.leaders.is_empty());
                let leader = leader.unwrap_or(from);
                match self.armed {
                    Some((Step::Export, _)) => self.strike(Step::Export, leader, exporter),
                    _ => self.strike(Step::Import, leader, from),
                }
            }
            Call::Decode { .. } => {
                let member = self.agent(0);
                self.strike(Step::Decode, from, member)
            }
            _ => Tamper::No,
        }
    }

    fn strike(&mut self, step: Step, leader: usize, member: usize) -> Tamper {
        let Some((_, fault)) = self.armed.filter(|(armed, _)| *armed == step) else {
            return Tamper::No;
        };
        self.armed = None;
        self.struck = Some(self.now);
        match fault {
            Fault::CrashLeader => self.crash(leader),
            Fault::CrashMember => self.crash(member),
            Fault::FreezeLeader => self.freeze(leader),
            Fault::FreezeMember => self.freeze(member),
            Fault::CutLink if leader == member => return Tamper::Lost,
            Fault::CutLink => self.cut = Some((leader, member, self.now + FREEZE)),
            Fault::LostAnswer => return Tamper::Lost,
            Fault::LateAnswer => return Tamper::Late,
            Fault::GatewayGone => self.post(HOP, Msg::Node(leader, Input::GatewayGone)),
        }
        Tamper::No
    }

    pub fn crash(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.alive = false;
        let (server, slot) = (node.server, node.slot.clone());
        self.engines[server].connection_closed(index);
        self.post(REPLACEMENT, Msg::Replace { server, slot });
    }

    pub fn freeze(&mut self, index: usize) {
        self.nodes[index].frozen_until = self.now + FREEZE;
        let server = self.nodes[index].server;
        let slot = format!("rival-{index}").into();
        self.post(REPLACEMENT, Msg::Replace { server, slot });
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cut
            .is_some_and(|(x, y, until)| self.now < until && ((x, y) == (a, b) || (y, x) == (a, b)))
    }

    fn answer(&mut self, reply: ReplyTo, answer: Option<SpanAnswer>) {
        let cut = reply.tamper == Tamper::Lost || self.is_cut(reply.node, reply.from);
        let answer = if cut { None } else { answer };
        let delay = match (reply.tamper, &answer) {
            (Tamper::Late, _) => FREEZE,
            (_, None) => SILENCE,
            _ => HOP,
        };
        let (leader, ask): (usize, SpanRequestId) = (reply.leader, reply.ask);
        let input = Input::Answer {
            leader,
            ask,
            answer,
        };
        self.post(delay, Msg::Node(reply.node, input));
    }

    fn engine_reply(&mut self, to: usize, work: Duration, reply: Reply, tamper: Tamper) {
        let delay = if tamper == Tamper::Late {
            FREEZE
        } else {
            work + HOP
        };
        let reply = if tamper == Tamper::Lost {
            reply.lost()
        } else {
            reply
        };
        self.post(delay, Msg::Node(to, Input::Engine(reply)));
    }

    /// Tokens held in engines that no running span of a live process claims.
    pub fn unowned(&self) -> Tokens {
        let claimed = |id: &str| self.nodes.iter().any(|node| node.claims(self.now, id));
        let engines = self.engines.iter();
        engines
            .map(|engine| engine.held_where(|id| !claimed(id)))
            .sum()
    }
}
