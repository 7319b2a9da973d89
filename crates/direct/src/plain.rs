//! Calls whose response is one complete body.

use crate::answer_body::read_body;
use crate::attempt::{AttemptError, send};
use crate::call::Call;
use crate::crash_guard::{BLOCKED_REASON, GuardedRun, admit, await_turn, blocked_retry_after};
use crate::job::Job;
use crate::local_reply::LocalReply;
use crate::plain_server::{choose_server, no_server};
use crate::run_end::RunEnd;
use crate::send_permit::SendPermit;
use crate::server_probe::{detect_crashed_server, may_run_again};
use adapter::{promises_not_run, response_headers};
use async_io::Timer;
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use policy::{AttemptResult, BackendId, DRAIN_RETRY_AFTER, DRAINING_REASON};
use proto::BackendEntry;
use runtime::{Body, SingleResponse, timeout};
use slog::info;
use std::time::Duration;

/// `Retry-After` of refused requests, such as where no server gave an answer.
const REFUSAL_RETRY_AFTER: Duration = Duration::from_millis(100);
/// An attempt that may be retried times out after this fraction of the time left, or after
/// `ATTEMPT_TARGET_FACTOR` times the target latency, whichever is longer.
const ATTEMPT_TIME_FRACTION: f64 = 1.0 / 3.0;
const ATTEMPT_TARGET_FACTOR: f64 = 1.5;

/// Server error response, kept for the case that no other server gives a better one.
struct ErrorResponse {
    server: BackendEntry,
    head: Parts,
    body: Body,
}

/// Runs a call: tries servers until one gives a response that is no server error.
pub async fn run(call: &Call) -> Response<Body> {
    let mut tried: Vec<BackendId> = Vec::new();
    let mut error_response: Option<ErrorResponse> = None;
    let (reason, retry_after) = loop {
        let turn = await_turn(call, &tried).await;
        if !admit(call).await {
            break blocked(call);
        }
        if !call.may_start() {
            break (DRAINING_REASON, DRAIN_RETRY_AFTER);
        }
        let Some((server, mut permit)) = choose_server(call, &tried, turn) else {
            let refusal = no_server(call, &tried);
            break (refusal.reason, refusal.retry_after);
        };
        if !call.claim_try() {
            break ("tried enough", REFUSAL_RETRY_AFTER);
        }
        let _job = Job::start_plain(&call.shared, &server);
        match attempt(call, &server, &mut permit, &mut tried).await {
            Ok((head, body)) if head.status.is_server_error() && call.may_run_again() => {
                error_response = Some(ErrorResponse { server, head, body });
            }
            Ok((head, body)) => return finish(call, &server, &head, body),
            Err(AttemptError::Blocked) => break blocked(call),
            Err(AttemptError::RetryBudgetSpent) => break ("repeats spent", REFUSAL_RETRY_AFTER),
            Err(AttemptError::Draining) => break (DRAINING_REASON, DRAIN_RETRY_AFTER),
            Err(_) if call.remaining().is_zero() || !may_run_again(call).await => {
                break ("no answer", REFUSAL_RETRY_AFTER);
            }
            Err(_) => {}
        }
    };
    match error_response {
        Some(error) => finish(call, &error.server, &error.head, error.body),
        None => call.end_without_response(retry_after, reason),
    }
}

/// Why a blocked request is refused, and when the caller should retry.
fn blocked(call: &Call) -> (&'static str, Duration) {
    let retry_after = blocked_retry_after(&call.shared, &call.suspects);
    (BLOCKED_REASON, retry_after)
}

async fn attempt(
    call: &Call,
    server: &BackendEntry,
    permit: &mut SendPermit,
    tried: &mut Vec<BackendId>,
) -> Result<(Parts, Body), AttemptError> {
    let wait = attempt_timeout(call);
    let started = call.shared.clock.now();
    let run = GuardedRun::start(call, server);
    let taken = || call.shared.clock.now().saturating_sub(started);
    let gives_up = async {
        Timer::after(wait).await;
    };
    let sent = send(call, server, permit, None, gives_up, tried).await;
    if let Err(AttemptError::TimedOut(_)) = &sent {
        call.record_time(taken());
    }
    let SingleResponse { head, body, .. } = &mut sent?;
    let left = wait.saturating_sub(taken());
    let body = read_body(&call.shared, server.address, body);
    let failed = |reason: Box<str>| {
        let now = call.shared.clock.now();
        call.shared
            .fleet
            .on_result(&server.id, AttemptResult::Failed, now);
        info!(call.shared.log, "attempt: response body was cut short"; "req" => &*call.head.id,
            "server" => &*server.id, "err" => &*reason);
        AttemptError::MayHaveRun(server.id.clone(), reason)
    };
    let err = match timeout(left, body).await {
        Ok(Ok(body)) => {
            run.on_answer();
            call.record_run_end(RunEnd::Answered);
            if !head.status.is_server_error() {
                call.record_time(taken());
            }
            return Ok((head.clone(), body));
        }
        Ok(Err(err)) => {
            call.record_run_end(RunEnd::Failed);
            failed(err.to_string().into())
        }
        Err(_) => {
            call.record_time(taken());
            call.record_run_end(RunEnd::Silent);
            failed("the rest of it did not come in time".into())
        }
    };
    detect_crashed_server(call, server).await;
    Err(err)
}

/// Time to wait for one server before another one is tried.
fn attempt_timeout(call: &Call) -> Duration {
    let left = call.remaining();
    let may_retry = call.admitted.route.kind.is_idempotent()
        && call.possible_runs() + 1 < call.admitted.route.max_attempts;
    if !may_retry {
        return left;
    }
    left.min(
        left.mul_f64(ATTEMPT_TIME_FRACTION).max(
            call.admitted
                .route
                .target_latency
                .mul_f64(ATTEMPT_TARGET_FACTOR),
        ),
    )
}

fn finish(call: &Call, server: &BackendEntry, head: &Parts, body: Body) -> Response<Body> {
    let took = call.shared.clock.now().saturating_sub(call.arrived);
    call.shared.metrics.first_byte(call.kind(), took);
    let outcome = if head.status == StatusCode::OK {
        "served"
    } else {
        "server's answer"
    };
    let detail = format!("status {} of {}", head.status.as_u16(), server.id);
    relay_complete(call, head, body, outcome, &detail)
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
