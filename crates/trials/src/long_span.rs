//! Scenario with prompts that need 2.2 to 3 times the memory of one engine, among short prompts;
//! then the same while processes are killed.

use crate::driver::{Driver, Sample, Summary, quantile_ms};
use crate::error::TrialError;
use crate::figures::Figures;
use crate::fleet::Fleet;
use crate::fleet_config::{FleetConfig, MODEL, TEAM_KEY};
use crate::plan::{LoadPlan, RequestClass};
use crate::scenario::ScenarioConfig;
use async_io::Timer;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use runtime::Executor;
use std::time::{Duration, Instant};

const ENGINE_TOKENS: u64 = 60_000;
const KV_BYTES_PER_TOKEN: u64 = 1024;
const PREFILL_RATE: f64 = 100_000.0;
const SHORT_CLASS: usize = 0;
/// Class of the spans: prompts whose KV cache spans several engines.
const SPAN_CLASS: usize = 1;
const SHORT_RATE: f64 = 20.0;
const SPAN_RATE: f64 = 0.2;
const MAX_SHORT_SLOWDOWN: f64 = 1.2;
const SPAN_TIME_LIMIT: Duration = Duration::from_secs(60);
const SHORT_TIME_LIMIT: Duration = Duration::from_secs(10);
const WARM_UP: Duration = Duration::from_secs(5);
/// Time after a fault within which engines must have freed all memory without an owner.
const CLEANUP_TIMEOUT: Duration = Duration::from_secs(33);
const KILL_INTERVAL: Duration = Duration::from_secs(4);
/// Time between a kill and the restart of the process.
const DOWN_TIME: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const MILLIS_PER_SECOND: f64 = 1e3;

/// Runs the scenario: short prompts alone, then together with spans, then while processes are
/// killed.
pub async fn run(executor: &Executor, cfg: ScenarioConfig) -> Result<Figures, TrialError> {
    let mut fleet = Fleet::start(executor, &fleet_config()).await?;
    let driver = Driver::new(executor.clone(), fleet.gateways(), MODEL, TEAM_KEY);
    let mut figures = Figures::new("long-span", cfg.seed);
    driver.run(&plan(cfg.seed ^ 1, WARM_UP, 0.0)).await;
    let alone = plan(cfg.seed, cfg.load_duration, 0.0);
    let short_alone = Summary::of_class(&driver.run(&alone).await, &alone, SHORT_CLASS);
    let mixed = plan(cfg.seed, cfg.load_duration, SPAN_RATE);
    let samples = driver.run(&mixed).await;
    report_short(&short_alone, &samples, &mixed, &mut figures);
    report_spans(&samples, &mixed, &mut figures);
    compare_with_baselines(&driver, &mixed, &samples, &mut figures).await;
    let leaked = leaked_tokens(&fleet, CLEANUP_TIMEOUT).await;
    figures.at_most("tokens leaked", leaked as f64, 0.0);
    kill_on_schedule(executor, &mut fleet, &driver, cfg, &mut figures).await?;
    Ok(figures)
}

fn fleet_config() -> FleetConfig {
    let mut cfg = FleetConfig::with_engines(2);
    cfg.for_each_engine(|spec, declared| {
        spec.memory_tokens = ENGINE_TOKENS;
        spec.cache_tokens = ENGINE_TOKENS / 8;
        spec.prefill_rate = PREFILL_RATE;
        declared.memory_bytes = ENGINE_TOKENS * KV_BYTES_PER_TOKEN;
    });
    cfg
}

fn plan(seed: u64, time: Duration, span_rate: f64) -> LoadPlan {
    let short = RequestClass {
        name: "short",
        rate: SHORT_RATE,
        prompt_tokens: 500..=2_000,
        output_tokens: 8..=16,
        time_limit: SHORT_TIME_LIMIT,
    };
    let span = RequestClass {
        name: "span",
        rate: span_rate,
        prompt_tokens: ENGINE_TOKENS * 11 / 5..=ENGINE_TOKENS * 3,
        output_tokens: 8..=16,
        time_limit: SPAN_TIME_LIMIT,
    };
    LoadPlan::poisson(seed, time, vec![short, span])
}

fn report_short(alone: &Summary, samples: &[Sample], plan: &LoadPlan, figures: &mut Figures) {
    let mixed = Summary::of_class(samples, plan, SHORT_CLASS);
    let (before, with) = (
        quantile_ms(&alone.first_token, 0.95),
        quantile_ms(&mixed.first_token, 0.95),
    );
    figures.add("short requests", mixed.sent as f64);
    figures.add("short p95 first token alone ms", before);
    figures.add("short p95 first token with spans ms", with);
    figures.at_most("short slowdown p95", with / before, MAX_SHORT_SLOWDOWN);
    let incomplete = mixed.sent - mixed.in_time;
    figures.add("short not whole in time", incomplete as f64);
}

