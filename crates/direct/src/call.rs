//! A caller's request while the gateway handles it.

use crate::local_reply::LocalReply;
use crate::open_calls::CallNumber;
use crate::run_end::{LastRunEnd, RunEnd};
use crate::server_probe::ServerChecks;
use crate::shared::Shared;
use crate::tried_servers::TriedServers;
use adapter::RequestHead;
use bytes::Bytes;
use hyper::Response;
use hyper::http::request::Parts;
use policy::{
    DRAIN_RETRY_AFTER, DRAINING_REASON, LateCall, LateStream, RequestContent, Route, ServiceSpec,
    TeamEntry,
};
use proto::{RequestKey, Suspect};
use runtime::{Body, ByteReservation, KEPT_LINE};
use slog::info;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

/// Limit on the servers tried for one call, including those that refuse it. Servers that do not accept
/// the connection do not count: when a failure domain ends, more servers than this fail at once.
const MAX_TRIES: u32 = 5;

/// Result of matching a request against the declarations.
#[derive(Debug, Clone)]
pub struct Admission {
    /// Route that matches host and path.
    pub route: Arc<Route>,
    /// Service that the route selects for the request.
    pub service: Arc<ServiceSpec>,
    /// Team whose key the request carries; `None` for anonymous callers.
    pub team: Option<Arc<TeamEntry>>,
    /// Whether the caller's API key is removed before the request is forwarded.
    pub hide_key: bool,
    /// Size limit for the request body.
    pub body_bytes: usize,
    /// Version of the declarations that were active.
    pub declarations: u64,
}

/// A caller's request, from its admission until its end is recorded.
#[derive(Debug)]
pub struct Call {
    /// State shared by the tasks of the process.
    pub shared: Arc<Shared>,
    /// Parsed request head.
    pub head: RequestHead,
    /// Original request head, from which forwarded requests are built.
    pub parts: Parts,
    /// Request body; empty until it has been read.
    pub body: Bytes,
    /// Key of the content, by which the request is recognized when it is sent again; set with the body.
    pub key: RequestKey,
    /// What may crash servers that run the request; set with the body.
    pub suspects: Box<[Suspect]>,
    /// Route, service and team of the request.
    pub admitted: Admission,
    /// Address of the caller's connection.
    pub peer: SocketAddr,
    /// Arrival time.
    pub arrived: Duration,
    /// Time at which the call must have ended: the deadline of the caller or the timeout of the
    /// route, whichever comes first.
    pub deadline: Duration,
    /// Memory that the request body takes.
    pub body_memory: Vec<ByteReservation>,
    /// Checks of the servers that may have run it and have failed.
    pub checks: ServerChecks,
    /// Servers that were tried for it.
    pub tried: TriedServers,
    number: CallNumber,
    progress: Progress,
}

/// Counters of a call, used for its limits and its last log line.
#[derive(Debug, Default)]
struct Progress {
    /// Servers tried that accepted the connection, and the one that is tried now.
    tries: AtomicU32,
    /// Times that the request was sent.
    sends: AtomicU32,
    /// Tries for which memory was to be reserved.
    reservations: AtomicU32,
    /// Servers that may have run the request.
    possible_runs: AtomicU32,
    /// Whether the request may be sent once though it is blocked.
    is_trial: AtomicBool,
    /// Whether the last server that ran it crashed.
    server_crashed: AtomicBool,
    last_run_end: LastRunEnd,
    ended: AtomicBool,
}

impl Call {
    /// Creates a call whose body has not been read yet.
    pub fn new(
        shared: Arc<Shared>,
        head: RequestHead,
        parts: Parts,
        admitted: Admission,
        peer: SocketAddr,
        arrived: Duration,
    ) -> Self {
        let timeout = admitted.route.timeout;
        let limit = head
            .timeout
            .map_or(timeout, |caller_timeout| caller_timeout.min(timeout));
        Self {
            number: shared.open_calls.add(&head.id, &admitted.service.name),
            shared,
            head,
            parts,
            body: Bytes::new(),
            key: RequestKey::default(),
            suspects: Box::default(),
            admitted,
            peer,
            arrived,
            deadline: arrived + limit,
            body_memory: Vec::new(),
            checks: ServerChecks::default(),
            tried: TriedServers::default(),
            progress: Progress::default(),
        }
    }

    /// Sets the body once it has been read.
    pub fn set_body(&mut self, body: Bytes) {
        let path = self.parts.uri.path_and_query();
        let content = RequestContent {
            team: self.admitted.team.as_ref().map(|team| &*team.name),
            method: self.parts.method.as_str(),
            hostname: &self.head.hostname,
            path: path.map_or("", |path| path.as_str()),
            body: &body,
        };
        self.key = content.key();
        let request = std::iter::once(Suspect::Request(self.key));
        self.suspects = request.chain(self.prompt_parts()).collect();
        self.body = body;
    }

