//! What a gateway believes of one backend server's load.

use crate::router::RoutingRequest;
use proto::prelude::*;

const HALF_LIFE_SECONDS: f64 = 2.0;
const FAILURE_PAUSE: Duration = Duration::from_secs(1);
const STALE_AFTER: Duration = Duration::from_secs(2);
const PRESUMED_PREFILL_RATE: f64 = 10_000.0;
const PRESUMED_LIMIT: u32 = 2;
const PRESUMED_DELAY_SECONDS: f64 = 0.02;
const FULL_SECONDS: f64 = 1.0;
/// What each request in the batch adds to the time of another.
const BESIDE_SECONDS: f64 = 0.002;
const SHORTAGE_SECONDS: f64 = 2.0;
const LONG_PREFILL_SECONDS: f64 = 2.0;
const BESIDE_LONG_SECONDS: f64 = 0.15;
const HELD_SECONDS: f64 = 1.0;
const FAILED_SECONDS: f64 = 10.0;
const DRAINING_SECONDS: f64 = 20.0;

/// Hints of one backend server, and what was offered to it since.
#[derive(Debug, Default)]
pub struct ServerLoad {
    hints: Option<Hints>,
    heard: Duration,
    in_flight: u32,
    offered_since: u32,
    offered_seconds: f64,
    failed_until: Duration,
    down: bool,
}

impl ServerLoad {
    /// Takes hints unless newer ones were heard. Those of an agent that counts anew are taken
    /// once the known ones are old. True where they were taken.
    pub fn observe(&mut self, now: Duration, hints: &Hints) -> bool {
        let newer = self.hints.as_ref().is_none_or(|old| {
            let later = (old.epoch, old.sequence) < (hints.epoch, hints.sequence);
            later || now >= self.heard + STALE_AFTER
        });
        if newer {
            self.hints = Some(hints.clone());
            self.heard = now;
            self.offered_since = 0;
            self.offered_seconds = 0.0;
        }
        newer
    }

    /// Forgets hints of a server that drained: it is not asked while they are believed, so that
    /// nothing newer would ever be heard of it.
    pub fn forget_draining(&mut self) {
        self.hints.take_if(|hints| hints.draining);
    }

    /// The hints that are believed.
    pub fn hints(&self) -> Option<&Hints> {
        self.hints.as_ref()
    }

    /// Notes whether the agent was given up.
    pub fn set_down(&mut self, down: bool) {
        self.down = down;
    }

    /// Notes an attempt.
    pub fn on_offered(&mut self) {
        self.in_flight += 1;
        self.offered_since += 1;
    }

    /// Notes the prefill that an attempt brings.
    pub fn on_chosen(&mut self, tokens: Tokens) {
        self.offered_seconds += tokens as f64 / self.prefill_rate();
    }

    /// Notes the end of an attempt.
    pub fn on_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.offered_since = self.offered_since.min(self.in_flight);
    }

    /// Notes that the agent could not be reached.
    pub fn on_unreachable(&mut self, now: Duration) {
        self.failed_until = now + FAILURE_PAUSE;
    }

    /// Requests that run or wait there, as far as known.
    pub fn outstanding(&self) -> u32 {
        let known = self.hints.as_ref().map_or(0, |hints| hints.outstanding);
        (known + self.offered_since).max(self.in_flight)
    }

    /// Seconds until the first token of a request would come, and more where the server is not
    /// fit. Old hints count less.
    pub fn seconds_to_first_token(
        &self,
        now: Duration,
        ask: &RoutingRequest<'_>,
        cached: Tokens,
    ) -> f64 {
        let age = now.saturating_sub(self.heard).as_secs_f64();
        let trust = (-age / HALF_LIFE_SECONDS).exp2();
        let known = self.prefill_rate();
        let rate = known + (1.0 - trust) * (PRESUMED_PREFILL_RATE - known).max(0.0);
        let prefill = ask.prompt_tokens.saturating_sub(cached) as f64 / rate;
        let queued = self.queued_seconds(age);
        let delay = if prefill >= LONG_PREFILL_SECONDS {
            queued
        } else {
            self.short_delay() * trust + beside_long(queued)
        };
        prefill + delay + self.crowding(trust) + self.shortage(ask) * trust + self.unfitness(now)
    }

    /// Seconds of prefill that are still to be done there, as far as known.
    fn queued_seconds(&self, age: f64) -> f64 {
        let known = self.hints.as_ref().map_or(0.0, |hints| {
            hints.queued_tokens as f64 / hints.prefill_rate.max(1.0)
        });
        (known + self.offered_seconds - age).max(0.0)
    }

    fn short_delay(&self) -> f64 {
        self.hints.as_ref().map_or(PRESUMED_DELAY_SECONDS, |hints| {
            hints.queue_delay.as_secs_f64() + self.offered_seconds
        })
    }

    fn prefill_rate(&self) -> f64 {
        let known = self.hints.as_ref().map(|hints| hints.prefill_rate);
        known
            .filter(|rate| *rate >= 1.0)
            .unwrap_or(PRESUMED_PREFILL_RATE)
    }

    fn crowding(&self, trust: f64) -> f64 {
        let limit = self
            .hints
            .as_ref()
            .map_or(PRESUMED_LIMIT, |hints| hints.limit);
        if limit == 0 {
            return HELD_SECONDS * trust;
        }
        let outstanding = f64::from(self.outstanding());
        let over = (outstanding + 1.0) / f64::from(limit) - 1.0;
        outstanding * BESIDE_SECONDS + over.max(0.0) * FULL_SECONDS * trust
    }

    fn shortage(&self, ask: &RoutingRequest<'_>) -> f64 {
        let need = ask.prompt_tokens + ask.output_tokens;
        let free = match &self.hints {
            Some(hints) if ask.model.is_some() => hints.free_tokens,
            _ => return 0.0,
        };
        need.saturating_sub(free) as f64 / need.max(1) as f64 * SHORTAGE_SECONDS
    }

    fn unfitness(&self, now: Duration) -> f64 {
        let mut seconds = 0.0;
        if self.down || self.failed_until > now {
            seconds += FAILED_SECONDS;
        }
        if self.hints.as_ref().is_some_and(|hints| hints.draining) {
            seconds += DRAINING_SECONDS;
        }
        seconds
    }
}

/// Cost of a short prompt beside a long prefill: decoding its answer slows every step of it.
fn beside_long(queued: f64) -> f64 {
    if queued > LONG_PREFILL_SECONDS {
        BESIDE_LONG_SECONDS
    } else {
        0.0
    }
}
