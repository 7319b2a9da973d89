//! Shared detection of servers that refuse connections or are named as at fault, replayed in virtual
//! time.

use policy::{DataEvidence, SendShares, ServerFailures, server_key};
use proto::{BackendEntry, ServerReport, ServerState};
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
/// Time for which a server is avoided that was named as at fault, and interval of reports on it.
const NAMED_AVOID_TIME: Duration = Duration::from_millis(600);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which data of a server that has ended may still be read.
const UNREAD_DATA_TIME: Duration = Duration::from_millis(100);
/// Time between events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(40);
/// Server of domain "a" that is named as at fault.
const NAMED_SERVER: usize = 6;

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
    /// When `NAMED_SERVER` stops: it accepts connections, and servers that it was to help name it as
    /// at fault.
    stops_at: Duration,
    /// When a response named it as at fault after it stopped.
    named: Vec<Duration>,
    /// Gateway of which half the responses name `NAMED_SERVER` although it runs.
    misled_gateway: Option<usize>,
    /// Gateways and servers of the streams that run.
    streams: Vec<(usize, usize, DataEvidence)>,
    /// Reports on `NAMED_SERVER` that each gateway has sent.
    named_server_reports: [u32; GATEWAYS],
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
            stops_at: Duration::MAX,
            named: Vec::new(),
            misled_gateway: None,
            streams: Vec::new(),
            named_server_reports: [0; GATEWAYS],
        }
    }

    /// Runs until `end`; `is_gone` says which servers refuse connections.
    fn run(&mut self, end: Duration, is_gone: impl Fn(&BackendEntry, Duration) -> bool) {
        while self.now < end {
            self.stream_events(&is_gone);
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

    /// Each stream of a server that runs has an event every `EVENT_GAP`.
    fn stream_events(&mut self, is_gone: impl Fn(&BackendEntry, Duration) -> bool) {
        for (gateway, index, evidence) in &mut self.streams {
            let phase = STEP * ((*gateway + *index) % 10) as u32;
            let is_due = (self.now + phase)
                .as_millis()
                .is_multiple_of(EVENT_GAP.as_millis());
            let has_stopped = *index == NAMED_SERVER && self.now >= self.stops_at;
            let server = &self.servers[*index];
            let runs = !has_stopped && !is_gone(server, self.now);
            let failures = &mut self.gateways[*gateway].failures;
            if is_due && runs && failures.awaits_data(self.now) && evidence.is_due(self.now) {
                failures.on_data(server, self.now);
            }
        }
    }

    fn send_request(&mut self, index: usize, is_gone: impl Fn(&BackendEntry, Duration) -> bool) {
        let failures = &mut self.gateways[index].failures;
        let gone = failures.gone(&self.servers, self.now);
        let usable: Vec<_> = (0..SERVERS).filter(|server| !gone[*server]).collect();
        let chosen = *usable.choose(&mut self.rng).unwrap();
        let server = &self.servers[chosen];
        if chosen == NAMED_SERVER && self.now >= self.stops_at {
            self.named.push(self.now);
            failures.on_named_at_fault(server, self.now);
        } else if is_gone(server, self.now) {
            self.refused.push(self.now);
            failures.on_refused(server, self.now);
        } else {
            failures.on_accepted(server, self.now, self.now);
            failures.on_data(server, self.now);
        }
        if self.misled_gateway == Some(index) && self.rng.random_bool(0.5) {
            failures.on_named_at_fault(&self.servers[NAMED_SERVER], self.now);
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
        let named_server = server_key(&self.servers[NAMED_SERVER].id);
        let of_named_server = reports
            .iter()
            .filter(|report| report.server == named_server);
        self.named_server_reports[index] += of_named_server.count() as u32;
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

/// Guards against 26 gateways that each send prompts with a helper that has stopped, until a response
/// names it to them. In the middle, a failure domain is lost as well.
#[test]
fn a_server_that_has_stopped_is_named_by_few_responses() {
    const LOSS: Duration = Duration::from_secs(5);
    const END: Duration = Duration::from_secs(8);
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed);
        fleet.stops_at = OUTAGE;
        let is_gone = |server: &BackendEntry, now| now >= LOSS && &*server.domain == "b";
        fleet.run(END, is_gone);
        // One response at the end of each time for which it is avoided, and one before peers hear.
        let bound = 2 * (END - OUTAGE).div_duration_f64(NAMED_AVOID_TIME) as usize;
        let named = fleet.named.len();
        assert!(named <= bound, "seed {seed}: {named}");
        assert!(
            fleet.refused.len() <= SERVERS / 3,
            "seed {seed}: {}",
            fleet.refused.len()
        );
        let late = fleet.refused.iter().filter(|at| **at > LOSS + ms(200));
        assert_eq!(late.count(), 0, "seed {seed}");
    }
}

/// Guards against one misled gateway that takes a server which runs from all others, and against
/// reports at the rate of responses. In the middle, the server stops indeed.
#[test]
fn a_server_that_is_named_wrongly_stays_in_use() {
    const STOP: Duration = Duration::from_secs(8);
    const END: Duration = Duration::from_secs(12);
    const MISLED: usize = 9;
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed);
        fleet.misled_gateway = Some(MISLED);
        fleet.stops_at = STOP;
        let stream = |gateway| (gateway, NAMED_SERVER, DataEvidence::default());
        fleet.streams = (0..5).map(stream).collect();
        let (mut avoided, mut steps) = (0, 0);
        while fleet.now < STOP {
            fleet.run(fleet.now + STEP, |_, _| false);
            let others = fleet.gateways.iter().enumerate();
            for (_, gateway) in others.filter(|(index, _)| *index != MISLED) {
                let gone = gateway.failures.gone(&fleet.servers, fleet.now);
                avoided += u32::from(gone[NAMED_SERVER]);
                steps += 1;
            }
        }
        // Until the next event, and until peers have heard of it.
        let share = f64::from(avoided) / f64::from(steps);
        let bound = (EVENT_GAP + REPORT_DELAY).div_duration_f64(REPORT_INTERVAL);
        assert!(share <= bound, "seed {seed}: {share}");
        fleet.run(END, |_, _| false);
        let named = fleet.named.len();
        let bound = 2 * (END - STOP).div_duration_f64(NAMED_AVOID_TIME) as usize;
        assert!(named <= bound, "seed {seed}: {named}");
        let bound = 1 + END.div_duration_f64(REPORT_INTERVAL) as u32;
        let reports = fleet.named_server_reports;
        assert!(
            reports.iter().all(|sent| *sent <= bound),
            "seed {seed}: {reports:?}"
        );
        assert!(reports[MISLED] > 0, "seed {seed}");
    }
}

