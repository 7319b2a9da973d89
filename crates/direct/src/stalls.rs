//! Reports stalls of the executor, in which the process did not work on its tasks.

use crate::shared::Shared;
use prometheus::{Counter, IntCounter, Registry};
use runtime::{Stall, StallWatch};
use slog::warn;
use std::sync::Arc;
use std::time::Duration;

/// Peers no longer count a gateway as a watcher of the store after twice this time.
const MIN_STALL: Duration = Duration::from_millis(500);
/// Time limit of a readiness probe.
const MAX_SILENCE: Duration = Duration::from_secs(2);

/// Counts of stalls of the executor.
#[derive(Debug)]
pub struct StallMetrics {
    stalls: IntCounter,
    seconds: Counter,
}

impl StallMetrics {
    /// Creates the metrics in a registry. Fails where a name is taken.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let stalls = IntCounter::new(
            "bergamothold_direct_executor_stalls_total",
            "Stretches of half a second or more in which a task that was due did not run",
        )?;
        registry.register(Box::new(stalls.clone()))?;
        let seconds = Counter::new(
            "bergamothold_direct_executor_stall_seconds_total",
            "Length of these stretches together",
        )?;
        registry.register(Box::new(seconds.clone()))?;
        Ok(Self { stalls, seconds })
    }

    /// Counts a stall.
    pub fn record(&self, length: Duration) {
        self.stalls.inc();
        self.seconds.inc_by(length.as_secs_f64());
    }
}

/// Logs each stretch in which the executor did not run this task, and for how long the process stood still or
/// the thread worked or waited meanwhile.
pub async fn watch_stalls(shared: Arc<Shared>) {
    let log = shared.log.clone();
    let watch = StallWatch::start(MIN_STALL, MAX_SILENCE, move |length| {
        warn!(log, "process: executor stalls"; "ms" => millis(length));
    });
    loop {
        let stall = watch.next_stall().await;
        shared.metrics.stall(stall.length);
        let Stall {
            length,
            stood_still,
            thread,
        } = stall;
        warn!(shared.log, "process: executor stalled"; "ms" => millis(length),
            "stood_still_ms" => millis(stood_still),
            "ran_ms" => thread.map(|thread| millis(thread.ran)),
            "no_processor_ms" => thread.map(|thread| millis(thread.waited)));
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