fn report_spans(samples: &[Sample], plan: &LoadPlan, figures: &mut Figures) {
    let spans = Summary::of_class(samples, plan, SPAN_CLASS);
    figures.add("spans", spans.sent as f64);
    figures.add("spans refused", spans.refused as f64);
    figures.add("spans whole in time", spans.in_time as f64);
    let failed = spans.sent - spans.refused - spans.in_time;
    figures.at_most("spans admitted and not whole in time", failed as f64, 0.0);
    figures.at_least("spans admitted", (spans.sent - spans.refused) as f64, 1.0);
    figures.add(
        "span p50 first token ms",
        quantile_ms(&spans.first_token, 0.5),
    );
    figures.add(
        "span p95 first token ms",
        quantile_ms(&spans.first_token, 0.95),
    );
}

/// Compares the time to first token of spans with two baselines: each span alone on an idle fleet,
/// and the spans served one at a time in order of arrival, which is computed from the runs alone.
async fn compare_with_baselines(
    driver: &Driver,
    mixed: &LoadPlan,
    samples: &[Sample],
    figures: &mut Figures,
) {
    let mut free_at = Duration::ZERO;
    let (mut no_waiting, mut one_at_a_time, mut measured) = (0.0, 0.0, 0.0);
    let mut compared: u32 = 0;
    for sample in samples.iter().filter(|s| s.arrival.class == SPAN_CLASS) {
        let single = LoadPlan {
            classes: mixed.classes.clone(),
            arrivals: vec![crate::plan::Arrival {
                at: Duration::ZERO,
                ..sample.arrival.clone()
            }],
        };
        let outcome = driver.run(&single).await.remove(0).outcome;
        let (Some(first), Some(first_under_load)) = (outcome.first_byte, sample.outcome.first_byte)
        else {
            continue;
        };
        if !outcome.end.is_whole() || !sample.outcome.end.is_whole() {
            continue;
        }
        let start = free_at.max(sample.arrival.at);
        free_at = start + outcome.total;
        no_waiting += first.as_secs_f64() * MILLIS_PER_SECOND;
        one_at_a_time += (start + first - sample.arrival.at).as_secs_f64() * MILLIS_PER_SECOND;
        measured += first_under_load.as_secs_f64() * MILLIS_PER_SECOND;
        compared += 1;
    }
    let mean = |sum: f64| sum / f64::from(compared.max(1));
    figures.add("spans compared", f64::from(compared));
    figures.add("span mean first token ms", mean(measured));
    figures.add("span mean first token, no waiting ms", mean(no_waiting));
    figures.add(
        "span mean first token, one at a time ms",
        mean(one_at_a_time),
    );
    figures.at_most(
        "span mean over one at a time",
        measured / one_at_a_time,
        1.0,
    );
}

async fn kill_on_schedule(
    executor: &Executor,
    fleet: &mut Fleet,
    driver: &Driver,
    cfg: ScenarioConfig,
    figures: &mut Figures,
) -> Result<(), TrialError> {
    let mut rng = SmallRng::seed_from_u64(cfg.seed);
    let load = plan(cfg.seed ^ 2, cfg.load_duration, SPAN_RATE);
    let driver = driver.clone();
    let running = executor.spawn(async move {
        let samples = driver.run(&load).await;
        Summary::of_class(&samples, &load, SPAN_CLASS)
    });
    let names = fleet.names();
    let victims: Vec<_> = names.iter().filter(|n| !n.contains("registry")).collect();
    let start = Instant::now();
    let mut kills: u32 = 0;
    while start.elapsed() < cfg.load_duration {
        Timer::after(KILL_INTERVAL).await;
        let victim = victims[rng.random_range(0..victims.len())];
        fleet.kill(victim);
        Timer::after(DOWN_TIME).await;
        fleet.restart(victim).await?;
        kills += 1;
    }
    let spans = running.await;
    figures.add("kills", f64::from(kills));
    figures.add("spans while killing", spans.sent as f64);
    figures.add("spans while killing, whole", spans.in_time as f64);
    let silent_failures = spans.silent_failures as f64;
    figures.at_most("spans while killing, dishonest", silent_failures, 0.0);
    let leaked = leaked_tokens(fleet, CLEANUP_TIMEOUT).await;
    figures.at_most("tokens leaked after kills", leaked as f64, 0.0);
    Ok(())
}

/// Tokens that engines still hold for grants after all requests have ended; waits up to `limit` for
/// them to be freed.
async fn leaked_tokens(fleet: &Fleet, limit: Duration) -> u64 {
    let start = Instant::now();
    loop {
        let engines = fleet.backends.engines.values();
        let held = engines.map(|engine| engine.counts()["grant_tokens"].as_u64().unwrap_or(0));
        let held = held.sum();
        if held == 0 || start.elapsed() > limit {
            return held;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}
