//! Measurements of a simulated run.

use crate::sim_trace::{LONG_TOKENS, SHORT_TOKENS, SimRequest};
use std::time::Duration;

/// Engine time to prefill one prompt token.
const PREFILL_SECONDS_PER_TOKEN: f64 = 1.0 / 20_000.0;
/// Engine time to decode one response token in a batch of 16 requests.
const DECODE_SECONDS_PER_TOKEN: f64 = 0.015 / 16.0 + 0.000_3;

/// How a request ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SimEnd {
    /// It has not ended yet.
    #[default]
    Pending,
    /// The complete response arrived before the deadline.
    Finished,
    /// It was refused without having run.
    Refused,
    /// It was admitted, and failed before its deadline.
    Failed,
    /// It was still pending at its deadline.
    Late,
}

/// Result of one request. Times count from the start of the run.
#[derive(Debug, Clone, Default)]
pub struct SimOutcome {
    /// How it ended.
    pub end: SimEnd,
    /// When it ended; zero while it is pending.
    pub ended_at: Duration,
    /// When the caller received the first response token.
    pub first_token_at: Option<Duration>,
    /// When the caller received the latest response token; zero without one.
    pub last_token_at: Duration,
    /// Response tokens that the caller received.
    pub tokens: u64,
    /// Attempts started, the first one included.
    pub attempts: u32,
}

/// The requests of a run and their outcomes.
#[derive(Debug, Default)]
pub struct SimFigures {
    /// All requests, in order of arrival.
    pub requests: Vec<SimRequest>,
    /// Outcome of each request, in the order of `requests`.
    pub outcomes: Vec<SimOutcome>,
    /// Tokens that all engines prefilled or decoded.
    pub processed_tokens: u64,
    /// Tokens prefilled or decoded for attempts that no caller was waiting for any more.
    pub wasted_tokens: u64,
    /// Every attempt offered to a server, as `(time, server index)`.
    pub offers: Vec<(Duration, usize)>,
    /// Dispatches that exceeded the cold limit of an engine in cold start, as
    /// `(time, server index)`.
    pub over_cold_limit: Vec<(Duration, usize)>,
}

impl SimFigures {
    /// The requests that match a predicate, with their outcomes.
    pub fn select(
        &self,
        matches: impl Fn(&SimRequest) -> bool,
    ) -> impl Iterator<Item = (&SimRequest, &SimOutcome)> {
        let pairs = self.requests.iter().zip(&self.outcomes);
        pairs.filter(move |(request, _)| matches(request))
    }

    /// Percentile of the time to first token, in seconds, over the requests that arrived at or
    /// after `from` and match the predicate. Refused requests are left out; a request that ended
    /// without a first token counts with the time until its end.
    pub fn first_token_percentile(
        &self,
        percent: usize,
        from: Duration,
        matches: impl Fn(&SimRequest) -> bool,
    ) -> f64 {
        let times = self
            .select(|request| request.arrives_at >= from && matches(request))
            .filter(|(_, outcome)| outcome.end != SimEnd::Refused)
            .map(|(request, outcome)| {
                let at = outcome.first_token_at.unwrap_or(outcome.ended_at);
                at.saturating_sub(request.arrives_at).as_secs_f64()
            });
        percentile(times.collect(), percent)
    }

    /// Percentile, over finished requests that arrived at or after `from`, of a request's mean
    /// time between tokens, in milliseconds.
    pub fn inter_token_percentile(&self, percent: usize, from: Duration) -> f64 {
        let times = self
            .select(|request| request.arrives_at >= from)
            .filter(|(_, outcome)| outcome.end == SimEnd::Finished && outcome.tokens > 1)
            .map(|(_, outcome)| {
                let first = outcome.first_token_at.unwrap_or_default();
                let spent = outcome.last_token_at.saturating_sub(first).as_secs_f64();
                spent * 1000.0 / (outcome.tokens - 1) as f64
            });
        percentile(times.collect(), percent)
    }

    /// Number of requests with this end.
    pub fn count(&self, end: SimEnd) -> usize {
        let ended = self.outcomes.iter().filter(|outcome| outcome.end == end);
        ended.count()
    }

    /// Mean number of attempts, over requests with at least one attempt.
    pub fn attempts_per_request(&self) -> f64 {
        let sent = self.outcomes.iter().filter(|outcome| outcome.attempts > 0);
        let (count, attempts) = sent.fold((0_u64, 0_u64), |(count, attempts), outcome| {
            (count + 1, attempts + u64::from(outcome.attempts))
        });
        attempts as f64 / count.max(1) as f64
    }

    /// Prompt and response tokens per second of the requests that finished from `from` until
    /// `until`.
    pub fn token_goodput(&self, from: Duration, until: Duration) -> f64 {
        let tokens: u64 = self
            .select(|_| true)
            .filter(|(_, outcome)| outcome.end == SimEnd::Finished)
            .filter(|(_, outcome)| (from..until).contains(&outcome.ended_at))
            .map(|(request, _)| request.prompt_tokens + request.output_tokens)
            .sum();
        tokens as f64 / (until - from).as_secs_f64()
    }

    /// Requests per second that finished from `from` until `until`.
    pub fn completion_rate(&self, from: Duration, until: Duration) -> f64 {
        let finished = self.outcomes.iter().filter(|outcome| {
            outcome.end == SimEnd::Finished && (from..until).contains(&outcome.ended_at)
        });
        finished.count() as f64 / (until - from).as_secs_f64()
    }

    /// Estimated engine time per second for the requests that finished from `from` until `until`.
    pub fn engine_goodput(&self, from: Duration, until: Duration) -> f64 {
        let seconds: f64 = self
            .select(|_| true)
            .filter(|(_, outcome)| outcome.end == SimEnd::Finished)
            .filter(|(_, outcome)| (from..until).contains(&outcome.ended_at))
            .map(|(request, _)| {
                request.prompt_tokens as f64 * PREFILL_SECONDS_PER_TOKEN
                    + request.output_tokens as f64 * DECODE_SECONDS_PER_TOKEN
            })
            .sum();
        seconds / (until - from).as_secs_f64()
    }

    /// Percentile of the time from arrival to refusal, in milliseconds, over refused requests.
    pub fn refusal_percentile(&self, percent: usize) -> f64 {
        let times = self
            .select(|_| true)
            .filter(|(_, outcome)| outcome.end == SimEnd::Refused)
            .map(|(request, outcome)| {
                outcome
                    .ended_at
                    .saturating_sub(request.arrives_at)
                    .as_secs_f64()
                    * 1000.0
            });
        percentile(times.collect(), percent)
    }
}

/// Whether the request's prompt counts as short.
pub fn has_short_prompt(request: &SimRequest) -> bool {
    request.prompt_tokens < SHORT_TOKENS
}

/// Whether the request's prompt counts as long.
pub fn has_long_prompt(request: &SimRequest) -> bool {
    request.prompt_tokens >= LONG_TOKENS
}

fn percentile(mut values: Vec<f64>, percent: usize) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (values.len() * percent).div_ceil(100).max(1) - 1;
    values.get(rank).copied().unwrap_or(f64::NAN)
}
