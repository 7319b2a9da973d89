//! The batch of an engine: the requests and segments that wait, prefill or decode, and the plan of
//! the next step.

use crate::engine_spec::{
    AttemptId, EngineRequest, EngineReservation, EngineSegment, ReservationKind,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Sort key of the scheduling order: priority (lower is more urgent), then arrival number.
pub(crate) type SchedulingKey = (u8, u64);

const SEGMENT_PRIORITY: u8 = 7;

#[derive(Debug)]
pub(crate) enum Work {
    Request(EngineRequest),
    Segment(EngineSegment),
}

#[derive(Debug)]
pub(crate) struct BatchEntry {
    pub(crate) work: Work,
    pub(crate) arrived_at: Duration,
    /// Earliest start; after the arrival if the KV cache of an earlier segment is imported first.
    pub(crate) startable_at: Duration,
    pub(crate) admitted: bool,
    pub(crate) suspended: bool,
    /// Whether the connection of the request is still open.
    pub(crate) connected: bool,
    /// KV cache reserved for this entry, in tokens; zero until it is admitted, and always zero if it
    /// uses the memory of a grant.
    pub(crate) reserved_tokens: u64,
    pub(crate) prefill_tokens_left: u64,
    pub(crate) generated_tokens: u64,
}

/// One iteration of continuous batching: entries that decode a token, and entries that prefill so
/// many tokens.
#[derive(Debug, Default)]
pub(crate) struct Step {
    pub(crate) decode: Vec<SchedulingKey>,
    pub(crate) prefill: Vec<(SchedulingKey, u64)>,
}

impl Step {
    pub(crate) fn prefill_tokens(&self) -> u64 {
        self.prefill.iter().map(|(_, tokens)| tokens).sum()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.decode.is_empty() && self.prefill.is_empty()
    }
}

impl BatchEntry {
    fn request(&self) -> Option<&EngineRequest> {
        match &self.work {
            Work::Request(request) => Some(request),
            Work::Segment(_) => None,
        }
    }
}

/// All entries, in scheduling order.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    entries: BTreeMap<SchedulingKey, BatchEntry>,
    by_attempt: BTreeMap<AttemptId, SchedulingKey>,
    arrival_count: u64,
    reserved_tokens: u64,
}

impl Batch {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// KV cache reserved outside grants, in tokens.
    pub(crate) fn reserved_tokens(&self) -> u64 {
        self.reserved_tokens
    }

    pub(crate) fn running(&self) -> usize {
        let running = |entry: &&BatchEntry| entry.admitted && !entry.suspended;
        self.entries.values().filter(running).count()
    }

    pub(crate) fn add(&mut self, now: Duration, startable_at: Duration, work: Work, prefill: u64) {
        let priority = match &work {
            Work::Request(request) => request.priority,
            Work::Segment(_) => SEGMENT_PRIORITY,
        };
        self.arrival_count += 1;
        let key = (priority, self.arrival_count);
        if let Work::Request(request) = &work {
            self.by_attempt.insert(request.attempt.clone(), key);
        }
        let entry = BatchEntry {
            work,
            arrived_at: now,
            startable_at,
            admitted: false,
            suspended: false,
            connected: true,
            reserved_tokens: 0,
            prefill_tokens_left: prefill,
            generated_tokens: 0,
        };
        self.entries.insert(key, entry);
    }

    pub(crate) fn get_mut(&mut self, key: SchedulingKey) -> Option<&mut BatchEntry> {
        self.entries.get_mut(&key)
    }

    pub(crate) fn find(&mut self, attempt: &str) -> Option<&mut BatchEntry> {
        let key = self.by_attempt.get(attempt)?;
        self.entries.get_mut(key)
    }

    pub(crate) fn key_of(&self, attempt: &str) -> Option<SchedulingKey> {
        self.by_attempt.get(attempt).copied()
    }

    pub(crate) fn has_segment(&self, grant: &str, segment: u32) -> bool {
        self.entries.values().any(|entry| match &entry.work {
            Work::Segment(work) => &*work.grant == grant && work.segment == segment,
            Work::Request(_) => false,
        })
    }

    pub(crate) fn remove(&mut self, key: SchedulingKey) -> Option<BatchEntry> {
        let entry = self.entries.remove(&key)?;
        self.reserved_tokens -= entry.reserved_tokens;
        if let Some(request) = entry.request() {
            self.by_attempt.remove(&request.attempt);
        }
        Some(entry)
    }

    /// Removes and returns all entries.
    pub(crate) fn drain(&mut self) -> Vec<BatchEntry> {
        self.by_attempt.clear();
        self.reserved_tokens = 0;
        std::mem::take(&mut self.entries).into_values().collect()
    }

    /// Admits waiting entries in scheduling order until one needs more than the free memory.
    pub(crate) fn admit(&mut self, now: Duration, mut free: u64) {
        for entry in self.entries.values_mut() {
            if entry.admitted || entry.startable_at > now {
                continue;
            }
            let required = match &entry.work {
                Work::Request(request) if request.grant.is_none() => {
                    request.prompt_tokens + request.max_tokens
                }
                _ => 0,
            };
            if required > free {
                return;
            }
            free -= required;
            entry.reserved_tokens = required;
            entry.admitted = true;
            self.reserved_tokens += required;
        }
    }

    /// Plans a step that prefills at most `chunk_tokens` tokens, most urgent entries first.
    pub(crate) fn plan_step(&self, mut chunk_tokens: u64) -> Step {
        let mut step = Step::default();
        let active = |entry: &BatchEntry| entry.admitted && !entry.suspended;
        for (key, entry) in self.entries.iter().filter(|(_, entry)| active(entry)) {
            if entry.prefill_tokens_left == 0 {
                step.decode.push(*key);
            } else if chunk_tokens > 0 {
                let tokens = entry.prefill_tokens_left.min(chunk_tokens);
                chunk_tokens -= tokens;
                step.prefill.push((*key, tokens));
            }
        }
        step
    }

    /// Earliest end of an import that a waiting entry depends on; none if there is no such import.
    pub(crate) fn next_startable_at(&self, now: Duration) -> Option<Duration> {
        let waiting = self.entries.values().filter(|entry| !entry.admitted);
        let times = waiting
            .map(|entry| entry.startable_at)
            .filter(|at| *at > now);
        times.min()
    }

    /// Postpones the start of all entries that are not admitted yet.
    pub(crate) fn delay_waiting(&mut self, by: Duration) {
        for entry in self.entries.values_mut().filter(|entry| !entry.admitted) {
            entry.startable_at += by;
        }
    }

    /// KV cache reserved by requests whose connection is closed, in tokens.
    pub(crate) fn disconnected_tokens(&self) -> u64 {
        let disconnected = self.entries.values().filter(|entry| !entry.connected);
        disconnected.map(|entry| entry.reserved_tokens).sum()
    }

    pub(crate) fn reservations(&self, now: Duration) -> impl Iterator<Item = EngineReservation> {
        self.entries.values().filter_map(move |entry| {
            let request = entry.request()?;
            Some(EngineReservation {
                id: request.attempt.clone(),
                kind: ReservationKind::Request,
                tokens: entry.reserved_tokens,
                age_ms: now.saturating_sub(entry.arrived_at).as_millis() as u64,
            })
        })
    }
}
