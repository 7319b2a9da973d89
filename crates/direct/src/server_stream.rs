//! One server's part of a response stream.

use crate::assignment::{Assignment, NoServer};
use crate::attempt::{AttemptError, StreamSend, send};
use crate::call::Call;
use crate::crash_guard::{BLOCKED_REASON, GuardedRun, admit, await_turn};
use crate::event_splitter::EventSplitter;
use crate::on_silence::{OnSilence, record_silence};
use crate::plain_server::assign_stream;
use crate::possible_run::PossibleRun;
use crate::prompt_request::placement_request;
use crate::reservation::{Reservations, ReserveError};
use crate::run_end::RunEnd;
use crate::server_probe::{check_server, detect_crashed_server};
use crate::stream_item::{ENGINE_LOST, StreamItem};
use async_io::Timer;
use futures_lite::future::or;
use http_body_util::BodyExt as _;
use policy::{AttemptResult, BackendId, DataEvidence, RetryTurn, first_event_wait, silence_limit};
use proto::BackendEntry;
use quick_error::quick_error;
use runtime::{SingleResponse, timeout};
use slog::info;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

quick_error! {
    /// Why a stream could not be opened or resumed at an engine.
    #[derive(Debug)]
    pub enum OpenError {
        /// No server can take the request; it was not sent.
        NoServer(refusal: NoServer) {
            display("{}", refusal.reason)
        }
        /// KV cache memory could not be reserved; the prompt was not sent.
        Reservation(err: ReserveError) {
            display("{err}")
            from()
        }
        /// The prompt crashes engines; it was not sent.
        Blocked {
            display("{BLOCKED_REASON}")
        }
        /// The limit on servers tried for one call is reached.
        TriesExhausted {
            display("the limit of tried servers is reached")
        }
        /// The server gave no usable response.
        Attempt(err: AttemptError) {
            display("{err}")
            from()
        }
    }
}

/// A response stream from one server. Dropping it releases the memory reserved at helpers and
/// ends the job.
#[derive(Debug)]
pub struct ServerStream {
    /// Response of the server, whose body is read by `next`.
    pub response: SingleResponse,
    assignment: Assignment,
    reservations: Reservations,
    run: GuardedRun,
    splitter: EventSplitter,
    evidence: DataEvidence,
    sent_at: Duration,
    /// Whether another server is tried beside it, as it was silent.
    goes_on: bool,
    /// Whether memory of helpers is reserved for it.
    holds_memory: bool,
    /// Whether it goes on with a stream that began elsewhere.
    is_resumed: bool,
    awaits_first_event: bool,
    /// Whether the first event is waited for without a limit of its own.
    is_last_choice: bool,
    has_no_successor: bool,
}

impl ServerStream {
    /// Waits until a server is assigned, reserves memory at helpers and sends the request.
    ///
    /// With `last_event`, the server resumes the stream after that event. `silence` says what to do
    /// where it is silent for too long.
    pub async fn open(
        call: &Call,
        last_event: Option<u64>,
        silence: OnSilence<'_>,
    ) -> Result<Self, OpenError> {
        let shared = &call.shared;
        let turn = await_turn(call).await;
        if !admit(call).await {
            return Err(OpenError::Blocked);
        }
        if !call.claim_try() {
            return Err(OpenError::TriesExhausted);
        }
        let mut assignment = assign(call, turn).await?;
        let name = call.reservation_name();
        let reserved =
            Reservations::acquire(shared, &name, &assignment.server, &assignment.helpers).await;
        if let Err(ReserveError::NotConnected(..)) = &reserved {
            call.return_try();
        }
        if let Err(ReserveError::NotConnected(helper, _) | ReserveError::NoResponse(helper, _)) =
            &reserved
        {
            let now = shared.clock.now();
            shared.fleet.on_result(helper, AttemptResult::Silent, now);
            // Nothing was sent to the engine that was to decode, so that it can be chosen again.
            call.tried.push(helper.clone());
        } else if !matches!(&reserved, Ok(_) | Err(ReserveError::Left(_))) {
            call.tried.push(assignment.server.id.clone());
        }
        let (reservations, helpers) = reserved?;
        let sent_at = shared.clock.now();
        let patience = first_event_wait(&call.admitted.route, assignment.first_event_forecast());
        let possible_run = PossibleRun::new(call);
        let holds_memory = helpers.iter().any(|helper| helper.reservation.is_some());
        let engine = assignment.server.clone();
        let goes_on = AtomicBool::new(false);
        let gives_up = async {
            Timer::after(patience).await;
            // A check may find that a server which ran it before is gone.
            call.checks.until(|| !call.is_last_run()).await;
            if !silence.ends_try(call, holds_memory) {
                goes_on.store(true, Ordering::Relaxed);
                possible_run.count();
                record_silence(call, &engine);
                silence.notify();
                call.checks.until_cut_off(&engine.id).await;
            }
        };
        let prompt = StreamSend {
            helpers: &helpers,
            last_event,
            stream: assignment.stream,
        };
        let Assignment { server, permit, .. } = &mut assignment;
        let run = GuardedRun::start(call, server);
        let answered = send(call, server, permit, Some(prompt), gives_up, &possible_run);
        let lost = async {
            reservations.engine_lost().await;
            Err(give_up_lost_engine(call, server))
        };
        let response = or(answered, lost).await?;
        reservations.on_data();
        Ok(Self {
            response,
            assignment,
            reservations,
            run,
            splitter: EventSplitter::after(last_event.or(call.head.last_event_id)),
            evidence: DataEvidence::default(),
            sent_at,
            goes_on: goes_on.into_inner(),
            holds_memory,
            is_resumed: last_event.is_some(),
            awaits_first_event: true,
            is_last_choice: false,
            has_no_successor: false,
        })
    }