    /// Parts of the prompt that other prompts may share; none in a request to a plain service.
    fn prompt_parts(&self) -> impl Iterator<Item = Suspect> {
        let has_engines = self.admitted.service.engine.is_some();
        let parts = self.head.shared_parts.iter().filter(move |_| has_engines);
        parts.map(|part| Suspect::Part(*part))
    }

    /// Priority rank; 0 is served first. The rank of the team overrides that of the route.
    pub fn rank(&self) -> u8 {
        let team = self.admitted.team.as_ref().and_then(|team| team.rank);
        team.unwrap_or(self.admitted.route.rank)
    }

    /// Time left until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_sub(self.shared.clock.now())
    }

    /// Counts one more server to be tried. Returns `false` once `MAX_TRIES` are used up.
    pub fn claim_try(&self) -> bool {
        self.progress.tries.fetch_add(1, Ordering::Relaxed) < MAX_TRIES
    }

    /// Takes back a try that [`Self::claim_try`] counted, of a server that did not accept the
    /// connection. The caller must not choose this server again for the call.
    pub fn return_try(&self) {
        self.progress.tries.fetch_sub(1, Ordering::Relaxed);
    }

    /// Counts a send to a server that was reached, and returns whether it is allowed. The first
    /// send of a call is free, later ones are taken from the retry budget of the service.
    pub fn claim_send(&self) -> bool {
        let now = self.shared.clock.now();
        let sends = self.sends();
        let allowed = sends == 0
            || self
                .shared
                .fleet
                .claim_retry(&self.admitted.service.name, now);
        if allowed {
            self.progress.sends.fetch_add(1, Ordering::Relaxed);
        } else {
            let fleet = &self.shared.fleet;
            let counts = fleet.repeat_counts(&self.admitted.service.name, now);
            self.shared.metrics.retry_denied();
            info!(self.shared.log, "call: not sent again, the retry budget is exhausted";
                "req" => &*self.head.id, "sends" => sends, "repeats" => counts.repeats,
                "first_sends" => counts.first_sends, "gateways" => fleet.gateways());
        }
        allowed
    }

    /// Records what ended its last run at a server.
    pub fn record_run_end(&self, end: RunEnd) {
        self.progress.last_run_end.set(end);
    }

    /// Records that the server that ran it crashed.
    pub fn record_crash(&self) {
        self.progress.server_crashed.store(true, Ordering::Relaxed);
    }

    /// Whether its server has crashed since this was asked last.
    pub fn take_crash(&self) -> bool {
        self.progress.server_crashed.swap(false, Ordering::Relaxed)
    }

    /// Allows to send the request once although it is blocked.
    pub fn allow_trial(&self) {
        self.progress.is_trial.store(true, Ordering::Relaxed);
    }

    /// Whether the request may be sent once although it is blocked.
    pub fn is_trial(&self) -> bool {
        self.progress.is_trial.load(Ordering::Relaxed)
    }

    /// Takes back the permission that [`Self::allow_trial`] gave, as the request is sent now.
    pub fn end_trial(&self) {
        self.progress.is_trial.store(false, Ordering::Relaxed);
    }

    /// Adds a server that may have run the request.
    pub fn add_possible_run(&self) {
        self.progress.possible_runs.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes back one that [`Self::add_possible_run`] added.
    pub fn withdraw_possible_run(&self) {
        self.progress.possible_runs.fetch_sub(1, Ordering::Relaxed);
    }

    /// Whether tries and the retry budget are left to send the request once more.
    pub fn has_repeats_left(&self) -> bool {
        let now = self.shared.clock.now();
        let fleet = &self.shared.fleet;
        self.progress.tries.load(Ordering::Relaxed) < MAX_TRIES
            && fleet.may_claim_retry(&self.admitted.service.name, now)
    }

    /// Number of times that the request was sent to a server.
    pub fn sends(&self) -> u32 {
        self.progress.sends.load(Ordering::Relaxed)
    }

    /// Name for what one try reserves. No other try has it, so that a late release does not end what the
    /// next one holds.
    pub fn reservation_name(&self) -> String {
        let tries = &self.progress.reservations;
        format!("{}-{}", self.head.id, tries.fetch_add(1, Ordering::Relaxed))
    }

    /// Number of servers that may have run the request, including those that are gone.
    pub fn possible_runs(&self) -> u32 {
        self.progress.possible_runs.load(Ordering::Relaxed)
    }

    /// Whether one more server may run the request.
    pub fn may_run_again(&self) -> bool {
        let idempotent = self.admitted.route.kind.is_idempotent();
        self.possible_runs() == 0
            || idempotent && self.possible_live_runs() < self.admitted.route.max_attempts
    }

    /// Whether the next server to run the request is the last one that may.
    pub fn is_last_run(&self) -> bool {
        !self.admitted.route.kind.is_idempotent()
            || self.possible_live_runs() + 1 >= self.admitted.route.max_attempts
    }

    /// Number of servers that may have run the request and are not known to be gone. The users of the
    /// platform do not count those that are gone towards the limit of servers on which a request may run.
    fn possible_live_runs(&self) -> u32 {
        self.possible_runs().saturating_sub(self.checks.gone())
    }

    /// Value of the `kind` label in metrics.
    pub fn kind(&self) -> &'static str {
        use policy::RouteKind;
        match self.admitted.route.kind {
            RouteKind::Safe => "safe",
            RouteKind::Unsafe => "unsafe",
            RouteKind::Stream { .. } => "stream",
        }
    }

    /// Logs and counts the end of the call. Only the first call of this method has an effect.
    pub fn record_end(&self, outcome: &str, detail: &str) {
        if self.progress.ended.swap(true, Ordering::Relaxed) {
            return;
        }
        self.shared.open_calls.remove(self.number);
        let took = self.shared.clock.now().saturating_sub(self.arrived);
        self.shared.metrics.request(self.kind(), outcome);
        let is_draining = self.shared.draining.is_started();
        let run_end = self.progress.last_run_end.get().map(RunEnd::name);
        if let Some(run_end) = run_end {
            let metrics = &self.shared.metrics;
            metrics.run_end(run_end, outcome, is_draining);
        }
        info!(self.shared.log, #KEPT_LINE, "call: ended"; "req" => &*self.head.id, "outcome" => outcome,
            "detail" => detail, "route" => &*self.admitted.route.name,
            "service" => &*self.admitted.service.name,
            "team" => self.admitted.team.as_ref().map(|team| team.name.to_string()),
            "declarations" => self.admitted.declarations, "sends" => self.sends(),
            "runs" => self.possible_runs(), "run_end" => run_end, "draining" => is_draining,
            "took_ms" => took.as_millis() as u64, "left_ms" => self.remaining().as_millis() as u64,
            "peer" => %self.peer);
    }

    /// Ends the call with a response that the gateway generates.
    pub fn end_with_reply(&self, reply: LocalReply, detail: &str) -> Response<Body> {
        let (reply, _) = reply.unless_in_doubt(&self.shared, self.admitted.declarations);
        if let LocalReply::NotRun(_) = reply {
            self.shared.metrics.refusal(detail);
        }
        self.record_end(reply.outcome(), detail);
        reply.response(Some(&self.head.id))
    }

    /// Ends the call where no server gave a usable response. It is reported as not run if no
    /// server may have run it.
    pub fn end_without_response(&self, retry_after: Duration, detail: &str) -> Response<Body> {
        if self.possible_runs() == 0 {
            self.end_with_reply(LocalReply::NotRun(retry_after), detail)
        } else if self.remaining().is_zero() {
            self.record_run_end(RunEnd::TimeLimit);
            self.end_with_reply(LocalReply::TimedOut, detail)
        } else {
            self.end_with_reply(LocalReply::Failed, detail)
        }
    }
}

