//! Drives an open load and gathers what became of each request.

use crate::caller::{Call, Outcome};
use crate::plan::{Arrival, LoadPlan};
use async_io::Timer;
use hdrhistogram::Histogram;
use runtime::{Executor, HttpClient};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const HIGHEST_MICROS: u64 = 3_600_000_000;
const DIGITS: u8 = 3;

/// What became of one arrival.
#[derive(Debug, Clone)]
pub struct Sample {
    /// The arrival.
    pub arrival: Arrival,
    /// Its outcome.
    pub outcome: Outcome,
}

/// Figures of one class, or of any other selection of samples.
#[derive(Debug, Clone)]
pub struct Summary {
    /// Time to first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Mean time between tokens of a request, in microseconds.
    pub token_gap: Histogram<u64>,
    /// Time to the end, in microseconds.
    pub total: Histogram<u64>,
    /// Requests.
    pub sent: u64,
    /// Whole answers within the time limit.
    pub in_time: u64,
    /// Honest "not run".
    pub refused: u64,
    /// Explicit errors and answers that broke off.
    pub failed: u64,
    /// Answers that look whole and are not, and requests without any end.
    pub silent_failures: u64,
}

/// Sends the requests of a plan when they are due, whatever became of earlier ones.
#[derive(Debug, Clone)]
pub struct Driver {
    executor: Executor,
    client: HttpClient,
    targets: Vec<SocketAddr>,
    model: Box<str>,
    key: Box<str>,
}

impl Driver {
    /// A driver that spreads its requests over `targets` in turn.
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

    /// Runs the plan to the end of its last request.
    pub async fn run(&self, plan: &LoadPlan) -> Vec<Sample> {
        self.run_with(plan, |call, _| call).await
    }

    /// Runs the plan, with each call changed first.
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

    /// Keeps `width` copies of one call going for `time`; gives their outcomes.
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

    /// Makes all calls at once.
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

    /// Makes one call now.
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
    /// Of one class of a plan.
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

    /// Of outcomes with one time limit.
    pub fn of<'a>(outcomes: impl IntoIterator<Item = &'a Outcome>, limit: Duration) -> Self {
        let mut summary = Self::default();
        for outcome in outcomes {
            summary.add(outcome, limit);
        }
        summary
    }

    /// Adds one outcome.
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

/// A quantile of a histogram, in milliseconds.
pub fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    const MICROS_PER_MILLI: f64 = 1e3;
    histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, HIGHEST_MICROS, DIGITS).expect("valid bounds of a histogram")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros() as u64);
}
