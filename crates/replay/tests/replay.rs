//! Replays of the sample traces must meet the expectations that the traces contain.

use replay::{Trace, TraceEnd, TraceError, replay};

const HEAD: &str = "{\"at_ms\":0,\"head\":{\"format\":1,\"deployment\":\"d\"}}\n";
const SERVER: &str = "{\"at_ms\":0,\"server\":{\"name\":\"s\",\"domain\":\"d\",\"prefill_rate\":20000.0,\"memory_tokens\":400000,\"warm_limit\":8,\"cold_limit\":2}}\n";
const REQUEST: &str = "{\"at_ms\":100,\"request\":{\"id\":\"r\",\"team\":\"t\",\"prompt_tokens\":1000,\"output_tokens\":5,\"time_ms\":5000}}\n";

fn assert_expectations_met(text: &str) {
    let trace = Trace::parse(text).unwrap();
    assert_eq!(Trace::parse(&trace.to_text()).unwrap(), trace);
    let report = replay(&trace);
    assert_eq!(report.violations, [] as [String; 0]);
    assert_eq!(report.unmet_expectations, [] as [String; 0]);
    assert_eq!(report, replay(&trace), "a replay is the same each time");
}

#[test]
fn morska_stopa() {
    assert_expectations_met(include_str!("../data/morska-stopa.jsonl"));
}

#[test]
fn virtanen() {
    assert_expectations_met(include_str!("../data/virtanen.jsonl"));
}

#[test]
fn a_missed_statement_and_a_changed_outcome_are_told() {
    let stated = "{\"at_ms\":100,\"expect\":{\"finished-at-least\":2}}\n{\"at_ms\":200,\"outcome\":{\"id\":\"r\",\"end\":\"not-run\"}}\n";
    let trace = Trace::parse(&format!("{HEAD}{SERVER}{REQUEST}{stated}")).unwrap();
    let report = replay(&trace);
    assert_eq!(report.outcomes.count(TraceEnd::Finished), 1);
    assert_eq!(
        (report.unmet_expectations.len(), report.changed_outcomes),
        (1, 1)
    );
}

#[test]
fn a_trace_without_its_head_or_with_a_broken_line_is_refused() {
    assert!(matches!(Trace::parse(REQUEST), Err(TraceError::Head)));
    let broken = format!("{HEAD}{{\"at_ms\":}}\n");
    assert!(matches!(Trace::parse(&broken), Err(TraceError::Line(2, _))));
}
