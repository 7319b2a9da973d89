//! Short prompts at many gateways that hear of each other's placements late. Each test names the load
//! pattern that it covers.

mod engine;

use engine::model;
use policy::{
    EngineCandidate, EngineProfile, FleetLoad, HerdAvoidance, JobLoad, KnownPlacements,
    PromptRequirements, place_prompt,
};
use proto::ServerUsage;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use std::collections::VecDeque;
use std::time::Duration;

const GATEWAYS: usize = 26;
const ENGINES: u64 = 60;
const REPORT_INTERVAL: Duration = ms(100);
const REPORT_DELAY: Duration = ms(100);
const ANSWER_TIME: Duration = ms(1_500);
const END: Duration = ms(6_000);
/// Arrivals at all gateways per millisecond, as many as fill half of the slots.
const BURST_RATE: f64 = 0.25;
/// Arrivals while no reports arrive. Prompts are then spread at random, and at a higher rate more than 5
/// in 100 come to an engine whose slots are taken.
const UNSEEN_RATE: f64 = 0.18;
const STEADY_RATE: f64 = 0.05;
/// Engines that the steady load may use; it needs seven.
const MAX_STEADY_ENGINES: usize = 20;
/// Number of prompts in the first second of a burst.
const FIRST_PROMPTS: usize = 250;
const TARGET: Duration = ms(250);
/// Required share of prompts on time.
const MIN_ON_TIME: f64 = 0.95;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn profile() -> EngineProfile {
    EngineProfile {
        slots: 12,
        kv_capacity_tokens: 405_000,
        ..model()
    }
}

fn draft() -> PromptRequirements {
    PromptRequirements {
        prompt_tokens: 5_000,
        expected_output_tokens: 1_500,
        first_event_target: TARGET,
        event_gap_target: ms(200),
        waited: ms(0),
        remaining: ms(12_000),
    }
}

/// A load report on its way to all gateways but its sender.
struct Report {
    arrives_at: Duration,
    from: usize,
    servers: Vec<(u64, ServerUsage)>,
}

/// Gateways that place the short prompts of a burst from `burst_start` on.
struct Burst {
    rng: SmallRng,
    gateways: Vec<FleetLoad>,
    reports: VecDeque<Report>,
    /// Whether the gateways hear of each other.
    has_links: bool,
    /// Jobs with their end and gateway, in the order of their ends.
    jobs: VecDeque<(Duration, usize, u64, JobLoad)>,
    /// Time at which each engine has prefilled all that it has.
    prefilled_at: Vec<Duration>,
    decoding: Vec<u32>,
    on_time: Vec<bool>,
}

impl Burst {
    fn run(burst_start: Duration, links_end: Duration, rate: f64, seed: u64) -> Self {
        let mut burst = Self {
            rng: SmallRng::seed_from_u64(seed),
            gateways: (0..GATEWAYS).map(|_| FleetLoad::default()).collect(),
            reports: VecDeque::new(),
            has_links: true,
            jobs: VecDeque::new(),
            prefilled_at: vec![Duration::ZERO; ENGINES as usize],
            decoding: vec![0; ENGINES as usize],
            on_time: Vec::new(),
        };
        let mut now = Duration::ZERO;
        while now < END {
            burst.has_links = now < links_end;
            burst.exchange_reports(now);
            burst.end_jobs(now);
            if now >= burst_start && burst.rng.random_bool(rate) {
                let gateway = burst.rng.random_range(0..GATEWAYS);
                burst.place(gateway, now);
            }
            now += ms(1);
        }
        burst
    }

    fn exchange_reports(&mut self, now: Duration) {
        for from in 0..GATEWAYS {
            let offset = REPORT_INTERVAL * from as u32 / GATEWAYS as u32;
            if (now + offset)
                .as_millis()
                .is_multiple_of(REPORT_INTERVAL.as_millis())
                && self.has_links
            {
                self.reports.push_back(Report {
                    arrives_at: now + REPORT_DELAY,
                    from,
                    servers: self.gateways[from].local(now),
                });
            }
        }
        while self
            .reports
            .front()
            .is_some_and(|report| report.arrives_at <= now)
        {
            let report = self.reports.pop_front().unwrap();
            for (to, load) in self.gateways.iter_mut().enumerate() {
                if to != report.from {
                    load.on_peer_report(&report.from.to_string(), report.servers.clone(), now);
                }
            }
        }
    }

    fn end_jobs(&mut self, now: Duration) {
        while self.jobs.front().is_some_and(|(end, ..)| *end <= now) {
            let (_, gateway, job, load) = self.jobs.pop_front().unwrap();
            self.gateways[gateway].end(job, &[load]);
            self.decoding[load.server as usize] -= 1;
        }
    }

