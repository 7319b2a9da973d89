//! The part of a stream that one engine writes.

use crate::attempt::{AttemptError, note_if_gone, send};
use crate::call::Call;
use crate::desk::{Assignment, DeskAsk, NoEngines};
use crate::event_splitter::EventSplitter;
use crate::reservation::{Reservations, ReserveError};
use bytes::Bytes;
use http_body_util::BodyExt as _;
use policy::{AttemptResult, BackendId, EngineNeed};
use quick_error::quick_error;
use runtime::{SingleAnswer, timeout};
use slog::info;
use std::time::Duration;

/// Silence before the first event: this many times its forecast, and a constant besides, which
/// covers the pass that runs and an engine's stall on a lost helper.
const FORECASTS: f64 = 2.5;
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(700);
/// Part of callers' patience after which a silent engine is given up, so that another one can
/// still answer.
const PATIENCE_PART: f64 = 0.5;
/// Silence between events: this many times the pause that is on time, and no less than a pass
/// with a long read.
const GAPS: u32 = 3;
const LEAST_SILENCE: Duration = Duration::from_millis(900);
/// A guess of an answer's length is right in the middle; this factor covers most longer ones.
const ANSWER_FACTOR: f64 = 1.3;

quick_error! {
    /// Why a stream did not begin, or did not go on, at an engine.
    #[derive(Debug)]
    pub enum LegError {
        /// No engine can take it; it has not been sent.
        NoEngines(why: NoEngines) {
            display("{}", why.reason)
        }
        /// Memory for it could not be reserved; it has not been sent.
        Memory(err: ReserveError) {
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
pub enum LegEvent {
    /// Whole events.
    Events(Bytes),
    /// The engine ended the stream.
    End,
    /// The engine broke off, or sent what is no stream of events.
    Broken(Box<str>),
    /// The engine was silent for too long.
    Silent,
}

impl LegEvent {
    fn how(&self) -> &str {
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
pub struct Leg {
    /// The engine's answer.
    pub answer: SingleAnswer,
    assignment: Assignment,
    _memory: Reservations,
    splitter: EventSplitter,
    sent: Duration,
    first: bool,
    stays: bool,
}

/// What a prompt needs of engines.
pub fn engine_need(call: &Call) -> EngineNeed {
    let usual = call
        .admitted
        .service
        .engine
        .as_ref()
        .map_or(0, |model| model.usual_answer);
    let usage = call.head.usage;
    let guess = usage
        .and_then(|usage| usage.guessed_answer)
        .unwrap_or(usual);
    let answer = (guess as f64 * ANSWER_FACTOR) as u64;
    EngineNeed {
        prompt: usage.map_or(1, |usage| usage.prompt),
        answer: usage.map_or(answer, |usage| answer.min(usage.most_answer)),
        target: call.admitted.route.target_latency,
        gap: call.admitted.route.target_gap,
        waited: Duration::ZERO,
        left: call.admitted.route.caller_wait_limit(),
    }
}

impl Leg {
    /// Waits for engines and sends the call to them; the stream goes on behind `last_event`.
    pub async fn open(
        call: &Call,
        tried: &mut Vec<BackendId>,
        last_event: Option<u64>,
    ) -> Result<Self, LegError> {
        let shared = &call.shared;
        if !call.may_try() {
            return Err(LegError::TriedEnough);
        }
        let assignment = shared.desk.assign(shared, ask(call, tried)).await;
        let assignment = assignment.map_err(LegError::NoEngines)?;
        note_assignment(call, &assignment);
        tried.push(assignment.server.id.clone());
        let name = format!("{}-{}", call.head.id, call.sends());
        let reserved = Reservations::take(shared, &name, &assignment.helpers).await;
        let (memory, helpers) = reserved?;
        let sent = shared.clock.now();
        let wait = if call.is_last_run() {
            call.remaining()
        } else {
            first_event_wait(call, &assignment)
        };
        let answer = send(call, &assignment.server, &helpers, last_event, wait).await?;
        Ok(Self {
            answer,
            assignment,
            _memory: memory,
            splitter: EventSplitter::behind(last_event.or(call.head.last_event)),
            sent,
            first: true,
            stays: false,
        })
    }

    /// Id of the last whole event.
    pub fn last_event(&self) -> Option<u64> {
        self.splitter.last_event()
    }

    /// Waits for what comes next.
    pub async fn next(&mut self, call: &Call) -> LegEvent {
        let event = loop {
            let limit = self.silence(call).min(call.remaining());
            match self.next_within(limit).await {
                LegEvent::Silent if self.stays(call).await => {}
                event => break event,
            }
        };
        self.note(call, &event);
        if matches!(event, LegEvent::Broken(_)) {
            note_if_gone(call, &self.assignment.server).await;
        }
        event
    }

    /// Waits for what comes next of an engine that was silent for too long already.
    pub async fn next_late(&mut self, call: &Call) -> LegEvent {
        let event = self.next_within(call.remaining()).await;
        info!(call.shared.log, "stream: the silent engine goes on"; "req" => &*call.head.id,
            "server" => &*self.assignment.server.id, "how" => event.how());
        event
    }

    async fn next_within(&mut self, limit: Duration) -> LegEvent {
        loop {
            let frame = timeout(limit, self.answer.body.frame()).await;
            let data = match frame {
                Err(_) => return LegEvent::Silent,
                Ok(None) if self.splitter.has_partial() => {
                    return LegEvent::Broken("it ended within an event".into());
                }
                Ok(None) => return LegEvent::End,
                Ok(Some(Err(err))) => return LegEvent::Broken(err.to_string().into()),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            match self.splitter.push(&data) {
                Ok(Some(events)) => return LegEvent::Events(events),
                Ok(None) => {}
                Err(err) => return LegEvent::Broken(err.to_string().into()),
            }
        }
    }

    /// Gives up looking for another engine when this one is silent.
    pub fn stay(&mut self) {
        self.stays = true;
    }

    /// Whether to wait on although the engine is silent: silence alone ends no answer where no
    /// other engine may go on, only the loss of the engine does.
    async fn stays(&mut self, call: &Call) -> bool {
        if call.remaining().is_zero() || note_if_gone(call, &self.assignment.server).await {
            return false;
        }
        self.stays |= !call.may_run_again();
        self.stays
    }

    fn silence(&self, call: &Call) -> Duration {
        if self.first && !self.stays {
            let waited = call.shared.clock.now().saturating_sub(self.sent);
            return first_event_wait(call, &self.assignment).saturating_sub(waited);
        }
        LEAST_SILENCE.max(call.admitted.route.target_gap * GAPS)
    }

    fn note(&mut self, call: &Call, event: &LegEvent) {
        let shared = &call.shared;
        let now = shared.clock.now();
        let server = &self.assignment.server;
        let health = match event {
            LegEvent::Events(_) if self.first => {
                self.first = false;
                self.assignment.job.on_read();
                let taken = now.saturating_sub(self.sent);
                if self.assignment.helpers.is_empty() {
                    shared
                        .fleet
                        .on_pace(&server.id, self.assignment.usual, taken, now);
                }
                info!(shared.log, "stream: first event"; "req" => &*call.head.id,
                    "server" => &*server.id, "taken_ms" => taken.as_millis() as u64,
                    "forecast_ms" => self.assignment.forecast.as_millis() as u64,
                    "since_arrival_ms" => now.saturating_sub(call.arrived).as_millis() as u64);
                return;
            }
            LegEvent::Events(_) | LegEvent::End => return,
            LegEvent::Broken(_) => AttemptResult::Failed,
            LegEvent::Silent => AttemptResult::Silent,
        };
        shared.fleet.on_result(&server.id, health, now);
        info!(shared.log, "stream: broke off"; "req" => &*call.head.id, "server" => &*server.id,
            "how" => event.how(), "last_event" => self.last_event());
    }
}

fn ask(call: &Call, tried: &[BackendId]) -> DeskAsk {
    let now = call.shared.clock.now();
    let again = call.sends() > 0;
    // What goes on midway waits from now; the caller already has part of it.
    let since = if again { now } else { call.arrived };
    DeskAsk {
        service: call.admitted.service.clone(),
        need: engine_need(call),
        rank: call.rank(),
        since,
        gives_up: call
            .ends
            .min(since + call.admitted.route.caller_wait_limit()),
        tried: tried.to_vec(),
    }
}

fn note_assignment(call: &Call, assignment: &Assignment) {
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

fn first_event_wait(call: &Call, assignment: &Assignment) -> Duration {
    let forecast = assignment
        .forecast
        .mul_f64(FORECASTS)
        .max(call.admitted.route.target_latency);
    let wait = forecast + FIRST_EVENT_SLACK;
    wait.min(
        call.admitted
            .route
            .caller_wait_limit()
            .mul_f64(PATIENCE_PART),
    )
}
