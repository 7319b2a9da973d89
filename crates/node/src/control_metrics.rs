//! What configuration and membership cost, as the node itself counts it.

use prometheus::{IntCounter, IntCounterVec, Opts, Registry};

/// Counters of a node's control traffic.
#[derive(Debug)]
pub struct ControlMetrics {
    /// Messages, by direction.
    pub messages: IntCounterVec,
    /// Bytes of messages without headers, by direction.
    pub bytes: IntCounterVec,
    /// Exchanges that got no answer.
    pub unanswered: IntCounter,
    /// Reads of the table service.
    pub store_reads: IntCounter,
    /// Reads of the host list.
    pub host_list_reads: IntCounter,
    /// Pauses of the process that were noticed.
    pub pauses: IntCounter,
}

impl ControlMetrics {
    /// New counters in a registry.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str| -> Result<IntCounter, prometheus::Error> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let by_direction = |name: &str, help: &str| -> Result<IntCounterVec, prometheus::Error> {
            let counter = IntCounterVec::new(Opts::new(name, help), &["direction"])?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        Ok(Self {
            messages: by_direction("bergamothold_control_messages_total", "Control messages")?,
            bytes: by_direction(
                "bergamothold_control_bytes_total",
                "Bytes of control messages",
            )?,
            unanswered: counter(
                "bergamothold_control_unanswered_total",
                "Exchanges unanswered",
            )?,
            store_reads: counter(
                "bergamothold_store_reads_total",
                "Reads of the table service",
            )?,
            host_list_reads: counter(
                "bergamothold_host_list_reads_total",
                "Reads of the host list",
            )?,
            pauses: counter("bergamothold_control_pauses_total", "Pauses noticed")?,
        })
    }
}
