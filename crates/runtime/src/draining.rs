//! The drain of a process: whether it has started, and until when its work has time.

use crate::clock::Clock;
use crate::shutdown::ShutdownSignal;
use crate::unless::unless;
use async_io::Timer;
use std::sync::OnceLock;
use std::time::Duration;

/// State of a drain with times `T`, which every accept, wait, send and response asks.
#[derive(Debug)]
pub struct Draining<T> {
    signal: ShutdownSignal,
    times: OnceLock<T>,
}

impl<T> Default for Draining<T> {
    fn default() -> Self {
        Self {
            signal: ShutdownSignal::default(),
            times: OnceLock::new(),
        }
    }
}

impl<T: Copy> Draining<T> {
    /// Starts the drain with these times; further calls have no effect. Returns the times in force.
    pub fn start(&self, times: T) -> T {
        self.start_late(times, Duration::ZERO)
    }

    /// As [`Self::start`], for a drain that was to start `delay` ago.
    pub fn start_late(&self, times: T, delay: Duration) -> T {
        let times = *self.times.get_or_init(|| times);
        self.signal.start_late(delay);
        times
    }

    /// Whether it has started.
    pub fn is_started(&self) -> bool {
        self.signal.is_started()
    }

    /// Its times; `None` before it has started.
    pub fn times(&self) -> Option<T> {
        self.times.get().copied()
    }

    /// Signal of its start.
    pub fn signal(&self) -> ShutdownSignal {
        self.signal.clone()
    }

    /// Runs `work` until the time that `end` selects, and then drops it and returns `None`.
    pub fn before<W>(
        &self,
        clock: &Clock,
        end: impl FnOnce(T) -> Duration,
        work: impl Future<Output = W>,
    ) -> impl Future<Output = Option<W>> {
        let ended = async move {
            self.signal.started().await;
            if let Some(times) = self.times() {
                Timer::after(end(times).saturating_sub(clock.now())).await;
            }
        };
        unless(work, ended)
    }
}
