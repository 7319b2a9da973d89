//! Shared detection of servers that refuse connections, replayed in virtual time.

use policy::{SendShares, ServerFailures};
use proto::{BackendEntry, ServerReport};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use std::collections::VecDeque;
use std::time::Duration;

const GATEWAYS: usize = 26;
const SERVERS: usize = 54;
const STEP: Duration = Duration::from_millis(4);
/// Time for a report to reach peers.
const REPORT_DELAY: Duration = Duration::from_millis(30);
/// Requests per second at each gateway.
const REQUEST_RATE: f64 = 20.0;
const OUTAGE: Duration = Duration::from_secs(2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn server(index: usize) -> BackendEntry {
    BackendEntry {
        id: format!("server-{index}").into(),
        service: "engines".into(),
        address: ([10, 0, 0, 1], 1).into(),
        domain: ["a", "b", "c"][index % 3].into(),
        slots: 12,
        draining: false,
    }
}

fn servers() -> Vec<BackendEntry> {
    (0..SERVERS).map(server).collect()
}

struct Gateway {
    failures: ServerFailures,
    shares: SendShares,
    sent_revision: u64,
    inbox: VecDeque<(Duration, Vec<ServerReport>)>,
}

/// Gateways that send requests at random to the servers that are not gone as far as they know.
struct Fleet {
    gateways: Vec<Gateway>,
    servers: Vec<BackendEntry>,
    rng: StdRng,
    now: Duration,
    has_links: bool,
    /// When a request, and not a trial, met a refused connection.
    refused: Vec<Duration>,
    trials: Vec<(Duration, usize)>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let name = |index: usize| format!("gateway-{index}");
        let names: Vec<_> = (0..GATEWAYS).map(name).collect();
        let gateway = |own: &String| Gateway {
            failures: ServerFailures::default(),
            shares: SendShares::new(own, names.iter().filter(|n| *n != own).map(|n| &**n)),
            sent_revision: 0,
            inbox: VecDeque::new(),
        };
        Self {
            gateways: names.iter().map(gateway).collect(),
            servers: servers(),
            rng: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            has_links: true,
            refused: Vec::new(),
            trials: Vec::new(),
        }
    }

    /// Runs until `end`; `is_gone` says which servers refuse connections.
    fn run(&mut self, end: Duration, is_gone: impl Fn(&BackendEntry, Duration) -> bool) {
        while self.now < end {
            for index in 0..self.gateways.len() {
                self.receive(index);
                if self.rng.random_bool(REQUEST_RATE * STEP.as_secs_f64()) {
                    self.send_request(index, &is_gone);
                }
                if self.now.as_millis().is_multiple_of(40) {
                    self.try_server(index, &is_gone);
                }
                self.send_reports(index);
            }
            self.now += STEP;
        }
    }

    fn receive(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        while gateway.inbox.front().is_some_and(|(at, _)| *at <= self.now) {
            let (_, reports) = gateway.inbox.pop_front().unwrap();
            gateway.failures.on_peer_reports(&reports, self.now);
        }
    }

    fn send_request(&mut self, index: usize, is_gone: impl Fn(&BackendEntry, Duration) -> bool) {
        let failures = &mut self.gateways[index].failures;
        let gone = failures.gone(&self.servers, self.now);
        let usable: Vec<_> = (0..SERVERS).filter(|server| !gone[*server]).collect();
        let server = &self.servers[*usable.choose(&mut self.rng).unwrap()];
        if is_gone(server, self.now) {
            self.refused.push(self.now);
            failures.on_refused(server, self.now);
        } else {
            failures.on_accepted(server, self.now, self.now);
        }
    }

    fn try_server(&mut self, index: usize, is_gone: impl Fn(&BackendEntry, Duration) -> bool) {
        let Gateway {
            failures, shares, ..
        } = &mut self.gateways[index];
        let Some(tried) = failures.next_trial(&self.servers, shares, self.now) else {
            return;
        };
        let second = failures.next_trial(&self.servers, shares, self.now);
        assert_eq!(second, None, "one trial at a time");
        self.trials.push((self.now, tried));
        let server = &self.servers[tried];
        if is_gone(server, self.now) {
            failures.on_refused(server, self.now);
        } else {
            failures.on_accepted(server, self.now, self.now);
        }
    }

    fn send_reports(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        let revision = Some(gateway.sent_revision);
        let (reports, revision) = gateway.failures.changed_since(revision, self.now);
        gateway.sent_revision = revision;
        if reports.is_empty() || !self.has_links {
            return;
        }
        let arrival = self.now + REPORT_DELAY;
        let peers = self.gateways.iter_mut().enumerate();
        for (_, peer) in peers.filter(|(peer, _)| *peer != index) {
            peer.inbox.push_back((arrival, reports.clone()));
        }
    }
}

/// Guards against each gateway finding each server of a lost failure domain by a caller's request.
#[test]
fn a_lost_domain_is_found_by_few_requests() {
    for seed in 0..2 {
        let mut fleet = Fleet::new(seed);
        let is_gone = |server: &BackendEntry, now| now >= OUTAGE && &*server.domain == "b";
        fleet.run(ms(8_000), is_gone);
        assert!(
            fleet.refused.len() <= SERVERS / 3,
            "seed {seed}: {}",
            fleet.refused.len()
        );
        let late = fleet.refused.iter().filter(|at| **at > OUTAGE + ms(200));
        assert_eq!(late.count(), 0, "seed {seed}");
    }
}

