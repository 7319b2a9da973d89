//! Jobs that were given to the backend server, and what their progress shows of it.

use crate::job::{Job, LengthClass, PrefillLevel};
use crate::queue::Waiting;
use crate::rates::{Pace, Rates};
use proto::{AttemptId, Tokens};
use std::collections::BTreeMap;
use std::time::Duration;

const SHARED_PREFILL_FACTOR: f64 = 2.0;
const TOKENS_OF_WINDOW: Tokens = 8;
const WHOLE_WEIGHT: f64 = 0.1;
const FEW_WHOLE: f64 = 0.01;

/// A job that the backend server has.
#[derive(Debug)]
pub struct Running {
    /// The job.
    pub job: Job,
    /// Its class.
    pub class: LengthClass,
    /// Its level.
    pub level: PrefillLevel,
    /// Its priority in the engine.
    pub priority: u8,
    /// When it was dispatched.
    pub since: Duration,
    /// Whether its first token came.
    pub answering: bool,
    /// When the tokens began that the time between tokens is next learned from.
    pub window_since: Duration,
    /// Tokens of its answer so far.
    pub produced: Tokens,
    /// When it was suspended; none where it is not.
    pub suspended_at: Option<Duration>,
    /// Whole time of earlier suspensions.
    pub suspended: Duration,
    /// Whether its answer comes in one piece.
    pub whole: bool,
    /// Until when it holds its place after a cancel; none where it was not cancelled.
    pub cancelled_until: Option<Duration>,
    window_tokens: Tokens,
    prefilled_before: f64,
    prefills_alone: bool,
    flagged: bool,
}

impl Running {
    /// Whether its prefill is still to be done.
    pub fn is_in_prefill(&self) -> bool {
        !self.answering && self.cancelled_until.is_none()
    }

    /// Time since dispatch without suspensions.
    pub fn active_time(&self, now: Duration) -> Duration {
        let current = self
            .suspended_at
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        now.saturating_sub(self.since)
            .saturating_sub(self.suspended)
            .saturating_sub(current)
    }

    /// Whole time of suspensions.
    pub fn suspended_time(&self, now: Duration) -> Duration {
        let current = self
            .suspended_at
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        self.suspended + current
    }
}

/// All jobs that the backend server has.
#[derive(Debug)]
pub struct RunningJobs {
    jobs: BTreeMap<AttemptId, Running>,
    prefilled: f64,
    whole_share: f64,
}

impl Default for RunningJobs {
    fn default() -> Self {
        Self {
            jobs: BTreeMap::new(),
            prefilled: 0.0,
            whole_share: 1.0,
        }
    }
}

impl RunningJobs {
    /// Jobs, cancelled ones that still hold their place included.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// All jobs.
    pub fn iter(&self) -> impl Iterator<Item = (&AttemptId, &Running)> {
        self.jobs.iter()
    }

    /// One job.
    pub fn get_mut(&mut self, attempt: AttemptId) -> Option<&mut Running> {
        self.jobs.get_mut(&attempt)
    }

