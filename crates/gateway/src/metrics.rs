//! Metrics of a gateway.

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

const FIRST_BYTE_SECONDS: [f64; 12] = [
    0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 51.2, 204.8,
];
const ATTEMPT_COUNTS: [f64; 5] = [1.0, 2.0, 3.0, 4.0, 8.0];

/// Metrics of a gateway.
#[derive(Debug)]
pub struct Metrics {
    /// All of them.
    pub registry: Registry,
    /// Requests that ended, by outcome.
    pub requests: IntCounterVec,
    /// Attempts offered.
    pub attempts: IntCounter,
    /// Attempts after the first.
    pub retries: IntCounter,
    /// Attempts that each request took.
    pub attempts_per_request: Histogram,
    /// Seconds to the first byte of the answer, by length class.
    pub first_byte: HistogramVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Frames of another attempt, which were dropped.
    pub misrouted_frames: IntCounter,
    /// Configuration version in force.
    pub config: IntGauge,
}

impl Metrics {
    /// New metrics in a registry of their own.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let requests = IntCounterVec::new(
            Opts::new(
                "bergamothold_requests_total",
                "Requests that ended, by outcome",
            ),
            &["outcome"],
        )?;
        let attempts = IntCounter::new("bergamothold_attempts_total", "Attempts offered")?;
        let retries = IntCounter::new(
            "bergamothold_retries_total",
            "Attempts after a request's first",
        )?;
        let attempts_per_request = Histogram::with_opts(
            HistogramOpts::new(
                "bergamothold_attempts_per_request",
                "Attempts at each request",
            )
            .buckets(ATTEMPT_COUNTS.to_vec()),
        )?;
        let first_byte = HistogramVec::new(
            HistogramOpts::new("bergamothold_first_byte_seconds", "Time to first byte")
                .buckets(FIRST_BYTE_SECONDS.to_vec()),
            &["length"],
        )?;
        let in_flight = IntGauge::new("bergamothold_in_flight", "Requests in flight")?;
        let misrouted_frames = IntCounter::new(
            "bergamothold_crossed_frames_total",
            "Frames of another attempt",
        )?;
        let config = IntGauge::new(
            "bergamothold_config_version",
            "Configuration version in force",
        )?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(attempts.clone()))?;
        registry.register(Box::new(retries.clone()))?;
        registry.register(Box::new(attempts_per_request.clone()))?;
        registry.register(Box::new(first_byte.clone()))?;
        registry.register(Box::new(in_flight.clone()))?;
        registry.register(Box::new(misrouted_frames.clone()))?;
        registry.register(Box::new(config.clone()))?;
        Ok(Self {
            registry,
            requests,
            attempts,
            retries,
            attempts_per_request,
            first_byte,
            in_flight,
            misrouted_frames,
            config,
        })
    }
}
