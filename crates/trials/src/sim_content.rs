//! Spread of new declarations over many gateways, in virtual time: the real selection of sources and fallback
//! to the store, over links with a bandwidth.

use policy::{
    ContentReport, MAX_CONTENT_SENDS, SnapshotSource, SnapshotStep, StoreFallback, needs_send_slot,
};
use proto::{CONTENT_PIECE_BYTES, StoreVersions};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

const DOMAINS: usize = 3;
const WATCHERS: usize = 6;
/// When the store is changed; the gateways have heard of each other by then.
const CHANGED_MS: u64 = 1_000;
const STEP_MS: u64 = 5;
const END_MS: u64 = 60_000;
const FRAME_INTERVAL_MS: u64 = 500;
/// Watchers hear of a change within this time: the pause between two polls, and a round trip.
const POLL_MS: Range<u64> = 5..250;
/// One-way delay within a domain and between domains.
const LOCAL_DELAY_MS: Range<u64> = 1..4;
const DISTANT_DELAY_MS: Range<u64> = 8..25;
const BITS_PER_BYTE: f64 = 8.0;

/// Plan of a run.
#[derive(Debug, Clone, Copy)]
pub struct SimContentPlan {
    /// Number of gateways.
    pub gateways: usize,
    /// Bytes that a gateway gets: the declarations, or scripts that lead to them.
    pub bytes: usize,
    /// Bytes that the store sends for the declarations.
    pub store_bytes: usize,
    /// Bandwidth of a gateway's link in each direction, in Mbit/s.
    pub link_mbit: f64,
    /// Bandwidth of the store's link, in Mbit/s.
    pub store_mbit: f64,
    /// Whether fetches from peers work at all.
    pub peers_send: bool,
    /// Seed of delays.
    pub seed: u64,
}

/// What a run has shown.
#[derive(Debug, Clone, Copy)]
pub struct SimContentFigures {
    /// Time from the change until half of the gateways have it.
    pub median: Duration,
    /// The same for all gateways.
    pub slowest: Duration,
    /// Most bytes that one gateway has sent to peers.
    pub max_sent: f64,
    /// Gateways that have read the store although others watch it.
    pub fallbacks: usize,
}

#[derive(Debug)]
struct Gateway {
    source: SnapshotSource,
    fallback: StoreFallback,
    watches: bool,
    reads_store: bool,
    in_force_at: Option<u64>,
    /// Bytes that are here from transfers that broke off.
    kept: f64,
    sent: f64,
}

/// A transfer; from the store where `from` is `None`.
#[derive(Debug)]
struct Transfer {
    from: Option<usize>,
    to: usize,
    starts_at: u64,
    received: f64,
    total: f64,
    limit_ms: u64,
    progress_at: u64,
    pieces: u64,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Frame(usize),
    Report {
        from: usize,
        to: usize,
        version: u64,
    },
    Step(usize),
    /// The peer sends to as many gateways as it can.
    Refused {
        from: usize,
        to: usize,
    },
    Poll(usize),
}

#[derive(Debug)]
struct World {
    plan: SimContentPlan,
    gateways: Vec<Gateway>,
    transfers: Vec<Transfer>,
    events: BTreeMap<u64, Vec<Event>>,
    now: u64,
    rng: SmallRng,
}

/// Changes the store once and follows the change until all gateways have it, or for a minute.
pub fn run_sim_content(plan: SimContentPlan) -> SimContentFigures {
    let mut world = World::new(plan);
    while world.now < END_MS && world.gateways.iter().any(|gw| gw.in_force_at.is_none()) {
        world.step();
        world.now += STEP_MS;
    }
    world.figures()
}

fn versions(version: u64) -> StoreVersions {
    StoreVersions {
        operators: version,
        servers: 1,
    }
}

fn name(gateway: usize) -> String {
    format!("gateway-{gateway}")
}

fn domain(gateway: usize) -> String {
    format!("domain-{}", gateway % DOMAINS)
}

