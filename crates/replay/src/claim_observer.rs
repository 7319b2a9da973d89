//! Invariant checks over the outcomes at the callers and the calls at the plain service.

use crate::claim_simulation::ClaimSimulation;
use crate::claim_types::AttemptOutcome;
use std::collections::BTreeMap;

/// Lists every violation of these invariants: a key runs at most once, a refused attempt did not
/// run, and a caller gets the answer that the service gave for its key.
pub fn claim_violations(sim: &ClaimSimulation) -> Vec<String> {
    let mut found = Vec::new();
    let mut answers = BTreeMap::new();
    for run in &sim.runs {
        if answers.insert(run.key, &run.answer).is_some() {
            found.push(format!("key {} ran twice", run.key));
        }
    }
    for (caller, attempt, outcome) in &sim.outcomes {
        match outcome {
            AttemptOutcome::NotRun(reason)
                if sim.runs.iter().any(|run| run.attempt == *attempt) =>
            {
                found.push(format!("{attempt} ran but was refused: {reason:?}"));
            }
            AttemptOutcome::Answer(answer) => {
                let is_known = answers.values().any(|expected| *expected == answer);
                if !is_known {
                    found.push(format!("caller {caller} got an answer that nobody gave"));
                }
            }
            _ => {}
        }
    }
    found.extend(mismatched_answers(sim, &answers));
    found
}

/// Reports callers that got an answer for another key than their own.
fn mismatched_answers(
    sim: &ClaimSimulation,
    answers: &BTreeMap<&'static str, &bytes::Bytes>,
) -> Vec<String> {
    let answered = sim
        .outcomes
        .iter()
        .filter_map(|(caller, _, outcome)| match outcome {
            AttemptOutcome::Answer(answer) => Some((*caller, answer)),
            _ => None,
        });
    answered
        .filter(|(caller, answer)| answers.get(sim.key_of(*caller)) != Some(answer))
        .map(|(caller, _)| format!("caller {caller} got another's answer"))
        .collect()
}
