//! When an attempt may be followed by another.

use proto::Execution;
use proto::prelude::*;

/// Least part of the longest answer that is reckoned with.
const LEAST_ANSWER_PART: f64 = 0.25;

/// Settings of a [`RetryBudget`].
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries earned by each first attempt.
    pub ratio: f64,
    /// Most retries saved up.
    pub burst: f64,
    /// Retries at the start.
    pub initial: f64,
    /// First pause after a sign of pressure.
    pub first_pause: Duration,
    /// Longest pause.
    pub longest_pause: Duration,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            burst: 20.0,
            initial: 2.0,
            first_pause: Duration::from_millis(100),
            longest_pause: Duration::from_secs(5),
        }
    }
}

/// Retries that all requests of a gateway to one service share.
///
/// A per-request cap multiplies load on a slow service; a shared budget bounds it ("Timeouts that
/// get retried into an outage"). Signs of pressure stop retries for a while, which doubles with
/// each further sign and halves with each answer.
#[derive(Debug)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    tokens: f64,
    pause: Duration,
    paused_until: Duration,
}

impl RetryBudget {
    /// A budget with a few retries to start with.
    pub fn new(cfg: RetryBudgetConfig) -> Self {
        Self {
            tokens: cfg.initial.min(cfg.burst),
            pause: Duration::ZERO,
            paused_until: Duration::ZERO,
            cfg,
        }
    }

    /// Earns a part of a retry.
    pub fn on_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.cfg.ratio).min(self.cfg.burst);
    }

    /// Notes a sign that the service is pressed: a timeout, or a refusal for want of room.
    pub fn on_pressure(&mut self, now: Duration) {
        if now < self.paused_until {
            return;
        }
        let doubled = self.pause * 2;
        self.pause = doubled.clamp(self.cfg.first_pause, self.cfg.longest_pause);
        self.paused_until = now + self.pause;
    }

    /// Notes an answer.
    pub fn on_answer(&mut self) {
        self.pause /= 2;
    }

    /// Takes one retry, if there is one and retries are not paused.
    pub fn try_spend(&mut self, now: Duration) -> bool {
        let allowed = self.tokens >= 1.0 && now >= self.paused_until;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

/// Whether a retry could still end in time. `service` is the time that an attempt takes, as the
/// last hints predict it; a retry that can't end in time only adds load.
pub fn is_worth_retrying(remaining: Duration, service: Duration) -> bool {
    remaining > service
}

/// Time that an attempt takes on a server with these hints.
pub fn predicted_response_time(hints: &Hints, prompt: Tokens, output: Tokens) -> Duration {
    let prefill = prompt as f64 / hints.prefill_rate.max(1.0);
    let decode = hints.decode_interval.as_secs_f64() * output as f64 * LEAST_ANSWER_PART;
    hints.queue_delay + Duration::from_secs_f64(prefill + decode)
}

/// How an attempt ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether any of it ran.
    pub execution: Execution,
    /// Whether the caller has seen any of the answer.
    pub answer_started: bool,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

/// Whether another attempt is safe; the budget and the time left are asked apart.
pub fn may_retry(end: FailedAttempt) -> bool {
    !end.answer_started && (end.execution == Execution::NotRun || end.repeatable)
}
