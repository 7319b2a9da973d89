//! The part of a stream that one engine writes.

use crate::attempt::{AttemptError, detect_lost_server, send};
use crate::call::Call;
use crate::event_splitter::EventSplitter;
use crate::prompt_queue::{Assignment, NoEngines, PlacementRequest};
use crate::reservation::{Reservations, ReserveError};
use bytes::Bytes;
use http_body_util::BodyExt as _;
use policy::{AttemptResult, BackendId, PromptRequirements};
use quick_error::quick_error;
use runtime::{SingleAnswer, timeout};
use slog::info;
use std::time::Duration;

/// Silence before the first event: this many times its forecast, and a constant besides, which
/// covers the pass that runs and an engine's stall on a lost helper.
const FIRST_EVENT_FORECASTS: f64 = 2.5;
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(700);
/// Part of callers' patience after which a silent engine is given up, so that another one can
/// still answer.
const PATIENCE_FRACTION: f64 = 0.5;
/// Silence between events: this many times the pause that is on time, and no less than a pass
/// with a long read.
const SILENCE_TARGET_GAPS: u32 = 3;
const MIN_SILENCE: Duration = Duration::from_millis(900);
/// A guess of an answer's length is right in the middle; this factor covers most longer ones.
const LENGTH_GUESS_FACTOR: f64 = 1.3;

quick_error! {
    /// Why a stream did not begin, or did not go on, at an engine.
    #[derive(Debug)]
    pub enum OpenError {
        /// No engine can take it; it has not been sent.
        NoEngines(refusal: NoEngines) {
            display("{}", refusal.reason)
        }
        /// Memory for it could not be reserved; it has not been sent.
        Reservation(err: ReserveError) {
            display("{err}")
            from()
        }
        /// It was tried at as many engines as a call may be.
        TriedEnough {
            display("it was tried often enough")
        }
        /// The engine gave no answer.
        Attempt(err: AttemptError) {
            display("{err}")
            from()
        }
    }
}

/// What comes next of a stream.
#[derive(Debug)]
pub enum StreamItem {
    /// Whole events.
    Events(Bytes),
    /// The engine ended the stream.
    End,
    /// The engine broke off, or sent what is no stream of events.
    Broken(Box<str>),
    /// The engine was silent for too long.
    Silent,
}

impl StreamItem {
    fn outcome(&self) -> &str {
        match self {
            Self::Events(_) => "events",
            Self::End => "end",
            Self::Broken(reason) => reason,
            Self::Silent => "silent for too long",
        }
    }
}

/// A stream at one engine.
#[derive(Debug)]
pub struct EngineStream {
    /// The engine's answer.
    pub response: SingleAnswer,
    assignment: Assignment,
    _reservations: Reservations,
    splitter: EventSplitter,
    sent_at: Duration,
    awaits_first: bool,
    is_last_choice: bool,
}

/// What a prompt needs of engines.
pub fn engine_need(call: &Call) -> PromptRequirements {
    let usual = call
        .admitted
        .service
        .engine
        .as_ref()
        .map_or(0, |model| model.mean_output_tokens);
    let usage = call.head.usage;
    let guess = usage
        .and_then(|usage| usage.guessed_answer)
        .unwrap_or(usual);
    let answer = (guess as f64 * LENGTH_GUESS_FACTOR) as u64;
    PromptRequirements {
        prompt_tokens: usage.map_or(1, |usage| usage.prompt),
        expected_output_tokens: usage.map_or(answer, |usage| answer.min(usage.most_answer)),
        first_event_target: call.admitted.route.target,
        event_gap_target: call.admitted.route.target_gap,
        waited: Duration::ZERO,
        remaining: call.admitted.route.caller_wait_limit(),
    }
}

impl EngineStream {
    /// Waits for engines and sends the call to them; the stream goes on behind `last_event`.
    pub async fn open(
        call: &Call,
        tried: &mut Vec<BackendId>,
        last_event: Option<u64>,
    ) -> Result<Self, OpenError> {
        let shared = &call.shared;
        if !call.claim_try() {
            return Err(OpenError::TriedEnough);
        }
        let assignment = shared
            .prompt_queue
            .assign(shared, placement_request(call, tried))
            .await;
        let assignment = assignment.map_err(OpenError::NoEngines)?;
        log_assignment(call, &assignment);
        tried.push(assignment.server.id.clone());
        let name = format!("{}-{}", call.head.id, call.sends());
        let reserved = Reservations::acquire(shared, &name, &assignment.helpers).await;
        let (reservations, helpers) = reserved?;
        let sent_at = shared.clock.now();
        let wait = if call.is_last_run() {
            call.remaining()
        } else {
            first_event_timeout(call, &assignment)
        };
        let response = send(call, &assignment.server, &helpers, last_event, wait).await?;
        Ok(Self {
            response,
            assignment,
            _reservations: reservations,
            splitter: EventSplitter::after(last_event.or(call.head.last_event)),
            sent_at,
            awaits_first: true,
            is_last_choice: false,
        })
    }

    /// Id of the last whole event.
    pub fn last_event(&self) -> Option<u64> {
        self.splitter.last_event()
    }

    /// Waits for what comes next.
    pub async fn next(&mut self, call: &Call) -> StreamItem {
        let event = loop {
            let limit = self.silence_limit(call).min(call.remaining());
            match self.next_within(limit).await {
                StreamItem::Silent if self.should_wait_on(call).await => {}
                event => break event,
            }
        };
        self.record(call, &event);
        if matches!(event, StreamItem::Broken(_)) {
            detect_lost_server(call, &self.assignment.server).await;
        }
        event
    }

