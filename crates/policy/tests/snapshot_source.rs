//! Gateways that fetch the content of the store from peers, in virtual time.

use policy::{ContentReport, SnapshotSource, SnapshotStep};
use proto::StoreVersions;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom as _;
use rand::{Rng as _, SeedableRng as _};
use std::collections::BTreeMap;
use std::time::Duration;

const GATEWAYS: usize = 26;
const DOMAINS: usize = 3;
const WATCHERS: usize = 6;
/// Fetches over the links to another domain for one change, for each domain.
const MAX_FETCHES_PER_DOMAIN: usize = 2;
/// Time for a change to be in force at all gateways.
const IN_FORCE_MS: u64 = 500;
/// When the store is changed; the gateways have heard of each other by then.
const CHANGED_MS: u64 = 2_000;
/// Watchers hear of a change within this time after the first.
const POLL_SPREAD_MS: u64 = 40;
const FRAME_INTERVAL_MS: u64 = 500;
/// One-way delay within a domain and between domains.
const LOCAL_DELAY_MS: std::ops::Range<u64> = 1..4;
const DISTANT_DELAY_MS: std::ops::Range<u64> = 8..25;
/// Time to transfer the content, with declarations of 300 kB, at 20 to 200 Mbit/s.
const TRANSFER_MS: std::ops::Range<u64> = 12..120;

/// Which source is lost in the middle of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    None,
    /// The first that is asked.
    First,
    /// The first that is asked by another domain.
    FirstDistant,
}

#[derive(Debug)]
enum Event {
    Poll(usize),
    Frame(usize),
    Report {
        from: usize,
        to: usize,
        version: u64,
    },
    Check(usize),
    Fetched {
        from: usize,
        to: usize,
        version: Option<u64>,
    },
}

struct Gateway {
    source: SnapshotSource,
    version: u64,
    watches: bool,
    is_lost: bool,
    in_force_at: u64,
}

struct World {
    gateways: Vec<Gateway>,
    events: BTreeMap<u64, Vec<Event>>,
    now: u64,
    rng: SmallRng,
    loss: Loss,
    /// Fetches from another domain, by the domain that fetches.
    distant_fetches: [usize; DOMAINS],
}

fn name(gateway: usize) -> String {
    format!("gateway-{gateway}")
}

fn domain(gateway: usize) -> String {
    format!("domain-{}", gateway % DOMAINS)
}

fn versions(version: u64) -> StoreVersions {
    StoreVersions {
        operators: version,
        servers: 1,
    }
}

impl World {
    /// `watchers` are the gateways that watch the store.
    fn new(watchers: &[usize], loss: Loss, seed: u64) -> Self {
        let gateways = (0..GATEWAYS).map(|index| Gateway {
            source: SnapshotSource::new(&name(index), &domain(index)),
            version: 1,
            watches: watchers.contains(&index),
            is_lost: false,
            in_force_at: 0,
        });
        let mut world = Self {
            gateways: gateways.collect(),
            events: BTreeMap::new(),
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            loss,
            distant_fetches: [0; DOMAINS],
        };
        for gateway in 0..GATEWAYS {
            let at = world.rng.random_range(0..FRAME_INTERVAL_MS);
            world.push(at, Event::Frame(gateway));
        }
        for (index, gateway) in watchers.iter().enumerate() {
            // The first watcher hears at once.
            let later = world.rng.random_range(1..POLL_SPREAD_MS) * u64::from(index > 0);
            world.push(CHANGED_MS + later, Event::Poll(*gateway));
        }
        world
    }

    fn push(&mut self, at: u64, event: Event) {
        self.events.entry(at).or_default().push(event);
    }

    fn run(&mut self, until: u64) {
        while let Some(entry) = self.events.first_entry() {
            if *entry.key() > until {
                return;
            }
            let (at, events) = entry.remove_entry();
            self.now = at;
            events.into_iter().for_each(|event| self.handle(event));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Poll(gateway) => self.learn(gateway, 2),
            Event::Frame(gateway) => {
                self.report(gateway);
                self.push(self.now + FRAME_INTERVAL_MS, Event::Frame(gateway));
            }
            Event::Report { from, to, version } => {
                let report = ContentReport {
                    domain: Some(&domain(from)),
                    versions: versions(version),
                    reaches_store: self.gateways[from].watches,
                    declarations: version,
                };
                let now = Duration::from_millis(self.now);
                self.gateways[to].source.on_report(&name(from), report, now);
                self.step(to);
            }
            Event::Check(gateway) => self.step(gateway),
            Event::Fetched { from, to, version } => {
                let now = Duration::from_millis(self.now);
                let source = &mut self.gateways[to].source;
                source.on_fetch_done(&name(from), version.is_some(), now);
                if let Some(version) = version {
                    self.learn(to, version);
                }
                self.step(to);
            }
        }
    }

