//! Metrics of how the content of the store reaches a gateway.

use prometheus::{Gauge, IntCounter, IntCounterVec, Opts, Registry};
use std::time::Duration;

/// Counters of transfers from peers, and how far this gateway is behind them.
#[derive(Debug)]
pub struct ContentMetrics {
    bytes: IntCounterVec,
    failed_fetches: IntCounterVec,
    behind: Gauge,
    unconfirmed: Gauge,
    unread_changes: IntCounter,
    store_restored: IntCounter,
}

impl ContentMetrics {
    /// Creates the metrics in a registry. Fails where a name is taken.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counter_vec = |name: &str, help: &str, label: &str| {
            let vec = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(vec.clone()))?;
            Ok::<_, prometheus::Error>(vec)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = Gauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        Ok(Self {
            bytes: counter_vec(
                "bergamothold_direct_content_bytes_total",
                "Bytes of declarations received from peers, whole or as scripts",
                "form",
            )?,
            failed_fetches: counter_vec(
                "bergamothold_direct_content_fetches_failed_total",
                "Fetches of content from peers that failed, by reason",
                "reason",
            )?,
            behind: gauge(
                "bergamothold_direct_behind_peers_seconds",
                "Time since which peers have content of the store that this gateway does not have",
            )?,
            unread_changes: counter(
                "bergamothold_direct_unread_changes_total",
                "Changes of rows of the store that a check has found before the watch told of them",
            )?,
            store_restored: counter(
                "bergamothold_direct_store_restored_total",
                "Times that the store has come back from a copy",
            )?,
            unconfirmed: gauge(
                "bergamothold_direct_declarations_unconfirmed_seconds",
                "Time for which nobody has confirmed that the declarations are the newest; infinite if nobody has",
            )?,
        })
    }

    /// Counts received bytes of declarations.
    pub fn bytes(&self, form: &str, bytes: u64) {
        self.bytes.with_label_values(&[form]).inc_by(bytes);
    }

    /// Counts a fetch that failed.
    pub fn fetch_failed(&self, reason: &str) {
        self.failed_fetches.with_label_values(&[reason]).inc();
    }

    /// Sets for how long this gateway has been behind.
    pub fn set_behind(&self, behind: Duration) {
        self.behind.set(behind.as_secs_f64());
    }

    /// Counts a change that a check has found before the watch told of it.
    pub fn unread_change(&self) {
        self.unread_changes.inc();
    }

    /// Counts a return of the store from a copy.
    pub fn store_restored(&self) {
        self.store_restored.inc();
    }

    /// Sets for how long the declarations have not been confirmed; `None` if they never were.
    pub fn set_unconfirmed(&self, age: Option<Duration>) {
        let seconds = age.map_or(f64::INFINITY, |age| age.as_secs_f64());
        self.unconfirmed.set(seconds);
    }
}
