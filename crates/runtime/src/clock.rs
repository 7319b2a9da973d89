//! Monotonic process time and wall-clock time.

use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts at zero when it is created.
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
    /// Time since the clock was created.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The [`Instant`] at which [`Clock::now`] returns `at`.
    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at
    }

    /// Time since the host started, with the time for which it was suspended, where the system counts that.
    pub fn boot_time() -> Duration {
        #[cfg(target_os = "linux")]
        const CLOCK: ClockId = ClockId::Boottime;
        #[cfg(not(target_os = "linux"))]
        const CLOCK: ClockId = ClockId::Monotonic;
        let time = clock_gettime(CLOCK);
        Duration::try_from(time).unwrap_or_default()
    }

    /// Wall-clock time since the Unix epoch; zero if the system clock is set before it.
    pub fn unix_time() -> Duration {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }
}
