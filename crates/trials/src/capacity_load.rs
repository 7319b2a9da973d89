//! Measures the processor time that requests cost a gateway and an agent.

use crate::driver::{Driver, Summary};
use crate::error::TrialError;
use crate::fleet::Fleet;
use crate::fleet_config::{FleetConfig, MODEL, TEAM_KEY};
use crate::plan::{LoadPlan, RequestClass};
use crate::slope::Series;
use runtime::Executor;
use std::time::Duration;

const GATEWAY: &str = "gateway-1";
const AGENT: &str = "agent-engine-bratislava-a-1";
const RATES: [f64; 4] = [50.0, 100.0, 200.0, 400.0];
const OUTPUTS: [u64; 4] = [16, 64, 128, 256];
const OUTPUT_RATE: f64 = 50.0;
const PROMPTS: [u64; 4] = [1_000, 16_000, 64_000, 256_000];
const PROMPT_RATE: f64 = 10.0;
const RUN_TIME: Duration = Duration::from_secs(4);
const TIME_LIMIT: Duration = Duration::from_secs(20);

/// Result of one load run.
struct RunCost {
    /// Requests that completed in time.
    completed: f64,
    gateway: Duration,
    agent: Duration,
}

/// Measures the cost by request rate, by output token rate and by prompt token rate.
pub async fn measure(executor: &Executor, seed: u64) -> Result<Vec<Series>, TrialError> {
    let mut fleet = Fleet::start(executor, &fleet_config()).await?;
    // The result of the first run is discarded: it only warms up the processes.
    run(executor, &mut fleet, seed, class(100.0, 1_000, 4)).await?;
    let mut all = Vec::new();
    let mut pair = series_pair("request a second");
    for rate in RATES {
        let cost = run(executor, &mut fleet, seed, class(rate, 1_000, 4)).await?;
        push_cost(&mut pair, cost.completed / RUN_TIME.as_secs_f64(), &cost);
    }
    all.extend(pair);
    let mut pair = series_pair("output token a second");
    for output in OUTPUTS {
        let class = class(OUTPUT_RATE, 1_000, output);
        let cost = run(executor, &mut fleet, seed, class).await?;
        let tokens = cost.completed * output as f64 / RUN_TIME.as_secs_f64();
        push_cost(&mut pair, tokens, &cost);
    }
    all.extend(pair);
    let mut pair = series_pair("prompt token a second");
    for prompt in PROMPTS {
        let class = class(PROMPT_RATE, prompt, 4);
        let cost = run(executor, &mut fleet, seed, class).await?;
        let tokens = cost.completed * prompt as f64 / RUN_TIME.as_secs_f64();
        push_cost(&mut pair, tokens, &cost);
    }
    all.extend(pair);
    Ok(all)
}

/// Series for the gateway and the agent, in this order.
fn series_pair(per: &'static str) -> [Series; 2] {
    [
        Series::new("gateway processor time", "µs/s", per),
        Series::new("agent processor time", "µs/s", per),
    ]
}

fn push_cost(pair: &mut [Series; 2], size: f64, cost: &RunCost) {
    let micros = |time: Duration| time.as_secs_f64() * 1e6 / RUN_TIME.as_secs_f64();
    pair[0].push(size, micros(cost.gateway));
    pair[1].push(size, micros(cost.agent));
}

fn class(rate: f64, prompt: u64, output: u64) -> RequestClass {
    RequestClass {
        name: "load",
        rate,
        prompt_tokens: prompt..=prompt,
        output_tokens: output..=output,
        time_limit: TIME_LIMIT,
    }
}

fn fleet_config() -> FleetConfig {
    let mut cfg = FleetConfig::single();
    cfg.for_each_engine(|spec, declared| {
        spec.prefill_rate = 100_000_000.0;
        spec.prefill_chunk_tokens = 300_000;
        spec.decode_base = Duration::from_millis(4);
        spec.decode_per_request = Duration::ZERO;
        spec.warm_limit = 1_024;
        declared.warm_limit = 1_024;
        declared.cold_limit = 1_024;
    });
    cfg
}

async fn run(
    executor: &Executor,
    fleet: &mut Fleet,
    seed: u64,
    class: RequestClass,
) -> Result<RunCost, TrialError> {
    let driver = Driver::new(executor.clone(), fleet.gateways(), MODEL, TEAM_KEY);
    let plan = LoadPlan::poisson(seed, RUN_TIME, vec![class]);
    let before = (fleet.usage(GATEWAY)?, fleet.usage(AGENT)?);
    let samples = driver.run(&plan).await;
    let after = (fleet.usage(GATEWAY)?, fleet.usage(AGENT)?);
    let completed = Summary::of_class(&samples, &plan, 0).in_time;
    if completed < plan.arrivals.len() as u64 {
        eprintln!(
            "capacity: only {completed} of {} requests completed in time",
            plan.arrivals.len()
        );
    }
    Ok(RunCost {
        completed: completed as f64,
        gateway: after.0.cpu_since(&before.0),
        agent: after.1.cpu_since(&before.1),
    })
}
