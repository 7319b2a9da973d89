//! One attempt of a caller, on its way through the gateway.

use crate::local_reply::LocalReply;
use crate::shared::Shared;
use adapter::CallHead;
use bytes::Bytes;
use hyper::Response;
use hyper::http::request::Parts;
use policy::{Route, ServiceSpec, TeamEntry};
use runtime::Body;
use slog::info;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

/// Servers at which one call is tried at most, with those that cannot be reached or refuse.
const MAX_TRIES: u32 = 5;

/// What the declarations make of a request.
#[derive(Debug, Clone)]
pub struct Admission {
    /// Its route.
    pub route: Arc<Route>,
    /// Its service.
    pub service: Arc<ServiceSpec>,
    /// Team that sent it.
    pub team: Option<Arc<TeamEntry>>,
    /// Whether callers' keys are kept from servers.
    pub hide_key: bool,
    /// Largest body that callers may send.
    pub body_bytes: usize,
    /// Version of the declarations.
    pub declarations: u64,
}

/// A caller's request.
#[derive(Debug)]
pub struct Call {
    /// State of the process.
    pub shared: Arc<Shared>,
    /// What the request says.
    pub head: CallHead,
    /// Its head, to be sent on.
    pub parts: Parts,
    /// Its body, once it has been read.
    pub body: Bytes,
    /// What the declarations make of it.
    pub admitted: Admission,
    /// When it arrived.
    pub arrived: Duration,
    /// When its caller or its route wants it ended.
    pub deadline: Duration,
    progress: Progress,
}

/// What happened to a call so far, for its last log line.
#[derive(Debug, Default)]
struct Progress {
    tries: AtomicU32,
    sends: AtomicU32,
    possible_runs: AtomicU32,
    lost_runs: AtomicU32,
    ended: AtomicBool,
}

impl Call {
    /// A call whose body has not been read yet. It ends by its caller's word or its route's,
    /// whichever comes first.
    pub fn new(
        shared: Arc<Shared>,
        head: CallHead,
        parts: Parts,
        admitted: Admission,
        arrived: Duration,
    ) -> Self {
        let timeout = admitted.route.timeout;
        let limit = head
            .deadline
            .map_or(timeout, |deadline| deadline.min(timeout));
        Self {
            shared,
            head,
            parts,
            body: Bytes::new(),
            admitted,
            arrived,
            deadline: arrived + limit,
            progress: Progress::default(),
        }
    }

    /// Rank; 0 goes first. A team's goes before the route's.
    pub fn rank(&self) -> u8 {
        let team = self.admitted.team.as_ref().and_then(|team| team.rank);
        team.unwrap_or(self.admitted.route.rank)
    }

    /// Time that is left.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_sub(self.shared.clock.now())
    }

    /// Whether the call may be tried at one more server.
    pub fn claim_try(&self) -> bool {
        self.progress.tries.fetch_add(1, Ordering::Relaxed) < MAX_TRIES
    }

    /// Notes that the request goes out to a server that was reached. The first send of a call is
    /// free, the others draw on the shared budget. Says whether it may go out.
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
            self.shared.metrics.retry_denied();
            info!(self.shared.log, "call: not sent again, the budget of repeats is spent";
                "req" => &*self.head.id, "sends" => sends);
        }
        allowed
    }

    /// Notes that a server may have run the request.
    pub fn record_possible_run(&self) {
        self.progress.possible_runs.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that a server which may have run the request has gone; the users do not count it
    /// among those on which a request may run.
    pub fn record_lost_run(&self) {
        self.progress.lost_runs.fetch_add(1, Ordering::Relaxed);
    }

    /// Sends so far.
    pub fn sends(&self) -> u32 {
        self.progress.sends.load(Ordering::Relaxed)
    }

    /// Servers that may have run the request.
    pub fn possible_runs(&self) -> u32 {
        self.progress.possible_runs.load(Ordering::Relaxed)
    }

    /// Whether another server may run the request, after those that may have run it.
    pub fn may_run_again(&self) -> bool {
        let idempotent = self.admitted.route.kind.is_idempotent();
        self.possible_runs() == 0
            || idempotent && self.possible_live_runs() < self.admitted.route.max_attempts
    }

    /// Whether no other server may run the request after the next one.
    pub fn is_last_run(&self) -> bool {
        !self.admitted.route.kind.is_idempotent()
            || self.possible_live_runs() + 1 >= self.admitted.route.max_attempts
    }

    /// Servers that may have run the request and are still there.
    fn possible_live_runs(&self) -> u32 {
        let lost = self.progress.lost_runs.load(Ordering::Relaxed);
        self.possible_runs().saturating_sub(lost)
    }

    /// Kind of the call, for metrics.
    pub fn kind(&self) -> &'static str {
        use policy::RouteKind;
        match self.admitted.route.kind {
            RouteKind::Safe => "safe",
            RouteKind::Unsafe => "unsafe",
            RouteKind::Stream { .. } => "stream",
        }
    }

    /// Notes how the call ended.
    pub fn record_end(&self, outcome: &str, detail: &str) {
        if self.progress.ended.swap(true, Ordering::Relaxed) {
            return;
        }
        let took = self.shared.clock.now().saturating_sub(self.arrived);
        self.shared.metrics.request(self.kind(), outcome);
        info!(self.shared.log, "call: ended"; "req" => &*self.head.id, "outcome" => outcome,
            "detail" => detail, "route" => &*self.admitted.route.name, "service" => &*self.admitted.service.name,
            "team" => self.admitted.team.as_ref().map(|team| team.name.to_string()),
            "declarations" => self.admitted.declarations, "sends" => self.sends(), "runs" => self.possible_runs(),
            "took_ms" => took.as_millis() as u64);
    }

    /// Ends the call by an answer of the gateway's own.
    pub fn end_with_reply(&self, reply: LocalReply, detail: &str) -> Response<Body> {
        if let LocalReply::NotRun(_) = reply {
            self.shared.metrics.refusal(detail);
        }
        self.record_end(reply.outcome(), detail);
        reply.response(Some(&self.head.id))
    }

    /// Ends the call without an answer of a server: as not run where that is certain.
    pub fn end_without_response(&self, retry_after: Duration, detail: &str) -> Response<Body> {
        if self.possible_runs() == 0 {
            self.end_with_reply(LocalReply::NotRun(retry_after), detail)
        } else if self.remaining().is_zero() {
            self.end_with_reply(LocalReply::TimedOut, detail)
        } else {
            self.end_with_reply(LocalReply::Failed, detail)
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.record_end("caller left", "");
    }
}
