//! Scheduler of one backend server, run by the server's agent: admission, queue order, concurrency
//! limit and cancellation.

use crate::admission::{AdmissionState, Forecast};
use crate::concurrency_limit::ConcurrencyLimit;
use crate::engine_memory::{EngineMemory, max_long_jobs};
use crate::fairness::{OvertakeBudget, PrefillShares, TeamUsage};
use crate::job::{Job, LengthClass, PrefillLevel, prefill_level};
use crate::queue::{JobQueue, QueuedJob, seconds_between};
use crate::rates::{LatencyClass, Rates, WarmSpeed};
use crate::running::{RunningJob, RunningJobs};
use crate::scheduler_types::{
    EngineReport, SchedulerAction, SchedulerConfig, SchedulerEvent, ServerSettings,
};
use proto::prelude::*;
use proto::{Refusal, RefusalReason, Warmth};

/// Retry delay of refusals and aborts that have no forecast.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// How long a cancelled job keeps its slot while the backend server has not ended it.
pub(crate) const CANCEL_GRACE: Duration = Duration::from_millis(250);
/// Prompts up to this level determine the queue delay reported in hints.
const SHORT_PREFILL_LEVEL: PrefillLevel = 3;
/// Normal latency between tokens may raise the limit only once per this many tokens of an answer.
const TOKENS_PER_NORMAL_SAMPLE: Tokens = 32;

/// Admits, orders, dispatches and aborts the jobs of one backend server.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) cfg: SchedulerConfig,
    pub(crate) settings: ServerSettings,
    pub(crate) queue: JobQueue,
    pub(crate) running: RunningJobs,
    pub(crate) rates: Rates,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) memory: EngineMemory,
    pub(crate) usage: TeamUsage,
    pub(crate) prefill_shares: PrefillShares,
    pub(crate) overtake_budget: OvertakeBudget,
    hints_sequence: u64,
    last_event: Duration,
}

impl Scheduler {
    /// Creates a scheduler that assumes a cold start and refuses all jobs until it is configured.
    pub fn new(cfg: SchedulerConfig) -> Self {
        Self {
            rates: Rates::new(cfg.default_warm_speed),
            cfg,
            settings: ServerSettings::default(),
            queue: JobQueue::default(),
            running: RunningJobs::default(),
            limit: ConcurrencyLimit::new(),
            memory: EngineMemory::default(),
            usage: TeamUsage::default(),
            prefill_shares: PrefillShares::default(),
            overtake_budget: OvertakeBudget::default(),
            hints_sequence: 0,
            last_event: Duration::ZERO,
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Duration, event: SchedulerEvent, out: &mut Vec<SchedulerAction>) {
        let is_progress = matches!(event, SchedulerEvent::Progress { .. });
        let limit = self.limit.current(now);
        self.last_event = now;
        match event {
            SchedulerEvent::Offer(job) => self.on_offer(now, job, out),
            SchedulerEvent::BodyComplete(attempt) => self.queue.set_body_complete(attempt),
            SchedulerEvent::FirstToken(attempt) => self.on_first_token(now, attempt),
            SchedulerEvent::Progress { attempt, tokens } => self.on_progress(now, attempt, tokens),
            SchedulerEvent::Ended { attempt, ok } => self.on_ended(now, attempt, ok),
            SchedulerEvent::Cancel(attempt) => self.on_cancel(now, attempt),
            SchedulerEvent::Rejected(attempt) => self.on_rejected(now, attempt, out),
            SchedulerEvent::NonStreaming(attempt) => self.set_non_streaming(attempt),
            SchedulerEvent::GrantedMemory(tokens) => self.memory.set_granted(tokens),
            SchedulerEvent::Report(report) => self.on_report(now, &report),
            SchedulerEvent::SettingsChanged(settings) => self.apply_settings(settings),
            SchedulerEvent::Tick => {}
        }
        if is_progress && limit == self.limit.current(now) {
            return;
        }
        self.check_overdue(now);
        self.expire(now, out);
        if self.limit.current(now) < limit {
            self.refuse_after_limit_drop(now, out);
        }
        self.dispatch(now, out);
        self.resume(now, out);
    }

    /// Latest time at which [`SchedulerEvent::Tick`] is due; `None` while no timer is pending.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let waiting = self.queue.iter().map(|waiting| self.latest_start(waiting));
        let running = self
            .running
            .iter()
            .map(|(_, running)| self.abort_time(running));
        waiting
            .chain(running)
            .chain(self.running.next_overdue(&self.rates))
            .chain(self.suspension_end())
            .chain(self.backoff_end())
            .chain(self.overtake_time())
            .min()
    }

