//! Calls whose response is one complete body.

use crate::answer_body::read_body;
use crate::attempt::{AttemptError, send};
use crate::call::Call;
use crate::call_tries::{CallTry, TryFailure, WholeResponse, run_tries};
use crate::crash_guard::{BLOCKED_REASON, GuardedRun, admit, await_turn, blocked_retry_after};
use crate::job::Job;
use crate::local_reply::LocalReply;
use crate::on_silence::{OnSilence, record_silence};
use crate::plain_server::{choose_server, no_server};
use crate::possible_run::PossibleRun;
use crate::run_end::RunEnd;
use crate::send_permit::SendPermit;
use crate::server_probe::detect_crashed_server;
use adapter::{promises_not_run, response_headers};
use async_io::Timer;
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use policy::{AttemptResult, DRAIN_RETRY_AFTER, DRAINING_REASON};
use proto::BackendEntry;
use runtime::{Body, SingleResponse, timeout, unless};
use slog::info;
use std::future::pending;
use std::pin::pin;
use std::time::Duration;

/// `Retry-After` of refused requests, such as where no server gave an answer.
const REFUSAL_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Another server is tried after this fraction of the time left, or after `SILENCE_TARGET_FACTOR` times the
/// target latency, whichever is longer.
const SILENCE_FRACTION: f64 = 1.0 / 3.0;
const SILENCE_TARGET_FACTOR: f64 = 1.5;

/// Sends a call whose response is one complete body.
struct PlainTry<'a>(&'a Call);

impl CallTry for PlainTry<'_> {
    type Success = WholeResponse;

    fn call(&self) -> &Call {
        self.0
    }

    async fn run(&self, silence: OnSilence<'_>) -> Result<WholeResponse, TryFailure> {
        try_server(self.0, silence).await
    }
}

/// Runs a call: tries servers until one gives a response that is no server error.
pub async fn run(call: &Call) -> Response<Body> {
    let failure = match run_tries(&PlainTry(call)).await {
        Ok(response) => return finish(call, response),
        Err(failure) => failure,
    };
    let (reason, retry_after) = failure
        .refusal
        .unwrap_or(("no answer", REFUSAL_RETRY_AFTER));
    match failure.error {
        Some(error) => finish(call, error),
        None => call.end_without_response(retry_after, reason),
    }
}

async fn try_server(call: &Call, silence: OnSilence<'_>) -> Result<WholeResponse, TryFailure> {
    let turn = await_turn(call).await;
    if !admit(call).await {
        return Err(blocked(call));
    }
    if !call.may_start() {
        return Err(TryFailure::refused(DRAINING_REASON, DRAIN_RETRY_AFTER));
    }
    let Some((server, mut permit)) = choose_server(call, turn) else {
        let refusal = no_server(call);
        return Err(TryFailure::refused(refusal.reason, refusal.retry_after));
    };
    if !call.claim_try() {
        return Err(TryFailure::refused("tried enough", REFUSAL_RETRY_AFTER));
    }
    let _job = Job::start_plain(&call.shared, &server);
    match attempt(call, &server, &mut permit, silence).await {
        Ok((head, body)) => {
            let server = server.id;
            let response = WholeResponse { server, head, body };
            if response.head.status.is_server_error() {
                return Err(TryFailure::server_error(response));
            }
            Ok(response)
        }
        Err(AttemptError::Blocked) => Err(blocked(call)),
        Err(AttemptError::RetryBudgetSpent) => {
            Err(TryFailure::refused("repeats spent", REFUSAL_RETRY_AFTER))
        }
        Err(AttemptError::Draining) => Err(TryFailure::refused(DRAINING_REASON, DRAIN_RETRY_AFTER)),
        Err(_) => Err(TryFailure::default()),
    }
}

/// Why a blocked request is refused, and when the caller should retry.
fn blocked(call: &Call) -> TryFailure {
    let retry_after = blocked_retry_after(&call.shared, &call.suspects);
    TryFailure::refused(BLOCKED_REASON, retry_after)
}

