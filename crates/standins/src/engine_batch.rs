//! An engine's batch: what waits, prefills and decodes, and what the next step takes.

use crate::engine_spec::{
    AttemptId, EngineRequest, EngineReservation, EngineSegment, ReservationKind,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Place in the order of service: priority, then arrival.
pub(crate) type Rank = (u8, u64);

const SEGMENT_PRIORITY: u8 = 7;

#[derive(Debug)]
pub(crate) enum Work {
    Request(EngineRequest),
    Segment(EngineSegment),
}

#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) work: Work,
    pub(crate) since: Duration,
    /// When it may start.
    pub(crate) ready_at: Duration,
    pub(crate) admitted: bool,
    pub(crate) suspended: bool,
    pub(crate) owned: bool,
    /// Memory held beside that of grants.
    pub(crate) held: u64,
    pub(crate) prefill_left: u64,
    pub(crate) produced: u64,
}

/// What one step does.
#[derive(Debug, Default)]
pub(crate) struct Step {
    pub(crate) decode: Vec<Rank>,
    pub(crate) prefill: Vec<(Rank, u64)>,
}

impl Step {
    pub(crate) fn prefill_tokens(&self) -> u64 {
        self.prefill.iter().map(|(_, tokens)| tokens).sum()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.decode.is_empty() && self.prefill.is_empty()
    }
}

impl Run {
    fn request(&self) -> Option<&EngineRequest> {
        match &self.work {
            Work::Request(request) => Some(request),
            Work::Segment(_) => None,
        }
    }
}

/// All runs, in the order of service.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    runs: BTreeMap<Rank, Run>,
    by_attempt: BTreeMap<AttemptId, Rank>,
    arrivals: u64,
    held: u64,
}

impl Batch {
    pub(crate) fn len(&self) -> usize {
        self.runs.len()
    }

    /// Memory held beside that of grants.
    pub(crate) fn held(&self) -> u64 {
        self.held
    }

    pub(crate) fn running(&self) -> usize {
        let running = |run: &&Run| run.admitted && !run.suspended;
        self.runs.values().filter(running).count()
    }

    pub(crate) fn add(&mut self, now: Duration, ready_at: Duration, work: Work, prefill: u64) {
        let priority = match &work {
            Work::Request(request) => request.priority,
            Work::Segment(_) => SEGMENT_PRIORITY,
        };
        self.arrivals += 1;
        let rank = (priority, self.arrivals);
        if let Work::Request(request) = &work {
            self.by_attempt.insert(request.attempt.clone(), rank);
        }
        let run = Run {
            work,
            since: now,
            ready_at,
            admitted: false,
            suspended: false,
            owned: true,
            held: 0,
            prefill_left: prefill,
            produced: 0,
        };
        self.runs.insert(rank, run);
    }

    pub(crate) fn get_mut(&mut self, rank: Rank) -> Option<&mut Run> {
        self.runs.get_mut(&rank)
    }

    pub(crate) fn find(&mut self, attempt: &str) -> Option<&mut Run> {
        let rank = self.by_attempt.get(attempt)?;
        self.runs.get_mut(rank)
    }

    pub(crate) fn rank_of(&self, attempt: &str) -> Option<Rank> {
        self.by_attempt.get(attempt).copied()
    }

    pub(crate) fn has_segment(&self, grant: &str, segment: u32) -> bool {
        self.runs.values().any(|run| match &run.work {
            Work::Segment(work) => &*work.grant == grant && work.segment == segment,
            Work::Request(_) => false,
        })
    }

    pub(crate) fn remove(&mut self, rank: Rank) -> Option<Run> {
        let run = self.runs.remove(&rank)?;
        self.held -= run.held;
        if let Some(request) = run.request() {
            self.by_attempt.remove(&request.attempt);
        }
        Some(run)
    }

    /// Removes everything.
    pub(crate) fn drain(&mut self) -> Vec<Run> {
        self.by_attempt.clear();
        self.held = 0;
        std::mem::take(&mut self.runs).into_values().collect()
    }

    /// Gives memory to those who wait, in order, while it lasts.
    pub(crate) fn admit(&mut self, now: Duration, mut free: u64) {
        for run in self.runs.values_mut() {
            if run.admitted || run.ready_at > now {
                continue;
            }
            let need = match &run.work {
                Work::Request(request) if request.grant.is_none() => {
                    request.prompt_tokens + request.max_tokens
                }
                _ => 0,
            };
            if need > free {
                return;
            }
            free -= need;
            run.held = need;
            run.admitted = true;
            self.held += need;
        }
    }

    /// Plans a step that prefills at most `chunk` tokens, most urgent first.
    pub(crate) fn plan(&self, mut chunk: u64) -> Step {
        let mut step = Step::default();
        let active = |run: &Run| run.admitted && !run.suspended;
        for (rank, run) in self.runs.iter().filter(|(_, run)| active(run)) {
            if run.prefill_left == 0 {
                step.decode.push(*rank);
            } else if chunk > 0 {
                let tokens = run.prefill_left.min(chunk);
                chunk -= tokens;
                step.prefill.push((*rank, tokens));
            }
        }
        step
    }

    /// When the next run that waits for an import may start.
    pub(crate) fn next_ready(&self, now: Duration) -> Option<Duration> {
        let waiting = self.runs.values().filter(|run| !run.admitted);
        let times = waiting.map(|run| run.ready_at).filter(|at| *at > now);
        times.min()
    }

    pub(crate) fn shift(&mut self, by: Duration) {
        for run in self.runs.values_mut().filter(|run| !run.admitted) {
            run.ready_at += by;
        }
    }

    pub(crate) fn unowned(&self) -> u64 {
        let unowned = self.runs.values().filter(|run| !run.owned);
        unowned.map(|run| run.held).sum()
    }

    pub(crate) fn reservations(&self, now: Duration) -> impl Iterator<Item = EngineReservation> {
        self.runs.values().filter_map(move |run| {
            let request = run.request()?;
            Some(EngineReservation {
                id: request.attempt.clone(),
                kind: ReservationKind::Request,
                tokens: run.held,
                age_ms: now.saturating_sub(run.since).as_millis() as u64,
            })
        })
    }
}
