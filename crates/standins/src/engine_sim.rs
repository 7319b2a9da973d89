//! A model engine as a value: virtual time and calls in, outputs out, without clock or I/O.
//!
//! It works in steps, as continuous batching does: a step decodes one token of each answer and
//! prefills a chunk of prompts, most urgent first.

use crate::engine_batch::{Batch, Rank, Step, Work};
use crate::engine_grants::Grants;
use crate::engine_orders::EngineOrders;
use crate::engine_spec::{EngineCounts, EngineLoad, EngineOutput, EngineSpec};
use crate::load_report::LoadReport;
use crate::prefix_cache::PrefixCache;
use std::collections::BTreeSet;
use std::time::Duration;

/// One model engine.
#[derive(Debug)]
pub struct EngineSim {
    pub(crate) spec: EngineSpec,
    pub(crate) now: Duration,
    pub(crate) batch: Batch,
    pub(crate) grants: Grants,
    pub(crate) cache: PrefixCache,
    pub(crate) orders: EngineOrders,
    pub(crate) report: LoadReport,
    pub(crate) step: Option<(Duration, Step)>,
    pub(crate) cold_left: Duration,
    pub(crate) down_until: Duration,
    pub(crate) frozen_since: Option<Duration>,
    pub(crate) slow_factor: f64,
    pub(crate) seen: BTreeSet<Box<str>>,
    pub(crate) counts: EngineCounts,
    pub(crate) outputs: Vec<EngineOutput>,
}

impl EngineSim {
    /// An engine that has just started.
    pub fn new(spec: EngineSpec) -> Self {
        let load = EngineLoad {
            free_tokens: spec.memory_tokens,
            total_tokens: spec.memory_tokens,
            cold: spec.reports_cold.then_some(spec.starts_cold),
            models: spec.models.clone(),
            ..EngineLoad::default()
        };
        let cold_left = if spec.starts_cold {
            spec.warm_up
        } else {
            Duration::ZERO
        };
        let counts = EngineCounts {
            cold_starts: u64::from(spec.starts_cold),
            ..EngineCounts::default()
        };
        Self {
            now: Duration::ZERO,
            batch: Batch::default(),
            grants: Grants::default(),
            cache: PrefixCache::new(
                spec.cache_tokens,
                spec.event_lag,
                spec.dropped_event_interval,
            ),
            orders: EngineOrders::new(spec.models.clone()),
            report: LoadReport::new(spec.report_lag, load),
            step: None,
            cold_left,
            down_until: Duration::ZERO,
            frozen_since: None,
            slow_factor: 1.0,
            seen: BTreeSet::new(),
            counts,
            outputs: Vec::new(),
            spec,
        }
    }

    /// Lets time pass until `now` and appends what came out.
    pub fn advance(&mut self, now: Duration, out: &mut Vec<EngineOutput>) {
        self.run_to(now);
        out.append(&mut self.outputs);
    }

    /// When something happens next if no call comes before.
    pub fn next_wakeup(&self) -> Option<Duration> {
        if self.frozen_since.is_some() {
            return None;
        }
        let step = self.step.as_ref().map(|(ends, _)| *ends);
        let ready = self.batch.next_ready(self.now);
        let loaded = self.orders.next_wakeup();
        [step, ready, loaded].into_iter().flatten().min()
    }

    pub(crate) fn run_to(&mut self, now: Duration) {
        if self.frozen_since.is_some() {
            return;
        }
        while let Some(at) = self.next_wakeup().filter(|at| *at <= now) {
            self.now = self.now.max(at);
            self.orders.advance(at);
            if self.step.as_ref().is_some_and(|(ends, _)| *ends <= at) {
                self.finish_step();
            }
            self.plan();
        }
        self.now = self.now.max(now);
    }

    pub(crate) fn on_more_work(&mut self) {
        let at_once = self.batch.len();
        self.counts.max_concurrent = self.counts.max_concurrent.max(at_once);
        if self.is_cold() {
            self.counts.max_concurrent_cold = self.counts.max_concurrent_cold.max(at_once);
            if at_once > self.spec.cold_limit {
                self.counts.over_cold_limit += 1;
                self.counts.crashes += 1;
                return self.crash();
            }
        }
        self.plan();
    }

