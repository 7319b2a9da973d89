//! Replays a trace and compares the outcomes with those expected and recorded in it.

use crate::observer::Outcomes;
use crate::simulation::Simulation;
use policy::{Trace, TraceEnd, TraceEvent, TraceExpect, TraceServer};
use std::time::Duration;

/// Time after the last line of the trace in which all requests must end.
const SETTLE_TIME: Duration = Duration::from_secs(120);

/// Result of a replay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplayReport {
    /// Outcomes of the requests in the replay.
    pub outcomes: Outcomes,
    /// Violated invariants.
    pub violations: Vec<String>,
    /// Expectations of the trace that were not met.
    pub unmet_expectations: Vec<String>,
    /// Number of requests that ended differently than when the trace was recorded.
    pub changed_outcomes: u64,
}

/// Replays a trace in virtual time. The same trace gives the same report each time.
pub fn replay(trace: &Trace) -> ReplayReport {
    let servers: Vec<TraceServer> = trace
        .lines
        .iter()
        .filter_map(|line| match &line.what {
            TraceEvent::Server(server) => Some(server.clone()),
            _ => None,
        })
        .collect();
    let mut sim = Simulation::new(&servers);
    let mut last = Duration::ZERO;
    for line in &trace.lines {
        let at = Duration::from_millis(line.at_ms);
        last = last.max(at);
        sim.run_until(at);
        match &line.what {
            TraceEvent::Request(request) => sim.schedule_request(at, request.clone()),
            TraceEvent::Fault(fault) => sim.schedule_fault(at, &fault.server, fault.kind),
            TraceEvent::Command(command) => execute_command(&mut sim, at, command),
            _ => {}
        }
    }
    sim.run_until(last + SETTLE_TIME);
    let outcomes = sim.outcomes();
    ReplayReport {
        unmet_expectations: unmet_expectations(trace, &outcomes),
        changed_outcomes: changed_outcomes(trace, &outcomes),
        violations: sim.violations(),
        outcomes,
    }
}

/// Executes a command that takes a failure domain out, brings it back, or drains or undrains a
/// server; ignores other commands.
fn execute_command(sim: &mut Simulation, at: Duration, command: &str) {
    let words: Vec<&str> = command.split_whitespace().collect();
    match words[..] {
        ["take", "domain", name, "out"] => set_domain_out(sim, at, name, true),
        ["bring", "domain", name, "back"] => set_domain_out(sim, at, name, false),
        ["drain", "server", name] => set_drained(sim, at, name, true),
        ["undrain", "server", name] => set_drained(sim, at, name, false),
        _ => {}
    }
}

fn set_domain_out(sim: &mut Simulation, at: Duration, name: &str, out: bool) {
    sim.commit_config(at, |declared| {
        let mut domains = declared.domains.iter_mut();
        if let Some(domain) = domains.find(|domain| &*domain.name == name) {
            domain.out = out;
        }
    });
}

fn set_drained(sim: &mut Simulation, at: Duration, name: &str, drained: bool) {
    sim.commit_config(at, |declared| {
        let mut servers = declared.servers.iter_mut();
        if let Some(server) = servers.find(|server| &*server.name == name) {
            server.drained = drained;
        }
    });
}

fn unmet_expectations(trace: &Trace, outcomes: &Outcomes) -> Vec<String> {
    let expected = trace.lines.iter().filter_map(|line| match &line.what {
        TraceEvent::Expect(expect) => Some(expect),
        _ => None,
    });
    let finished = outcomes.count(TraceEnd::Finished);
    let may_have_run = outcomes.count(TraceEnd::MayHaveRun);
    expected
        .filter(|expect| match expect {
            TraceExpect::FinishedAtLeast(count) => finished < *count,
            TraceExpect::MayHaveRunAtMost(count) => may_have_run > *count,
            TraceExpect::MayHaveRunOnlyAt(servers) => outcomes
                .may_have_run_at
                .iter()
                .any(|server| !servers.contains(server)),
            TraceExpect::Request(outcome) => outcomes.ends.get(&outcome.id) != Some(&outcome.end),
        })
        .map(|expect| {
            format!("{expect:?}, but {finished} finished and {may_have_run} may have run")
        })
        .collect()
}

fn changed_outcomes(trace: &Trace, outcomes: &Outcomes) -> u64 {
    let recorded = trace.lines.iter().filter_map(|line| match &line.what {
        TraceEvent::Outcome(outcome) => Some(outcome),
        _ => None,
    });
    let different = recorded.filter(|outcome| outcomes.ends.get(&outcome.id) != Some(&outcome.end));
    different.count() as u64
}
