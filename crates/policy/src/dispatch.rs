//! What the scheduler gives up, gives to the backend server, suspends and resumes.

use crate::job::LengthClass;
use crate::memory_share::max_long_jobs;
use crate::queue::{Waiting, seconds_between};
use crate::running::Running;
use crate::scheduler::{CANCEL_GRACE, PRESSED_RETRY_AFTER, Scheduler};
use crate::scheduler_types::{AbortReason, Action};
use proto::RefusalReason;
use proto::prelude::*;

/// One prefill waits in the engine behind another, so that no step is lost between them.
const PREFILLS_AHEAD: usize = 2;
const PREFILL_WINDOW: Duration = Duration::from_millis(250);
const LEAST_DECODE_PART: f64 = 0.25;
const LEAST_PREFILL_PART: f64 = 0.75;
const URGENT_SLACK_SECONDS: f64 = 1.0;
const OVER_SHARE_PRIORITY: u8 = 4;
const LAST_PRIORITY: u8 = 9;
const SUSPENDING_SLACK_PART: f64 = 0.25;

/// Whether there is room for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Room {
    Free,
    NoMemory,
    NoTurn,
}

impl Scheduler {
    /// Latest moment to dispatch a job that waits.
    pub(crate) fn latest_start(&self, waiting: &Waiting) -> Duration {
        let job = &waiting.job;
        if job.model.is_none() {
            return job.deadline;
        }
        let (prefill, decode) = if waiting.is_probe {
            self.rates
                .warm_times(job.prefill_tokens(), job.output_tokens)
        } else {
            self.rates.times(job.prefill_tokens(), job.output_tokens)
        };
        let least = LEAST_PREFILL_PART * prefill + LEAST_DECODE_PART * decode;
        before(job.deadline, least)
    }

    /// When a running job is given up or its place is free again.
    pub(crate) fn latest_abort(&self, running: &Running) -> Duration {
        if let Some(until) = running.cancelled_until {
            return until;
        }
        if running.answering || running.job.model.is_none() {
            return running.job.deadline;
        }
        let (_, decode) = self.rates.warm_times(0, running.job.output_tokens);
        before(running.job.deadline, LEAST_DECODE_PART * decode)
    }

    /// Gives up what can't finish in its time, and waiting jobs where no work may run any more.
    pub(crate) fn expire(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.refuse_late(now, out);
        self.abort_late(now, out);
        for running in self
            .running
            .drain_where(|running| running.cancelled_until.is_some_and(|until| until <= now))
        {
            self.memory
                .release(running.class, running.job.memory_tokens());
        }
    }

    fn refuse_late(&mut self, now: Duration, out: &mut Vec<Action>) {
        let closed = self.closed();
        let late: Vec<AttemptId> = self
            .queue
            .iter()
            .filter(|waiting| closed.is_some() || self.latest_start(waiting) <= now)
            .map(|waiting| waiting.job.attempt)
            .collect();
        let reason = closed.unwrap_or(RefusalReason::TooLate);
        for attempt in late {
            self.queue.remove(attempt);
            self.refuse(now, attempt, reason, PRESSED_RETRY_AFTER, out);
        }
    }

    /// Refuses waiting jobs that a limit which has just fallen keeps from ending in time.
    pub(crate) fn reassess(&mut self, now: Duration, out: &mut Vec<Action>) {
        let places = f64::from(self.limit.current(now).max(1));
        let turn = self.rates.residence().as_secs_f64() / places;
        let mean = self.usage.mean(now);
        let order = self.queue.ordered(now, &self.usage, mean);
        let mut ahead = self.running.len() as f64;
        for attempt in order {
            let Some(waiting) = self.queue.get(attempt) else {
                continue;
            };
            let latest = self.latest_start(waiting);
            if seconds_between(now, latest) > ahead * turn {
                ahead += 1.0;
                continue;
            }
            self.queue.remove(attempt);
            let reason = RefusalReason::ColdStart;
            self.refuse(now, attempt, reason, PRESSED_RETRY_AFTER, out);
        }
    }

    fn abort_late(&mut self, now: Duration, out: &mut Vec<Action>) {
        let late: Vec<AttemptId> = self
            .running
            .iter()
            .filter(|(_, running)| running.cancelled_until.is_none())
            .filter(|(_, running)| self.latest_abort(running) <= now)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in late {
            let Some(running) = self.running.get_mut(attempt) else {
                continue;
            };
            running.cancelled_until = Some(now + CANCEL_GRACE);
            let time_up = running.job.deadline <= now;
            let reason = if time_up {
                AbortReason::TimeUp
            } else {
                AbortReason::TooSlow
            };
            out.push(Action::Abort {
                attempt,
                reason,
                retry_after: PRESSED_RETRY_AFTER,
            });
        }
    }

    /// Gives jobs to the backend server as far as it bears them.
    pub(crate) fn dispatch(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.closed().is_some() || !self.has_place(now) {
            return;
        }
        let mean = self.usage.mean(now);
        let mut long_waits_for_memory = false;
        for attempt in self.queue.ordered(now, &self.usage, mean) {
            if !self.has_place(now) {
                return;
            }
            let Some(waiting) = self.queue.get(attempt) else {
                continue;
            };
            let is_long = waiting.class >= LengthClass::Long;
            match self.room_for(now, waiting, long_waits_for_memory) {
                Room::Free => self.start(now, attempt, out),
                Room::NoMemory if is_long => long_waits_for_memory = true,
                Room::NoMemory | Room::NoTurn => {}
            }
        }
    }