/// A peer that was misled, or that reports late, names a server that has answered this gateway since.
#[test]
fn a_server_that_has_sent_data_since_it_was_named_is_not_avoided() {
    let servers = servers();
    let (mut misled, mut other) = (ServerFailures::default(), ServerFailures::default());
    misled.on_named_at_fault(&servers[NAMED_SERVER], ms(100));
    other.on_data(&servers[NAMED_SERVER], ms(105));
    let (reports, revision) = misled.changed_since(None, ms(110));
    assert_eq!(reports[0].state, ServerState::NamedAtFault);
    assert!(other.on_peer_reports(&reports, ms(110)).is_empty());
    assert!(!other.gone(&servers, ms(110)).contains(&true));
    let (answers, _) = other.changed_since(Some(0), ms(115));
    assert_eq!(answers[0].state, ServerState::Answers);
    // It had sent data before only.
    misled.on_named_at_fault(&servers[NAMED_SERVER], ms(700));
    let (reports, _) = misled.changed_since(Some(revision), ms(710));
    assert_eq!(other.on_peer_reports(&reports, ms(710)), reports);
    assert!(other.gone(&servers, ms(710))[NAMED_SERVER]);
    other.on_data(&servers[NAMED_SERVER], ms(720));
    let (answers, _) = other.changed_since(Some(0), ms(730));
    assert_eq!(answers[0].state, ServerState::Answers);
    misled.on_peer_reports(&answers, ms(740));
    assert!(!misled.gone(&servers, ms(740)).contains(&true));
}

/// A server that is cut off from a domain names each server there.
#[test]
fn servers_that_are_named_are_no_lost_domain() {
    let servers = servers();
    let mut failures = ServerFailures::default();
    for server in servers.iter().step_by(3).take(4) {
        failures.on_named_at_fault(server, ms(100));
    }
    let gone = failures.gone(&servers, ms(110));
    assert_eq!(gone.iter().filter(|gone| **gone).count(), 4);
    let gone = failures.gone(&servers, ms(100) + NAMED_AVOID_TIME);
    assert!(!gone.contains(&true));
}

