//! Fault matrix of the claim protocol.

use crate::claim_observer::claim_violations;
use crate::claim_simulation::{AGENT_COUNT, ClaimSimulation};
use crate::claim_types::{ClaimCaller, ClaimFault, Injection};
use crate::matrix::{FaultMatrix, Verdict};
use std::time::Duration;

const FAULTS: [ClaimFault; 12] = [
    ClaimFault::KillBefore,
    ClaimFault::KillAfter,
    ClaimFault::Freeze(Duration::from_secs(2)),
    ClaimFault::Down,
    ClaimFault::DownFor(Duration::from_secs(3)),
    ClaimFault::LostAnswer,
    ClaimFault::LostCall,
    ClaimFault::Late(Duration::from_millis(450)),
    ClaimFault::Late(Duration::from_secs(3)),
    ClaimFault::Slow(Duration::from_millis(300)),
    ClaimFault::NotSent,
    ClaimFault::AnswerLost,
];

/// Two callers that use the same key through different agents, and one with another key.
fn callers() -> Vec<ClaimCaller> {
    let caller = |at, agent, key| ClaimCaller {
        first_attempt_at: Duration::from_millis(at),
        agent,
        key,
        content_hash: 1,
        max_attempts: 10,
    };
    vec![
        caller(0, 0, "crate-1"),
        caller(3, 1, "crate-1"),
        caller(4, 0, "crate-2"),
    ]
}

/// Injects every fault at every action that either agent takes in a run without faults.
pub fn claim_matrix() -> FaultMatrix {
    let mut matrix = FaultMatrix::default();
    let mut fault_free = ClaimSimulation::new(callers(), Vec::new());
    fault_free.run();
    for agent in 0..AGENT_COUNT {
        for (action, step) in fault_free.steps[agent].iter().enumerate() {
            for fault in FAULTS {
                let verdict = match not_applicable_reason(step, fault) {
                    Some(reason) => Verdict::NotApplicable(reason),
                    None => run_cell(Injection {
                        agent,
                        action,
                        fault,
                    }),
                };
                matrix.add("claim", step, &format!("{fault:?}"), verdict);
            }
        }
    }
    matrix
}

fn run_cell(injection: Injection) -> Verdict {
    let mut sim = ClaimSimulation::new(callers(), vec![injection]);
    sim.run();
    let violations = claim_violations(&sim);
    if violations.is_empty() {
        Verdict::Passed
    } else {
        Verdict::Failed(violations.join("; ").into())
    }
}

/// Why a fault cannot occur at a step; `None` if it can.
fn not_applicable_reason(step: &str, fault: ClaimFault) -> Option<&'static str> {
    let asks_store = matches!(step, "read" | "commit" | "scan");
    let is_of_store = matches!(
        fault,
        ClaimFault::Down
            | ClaimFault::LostAnswer
            | ClaimFault::LostCall
            | ClaimFault::Late(_)
            | ClaimFault::Slow(_)
    );
    let is_of_service = matches!(fault, ClaimFault::NotSent | ClaimFault::AnswerLost);
    if is_of_store && !asks_store {
        Some("the step asks nothing of the table service")
    } else if is_of_service && step != "run" {
        Some("the step asks nothing of the plain service")
    } else {
        None
    }
}
