//! Simulates the gossip of configurations in a fleet, in virtual time. Messages have latency and
//! may be lost, nodes can be frozen, the two regions partitioned and the store made unavailable.

use declarations::{Declarations, Domain, Team, hash_key};
use policy::{ConfigGossip, GossipAction, GossipConfig, GossipEvent, RequestSeq};
use proto::{ConfigMessage, NodeId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

pub const SECOND: Duration = Duration::from_secs(1);
const RESPONSE_TIMEOUT: Duration = SECOND;
/// Size of the IP, UDP and QUIC headers and acknowledgements of one message.
const OVERHEAD_BYTES: usize = 120;

pub struct FleetConfig {
    pub nodes: usize,
    pub loss: f64,
    pub seed: u64,
}

#[derive(Debug, Default, Clone)]
pub struct Report {
    pub nodes_behind: usize,
    pub slowest: Duration,
    pub bytes_per_node_second: f64,
    pub reads_per_second: f64,
    pub version_regressions: usize,
    pub stale_admissions: usize,
}

enum Delivery {
    Event(GossipEvent),
    Request {
        from: Option<usize>,
        seq: RequestSeq,
        message: ConfigMessage,
    },
    Wakeup,
}

struct Node {
    gossip: ConfigGossip,
    up: bool,
    frozen_until: Duration,
    wakes_at: Option<Duration>,
    wakeup: Duration,
}

pub struct Fleet {
    now: Duration,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    deliveries: Vec<Option<Delivery>>,
    rng: SmallRng,
    loss: f64,
    store: (u64, Declarations),
    committed_at: Duration,
    pub store_down: bool,
    pub partitioned: bool,
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
            deliveries: Vec::new(),
            rng: SmallRng::seed_from_u64(cfg.seed),
            loss: cfg.loss,
            store: (1, declared.sorted()),
            committed_at: Duration::ZERO,
            store_down: false,
            partitioned: false,
            bytes: 0,
            reads: 0,
            report: Report::default(),
        };
        for index in 0..cfg.nodes {
            let gossip = ConfigGossip::new(
                Duration::ZERO,
                GossipConfig::for_node(&name(index), cfg.seed),
            );
            fleet.nodes.push(Node {
                gossip,
                up: true,
                frozen_until: Duration::ZERO,
                wakes_at: None,
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
        self.nodes[node].wakes_at = Some(until);
    }

    pub fn restart(&mut self, node: usize) {
        let cfg = GossipConfig::for_node(&name(node), self.now.as_secs());
        self.nodes[node].gossip = ConfigGossip::new(self.now, cfg);
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
            match self.deliveries[id as usize].take() {
                Some(Delivery::Event(event)) => self.deliver(node, event),
                Some(Delivery::Request { from, seq, message }) => {
                    self.handle_request(node, from, seq, message);
                }
                Some(Delivery::Wakeup) if self.nodes[node].wakeup == at || frozen_until == at => {
                    self.deliver(node, GossipEvent::Tick);
                }
                _ => {}
            }
        }
        self.now = end;
    }

    pub fn versions(&self) -> ((u64, u64), (u64, u64)) {
        let versions_of = |second: bool| {
            let in_region = self
                .nodes
                .iter()
                .enumerate()
                .filter(|(index, _)| self.is_in_second_region(*index) == second);
            let versions: Vec<u64> = in_region.map(|(_, node)| node.gossip.version()).collect();
            (
                *versions.iter().min().unwrap(),
                *versions.iter().max().unwrap(),
            )
        };
        (versions_of(false), versions_of(true))
    }

    pub fn all_admit(&self) -> bool {
        self.nodes
            .iter()
            .all(|node| node.gossip.may_admit(self.now))
    }

    pub fn report(&self) -> Report {
        let mut report = self.report.clone();
        let behind = |node: &&Node| node.up && node.gossip.version() < self.store.0;
        report.nodes_behind = self.nodes.iter().filter(behind).count();
        let seconds = self.now.as_secs_f64();
        report.bytes_per_node_second = self.bytes as f64 / seconds / self.nodes.len() as f64;
        report.reads_per_second = self.reads as f64 / seconds;
        report
    }

    fn is_in_second_region(&self, node: usize) -> bool {
        node % 2 == 1
    }

    fn is_cut_off(&self, a: usize, b: usize) -> bool {
        self.partitioned && self.is_in_second_region(a) != self.is_in_second_region(b)
    }

    fn deliver(&mut self, node: usize, event: GossipEvent) {
        if !self.nodes[node].up {
            return;
        }
        let mut out = Vec::new();
        let before = self.nodes[node].gossip.version();
        self.nodes[node].gossip.handle(self.now, event, &mut out);
        self.check_invariants(node, before);
        for action in out {
            self.carry_out(node, action);
        }
        let wakeup = self.nodes[node].gossip.next_wakeup().max(self.now);
        if self.nodes[node].wakeup != wakeup {
            self.nodes[node].wakeup = wakeup;
            self.schedule(wakeup, node, Delivery::Wakeup);
        }
    }

    /// Counts violations of the invariants after each step of a node.
    fn check_invariants(&mut self, node: usize, before: u64) {
        let gossip = &self.nodes[node].gossip;
        let version = gossip.version();
        self.report.version_regressions += usize::from(version < before);
        if version > before && version == self.store.0 && self.nodes[node].wakes_at.is_none() {
            self.report.slowest = self.report.slowest.max(self.now - self.committed_at);
        }
        let woke = self.nodes[node]
            .wakes_at
            .is_some_and(|wakes_at| self.now >= wakes_at);
        if woke && version < self.store.0 && gossip.may_admit(self.now) {
            self.report.stale_admissions += 1;
        }
    }

    fn carry_out(&mut self, node: usize, action: GossipAction) {
        match action {
            GossipAction::Exchange { seq, peer, message } => {
                self.count_bytes(&message);
                let to: usize = peer["node-".len()..].parse().unwrap();
                let frozen = self.nodes[to].frozen_until > self.now;
                let lost = self.rng.random_bool(self.loss);
                let cut = lost || !self.nodes[to].up || self.is_cut_off(node, to);
                if cut || frozen {
                    let event = GossipEvent::Unreachable(peer);
                    self.schedule(self.now + RESPONSE_TIMEOUT, node, Delivery::Event(event));
                }
                if !cut {
                    let at = self.now + self.latency(node, to);
                    // A frozen peer handles the message when it wakes, but nobody waits for its
                    // response any more.
                    let from = (!frozen).then_some(node);
                    self.schedule(at, to, Delivery::Request { from, seq, message });
                }
            }
            GossipAction::Reply(_) | GossipAction::Activated(_) => {}
            GossipAction::ReadHead(seq) => {
                self.read_store(node, |(version, _)| GossipEvent::StoreHead {
                    seq,
                    version: *version,
                });
            }
            GossipAction::ReadContent(seq) => {
                self.read_store(node, |(version, declared)| GossipEvent::StoreContent {
                    seq,
                    version: *version,
                    declared: Box::new(declared.clone()),
                });
            }
        }
    }

    /// Lets a node handle a request. Its response is delivered, or the requester's timeout if the
    /// two are cut off from each other.
    fn handle_request(
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
        let before = self.nodes[node].gossip.version();
        self.nodes[node]
            .gossip
            .handle(self.now, GossipEvent::Request(message), &mut out);
        self.check_invariants(node, before);
        for action in out {
            if let GossipAction::Reply(message) = action {
                self.count_bytes(&message);
                let Some(from) = from else { continue };
                if self.is_cut_off(node, from) {
                    let event = GossipEvent::Unreachable(name(node));
                    self.schedule(self.now + RESPONSE_TIMEOUT, from, Delivery::Event(event));
                    continue;
                }
                let at = self.now + self.latency(node, from);
                self.schedule(
                    at,
                    from,
                    Delivery::Event(GossipEvent::Response { seq, message }),
                );
            } else {
                self.carry_out(node, action);
            }
        }
        self.deliver(node, GossipEvent::Tick);
    }

    /// The result shows the store at the time of the read, however late the node handles it.
    fn read_store(&mut self, node: usize, answer: impl Fn(&(u64, Declarations)) -> GossipEvent) {
        self.reads += 1;
        let down = self.store_down || (self.partitioned && self.is_in_second_region(node));
        let (delay, event) = if down {
            (RESPONSE_TIMEOUT, GossipEvent::StoreFailed)
        } else {
            (Duration::from_millis(5), answer(&self.store))
        };
        self.schedule(self.now + delay, node, Delivery::Event(event));
    }

    fn count_bytes(&mut self, message: &ConfigMessage) {
        // Counted twice: sent by one node and received by another.
        self.bytes += 2 * (proto::encode(message).unwrap().len() + OVERHEAD_BYTES);
    }

    fn latency(&mut self, a: usize, b: usize) -> Duration {
        let base = if self.is_in_second_region(a) == self.is_in_second_region(b) {
            500
        } else {
            15_000
        };
        Duration::from_micros(base + self.rng.random_range(0..base))
    }

    fn schedule(&mut self, at: Duration, node: usize, delivery: Delivery) {
        self.queue
            .push(Reverse((at, self.deliveries.len() as u64, node)));
        self.deliveries.push(Some(delivery));
    }
}
