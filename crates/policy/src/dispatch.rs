//! Dispatch, expiry, suspension and resumption of a scheduler's jobs.

use crate::engine_memory::max_long_jobs;
use crate::job::LengthClass;
use crate::queue::{QueuedJob, seconds_between};
use crate::running::RunningJob;
use crate::scheduler::{CANCEL_GRACE, DEFAULT_RETRY_AFTER, Scheduler};
use crate::scheduler_types::{AbortReason, SchedulerAction};
use proto::RefusalReason;
use proto::prelude::*;

/// One prefill waits in the engine behind another, so that the engine loses no step between them.
const PREFILL_PIPELINE_DEPTH: usize = 2;
/// More prefills may wait in the engine if all of them together take no longer than this.
const MAX_PREFILL_BACKLOG: Duration = Duration::from_millis(250);
/// Fractions of the predicted decode and prefill time that must fit in before a job's deadline.
const MIN_DECODE_FRACTION: f64 = 0.25;
const MIN_PREFILL_FRACTION: f64 = 0.75;
/// Short and medium prompts with less slack than this are dispatched with high priority.
const URGENT_SLACK_SECONDS: f64 = 1.0;
/// Added to the priority value of jobs of teams with excessive use.
const OVER_SHARE_PRIORITY_PENALTY: u8 = 4;
const LOWEST_PRIORITY: u8 = 9;
/// Fraction of a job's total time that must remain before its deadline after a suspension.
const SUSPENSION_SLACK_FRACTION: f64 = 0.25;

/// Whether a queued job may be dispatched now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DispatchCheck {
    Allowed,
    NoMemory,
    Blocked,
}

impl Scheduler {
    /// Latest time at which a queued job can start and still finish by its deadline.
    pub(crate) fn latest_start(&self, waiting: &QueuedJob) -> Duration {
        let job = &waiting.job;
        if job.model.is_none() {
            return job.deadline;
        }
        let (prefill, decode) = if waiting.is_probe {
            self.rates
                .warm_times(job.prefill_tokens(), job.output_tokens)
        } else {
            self.rates
                .current_times(job.prefill_tokens(), job.output_tokens)
        };
        let min_seconds = MIN_PREFILL_FRACTION * prefill + MIN_DECODE_FRACTION * decode;
        subtract_seconds(job.deadline, min_seconds)
    }

    /// When a running job must be aborted, or the slot of a cancelled one becomes free.
    pub(crate) fn abort_time(&self, running: &RunningJob) -> Duration {
        if let Some(until) = running.cancel_grace_end {
            return until;
        }
        if running.answering || running.job.model.is_none() {
            return running.job.deadline;
        }
        let (_, decode) = self.rates.warm_times(0, running.job.output_tokens);
        subtract_seconds(running.job.deadline, MIN_DECODE_FRACTION * decode)
    }

    /// Ends jobs that can no longer finish by their deadline, refuses all queued jobs while the
    /// server is closed to new work, and frees the slots of cancelled jobs after their grace
    /// period.
    pub(crate) fn expire(&mut self, now: Duration, out: &mut Vec<SchedulerAction>) {
        self.refuse_late(now, out);
        self.abort_late(now, out);
        for running in self
            .running
            .remove_where(|running| running.cancel_grace_end.is_some_and(|until| until <= now))
        {
            self.memory
                .release(running.class, running.job.memory_tokens());
        }
    }

    fn refuse_late(&mut self, now: Duration, out: &mut Vec<SchedulerAction>) {
        let closed_reason = self.closed_reason();
        let late: Vec<AttemptId> = self
            .queue
            .iter()
            .filter(|waiting| closed_reason.is_some() || self.latest_start(waiting) <= now)
            .map(|waiting| waiting.job.attempt)
            .collect();
        let reason = closed_reason.unwrap_or(RefusalReason::TooLate);
        for attempt in late {
            self.queue.remove(attempt);
            self.refuse(now, attempt, reason, DEFAULT_RETRY_AFTER, out);
        }
    }

