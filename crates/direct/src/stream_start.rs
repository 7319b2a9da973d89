//! The start of a stream at one engine, up to its first event.

use crate::answer_body::read_body;
use crate::attempt::AttemptError;
use crate::call::Call;
use crate::call_tries::{CallTry, TryFailure, WholeResponse};
use crate::crash_guard::{BLOCKED_REASON, blocked_retry_after};
use crate::on_silence::OnSilence;
use crate::plain::relay_complete;
use crate::run_end::RunEnd;
use crate::server_stream::{OpenError, ServerStream};
use crate::stream_item::StreamItem;
use bytes::Bytes;
use hyper::Response;
use policy::{DRAIN_RETRY_AFTER, DRAINING_REASON};
use runtime::{Body, timeout};
use std::time::Duration;

/// `Retry-After` of refused requests, such as where memory could not be reserved or no retry is
/// left.
const REFUSAL_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Outcome of calls that end with a response which is not a stream.
pub const ANSWERED: &str = "server's answer";

/// Response of a server to a call, up to the first event.
#[derive(Debug)]
pub enum Started {
    /// A stream with its first events.
    Stream(Box<ServerStream>, Bytes),
    /// The server ended the stream without an event.
    Empty(Box<ServerStream>),
    /// A response that is not a stream.
    Complete(WholeResponse),
}

/// Starts the stream of a call.
#[derive(Debug)]
pub struct StreamTry<'a>(pub &'a Call);

impl CallTry for StreamTry<'_> {
    type Success = Started;

    fn call(&self) -> &Call {
        self.0
    }

    async fn run(&self, silence: OnSilence<'_>) -> Result<Started, TryFailure> {
        let call = self.0;
        let stream = match ServerStream::open(call, None, silence).await {
            Ok(stream) => stream,
            Err(err) => return Err(try_failure(&err, call)),
        };
        if stream.response.head.status.is_success() {
            await_first_event(call, stream, silence).await
        } else {
            read_complete(call, stream).await
        }
    }
}

/// Ends a call where no server gave a better response.
pub fn respond_to_failure(call: &Call, failure: TryFailure) -> Response<Body> {
    let (detail, retry_after) = failure
        .refusal
        .unwrap_or(("no answer", REFUSAL_RETRY_AFTER));
    match failure.error {
        Some(error) => relay_complete(call, &error.head, error.body, ANSWERED, detail),
        None => call.end_without_response(retry_after, detail),
    }
}

fn try_failure(err: &OpenError, call: &Call) -> TryFailure {
    match err {
        OpenError::NoServer(refusal) => TryFailure::refused(refusal.reason, refusal.retry_after),
        OpenError::Blocked | OpenError::Attempt(AttemptError::Blocked) => {
            let retry_after = blocked_retry_after(&call.shared, &call.suspects);
            TryFailure::refused(BLOCKED_REASON, retry_after)
        }
        OpenError::TriesExhausted => TryFailure::refused("tried enough", REFUSAL_RETRY_AFTER),
        OpenError::Attempt(AttemptError::RetryBudgetSpent) => {
            TryFailure::refused("repeats spent", REFUSAL_RETRY_AFTER)
        }
        OpenError::Attempt(AttemptError::Draining) => {
            TryFailure::refused(DRAINING_REASON, DRAIN_RETRY_AFTER)
        }
        OpenError::Reservation(_) if call.remaining() <= REFUSAL_RETRY_AFTER => {
            TryFailure::refused("no memory", REFUSAL_RETRY_AFTER)
        }
        OpenError::Reservation(_) | OpenError::Attempt(_) => TryFailure::default(),
    }
}

async fn await_first_event(
    call: &Call,
    mut stream: ServerStream,
    silence: OnSilence<'_>,
) -> Result<Started, TryFailure> {
    match stream.next_despite_silence(call, silence).await {
        StreamItem::Events(events) => Ok(Started::Stream(Box::new(stream), events)),
        StreamItem::End => Ok(Started::Empty(Box::new(stream))),
        StreamItem::Broken(_) | StreamItem::Silent => Err(TryFailure::default()),
    }
}

async fn read_complete(call: &Call, mut stream: ServerStream) -> Result<Started, TryFailure> {
    let server = stream.server_address();
    let body = read_body(&call.shared, server, &mut stream.response.body);
    let Ok(Ok(body)) = timeout(call.remaining(), body).await else {
        call.record_run_end(RunEnd::Failed);
        return Err(TryFailure::default());
    };
    call.record_run_end(RunEnd::Answered);
    let complete = WholeResponse {
        server: stream.server_id(),
        head: stream.response.head.clone(),
        body,
    };
    if complete.head.status.is_server_error() {
        return Err(TryFailure::server_error(complete));
    }
    Ok(Started::Complete(complete))
}
