//! Metrics of the traffic for configuration and membership.

use prometheus::{IntCounter, IntCounterVec, Opts, Registry};

/// Counters of a node's control-plane traffic.
#[derive(Debug)]
pub struct ControlMetrics {
    /// Gossip messages, by direction (`in` or `out`).
    pub messages: IntCounterVec,
    /// Encoded bytes of these messages without transport headers, by direction.
    pub bytes: IntCounterVec,
    /// Exchanges opened by this node that got no valid reply.
    pub unanswered: IntCounter,
    /// Configuration reads from the table service.
    pub store_reads: IntCounter,
    /// Reads of the host list, failed ones included.
    pub host_list_reads: IntCounter,
    /// Times that the process noticed it had been paused, and stopped admitting work.
    pub pauses: IntCounter,
}

impl ControlMetrics {
    /// Creates the counters and registers them. Fails if a name is already registered.
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
