//! Prometheus metrics of a direct gateway.

use crate::content_metrics::ContentMetrics;
use crate::stalls::StallMetrics;
use policy::BlockedCounts;
use prometheus::core::Collector as _;
use prometheus::proto::MetricFamily;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use std::time::Duration;

const FIRST_BYTE_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 1.0, 1.5, 3.0, 6.0, 15.0,
];

/// Phases of the process, as a label.
const SERVING: &str = "serving";
const DRAINING: &str = "draining";

/// All metrics of the process, with the registry that exports them.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    refusals: IntCounterVec,
    held_prompts: IntCounterVec,
    attempts: IntCounterVec,
    run_ends: IntCounterVec,
    first_byte: HistogramVec,
    waiting: IntGauge,
    retries_denied: IntCounter,
    store_calls: IntCounterVec,
    declarations: IntGauge,
    declarations_refused: IntGauge,
    refused_declarations: IntCounterVec,
    failing_tables: IntGauge,
    gateways: IntGauge,
    reservations: IntGauge,
    limited_servers: IntGauge,
    server_crashes: IntCounter,
    blocked_parts: IntGauge,
    blocked_requests: IntGauge,
    pauses: IntCounter,
    paused_servers: IntGauge,
    refusing_servers: IntGauge,
    named_servers: IntGauge,
    invalid_answers: IntCounterVec,
    buffered_bytes: IntGauge,
    stream_buffer_bytes: IntGauge,
    lost_log_lines: IntGauge,
    slow_readers: IntCounter,
    content: ContentMetrics,
    stalls: StallMetrics,
}

