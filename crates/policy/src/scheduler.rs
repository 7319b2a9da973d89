//! The agent's authority over one backend server: admission, order, limits and cancellation.

use crate::admission::{Forecast, Pressure};
use crate::fairness::{Overtaking, PrefillShares, TeamUsage};
use crate::job::{Job, LengthClass, PrefillLevel, prefill_level};
use crate::memory_share::{EngineMemory, max_long_jobs};
use crate::queue::{JobQueue, Waiting, seconds_between};
use crate::rates::{Pace, Rates, WarmSpeed};
use crate::running::{Running, RunningJobs};
use crate::scheduler_types::{Action, EngineReport, Event, SchedulerConfig, ServerSettings};
use crate::warmth::WarmthLimit;
use proto::prelude::*;
use proto::{Refusal, RefusalReason, Warmth};

pub(crate) const PRESSED_RETRY_AFTER: Duration = Duration::from_millis(500);
pub(crate) const CANCEL_GRACE: Duration = Duration::from_millis(250);
const SHORT_LEVEL: PrefillLevel = 3;
const TOKENS_BETWEEN_EVIDENCE: Tokens = 32;

/// Decides what one backend server does next.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) cfg: SchedulerConfig,
    pub(crate) facts: ServerSettings,
    pub(crate) queue: JobQueue,
    pub(crate) running: RunningJobs,
    pub(crate) rates: Rates,
    pub(crate) limit: WarmthLimit,
    pub(crate) memory: EngineMemory,
    pub(crate) usage: TeamUsage,
    pub(crate) shares: PrefillShares,
    pub(crate) overtaking: Overtaking,
    sequence: u64,
    last: Duration,
}

impl Scheduler {
    /// A scheduler that presumes cold start and knows no configuration.
    pub fn new(cfg: SchedulerConfig) -> Self {
        Self {
            rates: Rates::new(cfg.default_warm_speed),
            cfg,
            facts: ServerSettings::default(),
            queue: JobQueue::default(),
            running: RunningJobs::default(),
            limit: WarmthLimit::new(),
            memory: EngineMemory::default(),
            usage: TeamUsage::default(),
            shares: PrefillShares::default(),
            overtaking: Overtaking::default(),
            sequence: 0,
            last: Duration::ZERO,
        }
    }

