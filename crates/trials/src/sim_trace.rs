//! The requests of a simulated load, generated from a seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// A prompt with fewer tokens than this counts as short in the figures.
pub const SHORT_TOKENS: u64 = 8_000;
/// A prompt with at least this many tokens counts as long in the figures.
pub const LONG_TOKENS: u64 = 100_000;

/// One request from a caller.
#[derive(Debug, Clone)]
pub struct SimRequest {
    /// When it arrives, from the start of the run.
    pub arrives_at: Duration,
    /// Index of the team that sends it.
    pub team: usize,
    /// Prompt length, in tokens.
    pub prompt_tokens: u64,
    /// Length of the response, in tokens.
    pub output_tokens: u64,
    /// Time from its arrival to its deadline.
    pub time_limit: Duration,
}

/// Describes a load as a Poisson process with randomly drawn prompt and response lengths.
#[derive(Debug, Clone)]
pub struct TraceSpec {
    /// Seed of the random number generator; the same seed gives the same requests.
    pub seed: u64,
    /// Mean arrival rate, in requests per second.
    pub rate: f64,
    /// Start of the load, from the start of the run.
    pub start: Duration,
    /// End of the load; no request arrives at or after it.
    pub end: Duration,
    /// Indices of the sending teams; each sends the same share on average.
    pub teams: std::ops::Range<usize>,
    /// On average one in this many prompts is long; zero for no long prompts.
    pub long_every: u64,
    /// Whether 8% of the prompts have a length between short and long.
    pub has_medium_prompts: bool,
}

impl TraceSpec {
    /// Generates the requests in order of arrival.
    pub fn generate(&self) -> Vec<SimRequest> {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let mut requests = Vec::new();
        let mut at = self.start;
        loop {
            let unit: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
            at += Duration::from_secs_f64(-unit.ln() / self.rate);
            if at >= self.end {
                return requests;
            }
            let prompt_tokens = self.draw_prompt_tokens(&mut rng);
            let request = SimRequest {
                arrives_at: at,
                team: rng.random_range(self.teams.clone()),
                prompt_tokens,
                output_tokens: rng.random_range(50..250),
                time_limit: Duration::from_secs(30) + Duration::from_micros(prompt_tokens * 600),
            };
            requests.push(request);
        }
    }

    fn draw_prompt_tokens(&self, rng: &mut SmallRng) -> u64 {
        let kind = rng.random_range(0..10_000);
        let long = 10_000_u64.checked_div(self.long_every).unwrap_or(0);
        let (from, to) = if kind < long {
            (LONG_TOKENS, 1_000_000)
        } else if self.has_medium_prompts && kind >= 9_200 {
            (SHORT_TOKENS, LONG_TOKENS)
        } else {
            (1_000, SHORT_TOKENS)
        };
        let exponent = rng.random_range((from as f64).ln()..(to as f64).ln());
        exponent.exp() as u64
    }
}

/// Merges loads into one, in order of arrival.
pub fn merge_by_arrival(loads: Vec<Vec<SimRequest>>) -> Vec<SimRequest> {
    let mut all: Vec<SimRequest> = loads.into_iter().flatten().collect();
    all.sort_by_key(|request| request.arrives_at);
    all
}
