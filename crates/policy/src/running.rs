//! Jobs that run at the backend server, and the latency samples taken from them.

use crate::job::{Job, LengthClass, PrefillLevel};
use crate::queue::QueuedJob;
use crate::rates::{LatencyClass, Rates};
use proto::{AttemptId, Tokens};
use std::collections::BTreeMap;
use std::time::Duration;

/// A prefill is assumed to take this many times longer while another one runs beside it.
const SHARED_PREFILL_FACTOR: f64 = 2.0;
/// Tokens over which one sample of the time between tokens is taken.
const TOKENS_PER_SAMPLE: Tokens = 8;
/// Weight of the latest answer in the share of non-streaming answers.
const NON_STREAMING_WEIGHT: f64 = 0.1;
/// Up to this share of non-streaming answers, first tokens are expected right after the prefill.
const MIN_NON_STREAMING_SHARE: f64 = 0.01;

/// A job dispatched to the backend server.
#[derive(Debug)]
pub struct RunningJob {
    /// The job.
    pub job: Job,
    /// Length class, predicted on arrival.
    pub class: LengthClass,
    /// Prefill level, predicted on arrival.
    pub level: PrefillLevel,
    /// Priority in the engine; lower is more urgent.
    pub priority: u8,
    /// When the job was dispatched.
    pub dispatched_at: Duration,
    /// Whether the first token of the answer has arrived.
    pub answering: bool,
    /// Start of the current sample of the time between tokens.
    pub sample_start: Duration,
    /// Tokens of the answer so far.
    pub produced: Tokens,
    /// When the current suspension began; `None` if the job is not suspended.
    pub suspended_at: Option<Duration>,
    /// Total time of earlier suspensions.
    pub earlier_suspensions: Duration,
    /// Whether the answer arrives in one piece.
    pub non_streaming: bool,
    /// When the slot of a cancelled job becomes free at the latest; `None` if it was not cancelled.
    pub cancel_grace_end: Option<Duration>,
    sample_tokens: Tokens,
    /// Value of [`RunningJobs::prefilled_tokens`] at the dispatch.
    prefilled_at_dispatch: f64,
    /// Whether no other prefill was pending at the dispatch.
    dispatched_alone: bool,
    /// Set for parts of spans, and once the prefill was found overdue.
    latency_ignored: bool,
}

impl RunningJob {
    /// Whether the prefill is not finished yet.
    pub fn is_in_prefill(&self) -> bool {
        !self.answering && self.cancel_grace_end.is_none()
    }

    /// Time since dispatch, without suspensions.
    pub fn active_time(&self, now: Duration) -> Duration {
        let current = self
            .suspended_at
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        now.saturating_sub(self.dispatched_at)
            .saturating_sub(self.earlier_suspensions)
            .saturating_sub(current)
    }

    /// Total time of all suspensions.
    pub fn suspended_time(&self, now: Duration) -> Duration {
        let current = self
            .suspended_at
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        self.earlier_suspensions + current
    }
}

/// All jobs dispatched to the backend server.
#[derive(Debug)]
pub struct RunningJobs {
    jobs: BTreeMap<AttemptId, RunningJob>,
    /// Tokens of all prefills that have finished.
    prefilled_tokens: f64,
    /// Moving average of the share of answers that arrive in one piece.
    non_streaming_share: f64,
}

impl Default for RunningJobs {
    fn default() -> Self {
        Self {
            jobs: BTreeMap::new(),
            prefilled_tokens: 0.0,
            non_streaming_share: 1.0,
        }
    }
}

