//! A gateway's view of the load of one backend server.

use crate::router::RoutingRequest;
use proto::prelude::*;

/// Half-life of the weight of hints.
const HINTS_HALF_LIFE_SECONDS: f64 = 2.0;
/// Time for which a server is avoided after its agent could not be reached.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(1);
/// Hints older than this are replaced by any others, even with lower epoch and sequence.
const HINTS_STALE_AFTER: Duration = Duration::from_secs(2);
/// Values assumed of servers without hints.
const DEFAULT_PREFILL_RATE: f64 = 10_000.0;
const DEFAULT_LIMIT: u32 = 2;
const DEFAULT_DELAY_SECONDS: f64 = 0.02;
/// Penalty for running at twice the limit; proportional to the excess.
const OVERLOAD_PENALTY_SECONDS: f64 = 1.0;
/// Time that each request in the batch adds to the others.
const BATCH_PENALTY_SECONDS: f64 = 0.002;
/// Penalty if none of the memory needed is free; proportional to the missing part.
const MEMORY_PENALTY_SECONDS: f64 = 2.0;
const LONG_PREFILL_SECONDS: f64 = 2.0;
const LONG_PREFILL_PENALTY_SECONDS: f64 = 0.15;
const ZERO_LIMIT_PENALTY_SECONDS: f64 = 1.0;
const UNREACHABLE_PENALTY_SECONDS: f64 = 10.0;
const DRAINING_PENALTY_SECONDS: f64 = 20.0;

/// Latest hints of one backend server, and the work offered to it since.
#[derive(Debug, Default)]
pub struct ServerLoad {
    hints: Option<Hints>,
    hints_received: Duration,
    in_flight: u32,
    offered_since_hints: u32,
    offered_prefill_seconds: f64,
    unreachable_until: Duration,
    down: bool,
}

impl ServerLoad {
    /// Records hints and returns true, unless newer ones are known. Hints of an agent that
    /// restarted its sequence are accepted once the known ones are stale.
    pub fn observe(&mut self, now: Duration, hints: &Hints) -> bool {
        let is_newer = self.hints.as_ref().is_none_or(|old| {
            let is_later = (old.epoch, old.sequence) < (hints.epoch, hints.sequence);
            is_later || now >= self.hints_received + HINTS_STALE_AFTER
        });
        if is_newer {
            self.hints = Some(hints.clone());
            self.hints_received = now;
            self.offered_since_hints = 0;
            self.offered_prefill_seconds = 0.0;
        }
        is_newer
    }

    /// Drops hints of a draining server. A server is not chosen while such hints are in use, so
    /// newer ones would never arrive.
    pub fn forget_draining(&mut self) {
        self.hints.take_if(|hints| hints.draining);
    }

    /// Latest accepted hints.
    pub fn hints(&self) -> Option<&Hints> {
        self.hints.as_ref()
    }

    /// Sets whether the agent is considered down.
    pub fn set_down(&mut self, down: bool) {
        self.down = down;
    }

    /// Records an attempt offered to the server.
    pub fn on_offered(&mut self) {
        self.in_flight += 1;
        self.offered_since_hints += 1;
    }

    /// Adds the prefill of a chosen request to the expected load.
    pub fn on_chosen(&mut self, tokens: Tokens) {
        self.offered_prefill_seconds += tokens as f64 / self.prefill_rate();
    }

    /// Records the end of an attempt.
    pub fn on_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.offered_since_hints = self.offered_since_hints.min(self.in_flight);
    }

    /// Records that the agent could not be reached.
    pub fn on_unreachable(&mut self, now: Duration) {
        self.unreachable_until = now + UNREACHABLE_PAUSE;
    }

    /// Number of requests that run or wait at the server, as far as known.
    pub fn outstanding(&self) -> u32 {
        let known = self.hints.as_ref().map_or(0, |hints| hints.outstanding);
        (known + self.offered_since_hints).max(self.in_flight)
    }

    /// Predicted seconds until the first token of a request, with penalties for load, lack of
    /// memory and a server that is unavailable. Old hints count less.
    pub fn seconds_to_first_token(
        &self,
        now: Duration,
        request: &RoutingRequest<'_>,
        cached: Tokens,
    ) -> f64 {
        let age = now.saturating_sub(self.hints_received).as_secs_f64();
        let confidence = (-age / HINTS_HALF_LIFE_SECONDS).exp2();
        let known = self.prefill_rate();
        let rate = known + (1.0 - confidence) * (DEFAULT_PREFILL_RATE - known).max(0.0);
        let prefill = request.prompt_tokens.saturating_sub(cached) as f64 / rate;
        let queued = self.queued_seconds(age);
        let delay = if prefill >= LONG_PREFILL_SECONDS {
            queued
        } else {
            self.short_prompt_delay() * confidence + long_prefill_penalty(queued)
        };
        prefill
            + delay
            + self.batch_penalty(confidence)
            + self.memory_penalty(request) * confidence
            + self.availability_penalty(now)
    }

    /// Seconds of prefill that the server still has to do, as far as known.
    fn queued_seconds(&self, age: f64) -> f64 {
        let known = self.hints.as_ref().map_or(0.0, |hints| {
            hints.queued_tokens as f64 / hints.prefill_rate.max(1.0)
        });
        (known + self.offered_prefill_seconds - age).max(0.0)
    }

    fn short_prompt_delay(&self) -> f64 {
        self.hints.as_ref().map_or(DEFAULT_DELAY_SECONDS, |hints| {
            hints.queue_delay.as_secs_f64() + self.offered_prefill_seconds
        })
    }

    fn prefill_rate(&self) -> f64 {
        let known = self.hints.as_ref().map(|hints| hints.prefill_rate);
        known
            .filter(|rate| *rate >= 1.0)
            .unwrap_or(DEFAULT_PREFILL_RATE)
    }

    fn batch_penalty(&self, confidence: f64) -> f64 {
        let limit = self
            .hints
            .as_ref()
            .map_or(DEFAULT_LIMIT, |hints| hints.limit);
        if limit == 0 {
            return ZERO_LIMIT_PENALTY_SECONDS * confidence;
        }
        let outstanding = f64::from(self.outstanding());
        let overload = (outstanding + 1.0) / f64::from(limit) - 1.0;
        outstanding * BATCH_PENALTY_SECONDS
            + overload.max(0.0) * OVERLOAD_PENALTY_SECONDS * confidence
    }

    fn memory_penalty(&self, request: &RoutingRequest<'_>) -> f64 {
        let needed = request.prompt_tokens + request.output_tokens;
        let free = match &self.hints {
            Some(hints) if request.model.is_some() => hints.free_tokens,
            _ => return 0.0,
        };
        needed.saturating_sub(free) as f64 / needed.max(1) as f64 * MEMORY_PENALTY_SECONDS
    }

    fn availability_penalty(&self, now: Duration) -> f64 {
        let mut seconds = 0.0;
        if self.down || self.unreachable_until > now {
            seconds += UNREACHABLE_PENALTY_SECONDS;
        }
        if self.hints.as_ref().is_some_and(|hints| hints.draining) {
            seconds += DRAINING_PENALTY_SECONDS;
        }
        seconds
    }
}

/// Cost of placing a short prompt beside a long prefill: decoding its answer slows every step of
/// the long prefill.
fn long_prefill_penalty(queued: f64) -> f64 {
    if queued > LONG_PREFILL_SECONDS {
        LONG_PREFILL_PENALTY_SECONDS
    } else {
        0.0
    }
}
