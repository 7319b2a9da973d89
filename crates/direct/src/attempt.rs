//! Sends a request to one backend server and classifies the result.

use crate::call::Call;
use crate::crash_guard::{BLOCKED_REASON, is_blocked};
use crate::possible_run::PossibleRun;
use crate::request_limit;
use crate::run_end::RunEnd;
use crate::send_permit::SendPermit;
use crate::server_failure;
use crate::server_pause;
use crate::server_probe::{check_server, detect_crashed_server};
use adapter::{
    ForwardOptions, Helper, ResponseHead, forwarded_request, is_leaving, requested_pause,
};
use hyper::http::response::Parts;
use policy::{AttemptResult, BackendId, DRAINING_REASON, LateStream};
use proto::{BackendEntry, PartKey};
use quick_error::quick_error;
use runtime::{Body, HttpError, SingleExchange, SingleResponse, timeout, unless};
use slog::info;
use std::net::SocketAddr;
use std::time::Duration;

/// Connections are made within one region, where they take a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

quick_error! {
    /// Why an attempt yielded no usable response.
    #[derive(Debug)]
    pub enum AttemptError {
        /// The server did not run the request, so that another one may run it.
        NotRun(server: Box<str>, reason: Box<str>) {
            display("{server} has not run it: {reason}")
        }
        /// The server did not run the request because of another one.
        OtherAtFault(server: Box<str>, other: SocketAddr) {
            display("{server} has not run it: the server at {other} failed")
        }
        /// The server did not accept the connection. Nothing was sent.
        NotConnected(server: Box<str>, reason: Box<str>) {
            display("{server} has not run it: {reason}")
        }
        /// The server was reached, but the retry budget of the service is exhausted. Nothing was
        /// sent.
        RetryBudgetSpent {
            display("the retry budget is exhausted")
        }
        /// The server was reached, but this gateway's share of a limit on the requests to it is used
        /// up. Nothing was sent.
        AtLimit(server: Box<str>) {
            display("{server} is at its limit on requests")
        }
        /// The server has asked for a pause since it was chosen. Nothing was sent.
        Paused(server: Box<str>) {
            display("{server} has asked for a pause")
        }
        /// The request crashes servers. Nothing was sent.
        Blocked {
            display("{BLOCKED_REASON}")
        }
        /// The process ends before the server can be expected to answer. Nothing was sent.
        Draining {
            display("{DRAINING_REASON}")
        }
        /// The server failed after the request was sent; it may have run it.
        MayHaveRun(server: Box<str>, reason: Box<str>) {
            display("{server} may have run it: {reason}")
        }
        /// No response head arrived within the time limit; the server may have run the request.
        TimedOut(server: Box<str>) {
            display("{server} was silent for too long")
        }
    }
}

/// What the send of a call whose response is a stream needs beside what each call does.
#[derive(Debug)]
pub struct StreamSend<'a> {
    /// Engines that prefill parts of the prompt.
    pub helpers: &'a [Helper],
    /// Event after which the engine resumes the stream.
    pub last_event: Option<u64>,
    /// The stream that it starts.
    pub stream: LateStream,
}