async fn attempt(
    call: &Call,
    server: &BackendEntry,
    permit: &mut SendPermit,
    silence: OnSilence<'_>,
) -> Result<(Parts, Body), AttemptError> {
    let wait = silence_limit(call);
    let started = call.shared.clock.now();
    let run = GuardedRun::start(call, server);
    let possible_run = PossibleRun::new(call);
    let taken = || call.shared.clock.now().saturating_sub(started);
    let mut gives_up = pin!(async {
        match wait {
            Some(wait) => drop(Timer::after(wait).await),
            None => pending().await,
        }
        if !silence.ends_try(call, false) {
            call.record_time(taken());
            possible_run.count();
            record_silence(call, server);
            silence.notify();
            call.checks.until_cut_off(&server.id).await;
        }
    });
    let sent = send(call, server, permit, None, gives_up.as_mut(), &possible_run).await;
    if let Err(AttemptError::TimedOut(_)) = &sent {
        call.record_time(taken());
    }
    let SingleResponse { head, body, .. } = &mut sent?;
    let body = unless(read_body(&call.shared, server.address, body), gives_up);
    let failed = |end: RunEnd, reason: Box<str>| {
        let now = call.shared.clock.now();
        call.record_run_end(end);
        call.shared
            .fleet
            .on_result(&server.id, AttemptResult::Failed, now);
        info!(call.shared.log, "attempt: response body was cut short"; "req" => &*call.head.id,
            "server" => &*server.id, "err" => &*reason);
        AttemptError::MayHaveRun(server.id.clone(), reason)
    };
    let err = match timeout(call.remaining(), body).await {
        Ok(Some(Ok(body))) => {
            run.on_answer();
            call.record_run_end(RunEnd::Answered);
            if !head.status.is_server_error() {
                call.record_time(taken());
            }
            return Ok((head.clone(), body));
        }
        Ok(Some(Err(err))) => failed(RunEnd::Failed, err.to_string().into()),
        Ok(None) | Err(_) => {
            call.record_time(taken());
            let reason = "the rest of it did not come in time";
            failed(RunEnd::Silent, reason.into())
        }
    };
    detect_crashed_server(call, server).await;
    Err(err)
}

/// Time after which a server without a whole response counts as silent; `None` if no other one may run the
/// call.
fn silence_limit(call: &Call) -> Option<Duration> {
    let may_retry = call.admitted.route.kind.is_idempotent()
        && call.possible_runs() + 1 < call.admitted.route.max_attempts;
    let target = call.admitted.route.target_latency;
    may_retry.then(|| {
        let fraction = call.remaining().mul_f64(SILENCE_FRACTION);
        fraction.max(target.mul_f64(SILENCE_TARGET_FACTOR))
    })
}

fn finish(call: &Call, response: WholeResponse) -> Response<Body> {
    let WholeResponse { server, head, body } = response;
    let took = call.shared.clock.now().saturating_sub(call.arrived);
    call.shared.metrics.first_byte(call.kind(), took);
    let outcome = if head.status == StatusCode::OK {
        "served"
    } else {
        "server's answer"
    };
    let detail = format!("status {} of {server}", head.status.as_u16());
    relay_complete(call, &head, body, outcome, &detail)
}

/// Ends the call with a complete response of a server that has not vouched that it did not run the request.
///
/// Callers take some statuses for the promise that the request has not run and may be sent again. For a
/// call that must not run twice they are replaced by a reply of the gateway's own that promises nothing.
pub fn relay_complete(
    call: &Call,
    head: &Parts,
    body: Body,
    outcome: &str,
    detail: &str,
) -> Response<Body> {
    if !call.admitted.route.kind.is_idempotent() && promises_not_run(head.status) {
        return call.end_with_reply(LocalReply::Failed, detail);
    }
    call.record_end(outcome, detail);
    caller_response(head, body)
}

/// Builds the response to the caller from that of a server.
pub fn caller_response(head: &Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = response_headers(head);
    response
}
