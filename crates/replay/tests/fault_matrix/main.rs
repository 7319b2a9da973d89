//! Every cell of the fault matrix, and random pairs of faults, must keep the invariants.

#[path = "../../../policy/tests/fleet/mod.rs"]
#[allow(dead_code, reason = "the tests of configurations use the rest")]
mod fleet;
mod outer;
#[path = "../../../policy/tests/span/world/mod.rs"]
#[allow(dead_code, reason = "the tests of spans use the rest")]
mod span_world;

use outer::{config_matrix, order_matrix, span_matrix};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use replay::{
    FaultKind, FaultMatrix, Simulation, Step, TraceRequest, TraceServer, claim_matrix,
    request_matrix, unreported_cold_matrix,
};
use std::time::Duration;

const SEED: u64 = 11;
const PAIR_CASES: u32 = 150;

fn assert_all_pass(matrix: &FaultMatrix, min_cells: usize) {
    let failed: Vec<String> = matrix.failed().map(|cell| format!("{cell:?}")).collect();
    assert_eq!(failed, [] as [String; 0]);
    assert!(matrix.cells.len() >= min_cells, "{}", matrix.cells.len());
}

#[test]
fn request_cells_hold() {
    assert_all_pass(&request_matrix(), 190);
}

#[test]
fn claim_cells_hold() {
    assert_all_pass(&claim_matrix(), 150);
}

#[test]
fn span_cells_hold() {
    assert_all_pass(&span_matrix(), 48);
}

#[test]
fn order_cells_hold() {
    assert_all_pass(&order_matrix(), 32);
}

#[test]
fn config_cells_hold() {
    assert_all_pass(&config_matrix(), 21);
}

#[test]
fn silent_cold_cells_hold() {
    assert_all_pass(&unreported_cold_matrix(), 20);
}

fn server(domain: &str, cold: bool) -> TraceServer {
    TraceServer {
        name: format!("planner-{domain}").into(),
        domain: domain.into(),
        prefill_rate: 20_000.0,
        memory_tokens: 400_000,
        warm_limit: 16,
        cold_limit: 2,
        cold,
        says_cold: true,
    }
}

fn request(n: u64) -> TraceRequest {
    TraceRequest {
        id: format!("r{n}").into(),
        team: "planners".into(),
        prompt_tokens: 1_000 + 3_000 * (n % 5),
        output_tokens: 15,
        time_ms: 20_000,
        repeatable: n.is_multiple_of(2),
    }
}

const FAULT_KINDS: [FaultKind; 13] = [
    FaultKind::KillAgent,
    FaultKind::KillEngine,
    FaultKind::ReplaceHost,
    FaultKind::FreezeAgent,
    FaultKind::CutLink,
    FaultKind::LoseMessage,
    FaultKind::DelayMessage,
    FaultKind::ColdStart,
    FaultKind::SlowEngine,
    FaultKind::OperatorRace,
    FaultKind::DomainOut,
    FaultKind::Drain,
    FaultKind::Terminate,
];

proptest! {
    #![proptest_config(ProptestConfig {
        cases: PAIR_CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn pairs_of_faults_hold(
        step in 0..Step::ALL.len(),
        first in 0..FAULT_KINDS.len(),
        second in 0..FAULT_KINDS.len(),
        gap in 0..4000_u64,
        cold in any::<bool>(),
    ) {
        let domains = ["fi-south-a", "fi-south-b", "fi-south-c"];
        let fleet: Vec<TraceServer> = domains.iter().map(|domain| server(domain, cold)).collect();
        let mut sim = Simulation::new(&fleet);
        for n in 0..30 {
            sim.schedule_request(Duration::from_millis(500 + n * 120), request(n));
        }
        sim.run_until(Duration::from_millis(1500));
        sim.inject_at_step(Step::ALL[step], FAULT_KINDS[first]);
        let second_at = Duration::from_millis(1500 + gap);
        sim.run_until(second_at);
        sim.schedule_fault(second_at, "planner-fi-south-b", FAULT_KINDS[second]);
        sim.run_until(Duration::from_secs(90));
        prop_assert_eq!(sim.violations(), [] as [String; 0]);
    }
}
