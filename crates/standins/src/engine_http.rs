//! HTTP API of the model engine stand-in.

use crate::completion::{Completion, CompletionApi, CompletionRequest};
use crate::engine_spec::{
    AttemptId, EngineOrder, EngineOutput, EngineRefusal, EngineRequest, EngineSegment,
};
use crate::engine_standin::{EngineStandin, error_response};
use crate::standin_server::{
    Call, CallError, aborted_response, json_response, text_response, typed_response,
};
use async_channel::Receiver;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future::or;
use hyper::{Method, Request, Response, StatusCode};
use runtime::{Body, BodySender};
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

const MAX_PEER_RESPONSE_BYTES: usize = 1 << 20;
const PEER_TIMEOUT: Duration = Duration::from_secs(600);
const WEIGHT_RETRY_INTERVAL: Duration = Duration::from_millis(500);
const DEFAULT_PRIORITY: u8 = 5;

#[derive(Deserialize)]
struct AttemptBody {
    attempt: Box<str>,
}

#[derive(Deserialize)]
struct ReserveBody {
    grant: Box<str>,
    tokens: u64,
}

#[derive(Deserialize)]
struct ReleaseBody {
    grant: Box<str>,
}

#[derive(Deserialize)]
struct SegmentBody {
    grant: Box<str>,
    segment: u32,
    from: u64,
    to: u64,
    import_from: Option<SocketAddr>,
    import_grant: Option<Box<str>>,
}

#[derive(Deserialize)]
struct OrderBody {
    fence: u64,
    #[serde(default)]
    by: Box<str>,
    order: EngineOrder,
}

type CallResult = Result<Response<Body>, CallError>;

/// Tells the engine on drop that the connection of an attempt is closed.
struct DisconnectGuard {
    standin: Arc<EngineStandin>,
    attempt: AttemptId,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        let now = self.standin.clock.now();
        let mut state = self.standin.lock();
        state.unsubscribe(&self.attempt);
        state.engine.connection_closed(now, &self.attempt);
        drop(state);
        self.standin.wake();
    }
}

impl EngineStandin {
    pub(crate) async fn dispatch(&self, call: Call) -> Response<Body> {
        let path = call.uri.path();
        let result = match (&call.method, path) {
            (&Method::POST, "/v1/completions") => self.complete(&call, CompletionApi::Text).await,
            (&Method::POST, "/v1/chat/completions") => {
                self.complete(&call, CompletionApi::Chat).await
            }
            (&Method::POST, "/engine/cancel") => self.cancel(&call),
            (&Method::POST, "/engine/suspend") => self.set_suspended(&call, true),
            (&Method::POST, "/engine/resume") => self.set_suspended(&call, false),
            (&Method::POST, "/engine/reserve") => self.reserve(&call),
            (&Method::POST, "/engine/release") => self.release(&call),
            (&Method::POST, "/engine/segment") => self.segment(&call).await,
            (&Method::POST, "/engine/order") => self.order(&call),
            (&Method::GET, _) => self.read_state(&call).await,
            _ => Err(CallError::Unknown),
        };
        result.unwrap_or_else(Response::from)
    }

    async fn complete(&self, call: &Call, api: CompletionApi) -> CallResult {
        let body = CompletionRequest::parse(&call.body)?;
        let completion = Completion::new(api, &body.text, body.max_tokens);
        let request = self.engine_request(call, &body);
        let attempt = request.attempt.clone();
        let rx = {
            let now = self.clock.now();
            let mut state = self.lock();
            if let Err(refusal) = state.engine.submit(now, request) {
                return Ok(error_response(&refusal.to_string(), false));
            }
            state.subscribe(&attempt)
        };
        self.wake();
        let Some(standin) = self.self_ref.upgrade() else {
            return Err(CallError::Unknown);
        };
        let guard = DisconnectGuard { standin, attempt };
        if !body.stream {
            return Ok(self.wait_for_completion(completion, rx, guard).await);
        }
        let (tx, body) = Body::stream();
        self.executor
            .detach(stream_completion(completion, rx, tx, guard));
        Ok(typed_response(StatusCode::OK, "text/event-stream", body))
    }

