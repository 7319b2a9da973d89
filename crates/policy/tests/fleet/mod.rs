//! A fleet in virtual time: latency, loss, freezes, parted regions and a store that can be down.

use declarations::{Declarations, Domain, Team, hash_key};
use policy::{ConfigGossip, GossipAction, GossipConfig, GossipEvent, RequestSeq};
use proto::{ConfigMessage, NodeId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

pub const SECOND: Duration = Duration::from_secs(1);
const TIMEOUT: Duration = SECOND;
/// IP, UDP and QUIC headers and acknowledgements of one message.
const OVERHEAD_BYTES: usize = 120;

pub struct FleetConfig {
    pub nodes: usize,
    pub loss: f64,
    pub seed: u64,
}

#[derive(Debug, Default, Clone)]
pub struct Report {
    pub unreached: usize,
    pub slowest: Duration,
    pub bytes_per_node_second: f64,
    pub reads_per_second: f64,
    pub went_back: usize,
    pub admitted_by_old: usize,
}

enum What {
    Handle(GossipEvent),
    Ask {
        from: Option<usize>,
        seq: RequestSeq,
        message: ConfigMessage,
    },
    Wake,
}

struct Node {
    spread: ConfigGossip,
    up: bool,
    frozen_until: Duration,
    woke: Option<Duration>,
    wakeup: Duration,
}

pub struct Fleet {
    now: Duration,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    waiting: Vec<Option<What>>,
    rng: SmallRng,
    loss: f64,
    store: (u64, Declarations),
    committed_at: Duration,
    pub store_down: bool,
    pub parted: bool,
    bytes: usize,
    reads: usize,
    report: Report,
}

pub fn large_declarations(teams: usize) -> Declarations {
    let team = |index| Team {
        name: format!("team-{index:05}").into(),
        key_hashes: vec![hash_key(&format!("key {index}"))],
        weight: 100,
        tokens_per_second: Some(10_000),
    };
    Declarations {
        teams: (0..teams).map(team).collect(),
        ..Declarations::default()
    }
}

fn name(index: usize) -> NodeId {
    format!("node-{index:04}").into()
}

impl Fleet {
    pub fn new(cfg: FleetConfig) -> Self {
        let domain = |index| Domain {
            name: format!("domain-{index}").into(),
            region: "r".into(),
            out: false,
        };
        let mut declared = large_declarations(20);
        declared.domains = (0..6).map(domain).collect();
        let mut fleet = Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            queue: BinaryHeap::new(),
            waiting: Vec::new(),
            rng: SmallRng::seed_from_u64(cfg.seed),
            loss: cfg.loss,
            store: (1, declared.sorted()),
            committed_at: Duration::ZERO,
            store_down: false,
            parted: false,
            bytes: 0,
            reads: 0,
            report: Report::default(),
        };
        for index in 0..cfg.nodes {
            let spread = ConfigGossip::new(
                Duration::ZERO,
                GossipConfig::for_node(&name(index), cfg.seed),
            );
            fleet.nodes.push(Node {
                spread,
                up: true,
                frozen_until: Duration::ZERO,
                woke: None,
                wakeup: Duration::MAX,
            });
        }
        for index in 0..cfg.nodes {
            fleet.deliver(index, fleet.peers());
        }
        fleet
    }

    fn peers(&self) -> GossipEvent {
        GossipEvent::Peers((0..self.nodes.len()).map(name).collect())
    }

    pub fn commit(&mut self, by: usize) {
        let mut declared = self.store.1.clone();
        let domain = &mut declared.domains[self.store.0 as usize % 6];
        domain.out = !domain.out;
        self.store = (self.store.0 + 1, declared.clone());
        self.committed_at = self.now;
        let event = GossipEvent::StoreContent {
            seq: 0,
            version: self.store.0,
            declared: Box::new(declared),
        };
        self.deliver(by, event);
    }

    pub fn commit_and_die(&mut self, by: usize) {
        self.nodes[by].up = false;
        self.commit(by);
    }

    pub fn freeze(&mut self, node: usize, until: Duration) {
        self.nodes[node].frozen_until = until;
        self.nodes[node].woke = Some(until);
    }

    pub fn restart(&mut self, node: usize) {
        let cfg = GossipConfig::for_node(&name(node), self.now.as_secs());
        self.nodes[node].spread = ConfigGossip::new(self.now, cfg);
        self.deliver(node, self.peers());
    }

    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    pub fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((at, id, node))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let frozen_until = self.nodes[node].frozen_until;
            if frozen_until > at {
                self.queue.push(Reverse((frozen_until, id, node)));
                continue;
            }
            match self.waiting[id as usize].take() {
                Some(What::Handle(event)) => self.deliver(node, event),
                Some(What::Ask { from, seq, message }) => self.answer(node, from, seq, message),
                Some(What::Wake) if self.nodes[node].wakeup == at || frozen_until == at => {
                    self.deliver(node, GossipEvent::Tick);
                }
                _ => {}
            }
        }
        self.now = end;
    }

    pub fn versions(&self) -> ((u64, u64), (u64, u64)) {
        let side = |far: bool| {
            let of_side = self
                .nodes
                .iter()
                .enumerate()
                .filter(|(index, _)| self.is_far(*index) == far);
            let versions: Vec<u64> = of_side.map(|(_, node)| node.spread.version()).collect();
            (
                *versions.iter().min().unwrap(),
                *versions.iter().max().unwrap(),
            )
        };
        (side(false), side(true))
    }

    pub fn all_admit(&self) -> bool {
        self.nodes
            .iter()
            .all(|node| node.spread.may_admit(self.now))
    }

    pub fn report(&self) -> Report {
        let mut report = self.report.clone();
        let behind = |node: &&Node| node.up && node.spread.version() < self.store.0;
        report.unreached = self.nodes.iter().filter(behind).count();
        let seconds = self.now.as_secs_f64();
        report.bytes_per_node_second = self.bytes as f64 / seconds / self.nodes.len() as f64;
        report.reads_per_second = self.reads as f64 / seconds;
        report
    }

    fn is_far(&self, node: usize) -> bool {
        node % 2 == 1
    }

    fn cut(&self, a: usize, b: usize) -> bool {
        self.parted && self.is_far(a) != self.is_far(b)
    }

    fn deliver(&mut self, node: usize, event: GossipEvent) {
        if !self.nodes[node].up {
            return;
        }
        let mut out = Vec::new();
        let before = self.nodes[node].spread.version();
        self.nodes[node].spread.handle(self.now, event, &mut out);
        self.check(node, before);
        for action in out {
            self.act(node, action);
        }
        let wakeup = self.nodes[node].spread.next_wakeup().max(self.now);
        if self.nodes[node].wakeup != wakeup {
            self.nodes[node].wakeup = wakeup;
            self.schedule(wakeup, node, What::Wake);
        }
    }

    /// What must hold after each step of a node.
    fn check(&mut self, node: usize, before: u64) {
        let spread = &self.nodes[node].spread;
        let version = spread.version();
        self.report.went_back += usize::from(version < before);
        if version > before && version == self.store.0 && self.nodes[node].woke.is_none() {
            self.report.slowest = self.report.slowest.max(self.now - self.committed_at);
        }
        let woke = self.nodes[node].woke.is_some_and(|woke| self.now >= woke);
        if woke && version < self.store.0 && spread.may_admit(self.now) {
            self.report.admitted_by_old += 1;
        }
    }

    fn act(&mut self, node: usize, action: GossipAction) {
        match action {
            GossipAction::Exchange { seq, peer, message } => {
                self.count(&message);
                let to: usize = peer["node-".len()..].parse().unwrap();
                let frozen = self.nodes[to].frozen_until > self.now;
                let lost = self.rng.random_bool(self.loss);
                let cut = lost || !self.nodes[to].up || self.cut(node, to);
                if cut || frozen {
                    let event = GossipEvent::Unreachable(peer);
                    self.schedule(self.now + TIMEOUT, node, What::Handle(event));
                }
                if !cut {
                    let at = self.now + self.latency(node, to);
                    // A frozen peer finds the message when it wakes; nobody waits for its answer.
                    let from = (!frozen).then_some(node);
                    self.schedule(at, to, What::Ask { from, seq, message });
                }
            }
            GossipAction::Reply(_) | GossipAction::Activated(_) => {}
            GossipAction::ReadHead(seq) => {
                self.read(node, |(version, _)| GossipEvent::StoreHead {
                    seq,
                    version: *version,
                });
            }
            GossipAction::ReadContent(seq) => {
                self.read(node, |(version, declared)| GossipEvent::StoreContent {
                    seq,
                    version: *version,
                    declared: Box::new(declared.clone()),
                });
            }
        }
    }

    /// The peer handles a question; the answer arrives, or the asker's time is up.
    fn answer(
        &mut self,
        node: usize,
        from: Option<usize>,
        seq: RequestSeq,
        message: ConfigMessage,
    ) {
        if !self.nodes[node].up {
            return;
        }
        let mut out = Vec::new();
        let before = self.nodes[node].spread.version();
        self.nodes[node]
            .spread
            .handle(self.now, GossipEvent::Request(message), &mut out);
        self.check(node, before);
        for action in out {
            if let GossipAction::Reply(message) = action {
                self.count(&message);
                let Some(from) = from else { continue };
                if self.cut(node, from) {
                    let event = GossipEvent::Unreachable(name(node));
                    self.schedule(self.now + TIMEOUT, from, What::Handle(event));
                    continue;
                }
                let at = self.now + self.latency(node, from);
                self.schedule(
                    at,
                    from,
                    What::Handle(GossipEvent::Response { seq, message }),
                );
            } else {
                self.act(node, action);
            }
        }
        self.deliver(node, GossipEvent::Tick);
    }

    /// The answer shows the store as it was when asked, however late it is handled.
    fn read(&mut self, node: usize, answer: impl Fn(&(u64, Declarations)) -> GossipEvent) {
        self.reads += 1;
        let down = self.store_down || (self.parted && self.is_far(node));
        let (delay, event) = if down {
            (TIMEOUT, GossipEvent::StoreFailed)
        } else {
            (Duration::from_millis(5), answer(&self.store))
        };
        self.schedule(self.now + delay, node, What::Handle(event));
    }

    fn count(&mut self, message: &ConfigMessage) {
        // Sent by one node and received by another.
        self.bytes += 2 * (proto::encode(message).unwrap().len() + OVERHEAD_BYTES);
    }

    fn latency(&mut self, a: usize, b: usize) -> Duration {
        let base = if self.is_far(a) == self.is_far(b) {
            500
        } else {
            15_000
        };
        Duration::from_micros(base + self.rng.random_range(0..base))
    }

    fn schedule(&mut self, at: Duration, node: usize, what: What) {
        self.queue
            .push(Reverse((at, self.waiting.len() as u64, node)));
        self.waiting.push(Some(what));
    }
}