/// Sends a call to a server and waits for the response head until `gives_up` has ended.
///
/// Uses up `permit`. Records the result in the health of the server, in the metrics, in the call and in
/// `run`. Adds the server to those that were tried for the call, or instead of it another one that it
/// names as the one at fault.
pub async fn send(
    call: &Call,
    server: &BackendEntry,
    permit: &mut SendPermit,
    prompt: Option<StreamSend<'_>>,
    gives_up: impl Future<Output = ()>,
    run: &PossibleRun<'_>,
) -> Result<SingleResponse, AttemptError> {
    call.tried.push(server.id.clone());
    let result = exchange(call, server, permit, prompt, gives_up, run).await;
    let at_fault = match &result {
        Ok(response) => other_at_fault(server, &ResponseHead::read(&response.head, &call.head.id)),
        Err(AttemptError::OtherAtFault(_, other)) => Some(*other),
        Err(_) => None,
    };
    if let Some(other) = at_fault {
        let others = record_server_at_fault(call, server, other);
        call.tried.replace(&server.id, others);
    }
    let (health, label) = match &result {
        Ok(_) if at_fault.is_some() => (None, "other at fault"),
        Err(AttemptError::OtherAtFault(..)) => (None, "other at fault"),
        Ok(response) if asks_for_pause(&response.head) => (Some(AttemptResult::Full), "full"),
        Ok(response) if response.head.status.is_server_error() => {
            (Some(AttemptResult::Failed), "error")
        }
        Ok(_) => (Some(AttemptResult::Answered), "answer"),
        Err(AttemptError::NotRun(_, reason)) if &**reason == SERVER_FULL => {
            (Some(AttemptResult::Full), "full")
        }
        Err(AttemptError::NotRun(..) | AttemptError::NotConnected(..)) => {
            (Some(AttemptResult::Silent), "not run")
        }
        Err(AttemptError::RetryBudgetSpent | AttemptError::Blocked | AttemptError::Draining) => {
            return result;
        }
        Err(err @ (AttemptError::AtLimit(_) | AttemptError::Paused(_))) => {
            let label = match err {
                AttemptError::Paused(_) => "paused",
                _ => "at limit",
            };
            call.shared.metrics.attempt(label);
            info!(call.shared.log, "attempt: not sent"; "req" => &*call.head.id,
                "server" => &*server.id, "err" => %err);
            return result;
        }
        Err(AttemptError::MayHaveRun(..)) => (Some(AttemptResult::Failed), "failed"),
        Err(AttemptError::TimedOut(_)) => (Some(AttemptResult::Silent), "silent"),
    };
    if let Some(health) = health {
        let now = call.shared.clock.now();
        call.shared.fleet.on_result(&server.id, health, now);
    }
    call.shared.metrics.attempt(label);
    match &result {
        Err(
            AttemptError::NotRun(..)
            | AttemptError::OtherAtFault(..)
            | AttemptError::NotConnected(..),
        ) => run.on_not_run(),
        _ => run.count(),
    }
    match &result {
        Err(AttemptError::NotConnected(..)) => call.return_try(),
        Err(AttemptError::MayHaveRun(..)) => {
            call.record_run_end(RunEnd::Failed);
            detect_crashed_server(call, server).await;
        }
        Err(AttemptError::TimedOut(_)) => {
            call.record_run_end(RunEnd::Silent);
            check_server(call, server);
        }
        _ => {}
    }
    if let Err(err) = &result {
        info!(call.shared.log, "attempt: no answer"; "req" => &*call.head.id,
            "server" => &*server.id, "address" => %server.address, "err" => %err);
    }
    result
}

/// Reason of `NotRun` where the server has no capacity left.
const SERVER_FULL: &str = "it is full";

