//! Calls whose response is a stream of events.

use crate::call::Call;
use crate::call_tries::{TryFailure, run_tries};
use crate::plain::{caller_response, relay_complete};
use crate::run_end::RunEnd;
use crate::server_probe::may_run_again;
use crate::server_stream::ServerStream;
use crate::stream_buffers::{READS_TOO_SLOWLY, StreamBuffer};
use crate::stream_item::StreamItem;
use crate::stream_resume::{AnswerKind, ResumeTry, Resumed};
use crate::stream_start::{ANSWERED, Started, StreamTry, respond_to_failure};
use adapter::response_headers;
use bytes::Bytes;
use futures_lite::future::or;
use hyper::Response;
use policy::{DRAINING_REASON, Drain, RouteKind};
use runtime::{Body, timeout};
use std::sync::Arc;

/// Runs a call. The response head is sent only once the first event is there, so that other
/// engines can be tried until then.
pub async fn run(call: Arc<Call>) -> Response<Body> {
    match run_tries(&StreamTry(&call)).await {
        Ok(started) => respond(call, started),
        Err(failure) => respond_to_failure(&call, failure),
    }
}

/// Builds the response to the caller from that of a server.
fn respond(call: Arc<Call>, started: Started) -> Response<Body> {
    match started {
        Started::Stream(stream, events) => relay(call, stream, events),
        Started::Empty(stream) => {
            call.record_end("served", "no event");
            caller_response(&stream.response.head, Body::full(Bytes::new()))
        }
        Started::Complete(complete) => relay_complete(
            &call,
            &complete.head,
            complete.body,
            ANSWERED,
            &complete.server,
        ),
    }
}

/// Builds the response to the caller, and starts a task that relays the stream.
fn relay(call: Arc<Call>, stream: Box<ServerStream>, events: Bytes) -> Response<Body> {
    let took = call.shared.clock.now().saturating_sub(call.arrived);
    call.shared.metrics.first_byte(call.kind(), took);
    let (tx, body) = call.shared.stream_buffers.open(&call);
    let mut response = Response::new(body);
    *response.status_mut() = stream.response.head.status;
    *response.headers_mut() = response_headers(&stream.response.head);
    let executor = call.shared.executor.clone();
    let kind = AnswerKind::of(&stream.response.head);
    let relay = Relay { call, tx, kind };
    executor.detach(relay.run(stream, events));
    response
}

struct Relay {
    call: Arc<Call>,
    tx: StreamBuffer,
    /// What the caller has been told of its answer.
    kind: AnswerKind,
}

/// How a relayed stream ended.
enum RelayEnd {
    Complete,
    CallerLeft,
    TimeUp,
    Broken(&'static str),
}

impl Relay {
    async fn run(mut self, stream: Box<ServerStream>, events: Bytes) {
        let shared = self.call.shared.clone();
        let forwarded = self.forward(stream, events);
        let streams_end = |times: Drain| times.streams_end;
        let end = shared
            .draining
            .before(&shared.clock, streams_end, forwarded);
        match end.await {
            Some(RelayEnd::Complete) => {
                self.call.record_end("served", "");
                self.tx.finish();
            }
            Some(RelayEnd::CallerLeft) if self.tx.is_ended() => {
                self.call.record_run_end(RunEnd::SlowReader);
                self.call.record_end("broken off", READS_TOO_SLOWLY);
            }
            Some(RelayEnd::CallerLeft) => {
                self.call.record_run_end(RunEnd::CallerLeft);
                self.call.record_end("caller left", "midway");
            }
            Some(RelayEnd::TimeUp) => {
                self.call.record_run_end(RunEnd::TimeLimit);
                self.break_off("time is up");
            }
            Some(RelayEnd::Broken(reason)) => self.break_off(reason),
            None => {
                self.call.record_run_end(RunEnd::Draining);
                self.break_off(DRAINING_REASON);
            }
        }
    }

    /// Ends the response as one that is not complete.
    fn break_off(self, reason: &str) {
        self.call.record_end("broken off", reason);
        self.tx.abort(reason);
    }

    async fn forward(&mut self, mut stream: Box<ServerStream>, mut events: Bytes) -> RelayEnd {
        let mut last_event = stream.last_event();
        loop {
            let sent = self.tx.send(&self.call.shared, events);
            match timeout(self.call.remaining(), sent).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return RelayEnd::CallerLeft,
                Err(_) => return RelayEnd::TimeUp,
            }
            (stream, events) = match self.next_events(stream, last_event).await {
                Ok(next) => next,
                Err(end) => return end,
            };
            last_event = stream.last_event().or(last_event);
        }
    }

