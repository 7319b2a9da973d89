//! Faults in the claim protocol, injected at every step in virtual time.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proto::RefusalReason;
use replay::{
    AGENT_COUNT, AttemptOutcome, ClaimCaller, ClaimFault, ClaimSimulation, Injection,
    claim_violations,
};
use std::time::Duration;

const SEED: u64 = 7;
const PAIR_CASES: u32 = 600;

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn caller(at: u64, agent: usize, key: &'static str) -> ClaimCaller {
    ClaimCaller {
        first_attempt_at: millis(at),
        agent,
        key,
        content_hash: 1,
        max_attempts: 10,
    }
}

/// Two callers that use the same key through different agents, and one with another key.
fn contending_callers() -> Vec<ClaimCaller> {
    vec![
        caller(0, 0, "crate-1"),
        caller(3, 1, "crate-1"),
        caller(4, 0, "crate-2"),
    ]
}

fn all_faults() -> Vec<ClaimFault> {
    vec![
        ClaimFault::KillBefore,
        ClaimFault::KillAfter,
        ClaimFault::Freeze(millis(2000)),
        ClaimFault::Down,
        ClaimFault::DownFor(millis(3000)),
        ClaimFault::LostAnswer,
        ClaimFault::LostCall,
        ClaimFault::Late(millis(450)),
        ClaimFault::Late(millis(3000)),
        ClaimFault::Slow(millis(300)),
        ClaimFault::NotSent,
        ClaimFault::AnswerLost,
    ]
}

fn run_sim(callers: Vec<ClaimCaller>, injections: Vec<Injection>) -> ClaimSimulation {
    let mut sim = ClaimSimulation::new(callers, injections);
    sim.run();
    sim
}

fn outcomes_of(sim: &ClaimSimulation, caller: usize) -> Vec<&AttemptOutcome> {
    let of_caller = sim.outcomes.iter().filter(|(other, _, _)| *other == caller);
    of_caller.map(|(_, _, outcome)| outcome).collect()
}

#[test]
fn a_repeat_through_another_agent_gets_the_whole_first_answer() {
    let sim = run_sim(
        vec![caller(0, 0, "crate-1"), caller(500, 1, "crate-1")],
        vec![],
    );
    let first = sim.runs[0].answer.clone();
    assert_eq!(sim.run_count("crate-1"), 1);
    assert_eq!(
        outcomes_of(&sim, 0),
        [&AttemptOutcome::Answer(first.clone())]
    );
    assert_eq!(outcomes_of(&sim, 1), [&AttemptOutcome::Answer(first)]);
}

#[test]
fn other_content_under_the_same_key_is_refused() {
    let other = ClaimCaller {
        content_hash: 2,
        ..caller(500, 1, "crate-1")
    };
    let sim = run_sim(vec![caller(0, 0, "crate-1"), other], vec![]);
    assert_eq!(sim.run_count("crate-1"), 1);
    assert_eq!(
        outcomes_of(&sim, 1),
        [&AttemptOutcome::NotRun(RefusalReason::KeyConflict)]
    );
}

#[test]
fn many_claims_share_a_transaction() {
    let keys = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
    let callers: Vec<ClaimCaller> = keys.iter().map(|key| caller(0, 0, key)).collect();
    let sim = run_sim(callers, vec![]);
    assert_eq!(sim.runs.len(), keys.len());
    assert!(sim.table.counts().writes <= 5, "{:?}", sim.table.counts());
}

#[test]
fn every_fault_at_every_step_of_either_agent() {
    let fault_free = run_sim(contending_callers(), vec![]);
    assert_eq!(claim_violations(&fault_free), [] as [String; 0]);
    let mut cells = 0;
    for agent in 0..AGENT_COUNT {
        for action in 0..fault_free.steps[agent].len() {
            for fault in all_faults() {
                let sim = run_sim(
                    contending_callers(),
                    vec![Injection {
                        agent,
                        action,
                        fault,
                    }],
                );
                let step = fault_free.steps[agent][action];
                let cell = format!("agent {agent}, action {action} ({step}), {fault:?}");
                assert_eq!(claim_violations(&sim), [] as [String; 0], "{cell}");
                assert_eq!(
                    sim.outcomes.len(),
                    sim.attempts_with_outcome().len(),
                    "{cell}"
                );
                cells += 1;
            }
        }
    }
    assert!(cells > 100, "{cells}");
}

