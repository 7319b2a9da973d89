//! The calls of a model engine over HTTP.

use crate::completion::{Completion, CompletionApi, CompletionRequest};
use crate::engine_spec::{
    AttemptId, EngineOrder, EngineOutput, EngineRefusal, EngineRequest, EngineSegment,
};
use crate::engine_standin::{EngineStandin, refused_answer};
use crate::standin_server::{Call, CallError, cut_answer, json_answer, text_answer, typed_answer};
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

const PEER_ANSWER_BYTES: usize = 1 << 20;
const PEER_TIME: Duration = Duration::from_secs(600);
const WEIGHT_PAUSE: Duration = Duration::from_millis(500);
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

type Answered = Result<Response<Body>, CallError>;

/// Closes an attempt whose caller leaves.
struct Open {
    standin: Arc<EngineStandin>,
    attempt: AttemptId,
}

impl Drop for Open {
    fn drop(&mut self) {
        let now = self.standin.clock.now();
        let mut state = self.standin.lock();
        state.unlisten(&self.attempt);
        state.model.connection_closed(now, &self.attempt);
        drop(state);
        self.standin.wake();
    }
}

impl EngineStandin {
    pub(crate) async fn answer(&self, call: Call) -> Response<Body> {
        let path = call.uri.path();
        let answered = match (&call.method, path) {
            (&Method::POST, "/v1/completions") => self.run(&call, CompletionApi::Text).await,
            (&Method::POST, "/v1/chat/completions") => self.run(&call, CompletionApi::Chat).await,
            (&Method::POST, "/engine/cancel") => self.cancel(&call),
            (&Method::POST, "/engine/suspend") => self.suspend(&call, true),
            (&Method::POST, "/engine/resume") => self.suspend(&call, false),
            (&Method::POST, "/engine/reserve") => self.reserve(&call),
            (&Method::POST, "/engine/release") => self.release(&call),
            (&Method::POST, "/engine/segment") => self.segment(&call).await,
            (&Method::POST, "/engine/order") => self.order(&call),
            (&Method::GET, _) => self.show(&call).await,
            _ => Err(CallError::Unknown),
        };
        answered.unwrap_or_else(Response::from)
    }

    async fn run(&self, call: &Call, form: CompletionApi) -> Answered {
        let prompt = CompletionRequest::parse(&call.body)?;
        let answer = Completion::new(form, &prompt.text, prompt.max_tokens);
        let request = self.request_of(call, &prompt);
        let attempt = request.attempt.clone();
        let rx = {
            let now = self.clock.now();
            let mut state = self.lock();
            if let Err(refusal) = state.model.submit(now, request) {
                return Ok(refused_answer(&refusal.to_string(), false));
            }
            state.listen(&attempt)
        };
        self.wake();
        let Some(standin) = self.this.upgrade() else {
            return Err(CallError::Unknown);
        };
        let open = Open { standin, attempt };
        if !prompt.stream {
            return Ok(self.whole(answer, rx, open).await);
        }
        let (tx, body) = Body::stream();
        self.executor.detach(feed(answer, rx, tx, open));
        Ok(typed_answer(StatusCode::OK, "text/event-stream", body))
    }

    fn request_of(&self, call: &Call, prompt: &CompletionRequest) -> EngineRequest {
        let attempt = call.header("x-attempt-id").map_or_else(
            || {
                let number = self.unnamed.fetch_add(1, Ordering::Relaxed);
                format!("unnamed-{number}").into()
            },
            Into::into,
        );
        let priority = call.header("x-priority").and_then(|text| text.parse().ok());
        EngineRequest {
            attempt,
            model: prompt.model.clone(),
            priority: priority.unwrap_or(DEFAULT_PRIORITY),
            prompt_tokens: prompt.tokens(),
            max_tokens: prompt.max_tokens,
            prefixes: prompt.prefixes.clone(),
            grant: call.header("x-grant-id").map(Into::into),
        }
    }

    async fn whole(
        &self,
        answer: Completion,
        rx: Receiver<EngineOutput>,
        _open: Open,
    ) -> Response<Body> {
        loop {
            match rx.recv().await {
                Ok(EngineOutput::Done { .. }) => {
                    let body = Body::full(answer.body());
                    return typed_answer(StatusCode::OK, "application/json", body);
                }
                Ok(EngineOutput::Failed { .. }) => return refused_answer("broke off", true),
                Ok(_) => {}
                Err(_) if self.is_cutting() => return cut_answer().await,
                Err(_) => return refused_answer("cancelled", true),
            }
        }
    }

    fn cancel(&self, call: &Call) -> Answered {
        let body: AttemptBody = call.json()?;
        let now = self.clock.now();
        let mut state = self.lock();
        state.model.cancel(now, &body.attempt);
        state.unlisten(&body.attempt);
        drop(state);
        self.wake();
        Ok(done())
    }

    fn suspend(&self, call: &Call, suspended: bool) -> Answered {
        let body: AttemptBody = call.json()?;
        let now = self.clock.now();
        let model = &mut self.lock().model;
        let result = if suspended {
            model.suspend(now, &body.attempt)
        } else {
            model.resume(now, &body.attempt)
        };
        self.wake();
        Ok(result.map_or_else(refusal_answer, |()| done()))
    }

    fn reserve(&self, call: &Call) -> Answered {
        let body: ReserveBody = call.json()?;
        let now = self.clock.now();
        let result = self.lock().model.reserve(now, &body.grant, body.tokens);
        Ok(result.map_or_else(refusal_answer, |()| done()))
    }

