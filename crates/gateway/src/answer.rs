//! Passes an answer on to the caller: streamed as it comes, or whole once it is known to be whole.

use crate::attempt::{Attempt, AttemptError, Head, Next};
use crate::call::Call;
use crate::caller_error::CallerError;
use crate::delivery::{Begun, error_of};
use crate::gateway::{Gateway, InFlight};
use async_io::Timer;
use bytes::{Bytes, BytesMut};
use futures_lite::future::or;
use hyper::Response;
use proto::{EventKind, Execution};
use runtime::{Body, BodySender};
use slog::info;
use std::sync::Arc;
use std::time::Duration;

const WHOLE_BYTES: usize = 64 << 20;
const EVENT_STREAM: &str = "text/event-stream";
const LAST_EVENT: &[u8] = b"data: [DONE]\n\n";
const FLUSH_TIME: Duration = Duration::from_millis(50);
const TOO_LONG_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Whether the answer goes out piece by piece.
pub fn is_streamed(head: &Head) -> bool {
    head.content_type
        .as_deref()
        .is_some_and(|name| name.starts_with(EVENT_STREAM))
}

/// Gathers an answer and gives it once it is whole.
pub async fn whole(begun: Begun) -> Result<Response<Body>, CallerError> {
    let Begun {
        mut attempt,
        head,
        first,
    } = begun;
    let mut buf = BytesMut::new();
    let mut next = first;
    while let Some(data) = next {
        if buf.len() + data.len() > WHOLE_BYTES {
            let reason = "the answer is longer than the gateway gathers".into();
            return Err(CallerError::Failed(
                Execution::MayHaveRun,
                reason,
                TOO_LONG_RETRY_AFTER,
            ));
        }
        buf.extend_from_slice(&data);
        next = match attempt.next().await.map_err(error_of)? {
            Next::Data(data) => Some(data),
            Next::End => None,
        };
    }
    Ok(response(&head, Body::full(buf.freeze())))
}

/// Starts a streamed answer.
pub fn streamed(
    gateway: Arc<Gateway>,
    call: Call,
    begun: Begun,
    in_flight: InFlight,
) -> Response<Body> {
    let (tx, body) = Body::stream();
    let response = response(&begun.head, body);
    let executor = gateway.executor.clone();
    let pump = Pump {
        gateway,
        call,
        tx,
        held: Bytes::new(),
        _in_flight: in_flight,
    };
    executor.detach(pump.run(begun.attempt, begun.first));
    response
}

fn response(head: &Head, body: Body) -> Response<Body> {
    let mut built = Response::builder().status(head.status);
    if let Some(content_type) = &head.content_type {
        built = built.header("content-type", &**content_type);
    }
    built
        .body(body)
        .unwrap_or_else(|_| Response::new(Body::empty()))
}

/// Passes pieces on. The event that callers take for the end is held back until the agent has
/// confirmed that the answer is whole.
struct Pump {
    gateway: Arc<Gateway>,
    call: Call,
    tx: BodySender,
    held: Bytes,
    _in_flight: InFlight,
}

/// How a streamed answer ended early.
enum Stop {
    CallerLeft,
    Attempt(AttemptError),
}

impl Pump {
    async fn run(mut self, attempt: Attempt, first: Option<Bytes>) {
        let id = attempt.id();
        match self.pass(attempt, first).await {
            Ok(()) => {
                self.gateway.finished();
                self.gateway
                    .record(EventKind::Finished(id), &self.call, None, "");
            }
            Err(Stop::CallerLeft) => {
                self.gateway
                    .metrics
                    .requests
                    .with_label_values(&["cancelled"])
                    .inc();
                self.gateway
                    .record(EventKind::Cancelled, &self.call, None, "the caller left");
            }
            Err(Stop::Attempt(err)) => self.break_off(err).await,
        }
    }

    async fn pass(&mut self, mut attempt: Attempt, first: Option<Bytes>) -> Result<(), Stop> {
        let mut next = first;
        while let Some(data) = next {
            self.send(data).await?;
            let piece = async { attempt.next().await.map_err(Stop::Attempt) };
            let left = async {
                self.tx.closed().await;
                Err(Stop::CallerLeft)
            };
            next = match or(piece, left).await? {
                Next::Data(data) => Some(data),
                Next::End => None,
            };
        }
        let held = std::mem::take(&mut self.held);
        if !held.is_empty() {
            self.tx.send(held).await.map_err(|_| Stop::CallerLeft)?;
        }
        Ok(())
    }

    async fn send(&mut self, data: Bytes) -> Result<(), Stop> {
        let mut ready = std::mem::take(&mut self.held);
        if ready.is_empty() {
            ready = data;
        } else {
            ready = [ready, data].concat().into();
        }
        if ready.ends_with(LAST_EVENT) {
            self.held = ready.split_off(ready.len() - LAST_EVENT.len());
        }
        if ready.is_empty() {
            return Ok(());
        }
        self.tx.send(ready).await.map_err(|_| Stop::CallerLeft)
    }

    /// Tells the caller of the failure in the stream, and breaks the stream off.
    async fn break_off(self, err: AttemptError) {
        let error = error_of(err);
        info!(self.gateway.log, "request: answer broke off";
            "request" => format!("{:032x}", self.call.id), "err" => %error);
        self.gateway
            .metrics
            .requests
            .with_label_values(&[error.outcome()])
            .inc();
        self.gateway
            .record(EventKind::Failed, &self.call, None, error.to_string());
        let event = serde_json::to_string(&error.body(self.call.id)).unwrap_or_default();
        let _ = self.tx.send(format!("data: {event}\n\n").into()).await;
        // An abort drops what the connection has not flushed yet, the event included.
        Timer::after(FLUSH_TIME).await;
        self.tx.abort("the answer broke off").await;
    }
}
