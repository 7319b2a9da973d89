//! Prometheus metrics of a gateway.

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

const FIRST_BYTE_SECONDS: [f64; 12] = [
    0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 51.2, 204.8,
];
const ATTEMPT_COUNTS: [f64; 5] = [1.0, 2.0, 3.0, 4.0, 8.0];

/// Prometheus metrics of one gateway.
#[derive(Debug)]
pub struct Metrics {
    /// Registry that `/metrics` is rendered from.
    pub registry: Registry,
    /// Number of requests that ended, by outcome.
    pub requests: IntCounterVec,
    /// Number of attempts, including first attempts.
    pub attempts: IntCounter,
    /// Number of attempts after a request's first.
    pub retries: IntCounter,
    /// Number of attempts per request, including requests that failed.
    pub attempts_per_request: Histogram,
    /// Seconds from the arrival of a request to the first byte of its response, by prompt length
    /// class.
    pub first_byte: HistogramVec,
    /// Number of requests in flight.
    pub in_flight: IntGauge,
    /// Number of frames that were dropped because they belong to another attempt than their stream.
    pub misrouted_frames: IntCounter,
    /// Version of the active configuration; zero if there is none yet.
    pub config_version: IntGauge,
}

impl Metrics {
    /// Creates the metrics and registers them in a new registry.
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
        let config_version = IntGauge::new(
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
        registry.register(Box::new(config_version.clone()))?;
        Ok(Self {
            registry,
            requests,
            attempts,
            retries,
            attempts_per_request,
            first_byte,
            in_flight,
            misrouted_frames,
            config_version,
        })
    }
}
