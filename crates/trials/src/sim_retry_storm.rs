//! Scenario `retry-storm`: all engines run 20 times slower for 30 seconds.

use crate::sim_figures::SimFigures;
use crate::sim_fleet::{SimFault, SimFleet, SimPlan};
use crate::sim_gateway::SimPolicy;
use crate::sim_mixed::warm_engines;
use crate::sim_report::{SimReport, round};
use crate::sim_trace::{SimRequest, TraceSpec};
use serde_json::json;
use std::time::Duration;

const ENGINES: usize = 8;
const SLOWDOWN_START: Duration = Duration::from_secs(60);
const SLOWDOWN_END: Duration = Duration::from_secs(90);
const END: Duration = Duration::from_secs(180);
/// Time after the slowdown in which goodput may stay low.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
const RECOVERY_WINDOW: Duration = Duration::from_secs(20);
const SLOWDOWN_FACTOR: f64 = 20.0;
/// Requests per second; uses about 60% of the engines' capacity.
const RATE: f64 = 14.0;
const REQUEST_TIME_LIMIT: Duration = Duration::from_secs(20);

fn plan(requests: Vec<SimRequest>, has_slowdown: bool) -> SimPlan {
    let faults = (0..ENGINES).flat_map(|engine| {
        [
            (SLOWDOWN_START, engine, SimFault::Slow(SLOWDOWN_FACTOR)),
            (SLOWDOWN_END, engine, SimFault::Slow(1.0)),
        ]
    });
    SimPlan {
        engines: ENGINES,
        engine_spec: warm_engines(),
        requests,
        faults: faults.filter(|_| has_slowdown).collect(),
    }
}

fn generate_requests(seed: u64) -> Vec<SimRequest> {
    let spec = TraceSpec {
        seed,
        rate: RATE,
        start: Duration::ZERO,
        end: END,
        teams: 0..10,
        long_every: 0,
        has_medium_prompts: false,
    };
    let mut requests = spec.generate();
    for request in &mut requests {
        request.time_limit = REQUEST_TIME_LIMIT;
    }
    requests
}

/// Goodput in the window after the recovery time, relative to the run without a slowdown.
fn recovered_goodput(figures: &SimFigures, without_slowdown: &SimFigures) -> f64 {
    let from = SLOWDOWN_END + RECOVERY_TIME;
    figures.token_goodput(from, from + RECOVERY_WINDOW)
        / without_slowdown.token_goodput(from, from + RECOVERY_WINDOW)
}

/// Runs the scenario.
pub fn run(seed: u64) -> SimReport {
    let mut report = SimReport::new("retry-storm", seed);
    let requests = generate_requests(seed);
    for policy in SimPolicy::ALL {
        let without_slowdown = SimFleet::run(&plan(requests.clone(), false), policy);
        let figures = SimFleet::run(&plan(requests.clone(), true), policy);
        let wasted = figures.wasted_tokens as f64 / figures.processed_tokens as f64;
        let attempts = figures.attempts_per_request();
        let recovered = recovered_goodput(&figures, &without_slowdown);
        let scenario_figures = json!({
            "work_for_callers_that_left": round(wasted),
            "goodput_after_5_s_of_usual": round(recovered),
            "goodput_during_slowness_of_usual":
                round(figures.token_goodput(SLOWDOWN_START, SLOWDOWN_END)
                    / without_slowdown.token_goodput(SLOWDOWN_START, SLOWDOWN_END)),
        });
        report.add(policy, &figures, scenario_figures);
        if policy == SimPolicy::Product {
            report.at_most("attempts per request", attempts, 1.1);
            report.at_most("work for callers that left", wasted, 0.01);
            report.at_least("goodput 5 s after / usual", recovered, 0.95);
        }
    }
    report
}