    /// Next events, from this engine or from one that takes over.
    async fn next_events(
        &mut self,
        mut stream: Box<ServerStream>,
        last_event: Option<u64>,
    ) -> Result<(Box<ServerStream>, Bytes), RelayEnd> {
        loop {
            let next = unless_caller_left(&self.tx, stream.next(&self.call)).await;
            let is_silent = match next.ok_or(RelayEnd::CallerLeft)? {
                StreamItem::Events(events) => return Ok((stream, events)),
                StreamItem::End => return Err(RelayEnd::Complete),
                StreamItem::Broken(_) => false,
                StreamItem::Silent => true,
            };
            if self.call.remaining().is_zero() {
                return Err(RelayEnd::TimeUp);
            }
            if !is_silent {
                drop(stream);
                return self.fail_over(last_event).await;
            }
            stream = match self.race_failover(stream, last_event).await? {
                AfterSilence::Events(stream, events) => return Ok((stream, events)),
                AfterSilence::Silent(stream) => stream,
            };
        }
    }

    /// Fails over to another engine while still waiting for the silent one; the first of them to
    /// send events is used from then on.
    async fn race_failover(
        &mut self,
        stream: Box<ServerStream>,
        last_event: Option<u64>,
    ) -> Result<AfterSilence, RelayEnd> {
        let call = self.call.clone();
        let mut silent = Some(stream);
        let original = async {
            let item = match &mut silent {
                Some(stream) => stream.next_late(&call).await,
                None => StreamItem::Silent,
            };
            if matches!(item, StreamItem::Broken(_)) {
                // Releases what the failed stream holds while the other engine is waited for.
                silent = None;
            }
            match item {
                StreamItem::Events(events) => FailoverRace::Original(events),
                StreamItem::End => FailoverRace::Ended,
                StreamItem::Broken(_) | StreamItem::Silent => std::future::pending().await,
            }
        };
        let failover = async { FailoverRace::Failover(self.fail_over(last_event).await) };
        let winner = or(original, failover).await;
        match (winner, silent) {
            (FailoverRace::Original(events), Some(stream)) => {
                Ok(AfterSilence::Events(stream, events))
            }
            (FailoverRace::Original(_) | FailoverRace::Ended, _) => Err(RelayEnd::Complete),
            (FailoverRace::Failover(Ok((stream, events))), _) => {
                Ok(AfterSilence::Events(stream, events))
            }
            (FailoverRace::Failover(Err(RelayEnd::Broken(_))), Some(mut stream)) => {
                stream.keep_waiting();
                Ok(AfterSilence::Silent(stream))
            }
            (FailoverRace::Failover(Err(end)), _) => Err(end),
        }
    }

    /// Resumes the stream after `last_event` at other engines until one sends events, if the route allows it.
    async fn fail_over(
        &self,
        last_event: Option<u64>,
    ) -> Result<(Box<ServerStream>, Bytes), RelayEnd> {
        let resumable = self.call.admitted.route.kind == RouteKind::Stream { resumable: true };
        let Some(last_event) = last_event.filter(|_| resumable) else {
            return Err(RelayEnd::Broken("it cannot be resumed"));
        };
        let tries = ResumeTry {
            call: &self.call,
            kind: &self.kind,
            last_event,
        };
        let resumed = async {
            // The server that broke off has run it.
            if !may_run_again(&self.call).await {
                return Err(TryFailure::default());
            }
            run_tries(&tries).await
        };
        let resumed = unless_caller_left(&self.tx, resumed).await;
        match resumed.ok_or(RelayEnd::CallerLeft)? {
            Ok(Resumed::Events(stream, events)) => Ok((stream, events)),
            Ok(Resumed::Ended) => Err(RelayEnd::Complete),
            Err(TryFailure { refusal, .. }) => {
                let reason = refusal.map_or("no server to go on", |(reason, _)| reason);
                Err(RelayEnd::Broken(reason))
            }
        }
    }
}

/// Engine that is read from after a silence.
enum AfterSilence {
    Events(Box<ServerStream>, Bytes),
    /// No other engine can resume the stream; the silent one is waited for.
    Silent(Box<ServerStream>),
}

/// What came first in a race between the silent engine and another one.
enum FailoverRace {
    Original(Bytes),
    /// The silent engine ended the stream.
    Ended,
    Failover(Result<(Box<ServerStream>, Bytes), RelayEnd>),
}

async fn unless_caller_left<T>(caller: &StreamBuffer, work: impl Future<Output = T>) -> Option<T> {
    let work = async { Some(work.await) };
    let gone = async {
        caller.closed().await;
        None
    };
    or(work, gone).await
}
