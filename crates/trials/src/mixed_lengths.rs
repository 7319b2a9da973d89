//! Scenario that measures time to first token by prompt length, and how much long prompts slow down
//! short ones.

use crate::driver::{Driver, Sample, Summary, quantile_ms};
use crate::error::TrialError;
use crate::figures::Figures;
use crate::fleet::Fleet;
use crate::fleet_config::{FleetConfig, MODEL, TEAM_KEY};
use crate::plan::{LoadPlan, RequestClass};
use crate::scenario::ScenarioConfig;
use runtime::Executor;
use std::ops::RangeInclusive;
use std::time::Duration;

const ENGINES_PER_DOMAIN: usize = 2;
const PREFILL_RATE: f64 = 200_000.0;
const CHUNK_TOKENS: u64 = 2_048;
const SHORT_CLASS: usize = 0;
const SHORT_RATE: f64 = 40.0;
const MEDIUM_RATE: f64 = 4.0;
const LONG_RATE: f64 = 0.8;
const TIME_LIMIT: Duration = Duration::from_secs(60);

/// Runs the scenario: first short prompts alone, then all lengths, each on a new fleet.
pub async fn run(executor: &Executor, cfg: ScenarioConfig) -> Result<Figures, TrialError> {
    let mut figures = Figures::new("mixed-lengths", cfg.seed);
    let alone = LoadPlan::poisson(
        cfg.seed,
        cfg.load_duration,
        vec![classes().swap_remove(SHORT_CLASS)],
    );
    let alone_samples = measure(executor, &alone).await?;
    let mixed = LoadPlan::poisson(cfg.seed, cfg.load_duration, classes());
    let samples = measure(executor, &mixed).await?;
    for (index, class) in mixed.classes.iter().enumerate() {
        let summary = Summary::of_class(&samples, &mixed, index);
        for (name, quantile) in [("p50", 0.5), ("p95", 0.95)] {
            let value = quantile_ms(&summary.first_token, quantile);
            figures.add(&format!("{}_first_{name}_ms", class.name), value);
        }
        figures.add(&format!("{}_requests", class.name), summary.sent as f64);
        figures.add(&format!("{}_refused", class.name), summary.refused as f64);
    }
    let baseline = Summary::of_class(&alone_samples, &alone, SHORT_CLASS);
    let with_long = Summary::of_class(&samples, &mixed, SHORT_CLASS);
    for (name, quantile) in [("p50", 0.5), ("p95", 0.95)] {
        let alone = quantile_ms(&baseline.first_token, quantile);
        figures.add(&format!("short_alone_first_{name}_ms"), alone);
        let slowdown = quantile_ms(&with_long.first_token, quantile) / alone;
        figures.add(&format!("short_slowdown_{name}"), slowdown);
    }
    let all = Summary::of(samples.iter().map(|sample| &sample.outcome), TIME_LIMIT);
    figures.at_most("failed", all.failed as f64, 0.0);
    figures.at_most("dishonest", all.silent_failures as f64, 0.0);
    figures.add_run("short prompts alone", &alone_samples);
    figures.add_run("all lengths", &samples);
    Ok(figures)
}

async fn measure(executor: &Executor, plan: &LoadPlan) -> Result<Vec<Sample>, TrialError> {
    let mut cfg = FleetConfig::with_engines(ENGINES_PER_DOMAIN);
    cfg.for_each_engine(|spec, _| {
        spec.prefill_rate = PREFILL_RATE;
        spec.prefill_chunk_tokens = CHUNK_TOKENS;
    });
    let fleet = Fleet::start(executor, &cfg).await?;
    let driver = Driver::new(executor.clone(), fleet.gateways(), MODEL, TEAM_KEY);
    Ok(driver.run(plan).await)
}

fn classes() -> Vec<RequestClass> {
    let class = |name, rate, prompt_tokens: RangeInclusive<u64>| RequestClass {
        name,
        rate,
        prompt_tokens,
        output_tokens: 4..=32,
        time_limit: TIME_LIMIT,
    };
    vec![
        class("short", SHORT_RATE, 1_000..=8_000),
        class("medium", MEDIUM_RATE, 8_000..=100_000),
        class("long", LONG_RATE, 100_000..=1_000_000),
    ]
}