    /// Takes an event and appends actions to `out`.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        let only_progress = matches!(event, Event::Progress { .. });
        let limit = self.limit.current(now);
        self.last = now;
        match event {
            Event::Offer(job) => self.offer(now, job, out),
            Event::BodyComplete(attempt) => self.queue.set_ready(attempt),
            Event::FirstToken(attempt) => self.first_token(now, attempt),
            Event::Progress { attempt, tokens } => self.progress(now, attempt, tokens),
            Event::Ended { attempt, ok } => self.ended(now, attempt, ok),
            Event::Cancel(attempt) => self.cancel(now, attempt),
            Event::Rejected(attempt) => self.rejected(now, attempt, out),
            Event::NonStreaming(attempt) => self.whole(attempt),
            Event::GrantedMemory(tokens) => self.memory.set_granted(tokens),
            Event::Report(report) => self.report(now, &report),
            Event::SettingsChanged(facts) => self.set_facts(facts),
            Event::Tick => {}
        }
        if only_progress && limit == self.limit.current(now) {
            return;
        }
        self.notice_overdue(now);
        self.expire(now, out);
        if self.limit.current(now) < limit {
            self.reassess(now, out);
        }
        self.dispatch(now, out);
        self.resume(now, out);
    }

    /// When [`Event::Tick`] is due at the latest.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let waiting = self.queue.iter().map(|waiting| self.latest_start(waiting));
        let running = self
            .running
            .iter()
            .map(|(_, running)| self.latest_abort(running));
        waiting
            .chain(running)
            .chain(self.running.next_overdue(&self.rates))
            .chain(self.suspension_end())
            .chain(self.probe_time())
            .chain(self.overtaking_time())
            .min()
    }

    /// State of the backend server for gateways.
    pub fn hints(&mut self, now: Duration) -> Hints {
        self.sequence += 1;
        let pressure = self.pressure(now, LengthClass::Short, SHORT_LEVEL);
        let backlog = self.queue.backlog_of(SHORT_LEVEL);
        let forecast = Forecast::behind_all(&pressure, &backlog);
        let queued: Tokens = self.queue.iter().map(|w| w.job.prefill_tokens()).sum();
        Hints {
            server: self.cfg.server.clone(),
            epoch: self.facts.epoch,
            sequence: self.sequence,
            config: self.facts.config,
            warmth: self.limit.warmth(),
            queue_delay: Duration::from_secs_f64(forecast.wait),
            outstanding: self.outstanding() as u32,
            limit: self.limit.current(now),
            queued_tokens: queued + self.running.prefill_tokens(PrefillLevel::MAX),
            free_tokens: self.memory.free(),
            prefill_rate: self.rates.prefill(),
            decode_interval: self.rates.interval(),
            draining: self.facts.draining || self.facts.domain_out,
        }
    }

    /// Jobs that wait or run.
    pub fn outstanding(&self) -> usize {
        self.queue.len() + self.running.len()
    }

    /// Jobs that the backend server has, cancelled ones included until it let go of them.
    pub fn dispatched(&self) -> usize {
        self.running.len()
    }

    fn offer(&mut self, now: Duration, job: Job, out: &mut Vec<Action>) {
        let attempt = job.attempt;
        let waiting = self.expect(now, job);
        match self.refusal_of(now, &waiting) {
            Some((reason, retry_after)) => self.refuse(now, attempt, reason, retry_after, out),
            None => {
                if self.queue.len() >= self.cfg.queue_limit {
                    self.evict_for(now, &waiting.job, out);
                }
                self.queue.push(waiting);
                out.push(Action::Accept(attempt));
            }
        }
    }

    fn expect(&self, now: Duration, job: Job) -> Waiting {
        let is_probe = self.outstanding() < self.facts.cold_limit as usize;
        let (prefill_seconds, answer_seconds) = if job.model.is_none() {
            (0.0, self.rates.residence().as_secs_f64())
        } else if is_probe {
            self.rates
                .warm_times(job.prefill_tokens(), job.output_tokens)
        } else {
            self.rates.times(job.prefill_tokens(), job.output_tokens)
        };
        Waiting {
            class: LengthClass::of_prefill(prefill_seconds),
            level: prefill_level(prefill_seconds),
            is_probe,
            ready: false,
            since: now,
            prefill_seconds,
            service_seconds: prefill_seconds + answer_seconds,
            job,
        }
    }

    fn refusal_of(&self, now: Duration, waiting: &Waiting) -> Option<(RefusalReason, Duration)> {
        if let Some(reason) = self.closed() {
            return Some((reason, PRESSED_RETRY_AFTER));
        }
        let job = &waiting.job;
        if !self.memory.could_fit(job.memory_tokens()) {
            return Some((RefusalReason::NoMemory, PRESSED_RETRY_AFTER));
        }
        let remaining = seconds_between(now, job.deadline);
        let forecast = self.forecast(now, waiting);
        if !forecast.is_in_time(remaining) {
            let is_cold = self.limit.warmth() == Warmth::Cold;
            let reason = if is_cold && forecast.service < remaining {
                RefusalReason::ColdStart
            } else {
                RefusalReason::TooLate
            };
            return Some((reason, forecast.retry_after(remaining)));
        }
        let full = self.queue.len() >= self.cfg.queue_limit;
        let room = !full || self.queue.can_evict_for(&job.team, job.weight);
        (!room).then_some((RefusalReason::QueueFull, forecast.retry_after(remaining)))
    }

    pub(crate) fn closed(&self) -> Option<RefusalReason> {
        if self.facts.config == 0 {
            Some(RefusalReason::NoConfig)
        } else if self.facts.domain_out {
            Some(RefusalReason::DomainOut)
        } else if self.facts.draining {
            Some(RefusalReason::Draining)
        } else {
            None
        }
    }

    fn forecast(&self, now: Duration, waiting: &Waiting) -> Forecast {
        let pressure = self.pressure(now, waiting.class, waiting.level);
        Forecast::new(
            &pressure,
            &self.queue.backlog_before(now, waiting),
            &waiting.job.team,
            f64::from(waiting.job.weight.max(1)),
            waiting.prefill_seconds,
            waiting.service_seconds - waiting.prefill_seconds,
        )
    }

    fn pressure(&self, now: Duration, class: LengthClass, level: PrefillLevel) -> Pressure {
        let limit = self.limit.current(now);
        let ahead = self.running.prefill_tokens(level) as f64;
        let room = if class >= LengthClass::Long {
            max_long_jobs(limit).saturating_sub(self.running.batched(class))
        } else {
            limit.saturating_sub(self.running.len() as u32)
        };
        Pressure {
            engine_seconds: self.rates.prefill_time(ahead),
            free_slots: f64::from(room),
            slot_seconds: self.rates.residence().as_secs_f64() / f64::from(limit.max(1)),
            shorter_share: self.shares.share_before(now, level),
        }
    }

    fn evict_for(&mut self, now: Duration, job: &Job, out: &mut Vec<Action>) {
        if let Some(evicted) = self.queue.evict_for(&job.team, job.weight) {
            let attempt = evicted.job.attempt;
            let reason = RefusalReason::QueueFull;
            self.refuse(now, attempt, reason, PRESSED_RETRY_AFTER, out);
        }
    }

    pub(crate) fn refuse(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        reason: RefusalReason,
        retry_after: Duration,
        out: &mut Vec<Action>,
    ) {
        let refusal = Refusal {
            reason,
            retry_after,
            hints: Some(self.hints(now)),
        };
        out.push(Action::Refuse { attempt, refusal });
    }

    fn first_token(&mut self, now: Duration, attempt: AttemptId) {
        let since = self.running.get_mut(attempt).map(|running| running.since);
        let pace = self.running.on_first_token(now, attempt, &mut self.rates);
        if let (Some(since), Some(pace)) = (since, pace) {
            self.judge(now, since, pace);
        }
    }

    fn progress(&mut self, now: Duration, attempt: AttemptId, tokens: Tokens) {
        let Some(running) = self.running.get_mut(attempt) else {
            return;
        };
        let since = running.window_since;
        let before = running.produced / TOKENS_BETWEEN_EVIDENCE;
        let steps = (running.produced + tokens) / TOKENS_BETWEEN_EVIDENCE > before;
        let pace = self
            .running
            .on_progress(now, attempt, tokens, &mut self.rates);
        match pace {
            Some(Pace::Usual) if !steps => {}
            Some(pace) => self.judge(now, since, pace),
            None => {}
        }
    }

    /// Takes the pace that work begun at `since` shows. What began before the limit last fell
    /// says nothing new of a slow server.
    fn judge(&mut self, now: Duration, since: Duration, pace: Pace) {
        let is_new = self.limit.fell().is_none_or(|fell| since >= fell);
        match pace {
            Pace::Usual => self.limit.on_usual(now, self.running.len() as u32),
            Pace::Slow if is_new => self.limit.on_slow(now),
            Pace::Slow | Pace::Strained => {}
        }
    }

    fn notice_overdue(&mut self, now: Duration) {
        if let Some(since) = self.running.find_overdue(now, &mut self.rates) {
            self.judge(now, since, Pace::Slow);
        }
    }

    fn ended(&mut self, now: Duration, attempt: AttemptId, ok: bool) {
        let running_jobs = self.running.len() as u32;
        let Some(running) = self.release(attempt) else {
            self.queue.remove(attempt);
            return;
        };
        if running.cancelled_until.is_some() || running.job.has_span_grant {
            return;
        }
        if !ok {
            self.limit.on_slow(now);
            return;
        }
        let elapsed = running.active_time(now);
        let pace = self.pace_of_end(&running, elapsed);
        self.running.on_end(&running);
        self.rates
            .on_end(elapsed, running.produced, running.job.output_tokens);
        match pace {
            Pace::Usual => self.limit.on_usual(now, running_jobs),
            pace => self.judge(now, running.since, pace),
        }
    }

    fn pace_of_end(&self, running: &Running, elapsed: Duration) -> Pace {
        let job = &running.job;
        if running.answering && self.rates.is_silent() {
            // That an answer ended proves no warmth; the pace of its tokens did, or did not.
            Pace::Strained
        } else if running.answering {
            Pace::Usual
        } else if job.model.is_none() {
            self.rates.pace_of_service(elapsed)
        } else {
            let output = if self.rates.is_silent() {
                running.produced
            } else {
                job.output_tokens
            };
            self.rates
                .pace_of_whole(job.prefill_tokens(), output, elapsed)
        }
    }

    fn cancel(&mut self, now: Duration, attempt: AttemptId) {
        self.queue.remove(attempt);
        if let Some(running) = self.running.get_mut(attempt) {
            running.cancelled_until.get_or_insert(now + CANCEL_GRACE);
        }
    }

    fn rejected(&mut self, now: Duration, attempt: AttemptId, out: &mut Vec<Action>) {
        let Some(running) = self.release(attempt) else {
            return;
        };
        self.limit.on_rejected(now);
        if running.cancelled_until.is_none() {
            let reason = RefusalReason::ColdStart;
            self.refuse(now, attempt, reason, PRESSED_RETRY_AFTER, out);
        }
    }

    fn probe_time(&self) -> Option<Duration> {
        let due = self.limit.hold_until();
        (self.queue.len() > 0 && due > self.last).then_some(due)
    }

    fn overtaking_time(&self) -> Option<Duration> {
        let due = self.overtaking.allowed_at();
        (self.queue.len() > 0 && due > self.last).then_some(due)
    }

    fn whole(&mut self, attempt: AttemptId) {
        if let Some(running) = self.running.get_mut(attempt) {
            running.whole = true;
        }
    }

    fn report(&mut self, now: Duration, report: &EngineReport) {
        self.rates.set_silent(report.cold.is_none());
        self.limit.on_report(now, report.cold);
    }

    fn set_facts(&mut self, facts: ServerSettings) {
        self.limit.configure(facts.warm_limit, facts.cold_limit);
        self.memory.configure(facts.memory_tokens);
        let presumed = self.cfg.default_warm_speed;
        self.rates.declare(WarmSpeed {
            prefill_rate: facts.prefill_rate.unwrap_or(presumed.prefill_rate),
            decode_interval: facts.decode_interval.unwrap_or(presumed.decode_interval),
        });
        self.facts = facts;
    }

    pub(crate) fn release(&mut self, attempt: AttemptId) -> Option<Running> {
        let running = self.running.remove(attempt)?;
        self.memory
            .release(running.class, running.job.memory_tokens());
        Some(running)
    }
}
