//! Scenario `flood`: after the warm-up, one of ten teams sends ten times its usual load.

use crate::sim_figures::{SimFigures, has_short_prompt};
use crate::sim_fleet::{SimFleet, SimPlan};
use crate::sim_gateway::SimPolicy;
use crate::sim_mixed::warm_engines;
use crate::sim_report::{SimReport, round};
use crate::sim_trace::{SimRequest, TraceSpec, merge_by_arrival};
use serde_json::json;
use std::time::Duration;

const ENGINES: usize = 8;
const TEAMS: usize = 10;
const WARM_UP: Duration = Duration::from_secs(60);
const END: Duration = Duration::from_secs(180);
/// Usual requests per second of each team; all teams together use about half of the engines'
/// capacity.
const TEAM_RATE: f64 = 0.85;
/// Extra load of the flooding team, as a multiple of its usual rate.
const EXTRA_LOAD_FACTOR: f64 = 9.0;

fn generate_load(
    seed: u64,
    rate: f64,
    start: Duration,
    teams: std::ops::Range<usize>,
) -> Vec<SimRequest> {
    let spec = TraceSpec {
        seed,
        rate,
        start,
        end: END,
        teams,
        long_every: 0,
        has_medium_prompts: true,
    };
    spec.generate()
}

/// 95th percentile of the other teams' time to first token for short prompts, in seconds.
fn others_p95(figures: &SimFigures) -> f64 {
    figures.first_token_percentile(95, WARM_UP, |request| {
        request.team > 0 && has_short_prompt(request)
    })
}

/// Runs the scenario.
pub fn run(seed: u64) -> SimReport {
    let mut report = SimReport::new("flood", seed);
    let usual = generate_load(seed, TEAM_RATE * TEAMS as f64, Duration::ZERO, 0..TEAMS);
    let extra = generate_load(seed + 1, TEAM_RATE * EXTRA_LOAD_FACTOR, WARM_UP, 0..1);
    let flooded = merge_by_arrival(vec![usual.clone(), extra]);
    for policy in SimPolicy::ALL {
        let plan = |requests| SimPlan {
            engines: ENGINES,
            engine_spec: warm_engines(),
            requests,
            faults: Vec::new(),
        };
        let without_flood = others_p95(&SimFleet::run(&plan(usual.clone()), policy));
        let figures = SimFleet::run(&plan(flooded.clone()), policy);
        let with_flood = others_p95(&figures);
        let scenario_figures = json!({
            "others_short_p95_s": round(with_flood),
            "others_short_p95_without_flood_s": round(without_flood),
            "flooding_team_p95_s":
                round(figures.first_token_percentile(95, WARM_UP, |r| r.team == 0)),
        });
        report.add(policy, &figures, scenario_figures);
        if policy == SimPolicy::Product {
            report.at_most(
                "others' short p95 with / without flood",
                with_flood / without_flood,
                1.1,
            );
        }
    }
    report
}