    /// Address of the server.
    pub fn server_address(&self) -> SocketAddr {
        self.assignment.server.address
    }

    /// Id of the server.
    pub fn server_id(&self) -> BackendId {
        self.assignment.server.id.clone()
    }

    /// Id of the last complete event; `None` before the first one.
    pub fn last_event(&self) -> Option<u64> {
        self.splitter.last_event()
    }

    /// Waits for the next item. Returns [`StreamItem::Silent`] after too long a silence, unless no
    /// other server may run the call and this one still accepts connections.
    pub async fn next(&mut self, call: &Call) -> StreamItem {
        let mut is_late = false;
        let item = loop {
            let limit = self.silence_limit(call).min(call.remaining());
            let gone = call.checks.gone();
            let event = self.next_within(call, limit);
            let more_runs = async {
                call.checks
                    .until(|| is_late && call.checks.gone() > gone)
                    .await;
                StreamItem::Silent
            };
            match or(event, more_runs).await {
                StreamItem::Silent if self.should_wait_on(call) => is_late = true,
                item => break item,
            }
        };
        self.settle(call, &item).await;
        item
    }

    /// Records an item, and finds out why the server broke off.
    async fn settle(&mut self, call: &Call, item: &StreamItem) {
        self.record(call, item);
        match item {
            // It did not respond for some time before, as an engine on a lost host.
            StreamItem::Broken(reason) if &**reason == ENGINE_LOST => {
                check_server(call, &self.assignment.server);
            }
            StreamItem::Broken(_) => detect_crashed_server(call, &self.assignment.server).await,
            _ => {}
        }
    }

    /// As [`Self::next`]. Where the server is silent for too long, has another one tried and waits on, unless
    /// `silence` ends the try.
    pub async fn next_despite_silence(
        &mut self,
        call: &Call,
        silence: OnSilence<'_>,
    ) -> StreamItem {
        if !self.goes_on {
            let item = self.next(call).await;
            if !matches!(item, StreamItem::Silent) || silence.ends_try(call, self.holds_memory) {
                return item;
            }
            self.goes_on = true;
            silence.notify();
        }
        self.next_late(call).await
    }

    /// Waits for the next item of a server that has already been silent for too long, until it is known to
    /// be cut off or the deadline of the call.
    pub async fn next_late(&mut self, call: &Call) -> StreamItem {
        let id = self.server_id();
        let gone = async {
            call.checks.until_cut_off(&id).await;
            StreamItem::Silent
        };
        let item = or(self.next_within(call, call.remaining()), gone).await;
        info!(call.shared.log, "stream: the silent engine goes on"; "req" => &*call.head.id,
            "server" => &*self.assignment.server.id, "how" => item.outcome());
        self.settle(call, &item).await;
        item
    }

    /// Waits for complete events up to `limit`. Bytes of an event that is not complete do not extend
    /// it, so that a stalled server that sends a byte now and then counts as silent.
    async fn next_within(&mut self, call: &Call, limit: Duration) -> StreamItem {
        let clock = &call.shared.clock;
        let end = clock.now() + limit;
        loop {
            let left = end.saturating_sub(clock.now());
            let frame = self.response.body.frame();
            let frame = async { Some(timeout(left, frame).await) };
            let lost = async {
                self.reservations.engine_lost().await;
                None
            };
            let data = match or(frame, lost).await {
                None => return StreamItem::Broken(ENGINE_LOST.into()),
                Some(Err(_)) => return StreamItem::Silent,
                Some(Ok(None)) if self.splitter.has_partial() => {
                    return StreamItem::Broken("it ended within an event".into());
                }
                Some(Ok(None)) => {
                    self.run.on_complete();
                    return StreamItem::End;
                }
                Some(Ok(Some(Err(err)))) => return StreamItem::Broken(err.to_string().into()),
                Some(Ok(Some(Ok(frame)))) => frame.into_data().unwrap_or_default(),
            };
            self.reservations.on_data();
            match self.splitter.push(&data) {
                Ok(Some(events)) => {
                    let server = &self.assignment.server;
                    let fleet = &call.shared.fleet;
                    fleet.on_stream_data(server, &mut self.evidence, clock.now());
                    self.run.on_events();
                    return StreamItem::Events(events);
                }
                Ok(None) => {}
                Err(err) => {
                    call.shared.metrics.invalid_answer("event");
                    return StreamItem::Broken(err.to_string().into());
                }
            }
        }
    }

