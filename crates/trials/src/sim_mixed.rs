//! Scenario `mixed`: short, medium and long prompts share the engines.

use crate::sim_figures::{SimEnd, SimFigures, has_long_prompt, has_short_prompt};
use crate::sim_fleet::{SimFleet, SimPlan};
use crate::sim_gateway::SimPolicy;
use crate::sim_report::{SimReport, round};
use crate::sim_trace::{SimRequest, TraceSpec};
use serde_json::json;
use standins::EngineSpec;
use std::time::Duration;

const ENGINES: usize = 8;
const WARM_UP: Duration = Duration::from_secs(60);
const END: Duration = Duration::from_secs(360);
/// Requests per second; uses about 80% of the engines' capacity.
const RATE: f64 = 5.2;

/// Warm engines whose memory holds the longest prompt. Prompts that exceed one engine's memory are
/// left to another scenario.
pub fn warm_engines() -> EngineSpec {
    EngineSpec {
        memory_tokens: 1_500_000,
        starts_cold: false,
        ..EngineSpec::default()
    }
}

fn requests(seed: u64) -> Vec<SimRequest> {
    let spec = TraceSpec {
        seed,
        rate: RATE,
        start: Duration::ZERO,
        end: END,
        teams: 0..10,
        long_every: 50,
        has_medium_prompts: true,
    };
    spec.generate()
}

fn plan(requests: Vec<SimRequest>) -> SimPlan {
    SimPlan {
        engines: ENGINES,
        engine_spec: warm_engines(),
        requests,
        faults: Vec::new(),
    }
}

/// 95th percentile of the time to first token of short prompts, in seconds, and its ratio to the
/// same percentile without long prompts.
fn short_p95_and_ratio(figures: &SimFigures, without_long: &SimFigures) -> (f64, f64) {
    let short_p95 = figures.first_token_percentile(95, WARM_UP, has_short_prompt);
    (
        short_p95,
        short_p95 / without_long.first_token_percentile(95, WARM_UP, has_short_prompt),
    )
}

/// Runs the scenario.
pub fn run(seed: u64) -> SimReport {
    let mut report = SimReport::new("mixed", seed);
    let mixed = requests(seed);
    let mut mixed_without_long = mixed.clone();
    mixed_without_long.retain(|request| !has_long_prompt(request));
    let mut best_baseline_long = f64::INFINITY;
    let mut product_figures = None;
    for policy in SimPolicy::ALL {
        let figures = SimFleet::run(&plan(mixed.clone()), policy);
        let without_long = SimFleet::run(&plan(mixed_without_long.clone()), policy);
        let (short, ratio) = short_p95_and_ratio(&figures, &without_long);
        let long = figures.first_token_percentile(95, WARM_UP, has_long_prompt);
        let long_all_finished = figures
            .select(has_long_prompt)
            .all(|(_, o)| o.end == SimEnd::Finished);
        let between = figures.inter_token_percentile(95, WARM_UP);
        let scenario_figures = json!({
            "short_p50_s": round(figures.first_token_percentile(50, WARM_UP, has_short_prompt)),
            "short_p95_s": round(short),
            "short_p95_without_long_s":
                round(without_long.first_token_percentile(95, WARM_UP, has_short_prompt)),
            "short_ratio": round(ratio),
            "long_p95_s": round(long),
            "long_all_finished": long_all_finished,
            "between_tokens_p95_ms": round(between),
            "between_tokens_p95_without_long_ms":
                round(without_long.inter_token_percentile(95, WARM_UP)),
        });
        report.add(policy, &figures, scenario_figures);
        if policy == SimPolicy::Product {
            product_figures = Some((ratio, short, long, between, figures.count(SimEnd::Late)));
        } else {
            best_baseline_long = best_baseline_long.min(long);
        }
    }
    if let Some((ratio, short, long, between, late)) = product_figures {
        report.at_most("short p95 with / without long", ratio, 1.15);
        report.at_most("long p95, s", long, 1.25 * best_baseline_long);
        report.at_most("admitted requests past their time", late as f64, 0.0);
        report.at_most("short p95, s", short, 0.8);
        report.at_most("between tokens p95, ms", between, 48.0);
    }
    report
}
