//! Checks that requests with an idempotency key run at most once while agents are killed, services
//! lose responses and the table service fails, and callers retry with the same key.

use clap::{Arg, Command};
use declarations::Route;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use runtime::Executor;
use standins::{FaultChange, ServiceSpec};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use trials::{
    Backend, BackendStandIn, Call, End, Fleet, FleetConfig, Outcome, SERVICE_PATH, TEAM_KEY,
};

const DOMAINS: [&str; 3] = ["bratislava-a", "trnava-b", "nitra-c"];
const REPEATABLE_PATH: &str = "/peek";
const SERVICE_TIME: Duration = Duration::from_millis(5);
const MEASURED_CALLS: usize = 1500;
const MEASURED_WORKERS: usize = 32;
const ATTEMPTS: usize = 8;
const RETRY_DELAY: Duration = Duration::from_millis(300);
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(25);
const FAULT_INTERVAL: Duration = Duration::from_millis(1500);

/// Outcomes of all requests, by idempotency key.
type OutcomesByKey = Arc<Mutex<BTreeMap<Box<str>, Vec<Outcome>>>>;

fn config() -> FleetConfig {
    let mut cfg = FleetConfig::small();
    cfg.base_declarations.routes.push(Route {
        path: REPEATABLE_PATH.into(),
        service: "labels".into(),
        repeatable: true,
        time_limit_ms: 10_000,
    });
    cfg.backends.clear();
    for (index, domain) in DOMAINS.iter().enumerate() {
        let mut backend = Backend::service(&format!("registry-{}", index + 1), domain);
        if let BackendStandIn::Service(spec) = &mut backend.stand_in {
            *spec = ServiceSpec {
                work_time: SERVICE_TIME,
                ..spec.clone()
            };
        }
        cfg.backends.push(backend);
    }
    cfg
}

async fn call(
    executor: &Executor,
    client: &runtime::HttpClient,
    to: SocketAddr,
    path: &str,
    key: &str,
) -> Outcome {
    let call = Call::plain(path, "{}")
        .key(TEAM_KEY)
        .header("idempotency-key", key);
    call.run(executor, client, to, Instant::now()).await
}

/// Latencies of complete responses without faults, sorted.
async fn measure(executor: &Executor, fleet: &Fleet, path: &'static str) -> Vec<Duration> {
    let mut workers = Vec::new();
    for worker in 0..MEASURED_WORKERS {
        let (spawner, client, gateways) =
            (executor.clone(), fleet.client().clone(), fleet.gateways());
        workers.push(executor.spawn(async move {
            let mut times = Vec::new();
            for n in 0..MEASURED_CALLS / MEASURED_WORKERS {
                let key = format!("measure{path}-{worker}-{n}");
                let to = gateways[n % gateways.len()];
                let outcome = call(&spawner, &client, to, path, &key).await;
                times.extend(outcome.end.is_whole().then_some(outcome.total));
            }
            times
        }));
    }
    let mut times = Vec::new();
    for worker in workers {
        times.extend(worker.await);
    }
    times.sort();
    times
}

fn quantile_ms(times: &[Duration], quantile: f64) -> f64 {
    let index = (times.len() as f64 * quantile) as usize;
    times.get(index).map_or(0.0, Duration::as_secs_f64) * 1000.0
}

fn record_outcome(outcomes: &OutcomesByKey, key: &str, outcome: Outcome) {
    let mut outcomes = outcomes.lock().unwrap_or_else(PoisonError::into_inner);
    outcomes.entry(key.into()).or_default().push(outcome);
}

/// Sends a request with `key` to the gateways in turn until the response is complete, or until
/// [`ATTEMPTS`] requests were sent.
async fn retry_until_complete(
    executor: Executor,
    client: runtime::HttpClient,
    gateways: Vec<SocketAddr>,
    key: String,
    outcomes: OutcomesByKey,
) {
    for n in 0..ATTEMPTS {
        let to = gateways[n % gateways.len()];
        let outcome = call(&executor, &client, to, SERVICE_PATH, &key).await;
        let whole = outcome.end.is_whole();
        record_outcome(&outcomes, &key, outcome);
        if whole {
            return;
        }
        async_io::Timer::after(RETRY_DELAY).await;
    }
}

/// Clears the faults of the stand-ins and injects a random one; returns its name.
async fn inject_fault(fleet: &mut Fleet, rng: &mut SmallRng) -> &'static str {
    let table = |change: FaultChange| fleet.platform.table.change_faults(&change);
    let clear = FaultChange {
        down: Some(false),
        slow_ms: Some(0),
        lose_answers: Some(false),
        cut: Some(false),
        ..FaultChange::default()
    };
    table(clear.clone());
    for service in fleet.backends.services.values() {
        service.change_faults(&clear);
    }
    let unchanged = FaultChange::default;
    match rng.random_range(0..8) {
        0 => table(FaultChange {
            down: Some(true),
            ..unchanged()
        }),
        1 => table(FaultChange {
            lose_answers: Some(true),
            ..unchanged()
        }),
        2 => table(FaultChange {
            slow_ms: Some(700),
            ..unchanged()
        }),
        3 => table(FaultChange {
            cut: Some(true),
            ..unchanged()
        }),
        4 => {
            let names: Vec<_> = fleet.backends.services.keys().cloned().collect();
            let name = &names[rng.random_range(0..names.len())];
            let change = FaultChange {
                lose_answers: Some(true),
                ..unchanged()
            };
            fleet.backends.services[name].change_faults(&change);
            return "service loses answers";
        }
        5 | 6 => {
            let server = format!("registry-{}", rng.random_range(1..=DOMAINS.len()));
            let agent = fleet.agent_of(&server);
            fleet.kill(&agent);
            let restarted = fleet.restart(&agent).await;
            assert!(restarted.is_ok(), "{restarted:?}");
            return "agent killed";
        }
        _ => return "none",
    }
    "table service"
}