    fn learn(&mut self, gateway: usize, version: u64) {
        if version > self.gateways[gateway].version {
            self.gateways[gateway].version = version;
            self.gateways[gateway].in_force_at = self.now;
            self.report(gateway);
        }
    }

    fn report(&mut self, from: usize) {
        if self.gateways[from].is_lost {
            return;
        }
        let version = self.gateways[from].version;
        for to in (0..GATEWAYS).filter(|to| *to != from) {
            let at = self.now + self.delay(from, to);
            self.push(at, Event::Report { from, to, version });
        }
    }

    fn delay(&mut self, from: usize, to: usize) -> u64 {
        let delay = match domain(from) == domain(to) {
            true => LOCAL_DELAY_MS,
            false => DISTANT_DELAY_MS,
        };
        self.rng.random_range(delay)
    }

    fn step(&mut self, gateway: usize) {
        let now = Duration::from_millis(self.now);
        let state = &mut self.gateways[gateway];
        if state.watches || state.is_lost {
            return;
        }
        state.source.set_declarations(state.version);
        match state.source.next_step(&versions(state.version), now) {
            SnapshotStep::Wait => {}
            SnapshotStep::CheckAt(at) => {
                self.push(at.as_millis() as u64, Event::Check(gateway));
            }
            SnapshotStep::Fetch { peer, timeout } => {
                let peers = 0..GATEWAYS;
                let from = peers
                    .into_iter()
                    .find(|index| *name(*index) == *peer)
                    .unwrap();
                self.fetch(gateway, from, timeout.as_millis() as u64);
            }
        }
    }

    fn fetch(&mut self, to: usize, from: usize, timeout: u64) {
        let is_distant = domain(from) != domain(to);
        if is_distant {
            self.distant_fetches[to % DOMAINS] += 1;
        }
        let is_lost_now = match self.loss {
            Loss::None => false,
            Loss::First => true,
            Loss::FirstDistant => is_distant,
        };
        if is_lost_now {
            self.loss = Loss::None;
            self.gateways[from].is_lost = true;
        }
        let answered = self.now + 2 * self.delay(from, to) + self.rng.random_range(TRANSFER_MS);
        let timed_out = self.now + timeout;
        let version = self.gateways[from].version;
        let event = |version| Event::Fetched { from, to, version };
        if self.gateways[from].is_lost || answered > timed_out {
            self.push(timed_out, event(None));
        } else {
            self.push(answered, event(Some(version)));
        }
    }

    fn slowest(&self) -> u64 {
        let working = self.gateways.iter().filter(|gateway| !gateway.is_lost);
        let times = working.map(|gateway| match gateway.version {
            2 => gateway.in_force_at - CHANGED_MS,
            _ => u64::MAX,
        });
        times.max().unwrap()
    }
}

/// Changes the store once and checks how soon all gateways know, and what crosses domains for it.
fn change_spreads(watchers: impl Fn(&mut SmallRng) -> Vec<usize>, loss: Loss) {
    for seed in 0..40 {
        let watchers = watchers(&mut SmallRng::seed_from_u64(seed));
        let mut world = World::new(&watchers, loss, seed);
        world.run(CHANGED_MS + 1_500);
        let slowest = world.slowest();
        assert!(
            slowest <= IN_FORCE_MS,
            "seed {seed}: in force after {slowest} ms"
        );
        if loss != Loss::None {
            continue;
        }
        assert!(
            world
                .distant_fetches
                .iter()
                .all(|count| *count <= MAX_FETCHES_PER_DOMAIN),
            "seed {seed}: fetches from other domains {:?}",
            world.distant_fetches
        );
    }
}

/// Watchers of the whole fleet, as their common order has them.
fn anywhere(rng: &mut SmallRng) -> Vec<usize> {
    let mut gateways: Vec<_> = (0..GATEWAYS).collect();
    gateways.shuffle(rng);
    gateways.truncate(WATCHERS);
    gateways
}

fn in_one_domain(_rng: &mut SmallRng) -> Vec<usize> {
    (0..WATCHERS).map(|index| index * DOMAINS).collect()
}

macro_rules! spreads {
    ($($name:ident: $watchers:expr, $loss:ident;)*) => {$(
        #[test]
        fn $name() {
            change_spreads($watchers, Loss::$loss);
        }
    )*};
}

spreads! {
    a_change_crosses_domains_at_most_twice_for_each: anywhere, None;
    a_change_crosses_domains_at_most_twice_from_one_with_all_watchers: in_one_domain, None;
    a_change_is_in_force_though_its_source_is_lost: anywhere, First;
    a_change_is_in_force_though_its_distant_source_is_lost: in_one_domain, FirstDistant;
}

/// One gateway of the domain `a` whose peers report in the given order.
fn source() -> SnapshotSource {
    SnapshotSource::new("own", "a")
}