    /// Removes a job.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<Running> {
        self.jobs.remove(&attempt)
    }

    /// Removes the jobs that `gone` holds for.
    pub fn drain_where(&mut self, mut gone: impl FnMut(&Running) -> bool) -> Vec<Running> {
        self.jobs
            .extract_if(.., |_, running| gone(running))
            .map(|(_, running)| running)
            .collect()
    }

    /// Adds a job at its dispatch.
    pub fn insert(&mut self, now: Duration, waiting: Waiting, priority: u8) {
        let Waiting {
            job, class, level, ..
        } = waiting;
        let prefills_alone = !self.jobs.values().any(Running::is_in_prefill);
        let running = Running {
            class,
            level,
            priority,
            since: now,
            answering: false,
            window_since: now,
            window_tokens: 0,
            produced: 0,
            suspended_at: None,
            suspended: Duration::ZERO,
            whole: false,
            cancelled_until: None,
            prefilled_before: self.prefilled,
            prefills_alone,
            flagged: job.has_span_grant,
            job,
        };
        self.jobs.insert(running.job.attempt, running);
    }

    /// Prompt tokens of prompts not longer than `level` that the engine has yet to prefill.
    pub fn prefill_tokens(&self, level: PrefillLevel) -> Tokens {
        self.jobs
            .values()
            .filter(|running| running.is_in_prefill() && running.level <= level)
            .map(|running| running.job.prefill_tokens())
            .sum()
    }

    /// Prefills that the engine does before that of a job of that priority: how many, and tokens.
    pub fn prefill_before(&self, priority: u8) -> (usize, Tokens) {
        let before = |r: &&Running| r.is_in_prefill() && r.priority <= priority;
        let jobs = self.jobs.values().filter(before);
        jobs.fold((0, 0), |(count, tokens), running| {
            (count + 1, tokens + running.job.prefill_tokens())
        })
    }

    /// Whether a job of that priority would overtake a prefill in the engine.
    pub fn would_overtake(&self, priority: u8) -> bool {
        let later = |r: &Running| r.is_in_prefill() && r.priority > priority;
        self.jobs.values().any(later)
    }

    /// Jobs of at least that class in the batch; suspended ones are not.
    pub fn batched(&self, class: LengthClass) -> u32 {
        let found = self
            .jobs
            .values()
            .filter(|running| running.class >= class && running.suspended_at.is_none());
        found.count() as u32
    }

    /// Whether a prefill shorter than a long one is still to be done.
    pub fn has_shorter_prefill(&self) -> bool {
        let shorter = |r: &Running| r.is_in_prefill() && r.class < LengthClass::Long;
        self.jobs.values().any(shorter)
    }

    /// The long prefill that runs or is suspended.
    pub fn long_prefill(&self) -> Option<&Running> {
        self.jobs
            .values()
            .find(|running| running.class >= LengthClass::Long && running.is_in_prefill())
    }

    /// Takes the first token of an answer and learns from its prefill. None where that shows
    /// nothing of the server's pace.
    pub fn on_first_token(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        rates: &mut Rates,
    ) -> Option<Pace> {
        let is_silent = rates.is_silent();
        let shared = if is_silent {
            1.0
        } else {
            self.shared_factor(attempt)
        };
        let running = self.jobs.get_mut(&attempt)?;
        if running.answering {
            return None;
        }
        running.answering = true;
        running.window_since = now;
        let tokens = running.job.prefill_tokens() as f64;
        let work = self.prefilled - running.prefilled_before + tokens;
        self.prefilled += tokens;
        let known = running.whole || running.flagged || running.job.model.is_none();
        if known {
            return None;
        }
        let elapsed = running.active_time(now).div_f64(shared);
        let pace = rates.on_prefill(work, elapsed);
        // Part of what was in prefill at the dispatch had been done, so the work is overrated.
        let proves_nothing = is_silent && !running.prefills_alone && pace == Pace::Usual;
        Some(if proves_nothing { Pace::Strained } else { pace })
    }

    /// Takes more tokens of an answer.
    pub fn on_progress(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        tokens: Tokens,
        rates: &mut Rates,
    ) -> Option<Pace> {
        let running = self.jobs.get_mut(&attempt)?;
        running.produced += tokens;
        running.window_tokens += tokens;
        if running.whole || running.window_tokens < TOKENS_OF_WINDOW {
            return None;
        }
        let elapsed = now.saturating_sub(running.window_since);
        let tokens = std::mem::take(&mut running.window_tokens);
        running.window_since = now;
        Some(rates.on_tokens(tokens, elapsed))
    }

    /// The jobs in prefill whose time shows already that the server is slow, each reported once.
    pub fn find_overdue(&mut self, now: Duration, rates: &mut Rates) -> Option<Duration> {
        let mut since = None;
        let outstanding = self.prefill_tokens(PrefillLevel::MAX) as f64;
        let prefilled = self.prefilled;
        let whole_share = self.whole_share;
        for running in self.jobs.values_mut().filter(|r| r.is_in_prefill()) {
            let unknown = running.flagged || running.whole || running.job.model.is_none();
            if unknown || running.suspended_at.is_some() {
                continue;
            }
            let work = prefilled - running.prefilled_before + outstanding;
            let decode = answer_time(whole_share, running, rates);
            let elapsed = running.active_time(now).saturating_sub(decode);
            if rates.is_overdue(work, elapsed) {
                running.flagged = true;
                since = since.max(Some(running.since));
            }
        }
        since
    }

    /// When the next prefill becomes overdue.
    pub fn next_overdue(&self, rates: &Rates) -> Option<Duration> {
        let outstanding = self.prefill_tokens(PrefillLevel::MAX) as f64;
        self.jobs
            .values()
            .filter(|r| r.is_in_prefill() && !r.flagged && !r.whole && r.job.model.is_some())
            .filter(|r| r.suspended_at.is_none())
            .map(|r| {
                let work = self.prefilled - r.prefilled_before + outstanding;
                let decode = answer_time(self.whole_share, r, rates);
                r.since + r.suspended + decode + rates.overdue_after(work)
            })
            .min()
    }

    /// Takes the end of a whole answer, which shows whether answers come in one piece here.
    pub fn on_end(&mut self, running: &Running) {
        let whole = if running.answering { 0.0 } else { 1.0 };
        self.whole_share += WHOLE_WEIGHT * (whole - self.whole_share);
    }

    fn shared_factor(&self, attempt: AttemptId) -> f64 {
        let shared = self.jobs.iter().any(|(other, running)| {
            *other != attempt && running.is_in_prefill() && running.suspended_at.is_none()
        });
        if shared { SHARED_PREFILL_FACTOR } else { 1.0 }
    }
}

/// Time that the answer itself may take before anything of it is seen.
fn answer_time(whole_share: f64, running: &Running, rates: &Rates) -> Duration {
    if whole_share <= FEW_WHOLE {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(rates.interval().as_secs_f64() * running.job.output_tokens as f64)
}
