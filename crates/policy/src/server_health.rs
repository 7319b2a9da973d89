//! Health of a backend server, learned from its answers.

use std::time::Duration;

/// Result of an attempt at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The server gave a complete answer, or the first event of a stream.
    Answered,
    /// The server answered that it is full.
    Full,
    /// The attempt failed, or its answer was not valid.
    Failed,
    /// The server could not be reached, or stopped sending.
    Silent,
}

/// Why a server is avoided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectKind {
    /// It fails some of its requests and answers the others.
    Failing,
    /// It could not be reached, or was silent.
    Unreachable,
}

/// First and longest time for which a server is avoided after failures.
const MIN_PAUSE: Duration = Duration::from_millis(600);
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Time for which a full server is avoided: about one iteration of an engine.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// Weight of the latest result in the failure rate.
const RESULT_WEIGHT: f64 = 0.25;
/// Failure rate from which a server is avoided even though it still answers.
const SUSPECT_FAILURE_RATE: f64 = 0.2;
/// Weight of the latest measurement in the slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.3;
/// Bounds of the slowdown, and of a single measurement.
const MIN_SLOWDOWN: f64 = 1.0;
const MAX_SLOWDOWN: f64 = 8.0;
/// Half-life of the slowdown. A server that was slow once may only have been busy with work that no
/// gateway knew of, and while it is avoided there are no new measurements.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(1);

/// Health of one server, learned from how it handles requests and never from what it reports.
#[derive(Debug, Clone)]
pub struct ServerHealth {
    failure_rate: f64,
    pause: Duration,
    avoided_until: Duration,
    /// Kind of the last failure.
    kind: SuspectKind,
    full_until: Duration,
    slowdown: f64,
    slowdown_at: Duration,
}

impl Default for ServerHealth {
    fn default() -> Self {
        Self {
            failure_rate: 0.0,
            pause: Duration::ZERO,
            avoided_until: Duration::ZERO,
            kind: SuspectKind::Failing,
            full_until: Duration::ZERO,
            slowdown: MIN_SLOWDOWN,
            slowdown_at: Duration::ZERO,
        }
    }
}

impl ServerHealth {
    /// Records the result of an attempt.
    pub fn on_result(&mut self, result: AttemptResult, now: Duration) {
        match result {
            AttemptResult::Answered => {
                self.failure_rate *= 1.0 - RESULT_WEIGHT;
                // It can be reached.
                self.kind = SuspectKind::Failing;
                if now >= self.avoided_until {
                    self.pause /= 2;
                }
            }
            AttemptResult::Full => self.full_until = now + FULL_PAUSE,
            AttemptResult::Failed => {
                self.kind = SuspectKind::Failing;
                self.failure_rate += RESULT_WEIGHT * (1.0 - self.failure_rate);
                if self.failure_rate >= SUSPECT_FAILURE_RATE {
                    self.avoid(now);
                }
            }
            AttemptResult::Silent => {
                self.kind = SuspectKind::Unreachable;
                self.failure_rate += RESULT_WEIGHT * (1.0 - self.failure_rate);
                self.avoid(now);
            }
        }
    }

    /// Records how long the first event of an answer took, against the time expected from the
    /// server's published figures.
    pub fn on_latency(&mut self, expected: Duration, measured: Duration, now: Duration) {
        let ratio = measured.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        let ratio = ratio.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
        let previous = self.slowdown(now);
        self.slowdown = previous + SLOWDOWN_WEIGHT * (ratio - previous);
        self.slowdown_at = now;
    }

    /// Whether the server should be avoided while there are others.
    pub fn is_suspect(&self, now: Duration) -> bool {
        now < self.avoided_until
    }

    /// Why the server should be avoided; `None` if it should not.
    pub fn suspect_kind(&self, now: Duration) -> Option<SuspectKind> {
        self.is_suspect(now).then_some(self.kind)
    }

    /// Whether the server recently answered that it is full.
    pub fn is_full(&self, now: Duration) -> bool {
        now < self.full_until
    }

    /// How many times slower the server is than its published figures; at least 1.
    pub fn slowdown(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.slowdown_at);
        let decay = 0.5_f64.powf(age.as_secs_f64() / SLOWDOWN_HALF_LIFE.as_secs_f64());
        MIN_SLOWDOWN + (self.slowdown - MIN_SLOWDOWN) * decay
    }

    fn avoid(&mut self, now: Duration) {
        self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
        self.avoided_until = now + self.pause;
    }
}