    fn engine_request(&self, call: &Call, body: &CompletionRequest) -> EngineRequest {
        let attempt = call.header("x-attempt-id").map_or_else(
            || {
                let number = self.unnamed_attempts.fetch_add(1, Ordering::Relaxed);
                format!("unnamed-{number}").into()
            },
            Into::into,
        );
        let priority = call.header("x-priority").and_then(|text| text.parse().ok());
        EngineRequest {
            attempt,
            model: body.model.clone(),
            priority: priority.unwrap_or(DEFAULT_PRIORITY),
            prompt_tokens: body.tokens(),
            max_tokens: body.max_tokens,
            prefixes: body.prefixes.clone(),
            grant: call.header("x-grant-id").map(Into::into),
        }
    }

    async fn wait_for_completion(
        &self,
        completion: Completion,
        rx: Receiver<EngineOutput>,
        _guard: DisconnectGuard,
    ) -> Response<Body> {
        loop {
            match rx.recv().await {
                Ok(EngineOutput::Done { .. }) => {
                    let body = Body::full(completion.body());
                    return typed_response(StatusCode::OK, "application/json", body);
                }
                Ok(EngineOutput::Failed { .. }) => return error_response("broke off", true),
                Ok(_) => {}
                Err(_) if self.is_cutting_connections() => return aborted_response().await,
                Err(_) => return error_response("cancelled", true),
            }
        }
    }

    fn cancel(&self, call: &Call) -> CallResult {
        let body: AttemptBody = call.json()?;
        let now = self.clock.now();
        let mut state = self.lock();
        state.engine.cancel(now, &body.attempt);
        state.unsubscribe(&body.attempt);
        drop(state);
        self.wake();
        Ok(empty_response())
    }

    fn set_suspended(&self, call: &Call, suspended: bool) -> CallResult {
        let body: AttemptBody = call.json()?;
        let now = self.clock.now();
        let engine = &mut self.lock().engine;
        let result = if suspended {
            engine.suspend(now, &body.attempt)
        } else {
            engine.resume(now, &body.attempt)
        };
        self.wake();
        Ok(result.map_or_else(refusal_response, |()| empty_response()))
    }

    fn reserve(&self, call: &Call) -> CallResult {
        let body: ReserveBody = call.json()?;
        let now = self.clock.now();
        let result = self.lock().engine.reserve(now, &body.grant, body.tokens);
        Ok(result.map_or_else(refusal_response, |()| empty_response()))
    }

    fn release(&self, call: &Call) -> CallResult {
        let body: ReleaseBody = call.json()?;
        let now = self.clock.now();
        self.lock().engine.release(now, &body.grant);
        self.wake();
        Ok(empty_response())
    }

    async fn segment(&self, call: &Call) -> CallResult {
        let body: SegmentBody = call.json()?;
        if let (Some(peer), Some(grant)) = (body.import_from, &body.import_grant)
            && !self.import_grant(peer, grant).await
        {
            return Ok(error_response("import failed", false));
        }
        let segment = EngineSegment {
            grant: body.grant,
            segment: body.segment,
            from: body.from,
            to: body.to,
            import_tokens: 0,
        };
        let rx = {
            let now = self.clock.now();
            let mut state = self.lock();
            let rx = state.subscribe_segment(&segment.grant, segment.segment);
            if let Err(refusal) = state.engine.prefill_segment(now, segment) {
                return Ok(refusal_response(refusal));
            }
            rx
        };
        self.wake();
        match rx.recv().await {
            Ok(true) => Ok(empty_response()),
            _ => Ok(error_response("segment broke off", true)),
        }
    }

    async fn import_grant(&self, peer: SocketAddr, grant: &str) -> bool {
        let req = Request::get(format!("/engine/export/{grant}"))
            .header("host", peer.to_string())
            .body(Body::empty());
        let Ok(req) = req else {
            return false;
        };
        let response = self
            .client
            .fetch(peer, req, MAX_PEER_RESPONSE_BYTES, PEER_TIMEOUT)
            .await;
        response.is_ok_and(|(status, _)| status == StatusCode::OK)
    }

    fn order(&self, call: &Call) -> CallResult {
        let body: OrderBody = call.json()?;
        let now = self.clock.now();
        let result = self
            .lock()
            .engine
            .apply_order(now, body.fence, &body.by, &body.order);
        self.wake();
        Ok(match result {
            Ok(loading) => {
                if let (Some(model), Some(peer), Some(standin)) =
                    (loading, self.weight_store, self.self_ref.upgrade())
                {
                    self.executor.detach(load_weights(standin, peer, model));
                }
                empty_response()
            }
            Err(refusal) => refusal_response(refusal),
        })
    }

