//! One send of a call to one backend server.

use crate::call::Call;
use adapter::{Forward, Helper, ServerHead, forward};
use hyper::http::response::Parts;
use policy::AttemptResult;
use proto::BackendEntry;
use quick_error::quick_error;
use runtime::{Body, HttpError, SingleAnswer, SingleExchange, timeout};
use slog::info;
use std::time::Duration;

/// Time to reach a server; within a region that takes milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

quick_error! {
    /// A send that gave no answer that could be used.
    #[derive(Debug)]
    pub enum AttemptError {
        /// The server certainly has not run the request.
        NotRun(server: Box<str>, reason: Box<str>) {
            display("{server} has not run it: {reason}")
        }
        /// The server was reached, but the budget of repeats is spent.
        RetryBudgetSpent {
            display("the budget of repeats is spent")
        }
        /// The server may have run it.
        MayHaveRun(server: Box<str>, reason: Box<str>) {
            display("{server} may have run it: {reason}")
        }
        /// The server was silent for as long as it could be waited for; it may have run it.
        TimedOut(server: Box<str>) {
            display("{server} was silent for too long")
        }
    }
}

/// Sends a call to a server and waits for at most `wait` for the head of its answer.
pub async fn send(
    call: &Call,
    server: &BackendEntry,
    helpers: &[Helper],
    last_event: Option<u64>,
    wait: Duration,
) -> Result<SingleAnswer, AttemptError> {
    let result = exchange(call, server, helpers, last_event, wait).await;
    let (health, name) = match &result {
        Ok(response) if response.head.status.is_server_error() => (AttemptResult::Failed, "error"),
        Ok(_) => (AttemptResult::Answered, "answer"),
        Err(AttemptError::NotRun(_, reason)) if &**reason == SERVER_FULL => {
            (AttemptResult::Full, "full")
        }
        Err(AttemptError::NotRun(..)) => (AttemptResult::Silent, "not run"),
        Err(AttemptError::RetryBudgetSpent) => return result,
        Err(AttemptError::MayHaveRun(..)) => (AttemptResult::Failed, "failed"),
        Err(AttemptError::TimedOut(_)) => (AttemptResult::Silent, "silent"),
    };
    call.shared
        .fleet
        .on_result(&server.id, health, call.shared.clock.now());
    call.shared.metrics.attempt(name);
    if !matches!(result, Err(AttemptError::NotRun(..))) {
        call.record_possible_run();
    }
    if matches!(
        result,
        Err(AttemptError::MayHaveRun(..) | AttemptError::TimedOut(_))
    ) {
        detect_lost_server(call, server).await;
    }
    if let Err(err) = &result {
        info!(call.shared.log, "attempt: no answer"; "req" => &*call.head.id,
            "server" => &*server.id, "address" => %server.address, "err" => %err);
    }
    result
}

/// Looks whether a server that broke off, or was silent, has gone.
pub async fn detect_lost_server(call: &Call, server: &BackendEntry) -> bool {
    if !call.admitted.route.kind.is_idempotent() {
        return false;
    }
    let shared = &call.shared;
    let reached = SingleExchange::connect(&shared.executor, server.address, PROBE_TIMEOUT).await;
    if let Err(err) = reached {
        info!(shared.log, "attempt: the server has gone"; "req" => &*call.head.id,
            "server" => &*server.id, "err" => %err);
        call.record_lost_run();
        return true;
    }
    false
}

/// Time in which a server that is still there takes a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);
const SERVER_FULL: &str = "it is full";

async fn exchange(
    call: &Call,
    server: &BackendEntry,
    helpers: &[Helper],
    last_event: Option<u64>,
    wait: Duration,
) -> Result<SingleAnswer, AttemptError> {
    let shared = &call.shared;
    let name = || server.id.clone();
    let connect = CONNECT_TIMEOUT.min(call.remaining());
    let exchange = SingleExchange::connect(&shared.executor, server.address, connect).await;
    let exchange = exchange.map_err(|err| AttemptError::NotRun(name(), error_text(&err)))?;
    if !shared.store_cache.is_usable(&server.id, shared.clock.now()) {
        return Err(AttemptError::NotRun(name(), "it left meanwhile".into()));
    }
    if !call.claim_send() {
        return Err(AttemptError::RetryBudgetSpent);
    }
    let with = Forward {
        server: &server.id,
        deadline: call.remaining(),
        team: call.admitted.team.as_ref().map(|team| &*team.name),
        hide_key: call.admitted.hide_key,
        last_event: last_event.or(call.head.last_event),
        urgency: None,
        helpers,
    };
    let body = Body::whole(call.body.clone());
    let req = forward(&call.parts, body, call.body.len(), &with);
    shared.fleet.on_sent(&server.id, shared.clock.now());
    info!(shared.log, "attempt: sent"; "req" => &*call.head.id, "server" => &*server.id,
        "service" => &*server.service, "helpers" => helpers.len(), "behind" => last_event,
        "left_ms" => with.deadline.as_millis() as u64);
    let abandoned = AbandonedRun(call);
    let response = timeout(wait.min(call.remaining()), exchange.send(req)).await;
    std::mem::forget(abandoned);
    let response = response.map_err(|_| AttemptError::TimedOut(name()))?;
    let response = response.map_err(|err| AttemptError::MayHaveRun(name(), error_text(&err)))?;
    check_head(call, server, &response.head)?;
    Ok(response)
}

/// Counts a run whose outcome nobody waits for any more.
struct AbandonedRun<'a>(&'a Call);

impl Drop for AbandonedRun<'_> {
    fn drop(&mut self) {
        self.0.record_possible_run();
    }
}

fn check_head(call: &Call, server: &BackendEntry, parts: &Parts) -> Result<(), AttemptError> {
    let head = ServerHead::read(parts, &call.head.id);
    let name = || server.id.clone();
    if head.other_server {
        return Err(AttemptError::NotRun(
            name(),
            "another server has its address".into(),
        ));
    }
    if head.not_run {
        if let Some(blamed) = head.blamed {
            mark_blamed_engine(call, &server.service, blamed);
        }
        return Err(AttemptError::NotRun(name(), SERVER_FULL.into()));
    }
    if !head.is_genuine {
        return Err(AttemptError::MayHaveRun(
            name(),
            "the answer is not its own".into(),
        ));
    }
    Ok(())
}

/// Avoids an engine for which another one could not serve.
fn mark_blamed_engine(call: &Call, service: &str, blamed: std::net::SocketAddr) {
    let now = call.shared.clock.now();
    let servers = call.shared.store_cache.usable_servers(service, now);
    for server in servers.iter().filter(|server| server.address == blamed) {
        call.shared
            .fleet
            .on_result(&server.id, AttemptResult::Silent, now);
    }
}

fn error_text(err: &HttpError) -> Box<str> {
    err.to_string().into()
}
