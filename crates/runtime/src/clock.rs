//! The process's clock, as decisions are given it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time since the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock {
    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The moment that [`Clock::now`] would give `at` for.
    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at
    }

    /// Time since the Unix epoch.
    pub fn unix_time() -> Duration {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }
}
