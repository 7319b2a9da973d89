//! Scenario `overload`: the load is twice the engines' capacity.

use crate::sim_fleet::{SimFleet, SimPlan};
use crate::sim_gateway::SimPolicy;
use crate::sim_mixed::warm_engines;
use crate::sim_report::{SimReport, round};
use crate::sim_trace::TraceSpec;
use serde_json::json;
use std::time::Duration;

const ENGINES: usize = 8;
const WARM_UP: Duration = Duration::from_secs(60);
const END: Duration = Duration::from_secs(180);
/// Requests per second in the capacity run; well above what the engines can serve.
const SATURATING_RATE: f64 = 40.0;
/// Time limit in the capacity run; longer than the run, so that no request misses its deadline.
const CAPACITY_TIME_LIMIT: Duration = Duration::from_secs(3600);

fn plan(seed: u64, rate: f64, time_limit: Option<Duration>) -> SimPlan {
    let trace = TraceSpec {
        seed,
        rate,
        start: Duration::ZERO,
        end: END,
        teams: 0..10,
        long_every: 0,
        has_medium_prompts: true,
    };
    let mut requests = trace.generate();
    for request in &mut requests {
        request.time_limit = time_limit.unwrap_or(request.time_limit);
    }
    SimPlan {
        engines: ENGINES,
        engine_spec: warm_engines(),
        requests,
        faults: Vec::new(),
    }
}

/// Runs the scenario. Capacity is the goodput of FIFO scheduling under a saturating load in which
/// no request misses its deadline. Goodput is counted in engine seconds, because prompt and
/// response tokens cost an engine differently and the policies refuse different requests.
pub fn run(seed: u64) -> SimReport {
    let mut report = SimReport::new("overload", seed);
    let capacity_plan = plan(seed, SATURATING_RATE, Some(CAPACITY_TIME_LIMIT));
    let saturated = SimFleet::run(&capacity_plan, SimPolicy::LeastOutstandingFifo);
    let token_capacity = saturated.token_goodput(WARM_UP, END);
    let rate = 2.0 * saturated.completion_rate(WARM_UP, END);
    let engine_capacity = saturated.engine_goodput(WARM_UP, END);
    for policy in SimPolicy::ALL {
        let figures = SimFleet::run(&plan(seed, rate, None), policy);
        let token_goodput = figures.token_goodput(WARM_UP, END) / token_capacity;
        let engine_goodput = figures.engine_goodput(WARM_UP, END) / engine_capacity;
        let refusal_p95 = figures.refusal_percentile(95);
        let scenario_figures = json!({
            "rate": round(rate),
            "goodput_of_capacity": round(engine_goodput),
            "goodput_of_capacity_in_tokens": round(token_goodput),
            "refusal_p95_ms": round(refusal_p95),
            "first_token_p95_s": round(figures.first_token_percentile(95, WARM_UP, |_| true)),
        });
        report.add(policy, &figures, scenario_figures);
        if policy == SimPolicy::Product {
            report.at_least("goodput / capacity", engine_goodput, 0.9);
            report.at_most("refusal p95, ms", refusal_p95, 50.0);
        }
    }
    report
}