    /// Refuses queued jobs that can no longer meet their deadline after the limit has dropped.
    pub(crate) fn refuse_after_limit_drop(
        &mut self,
        now: Duration,
        out: &mut Vec<SchedulerAction>,
    ) {
        let slots = f64::from(self.limit.current(now).max(1));
        let seconds_per_slot = self.rates.residence().as_secs_f64() / slots;
        let mean = self.usage.mean(now);
        let order = self.queue.ordered(now, &self.usage, mean);
        let mut ahead = self.running.len() as f64;
        for attempt in order {
            let Some(waiting) = self.queue.get(attempt) else {
                continue;
            };
            let latest = self.latest_start(waiting);
            if seconds_between(now, latest) > ahead * seconds_per_slot {
                ahead += 1.0;
                continue;
            }
            self.queue.remove(attempt);
            let reason = RefusalReason::ColdStart;
            self.refuse(now, attempt, reason, DEFAULT_RETRY_AFTER, out);
        }
    }

    fn abort_late(&mut self, now: Duration, out: &mut Vec<SchedulerAction>) {
        let late: Vec<AttemptId> = self
            .running
            .iter()
            .filter(|(_, running)| running.cancel_grace_end.is_none())
            .filter(|(_, running)| self.abort_time(running) <= now)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in late {
            let Some(running) = self.running.get_mut(attempt) else {
                continue;
            };
            running.cancel_grace_end = Some(now + CANCEL_GRACE);
            let is_time_up = running.job.deadline <= now;
            let reason = if is_time_up {
                AbortReason::TimeUp
            } else {
                AbortReason::TooSlow
            };
            out.push(SchedulerAction::Abort {
                attempt,
                reason,
                retry_after: DEFAULT_RETRY_AFTER,
            });
        }
    }

    /// Dispatches queued jobs as far as the concurrency limit, memory and pending prefills allow.
    pub(crate) fn dispatch(&mut self, now: Duration, out: &mut Vec<SchedulerAction>) {
        if self.closed_reason().is_some() || !self.has_free_slot(now) {
            return;
        }
        let mean = self.usage.mean(now);
        let mut long_waits_for_memory = false;
        for attempt in self.queue.ordered(now, &self.usage, mean) {
            if !self.has_free_slot(now) {
                return;
            }
            let Some(waiting) = self.queue.get(attempt) else {
                continue;
            };
            let is_long = waiting.class >= LengthClass::Long;
            match self.check_dispatch(now, waiting, long_waits_for_memory) {
                DispatchCheck::Allowed => self.dispatch_job(now, attempt, out),
                DispatchCheck::NoMemory if is_long => long_waits_for_memory = true,
                DispatchCheck::NoMemory | DispatchCheck::Blocked => {}
            }
        }
    }

    fn has_free_slot(&self, now: Duration) -> bool {
        self.running.len() < self.limit.current(now) as usize
    }

    fn check_dispatch(
        &self,
        now: Duration,
        waiting: &QueuedJob,
        long_waits_for_memory: bool,
    ) -> DispatchCheck {
        let tokens = waiting.job.memory_tokens();
        let is_long = waiting.class >= LengthClass::Long;
        if !self.may_start_prefill(now, waiting) {
            DispatchCheck::Blocked
        } else if !self.memory.fits(waiting.class, tokens) {
            DispatchCheck::NoMemory
        } else if !is_long && long_waits_for_memory && !self.memory.fits_short_reserve(tokens) {
            DispatchCheck::Blocked
        } else {
            DispatchCheck::Allowed
        }
    }

    fn may_start_prefill(&self, now: Duration, waiting: &QueuedJob) -> bool {
        if waiting.class >= LengthClass::Long {
            let max_long = max_long_jobs(self.limit.current(now));
            return self.running.long_prefill().is_none()
                && self.running.batched(LengthClass::Long) < max_long;
        }
        let priority = self.priority_of(now, waiting);
        if self.running.would_overtake(priority) && !self.overtake_budget.allows(now) {
            return false;
        }
        let (count, ahead) = self.running.prefills_ahead(priority);
        let work = ahead + waiting.job.prefill_tokens();
        count < PREFILL_PIPELINE_DEPTH
            || self.rates.prefill_seconds(work as f64) <= MAX_PREFILL_BACKLOG.as_secs_f64()
    }