    /// Waits for what comes next of an engine that was silent for too long already.
    pub async fn next_late(&mut self, call: &Call) -> StreamItem {
        let event = self.next_within(call.remaining()).await;
        info!(call.shared.log, "stream: the silent engine goes on"; "req" => &*call.head.id,
            "server" => &*self.assignment.server.id, "how" => event.outcome());
        event
    }

    async fn next_within(&mut self, limit: Duration) -> StreamItem {
        loop {
            let frame = timeout(limit, self.response.body.frame()).await;
            let data = match frame {
                Err(_) => return StreamItem::Silent,
                Ok(None) if self.splitter.has_partial() => {
                    return StreamItem::Broken("it ended within an event".into());
                }
                Ok(None) => return StreamItem::End,
                Ok(Some(Err(err))) => return StreamItem::Broken(err.to_string().into()),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            match self.splitter.push(&data) {
                Ok(Some(events)) => return StreamItem::Events(events),
                Ok(None) => {}
                Err(err) => return StreamItem::Broken(err.to_string().into()),
            }
        }
    }

    /// Gives up looking for another engine when this one is silent.
    pub fn keep_waiting(&mut self) {
        self.is_last_choice = true;
    }

    /// Whether to wait on although the engine is silent: silence alone ends no answer where no
    /// other engine may go on, only the loss of the engine does.
    async fn should_wait_on(&mut self, call: &Call) -> bool {
        if call.remaining().is_zero() || detect_lost_server(call, &self.assignment.server).await {
            return false;
        }
        self.is_last_choice |= !call.may_run_again();
        self.is_last_choice
    }

    fn silence_limit(&self, call: &Call) -> Duration {
        if self.awaits_first && !self.is_last_choice {
            let waited = call.shared.clock.now().saturating_sub(self.sent_at);
            return first_event_timeout(call, &self.assignment).saturating_sub(waited);
        }
        MIN_SILENCE.max(call.admitted.route.target_gap * SILENCE_TARGET_GAPS)
    }

    fn record(&mut self, call: &Call, event: &StreamItem) {
        let shared = &call.shared;
        let now = shared.clock.now();
        let server = &self.assignment.server;
        let health = match event {
            StreamItem::Events(_) if self.awaits_first => {
                self.awaits_first = false;
                self.assignment.job.on_prefill_done();
                let taken = now.saturating_sub(self.sent_at);
                if self.assignment.helpers.is_empty() {
                    shared.fleet.on_pace(
                        &server.id,
                        self.assignment.published_forecast,
                        taken,
                        now,
                    );
                }
                info!(shared.log, "stream: first event"; "req" => &*call.head.id,
                    "server" => &*server.id, "taken_ms" => taken.as_millis() as u64,
                    "forecast_ms" => self.assignment.forecast.as_millis() as u64,
                    "since_arrival_ms" => now.saturating_sub(call.arrived).as_millis() as u64);
                return;
            }
            StreamItem::Events(_) | StreamItem::End => return,
            StreamItem::Broken(_) => AttemptResult::Failed,
            StreamItem::Silent => AttemptResult::Silent,
        };
        shared.fleet.on_result(&server.id, health, now);
        info!(shared.log, "stream: broke off"; "req" => &*call.head.id, "server" => &*server.id,
            "how" => event.outcome(), "last_event" => self.last_event());
    }
}

fn placement_request(call: &Call, tried: &[BackendId]) -> PlacementRequest {
    let now = call.shared.clock.now();
    let again = call.sends() > 0;
    // What goes on midway waits from now; the caller already has part of it.
    let since = if again { now } else { call.arrived };
    PlacementRequest {
        service: call.admitted.service.clone(),
        need: engine_need(call),
        rank: call.rank(),
        since,
        deadline: call
            .deadline
            .min(since + call.admitted.route.caller_wait_limit()),
        tried_servers: tried.to_vec(),
    }
}

fn log_assignment(call: &Call, assignment: &Assignment) {
    let waited = call.shared.clock.now().saturating_sub(call.arrived);
    let held: u64 = assignment.helpers.iter().map(|(_, tokens)| tokens).sum();
    info!(call.shared.log, "stream: engines assigned"; "req" => &*call.head.id,
        "server" => &*assignment.server.id, "helpers" => helper_ids(assignment),
        "part_ms" => assignment.part.as_millis() as u64,
        "held_elsewhere" => held, "prompt" => call.head.usage.map(|usage| usage.prompt),
        "forecast_ms" => assignment.forecast.as_millis() as u64,
        "since_arrival_ms" => waited.as_millis() as u64);
}

fn helper_ids(assignment: &Assignment) -> String {
    let ids = assignment.helpers.iter().map(|(helper, _)| &*helper.id);
    ids.collect::<Vec<_>>().join(" ")
}

fn first_event_timeout(call: &Call, assignment: &Assignment) -> Duration {
    let forecast = assignment
        .forecast
        .mul_f64(FIRST_EVENT_FORECASTS)
        .max(call.admitted.route.target);
    let wait = forecast + FIRST_EVENT_SLACK;
    wait.min(
        call.admitted
            .route
            .caller_wait_limit()
            .mul_f64(PATIENCE_FRACTION),
    )
}