/// Guards against the loss of a whole domain to new requests while three of its servers end, as by
/// requests that crash them, and the others send events. In the middle, the whole domain ends indeed.
#[test]
fn servers_that_send_events_are_not_presumed_gone() {
    const LOSS: Duration = Duration::from_secs(6);
    const CRASHED: [usize; 3] = [1, 4, 7];
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed);
        // Without links, a gateway hears of no connection that another one made.
        fleet.has_links = false;
        let servers = (0..SERVERS).filter(|index| index % 3 == 1 && !CRASHED.contains(index));
        let stream = |index| (index % GATEWAYS, index, DataEvidence::default());
        fleet.streams = servers.map(stream).collect();
        let ids = CRASHED.map(|index| server(index).id);
        let is_gone = |server: &BackendEntry, now| {
            now >= OUTAGE && ids.contains(&server.id) || now >= LOSS && &*server.domain == "b"
        };
        fleet.run(OUTAGE, is_gone);
        for gateway in &mut fleet.gateways {
            for index in CRASHED {
                gateway.failures.on_refused(&fleet.servers[index], OUTAGE);
            }
        }
        // Data may be read late by `UNREAD_DATA_TIME`, and is recorded every other event.
        fleet.run(OUTAGE + UNREAD_DATA_TIME + 2 * EVENT_GAP, is_gone);
        for (gateway, index, _) in &fleet.streams {
            let failures = &fleet.gateways[*gateway].failures;
            let gone = failures.gone(&fleet.servers, fleet.now);
            assert!(!gone[*index], "seed {seed}: server {index}");
        }
        fleet.run(LOSS, is_gone);
        let before = fleet.refused.len();
        fleet.run(LOSS + ms(4_000), is_gone);
        // As many as where no server sends events: each gateway finds the domain by itself.
        let refused = fleet.refused.len() - before;
        assert!(refused <= GATEWAYS * 4, "seed {seed}: {refused}");
    }
}

/// Data that was still to be read when its server ended is no evidence.
#[test]
fn data_at_the_end_of_a_domain_keeps_no_server_in_use() {
    let servers = servers();
    let mut failures = ServerFailures::default();
    for server in servers.iter().step_by(3).take(3) {
        failures.on_refused(server, ms(100));
    }
    failures.on_data(&servers[9], ms(100) + UNREAD_DATA_TIME);
    assert!(failures.gone(&servers, ms(210))[9]);
    failures.on_data(&servers[9], ms(101) + UNREAD_DATA_TIME);
    assert!(!failures.gone(&servers, ms(210))[9]);
    // Others of the domain refuse connections later.
    for server in servers.iter().step_by(3).skip(4).take(3) {
        failures.on_refused(server, ms(500));
    }
    let gone = failures.gone(&servers, ms(510));
    assert_eq!(gone.iter().filter(|gone| **gone).count(), SERVERS / 3);
}

/// Guards against a lock for each event of each stream.
#[test]
fn data_of_a_stream_is_recorded_at_most_every_50_ms() {
    for seed in 0..5 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut evidence = DataEvidence::default();
        let (mut now, mut recorded, mut last_event) = (ms(1_000), Vec::new(), ms(1_000));
        while now < ms(11_000) {
            let is_due = evidence.is_due(now);
            let after_pause = now - last_event >= ms(50);
            assert!(
                is_due || !after_pause,
                "seed {seed}: first event after a pause"
            );
            recorded.extend(is_due.then_some(now));
            last_event = now;
            now += ms(rng.random_range(1..=12) * rng.random_range(1..=12));
        }
        let mut gaps = recorded.windows(2).map(|pair| pair[1] - pair[0]);
        assert!(gaps.all(|gap| gap >= ms(50)), "seed {seed}");
    }
}

/// Guards against a frame to each peer for each request to a server that fails and answers in turn.
#[test]
fn reports_on_a_server_keep_their_interval() {
    const END: Duration = Duration::from_secs(10);
    for seed in 0..5 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut failures = ServerFailures::default();
        let tried = &servers()[NAMED_SERVER];
        let (mut now, mut reports, mut revision) = (ms(1), 0, 0);
        while now < END {
            match rng.random_range(0..5) {
                0 => failures.on_refused(tried, now),
                1 => failures.on_accepted(tried, now, now),
                2 => failures.on_named_at_fault(tried, now),
                3 => failures.on_data(tried, now),
                _ => {
                    let states = [ServerState::Refuses, ServerState::NamedAtFault];
                    let report = ServerReport {
                        server: server_key(&tried.id),
                        domain: server_key(&tried.domain),
                        state: *states.choose(&mut rng).unwrap(),
                        age: REPORT_DELAY,
                    };
                    failures.on_peer_reports(&[report], now);
                }
            }
            reports += failures.revision() - revision;
            revision = failures.revision();
            now += ms(5);
        }
        // Refusals, their ends, and what a response says are reported once each.
        let intervals = END.div_duration_f64(REPORT_INTERVAL) as u64 + 1;
        assert!(reports <= 3 * intervals, "seed {seed}: {reports}");
        assert!(reports >= intervals, "seed {seed}: {reports}");
    }
}

/// A server that leaves refuses connections while its streams go on.
#[test]
fn data_does_not_end_a_refusal() {
    let servers = servers();
    let mut failures = ServerFailures::default();
    failures.on_refused(&servers[0], ms(100));
    failures.on_data(&servers[0], ms(110));
    assert!(failures.gone(&servers, ms(120))[0]);
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
        failures.on_named_at_fault(&server(index), ms(100));
        failures.on_data(&server(index), ms(100));
    }
    assert_eq!(failures.refusing_servers(), 4_096);
    failures.next_trial(&servers(), &SendShares::of_starting("g"), ms(20_000));
    assert_eq!(failures.refusing_servers(), 0, "forgotten");
}