    /// Makes `next` wait through silences from now on, because no other server can take over.
    pub fn keep_waiting(&mut self) {
        self.is_last_choice = true;
        self.has_no_successor = true;
    }

    /// Whether to wait on although the server is silent. Where no other server may take over, only
    /// the loss of a server ends the stream, silence alone does not.
    fn should_wait_on(&mut self, call: &Call) -> bool {
        let server = &self.assignment.server;
        if call.remaining().is_zero() || call.checks.is_gone(&server.id) {
            return false;
        }
        check_server(call, server);
        let is_last_choice = self.has_no_successor || !call.may_run_again();
        self.is_last_choice |= is_last_choice;
        is_last_choice
    }

    fn silence_limit(&self, call: &Call) -> Duration {
        if self.awaits_first_event && !self.is_last_choice {
            let waited = call.shared.clock.now().saturating_sub(self.sent_at);
            let forecast = self.assignment.first_event_forecast();
            return first_event_wait(&call.admitted.route, forecast).saturating_sub(waited);
        }
        silence_limit(&call.admitted.route)
    }

    fn record(&mut self, call: &Call, item: &StreamItem) {
        let shared = &call.shared;
        let now = shared.clock.now();
        let server = &self.assignment.server;
        if let Some(end) = item.run_end() {
            call.record_run_end(end);
        }
        let health = match item {
            StreamItem::Events(_) if self.awaits_first_event => {
                self.awaits_first_event = false;
                self.assignment.job.on_prefill_done();
                let taken = now.saturating_sub(self.sent_at);
                let forecast = self.assignment.forecast;
                if let Some(forecast) = forecast.filter(|_| self.assignment.helpers.is_empty()) {
                    let published = forecast.published_first_event;
                    let fleet = &shared.fleet;
                    fleet.on_first_event(&server.id, published, taken, now);
                }
                info!(shared.log, "stream: first event"; "req" => &*call.head.id,
                    "server" => &*server.id, "taken_ms" => taken.as_millis() as u64,
                    "forecast_ms" => forecast.map(|forecast| forecast.first_event.as_millis() as u64),
                    "since_arrival_ms" => now.saturating_sub(call.arrived).as_millis() as u64);
                return;
            }
            StreamItem::End => {
                if self.assignment.forecast.is_none() && !self.is_resumed {
                    call.record_stream_time(now.saturating_sub(self.sent_at));
                }
                return;
            }
            StreamItem::Events(_) => return,
            StreamItem::Broken(_) => AttemptResult::Failed,
            StreamItem::Silent => AttemptResult::Silent,
        };
        shared.fleet.on_result(&server.id, health, now);
        info!(shared.log, "stream: broke off"; "req" => &*call.head.id, "server" => &*server.id,
            "how" => item.outcome(), "last_event" => self.last_event());
    }
}

/// Waits until a server is assigned: engines by the queue of prompts, another one at once.
async fn assign(call: &Call, turn: Option<RetryTurn>) -> Result<Assignment, OpenError> {
    let shared = &call.shared;
    if call.admitted.service.engine.is_none() {
        return assign_stream(call, turn).map_err(OpenError::NoServer);
    }
    let request = placement_request(call, turn);
    let assigned = shared.prompt_queue.assign(shared, request).await;
    let assignment = assigned.map_err(OpenError::NoServer)?;
    log_assignment(call, &assignment);
    Ok(assignment)
}

/// Records that the engine which got the request was given up, and returns the error of the attempt.
fn give_up_lost_engine(call: &Call, server: &BackendEntry) -> AttemptError {
    let shared = &call.shared;
    let now = shared.clock.now();
    shared
        .fleet
        .on_result(&server.id, AttemptResult::Silent, now);
    shared.metrics.attempt("lost");
    call.record_run_end(RunEnd::Lost);
    check_server(call, server);
    info!(shared.log, "attempt: no answer"; "req" => &*call.head.id, "server" => &*server.id,
        "err" => ENGINE_LOST);
    AttemptError::MayHaveRun(server.id.clone(), ENGINE_LOST.into())
}

fn log_assignment(call: &Call, assignment: &Assignment) {
    let waited = call.shared.clock.now().saturating_sub(call.arrived);
    let helper_tokens: u64 = assignment.helpers.iter().map(|(_, tokens)| tokens).sum();
    let (part, forecast) = assignment
        .forecast
        .map_or_else(Default::default, |forecast| {
            (forecast.part_prefill_time, forecast.first_event)
        });
    info!(call.shared.log, "stream: engines assigned"; "req" => &*call.head.id,
        "server" => &*assignment.server.id, "helpers" => helper_ids(assignment),
        "part_ms" => part.as_millis() as u64,
        "held_elsewhere" => helper_tokens, "prompt" => call.head.usage.map(|usage| usage.prompt_tokens),
        "forecast_ms" => forecast.as_millis() as u64,
        "since_arrival_ms" => waited.as_millis() as u64);
}

fn helper_ids(assignment: &Assignment) -> String {
    let ids = assignment.helpers.iter().map(|(helper, _)| &*helper.id);
    ids.collect::<Vec<_>>().join(" ")
}
