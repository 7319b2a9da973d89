//! Concurrency limit of a backend server, which is assumed cold until it proves to be warm.

use proto::Warmth;
use std::time::Duration;

const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// A rejection this soon after the limit last dropped doubles the backoff.
const REPEAT_WINDOW: Duration = Duration::from_secs(5);
/// Reports lag behind the engine. For this long after the limit dropped, a report that the engine
/// is warm counts only if its last report said that it was cold.
const REPORT_LAG: Duration = Duration::from_secs(2);
/// While the engine reports that it is warm, each rise also adds the limit divided by this.
const REPORTED_WARM_DIVISOR: u32 = 8;

/// Limit of concurrent requests. It rises with each sample of normal latency while it is in use,
/// and drops to the cold limit at the first sign of a return to cold start.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    warm_limit: u32,
    cold_limit: u32,
    limit: u32,
    reported_cold: bool,
    reported_warm: bool,
    backoff: Duration,
    backoff_until: Duration,
    last_drop: Option<Duration>,
}

impl ConcurrencyLimit {
    /// Creates a limit that assumes a cold start and is zero until it is configured.
    pub fn new() -> Self {
        Self {
            warm_limit: 0,
            cold_limit: 0,
            limit: 0,
            reported_cold: false,
            reported_warm: false,
            backoff: INITIAL_BACKOFF,
            backoff_until: Duration::ZERO,
            last_drop: None,
        }
    }

    /// Sets the declared limits of the warm and the cold server.
    pub fn configure(&mut self, warm: u32, cold: u32) {
        self.warm_limit = warm;
        self.cold_limit = cold.min(warm);
        self.limit = self.limit.clamp(self.cold_limit, self.warm_limit);
    }

    /// Number of requests that may run at once; zero during the backoff after a rejection.
    pub fn current(&self, now: Duration) -> u32 {
        if now < self.backoff_until {
            0
        } else {
            self.limit
        }
    }

    /// When the backoff after the last rejection ends.
    pub fn backoff_until(&self) -> Duration {
        self.backoff_until
    }

    /// Warmth that corresponds to the current limit.
    pub fn warmth(&self) -> Warmth {
        if self.limit >= self.warm_limit && !self.reported_cold {
            Warmth::Warm
        } else if self.limit > self.cold_limit {
            Warmth::Warming
        } else {
            Warmth::Cold
        }
    }

    /// Records normal latency while `running` requests ran.
    pub fn on_normal_latency(&mut self, now: Duration, running: u32) {
        let is_in_use = running.saturating_mul(2) >= self.limit;
        if is_in_use && !self.reported_cold && now >= self.backoff_until {
            let step = if self.reported_warm {
                1 + self.limit / REPORTED_WARM_DIVISOR
            } else {
                1
            };
            self.limit = self.limit.saturating_add(step).min(self.warm_limit);
        }
    }

    /// Records that the server is slower than when warm.
    pub fn on_slow(&mut self, now: Duration) {
        self.drop_to_cold(now);
    }

    /// Records that the server rejected a request because it had too many. It gets no requests
    /// during a backoff, which doubles with each rejection soon after another.
    pub fn on_rejected(&mut self, now: Duration) {
        let is_backing_off = now < self.backoff_until;
        let is_repeated = self
            .last_drop
            .is_some_and(|last_drop| now < last_drop + REPEAT_WINDOW);
        if !is_backing_off {
            self.backoff = if is_repeated {
                self.backoff * 2
            } else {
                INITIAL_BACKOFF
            }
            .min(MAX_BACKOFF);
            self.backoff_until = now + self.backoff;
        }
        self.drop_to_cold(now);
    }

    /// When the limit last dropped.
    pub fn last_drop(&self) -> Option<Duration> {
        self.last_drop
    }

    /// Records whether the engine reports a cold start, with a lag; `None` if it reports no warmth.
    pub fn on_report(&mut self, now: Duration, cold: Option<bool>) {
        match cold {
            Some(true) => {
                self.drop_to_cold(now);
                self.reported_cold = true;
            }
            Some(false) => {
                let was_cold = std::mem::take(&mut self.reported_cold);
                let is_settled = self
                    .last_drop
                    .is_none_or(|last_drop| now >= last_drop + REPORT_LAG);
                if was_cold || is_settled {
                    self.reported_warm = true;
                }
            }
            None => {
                self.reported_cold = false;
                self.reported_warm = false;
            }
        }
    }

    fn drop_to_cold(&mut self, now: Duration) {
        self.limit = self.cold_limit;
        self.reported_warm = false;
        self.last_drop = Some(now);
    }
}
