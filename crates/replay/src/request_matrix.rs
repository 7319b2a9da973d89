//! Fault matrix of the request protocol.

use crate::matrix::{FaultMatrix, Verdict};
use crate::message::Step;
use crate::simulation::Simulation;
use policy::{FaultKind, TraceEnd, TraceRequest, TraceServer};
use std::time::Duration;

const REQUEST_FAULTS: [FaultKind; 14] = [
    FaultKind::KillAgent,
    FaultKind::KillEngine,
    FaultKind::ReplaceHost,
    FaultKind::FreezeAgent,
    FaultKind::CutLink,
    FaultKind::LoseMessage,
    FaultKind::DelayMessage,
    FaultKind::DuplicateMessage,
    FaultKind::ColdStart,
    FaultKind::SlowEngine,
    FaultKind::OperatorRace,
    FaultKind::DomainOut,
    FaultKind::Drain,
    FaultKind::Terminate,
];

/// Injects every fault at every step of the request protocol, with warm engines and with engines
/// that start cold.
pub fn request_matrix() -> FaultMatrix {
    let mut matrix = FaultMatrix::default();
    for (protocol, cold) in [("request", false), ("cold start", true)] {
        let fleet = fleet(cold, true);
        for step in Step::ALL {
            for fault in REQUEST_FAULTS {
                let verdict = request_cell(step, fault, &fleet);
                matrix.add(protocol, step.name(), &format!("{fault:?}"), verdict);
            }
        }
    }
    matrix
}

/// Injects faults that lead to a cold start, with engines whose load reports leave out cold start.
pub fn unreported_cold_matrix() -> FaultMatrix {
    let mut matrix = FaultMatrix::default();
    let fleet = fleet(true, false);
    for step in Step::ALL {
        for fault in [
            FaultKind::KillAgent,
            FaultKind::ReplaceHost,
            FaultKind::ColdStart,
        ] {
            let verdict = request_cell(step, fault, &fleet);
            matrix.add("silent cold", step.name(), &format!("{fault:?}"), verdict);
        }
    }
    matrix
}

fn request_cell(step: Step, fault: FaultKind, fleet: &[TraceServer]) -> Verdict {
    let is_message_fault = matches!(
        fault,
        FaultKind::LoseMessage | FaultKind::DelayMessage | FaultKind::DuplicateMessage
    );
    if is_message_fault && step == Step::Dispatch {
        return Verdict::NotApplicable("agent and engine share a host and one connection");
    }
    if fault == FaultKind::DuplicateMessage && matches!(step, Step::FirstToken | Step::Stream) {
        return Verdict::NotApplicable("a stream of the link delivers its bytes once and in order");
    }
    let mut sim = Simulation::new(fleet);
    sim.run_until(Duration::from_secs(1));
    for n in 0..40_u64 {
        let at = Duration::from_millis(1000 + n * 150);
        sim.schedule_request(at, request(n));
    }
    sim.run_until(Duration::from_millis(2500));
    sim.inject_at_step(step, fault);
    sim.run_until(Duration::from_secs(120));
    if sim.fault_injected_at().is_none() {
        return Verdict::Failed("the step was not reached".into());
    }
    let violations = sim.violations();
    if !violations.is_empty() {
        return Verdict::Failed(violations.join("; ").into());
    }
    let may_have_run = sim.outcomes().count(TraceEnd::MayHaveRun);
    let graceful = matches!(
        fault,
        FaultKind::DomainOut | FaultKind::Drain | FaultKind::Terminate | FaultKind::OperatorRace
    );
    if graceful && may_have_run > 0 {
        return Verdict::Failed(format!("{may_have_run} requests were cut").into());
    }
    Verdict::Passed
}

/// Three engines, each in its own failure domain.
fn fleet(cold: bool, says_cold: bool) -> Vec<TraceServer> {
    ["bratislava-a", "trnava-b", "nitra-c"]
        .iter()
        .map(|domain| TraceServer {
            name: format!("drafting-{domain}").into(),
            domain: (*domain).into(),
            prefill_rate: 20_000.0,
            memory_tokens: 400_000,
            warm_limit: 16,
            cold_limit: 2,
            cold,
            says_cold,
        })
        .collect()
}

/// Every eighth request has a long prompt.
fn request(n: u64) -> TraceRequest {
    let long = n.is_multiple_of(8);
    TraceRequest {
        id: format!("r{n}").into(),
        team: "docks".into(),
        prompt_tokens: if long { 60_000 } else { 2_000 },
        output_tokens: 20,
        time_ms: if long { 40_000 } else { 20_000 },
        repeatable: !n.is_multiple_of(3),
    }
}
