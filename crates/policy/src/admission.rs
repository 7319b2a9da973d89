//! Predicts whether a job can finish by its deadline, and when to retry if not.

use crate::queue::TeamBacklog;
use std::collections::BTreeMap;
use std::time::Duration;

/// Fraction of a job's slack that its predicted wait may take up. The slack is the time until the
/// deadline without the service time.
const MAX_WAIT_FRACTION: f64 = 0.5;
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// State of the backend server at the admission of a job.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionState {
    /// Seconds of prefill that the engine has to do before the job's own.
    pub prefill_ahead_seconds: f64,
    /// Number of jobs that can be dispatched immediately.
    pub free_slots: f64,
    /// Mean seconds between two jobs that end while all slots are in use.
    pub seconds_per_slot: f64,
    /// Fraction of the prefill time that shorter prompts take in the meantime.
    pub shorter_prefill_share: f64,
}

/// Predicted times of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Seconds until its prefill starts.
    pub wait: f64,
    /// Seconds from the start of its prefill to the end of the job.
    pub service: f64,
}

impl Forecast {
    /// Predicts the wait behind `backlog`. The work of other teams counts only in proportion to
    /// their weights, since no team has to wait for another team's flood of requests.
    pub fn new(
        state: &AdmissionState,
        backlog: &BTreeMap<&str, TeamBacklog>,
        team: &str,
        weight: f64,
        prefill: f64,
        decode: f64,
    ) -> Self {
        let own = backlog.get(team).copied().unwrap_or_default();
        let (mut jobs, mut seconds) = (own.jobs, own.seconds);
        for (_, other) in backlog.iter().filter(|(name, _)| **name != team) {
            let ratio = other.weight / weight;
            jobs += other.jobs.min((own.jobs + 1.0) * ratio);
            seconds += other.seconds.min((own.seconds + prefill) * ratio);
        }
        Self::from_work(state, jobs, seconds, prefill, decode)
    }

    fn from_work(
        state: &AdmissionState,
        jobs: f64,
        seconds: f64,
        prefill: f64,
        decode: f64,
    ) -> Self {
        let own_fraction = 1.0 - state.shorter_prefill_share;
        let prefill_wait = (state.prefill_ahead_seconds + seconds) / own_fraction;
        let missing_slots = jobs + 1.0 - state.free_slots;
        let slot_wait = missing_slots.max(0.0) * state.seconds_per_slot;
        Self {
            wait: prefill_wait.max(slot_wait),
            service: prefill / own_fraction + decode,
        }
    }

    /// Predicts the wait behind all of `backlog`.
    pub fn behind_all(state: &AdmissionState, backlog: &BTreeMap<&str, TeamBacklog>) -> Self {
        let jobs: f64 = backlog.values().map(|team| team.jobs).sum();
        let seconds: f64 = backlog.values().map(|team| team.seconds).sum();
        Self::from_work(state, jobs, seconds, 0.0, 0.0)
    }

    /// Whether the job can be expected to finish within `remaining` seconds, the time until its
    /// deadline.
    pub fn meets_deadline(&self, remaining: f64) -> bool {
        self.wait <= MAX_WAIT_FRACTION * (remaining - self.service)
    }

    /// Delay after which a retry could meet the deadline.
    pub fn retry_after(&self, remaining: f64) -> Duration {
        let excess = self.wait - MAX_WAIT_FRACTION * (remaining - self.service).max(0.0);
        Duration::try_from_secs_f64(excess)
            .unwrap_or_default()
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