async fn exchange(
    call: &Call,
    server: &BackendEntry,
    permit: &mut SendPermit,
    prompt: Option<StreamSend<'_>>,
    gives_up: impl Future<Output = ()>,
    run: &PossibleRun<'_>,
) -> Result<SingleResponse, AttemptError> {
    let shared = &call.shared;
    let helpers = prompt.as_ref().map_or(&[][..], |prompt| prompt.helpers);
    let last_event = prompt.as_ref().and_then(|prompt| prompt.last_event);
    let name = || server.id.clone();
    let connect = CONNECT_TIMEOUT.min(call.remaining());
    let executor = &shared.executor;
    let holds_memory = helpers.iter().any(|helper| helper.reservation.is_some());
    let exchange = if holds_memory {
        // Shows whether the engine has started anew and lost the request.
        SingleExchange::connect_kept_alive(executor, server.address, connect).await
    } else {
        SingleExchange::connect(executor, server.address, connect).await
    };
    match &exchange {
        Ok(_) => server_failure::record_accepted(shared, server),
        Err(err) => server_failure::record_failure(shared, server, err),
    }
    if shared.fleet.is_paused(&server.id, shared.clock.now()) {
        return Err(AttemptError::Paused(name()));
    }
    let exchange = exchange.map_err(|err| AttemptError::NotConnected(name(), error_text(&err)))?;
    if !shared.store_cache.is_usable(&server.id, shared.clock.now()) {
        return Err(AttemptError::NotRun(name(), "it left meanwhile".into()));
    }
    let sent_at = shared.clock.now();
    if !call.is_trial() && is_blocked(shared, &call.suspects) {
        return Err(AttemptError::Blocked);
    }
    let may_start = match &prompt {
        Some(prompt) => call.may_stream(&prompt.stream),
        None => call.may_start(),
    };
    if !may_start {
        return Err(AttemptError::Draining);
    }
    if !permit.start_send() {
        return Err(AttemptError::AtLimit(name()));
    }
    if !call.claim_send() {
        return Err(AttemptError::RetryBudgetSpent);
    }
    call.end_trial();
    let options = ForwardOptions {
        server: &server.id,
        time_left: call.remaining(),
        team: call.admitted.team.as_ref().map(|team| &*team.name),
        hide_key: call.admitted.hide_key,
        last_event_id: last_event.or(call.head.last_event_id),
        priority: None,
        helpers,
    };
    let body = Body::full(call.body.clone());
    let req = forwarded_request(&call.parts, body, call.body.len(), &options);
    info!(shared.log, "attempt: sent"; "req" => &*call.head.id, "server" => &*server.id,
        "service" => &*server.service, "helpers" => helpers.len(), "behind" => last_event,
        "left_ms" => options.time_left.as_millis() as u64,
        "parts" => format_parts(&call.head.shared_parts), "key" => format!("{:016x}", call.key));
    run.on_sent();
    let response = unless(exchange.send(req), gives_up);
    let response = timeout(call.remaining(), response).await;
    let response = response.ok().flatten();
    let response = response.ok_or_else(|| AttemptError::TimedOut(name()))?;
    let response = response.map_err(|err| {
        if err.is_invalid_head() {
            shared.metrics.invalid_answer("head");
        }
        AttemptError::MayHaveRun(name(), error_text(&err))
    })?;
    let head = ResponseHead::read(&response.head, &call.head.id);
    if head.is_genuine && !head.misdirected {
        server_failure::record_data(shared, server);
    }
    if !head.misdirected {
        request_limit::record(shared, &server.id, &response.head.headers, sent_at);
        server_pause::record(shared, &server.id, head.status, &response.head.headers);
        if is_leaving(&response.head.headers) {
            let now = shared.clock.now();
            shared.store_cache.on_leaving(&server.id, now);
        }
    }
    check_head(server, &head)?;
    Ok(response)
}

/// Whether a response asks for a pause.
fn asks_for_pause(head: &Parts) -> bool {
    requested_pause(head.status, &head.headers).is_ok_and(|pause| pause.is_some())
}

fn check_head(server: &BackendEntry, head: &ResponseHead) -> Result<(), AttemptError> {
    let name = || server.id.clone();
    if let Some(other) = other_at_fault(server, head)
        && head.not_run
    {
        return Err(AttemptError::OtherAtFault(name(), other));
    }
    if head.misdirected {
        return Err(AttemptError::NotRun(
            name(),
            "another server has its address".into(),
        ));
    }
    if head.not_run {
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

/// Address of another server that a response names as the one at fault.
fn other_at_fault(server: &BackendEntry, head: &ResponseHead) -> Option<SocketAddr> {
    let other = head.server_at_fault;
    other.filter(|other| *other != server.address)
}

/// Records the failure of the servers at an address that `answered` has named as at fault, and returns
/// their ids.
fn record_server_at_fault(
    call: &Call,
    answered: &BackendEntry,
    address: SocketAddr,
) -> Vec<BackendId> {
    let shared = &call.shared;
    let now = shared.clock.now();
    let mut servers = shared.store_cache.usable_servers(&answered.service, now);
    servers.retain(|server| server.address == address);
    for server in &servers {
        info!(shared.log, "attempt: another server is at fault"; "req" => &*call.head.id,
            "server" => &*answered.id, "at_fault" => &*server.id);
        let fleet = &shared.fleet;
        fleet.on_result(&server.id, AttemptResult::Silent, now);
        fleet.with_failures(now, |failures| failures.on_named_at_fault(server, now));
    }
    servers.into_iter().map(|server| server.id).collect()
}

/// Ids of parts of prompts, for logs.
fn format_parts(parts: &[PartKey]) -> String {
    let ids = parts.iter().map(|part| format!("{part:x}"));
    ids.collect::<Vec<_>>().join(" ")
}

fn error_text(err: &HttpError) -> Box<str> {
    err.to_string().into()
}