fn main() -> ExitCode {
    let arg = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    let matches = Command::new("at-most-once")
        .arg(arg("seed", "1", "Seed of the faults"))
        .arg(arg("seconds", "60", "Length of the part with faults"))
        .get_matches();
    let number = |name| -> u64 {
        let text = matches.get_one::<String>(name).map_or("0", String::as_str);
        text.parse().unwrap_or(0)
    };
    let (seed, seconds) = (number("seed"), number("seconds"));
    Executor::run(
        4,
        |executor| async move { run(executor, seed, seconds).await },
    )
}

async fn run(executor: Executor, seed: u64, seconds: u64) -> ExitCode {
    let mut fleet = match Fleet::start(&executor, &config()).await {
        Ok(fleet) => fleet,
        Err(err) => {
            eprintln!("{err}");
            return ExitCode::FAILURE;
        }
    };
    measure(&executor, &fleet, REPEATABLE_PATH).await;
    let plain = measure(&executor, &fleet, REPEATABLE_PATH).await;
    let before = fleet.platform.table.standin().table().counts();
    let start = Instant::now();
    let claimed = measure(&executor, &fleet, SERVICE_PATH).await;
    let claim_seconds = start.elapsed().as_secs_f64();
    let after = fleet.platform.table.standin().table().counts();

    let outcomes = OutcomesByKey::default();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut faults: BTreeMap<&'static str, u64> = BTreeMap::new();
    let until = Instant::now() + Duration::from_secs(seconds);
    let gateways = fleet.gateways();
    let (spawner, client, recorded) = (executor.clone(), fleet.client().clone(), outcomes.clone());
    let callers = executor.spawn(async move {
        let mut tasks = Vec::new();
        let mut n = 0;
        while Instant::now() < until {
            let key = format!("crate-{n}");
            let mut order = gateways.clone();
            order.rotate_left(n % gateways.len());
            tasks.push(spawner.spawn(retry_until_complete(
                spawner.clone(),
                client.clone(),
                order,
                key,
                recorded.clone(),
            )));
            n += 1;
            async_io::Timer::after(ARRIVAL_INTERVAL).await;
        }
        for task in tasks {
            task.await;
        }
    });
    while Instant::now() < until {
        *faults
            .entry(inject_fault(&mut fleet, &mut rng).await)
            .or_default() += 1;
        async_io::Timer::after(FAULT_INTERVAL).await;
    }
    let clear = FaultChange {
        down: Some(false),
        slow_ms: Some(0),
        lose_answers: Some(false),
        cut: Some(false),
        ..FaultChange::default()
    };
    fleet.platform.table.change_faults(&clear);
    for service in fleet.backends.services.values() {
        service.change_faults(&clear);
    }
    callers.await;

    let mut runs: BTreeMap<Box<str>, u64> = BTreeMap::new();
    for service in fleet.backends.services.values() {
        for (key, count) in service.standin().service_counts().runs {
            *runs.entry(key).or_default() += count;
        }
    }
    let outcomes = outcomes.lock().unwrap_or_else(PoisonError::into_inner);
    let ran = |key: &str| runs.get(key).copied().unwrap_or(0);
    let double_runs = outcomes.keys().filter(|key| ran(key) > 1).count();
    let all_refused = |of_key: &[Outcome]| of_key.iter().all(|outcome| outcome.end.is_refused());
    let false_not_run = outcomes
        .iter()
        .filter(|(key, of_key)| all_refused(of_key) && ran(key) > 0)
        .count();
    let complete: Vec<&Outcome> = outcomes
        .values()
        .flatten()
        .filter(|outcome| outcome.end.is_whole())
        .collect();
    let distinct: BTreeSet<&str> = complete.iter().map(|outcome| &*outcome.text).collect();
    let count = |is: fn(&End) -> bool| {
        outcomes
            .values()
            .flatten()
            .filter(|outcome| is(&outcome.end))
            .count()
    };
    let calls: usize = outcomes.values().map(Vec::len).sum();
    let committed = after.writes - before.writes;
    println!("faults: {faults:?}");
    println!(
        "without faults: {} calls, p50 {:.1} ms, p95 {:.1} ms with a claim; p50 {:.1} ms, p95 {:.1} ms without",
        claimed.len(),
        quantile_ms(&claimed, 0.5),
        quantile_ms(&claimed, 0.95),
        quantile_ms(&plain, 0.5),
        quantile_ms(&plain, 0.95)
    );
    println!(
        "claims a second {:.0}, transactions a second {:.0} of 400",
        claimed.len() as f64 / claim_seconds,
        committed as f64 / claim_seconds
    );
    println!(
        "with faults: {} keys, {calls} calls, {} whole, {} not run, {} may have run, {} broken or late",
        outcomes.len(),
        complete.len(),
        count(End::is_refused),
        count(|end| matches!(end, End::Failed { .. })),
        count(|end| matches!(end, End::Broken(_) | End::Late | End::Short))
    );
    println!(
        "doubles {double_runs}, false \"not run\" {false_not_run}, answers given to two keys {}",
        complete.len() - distinct.len()
    );
    let json = serde_json::json!({
        "scenario": "at-most-once", "seed": seed, "seconds": seconds, "keys": outcomes.len(), "calls": calls,
        "doubles": double_runs, "false_not_run": false_not_run,
        "p95_ms_claimed": quantile_ms(&claimed, 0.95), "p95_ms_plain": quantile_ms(&plain, 0.95),
    });
    println!("{json}");
    if double_runs + false_not_run > 0 {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