impl RunningJobs {
    /// Number of jobs, including cancelled ones that still keep their slot.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&AttemptId, &RunningJob)> {
        self.jobs.iter()
    }

    pub fn get_mut(&mut self, attempt: AttemptId) -> Option<&mut RunningJob> {
        self.jobs.get_mut(&attempt)
    }

    pub fn remove(&mut self, attempt: AttemptId) -> Option<RunningJob> {
        self.jobs.remove(&attempt)
    }

    /// Removes and returns the jobs for which `gone` is true.
    pub fn remove_where(&mut self, mut gone: impl FnMut(&RunningJob) -> bool) -> Vec<RunningJob> {
        self.jobs
            .extract_if(.., |_, running| gone(running))
            .map(|(_, running)| running)
            .collect()
    }

    /// Adds a job at its dispatch.
    pub fn insert(&mut self, now: Duration, waiting: QueuedJob, priority: u8) {
        let QueuedJob {
            job, class, level, ..
        } = waiting;
        let dispatched_alone = !self.jobs.values().any(RunningJob::is_in_prefill);
        let running = RunningJob {
            class,
            level,
            priority,
            dispatched_at: now,
            answering: false,
            sample_start: now,
            sample_tokens: 0,
            produced: 0,
            suspended_at: None,
            earlier_suspensions: Duration::ZERO,
            non_streaming: false,
            cancel_grace_end: None,
            prefilled_at_dispatch: self.prefilled_tokens,
            dispatched_alone,
            latency_ignored: job.has_span_grant,
            job,
        };
        self.jobs.insert(running.job.attempt, running);
    }

    /// Tokens that the engine still has to prefill, of prompts up to `level`.
    pub fn prefill_tokens(&self, level: PrefillLevel) -> Tokens {
        self.jobs
            .values()
            .filter(|running| running.is_in_prefill() && running.level <= level)
            .map(|running| running.job.prefill_tokens())
            .sum()
    }

    /// Number and tokens of the pending prefills that the engine runs before a job of `priority`.
    pub fn prefills_ahead(&self, priority: u8) -> (usize, Tokens) {
        let before = |r: &&RunningJob| r.is_in_prefill() && r.priority <= priority;
        let jobs = self.jobs.values().filter(before);
        jobs.fold((0, 0), |(count, tokens), running| {
            (count + 1, tokens + running.job.prefill_tokens())
        })
    }

    /// Whether a job of `priority` would overtake a pending prefill in the engine.
    pub fn would_overtake(&self, priority: u8) -> bool {
        let later = |r: &RunningJob| r.is_in_prefill() && r.priority > priority;
        self.jobs.values().any(later)
    }

    /// Number of jobs in the batch of at least `class`; suspended jobs are not in the batch.
    pub fn batched(&self, class: LengthClass) -> u32 {
        let batched = self
            .jobs
            .values()
            .filter(|running| running.class >= class && running.suspended_at.is_none());
        batched.count() as u32
    }

    /// Whether the prefill of a short or medium prompt is pending.
    pub fn has_short_or_medium_prefill(&self) -> bool {
        let shorter = |r: &RunningJob| r.is_in_prefill() && r.class < LengthClass::Long;
        self.jobs.values().any(shorter)
    }

    /// The long prefill that runs or is suspended.
    pub fn long_prefill(&self) -> Option<&RunningJob> {
        self.jobs
            .values()
            .find(|running| running.class >= LengthClass::Long && running.is_in_prefill())
    }

    /// Records the first token of an answer and learns from its prefill time. Returns `None` if
    /// that time says nothing about the speed of the server.
    pub fn on_first_token(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        rates: &mut Rates,
    ) -> Option<LatencyClass> {
        let warmth_unreported = rates.is_warmth_unreported();
        let shared = if warmth_unreported {
            1.0
        } else {
            self.sharing_factor(attempt)
        };
        let running = self.jobs.get_mut(&attempt)?;
        if running.answering {
            return None;
        }
        running.answering = true;
        running.sample_start = now;
        let tokens = running.job.prefill_tokens() as f64;
        let work = self.prefilled_tokens - running.prefilled_at_dispatch + tokens;
        self.prefilled_tokens += tokens;
        let is_ignored =
            running.non_streaming || running.latency_ignored || running.job.model.is_none();
        if is_ignored {
            return None;
        }
        let elapsed = running.active_time(now).div_f64(shared);
        let latency = rates.on_prefill(work, elapsed);
        // Part of the prefills pending at dispatch was already done, so `work` is an overestimate.
        let is_inconclusive =
            warmth_unreported && !running.dispatched_alone && latency == LatencyClass::Normal;
        Some(if is_inconclusive {
            LatencyClass::Elevated
        } else {
            latency
        })
    }

    /// Records more tokens of an answer. Returns their latency once a sample is complete.
    pub fn on_progress(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        tokens: Tokens,
        rates: &mut Rates,
    ) -> Option<LatencyClass> {
        let running = self.jobs.get_mut(&attempt)?;
        running.produced += tokens;
        running.sample_tokens += tokens;
        if running.non_streaming || running.sample_tokens < TOKENS_PER_SAMPLE {
            return None;
        }
        let elapsed = now.saturating_sub(running.sample_start);
        let tokens = std::mem::take(&mut running.sample_tokens);
        running.sample_start = now;
        Some(rates.on_tokens(tokens, elapsed))
    }

    /// Finds prefills that already take so long that the server must be slow, each of them only
    /// once. Returns the latest dispatch time among them.
    pub fn take_overdue(&mut self, now: Duration, rates: &mut Rates) -> Option<Duration> {
        let mut since = None;
        let outstanding = self.prefill_tokens(PrefillLevel::MAX) as f64;
        let prefilled = self.prefilled_tokens;
        let non_streaming_share = self.non_streaming_share;
        for running in self.jobs.values_mut().filter(|r| r.is_in_prefill()) {
            let is_ignored =
                running.latency_ignored || running.non_streaming || running.job.model.is_none();
            if is_ignored || running.suspended_at.is_some() {
                continue;
            }
            let work = prefilled - running.prefilled_at_dispatch + outstanding;
            let decode = unseen_decode_time(non_streaming_share, running, rates);
            let elapsed = running.active_time(now).saturating_sub(decode);
            if rates.is_overdue(work, elapsed) {
                running.latency_ignored = true;
                since = since.max(Some(running.dispatched_at));
            }
        }
        since
    }

    /// When the next prefill becomes overdue.
    pub fn next_overdue(&self, rates: &Rates) -> Option<Duration> {
        let outstanding = self.prefill_tokens(PrefillLevel::MAX) as f64;
        self.jobs
            .values()
            .filter(|r| {
                r.is_in_prefill() && !r.latency_ignored && !r.non_streaming && r.job.model.is_some()
            })
            .filter(|r| r.suspended_at.is_none())
            .map(|r| {
                let work = self.prefilled_tokens - r.prefilled_at_dispatch + outstanding;
                let decode = unseen_decode_time(self.non_streaming_share, r, rates);
                r.dispatched_at + r.earlier_suspensions + decode + rates.overdue_after(work)
            })
            .min()
    }

    /// Records the end of a complete answer, and whether it arrived in one piece.
    pub fn on_end(&mut self, running: &RunningJob) {
        let non_streaming = if running.answering { 0.0 } else { 1.0 };
        self.non_streaming_share +=
            NON_STREAMING_WEIGHT * (non_streaming - self.non_streaming_share);
    }

    fn sharing_factor(&self, attempt: AttemptId) -> f64 {
        let shared = self.jobs.iter().any(|(other, running)| {
            *other != attempt && running.is_in_prefill() && running.suspended_at.is_none()
        });
        if shared { SHARED_PREFILL_FACTOR } else { 1.0 }
    }
}

/// Time that decoding may take before the first token is seen; zero if hardly any answers arrive in
/// one piece.
fn unseen_decode_time(non_streaming_share: f64, running: &RunningJob, rates: &Rates) -> Duration {
    if non_streaming_share <= MIN_NON_STREAMING_SHARE {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(
        rates.decode_interval().as_secs_f64() * running.job.output_tokens as f64,
    )
}
