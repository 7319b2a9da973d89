//! Operations on a simulated engine: requests, grants, orders and faults.

use crate::engine_batch::Work;
use crate::engine_orders::OrderState;
use crate::engine_sim::EngineSim;
use crate::engine_spec::{
    EngineCounts, EngineLoad, EngineOrder, EngineOutput, EngineRefusal, EngineRequest,
    EngineReservation, EngineSegment, EngineSpec,
};
use crate::prefix_cache::CacheEvents;
use std::time::Duration;

impl EngineSim {
    /// The specification that it was created with.
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// Enqueues a request. A request with the attempt id of an unfinished one replaces it.
    ///
    /// In cold start, a request above the cold limit is accepted and crashes the engine.
    pub fn submit(&mut self, now: Duration, request: EngineRequest) -> Result<(), EngineRefusal> {
        self.run_until(now);
        let admission = self.check_admission(&request);
        if let Err(refusal) = admission {
            self.counts.refused += 1;
            return Err(refusal);
        }
        self.counts.requests += 1;
        if !self.seen_attempts.insert(request.attempt.clone()) {
            self.counts.repeated += 1;
            self.drop_previous(&request.attempt);
        }
        let prefill = self.tokens_to_prefill(&request);
        self.batch.add(now, now, Work::Request(request), prefill);
        self.after_enqueue();
        Ok(())
    }

    /// Cancels an attempt and frees its memory. Idempotent.
    pub fn cancel(&mut self, now: Duration, attempt: &str) {
        self.run_until(now);
        if let Some(key) = self.batch.key_of(attempt) {
            self.batch.remove(key);
            self.counts.cancelled += 1;
        }
        self.start_step();
    }

    /// Handles the closed connection of an attempt: cancels the attempt if the engine does so, or
    /// lets it run on without a caller.
    pub fn connection_closed(&mut self, now: Duration, attempt: &str) {
        if self.spec.cancels_on_close {
            return self.cancel(now, attempt);
        }
        self.run_until(now);
        if let Some(entry) = self.batch.find(attempt) {
            entry.connected = false;
        }
    }

    /// Suspends an attempt, which keeps its KV cache. Idempotent.
    pub fn suspend(&mut self, now: Duration, attempt: &str) -> Result<(), EngineRefusal> {
        self.set_suspended(now, attempt, true)
    }

    /// Resumes a suspended attempt. Idempotent.
    pub fn resume(&mut self, now: Duration, attempt: &str) -> Result<(), EngineRefusal> {
        self.set_suspended(now, attempt, false)
    }

    /// Reserves KV cache for a grant. Idempotent.
    pub fn reserve(
        &mut self,
        now: Duration,
        grant: &str,
        tokens: u64,
    ) -> Result<(), EngineRefusal> {
        self.run_until(now);
        if self.down_until > now {
            return Err(EngineRefusal::Down);
        }
        let free = self.free_tokens();
        let reserved = self.grants.reserve(now, grant, tokens, free);
        self.record_load();
        reserved.then_some(()).ok_or(EngineRefusal::NoMemory)
    }

    /// Releases the KV cache of a grant. Idempotent.
    pub fn release(&mut self, now: Duration, grant: &str) {
        self.run_until(now);
        self.grants.release(grant);
        self.start_step();
    }

    /// Prefills a segment into the KV cache of a grant. Idempotent.
    pub fn prefill_segment(
        &mut self,
        now: Duration,
        segment: EngineSegment,
    ) -> Result<(), EngineRefusal> {
        self.run_until(now);
        if self.down_until > now {
            return Err(EngineRefusal::Down);
        }
        let tokens = segment.to.saturating_sub(segment.from);
        let grant = self.grants.get(&segment.grant);
        let grant = grant.ok_or(EngineRefusal::UnknownGrant)?;
        if tokens > grant.tokens {
            return Err(EngineRefusal::NoMemory);
        }
        if grant.segments.contains(&segment.segment) {
            self.outputs.push(EngineOutput::SegmentDone {
                grant: segment.grant,
                segment: segment.segment,
            });
            return Ok(());
        }
        if self.batch.has_segment(&segment.grant, segment.segment) {
            return Ok(());
        }
        let startable_at = now + self.transfer_time(segment.import_tokens);
        let work = Work::Segment(segment);
        self.batch.add(now, startable_at, work, tokens.max(1));
        self.after_enqueue();
        Ok(())
    }

    /// Size of a grant's KV cache in tokens, and the time that its export takes.
    pub fn export_grant(&self, grant: &str) -> Result<(u64, Duration), EngineRefusal> {
        let grant = self.grants.get(grant).ok_or(EngineRefusal::UnknownGrant)?;
        Ok((grant.tokens, self.transfer_time(grant.tokens)))
    }

    /// Applies an order of `by` with fencing number `fence`; returns the model whose weights are to
    /// be loaded, if the order starts a load.
    pub fn apply_order(
        &mut self,
        now: Duration,
        fence: u64,
        by: &str,
        order: &EngineOrder,
    ) -> Result<Option<Box<str>>, EngineRefusal> {
        self.run_until(now);
        let loading = self.orders.apply(now, &self.spec, fence, by, order);
        self.record_load();
        loading
    }

    /// Completes a load whose duration the simulation does not know: the weights have been read.
    pub fn finish_load(&mut self, now: Duration, model: &str) {
        self.run_until(now);
        self.orders.finish_load(model);
        self.record_load();
    }