    async fn read_state(&self, call: &Call) -> CallResult {
        let now = self.clock.now();
        let path = call.uri.path();
        if let Some(grant) = path.strip_prefix("/engine/export/") {
            return Ok(self.export_grant(grant).await);
        }
        let state = self.lock();
        let engine = &state.engine;
        match path {
            "/engine/load" => Ok(json_response(StatusCode::OK, &engine.load_report(now))),
            "/engine/events" => {
                let after = call
                    .uri
                    .query()
                    .and_then(|query| query.strip_prefix("after="));
                let after = after.and_then(|text| text.parse().ok()).unwrap_or(0);
                Ok(json_response(
                    StatusCode::OK,
                    &engine.cache_events(now, after),
                ))
            }
            "/engine/holdings" => {
                let body = serde_json::json!({
                    "holdings": engine.reservations(now),
                    "cache_tokens": engine.cache_tokens(),
                });
                Ok(json_response(StatusCode::OK, &body))
            }
            "/engine/orders" => Ok(json_response(StatusCode::OK, engine.order_state())),
            _ => Err(CallError::Unknown),
        }
    }

    async fn export_grant(&self, grant: &str) -> Response<Body> {
        let export = self.lock().engine.export_grant(grant);
        match export {
            Ok((tokens, transfer_time)) => {
                Timer::after(transfer_time).await;
                let checksum = xxh3_64(grant.as_bytes()) ^ tokens;
                let body =
                    serde_json::json!({ "grant": grant, "tokens": tokens, "checksum": checksum });
                json_response(StatusCode::OK, &body)
            }
            Err(refusal) => refusal_response(refusal),
        }
    }
}

/// Streams a completion until it ends or the caller disconnects.
async fn stream_completion(
    completion: Completion,
    rx: Receiver<EngineOutput>,
    tx: BodySender,
    _guard: DisconnectGuard,
) {
    loop {
        let next = async { Some(rx.recv().await) };
        let disconnected = async {
            tx.closed().await;
            None
        };
        let event = match or(next, disconnected).await {
            Some(Ok(EngineOutput::Token { index, .. })) => completion.event(index),
            Some(Ok(EngineOutput::Done { .. })) => {
                let last = Bytes::from_static(completion.last_event().as_bytes());
                let _ = tx.send(last).await;
                return tx.finish().await;
            }
            Some(_) => return tx.abort("broke off").await,
            None => return,
        };
        if tx.send(event.into()).await.is_err() {
            return;
        }
    }
}

/// Reads the weights of a model from the weight store, retrying while the store refuses, and then
/// completes the load.
async fn load_weights(standin: Arc<EngineStandin>, peer: SocketAddr, model: Box<str>) {
    let path = format!("/weights/{}", model.replace('@', "/"));
    loop {
        let req = Request::post(&path)
            .header("host", peer.to_string())
            .body(Body::empty());
        let Ok(req) = req else {
            return;
        };
        let response = standin
            .client
            .fetch(peer, req, MAX_PEER_RESPONSE_BYTES, PEER_TIMEOUT)
            .await;
        if response.is_ok_and(|(status, _)| status == StatusCode::OK) {
            break;
        }
        Timer::after(WEIGHT_RETRY_INTERVAL).await;
    }
    let now = standin.clock.now();
    standin.lock().engine.finish_load(now, &model);
    standin.wake();
}

fn empty_response() -> Response<Body> {
    json_response(StatusCode::OK, &serde_json::json!({}))
}

fn refusal_response(refusal: EngineRefusal) -> Response<Body> {
    let status = match refusal {
        EngineRefusal::StaleFence => StatusCode::PRECONDITION_FAILED,
        EngineRefusal::MissingIdentity => StatusCode::FORBIDDEN,
        EngineRefusal::CannotSuspend | EngineRefusal::NoMemory => StatusCode::CONFLICT,
        EngineRefusal::UnknownGrant => StatusCode::NOT_FOUND,
        _ => return error_response(&refusal.to_string(), false),
    };
    text_response(status, &refusal.to_string())
}
