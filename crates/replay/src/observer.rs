//! Observations at callers and engines, and the invariants checked on them.

use crate::simulation::Simulation;
use policy::TraceEnd;
use proto::AttemptId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Longest time after a failure domain is taken out or a server is drained during which an engine
/// there may still get new work.
pub const MAX_CLOSE_DELAY: Duration = Duration::from_secs(3);
/// Longest time from a cold start until a load report shows it: the report's lag of 500 ms, the
/// interval of 250 ms between reports, plus 50 ms. Until then an engine may get more
/// requests than its cold limit.
pub const MAX_COLD_REPORT_DELAY: Duration = Duration::from_millis(500 + 250 + 50);
/// Time after its deadline by which a request must have ended.
pub const DEADLINE_GRACE: Duration = Duration::from_millis(100);

/// Observations during a run.
#[derive(Debug, Default)]
pub struct Observer {
    /// Attempts submitted to engines, with the time of submission.
    pub submissions: Vec<(Duration, AttemptId)>,
    /// Requests beyond an engine's cold limit that were submitted before a load report could show
    /// its cold start.
    pub unreported_excess: u64,
    /// Invariant violations found during the run.
    pub violations: Vec<String>,
}

/// How the requests of a simulation ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// End of each request that has ended, by request id.
    pub ends: BTreeMap<Box<str>, TraceEnd>,
    /// Ids of requests that have not ended.
    pub unfinished: Vec<Box<str>>,
    /// Servers tried last by requests that ended as [`TraceEnd::MayHaveRun`].
    pub may_have_run_at: BTreeSet<Box<str>>,
}

impl Outcomes {
    /// Number of requests that ended as `end`.
    pub fn count(&self, end: TraceEnd) -> u64 {
        self.ends.values().filter(|other| **other == end).count() as u64
    }
}

impl Simulation {
    /// Outcomes of all requests up to the current time.
    pub fn outcomes(&self) -> Outcomes {
        let mut outcomes = Outcomes::default();
        for request in &self.requests {
            let name = request.spec.id.clone();
            match request.end {
                Some((_, end)) => {
                    outcomes.ends.insert(name, end);
                    let last_server = (end == TraceEnd::MayHaveRun).then(|| request.tried.last());
                    outcomes
                        .may_have_run_at
                        .extend(last_server.flatten().cloned());
                }
                None => outcomes.unfinished.push(name),
            }
        }
        outcomes
    }

    /// Lists every violated invariant, including those found during the run. Call it once all work
    /// is done: unfinished requests and memory in use count as violations.
    pub fn violations(&self) -> Vec<String> {
        let mut found = self.observer.violations.clone();
        for (index, request) in self.requests.iter().enumerate() {
            let id = &request.spec.id;
            match request.end {
                None => found.push(format!("request {id} has no end")),
                Some((at, _)) if at > request.deadline + DEADLINE_GRACE => {
                    found.push(format!("request {id} ended after its time"));
                }
                Some((_, TraceEnd::NotRun)) if self.was_submitted(index) => {
                    found.push(format!("request {id} ran but was told that it did not"));
                }
                Some(_) => {}
            }
        }
        for agent in &self.agents {
            let name = &agent.spec.name;
            let counts = agent.engine.counts();
            if counts.request_tokens + counts.grant_tokens > 0 {
                found.push(format!("engine {name} holds memory without an owner"));
            }
        }
        found
    }

    fn was_submitted(&self, request: usize) -> bool {
        let submissions = &self.observer.submissions;
        submissions
            .iter()
            .any(|(_, attempt)| attempt.request == request as u128)
    }
}