    pub(crate) fn crash(&mut self) {
        for run in self.batch.drain() {
            self.counts.failed += 1;
            self.outputs.push(match run.work {
                Work::Request(request) => EngineOutput::Failed {
                    attempt: request.attempt,
                },
                Work::Segment(work) => EngineOutput::SegmentFailed {
                    grant: work.grant,
                    segment: work.segment,
                },
            });
        }
        self.grants.clear();
        self.cache.clear(self.now);
        self.orders.restart(self.spec.models.clone());
        self.step = None;
        self.cold_left = self.spec.warm_up;
        self.counts.cold_starts += 1;
        self.down_until = self.now + self.spec.restart_time;
        self.note();
    }

    pub(crate) fn free_tokens(&self) -> u64 {
        let held = self.batch.held() + self.grants.tokens();
        self.spec.memory_tokens.saturating_sub(held)
    }

    /// Starts a step where none runs and there is work.
    pub(crate) fn plan(&mut self) {
        if self.step.is_none() {
            self.batch.admit(self.now, self.free_tokens());
            let step = self.batch.plan(self.spec.prefill_chunk_tokens);
            if !step.is_empty() {
                self.step = Some((self.now + self.step_time(&step), step));
            }
        }
        self.note();
    }

    fn step_time(&self, step: &Step) -> Duration {
        let mut time = step.prefill_tokens() as f64 / self.spec.prefill_rate;
        if !step.decode.is_empty() {
            time += self.spec.decode_interval(step.decode.len()).as_secs_f64();
        }
        if self.is_cold() {
            time *= self.spec.cold_slowdown;
        }
        Duration::from_secs_f64(time * self.slow_factor)
    }

    fn finish_step(&mut self) {
        let Some((ends, step)) = self.step.take() else {
            return;
        };
        if self.is_cold() {
            let spent = self.step_time(&step);
            self.cold_left = self.cold_left.saturating_sub(spent);
        }
        for rank in &step.decode {
            self.produce(*rank);
        }
        for (rank, tokens) in &step.prefill {
            self.prefill(ends, *rank, *tokens);
        }
    }

    fn prefill(&mut self, now: Duration, rank: Rank, tokens: u64) {
        let Some(run) = self.batch.get_mut(rank) else {
            return;
        };
        run.prefill_left = run.prefill_left.saturating_sub(tokens);
        self.counts.prefill_tokens += tokens;
        if run.prefill_left > 0 {
            return;
        }
        match &run.work {
            Work::Request(request) => {
                self.cache.insert(now, &request.prefixes);
                self.produce(rank);
            }
            Work::Segment(work) => {
                let (grant, segment) = (work.grant.clone(), work.segment);
                self.grants.finish_segment(&grant, segment, work.to);
                self.batch.remove(rank);
                self.outputs
                    .push(EngineOutput::SegmentDone { grant, segment });
            }
        }
    }

    fn produce(&mut self, rank: Rank) {
        let Some(run) = self.batch.get_mut(rank) else {
            return;
        };
        let Work::Request(request) = &run.work else {
            return;
        };
        let attempt = request.attempt.clone();
        let index = run.produced;
        run.produced += 1;
        let whole = run.produced >= request.max_tokens;
        self.counts.output_tokens += 1;
        self.outputs.push(EngineOutput::Token {
            attempt: attempt.clone(),
            index,
        });
        if whole {
            self.batch.remove(rank);
            self.counts.finished += 1;
            self.outputs.push(EngineOutput::Done { attempt });
        }
    }

    pub(crate) fn note(&mut self) {
        let running = self.batch.running();
        let state = EngineLoad {
            running,
            waiting: self.batch.len() - running,
            free_tokens: self.free_tokens(),
            total_tokens: self.spec.memory_tokens,
            cold: self.spec.reports_cold.then_some(self.is_cold()),
            models: self.orders.state().models.clone(),
            role: self.orders.state().role,
            age_ms: 0,
        };
        self.report.note(self.now, state);
    }
}