    /// Current state of the backend server for gateways, with the next sequence number.
    pub fn hints(&mut self, now: Duration) -> Hints {
        self.hints_sequence += 1;
        let state = self.admission_state(now, LengthClass::Short, SHORT_PREFILL_LEVEL);
        let backlog = self.queue.backlog_up_to(SHORT_PREFILL_LEVEL);
        let forecast = Forecast::behind_all(&state, &backlog);
        let queued: Tokens = self.queue.iter().map(|w| w.job.prefill_tokens()).sum();
        Hints {
            server: self.cfg.server.clone(),
            epoch: self.settings.epoch,
            sequence: self.hints_sequence,
            config: self.settings.config,
            warmth: self.limit.warmth(),
            queue_delay: Duration::from_secs_f64(forecast.wait),
            outstanding: self.outstanding() as u32,
            limit: self.limit.current(now),
            queued_tokens: queued + self.running.prefill_tokens(PrefillLevel::MAX),
            free_tokens: self.memory.free(),
            prefill_rate: self.rates.prefill_rate(),
            decode_interval: self.rates.decode_interval(),
            draining: self.settings.draining || self.settings.domain_out,
        }
    }

    /// Number of jobs that wait or run.
    pub fn outstanding(&self) -> usize {
        self.queue.len() + self.running.len()
    }

    /// Number of jobs dispatched to the backend server. A cancelled job counts until the server
    /// ends it or its grace period is over.
    pub fn dispatched(&self) -> usize {
        self.running.len()
    }

    fn on_offer(&mut self, now: Duration, job: Job, out: &mut Vec<SchedulerAction>) {
        let attempt = job.attempt;
        let waiting = self.estimate(now, job);
        match self.admission_refusal(now, &waiting) {
            Some((reason, retry_after)) => self.refuse(now, attempt, reason, retry_after, out),
            None => {
                if self.queue.len() >= self.cfg.queue_limit {
                    self.evict_for(now, &waiting.job, out);
                }
                self.queue.push(waiting);
                out.push(SchedulerAction::Accept(attempt));
            }
        }
    }

    fn estimate(&self, now: Duration, job: Job) -> QueuedJob {
        let is_probe = self.outstanding() < self.settings.cold_limit as usize;
        let (prefill_seconds, answer_seconds) = if job.model.is_none() {
            (0.0, self.rates.residence().as_secs_f64())
        } else if is_probe {
            self.rates
                .warm_times(job.prefill_tokens(), job.output_tokens)
        } else {
            self.rates
                .current_times(job.prefill_tokens(), job.output_tokens)
        };
        QueuedJob {
            class: LengthClass::of_prefill(prefill_seconds),
            level: prefill_level(prefill_seconds),
            is_probe,
            body_complete: false,
            enqueued_at: now,
            prefill_seconds,
            service_seconds: prefill_seconds + answer_seconds,
            job,
        }
    }

    fn admission_refusal(
        &self,
        now: Duration,
        waiting: &QueuedJob,
    ) -> Option<(RefusalReason, Duration)> {
        if let Some(reason) = self.closed_reason() {
            return Some((reason, DEFAULT_RETRY_AFTER));
        }
        let job = &waiting.job;
        if !self.memory.could_fit(job.memory_tokens()) {
            return Some((RefusalReason::NoMemory, DEFAULT_RETRY_AFTER));
        }
        let remaining = seconds_between(now, job.deadline);
        let forecast = self.forecast(now, waiting);
        if !forecast.meets_deadline(remaining) {
            let is_cold = self.limit.warmth() == Warmth::Cold;
            let reason = if is_cold && forecast.service < remaining {
                RefusalReason::ColdStart
            } else {
                RefusalReason::TooLate
            };
            return Some((reason, forecast.retry_after(remaining)));
        }
        let is_full = self.queue.len() >= self.cfg.queue_limit;
        let has_room = !is_full || self.queue.can_evict_for(&job.team, job.weight);
        (!has_room).then_some((RefusalReason::QueueFull, forecast.retry_after(remaining)))
    }