impl Call {
    /// Whether a call with one whole answer can be expected to end before the process does.
    pub fn may_start(&self) -> bool {
        let Some(drain) = self.shared.draining.times() else {
            return true;
        };
        let (route, service) = (&self.admitted.route, &self.admitted.service.name);
        let measured = self.shared.lock_call_times().expected(&route.name, service);
        let call = LateCall {
            expected: measured.unwrap_or(route.target_latency),
            deadline: self.deadline,
            is_idempotent: route.kind.is_idempotent(),
        };
        drain.may_start(&call, self.shared.clock.now())
    }

    /// The stream of a plain server. Where none of the route was measured, it may last as long as the call.
    pub fn late_stream(&self) -> LateStream {
        let measured = self.shared.lock_call_times();
        let measured = measured.expected_stream(&self.admitted.route.name);
        LateStream {
            forecast: measured.unwrap_or(Duration::MAX).min(self.remaining()),
        }
    }

    /// Whether a stream can be expected to end before the process does.
    pub fn may_stream(&self, stream: &LateStream) -> bool {
        let drain = self.shared.draining.times();
        drain.is_none_or(|drain| drain.may_stream(stream, self.shared.clock.now()))
    }

    /// Records how long a server took for the call, or after which time it was given up.
    pub fn record_time(&self, taken: Duration) {
        let (route, service) = (&self.admitted.route.name, &self.admitted.service.name);
        let mut times = self.shared.lock_call_times();
        times.record(route, service, taken);
    }

    /// Records how long a stream of a plain server took.
    pub fn record_stream_time(&self, taken: Duration) {
        let mut times = self.shared.lock_call_times();
        times.record_stream(&self.admitted.route.name, taken);
    }

    /// Ends the call with a reply that says whether it may have run, as the process ends.
    pub fn end_in_drain(&self) -> Response<Body> {
        if self.possible_runs() > 0 {
            self.record_run_end(RunEnd::Draining);
        }
        self.end_without_response(DRAIN_RETRY_AFTER, DRAINING_REASON)
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if self.possible_runs() > 0 && !self.progress.ended.load(Ordering::Relaxed) {
            self.record_run_end(RunEnd::CallerLeft);
        }
        self.record_end("caller left", "");
    }
}
