//! Open-loop load generator: sends requests at their scheduled times and collects the outcomes.

use crate::caller::{Call, Outcome};
use crate::plan::{Arrival, LoadPlan};
use async_io::Timer;
use hdrhistogram::Histogram;
use runtime::{Executor, HttpClient};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const MAX_LATENCY_MICROS: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// An arrival and the outcome of its request.
#[derive(Debug, Clone)]
pub struct Sample {
    /// The scheduled request.
    pub arrival: Arrival,
    /// How the request ended, with its timings.
    pub outcome: Outcome,
}

/// Counts and latencies of a set of requests, such as those of one class.
#[derive(Debug, Clone)]
pub struct Summary {
    /// Time to first token of complete responses, in microseconds.
    pub first_token: Histogram<u64>,
    /// Mean time between two chunks of each complete response, in microseconds.
    pub token_gap: Histogram<u64>,
    /// Time to the end of each complete response, in microseconds.
    pub total: Histogram<u64>,
    /// Requests that were sent.
    pub sent: u64,
    /// Complete responses within the time limit.
    pub in_time: u64,
    /// Errors that state that the request did not run.
    pub refused: u64,
    /// Other errors, interrupted responses, and complete responses after the time limit.
    pub failed: u64,
    /// Failures that the caller is not told of: responses that look complete and are not, and
    /// requests that never end.
    pub silent_failures: u64,
}

/// Sends the requests of a plan at their due times, without waiting for earlier ones to end.
#[derive(Debug, Clone)]
pub struct Driver {
    executor: Executor,
    client: HttpClient,
    targets: Vec<SocketAddr>,
    model: Box<str>,
    key: Box<str>,
}

impl Driver {
    /// A driver that sends requests to `targets` in round-robin order, with the team key `key`.
    pub fn new(executor: Executor, targets: Vec<SocketAddr>, model: &str, key: &str) -> Self {
        let client = HttpClient::new(executor.clone());
        Self {
            executor,
            client,
            targets,
            model: model.into(),
            key: key.into(),
        }
    }

    /// Runs a plan and waits for the last request to end. Samples are in order of arrival.
    pub async fn run(&self, plan: &LoadPlan) -> Vec<Sample> {
        self.run_with(plan, |call, _| call).await
    }

    /// As [`Driver::run`], with each request passed through `change` before it is sent.
    pub async fn run_with(
        &self,
        plan: &LoadPlan,
        change: impl Fn(Call, &Arrival) -> Call,
    ) -> Vec<Sample> {
        let start = Instant::now();
        let mut tasks = Vec::with_capacity(plan.arrivals.len());
        for (index, arrival) in plan.arrivals.iter().enumerate() {
            let due = start + arrival.at;
            Timer::at(due).await;
            let call = change(self.call(plan, arrival), arrival);
            let target = self.targets[index % self.targets.len()];
            let driver = self.clone();
            tasks.push(self.executor.spawn(async move {
                call.run(&driver.executor, &driver.client, target, due)
                    .await
            }));
        }
        let mut samples = Vec::with_capacity(tasks.len());
        for (task, arrival) in tasks.into_iter().zip(&plan.arrivals) {
            samples.push(Sample {
                arrival: arrival.clone(),
                outcome: task.await,
            });
        }
        samples
    }

    /// Runs a closed loop for `time`: `width` workers each send `call` again as soon as their last
    /// request has ended.
    pub async fn run_closed_loop(&self, call: &Call, width: usize, time: Duration) -> Vec<Outcome> {
        let until = Instant::now() + time;
        let call = Arc::new(call.clone());
        let workers: Vec<_> = (0..width)
            .map(|worker| {
                let driver = self.clone();
                let call = call.clone();
                let target = self.targets[worker % self.targets.len()];
                self.executor.spawn(async move {
                    let mut outcomes = Vec::new();
                    while Instant::now() < until {
                        let outcome = driver.send((*call).clone(), target).await;
                        outcomes.push(outcome);
                    }
                    outcomes
                })
            })
            .collect();
        let mut outcomes = Vec::new();
        for worker in workers {
            outcomes.extend(worker.await);
        }
        outcomes
    }

    /// Sends all requests to `target` at once and waits for them to end. Outcomes are in the order
    /// of `calls`.
    pub async fn send_all(
        &self,
        calls: impl IntoIterator<Item = Call>,
        target: SocketAddr,
    ) -> Vec<Outcome> {
        let start = |call| {
            let driver = self.clone();
            self.executor
                .spawn(async move { driver.send(call, target).await })
        };
        let tasks: Vec<_> = calls.into_iter().map(start).collect();
        let mut outcomes = Vec::with_capacity(tasks.len());
        for task in tasks {
            outcomes.push(task.await);
        }
        outcomes
    }

    /// Sends one request now and waits for it to end.
    pub async fn send(&self, call: Call, target: SocketAddr) -> Outcome {
        let call = call.key(&self.key);
        call.run(&self.executor, &self.client, target, Instant::now())
            .await
    }

    fn call(&self, plan: &LoadPlan, arrival: &Arrival) -> Call {
        Call::completion(
            &self.model,
            arrival.seed,
            arrival.prompt_tokens,
            arrival.output_tokens,
        )
        .key(&self.key)
        .time_limit(plan.classes[arrival.class].time_limit)
    }
}

impl Default for Summary {
    fn default() -> Self {
        Self {
            first_token: histogram(),
            token_gap: histogram(),
            total: histogram(),
            sent: 0,
            in_time: 0,
            refused: 0,
            failed: 0,
            silent_failures: 0,
        }
    }
}

impl Summary {
    /// Summarizes the samples of one class of a plan.
    pub fn of_class(samples: &[Sample], plan: &LoadPlan, class: usize) -> Self {
        let limit = plan.classes[class].time_limit;
        let mut summary = Self::default();
        for sample in samples {
            if sample.arrival.class == class {
                summary.add(&sample.outcome, limit);
            }
        }
        summary
    }

    /// Summarizes outcomes that share one time limit.
    pub fn of<'a>(outcomes: impl IntoIterator<Item = &'a Outcome>, limit: Duration) -> Self {
        let mut summary = Self::default();
        for outcome in outcomes {
            summary.add(outcome, limit);
        }
        summary
    }

    /// Adds one outcome, whose request had the time limit `limit`.
    pub fn add(&mut self, outcome: &Outcome, limit: Duration) {
        use crate::caller::End;
        self.sent += 1;
        match &outcome.end {
            End::Whole => {
                self.in_time += u64::from(outcome.total <= limit);
                self.failed += u64::from(outcome.total > limit);
                record(
                    &mut self.first_token,
                    outcome.first_byte.unwrap_or(outcome.total),
                );
                record(&mut self.token_gap, outcome.mean_gap);
                record(&mut self.total, outcome.total);
            }
            End::Refused { .. } => self.refused += 1,
            End::Failed { .. } | End::Broken(_) => self.failed += 1,
            End::Short | End::Late => self.silent_failures += 1,
        }
    }
}

/// Quantile of a histogram of microseconds, in milliseconds.
pub fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    const MICROS_PER_MILLI: f64 = 1e3;
    histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
        .expect("valid bounds of a histogram")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros() as u64);
}
