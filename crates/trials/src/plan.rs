//! Plans of open-loop loads: all arrivals are generated from a seed before the load starts.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::ops::RangeInclusive;
use std::time::Duration;

/// A class of similar requests in a load.
#[derive(Debug, Clone)]
pub struct RequestClass {
    /// Name of the class.
    pub name: &'static str,
    /// Mean arrival rate, in requests per second; no requests if zero.
    pub rate: f64,
    /// Prompt length in tokens; drawn from a log-uniform distribution.
    pub prompt_tokens: RangeInclusive<u64>,
    /// Response length in tokens; drawn from a uniform distribution.
    pub output_tokens: RangeInclusive<u64>,
    /// Time limit of each request.
    pub time_limit: Duration,
}

/// One planned request.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// When to send it, from the start of the load.
    pub at: Duration,
    /// Index of its class in [`LoadPlan::classes`].
    pub class: usize,
    /// Prompt length, in tokens.
    pub prompt_tokens: u64,
    /// Response length, in tokens.
    pub output_tokens: u64,
    /// Seed of the prompt's content, so that no two prompts are alike.
    pub seed: u64,
}

/// A load: its request classes and its arrivals.
#[derive(Debug, Clone, Default)]
pub struct LoadPlan {
    /// Request classes.
    pub classes: Vec<RequestClass>,
    /// Arrivals of all classes, in order of time.
    pub arrivals: Vec<Arrival>,
}

impl LoadPlan {
    /// Generates the arrivals of each class as a Poisson process of length `duration`.
    pub fn poisson(seed: u64, duration: Duration, classes: Vec<RequestClass>) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        for (index, class) in classes.iter().enumerate() {
            let mut at = draw_interval(&mut rng, class.rate);
            while at < duration {
                arrivals.push(Arrival {
                    at,
                    class: index,
                    prompt_tokens: draw_log_uniform(&mut rng, &class.prompt_tokens),
                    output_tokens: rng.random_range(class.output_tokens.clone()),
                    seed: rng.random(),
                });
                at += draw_interval(&mut rng, class.rate);
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        Self { classes, arrivals }
    }
}

fn draw_interval(rng: &mut SmallRng, rate: f64) -> Duration {
    const FOREVER: Duration = Duration::from_secs(86_400);
    if rate <= 0.0 {
        return FOREVER;
    }
    let draw: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-draw.ln() / rate)
}

fn draw_log_uniform(rng: &mut SmallRng, range: &RangeInclusive<u64>) -> u64 {
    let (low, high) = (*range.start() as f64, *range.end() as f64);
    let draw: f64 = rng.random_range(0.0..=1.0);
    (low * (high / low).powf(draw)).round() as u64
}