    fn dispatch_job(&mut self, now: Duration, attempt: AttemptId, out: &mut Vec<SchedulerAction>) {
        let Some(waiting) = self.queue.remove(attempt) else {
            return;
        };
        let priority = self.priority_of(now, &waiting);
        let prefill_seconds = waiting.prefill_seconds;
        if waiting.class < LengthClass::Long {
            self.suspend_long_prefill(now, out);
        }
        if self.running.would_overtake(priority) {
            self.overtake_budget.add(now, prefill_seconds);
        }
        self.prefill_shares.add(now, waiting.level, prefill_seconds);
        let slots = f64::from(self.limit.current(now).max(1));
        let seconds = prefill_seconds + (waiting.service_seconds - prefill_seconds) / slots;
        let job = &waiting.job;
        self.usage.charge(now, &job.team, job.weight, seconds);
        self.memory.reserve(waiting.class, job.memory_tokens());
        self.running.insert(now, waiting, priority);
        out.push(SchedulerAction::Dispatch { attempt, priority });
    }

    fn priority_of(&self, now: Duration, waiting: &QueuedJob) -> u8 {
        let base = waiting.level;
        if waiting.class < LengthClass::Long && waiting.slack(now) < URGENT_SLACK_SECONDS {
            return base.min(1);
        }
        let is_over = self
            .usage
            .excess_shares(self.usage.mean(now), &waiting.job.team)
            > 0.0;
        let penalty = if is_over {
            OVER_SHARE_PRIORITY_PENALTY
        } else {
            0
        };
        (base + penalty).min(LOWEST_PRIORITY)
    }

    fn suspend_long_prefill(&mut self, now: Duration, out: &mut Vec<SchedulerAction>) {
        let Some(attempt) = self.suspendable_long_prefill(now) else {
            return;
        };
        if let Some(running) = self.running.get_mut(attempt) {
            running.suspended_at = Some(now);
            out.push(SchedulerAction::Suspend(attempt));
        }
    }

    fn suspendable_long_prefill(&self, now: Duration) -> Option<AttemptId> {
        let running = self.running.long_prefill()?;
        let is_allowed = self.settings.can_suspend
            && !running.job.has_span_grant
            && running.suspended_at.is_none()
            && self.suspension_left(running, now) > Duration::ZERO;
        is_allowed.then_some(running.job.attempt)
    }

    /// How much longer a long prefill may stay suspended: not longer in total than it has run, and
    /// not so long that it comes close to its deadline.
    fn suspension_left(&self, running: &RunningJob, now: Duration) -> Duration {
        let suspension_allowance = running
            .active_time(now)
            .saturating_sub(running.suspended_time(now));
        let total_seconds = seconds_between(running.dispatched_at, running.job.deadline);
        let service_seconds = self
            .rates
            .prefill_seconds(running.job.prefill_tokens() as f64)
            + self.rates.decode_seconds(running.job.output_tokens as f64);
        let latest_resume = subtract_seconds(
            running.job.deadline,
            service_seconds + SUSPENSION_SLACK_FRACTION * total_seconds,
        );
        suspension_allowance.min(latest_resume.saturating_sub(now))
    }

    /// When the suspension of a long prefill must end; `None` if no long prefill is suspended.
    pub(crate) fn suspension_end(&self) -> Option<Duration> {
        let running = self.running.long_prefill()?;
        let at = running.suspended_at?;
        Some(at + self.suspension_left(running, at))
    }

    /// Resumes a suspended long prefill once no shorter prefill is pending, or when its time in
    /// suspension is used up.
    pub(crate) fn resume(&mut self, now: Duration, out: &mut Vec<SchedulerAction>) {
        let is_due = self.suspension_end().is_some_and(|end| end <= now);
        let is_unobstructed = !self.running.has_short_or_medium_prefill();
        if !is_due && !is_unobstructed {
            return;
        }
        let Some(attempt) = self.running.long_prefill().map(|long| long.job.attempt) else {
            return;
        };
        if let Some(running) = self.running.get_mut(attempt)
            && let Some(at) = running.suspended_at.take()
        {
            running.earlier_suspensions += now.saturating_sub(at);
            out.push(SchedulerAction::Resume(attempt));
        }
    }
}

fn subtract_seconds(deadline: Duration, seconds: f64) -> Duration {
    let duration = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
    deadline.saturating_sub(duration)
}
