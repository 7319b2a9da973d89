//! Requests that this gateway has sent to servers and whose answers are under way.

use crate::fleet_load::server_key;
use proto::{ServerKey, Suspect};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Number of a run of a request at a server.
pub type RunId = u64;

/// A server that has sent events of an answer for this long, and `PROOF_EVENTS` of them, was not
/// crashed by the request. A request that crashes servers does so with the first tokens of its answer,
/// which take longer on a server that is busy or has just started.
const PROOF_TIME: Duration = Duration::from_millis(500);
const PROOF_EVENTS: u32 = 6;

/// An answer that was complete proves the same after this time, if its server has not crashed by then.
const COMPLETE_PROOF_TIME: Duration = Duration::from_millis(1_500);
/// Bound of the complete answers that are kept for that; the oldest is dropped.
const MAX_COMPLETE_RUNS: usize = 1_024;

/// One run of a request at one server.
#[derive(Debug)]
struct Run {
    server: ServerKey,
    suspects: Box<[Suspect]>,
    first_event_at: Option<Duration>,
    events: u32,
    is_proven: bool,
}

/// Suspects of a request that a server answers without harm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunProof {
    /// The suspects.
    pub suspects: Box<[Suspect]>,
    /// When the answer began.
    pub began: Duration,
}

/// A complete answer that proves nothing yet.
#[derive(Debug)]
struct CompleteRun {
    server: ServerKey,
    proof: RunProof,
    completed_at: Duration,
}

/// Runs of requests at servers, by which the ones that may have crashed a server are known.
#[derive(Debug, Default)]
pub struct ServerRuns {
    runs: HashMap<RunId, Run>,
    /// In the order of their ends.
    complete: VecDeque<CompleteRun>,
    next_id: RunId,
}

impl ServerRuns {
    /// Records that a request with these suspects is sent to a server.
    pub fn start(&mut self, server: &str, suspects: &[Suspect]) -> RunId {
        let id = self.next_id;
        self.next_id += 1;
        let run = Run {
            server: server_key(server),
            suspects: suspects.into(),
            first_event_at: None,
            events: 0,
            is_proven: false,
        };
        self.runs.insert(id, run);
        id
    }

    /// Records that events of the answer have arrived. Returns, once for each run, that the request has
    /// not crashed the server.
    pub fn on_events(&mut self, id: RunId, events: u32, now: Duration) -> Option<RunProof> {
        let run = self.runs.get_mut(&id)?;
        let began = *run.first_event_at.get_or_insert(now);
        run.events = run.events.saturating_add(events);
        if run.is_proven || run.events < PROOF_EVENTS || now < began + PROOF_TIME {
            return None;
        }
        run.is_proven = true;
        Some(RunProof {
            suspects: run.suspects.clone(),
            began,
        })
    }

    /// Records that the answer of a run was complete. A further call of [`Self::end`] has no effect.
    pub fn complete(&mut self, id: RunId, now: Duration) {
        let Some(run) = self.runs.remove(&id).filter(|run| !run.is_proven) else {
            return;
        };
        if self.complete.len() >= MAX_COMPLETE_RUNS {
            self.complete.pop_front();
        }
        self.complete.push_back(CompleteRun {
            server: run.server,
            proof: RunProof {
                suspects: run.suspects,
                began: run.first_event_at.unwrap_or(now),
            },
            completed_at: now,
        });
    }

    /// Records that a run was answered as a whole, as requests to plain services are: a request that
    /// crashes servers gets no answer. A further call of [`Self::end`] has no effect.
    pub fn answer(&mut self, id: RunId, now: Duration) -> Option<RunProof> {
        let run = self.runs.remove(&id)?;
        Some(RunProof {
            suspects: run.suspects,
            began: now,
        })
    }

    /// Proofs of answers that were complete some time ago, at servers that have not crashed since.
    pub fn take_matured(&mut self, now: Duration) -> Vec<RunProof> {
        let complete = &self.complete;
        let is_mature = |run: &CompleteRun| now >= run.completed_at + COMPLETE_PROOF_TIME;
        let matured = complete.iter().take_while(|run| is_mature(run)).count();
        let matured = self.complete.drain(..matured);
        matured.map(|run| run.proof).collect()
    }

    /// Records that a run has ended, however it did.
    pub fn end(&mut self, id: RunId) {
        self.runs.remove(&id);
    }

    /// Suspects of the requests that may have crashed a server which has just crashed, in order and
    /// without duplicates.
    pub fn suspects(&mut self, server: &str) -> Vec<Suspect> {
        let server = server_key(server);
        let runs = self.runs.values();
        let suspects = runs.filter(|run| run.server == server && !run.is_proven);
        let mut suspects: Vec<_> = suspects
            .flat_map(|run| run.suspects.iter().copied())
            .collect();
        self.complete.retain(|run| {
            if run.server == server {
                suspects.extend(&run.proof.suspects);
            }
            run.server != server
        });
        suspects.sort_unstable();
        suspects.dedup();
        suspects
    }
}
