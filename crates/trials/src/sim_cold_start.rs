//! Scenario `cold-start`: a third of the backend servers return to cold start at the same time and
//! without notice.

use crate::sim_figures::{SimEnd, SimFigures};
use crate::sim_fleet::{SimFault, SimFleet, SimPlan};
use crate::sim_gateway::SimPolicy;
use crate::sim_mixed::warm_engines;
use crate::sim_report::{SimReport, round};
use crate::sim_trace::TraceSpec;
use serde_json::json;
use std::time::Duration;

const ENGINES: usize = 9;
const COLD_ENGINES: usize = 3;
const FAULT_AT: Duration = Duration::from_secs(90);
const END: Duration = Duration::from_secs(180);
/// Requests per second; uses about 60% of the capacity of all engines.
const RATE: f64 = 11.0;
/// Length of the window in which offers are counted.
const OFFER_WINDOW: Duration = Duration::from_secs(5);
/// Fraction of the other engines' offers from which an engine counts as fully used again.
const FULL_USE_FRACTION: f64 = 0.9;
/// Time until the first sign of the fault, the engine's own load report, reaches the agent: the lag
/// of the report plus the polling interval.
const DETECTION_TIME: Duration = Duration::from_millis(750);

fn plan(seed: u64, has_fault: bool) -> SimPlan {
    let trace = TraceSpec {
        seed,
        rate: RATE,
        start: Duration::ZERO,
        end: END,
        teams: 0..10,
        long_every: 0,
        has_medium_prompts: true,
    };
    let faults = (0..COLD_ENGINES).map(|engine| (FAULT_AT, engine, SimFault::ReturnToColdStart));
    SimPlan {
        engines: ENGINES,
        engine_spec: warm_engines(),
        requests: trace.generate(),
        faults: faults.filter(|_| has_fault).collect(),
    }
}

/// Seconds from the fault until the affected engines get, on average over a window, at least
/// `FULL_USE_FRACTION` of the offers that the others get; infinite if that never happens.
fn recovery_seconds(figures: &SimFigures) -> f64 {
    let mut from = FAULT_AT;
    while from + OFFER_WINDOW <= END {
        let offers = figures.offers.iter();
        let in_window = offers.filter(|(at, _)| (from..from + OFFER_WINDOW).contains(at));
        let (cold, others): (Vec<&(Duration, usize)>, Vec<_>) =
            in_window.partition(|(_, server)| *server < COLD_ENGINES);
        let cold_rate = cold.len() as f64 / COLD_ENGINES as f64;
        let other_rate = others.len() as f64 / (ENGINES - COLD_ENGINES) as f64;
        if from > FAULT_AT && cold_rate >= FULL_USE_FRACTION * other_rate {
            return (from - FAULT_AT).as_secs_f64();
        }
        from += Duration::from_secs(1);
    }
    f64::INFINITY
}

/// Runs the scenario.
pub fn run(seed: u64) -> SimReport {
    let mut report = SimReport::new("cold-start", seed);
    for policy in SimPolicy::ALL {
        let without_fault = SimFleet::run(&plan(seed, false), policy);
        let figures = SimFleet::run(&plan(seed, true), policy);
        let after_fault = figures
            .over_cold_limit
            .iter()
            .filter(|(at, _)| *at >= FAULT_AT);
        let after_detection = after_fault
            .clone()
            .filter(|(at, _)| *at >= FAULT_AT + DETECTION_TIME);
        let (after_fault, after_detection) = (after_fault.count(), after_detection.count());
        let finished = figures.select(|r| r.arrives_at >= FAULT_AT);
        let finished = finished.filter(|(_, o)| o.end == SimEnd::Finished).count() as f64;
        let usual = without_fault.select(|r| r.arrives_at >= FAULT_AT);
        let usual = usual.filter(|(_, o)| o.end == SimEnd::Finished).count() as f64;
        let recovery = recovery_seconds(&figures);
        let scenario_figures = json!({
            "over_bearable_after_fall": after_fault,
            "over_bearable_after_first_sign": after_detection,
            "finished_part_of_usual": round(finished / usual),
            "recovery_s": recovery,
        });
        report.add(policy, &figures, scenario_figures);
        if policy == SimPolicy::Product {
            report.at_most(
                "dispatches over the bearable after a sign",
                after_detection as f64,
                0.0,
            );
            report.at_least(
                "finished after the fall / without it",
                finished / usual,
                2.0 / 3.0,
            );
            let bound = 2.0 * warm_engines().warm_up.as_secs_f64();
            report.at_most("full use again, s", recovery, bound);
        }
    }
    report
}
