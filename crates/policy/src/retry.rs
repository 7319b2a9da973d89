//! Whether another attempt may follow a failed one.

use proto::Execution;
use proto::prelude::*;

/// Predictions assume an answer of at least this fraction of the longest one allowed.
const MIN_ANSWER_FRACTION: f64 = 0.25;

/// Settings of a [`RetryBudget`].
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries earned per first attempt.
    pub ratio: f64,
    /// Maximum number of unspent retries.
    pub burst: f64,
    /// Number of retries available at the start.
    pub initial: f64,
    /// Pause after the first sign of overload.
    pub min_pause: Duration,
    /// Longest pause after repeated signs of overload.
    pub max_pause: Duration,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            burst: 20.0,
            initial: 2.0,
            min_pause: Duration::from_millis(100),
            max_pause: Duration::from_secs(5),
        }
    }
}

/// Budget of retries, shared by all requests of a gateway to one service.
///
/// A limit per request would let retries multiply the load on a slow service; a shared budget
/// bounds it ("Timeouts that get retried into an outage"). A sign of overload pauses all retries;
/// the pause doubles with each further sign and halves with each answer.
#[derive(Debug)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    tokens: f64,
    pause: Duration,
    paused_until: Duration,
}

impl RetryBudget {
    /// Creates a budget that holds the initial retries.
    pub fn new(cfg: RetryBudgetConfig) -> Self {
        Self {
            tokens: cfg.initial.min(cfg.burst),
            pause: Duration::ZERO,
            paused_until: Duration::ZERO,
            cfg,
        }
    }

    /// Records a first attempt, which earns a fraction of a retry.
    pub fn on_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.cfg.ratio).min(self.cfg.burst);
    }

    /// Records a sign of overload: a timeout, or a refusal for lack of capacity.
    pub fn on_overload(&mut self, now: Duration) {
        if now < self.paused_until {
            return;
        }
        let doubled = self.pause * 2;
        self.pause = doubled.clamp(self.cfg.min_pause, self.cfg.max_pause);
        self.paused_until = now + self.pause;
    }

    /// Records an answer, which halves the next pause.
    pub fn on_answer(&mut self) {
        self.pause /= 2;
    }

    /// Spends one retry. Returns false if there is none, or while retries are paused.
    pub fn try_spend(&mut self, now: Duration) -> bool {
        let is_allowed = self.tokens >= 1.0 && now >= self.paused_until;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}

/// Whether a retry could still finish in time. `service` is the time that an attempt takes
/// according to the last hints; a retry that can't finish in time only adds load.
pub fn is_worth_retrying(remaining: Duration, service: Duration) -> bool {
    remaining > service
}

/// Predicted time of an attempt at a server with these hints, including the queue delay.
pub fn predicted_response_time(hints: &Hints, prompt: Tokens, output: Tokens) -> Duration {
    let prefill = prompt as f64 / hints.prefill_rate.max(1.0);
    let decode = hints.decode_interval.as_secs_f64() * output as f64 * MIN_ANSWER_FRACTION;
    hints.queue_delay + Duration::from_secs_f64(prefill + decode)
}

/// An attempt that ended without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether the backend server may have run any of it.
    pub execution: Execution,
    /// Whether the caller has received any part of the answer.
    pub answer_started: bool,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

/// Whether another attempt is safe. The retry budget and the time left are checked separately.
pub fn may_retry(attempt: FailedAttempt) -> bool {
    !attempt.answer_started && (attempt.execution == Execution::NotRun || attempt.repeatable)
}
