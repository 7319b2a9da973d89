//! Invariants of the product's policy, checked over several seeds against emulated engines in
//! virtual time.

use standins::EngineSpec;
use std::time::Duration;
use trials::{SimEnd, SimFault, SimFigures, SimFleet, SimPlan, SimPolicy, TraceSpec};

const ENGINES: usize = 4;
const FAULT_AT: Duration = Duration::from_secs(20);
/// Each of the four gateways starts with two retries in its budget.
const INITIAL_RETRIES: u32 = 8;
/// Time until a return to cold start reaches the agent: the lag of the engine's load report plus
/// the polling interval.
const DETECTION_TIME: Duration = Duration::from_millis(750);

fn run(seed: u64, rate: f64, starts_cold: bool, faults: &[(u64, SimFault)]) -> SimFigures {
    let trace = TraceSpec {
        seed,
        rate,
        start: Duration::ZERO,
        end: Duration::from_secs(40),
        teams: 0..5,
        long_every: 100,
        has_medium_prompts: true,
    };
    let fault = |(after, fault): (u64, SimFault)| {
        let at = FAULT_AT + Duration::from_secs(after);
        (0..2).map(move |engine| (at, engine, fault))
    };
    let plan = SimPlan {
        engines: ENGINES,
        engine_spec: EngineSpec {
            starts_cold,
            ..EngineSpec::default()
        },
        requests: trace.generate(),
        faults: faults.iter().copied().flat_map(fault).collect(),
    };
    SimFleet::run(&plan, SimPolicy::Product)
}

#[test]
fn every_admitted_request_ends_in_its_time() {
    let faults = [
        (0, SimFault::Slow(20.0)),
        (5, SimFault::Slow(1.0)),
        (8, SimFault::ReturnToColdStart),
    ];
    for seed in 0..4 {
        for rate in [4.0, 20.0] {
            let figures = run(seed, rate, seed % 2 == 0, &faults);
            assert_eq!(figures.count(SimEnd::Pending), 0, "seed {seed}");
            assert_eq!(figures.count(SimEnd::Late), 0, "seed {seed}");
        }
    }
}

#[test]
fn no_engine_in_cold_start_gets_more_than_it_bears() {
    for seed in 0..4 {
        let figures = run(seed, 10.0, true, &[]);
        assert_eq!(figures.over_cold_limit, [], "seed {seed}");
    }
}

/// The cold limit holds again as soon as the agent can know of the return to cold start.
#[test]
fn none_after_the_first_sign_of_a_fallback() {
    for seed in 0..4 {
        let figures = run(seed, 10.0, false, &[(0, SimFault::ReturnToColdStart)]);
        let after = FAULT_AT + DETECTION_TIME;
        let over = figures.over_cold_limit.iter().filter(|(at, _)| *at > after);
        assert_eq!(over.count(), 0, "seed {seed}");
    }
}

#[test]
fn retries_stay_within_the_shared_budget() {
    for seed in 0..2 {
        let slow = [(0, SimFault::Slow(20.0)), (10, SimFault::Slow(1.0))];
        let figures = run(seed, 15.0, false, &slow);
        let attempts: u32 = figures.outcomes.iter().map(|o| o.attempts).sum();
        let requests = figures.requests.len() as u32;
        let max_attempts = requests + requests / 10 + INITIAL_RETRIES;
        assert!(
            attempts <= max_attempts,
            "seed {seed}: {attempts} for {requests}"
        );
    }
}