    /// The loaded models, the role and the fencing number that result from the orders so far.
    pub fn order_state(&self) -> &OrderState {
        self.orders.state()
    }

    /// Returns to cold start. Running requests continue at the cold speed.
    pub fn return_to_cold_start(&mut self, now: Duration) {
        self.run_until(now);
        self.cold_time_left = self.spec.warm_up;
        self.counts.cold_starts += 1;
        self.record_load();
    }

    /// Restarts: fails all requests, drops all grants and starts cold.
    pub fn restart(&mut self, now: Duration) {
        self.run_until(now);
        self.crash();
    }

    /// Multiplies the duration of all later steps by `factor`.
    pub fn set_slow_factor(&mut self, now: Duration, factor: f64) {
        self.run_until(now);
        self.slow_factor = factor.max(0.01);
    }

    /// Freezes or thaws the engine, like a process that is stopped and continued.
    pub fn set_frozen(&mut self, now: Duration, frozen: bool) {
        match (frozen, self.frozen_since) {
            (true, None) => {
                self.run_until(now);
                self.frozen_since = Some(now);
            }
            (false, Some(since)) => {
                self.frozen_since = None;
                let frozen_time = now.saturating_sub(since);
                if let Some((ends, _)) = &mut self.step {
                    *ends += frozen_time;
                }
                self.batch.delay_waiting(frozen_time);
                self.run_until(now);
            }
            _ => {}
        }
    }

    /// Whether it is in cold start.
    pub fn is_cold(&self) -> bool {
        !self.cold_time_left.is_zero()
    }

    /// Whether it is restarting after a crash and refuses requests.
    pub fn is_down(&self, now: Duration) -> bool {
        self.down_until > now
    }

    /// Requests that it can run at once in its present state, cold or warm.
    pub fn concurrency_limit(&self) -> usize {
        if self.is_cold() {
            self.spec.cold_limit
        } else {
            self.spec.warm_limit
        }
    }

    /// The load report, which shows the state of [`EngineSpec::report_lag`] ago.
    pub fn load_report(&self, now: Duration) -> EngineLoad {
        self.report.read(now)
    }

    /// Published cache events with a sequence number above `after`. They appear after
    /// [`EngineSpec::event_lag`], and some never do.
    pub fn cache_events(&self, now: Duration, after: u64) -> CacheEvents {
        self.cache.events(now, after)
    }

    /// All KV cache reservations of requests and grants, without a lag.
    pub fn reservations(&self, now: Duration) -> Vec<EngineReservation> {
        let grants = self.grants.reservations(now);
        self.batch.reservations(now).chain(grants).collect()
    }

    /// Size of the prefix cache content, in tokens.
    pub fn cache_tokens(&self) -> u64 {
        self.cache.tokens()
    }

    /// Counters and present reservations, without a lag.
    pub fn counts(&self) -> EngineCounts {
        EngineCounts {
            stale_orders: self.orders.stale_count(),
            request_tokens: self.batch.reserved_tokens(),
            grant_tokens: self.grants.tokens(),
            disconnected_tokens: self.batch.disconnected_tokens(),
            oldest_grant_ms: self.grants.oldest_age(self.now).as_millis() as u64,
            ..self.counts.clone()
        }
    }

    fn check_admission(&mut self, request: &EngineRequest) -> Result<(), EngineRefusal> {
        if self.down_until > self.now {
            return Err(EngineRefusal::Down);
        }
        let model = request.model.as_deref();
        if self.spec.checks_model && !model.is_some_and(|model| self.orders.has_model(model)) {
            return Err(EngineRefusal::ModelNotLoaded);
        }
        match &request.grant {
            Some(grant) if self.grants.get(grant).is_none() => {
                return Err(EngineRefusal::UnknownGrant);
            }
            None if request.prompt_tokens + request.max_tokens > self.spec.memory_tokens => {
                return Err(EngineRefusal::TooLong);
            }
            _ => {}
        }
        if !self.is_cold() && self.batch.len() >= self.spec.warm_limit {
            return Err(EngineRefusal::Full);
        }
        Ok(())
    }

    fn tokens_to_prefill(&mut self, request: &EngineRequest) -> u64 {
        let name = request.grant.as_deref();
        let grant = name.and_then(|grant| self.grants.get(grant));
        let prefilled = grant.map_or(0, |grant| grant.prefilled_tokens);
        let cached = self
            .cache
            .find(&request.prefixes)
            .min(request.prompt_tokens);
        self.counts.cached_tokens += cached;
        let left = request.prompt_tokens.saturating_sub(prefilled.max(cached));
        left.max(1)
    }

    /// Cancels the unfinished request of an attempt that is submitted again.
    fn drop_previous(&mut self, attempt: &str) {
        if let Some(key) = self.batch.key_of(attempt) {
            self.batch.remove(key);
            self.counts.cancelled += 1;
        }
    }

    fn set_suspended(
        &mut self,
        now: Duration,
        attempt: &str,
        suspended: bool,
    ) -> Result<(), EngineRefusal> {
        self.run_until(now);
        if !self.spec.can_suspend {
            return Err(EngineRefusal::CannotSuspend);
        }
        let entry = self.batch.find(attempt);
        entry.ok_or(EngineRefusal::CannotSuspend)?.suspended = suspended;
        self.start_step();
        Ok(())
    }

    fn transfer_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.spec.transfer_rate.max(1.0))
    }
}