    fn place(&mut self, gateway: usize, now: Duration) {
        let random = self.rng.random();
        let load = &mut self.gateways[gateway];
        let known = load.known_placements(0..ENGINES, GATEWAYS - 1, REPORT_INTERVAL, now);
        let engines: Vec<_> = (0..ENGINES)
            .map(|key| EngineCandidate {
                shared_order: key,
                load: load.total(key, now),
                slowdown: 1.0,
                accepts_requests: true,
                is_limited: false,
                suspect: None,
            })
            .collect();
        let herd_avoidance = HerdAvoidance::estimate(&known, 1.0, random);
        let placement = place_prompt(&profile(), &draft(), &engines, herd_avoidance).unwrap();
        let engine = placement.decoder;
        let prefilled_at = self.prefilled_at[engine].max(now) + placement.part_prefill_time;
        self.prefilled_at[engine] = prefilled_at;
        self.decoding[engine] += 1;
        let first_event = prefilled_at + profile().decode_iteration_time(self.decoding[engine]);
        let has_slot = self.decoding[engine] <= profile().slots;
        self.on_time.push(has_slot && first_event <= now + TARGET);
        let job = self.on_time.len() as u64;
        let part = JobLoad {
            server: engine as u64,
            prefill_time: placement.part_prefill_time,
            kv_tokens: 6_500,
            decodes: true,
            event_gap_target: ms(200),
            is_long: false,
        };
        self.gateways[gateway].start(job, &[part], now);
        self.jobs.push_back((now + ANSWER_TIME, gateway, job, part));
    }

    /// Share of the prompts on time among the first `count`.
    fn share_on_time(&self, count: usize) -> f64 {
        let first = &self.on_time[..count];
        first.iter().filter(|on_time| **on_time).count() as f64 / count as f64
    }
}

/// Names a test case in which `assertion` holds for the result of `run` with any of the seeds.
macro_rules! bursts {
    ($($(#[$doc:meta])* $name:ident: $run:expr => $assertion:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                for seed in 0..4 {
                    let run: fn(u64) -> Burst = $run;
                    let check: fn(&Burst) = $assertion;
                    check(&run(seed));
                }
            }
        )*
    };
}

fn assert_on_time(burst: &Burst) {
    for count in [FIRST_PROMPTS, burst.on_time.len()] {
        let share = burst.share_on_time(count);
        assert!(share >= MIN_ON_TIME, "{share} of the first {count}");
    }
}

bursts! {
    /// All gateways start with the burst and have heard nothing of each other.
    gateways_that_start_together_spread_prompts:
        |seed| Burst::run(ms(0), END, BURST_RATE, seed) => assert_on_time;
    /// A burst begins at all gateways, and reports of it come later.
    the_first_prompts_of_a_burst_are_spread:
        |seed| Burst::run(ms(1_000), END, BURST_RATE, seed) => assert_on_time;
    /// The links between the gateways are cut in the middle of the burst.
    prompts_are_spread_while_no_reports_arrive:
        |seed| Burst::run(ms(1_000), ms(1_800), UNSEEN_RATE, seed) => assert_on_time;
    /// The same at the rate of the other bursts.
    prompts_of_a_full_burst_are_spread_while_no_reports_arrive:
        |seed| Burst::run(ms(1_000), ms(1_800), BURST_RATE, seed) => assert_on_time;
    /// A steady load of short prompts leaves most engines to long ones.
    a_steady_load_stays_packed:
        |seed| Burst::run(ms(1_000), END, STEADY_RATE, seed) => |burst| {
            let used = burst.decoding.iter().filter(|decoding| **decoding > 0).count();
            assert!(used <= MAX_STEADY_ENGINES, "{:?}", burst.decoding);
        };
}

/// Guards against long prompts that a gateway holds back at its start for the prompts of peers that it
/// does not hear: it then assumes many more gateways than there are.
#[test]
fn peers_that_are_not_heard_place_no_prompts_for_which_long_ones_wait() {
    let known = KnownPlacements {
        peers: 191,
        hears_peers: false,
        reported_rate: 0.0,
        own: 1,
        report_interval: REPORT_INTERVAL,
        silence: ms(0),
    };
    assert_eq!(HerdAvoidance::estimate(&known, 1.0, 0).placement_rate, 4.0);
}

/// Guards against an estimate for many gateways that is used for few: short prompts took the engines
/// that long ones needed.
#[test]
fn few_peers_have_few_unseen_placements() {
    let unseen = |peers, report_interval, hears_peers, own| {
        let known = KnownPlacements {
            peers,
            hears_peers,
            reported_rate: 1_000.0,
            own,
            report_interval,
            silence: ms(0),
        };
        HerdAvoidance::estimate(&known, 1.0, 0).unseen_placements
    };
    for (hears_peers, own) in [(true, 0), (true, 1_000), (false, 0)] {
        assert_eq!(unseen(3, ms(12), hears_peers, own), 6.0);
    }
    assert_eq!(unseen(25, ms(100), true, 0), 100.0);
    assert_eq!(unseen(25, ms(100), true, 100), 1_000.0);
    assert!(unseen(25, ms(100), false, 0) > 1_000.0);
    assert_eq!(unseen(102, ms(408), true, 0), 204.0);
}
