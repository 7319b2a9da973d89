//! Forwards a backend server's response to the caller: an event stream chunk by chunk, any other
//! response only once it is complete.

use crate::attempt::{Attempt, AttemptError, ResponseHead, ResponsePart};
use crate::caller_error::CallerError;
use crate::caller_request::CallerRequest;
use crate::delivery::{StartedResponse, midstream_error};
use crate::gateway::{Gateway, InFlightGuard};
use async_io::Timer;
use bytes::{Bytes, BytesMut};
use futures_lite::future::or;
use hyper::Response;
use policy::Drain;
use proto::{EventKind, Execution};
use runtime::{Body, BodySender};
use slog::info;
use std::sync::Arc;
use std::time::Duration;

const MAX_BUFFERED_BYTES: usize = 64 << 20;
const EVENT_STREAM: &str = "text/event-stream";
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";
const ABORT_FLUSH_DELAY: Duration = Duration::from_millis(50);
const TOO_LONG_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Whether the response is forwarded chunk by chunk.
pub fn is_event_stream(head: &ResponseHead) -> bool {
    head.content_type
        .as_deref()
        .is_some_and(|name| name.starts_with(EVENT_STREAM))
}

/// Buffers a response and returns it once it is complete. Fails if it is longer than
/// 64 MiB or the attempt fails.
pub async fn buffered_response(started: StartedResponse) -> Result<Response<Body>, CallerError> {
    let StartedResponse {
        mut attempt,
        head,
        first,
    } = started;
    let mut buf = BytesMut::new();
    let mut next = first;
    while let Some(data) = next {
        if buf.len() + data.len() > MAX_BUFFERED_BYTES {
            let reason = "the answer is longer than the gateway gathers".into();
            return Err(CallerError::Failed(
                Execution::MayHaveRun,
                reason,
                TOO_LONG_RETRY_AFTER,
            ));
        }
        buf.extend_from_slice(&data);
        next = match attempt.next().await.map_err(midstream_error)? {
            ResponsePart::Data(data) => Some(data),
            ResponsePart::End => None,
        };
    }
    Ok(build_response(&head, Body::full(buf.freeze())))
}

/// Returns a response whose body is forwarded by a task of its own, which holds `in_flight` until
/// the stream ends.
pub fn streaming_response(
    gateway: Arc<Gateway>,
    request: CallerRequest,
    started: StartedResponse,
    in_flight: InFlightGuard,
) -> Response<Body> {
    let (tx, body) = Body::stream();
    let response = build_response(&started.head, body);
    let executor = gateway.executor.clone();
    let forwarder = StreamForwarder {
        gateway,
        request,
        tx,
        withheld: Bytes::new(),
        _in_flight: in_flight,
    };
    executor.detach(forwarder.run(started.attempt, started.first));
    response
}

fn build_response(head: &ResponseHead, body: Body) -> Response<Body> {
    let mut builder = Response::builder().status(head.status);
    if let Some(content_type) = &head.content_type {
        builder = builder.header("content-type", &**content_type);
    }
    builder
        .body(body)
        .unwrap_or_else(|_| Response::new(Body::empty()))
}

/// Forwards the chunks of one response. Withholds the event that callers take for the end of the
/// stream until the agent has confirmed that the response is complete.
struct StreamForwarder {
    gateway: Arc<Gateway>,
    request: CallerRequest,
    tx: BodySender,
    withheld: Bytes,
    _in_flight: InFlightGuard,
}

/// Why a streamed response ended early.
enum StreamInterruption {
    /// The caller closed its connection.
    CallerLeft,
    /// The attempt that the response comes from failed.
    Attempt(AttemptError),
    /// The process ends.
    ShutDown,
}

impl StreamForwarder {
    async fn run(mut self, attempt: Attempt, first: Option<Bytes>) {
        let id = attempt.id();
        let gateway = self.gateway.clone();
        let streams_end = |times: Drain| times.streams_end;
        let forwarded = self.forward(attempt, first);
        let forwarded = gateway
            .draining
            .before(&gateway.clock, streams_end, forwarded);
        let result = forwarded.await.unwrap_or(Err(StreamInterruption::ShutDown));
        match result {
            Ok(()) => {
                self.gateway.count_finished();
                self.gateway
                    .record(EventKind::Finished(id), &self.request, None, "");
            }
            Err(StreamInterruption::CallerLeft) => {
                self.gateway
                    .metrics
                    .requests
                    .with_label_values(&["cancelled"])
                    .inc();
                self.gateway
                    .record(EventKind::Cancelled, &self.request, None, "the caller left");
            }
            Err(StreamInterruption::Attempt(err)) => self.abort(midstream_error(err)).await,
            Err(StreamInterruption::ShutDown) => {
                self.abort(CallerError::cut_by_shutdown(Execution::MayHaveRun))
                    .await;
            }
        }
    }

    async fn forward(
        &mut self,
        mut attempt: Attempt,
        first: Option<Bytes>,
    ) -> Result<(), StreamInterruption> {
        let mut next = first;
        while let Some(data) = next {
            self.send(data).await?;
            let next_part = async { attempt.next().await.map_err(StreamInterruption::Attempt) };
            let left = async {
                self.tx.closed().await;
                Err(StreamInterruption::CallerLeft)
            };
            next = match or(next_part, left).await? {
                ResponsePart::Data(data) => Some(data),
                ResponsePart::End => None,
            };
        }
        let withheld = std::mem::take(&mut self.withheld);
        if !withheld.is_empty() {
            self.tx
                .send(withheld)
                .await
                .map_err(|_| StreamInterruption::CallerLeft)?;
        }
        self.tx.clone().finish().await;
        Ok(())
    }

    async fn send(&mut self, data: Bytes) -> Result<(), StreamInterruption> {
        let mut ready = std::mem::take(&mut self.withheld);
        if ready.is_empty() {
            ready = data;
        } else {
            ready = [ready, data].concat().into();
        }
        if ready.ends_with(DONE_EVENT) {
            self.withheld = ready.split_off(ready.len() - DONE_EVENT.len());
        }
        if ready.is_empty() {
            return Ok(());
        }
        self.tx
            .send(ready)
            .await
            .map_err(|_| StreamInterruption::CallerLeft)
    }

    /// Sends the error to the caller as the last event, and aborts the stream.
    async fn abort(self, error: CallerError) {
        info!(self.gateway.log, "request: response aborted after it had started";
            "request" => format!("{:032x}", self.request.id), "err" => %error);
        self.gateway
            .metrics
            .requests
            .with_label_values(&[error.outcome()])
            .inc();
        self.gateway
            .record(EventKind::Failed, &self.request, None, error.to_string());
        let event = serde_json::to_string(&error.body(self.request.id)).unwrap_or_default();
        let _ = self.tx.send(format!("data: {event}\n\n").into()).await;
        // Aborting discards what the connection has not flushed yet, including the error event.
        Timer::after(ABORT_FLUSH_DELAY).await;
        self.tx.abort("the response was aborted").await;
    }
}