    fn release(&self, call: &Call) -> Answered {
        let body: ReleaseBody = call.json()?;
        let now = self.clock.now();
        self.lock().model.release(now, &body.grant);
        self.wake();
        Ok(done())
    }

    async fn segment(&self, call: &Call) -> Answered {
        let body: SegmentBody = call.json()?;
        if let (Some(peer), Some(grant)) = (body.import_from, &body.import_grant)
            && !self.import(peer, grant).await
        {
            return Ok(refused_answer("import failed", false));
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
            let rx = state.listen_segment(&segment.grant, segment.segment);
            if let Err(refusal) = state.model.prefill_segment(now, segment) {
                return Ok(refusal_answer(refusal));
            }
            rx
        };
        self.wake();
        match rx.recv().await {
            Ok(true) => Ok(done()),
            _ => Ok(refused_answer("segment broke off", true)),
        }
    }

    async fn import(&self, peer: SocketAddr, grant: &str) -> bool {
        let req = Request::get(format!("/engine/export/{grant}"))
            .header("host", peer.to_string())
            .body(Body::empty());
        let Ok(req) = req else {
            return false;
        };
        let answer = self
            .client
            .fetch(peer, req, PEER_ANSWER_BYTES, PEER_TIME)
            .await;
        answer.is_ok_and(|(status, _)| status == StatusCode::OK)
    }

    fn order(&self, call: &Call) -> Answered {
        let body: OrderBody = call.json()?;
        let now = self.clock.now();
        let taken = self
            .lock()
            .model
            .apply_order(now, body.fence, &body.by, &body.order);
        self.wake();
        Ok(match taken {
            Ok(loading) => {
                if let (Some(model), Some(peer), Some(standin)) =
                    (loading, self.weights, self.this.upgrade())
                {
                    self.executor.detach(read_weights(standin, peer, model));
                }
                done()
            }
            Err(refusal) => refusal_answer(refusal),
        })
    }

    async fn show(&self, call: &Call) -> Answered {
        let now = self.clock.now();
        let path = call.uri.path();
        if let Some(grant) = path.strip_prefix("/engine/export/") {
            return Ok(self.export(grant).await);
        }
        let state = self.lock();
        let model = &state.model;
        match path {
            "/engine/load" => Ok(json_answer(StatusCode::OK, &model.load_report(now))),
            "/engine/events" => {
                let after = call
                    .uri
                    .query()
                    .and_then(|query| query.strip_prefix("after="));
                let after = after.and_then(|text| text.parse().ok()).unwrap_or(0);
                Ok(json_answer(StatusCode::OK, &model.cache_events(now, after)))
            }
            "/engine/holdings" => {
                let body = serde_json::json!({
                    "holdings": model.reservations(now),
                    "cache_tokens": model.cache_tokens(),
                });
                Ok(json_answer(StatusCode::OK, &body))
            }
            "/engine/orders" => Ok(json_answer(StatusCode::OK, model.order_state())),
            _ => Err(CallError::Unknown),
        }
    }

    async fn export(&self, grant: &str) -> Response<Body> {
        let exported = self.lock().model.export_grant(grant);
        match exported {
            Ok((tokens, time)) => {
                Timer::after(time).await;
                let checksum = xxh3_64(grant.as_bytes()) ^ tokens;
                let body =
                    serde_json::json!({ "grant": grant, "tokens": tokens, "checksum": checksum });
                json_answer(StatusCode::OK, &body)
            }
            Err(refusal) => refusal_answer(refusal),
        }
    }
}

/// Feeds a streamed answer until it ends or its reader leaves.
async fn feed(answer: Completion, rx: Receiver<EngineOutput>, tx: BodySender, _open: Open) {
    loop {
        let next = async { Some(rx.recv().await) };
        let left = async {
            tx.closed().await;
            None
        };
        let piece = match or(next, left).await {
            Some(Ok(EngineOutput::Token { index, .. })) => answer.event(index),
            Some(Ok(EngineOutput::Done { .. })) => {
                let last = Bytes::from_static(answer.last_event().as_bytes());
                let _ = tx.send(last).await;
                return;
            }
            Some(_) => return tx.abort("broke off").await,
            None => return,
        };
        if tx.send(piece.into()).await.is_err() {
            return;
        }
    }
}

/// Reads weights, again while the store is pressed, and ends the load.
async fn read_weights(standin: Arc<EngineStandin>, peer: SocketAddr, model: Box<str>) {
    let path = format!("/weights/{}", model.replace('@', "/"));
    loop {
        let req = Request::post(&path)
            .header("host", peer.to_string())
            .body(Body::empty());
        let Ok(req) = req else {
            return;
        };
        let answer = standin
            .client
            .fetch(peer, req, PEER_ANSWER_BYTES, PEER_TIME)
            .await;
        if answer.is_ok_and(|(status, _)| status == StatusCode::OK) {
            break;
        }
        Timer::after(WEIGHT_PAUSE).await;
    }
    let now = standin.clock.now();
    standin.lock().model.finish_load(now, &model);
    standin.wake();
}

fn done() -> Response<Body> {
    json_answer(StatusCode::OK, &serde_json::json!({}))
}

fn refusal_answer(refusal: EngineRefusal) -> Response<Body> {
    let status = match refusal {
        EngineRefusal::StaleFence => StatusCode::PRECONDITION_FAILED,
        EngineRefusal::MissingIdentity => StatusCode::FORBIDDEN,
        EngineRefusal::CannotSuspend | EngineRefusal::NoMemory => StatusCode::CONFLICT,
        EngineRefusal::UnknownGrant => StatusCode::NOT_FOUND,
        _ => return refused_answer(&refusal.to_string(), false),
    };
    text_answer(status, &refusal.to_string())
}