#[test]
fn a_single_fault_of_the_store_leaves_no_caller_without_an_answer() {
    let fault_free = run_sim(contending_callers(), vec![]);
    for action in 0..fault_free.steps[0].len() {
        for fault in [
            ClaimFault::Down,
            ClaimFault::LostAnswer,
            ClaimFault::LostCall,
            ClaimFault::Late(millis(450)),
        ] {
            let sim = run_sim(
                contending_callers(),
                vec![Injection {
                    agent: 0,
                    action,
                    fault,
                }],
            );
            for caller in 0..3 {
                let last = outcomes_of(&sim, caller).into_iter().last();
                let is_complete = matches!(last, Some(AttemptOutcome::Answer(_)));
                assert!(
                    is_complete,
                    "action {action}, {fault:?}, caller {caller}: {last:?}"
                );
            }
        }
    }
}

#[test]
fn a_store_that_is_down_refuses_and_runs_nothing() {
    let down = Injection {
        agent: 0,
        action: 0,
        fault: ClaimFault::DownFor(millis(60_000)),
    };
    let sim = run_sim(vec![caller(0, 0, "crate-1")], vec![down]);
    assert_eq!(sim.runs, []);
    let refused = |outcome: &&AttemptOutcome| {
        **outcome == AttemptOutcome::NotRun(RefusalReason::StoreUnavailable)
    };
    assert!(outcomes_of(&sim, 0).iter().all(refused));
}

#[test]
fn a_claim_that_lands_after_it_was_given_up_does_not_keep_the_key() {
    let late = Injection {
        agent: 0,
        action: 1,
        fault: ClaimFault::Late(millis(3000)),
    };
    let down = Injection {
        agent: 0,
        action: 2,
        fault: ClaimFault::Down,
    };
    let once = ClaimCaller {
        max_attempts: 1,
        ..caller(0, 0, "crate-1")
    };
    let sim = run_sim(vec![once, caller(6000, 1, "crate-1")], vec![late, down]);
    assert_eq!(sim.steps[0][..2], ["read", "commit"]);
    let refused = AttemptOutcome::NotRun(RefusalReason::StoreUnavailable);
    assert_eq!(outcomes_of(&sim, 0), [&refused]);
    let answer = sim.runs[0].answer.clone();
    assert_eq!(outcomes_of(&sim, 1), [&AttemptOutcome::Answer(answer)]);
}

#[test]
fn an_agent_lost_between_claim_and_outcome_leaves_may_have_run() {
    let fault_free = run_sim(contending_callers(), vec![]);
    let run = fault_free.steps[0]
        .iter()
        .position(|step| *step == "run")
        .unwrap();
    let kill = Injection {
        agent: 0,
        action: run,
        fault: ClaimFault::KillAfter,
    };
    let sim = run_sim(vec![caller(0, 0, "crate-1")], vec![kill]);
    assert_eq!(sim.run_count("crate-1"), 1);
    let later = outcomes_of(&sim, 0)[1..]
        .iter()
        .all(|outcome| **outcome == AttemptOutcome::MayHaveRun);
    assert!(later, "{:?}", sim.outcomes);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: PAIR_CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn pairs_and_triples_of_faults_keep_at_most_once(
        drawn in prop::collection::vec((0..AGENT_COUNT, 0..14_usize, 0..12_usize), 2..4),
        shift in 0..12_u64,
    ) {
        let injections = drawn
            .iter()
            .map(|(agent, action, fault)| Injection { agent: *agent, action: *action, fault: all_faults()[*fault] })
            .collect();
        let callers = vec![
            caller(0, 0, "crate-1"),
            caller(shift, 1, "crate-1"),
            caller(shift * 2, 0, "crate-2"),
            caller(700, 1, "crate-2"),
        ];
        let sim = run_sim(callers, injections);
        prop_assert_eq!(claim_violations(&sim), [] as [String; 0]);
    }
}
