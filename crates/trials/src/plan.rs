//! Arrivals of an open load, drawn from a seed before the load starts.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::ops::RangeInclusive;
use std::time::Duration;

/// One kind of request in a load.
#[derive(Debug, Clone)]
pub struct RequestClass {
    /// Its name.
    pub name: &'static str,
    /// Requests a second.
    pub rate: f64,
    /// Tokens of a prompt; drawn evenly on a logarithmic scale.
    pub prompt_tokens: RangeInclusive<u64>,
    /// Tokens of an answer.
    pub output_tokens: RangeInclusive<u64>,
    /// Time limit of a request.
    pub time_limit: Duration,
}

/// One request of a plan.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// When it is due, from the start.
    pub at: Duration,
    /// Index of its class.
    pub class: usize,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub output_tokens: u64,
    /// Makes its prompt unlike others'.
    pub seed: u64,
}

/// A load: classes and arrivals in order.
#[derive(Debug, Clone, Default)]
pub struct LoadPlan {
    /// Classes.
    pub classes: Vec<RequestClass>,
    /// Arrivals.
    pub arrivals: Vec<Arrival>,
}

impl LoadPlan {
    /// Draws the arrivals of each class as a Poisson process over `time`.
    pub fn poisson(seed: u64, time: Duration, classes: Vec<RequestClass>) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        for (index, class) in classes.iter().enumerate() {
            let mut at = interval(&mut rng, class.rate);
            while at < time {
                arrivals.push(Arrival {
                    at,
                    class: index,
                    prompt_tokens: log_uniform(&mut rng, &class.prompt_tokens),
                    output_tokens: rng.random_range(class.output_tokens.clone()),
                    seed: rng.random(),
                });
                at += interval(&mut rng, class.rate);
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        Self { classes, arrivals }
    }
}

fn interval(rng: &mut SmallRng, rate: f64) -> Duration {
    const FOREVER: Duration = Duration::from_secs(86_400);
    if rate <= 0.0 {
        return FOREVER;
    }
    let draw: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-draw.ln() / rate)
}

fn log_uniform(rng: &mut SmallRng, range: &RangeInclusive<u64>) -> u64 {
    let (low, high) = (*range.start() as f64, *range.end() as f64);
    let draw: f64 = rng.random_range(0.0..=1.0);
    (low * (high / low).powf(draw)).round() as u64
}