    pub(crate) fn closed_reason(&self) -> Option<RefusalReason> {
        if self.settings.config == 0 {
            Some(RefusalReason::NoConfig)
        } else if self.settings.domain_out {
            Some(RefusalReason::DomainOut)
        } else if self.settings.draining {
            Some(RefusalReason::Draining)
        } else {
            None
        }
    }

    fn forecast(&self, now: Duration, waiting: &QueuedJob) -> Forecast {
        let state = self.admission_state(now, waiting.class, waiting.level);
        Forecast::new(
            &state,
            &self.queue.backlog_before(now, waiting),
            &waiting.job.team,
            f64::from(waiting.job.weight.max(1)),
            waiting.prefill_seconds,
            waiting.service_seconds - waiting.prefill_seconds,
        )
    }

    fn admission_state(
        &self,
        now: Duration,
        class: LengthClass,
        level: PrefillLevel,
    ) -> AdmissionState {
        let limit = self.limit.current(now);
        let ahead = self.running.prefill_tokens(level) as f64;
        let free_slots = if class >= LengthClass::Long {
            max_long_jobs(limit).saturating_sub(self.running.batched(class))
        } else {
            limit.saturating_sub(self.running.len() as u32)
        };
        AdmissionState {
            prefill_ahead_seconds: self.rates.prefill_seconds(ahead),
            free_slots: f64::from(free_slots),
            seconds_per_slot: self.rates.residence().as_secs_f64() / f64::from(limit.max(1)),
            shorter_prefill_share: self.prefill_shares.share_before(now, level),
        }
    }

    fn evict_for(&mut self, now: Duration, job: &Job, out: &mut Vec<SchedulerAction>) {
        if let Some(evicted) = self.queue.evict_for(&job.team, job.weight) {
            let attempt = evicted.job.attempt;
            let reason = RefusalReason::QueueFull;
            self.refuse(now, attempt, reason, DEFAULT_RETRY_AFTER, out);
        }
    }

    pub(crate) fn refuse(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        reason: RefusalReason,
        retry_after: Duration,
        out: &mut Vec<SchedulerAction>,
    ) {
        let refusal = Refusal {
            reason,
            retry_after,
            hints: Some(self.hints(now)),
        };
        out.push(SchedulerAction::Refuse { attempt, refusal });
    }

    fn on_first_token(&mut self, now: Duration, attempt: AttemptId) {
        let since = self
            .running
            .get_mut(attempt)
            .map(|running| running.dispatched_at);
        let latency = self.running.on_first_token(now, attempt, &mut self.rates);
        if let (Some(since), Some(latency)) = (since, latency) {
            self.apply_latency(now, since, latency);
        }
    }

    fn on_progress(&mut self, now: Duration, attempt: AttemptId, tokens: Tokens) {
        let Some(running) = self.running.get_mut(attempt) else {
            return;
        };
        let since = running.sample_start;
        let before = running.produced / TOKENS_PER_NORMAL_SAMPLE;
        let is_sample_due = (running.produced + tokens) / TOKENS_PER_NORMAL_SAMPLE > before;
        let latency = self
            .running
            .on_progress(now, attempt, tokens, &mut self.rates);
        match latency {
            Some(LatencyClass::Normal) if !is_sample_due => {}
            Some(latency) => self.apply_latency(now, since, latency),
            None => {}
        }
    }

    /// Applies a latency sample of work that began at `since`. Work that began before the limit
    /// last dropped is no new evidence of a slow server.
    fn apply_latency(&mut self, now: Duration, since: Duration, latency: LatencyClass) {
        let is_new = self
            .limit
            .last_drop()
            .is_none_or(|last_drop| since >= last_drop);
        match latency {
            LatencyClass::Normal => self.limit.on_normal_latency(now, self.running.len() as u32),
            LatencyClass::Slow if is_new => self.limit.on_slow(now),
            LatencyClass::Slow | LatencyClass::Elevated => {}
        }
    }

