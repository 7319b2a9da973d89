//! Measures the time of decisions at several sizes, running the policy code in this process.

use crate::fleet_config::MODEL;
use crate::sized_declarations::{build_declarations, members_of};
use crate::slope::Series;
use declarations::Declarations;
use policy::{
    ConfigGossip, ConfigRow, GossipConfig, GossipEvent, Job, Router, RouterConfig, RoutingRequest,
    Scheduler, SchedulerConfig, SchedulerEvent, ServerSettings,
};
use proto::AttemptId;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

const SERVERS: [usize; 4] = [75, 150, 300, 600];
const TEAMS: [usize; 4] = [1_375, 2_750, 5_500, 11_000];
const QUEUES: [usize; 4] = [64, 128, 256, 512];
const GATEWAYS_PER_SERVER: f64 = 340.0 / 600.0;
const TARGET_SERVERS: usize = 600;
/// Rounds of each measurement, of which the median counts.
const ROUNDS: usize = 7;
const CALLS_PER_ROUND: u32 = 200;

/// Measures routing, scheduling and the handling of configurations.
pub fn measure() -> Vec<Series> {
    let mut all = vec![measure_routing(), measure_scheduling()];
    all.extend(measure_configurations());
    all
}

fn measure_routing() -> Series {
    let mut series = Series::new("routing decision", "µs", "server");
    for servers in SERVERS {
        let declared = Arc::new(build_declarations(servers, 10));
        let gateways = (servers as f64 * GATEWAYS_PER_SERVER) as usize;
        let members = Arc::new(members_of(&declared, gateways));
        let mut router = Router::new(RouterConfig {
            domain: declared.domains[0].name.clone(),
            retry_after: Duration::from_secs(1),
            seed: 1,
        });
        router.configure(declared.clone(), members);
        let request = RoutingRequest {
            team: "counter",
            model: Some(MODEL),
            service: None,
            prompt_tokens: 1_000,
            output_tokens: 300,
            remaining: Duration::from_secs(30),
            prefixes: &[7],
            tried: &[],
        };
        let micros = median_micros(|call| {
            let now = Duration::from_millis(u64::from(call));
            if let Ok(server) = router.choose(now, &request) {
                router.on_offered(&server);
                router.on_ended(&server);
            }
        });
        series.push(servers as f64, micros);
    }
    series
}

fn measure_scheduling() -> Series {
    let mut series = Series::new("agent's decision on an offer", "µs", "job in its queue");
    for queue in QUEUES {
        let mut scheduler = Scheduler::new(SchedulerConfig::for_server("server-1"));
        let mut actions = Vec::new();
        let settings = ServerSettings {
            config: 1,
            epoch: 1,
            warm_limit: 64,
            cold_limit: 2,
            prefill_rate: None,
            decode_interval: None,
            memory_tokens: Some(2_000_000),
            ..ServerSettings::default()
        };
        let mut handle = |scheduler: &mut Scheduler, event| {
            actions.clear();
            scheduler.handle(Duration::from_millis(1), event, &mut actions);
        };
        handle(&mut scheduler, SchedulerEvent::SettingsChanged(settings));
        for number in 0..queue {
            handle(&mut scheduler, SchedulerEvent::Offer(job(number as u128)));
        }
        let micros = median_micros(|call| {
            let job = job(1_000_000 + u128::from(call));
            let attempt = job.attempt;
            handle(&mut scheduler, SchedulerEvent::Offer(job));
            handle(&mut scheduler, SchedulerEvent::Cancel(attempt));
        });
        series.push(queue as f64, micros);
    }
    series
}

fn job(number: u128) -> Job {
    Job {
        attempt: AttemptId {
            request: number,
            number: 1,
        },
        team: "counter".into(),
        weight: 100,
        model: Some(MODEL.into()),
        prompt_tokens: 1_000,
        output_tokens: 300,
        cached_tokens: 0,
        has_span_grant: false,
        deadline: Duration::from_secs(600),
    }
}

fn measure_configurations() -> Vec<Series> {
    let mut bytes = Series::new("configuration as stored", "KB", "team");
    let mut parse = Series::new("reading a whole configuration", "ms", "team");
    let mut apply = Series::new("taking a change into force", "ms", "team");
    for teams in TEAMS {
        let declared = build_declarations(TARGET_SERVERS, teams);
        let row = ConfigRow {
            version: 2,
            author: "operator".into(),
            declarations: declared.clone(),
        };
        let text = serde_json::to_string(&row).unwrap_or_default();
        bytes.push(teams as f64, text.len() as f64 / 1e3);
        let millis = median_millis(|| {
            black_box(serde_json::from_str::<ConfigRow>(&text).is_ok());
        });
        parse.push(teams as f64, millis);
        apply.push(teams as f64, median_apply_millis(declared));
    }
    vec![bytes, parse, apply]
}

/// Median time to apply a configuration that changes one team, in milliseconds.
fn median_apply_millis(declared: Declarations) -> f64 {
    let mut gossip = ConfigGossip::new(Duration::ZERO, GossipConfig::for_node("node-1", 1));
    let mut version = 0;
    let mut commit = |declared: Declarations| {
        version += 1;
        let content = GossipEvent::StoreContent {
            seq: 0,
            version,
            declared: Box::new(declared),
        };
        let mut actions = Vec::new();
        let start = Instant::now();
        gossip.handle(Duration::ZERO, content, &mut actions);
        start.elapsed().as_secs_f64() * 1e3
    };
    commit(declared.clone());
    let changes = (0..ROUNDS as u32).map(|round| {
        let mut changed = declared.clone();
        changed.teams[0].weight = 101 + round;
        commit(changed)
    });
    median(changes.collect())
}

/// Median over rounds of the mean time of one call, in microseconds. The closure gets the number of
/// the call.
pub fn median_micros(mut call: impl FnMut(u32)) -> f64 {
    let mut rounds = Vec::new();
    for round in 0..ROUNDS as u32 {
        let start = Instant::now();
        for number in 0..CALLS_PER_ROUND {
            call(round * CALLS_PER_ROUND + number);
        }
        rounds.push(start.elapsed().as_secs_f64() * 1e6 / f64::from(CALLS_PER_ROUND));
    }
    median(rounds)
}

fn median_millis(mut call: impl FnMut()) -> f64 {
    let rounds = (0..ROUNDS).map(|_| {
        let start = Instant::now();
        call();
        start.elapsed().as_secs_f64() * 1e3
    });
    median(rounds.collect())
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
