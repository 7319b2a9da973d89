//! Calls that are answered by a stream of events.

use crate::attempt::AttemptError;
use crate::call::Call;
use crate::leg::{Leg, LegError, LegEvent};
use crate::plain::whole;
use adapter::answer_headers;
use bytes::Bytes;
use futures_lite::future::or;
use http_body_util::{BodyExt as _, Limited};
use hyper::Response;
use policy::{BackendId, RouteKind};
use runtime::{Body, BodySender, timeout};
use std::sync::Arc;
use std::time::Duration;

/// Largest answer that is no stream.
const ANSWER_BYTES: usize = 1 << 20;
/// When a caller may come back for whom memory could not be reserved, or no repeat was left.
const COME_BACK: Duration = Duration::from_millis(300);

/// What one engine made of a call before its first event.
enum Begun {
    Stream(Box<Leg>, Bytes),
    /// The engine ended the stream without an event.
    Empty(Box<Leg>),
    Whole(Response<Body>),
    Failed,
}

/// Runs a call; the answer's head is given once the first event is there.
pub async fn run(call: Arc<Call>) -> Response<Body> {
    let mut tried = Vec::new();
    let mut failed = None;
    loop {
        let reason = match Leg::open(&call, &mut tried, None).await {
            Ok(leg) => match begin(&call, leg).await {
                Begun::Stream(leg, events) => return relay(call, leg, events, tried),
                Begun::Empty(leg) => {
                    call.note_end("served", "no event");
                    return whole(&leg.answer.head, Bytes::new());
                }
                Begun::Whole(answer) if answer.status().is_server_error() => {
                    failed = Some(answer);
                    None
                }
                Begun::Whole(answer) => {
                    call.note_end("server's answer", leg_detail(&tried));
                    return answer;
                }
                Begun::Failed => None,
            },
            Err(LegError::NoEngines(why)) => Some((why.come_back, why.reason)),
            Err(LegError::TriedEnough) => Some((COME_BACK, "tried enough")),
            Err(LegError::Attempt(AttemptError::RepeatsSpent)) => {
                Some((COME_BACK, "repeats spent"))
            }
            Err(LegError::Memory(_)) if call.remaining() > COME_BACK => None,
            Err(LegError::Memory(_)) => Some((COME_BACK, "no memory")),
            Err(LegError::Attempt(_)) => None,
        };
        let over = call.remaining().is_zero() || !call.may_run_again();
        let (come_back, detail) = match reason {
            Some(reason) => reason,
            None if over => (COME_BACK, "no answer"),
            None => continue,
        };
        return match failed {
            Some(answer) => {
                call.note_end("server's answer", detail);
                answer
            }
            None => call.give_up(come_back, detail),
        };
    }
}

fn leg_detail(tried: &[BackendId]) -> &str {
    tried.last().map_or("", |server| server)
}

async fn begin(call: &Call, mut leg: Leg) -> Begun {
    if !leg.answer.head.status.is_success() {
        return read_whole(call, leg).await;
    }
    match leg.next(call).await {
        LegEvent::Events(events) => Begun::Stream(Box::new(leg), events),
        LegEvent::End => Begun::Empty(Box::new(leg)),
        LegEvent::Broken(_) | LegEvent::Silent => Begun::Failed,
    }
}

async fn read_whole(call: &Call, leg: Leg) -> Begun {
    let head = leg.answer.head;
    let body = Limited::new(leg.answer.body, ANSWER_BYTES).collect();
    match timeout(call.remaining(), body).await {
        Ok(Ok(body)) => Begun::Whole(whole(&head, body.to_bytes())),
        _ => Begun::Failed,
    }
}

/// Answers with the stream, which goes on in a task of its own.
fn relay(call: Arc<Call>, leg: Box<Leg>, events: Bytes, tried: Vec<BackendId>) -> Response<Body> {
    let took = call.shared.clock.now().saturating_sub(call.arrived);
    call.shared.metrics.first_byte(call.kind(), took);
    let (tx, body) = Body::stream();
    let mut answer = Response::new(body);
    *answer.status_mut() = leg.answer.head.status;
    *answer.headers_mut() = answer_headers(&leg.answer.head);
    let executor = call.shared.executor.clone();
    let relay = Relay { call, tx, tried };
    executor.detach(relay.run(leg, events));
    answer
}

struct Relay {
    call: Arc<Call>,
    tx: BodySender,
    tried: Vec<BackendId>,
}

/// How a relayed stream ended.
enum RelayEnd {
    Whole,
    CallerLeft,
    Broken(&'static str),
}

impl Relay {
    async fn run(mut self, leg: Box<Leg>, events: Bytes) {
        let end = self.pass_on(leg, events).await;
        match end {
            RelayEnd::Whole => self.call.note_end("served", ""),
            RelayEnd::CallerLeft => self.call.note_end("caller left", "midway"),
            RelayEnd::Broken(why) => {
                self.call.note_end("broken off", why);
                self.tx.abort(why).await;
            }
        }
    }

