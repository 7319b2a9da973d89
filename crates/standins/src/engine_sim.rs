//! A simulated model engine, driven by calls and by the time that they pass; it has no clock and
//! does no I/O.
//!
//! It uses continuous batching with chunked prefill: each step decodes one token of every running
//! request and prefills one chunk of prompt tokens, most urgent requests first.

use crate::engine_batch::{Batch, SchedulingKey, Step, Work};
use crate::engine_grants::Grants;
use crate::engine_orders::EngineOrders;
use crate::engine_spec::{EngineCounts, EngineLoad, EngineOutput, EngineSpec};
use crate::load_report::LoadReport;
use crate::prefix_cache::PrefixCache;
use std::collections::BTreeSet;
use std::time::Duration;

/// A simulated model engine in virtual time.
#[derive(Debug)]
pub struct EngineSim {
    pub(crate) spec: EngineSpec,
    pub(crate) now: Duration,
    pub(crate) batch: Batch,
    pub(crate) grants: Grants,
    pub(crate) cache: PrefixCache,
    pub(crate) orders: EngineOrders,
    pub(crate) report: LoadReport,
    /// The step in progress, with its end.
    pub(crate) step: Option<(Duration, Step)>,
    /// Busy time until the cold start ends; zero when warm.
    pub(crate) cold_time_left: Duration,
    /// End of the restart after the last crash.
    pub(crate) down_until: Duration,
    pub(crate) frozen_since: Option<Duration>,
    pub(crate) slow_factor: f64,
    pub(crate) seen_attempts: BTreeSet<Box<str>>,
    pub(crate) counts: EngineCounts,
    pub(crate) outputs: Vec<EngineOutput>,
}

impl EngineSim {
    /// Creates an engine that has just started, at time zero.
    pub fn new(spec: EngineSpec) -> Self {
        let load = EngineLoad {
            free_tokens: spec.memory_tokens,
            total_tokens: spec.memory_tokens,
            cold: spec.reports_cold.then_some(spec.starts_cold),
            models: spec.models.clone(),
            ..EngineLoad::default()
        };
        let cold_time_left = if spec.starts_cold {
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
            cold_time_left,
            down_until: Duration::ZERO,
            frozen_since: None,
            slow_factor: 1.0,
            seen_attempts: BTreeSet::new(),
            counts,
            outputs: Vec::new(),
            spec,
        }
    }

    /// Runs until `now` and appends the outputs to `out`.
    pub fn advance(&mut self, now: Duration, out: &mut Vec<EngineOutput>) {
        self.run_until(now);
        out.append(&mut self.outputs);
    }

    /// Time of the next event if no call comes before; none when idle or frozen.
    pub fn next_wakeup(&self) -> Option<Duration> {
        if self.frozen_since.is_some() {
            return None;
        }
        let step = self.step.as_ref().map(|(ends, _)| *ends);
        let startable = self.batch.next_startable_at(self.now);
        let loaded = self.orders.next_wakeup();
        [step, startable, loaded].into_iter().flatten().min()
    }

    pub(crate) fn run_until(&mut self, now: Duration) {
        if self.frozen_since.is_some() {
            return;
        }
        while let Some(at) = self.next_wakeup().filter(|at| *at <= now) {
            self.now = self.now.max(at);
            self.orders.advance(at);
            if self.step.as_ref().is_some_and(|(ends, _)| *ends <= at) {
                self.finish_step();
            }
            self.start_step();
        }
        self.now = self.now.max(now);
    }

    /// Updates the concurrency counters after an entry has been added, and crashes the engine if it
    /// is cold and the entry is one too many.
    pub(crate) fn after_enqueue(&mut self) {
        let concurrent = self.batch.len();
        self.counts.max_concurrent = self.counts.max_concurrent.max(concurrent);
        if self.is_cold() {
            self.counts.max_concurrent_cold = self.counts.max_concurrent_cold.max(concurrent);
            if concurrent > self.spec.cold_limit {
                self.counts.over_cold_limit += 1;
                self.counts.crashes += 1;
                return self.crash();
            }
        }
        self.start_step();
    }

    /// Fails everything that runs and restarts the engine, cold.
    pub(crate) fn crash(&mut self) {
        for entry in self.batch.drain() {
            self.counts.failed += 1;
            self.outputs.push(match entry.work {
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
        self.cold_time_left = self.spec.warm_up;
        self.counts.cold_starts += 1;
        self.down_until = self.now + self.spec.restart_time;
        self.record_load();
    }

    pub(crate) fn free_tokens(&self) -> u64 {
        let reserved = self.batch.reserved_tokens() + self.grants.tokens();
        self.spec.memory_tokens.saturating_sub(reserved)
    }

    /// Starts a step if none is in progress and there is work.
    pub(crate) fn start_step(&mut self) {
        if self.step.is_none() {
            self.batch.admit(self.now, self.free_tokens());
            let step = self.batch.plan_step(self.spec.prefill_chunk_tokens);
            if !step.is_empty() {
                self.step = Some((self.now + self.step_time(&step), step));
            }
        }
        self.record_load();
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
            let busy_time = self.step_time(&step);
            self.cold_time_left = self.cold_time_left.saturating_sub(busy_time);
        }
        for key in &step.decode {
            self.emit_token(*key);
        }
        for (key, tokens) in &step.prefill {
            self.prefill(ends, *key, *tokens);
        }
    }

    fn prefill(&mut self, now: Duration, key: SchedulingKey, tokens: u64) {
        let Some(entry) = self.batch.get_mut(key) else {
            return;
        };
        entry.prefill_tokens_left = entry.prefill_tokens_left.saturating_sub(tokens);
        self.counts.prefill_tokens += tokens;
        if entry.prefill_tokens_left > 0 {
            return;
        }
        match &entry.work {
            Work::Request(request) => {
                self.cache.insert(now, &request.prefixes);
                self.emit_token(key);
            }
            Work::Segment(work) => {
                let (grant, segment) = (work.grant.clone(), work.segment);
                self.grants.finish_segment(&grant, segment, work.to);
                self.batch.remove(key);
                self.outputs
                    .push(EngineOutput::SegmentDone { grant, segment });
            }
        }
    }

    fn emit_token(&mut self, key: SchedulingKey) {
        let Some(entry) = self.batch.get_mut(key) else {
            return;
        };
        let Work::Request(request) = &entry.work else {
            return;
        };
        let attempt = request.attempt.clone();
        let index = entry.generated_tokens;
        entry.generated_tokens += 1;
        let finished = entry.generated_tokens >= request.max_tokens;
        self.counts.output_tokens += 1;
        self.outputs.push(EngineOutput::Token {
            attempt: attempt.clone(),
            index,
        });
        if finished {
            self.batch.remove(key);
            self.counts.finished += 1;
            self.outputs.push(EngineOutput::Done { attempt });
        }
    }

    /// Adds the present load to the lagging report.
    pub(crate) fn record_load(&mut self) {
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
        self.report.record(self.now, state);
    }
}