impl Metrics {
    /// Creates the metrics in a registry of their own. Fails where a name is invalid or is taken.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counter_vec = |name: &str, help: &str, labels: &[&str]| {
            let vec = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(vec.clone()))?;
            Ok::<_, prometheus::Error>(vec)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let requests = counter_vec(
            "bergamothold_direct_requests_total",
            "Requests that ended, by kind and outcome",
            &["kind", "outcome"],
        )?;
        let refusals = counter_vec(
            "bergamothold_direct_refusals_total",
            "Requests that were refused, by reason",
            &["reason"],
        )?;
        let held_prompts = counter_vec(
            "bergamothold_direct_held_prompts_total",
            "Prompts that were held back or put behind others, by reason",
            &["reason"],
        )?;
        let attempts = counter_vec(
            "bergamothold_direct_attempts_total",
            "Attempts at backend servers, by result",
            &["result"],
        )?;
        let run_ends = counter_vec(
            "bergamothold_direct_run_ends_total",
            "Requests that were passed on and ended, by what ended the last run, outcome and phase of the process",
            &["reason", "outcome", "phase"],
        )?;
        let store_calls = counter_vec(
            "bergamothold_direct_store_calls_total",
            "Calls to the platform's store, by call and result",
            &["call", "result"],
        )?;
        let refused_declarations = counter_vec(
            "bergamothold_direct_refused_declarations_total",
            "Versions of the declarations that were refused, by reason",
            &["reason"],
        )?;
        let invalid_answers = counter_vec(
            "bergamothold_direct_invalid_answers_total",
            "Responses of backend servers that were cut because they are no valid answer, by the part that is not",
            &["reason"],
        )?;
        let first_byte = HistogramVec::new(
            HistogramOpts::new(
                "bergamothold_direct_first_byte_seconds",
                "Time from a request's arrival to the first byte of its answer",
            )
            .buckets(FIRST_BYTE_BUCKETS.to_vec()),
            &["kind"],
        )?;
        registry.register(Box::new(first_byte.clone()))?;
        let retries_denied = IntCounter::new(
            "bergamothold_direct_repeats_denied_total",
            "Attempts that the shared budget of repeats did not allow",
        )?;
        registry.register(Box::new(retries_denied.clone()))?;
        let server_crashes = IntCounter::new(
            "bergamothold_direct_engine_crashes_total",
            "Tries that ended because the server crashed",
        )?;
        registry.register(Box::new(server_crashes.clone()))?;
        let pauses = IntCounter::new(
            "bergamothold_direct_pauses_total",
            "Refusals of backend servers that ask for a pause",
        )?;
        registry.register(Box::new(pauses.clone()))?;
        let slow_readers = IntCounter::new(
            "bergamothold_direct_slow_readers_ended_total",
            "Streams that were ended because their callers read too slowly",
        )?;
        registry.register(Box::new(slow_readers.clone()))?;
        Ok(Self {
            requests,
            refusals,
            held_prompts,
            attempts,
            run_ends,
            first_byte,
            waiting: gauge(
                "bergamothold_direct_waiting",
                "Prompts that wait for engines",
            )?,
            retries_denied,
            server_crashes,
            invalid_answers,
            slow_readers,
            content: ContentMetrics::register(&registry)?,
            stalls: StallMetrics::register(&registry)?,
            buffered_bytes: gauge(
                "bergamothold_direct_buffered_bytes",
                "Bytes of requests and responses that count towards the memory for buffered bodies",
            )?,
            lost_log_lines: gauge(
                "bergamothold_direct_lost_log_lines",
                "Log lines that were lost because they were logged faster than written",
            )?,
            stream_buffer_bytes: gauge(
                "bergamothold_direct_stream_buffer_bytes",
                "Bytes of streams that wait for their callers to read them",
            )?,
            pauses,
            store_calls,
            declarations: gauge(
                "bergamothold_direct_declarations_version",
                "Version of the declarations in force",
            )?,
            declarations_refused: gauge(
                "bergamothold_direct_declarations_refused",
                "Whether the newest declarations were refused, so that older ones are in force, or none",
            )?,
            refused_declarations,
            failing_tables: gauge(
                "bergamothold_direct_failing_tables",
                "Tables of the platform's store whose calls fail at present",
            )?,
            gateways: gauge(
                "bergamothold_direct_gateways",
                "Gateways that share the limits",
            )?,
            reservations: gauge(
                "bergamothold_direct_reservations",
                "Reservations of engine memory that are held",
            )?,
            limited_servers: gauge(
                "bergamothold_direct_limited_servers",
                "Backend servers that state a limit on requests",
            )?,
            blocked_parts: gauge(
                "bergamothold_direct_blocked_parts",
                "Parts of prompts that crash engines, so that prompts with them are refused",
            )?,
            blocked_requests: gauge(
                "bergamothold_direct_blocked_requests",
                "Requests that crash servers, so that they are refused when they are sent again",
            )?,
            paused_servers: gauge(
                "bergamothold_direct_paused_servers",
                "Backend servers in a pause for which they have asked",
            )?,
            refusing_servers: gauge(
                "bergamothold_direct_refusing_servers",
                "Backend servers that refuse connections, of this gateway or of peers",
            )?,
            named_servers: gauge(
                "bergamothold_direct_named_servers",
                "Backend servers that a response to this gateway or a peer has named as at fault",
            )?,
            registry,
        })
    }

    /// Counts a request that ended, by kind of route and outcome.
    pub fn request(&self, kind: &str, outcome: &str) {
        self.requests.with_label_values(&[kind, outcome]).inc();
    }

    /// Counts a request that was refused without being run.
    pub fn refusal(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    /// Counts a prompt that was held back, by the reason.
    pub fn held_prompt(&self, reason: &str) {
        self.held_prompts.with_label_values(&[reason]).inc();
    }

    /// Counts an attempt at a backend server, by its result.
    pub fn attempt(&self, result: &str) {
        self.attempts.with_label_values(&[result]).inc();
    }

    /// Counts a request that was passed on and has ended, by what ended its last run.
    pub fn run_end(&self, reason: &str, outcome: &str, is_draining: bool) {
        let phase = if is_draining { DRAINING } else { SERVING };
        self.run_ends
            .with_label_values(&[reason, outcome, phase])
            .inc();
    }

    /// Requests that were passed on and ended while the process drains, as `reason outcome count` of each kind.
    pub fn drained_run_ends(&self) -> String {
        let families = self.run_ends.collect();
        let metrics = families.iter().flat_map(MetricFamily::get_metric);
        let drained = metrics.filter_map(|metric| {
            let label = |name| metric.get_label().iter().find(|label| label.name() == name);
            let [reason, outcome, phase] = ["reason", "outcome", "phase"].map(label);
            let is_drained = phase.is_some_and(|phase| phase.value() == DRAINING);
            let kind = [reason?.value(), outcome?.value()];
            is_drained.then(|| format!("{} {}", kind.join(" "), metric.get_counter().get_value()))
        });
        drained.collect::<Vec<_>>().join(", ")
    }

    /// Records the time from the arrival of a request to the first byte of its response.
    pub fn first_byte(&self, kind: &str, time: Duration) {
        self.first_byte
            .with_label_values(&[kind])
            .observe(time.as_secs_f64());
    }

    /// Counts a retry that the retry budget did not allow.
    pub fn retry_denied(&self) {
        self.retries_denied.inc();
    }

    /// Counts a try that ended because the server crashed.
    pub fn server_crash(&self) {
        self.server_crashes.inc();
    }

    /// Counts a call to the store, by operation and result.
    pub fn store_call(&self, call: &str, result: &str) {
        self.store_calls.with_label_values(&[call, result]).inc();
    }

    /// Sets the number of prompts that wait for engines.
    pub fn set_waiting_prompts(&self, waiting: usize) {
        self.waiting.set(waiting as i64);
    }

    /// Sets the version of the active declarations.
    pub fn set_declarations(&self, version: u64) {
        self.declarations.set(version as i64);
    }

    /// Sets whether the newest declarations were refused.
    pub fn set_declarations_refused(&self, refused: bool) {
        self.declarations_refused.set(refused.into());
    }

    /// Counts a version of the declarations that was refused, by reason.
    pub fn refused_declarations(&self, reason: &str) {
        self.refused_declarations.with_label_values(&[reason]).inc();
    }

    /// Sets the number of tables of the store whose calls fail.
    pub fn set_failing_tables(&self, tables: usize) {
        self.failing_tables.set(tables as i64);
    }

    /// Sets the number of gateways among which limits are divided.
    pub fn set_gateways(&self, gateways: usize) {
        self.gateways.set(gateways as i64);
    }

    /// Sets the number of backend servers that state a limit on requests.
    pub fn set_limited_servers(&self, servers: usize) {
        self.limited_servers.set(servers as i64);
    }

    /// Counts a refusal of a server that asks for a pause.
    pub fn pause(&self) {
        self.pauses.inc();
    }

    /// Sets the number of servers in a pause for which they have asked.
    pub fn set_paused_servers(&self, servers: usize) {
        self.paused_servers.set(servers as i64);
    }

    /// Sets the number of servers that refuse connections, and of those that were named as at fault.
    pub fn set_failed_servers(&self, refusing: usize, named: usize) {
        self.refusing_servers.set(refusing as i64);
        self.named_servers.set(named as i64);
    }

    /// Sets the bytes that count towards the memory for buffered bodies, and those that streams hold
    /// for their callers.
    pub fn set_buffered_bytes(&self, buffered: u64, stream_buffers: u64) {
        self.buffered_bytes.set(buffered as i64);
        self.stream_buffer_bytes.set(stream_buffers as i64);
    }

    /// Sets the number of log lines that were lost since the start.
    pub fn set_lost_log_lines(&self, lines: u64) {
        self.lost_log_lines.set(lines as i64);
    }

    /// Counts a stream that was ended because its caller reads too slowly.
    pub fn slow_reader(&self) {
        self.slow_readers.inc();
    }

    /// Counts a response that was cut because its head, its body or an event is not valid.
    pub fn invalid_answer(&self, reason: &str) {
        self.invalid_answers.with_label_values(&[reason]).inc();
    }

    /// Sets the numbers of parts of prompts and of requests that are blocked.
    pub fn set_blocked(&self, blocked: BlockedCounts) {
        self.blocked_parts.set(blocked.parts as i64);
        self.blocked_requests.set(blocked.requests as i64);
    }

    /// Adds `change`, which may be negative, to the number of reservations that are held.
    pub fn add_reservations(&self, change: i64) {
        self.reservations.add(change);
    }

    /// Counts bytes of declarations received from peers, by their form.
    pub fn content_bytes(&self, form: &str, bytes: u64) {
        self.content.bytes(form, bytes);
    }

    /// Counts a fetch of content from a peer that failed, by the reason.
    pub fn content_fetch_failed(&self, reason: &str) {
        self.content.fetch_failed(reason);
    }

    /// Sets for how long this gateway has been behind its peers.
    pub fn set_behind_peers(&self, behind: Duration) {
        self.content.set_behind(behind);
    }

    /// Sets for how long nobody has confirmed that the declarations are the newest; `None` if nobody has.
    pub fn set_unconfirmed(&self, age: Option<Duration>) {
        self.content.set_unconfirmed(age);
    }

    /// Counts a change in the store that a check has found before the watch told of it.
    pub fn unread_change(&self) {
        self.content.unread_change();
    }

    /// Counts a return of the store from a copy.
    pub fn store_restored(&self) {
        self.content.store_restored();
    }

    /// Counts a stall of the executor.
    pub fn stall(&self, length: Duration) {
        self.stalls.record(length);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