    fn check_overdue(&mut self, now: Duration) {
        if let Some(since) = self.running.take_overdue(now, &mut self.rates) {
            self.apply_latency(now, since, LatencyClass::Slow);
        }
    }

    fn on_ended(&mut self, now: Duration, attempt: AttemptId, ok: bool) {
        let running_jobs = self.running.len() as u32;
        let Some(running) = self.release(attempt) else {
            self.queue.remove(attempt);
            return;
        };
        if running.cancel_grace_end.is_some() || running.job.has_span_grant {
            return;
        }
        if !ok {
            self.limit.on_slow(now);
            return;
        }
        let elapsed = running.active_time(now);
        let latency = self.latency_of_finished(&running, elapsed);
        self.running.on_end(&running);
        self.rates
            .on_end(elapsed, running.produced, running.job.output_tokens);
        match latency {
            LatencyClass::Normal => self.limit.on_normal_latency(now, running_jobs),
            latency => self.apply_latency(now, running.dispatched_at, latency),
        }
    }

    fn latency_of_finished(&self, running: &RunningJob, elapsed: Duration) -> LatencyClass {
        let job = &running.job;
        if running.answering && self.rates.is_warmth_unreported() {
            // The end of a streamed answer does not show whether the server is warm. The latency
            // of its tokens does, and was sampled as they arrived.
            LatencyClass::Elevated
        } else if running.answering {
            LatencyClass::Normal
        } else if job.model.is_none() {
            self.rates.service_latency(elapsed)
        } else {
            let output = if self.rates.is_warmth_unreported() {
                running.produced
            } else {
                job.output_tokens
            };
            self.rates
                .non_streaming_latency(job.prefill_tokens(), output, elapsed)
        }
    }

    fn on_cancel(&mut self, now: Duration, attempt: AttemptId) {
        self.queue.remove(attempt);
        if let Some(running) = self.running.get_mut(attempt) {
            running.cancel_grace_end.get_or_insert(now + CANCEL_GRACE);
        }
    }

    fn on_rejected(&mut self, now: Duration, attempt: AttemptId, out: &mut Vec<SchedulerAction>) {
        let Some(running) = self.release(attempt) else {
            return;
        };
        self.limit.on_rejected(now);
        if running.cancel_grace_end.is_none() {
            let reason = RefusalReason::ColdStart;
            self.refuse(now, attempt, reason, DEFAULT_RETRY_AFTER, out);
        }
    }

    fn backoff_end(&self) -> Option<Duration> {
        let due = self.limit.backoff_until();
        (self.queue.len() > 0 && due > self.last_event).then_some(due)
    }

    fn overtake_time(&self) -> Option<Duration> {
        let due = self.overtake_budget.allowed_at();
        (self.queue.len() > 0 && due > self.last_event).then_some(due)
    }

    fn set_non_streaming(&mut self, attempt: AttemptId) {
        if let Some(running) = self.running.get_mut(attempt) {
            running.non_streaming = true;
        }
    }

    fn on_report(&mut self, now: Duration, report: &EngineReport) {
        self.rates.set_warmth_unreported(report.cold.is_none());
        self.limit.on_report(now, report.cold);
    }

    fn apply_settings(&mut self, settings: ServerSettings) {
        self.limit
            .configure(settings.warm_limit, settings.cold_limit);
        self.memory.configure(settings.memory_tokens);
        let default = self.cfg.default_warm_speed;
        self.rates.set_declared_speed(WarmSpeed {
            prefill_rate: settings.prefill_rate.unwrap_or(default.prefill_rate),
            decode_interval: settings.decode_interval.unwrap_or(default.decode_interval),
        });
        self.settings = settings;
    }

    pub(crate) fn release(&mut self, attempt: AttemptId) -> Option<RunningJob> {
        let running = self.running.remove(attempt)?;
        self.memory
            .release(running.class, running.job.memory_tokens());
        Some(running)
    }
}