impl World {
    fn new(plan: SimContentPlan) -> Self {
        let gateways = (0..plan.gateways).map(|index| {
            let mut fallback = StoreFallback::new(&name(index));
            fallback.set_gateways(plan.gateways);
            Gateway {
                source: SnapshotSource::new(&name(index), &domain(index)),
                fallback,
                watches: index < WATCHERS,
                reads_store: false,
                in_force_at: None,
                kept: 0.0,
                sent: 0.0,
            }
        });
        let mut world = Self {
            plan,
            gateways: gateways.collect(),
            transfers: Vec::new(),
            events: BTreeMap::new(),
            now: 0,
            rng: SmallRng::seed_from_u64(plan.seed),
        };
        for gateway in 0..plan.gateways {
            let at = world.rng.random_range(0..FRAME_INTERVAL_MS);
            world.push(at, Event::Frame(gateway));
            if gateway < WATCHERS {
                let at = CHANGED_MS + world.rng.random_range(POLL_MS);
                world.push(at, Event::Poll(gateway));
            }
        }
        world
    }

    fn push(&mut self, at: u64, event: Event) {
        self.events.entry(at).or_default().push(event);
    }

    fn step(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if *entry.key() > self.now {
                break;
            }
            for event in entry.remove() {
                self.handle(event);
            }
        }
        self.transfer();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Frame(gateway) => {
                self.report(gateway);
                self.push(self.now + FRAME_INTERVAL_MS, Event::Frame(gateway));
            }
            Event::Report { from, to, version } => {
                let now = Duration::from_millis(self.now);
                let report = ContentReport {
                    domain: Some(&domain(from)),
                    versions: versions(version),
                    reaches_store: self.gateways[from].watches,
                    declarations: version,
                };
                let own = self.own_versions(to);
                let gateway = &mut self.gateways[to];
                gateway.source.on_report(&name(from), report, now);
                gateway.fallback.on_report(versions(version), &own, now);
                self.decide(to);
            }
            Event::Refused { from, to } => {
                let now = Duration::from_millis(self.now);
                self.gateways[to].source.on_fetch_refused(&name(from), now);
                self.decide(to);
            }
            Event::Step(gateway) => self.decide(gateway),
            Event::Poll(gateway) => self.read_store(gateway),
        }
    }

    fn own_versions(&self, gateway: usize) -> StoreVersions {
        versions(1 + u64::from(self.gateways[gateway].in_force_at.is_some()))
    }

    fn report(&mut self, from: usize) {
        let version = self.own_versions(from).operators;
        for to in (0..self.plan.gateways).filter(|to| *to != from) {
            let delay = self.delay(from, to);
            self.push(self.now + delay, Event::Report { from, to, version });
        }
    }

    fn delay(&mut self, from: usize, to: usize) -> u64 {
        let is_local = from % DOMAINS == to % DOMAINS;
        self.rng.random_range(if is_local {
            LOCAL_DELAY_MS
        } else {
            DISTANT_DELAY_MS
        })
    }

    fn decide(&mut self, index: usize) {
        let now = Duration::from_millis(self.now);
        let own = self.own_versions(index);
        let gateway = &mut self.gateways[index];
        if gateway.watches || gateway.in_force_at.is_some() {
            return;
        }
        if !gateway.reads_store && gateway.fallback.reads_store(&own, now) {
            gateway.reads_store = true;
            self.read_store(index);
        }
        let source = &mut self.gateways[index].source;
        source.set_declarations(own.operators);
        match source.next_step(&own, now) {
            SnapshotStep::Wait => {}
            SnapshotStep::CheckAt(at) => self.push(at.as_millis() as u64, Event::Step(index)),
            SnapshotStep::Fetch { peer, timeout } => {
                let from = (0..self.plan.gateways).find(|from| *name(*from) == *peer);
                self.fetch(index, from.unwrap_or_default(), timeout.as_millis() as u64);
            }
        }
    }

    fn fetch(&mut self, to: usize, from: usize, limit_ms: u64) {
        let round_trip = self.delay(from, to) + self.delay(from, to);
        let sends = self.transfers.iter().filter(|it| it.from == Some(from));
        if needs_send_slot(self.plan.bytes) && sends.count() >= MAX_CONTENT_SENDS {
            self.push(self.now + round_trip, Event::Refused { from, to });
            return;
        }
        self.transfers.push(Transfer {
            from: Some(from),
            to,
            starts_at: self.now + round_trip,
            received: self.gateways[to].kept,
            total: self.plan.bytes as f64,
            limit_ms,
            progress_at: self.now,
            pieces: 0,
        });
    }

    fn read_store(&mut self, to: usize) {
        let delay = self.rng.random_range(DISTANT_DELAY_MS);
        self.transfers.push(Transfer {
            from: None,
            to,
            starts_at: self.now + 2 * delay,
            received: 0.0,
            total: self.plan.store_bytes as f64,
            limit_ms: END_MS,
            progress_at: self.now,
            pieces: 0,
        });
    }

    /// Moves all transfers on by one step; links are shared evenly.
    fn transfer(&mut self) {
        let count = self.plan.gateways;
        let (mut up, mut down) = (vec![0.0_f64; count + 1], vec![0.0_f64; count]);
        let is_active = |transfer: &Transfer, now: u64| now >= transfer.starts_at;
        for transfer in self.transfers.iter().filter(|it| is_active(it, self.now)) {
            up[transfer.from.unwrap_or(count)] += 1.0;
            down[transfer.to] += 1.0;
        }
        let per_step = |mbit: f64| mbit * 1e3 / BITS_PER_BYTE * STEP_MS as f64;
        let (link, store) = (
            per_step(self.plan.link_mbit),
            per_step(self.plan.store_mbit),
        );
        let mut transfers = std::mem::take(&mut self.transfers);
        transfers.retain_mut(|transfer| {
            let is_blocked = transfer.from.is_some() && !self.plan.peers_send;
            if is_active(transfer, self.now) && !is_blocked {
                let sender = match transfer.from {
                    Some(from) => link / up[from],
                    None => store / up[count],
                };
                let bytes = sender.min(link / down[transfer.to]);
                let bytes = bytes.min(transfer.total - transfer.received);
                transfer.received += bytes;
                if let Some(from) = transfer.from {
                    self.gateways[from].sent += bytes;
                }
            }
            self.update(transfer)
        });
        transfers.append(&mut self.transfers);
        self.transfers = transfers;
    }

    /// Handles the progress of a transfer; false if it has ended.
    fn update(&mut self, transfer: &mut Transfer) -> bool {
        let now = Duration::from_millis(self.now);
        let is_done = transfer.received >= transfer.total;
        let pieces = (transfer.received / CONTENT_PIECE_BYTES as f64) as u64;
        if pieces > transfer.pieces {
            transfer.pieces = pieces;
            transfer.progress_at = self.now;
            if transfer.from.is_some() {
                self.gateways[transfer.to].fallback.on_progress(now);
            }
        }
        let is_late = self.now >= transfer.progress_at + transfer.limit_ms;
        if !is_done && !is_late {
            return true;
        }
        let gateway = &mut self.gateways[transfer.to];
        if let Some(from) = transfer.from {
            gateway.source.on_fetch_done(&name(from), is_done, now);
            gateway.kept = (transfer.pieces * CONTENT_PIECE_BYTES as u64) as f64;
        }
        if is_done && gateway.in_force_at.is_none() {
            gateway.in_force_at = Some(self.now);
            self.report(transfer.to);
        } else if !is_done {
            self.push(self.now, Event::Step(transfer.to));
        }
        false
    }

    fn figures(&self) -> SimContentFigures {
        let times = self.gateways.iter().map(|gateway| {
            let at = gateway.in_force_at.unwrap_or(END_MS);
            Duration::from_millis(at - CHANGED_MS)
        });
        let mut times: Vec<Duration> = times.collect();
        times.sort_unstable();
        let sent = self.gateways.iter().map(|gateway| gateway.sent);
        let fallbacks = self.gateways.iter().filter(|gateway| gateway.reads_store);
        SimContentFigures {
            median: times[times.len() / 2],
            slowest: times[times.len() - 1],
            max_sent: sent.fold(0.0, f64::max),
            fallbacks: fallbacks.count(),
        }
    }
}
