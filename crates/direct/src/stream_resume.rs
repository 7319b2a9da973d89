//! The resumption of a stream at one engine, up to the next event.

use crate::attempt::AttemptError;
use crate::call::Call;
use crate::call_tries::{CallTry, TryFailure};
use crate::crash_guard::BLOCKED_REASON;
use crate::on_silence::OnSilence;
use crate::server_stream::{OpenError, ServerStream};
use crate::stream_item::StreamItem;
use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::http::response::Parts;
use policy::DRAINING_REASON;
use slog::info;
use std::time::Duration;

/// Content type of a stream of events, which parameters may follow.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// What an engine made of a stream that it resumed.
#[derive(Debug)]
pub enum Resumed {
    /// It goes on with these events.
    Events(Box<ServerStream>, Bytes),
    /// It ended the stream without a further event.
    Ended,
}

/// Resumes the stream of a call.
#[derive(Debug)]
pub struct ResumeTry<'a> {
    /// The call.
    pub call: &'a Call,
    /// What the caller has been told of its answer.
    pub kind: &'a AnswerKind,
    /// Event after which the stream goes on.
    pub last_event: u64,
}

impl CallTry for ResumeTry<'_> {
    type Success = Resumed;

    fn call(&self) -> &Call {
        self.call
    }

    async fn run(&self, silence: OnSilence<'_>) -> Result<Resumed, TryFailure> {
        let call = self.call;
        let opened = ServerStream::open(call, Some(self.last_event), silence).await;
        let mut stream = opened.map_err(|err| try_failure(&err))?;
        let kind = AnswerKind::of(&stream.response.head);
        if !kind.goes_on_with(self.kind) {
            info!(call.shared.log, "stream: not resumed, the answer is of another kind";
                "req" => &*call.head.id, "answer" => ?kind);
            return Err(TryFailure::default());
        }
        match stream.next_despite_silence(call, silence).await {
            StreamItem::Events(events) => Ok(Resumed::Events(Box::new(stream), events)),
            StreamItem::End => Ok(Resumed::Ended),
            StreamItem::Broken(_) | StreamItem::Silent => Err(TryFailure::default()),
        }
    }
}

fn try_failure(err: &OpenError) -> TryFailure {
    let reason = match err {
        OpenError::NoServer(_) => "no engine to go on",
        OpenError::Blocked | OpenError::Attempt(AttemptError::Blocked) => BLOCKED_REASON,
        OpenError::TriesExhausted => "tried enough",
        OpenError::Attempt(AttemptError::RetryBudgetSpent) => "repeats spent",
        OpenError::Attempt(AttemptError::Draining) => DRAINING_REASON,
        OpenError::Reservation(_) | OpenError::Attempt(_) => return TryFailure::default(),
    };
    // The caller has a part of the response and gets no time to come back.
    TryFailure::refused(reason, Duration::ZERO)
}

/// What the head of an answer says of its body.
#[derive(Debug)]
pub struct AnswerKind {
    status: StatusCode,
    content_type: Option<HeaderValue>,
}

impl AnswerKind {
    /// That of a response with this head.
    pub fn of(head: &Parts) -> Self {
        Self {
            status: head.status,
            content_type: head.headers.get(CONTENT_TYPE).cloned(),
        }
    }

    /// Whether an answer of this kind goes on with a stream whose caller was told of the kind `first`.
    fn goes_on_with(&self, first: &Self) -> bool {
        let content_type = self.content_type.as_ref();
        let is_stream = content_type.is_some_and(|name| name.as_bytes().starts_with(EVENT_STREAM));
        self.status == first.status && (is_stream || self.content_type == first.content_type)
    }
}