/// The reports are a hint only: each gateway then finds the domain by itself.
#[test]
fn without_links_each_gateway_finds_a_lost_domain() {
    for seed in 0..2 {
        let mut fleet = Fleet::new(seed);
        fleet.has_links = false;
        let is_gone = |server: &BackendEntry, now| now >= OUTAGE && &*server.domain == "b";
        fleet.run(ms(8_000), is_gone);
        let bound = GATEWAYS * 4;
        assert!(fleet.refused.len() <= bound, "{}", fleet.refused.len());
    }
}

/// Guards against a domain that stays unused after it has returned.
#[test]
fn a_domain_that_returns_is_used_again() {
    const RETURN: Duration = Duration::from_secs(6);
    for seed in 0..2 {
        let mut fleet = Fleet::new(seed);
        let is_gone =
            |server: &BackendEntry, now| (OUTAGE..RETURN).contains(&now) && &*server.domain == "b";
        fleet.run(RETURN + ms(3_000), is_gone);
        let now = fleet.now;
        let servers = &fleet.servers;
        let avoided = fleet.gateways.iter().map(|gateway| {
            let gone = gateway.failures.gone(servers, now);
            gone.iter().filter(|gone| **gone).count()
        });
        assert_eq!(avoided.sum::<usize>(), 0, "seed {seed}");
    }
}

/// Guards against 26 gateways that all try a server which is gone.
#[test]
fn one_gateway_tries_a_server_that_is_gone() {
    for seed in 0..2 {
        let mut fleet = Fleet::new(seed);
        let is_gone = |server: &BackendEntry, now| now >= OUTAGE && &*server.id == "server-7";
        fleet.run(ms(12_000), is_gone);
        let (requests, trials) = (fleet.refused.len(), fleet.trials.len());
        assert!(requests <= 2, "seed {seed}: {requests}");
        assert!((4..=8).contains(&trials), "seed {seed}: {trials}");
    }
}

/// Guards against a presumption without a domain left to send to.
#[test]
fn no_domain_is_presumed_gone_if_all_would_be() {
    let servers = servers();
    let mut failures = ServerFailures::default();
    for server in &servers[..9] {
        failures.on_refused(server, ms(100));
    }
    let gone = failures.gone(&servers, ms(110));
    assert_eq!(gone.iter().filter(|gone| **gone).count(), 9);
    let gone = failures.gone(&servers[..3], ms(110));
    assert_eq!(gone, [true; 3], "those that have refused stay avoided");
}

/// Servers that end now and then, as by requests that crash them, are no lost domain.
#[test]
fn a_domain_that_still_accepts_connections_is_not_presumed_gone() {
    let servers = servers();
    let mut failures = ServerFailures::default();
    for (index, server) in servers.iter().step_by(3).take(6).enumerate() {
        let now = ms(100 * index as u64);
        failures.on_refused(server, now);
        failures.on_accepted(&servers[51], now + ms(50), now + ms(50));
    }
    let gone = failures.gone(&servers, ms(650));
    assert_eq!(gone.iter().filter(|gone| **gone).count(), 6);
}

/// A peer that is itself cut off reports servers that accept this gateway's connections.
#[test]
fn a_false_report_does_not_end_the_use_of_a_server() {
    let servers = servers();
    let (mut cut_off, mut other) = (ServerFailures::default(), ServerFailures::default());
    for server in servers.iter().step_by(3) {
        cut_off.on_refused(server, ms(100));
        other.on_accepted(server, ms(105), ms(105));
    }
    let (reports, _) = cut_off.changed_since(None, ms(110));
    assert!(other.on_peer_reports(&reports, ms(110)).is_empty());
    assert!(!other.gone(&servers, ms(120)).contains(&true));
    let (answers, _) = other.changed_since(Some(0), ms(120));
    cut_off.on_peer_reports(&answers, ms(130));
    assert!(!cut_off.gone(&servers, ms(130)).contains(&true));
}

/// A gateway without processor time sees connections time out that others make.
#[test]
fn connections_without_reply_are_not_reported() {
    let servers = servers();
    let mut failures = ServerFailures::default();
    for server in servers.iter().step_by(3).take(3) {
        failures.on_no_reply(server, ms(100));
    }
    assert!(failures.changed_since(None, ms(110)).0.is_empty());
    let gone = failures.gone(&servers, ms(110));
    assert_eq!(gone.iter().filter(|gone| **gone).count(), SERVERS / 3);
}

#[test]
fn what_is_kept_is_bounded() {
    let mut failures = ServerFailures::default();
    for index in 0..10_000 {
        failures.on_refused(&server(index), ms(100));
    }
    assert_eq!(failures.refusing_servers(), 4_096);
    failures.next_trial(&servers(), &SendShares::of_starting("g"), ms(20_000));
    assert_eq!(failures.refusing_servers(), 0, "forgotten");
}