    fn has_place(&self, now: Duration) -> bool {
        self.running.len() < self.limit.current(now) as usize
    }

    fn room_for(&self, now: Duration, waiting: &Waiting, long_waits_for_memory: bool) -> Room {
        let tokens = waiting.job.memory_tokens();
        let is_long = waiting.class >= LengthClass::Long;
        if !self.has_turn(now, waiting) {
            Room::NoTurn
        } else if !self.memory.fits(waiting.class, tokens) {
            Room::NoMemory
        } else if !is_long && long_waits_for_memory && !self.memory.fits_short_reserve(tokens) {
            Room::NoTurn
        } else {
            Room::Free
        }
    }

    fn has_turn(&self, now: Duration, waiting: &Waiting) -> bool {
        if waiting.class >= LengthClass::Long {
            let room = max_long_jobs(self.limit.current(now));
            return self.running.long_prefill().is_none()
                && self.running.batched(LengthClass::Long) < room;
        }
        let priority = self.priority_of(now, waiting);
        if self.running.would_overtake(priority) && !self.overtaking.allows(now) {
            return false;
        }
        let (count, ahead) = self.running.prefill_before(priority);
        let work = ahead + waiting.job.prefill_tokens();
        count < PREFILLS_AHEAD
            || self.rates.prefill_time(work as f64) <= PREFILL_WINDOW.as_secs_f64()
    }

    fn start(&mut self, now: Duration, attempt: AttemptId, out: &mut Vec<Action>) {
        let Some(waiting) = self.queue.remove(attempt) else {
            return;
        };
        let priority = self.priority_of(now, &waiting);
        let prefill_seconds = waiting.prefill_seconds;
        if waiting.class < LengthClass::Long {
            self.suspend_long(now, out);
        }
        if self.running.would_overtake(priority) {
            self.overtaking.add(now, prefill_seconds);
        }
        self.shares.add(now, waiting.level, prefill_seconds);
        let places = f64::from(self.limit.current(now).max(1));
        let seconds = prefill_seconds + (waiting.service_seconds - prefill_seconds) / places;
        let job = &waiting.job;
        self.usage.charge(now, &job.team, job.weight, seconds);
        self.memory.reserve(waiting.class, job.memory_tokens());
        self.running.insert(now, waiting, priority);
        out.push(Action::Dispatch { attempt, priority });
    }

    fn priority_of(&self, now: Duration, waiting: &Waiting) -> u8 {
        let base = waiting.level;
        if waiting.class < LengthClass::Long && waiting.slack(now) < URGENT_SLACK_SECONDS {
            return base.min(1);
        }
        let is_over = self.usage.excess(self.usage.mean(now), &waiting.job.team) > 0.0;
        let penalty = if is_over { OVER_SHARE_PRIORITY } else { 0 };
        (base + penalty).min(LAST_PRIORITY)
    }

    fn suspend_long(&mut self, now: Duration, out: &mut Vec<Action>) {
        let Some(attempt) = self.long_to_suspend(now) else {
            return;
        };
        if let Some(running) = self.running.get_mut(attempt) {
            running.suspended_at = Some(now);
            out.push(Action::Suspend(attempt));
        }
    }

    fn long_to_suspend(&self, now: Duration) -> Option<AttemptId> {
        let running = self.running.long_prefill()?;
        let may = self.facts.can_suspend
            && !running.job.has_span_grant
            && running.suspended_at.is_none()
            && self.suspension_left(running, now) > Duration::ZERO;
        may.then_some(running.job.attempt)
    }

    /// How long a long prefill may still be suspended: not longer than it ran, nor so long that it
    /// comes close to its deadline.
    fn suspension_left(&self, running: &Running, now: Duration) -> Duration {
        let by_turns = running
            .active_time(now)
            .saturating_sub(running.suspended_time(now));
        let whole = seconds_between(running.since, running.job.deadline);
        let work = self.rates.prefill_time(running.job.prefill_tokens() as f64)
            + self.rates.decode_time(running.job.output_tokens as f64);
        let kept = before(running.job.deadline, work + SUSPENDING_SLACK_PART * whole);
        by_turns.min(kept.saturating_sub(now))
    }

    /// When the suspension of a long prefill ends at the latest.
    pub(crate) fn suspension_end(&self) -> Option<Duration> {
        let running = self.running.long_prefill()?;
        let at = running.suspended_at?;
        Some(at + self.suspension_left(running, at))
    }

    /// Resumes a long prefill once no shorter one is in its way, or when it was held long enough.
    pub(crate) fn resume(&mut self, now: Duration, out: &mut Vec<Action>) {
        let is_due = self.suspension_end().is_some_and(|end| end <= now);
        let is_alone = !self.running.has_shorter_prefill();
        if !is_due && !is_alone {
            return;
        }
        let Some(attempt) = self.running.long_prefill().map(|long| long.job.attempt) else {
            return;
        };
        if let Some(running) = self.running.get_mut(attempt)
            && let Some(at) = running.suspended_at.take()
        {
            running.suspended += now.saturating_sub(at);
            out.push(Action::Resume(attempt));
        }
    }
}

fn before(deadline: Duration, seconds: f64) -> Duration {
    let span = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
    deadline.saturating_sub(span)
}