fn report(source: &mut SnapshotSource, peer: &str, domain: Option<&str>, at: u64) -> SnapshotStep {
    let report = ContentReport {
        domain,
        versions: versions(2),
        reaches_store: true,
        declarations: 2,
    };
    source.on_report(peer, report, Duration::from_millis(at));
    source.next_step(&versions(1), Duration::from_millis(at))
}

fn fetches(step: &SnapshotStep, from: &str) -> bool {
    matches!(step, SnapshotStep::Fetch { peer, .. } if **peer == *from)
}

#[test]
fn a_gateway_without_a_domain_in_its_row_is_asked_after_the_others() {
    let mut source = source();
    let step = report(&mut source, "old", None, 1_000);
    assert_eq!(step, SnapshotStep::CheckAt(Duration::from_millis(1_060)));
    assert!(fetches(
        &report(&mut source, "near", Some("a"), 1_010),
        "near"
    ));
    let mut source = SnapshotSource::new("own", "a");
    report(&mut source, "old", None, 1_000);
    let step = source.next_step(&versions(1), Duration::from_millis(1_060));
    assert!(fetches(&step, "old"));
}

#[test]
fn one_fetch_is_under_way_at_a_time() {
    let mut source = source();
    assert!(fetches(
        &report(&mut source, "near", Some("a"), 1_000),
        "near"
    ));
    let step = report(&mut source, "near-2", Some("a"), 1_200);
    assert_eq!(step, SnapshotStep::Wait);
    source.on_fetch_done("near", false, Duration::from_millis(1_250));
    let step = source.next_step(&versions(1), Duration::from_millis(1_250));
    assert!(fetches(&step, "near-2"), "another source: {step:?}");
}

/// Guards against all gateways of a domain sharing the link of the first one with new content, and against
/// asking another domain instead of waiting for their turn.
#[test]
fn a_busy_peer_is_asked_again_after_others_of_the_domain() {
    let mut source = source();
    report(&mut source, "near", Some("a"), 1_000);
    source.on_fetch_refused("near", Duration::from_millis(1_010));
    let step = report(&mut source, "far", Some("b"), 1_020);
    assert_eq!(step, SnapshotStep::CheckAt(Duration::from_millis(1_090)));
    let step = report(&mut source, "near-2", Some("a"), 1_050);
    assert!(fetches(&step, "near-2"), "{step:?}");
    source.on_fetch_refused("near-2", Duration::from_millis(1_060));
    let step = source.next_step(&versions(1), Duration::from_millis(1_090));
    assert!(fetches(&step, "near"), "{step:?}");
}

#[test]
fn a_busy_peer_of_another_domain_is_left_for_another_one() {
    let mut source = source();
    report(&mut source, "far", Some("b"), 1_000);
    let step = source.next_step(&versions(1), Duration::from_millis(1_060));
    assert!(fetches(&step, "far"), "{step:?}");
    source.on_fetch_refused("far", Duration::from_millis(1_080));
    let step = source.next_step(&versions(1), Duration::from_millis(1_120));
    assert_eq!(step, SnapshotStep::CheckAt(Duration::from_millis(1_160)));
    let step = report(&mut source, "far-2", Some("c"), 1_130);
    assert!(fetches(&step, "far-2"), "{step:?}");
}

/// Guards against a gateway that refuses the newest declarations and goes without, although its peers have
/// older ones in force.
#[test]
fn declarations_of_peers_are_fetched_while_those_of_the_store_are_refused() {
    let mut source = source();
    let at = Duration::from_millis;
    source.on_report(
        "near",
        ContentReport {
            domain: Some("a"),
            versions: versions(1),
            reaches_store: true,
            declarations: 5,
        },
        at(1_000),
    );
    source.set_declarations(6);
    assert_eq!(
        source.next_step(&versions(1), at(1_000)),
        SnapshotStep::Wait
    );
    source.set_declarations(5);
    assert_eq!(
        source.next_step(&versions(1), at(1_010)),
        SnapshotStep::Wait
    );
    source.set_declarations(0);
    let step = source.next_step(&versions(1), at(1_020));
    assert!(fetches(&step, "near"), "{step:?}");
    // What it has may be refused here too, so that it is not asked all the time.
    source.on_fetch_done("near", false, at(1_030));
    assert_eq!(
        source.next_step(&versions(1), at(1_900)),
        SnapshotStep::Wait
    );
}

/// A check of the store found declarations that watches had left out before a row that all have, so that no
/// table was newer at those who had them.
#[test]
fn newer_declarations_are_fetched_though_no_table_is_newer() {
    let mut source = source();
    let report = ContentReport {
        domain: Some("a"),
        versions: versions(2),
        reaches_store: true,
        declarations: 5,
    };
    source.on_report("near", report, Duration::from_millis(1_000));
    let mut steps = (1_000..1_500)
        .step_by(10)
        .map(|at| source.next_step(&versions(2), Duration::from_millis(at)));
    assert!(steps.any(|step| fetches(&step, "near")));
}
