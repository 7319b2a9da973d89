//! What answers say about the health of a backend server.

use std::time::Duration;

/// How an attempt at a server went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// It gave a whole answer, or the first event of one.
    Answered,
    /// It said that it is full.
    Full,
    /// It failed, or its answer was no answer.
    Failed,
    /// It could not be reached, or fell silent.
    Silent,
}

/// Times for which a server is avoided after a failure, the first and the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(600);
const LONGEST_PAUSE: Duration = Duration::from_secs(5);
/// Time for which a full server is avoided: about one pass.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// Weight of the newest failure or success in the average.
const FAILURE_WEIGHT: f64 = 0.25;
/// Part of failures from which a server that still answers is avoided.
const GREY_PART: f64 = 0.2;
/// Weight of the newest measured time against its forecast.
const PACE_WEIGHT: f64 = 0.3;
/// Bounds of the learned pace, and of one measurement.
const LEAST_PACE: f64 = 1.0;
const MOST_PACE: f64 = 8.0;
/// Time in which a learned pace fades by half. A server at which a read was slow once may only
/// have been at work that nobody knew of, and nothing new is learned while it is avoided.
const PACE_HALF_LIFE: Duration = Duration::from_secs(1);

/// Health of one server, learned from what it does with requests, never from what it says.
#[derive(Debug, Clone)]
pub struct ServerHealth {
    failing: f64,
    pause: Duration,
    avoided_until: Duration,
    full_until: Duration,
    pace: f64,
    paced: Duration,
}

impl Default for ServerHealth {
    fn default() -> Self {
        Self {
            failing: 0.0,
            pause: Duration::ZERO,
            avoided_until: Duration::ZERO,
            full_until: Duration::ZERO,
            pace: LEAST_PACE,
            paced: Duration::ZERO,
        }
    }
}

impl ServerHealth {
    /// Takes in how an attempt went.
    pub fn on_result(&mut self, result: AttemptResult, now: Duration) {
        match result {
            AttemptResult::Answered => {
                self.failing *= 1.0 - FAILURE_WEIGHT;
                if now >= self.avoided_until {
                    self.pause /= 2;
                }
            }
            AttemptResult::Full => self.full_until = now + FULL_PAUSE,
            AttemptResult::Failed => {
                self.failing += FAILURE_WEIGHT * (1.0 - self.failing);
                if self.failing >= GREY_PART {
                    self.avoid(now);
                }
            }
            AttemptResult::Silent => {
                self.failing += FAILURE_WEIGHT * (1.0 - self.failing);
                self.avoid(now);
            }
        }
    }

    /// Takes in how long a first event took against the time by the published figures.
    pub fn on_latency(&mut self, usual: Duration, taken: Duration, now: Duration) {
        let ratio = taken.as_secs_f64() / usual.as_secs_f64().max(1e-3);
        let ratio = ratio.clamp(LEAST_PACE, MOST_PACE);
        let before = self.slowdown(now);
        self.pace = before + PACE_WEIGHT * (ratio - before);
        self.paced = now;
    }

    /// Whether the server should be avoided while there are others.
    pub fn is_suspect(&self, now: Duration) -> bool {
        now < self.avoided_until
    }

    /// Whether the server said just now that it is full.
    pub fn is_full(&self, now: Duration) -> bool {
        now < self.full_until
    }

    /// How much slower it is than its published figures; 1 is as fast.
    pub fn slowdown(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.paced);
        let faded = 0.5_f64.powf(age.as_secs_f64() / PACE_HALF_LIFE.as_secs_f64());
        LEAST_PACE + (self.pace - LEAST_PACE) * faded
    }

    fn avoid(&mut self, now: Duration) {
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.avoided_until = now + self.pause;
    }
}
