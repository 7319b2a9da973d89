//! Which prompts may have crashed an engine.

use policy::ServerRuns;
use proto::Suspect;
use std::time::Duration;

fn parts<const N: usize>(ids: [u64; N]) -> [Suspect; N] {
    ids.map(Suspect::Part)
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn prompts_whose_answer_goes_on_are_no_suspects() {
    let mut runs = ServerRuns::default();
    let long = runs.start("engine-1", &parts([1, 2]));
    let unanswered = runs.start("engine-1", &parts([1, 3]));
    let _elsewhere = runs.start("engine-2", &parts([4]));
    assert_eq!(runs.suspects("engine-1"), parts([1, 2, 3]));
    for event in 0..5 {
        assert_eq!(runs.on_events(long, 1, at(100 + 100 * event)), None);
    }
    let proof = runs.on_events(long, 1, at(600)).unwrap();
    assert_eq!(
        (&*proof.suspects, proof.began),
        (&parts([1, 2])[..], at(100))
    );
    assert_eq!(
        runs.on_events(long, 1, at(900)),
        None,
        "one proof for each run"
    );
    assert_eq!(runs.suspects("engine-1"), parts([1, 3]));
    runs.end(unanswered);
    assert!(runs.suspects("engine-1").is_empty());
}

/// A burst of events, or a few of them over a long time, proves nothing: an engine may crash with the
/// first tokens of an answer, and these may take long on one that has just started.
#[test]
fn a_proof_takes_time_and_events() {
    let mut runs = ServerRuns::default();
    let burst = runs.start("engine-1", &parts([1]));
    assert_eq!(runs.on_events(burst, 20, at(100)), None);
    let slow = runs.start("engine-1", &parts([2]));
    for second in 1..6 {
        assert_eq!(runs.on_events(slow, 1, at(1_000 * second)), None);
    }
    assert_eq!(runs.suspects("engine-1"), parts([1, 2]));
}