    async fn pass_on(&mut self, mut leg: Box<Leg>, mut events: Bytes) -> RelayEnd {
        let mut last = leg.last_event();
        loop {
            match timeout(self.call.remaining(), self.tx.send(events)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return RelayEnd::CallerLeft,
                Err(_) => return RelayEnd::Broken("time is up"),
            }
            (leg, events) = match self.next_events(leg, last).await {
                Ok(next) => next,
                Err(end) => return end,
            };
            last = leg.last_event().or(last);
        }
    }

    /// The next events, of this leg or of one that takes its place.
    async fn next_events(
        &mut self,
        mut leg: Box<Leg>,
        last: Option<u64>,
    ) -> Result<(Box<Leg>, Bytes), RelayEnd> {
        loop {
            let next = unless_gone(&self.tx, leg.next(&self.call)).await;
            let silent = match next.ok_or(RelayEnd::CallerLeft)? {
                LegEvent::Events(events) => return Ok((leg, events)),
                LegEvent::End => return Err(RelayEnd::Whole),
                LegEvent::Broken(_) => false,
                LegEvent::Silent => true,
            };
            if self.call.remaining().is_zero() {
                return Err(RelayEnd::Broken("time is up"));
            }
            if !silent {
                drop(leg);
                return self.go_on(last).await;
            }
            leg = match self.go_on_beside(leg, last).await? {
                Followed::Events(leg, events) => return Ok((leg, events)),
                Followed::Silent(leg) => leg,
            };
        }
    }

    /// Follows another engine while the silent one may still go on by itself, whichever is first.
    async fn go_on_beside(
        &mut self,
        leg: Box<Leg>,
        last: Option<u64>,
    ) -> Result<Followed, RelayEnd> {
        let call = self.call.clone();
        let mut silent = Some(leg);
        let same = async {
            let event = match &mut silent {
                Some(leg) => leg.next_late(&call).await,
                None => LegEvent::Silent,
            };
            if matches!(event, LegEvent::Broken(_)) {
                // What it holds is given back while the other one is waited for.
                silent = None;
            }
            match event {
                LegEvent::Events(events) => First::Same(events),
                LegEvent::End => First::Ended,
                LegEvent::Broken(_) | LegEvent::Silent => std::future::pending().await,
            }
        };
        let other = async { First::Other(self.go_on(last).await) };
        let first = or(same, other).await;
        match (first, silent) {
            (First::Same(events), Some(leg)) => Ok(Followed::Events(leg, events)),
            (First::Same(_) | First::Ended, _) => Err(RelayEnd::Whole),
            (First::Other(Ok((leg, events))), _) => Ok(Followed::Events(leg, events)),
            (First::Other(Err(RelayEnd::Broken(_))), Some(mut leg)) => {
                leg.stay();
                Ok(Followed::Silent(leg))
            }
            (First::Other(Err(end)), _) => Err(end),
        }
    }

    /// The next events, of another engine.
    async fn go_on(&mut self, last: Option<u64>) -> Result<(Box<Leg>, Bytes), RelayEnd> {
        loop {
            let mut leg = self.resume(last).await?;
            let next = unless_gone(&self.tx, leg.next(&self.call)).await;
            match next.ok_or(RelayEnd::CallerLeft)? {
                LegEvent::Events(events) => return Ok((leg, events)),
                LegEvent::End => return Err(RelayEnd::Whole),
                LegEvent::Broken(_) | LegEvent::Silent => {}
            }
        }
    }

    /// Goes on at another engine, if the route allows.
    async fn resume(&mut self, last: Option<u64>) -> Result<Box<Leg>, RelayEnd> {
        let resumable = self.call.admitted.route.kind == RouteKind::Stream { resumable: true };
        let Some(last) = last.filter(|_| resumable) else {
            return Err(RelayEnd::Broken("it cannot be resumed"));
        };
        while self.call.may_run_again() && !self.call.remaining().is_zero() {
            let opened = Leg::open(&self.call, &mut self.tried, Some(last));
            match unless_gone(&self.tx, opened).await {
                None => return Err(RelayEnd::CallerLeft),
                Some(Ok(leg)) if leg.answer.head.status.is_success() => {
                    return Ok(Box::new(leg));
                }
                Some(Ok(_)) => {}
                Some(Err(LegError::NoEngines(_))) => {
                    return Err(RelayEnd::Broken("no engine to go on"));
                }
                Some(Err(LegError::TriedEnough)) => return Err(RelayEnd::Broken("tried enough")),
                Some(Err(LegError::Attempt(AttemptError::RepeatsSpent))) => {
                    return Err(RelayEnd::Broken("repeats spent"));
                }
                Some(Err(LegError::Memory(_) | LegError::Attempt(_))) => {}
            }
        }
        Err(RelayEnd::Broken("no server to go on"))
    }
}

/// What a stream is followed at after a silence.
enum Followed {
    Events(Box<Leg>, Bytes),
    /// No other engine goes on; the silent one is waited for.
    Silent(Box<Leg>),
}

/// What came first after a silence.
enum First {
    Same(Bytes),
    Ended,
    Other(Result<(Box<Leg>, Bytes), RelayEnd>),
}

async fn unless_gone<T>(caller: &BodySender, work: impl Future<Output = T>) -> Option<T> {
    let work = async { Some(work.await) };
    let gone = async {
        caller.closed().await;
        None
    };
    or(work, gone).await
}
