//! Calls of a model engine.

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
    /// How it behaves.
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// Takes a request.
    pub fn submit(&mut self, now: Duration, request: EngineRequest) -> Result<(), EngineRefusal> {
        self.run_to(now);
        let admitted = self.admit(&request);
        if let Err(refusal) = admitted {
            self.counts.refused += 1;
            return Err(refusal);
        }
        self.counts.requests += 1;
        if !self.seen.insert(request.attempt.clone()) {
            self.counts.repeated += 1;
            self.replace(&request.attempt);
        }
        let prefill = self.prefill_of(&request);
        self.batch.add(now, now, Work::Request(request), prefill);
        self.on_more_work();
        Ok(())
    }

    /// Cancels an attempt and frees its memory. Idempotent.
    pub fn cancel(&mut self, now: Duration, attempt: &str) {
        self.run_to(now);
        if let Some(rank) = self.batch.rank_of(attempt) {
            self.batch.remove(rank);
            self.counts.cancelled += 1;
        }
        self.plan();
    }

    /// Notes that the connection of an attempt has closed.
    pub fn connection_closed(&mut self, now: Duration, attempt: &str) {
        if self.spec.cancels_on_close {
            return self.cancel(now, attempt);
        }
        self.run_to(now);
        if let Some(run) = self.batch.find(attempt) {
            run.owned = false;
        }
    }

    /// Suspends an attempt, which keeps its memory. Idempotent.
    pub fn suspend(&mut self, now: Duration, attempt: &str) -> Result<(), EngineRefusal> {
        self.set_suspended(now, attempt, true)
    }

    /// Resumes an attempt. Idempotent.
    pub fn resume(&mut self, now: Duration, attempt: &str) -> Result<(), EngineRefusal> {
        self.set_suspended(now, attempt, false)
    }

    /// Holds memory for a grant. Idempotent.
    pub fn reserve(
        &mut self,
        now: Duration,
        grant: &str,
        tokens: u64,
    ) -> Result<(), EngineRefusal> {
        self.run_to(now);
        if self.down_until > now {
            return Err(EngineRefusal::Down);
        }
        let free = self.free_tokens();
        let held = self.grants.reserve(now, grant, tokens, free);
        self.note();
        held.then_some(()).ok_or(EngineRefusal::NoMemory)
    }

    /// Frees a grant. Idempotent.
    pub fn release(&mut self, now: Duration, grant: &str) {
        self.run_to(now);
        self.grants.release(grant);
        self.plan();
    }

    /// Prefills a segment in the memory of a grant.
    pub fn prefill_segment(
        &mut self,
        now: Duration,
        segment: EngineSegment,
    ) -> Result<(), EngineRefusal> {
        self.run_to(now);
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
        let ready_at = now + self.transfer_time(segment.import_tokens);
        let work = Work::Segment(segment);
        self.batch.add(now, ready_at, work, tokens.max(1));
        self.on_more_work();
        Ok(())
    }

    /// Tokens of a grant's KV cache, and the time that its export takes.
    pub fn export_grant(&self, grant: &str) -> Result<(u64, Duration), EngineRefusal> {
        let grant = self.grants.get(grant).ok_or(EngineRefusal::UnknownGrant)?;
        Ok((grant.tokens, self.transfer_time(grant.tokens)))
    }

    /// Takes an order; gives the model whose weights the host must load.
    pub fn apply_order(
        &mut self,
        now: Duration,
        fence: u64,
        by: &str,
        order: &EngineOrder,
    ) -> Result<Option<Box<str>>, EngineRefusal> {
        self.run_to(now);
        let loading = self.orders.take(now, &self.spec, fence, by, order);
        self.note();
        loading
    }

    /// Ends a load that the host carried out.
    pub fn finish_load(&mut self, now: Duration, model: &str) {
        self.run_to(now);
        self.orders.finish_load(model);
        self.note();
    }

    /// The state that orders have led to.
    pub fn order_state(&self) -> &OrderState {
        self.orders.state()
    }

    /// Falls back into cold start; what runs goes on, slower.
    pub fn return_to_cold_start(&mut self, now: Duration) {
        self.run_to(now);
        self.cold_left = self.spec.warm_up;
        self.counts.cold_starts += 1;
        self.note();
    }

    /// Restarts: breaks off all requests and grants, and comes back in cold start.
    pub fn restart(&mut self, now: Duration) {
        self.run_to(now);
        self.crash();
    }

    /// Runs so many times slower from the next step on.
    pub fn set_slow_factor(&mut self, now: Duration, factor: f64) {
        self.run_to(now);
        self.slow_factor = factor.max(0.01);
    }

    /// Stops or goes on, as a paused process does.
    pub fn set_frozen(&mut self, now: Duration, frozen: bool) {
        match (frozen, self.frozen_since) {
            (true, None) => {
                self.run_to(now);
                self.frozen_since = Some(now);
            }
            (false, Some(since)) => {
                self.frozen_since = None;
                let gap = now.saturating_sub(since);
                if let Some((ends, _)) = &mut self.step {
                    *ends += gap;
                }
                self.batch.shift(gap);
                self.run_to(now);
            }
            _ => {}
        }
    }

    /// Whether it is in cold start.
    pub fn is_cold(&self) -> bool {
        !self.cold_left.is_zero()
    }

    /// Whether it restarts.
    pub fn is_down(&self, now: Duration) -> bool {
        self.down_until > now
    }

    /// Requests that it bears at once now.
    pub fn concurrency_limit(&self) -> usize {
        if self.is_cold() {
            self.spec.cold_limit
        } else {
            self.spec.warm_limit
        }
    }

    /// The load report, which lags.
    pub fn load_report(&self, now: Duration) -> EngineLoad {
        self.report.read(now)
    }

    /// Cache events after number `after`, late and with gaps.
    pub fn cache_events(&self, now: Duration, after: u64) -> CacheEvents {
        self.cache.events(now, after)
    }

    /// What holds memory, true at once.
    pub fn reservations(&self, now: Duration) -> Vec<EngineReservation> {
        let grants = self.grants.reservations(now);
        self.batch.reservations(now).chain(grants).collect()
    }

    /// Tokens in the prefix cache.
    pub fn cache_tokens(&self) -> u64 {
        self.cache.tokens()
    }

    /// True counts.
    pub fn counts(&self) -> EngineCounts {
        EngineCounts {
            stale_orders: self.orders.stale(),
            request_tokens: self.batch.held(),
            grant_tokens: self.grants.tokens(),
            unowned_tokens: self.batch.unowned(),
            oldest_grant_ms: self.grants.oldest_age(self.now).as_millis() as u64,
            ..self.counts.clone()
        }
    }

    fn admit(&mut self, request: &EngineRequest) -> Result<(), EngineRefusal> {
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

    fn prefill_of(&mut self, request: &EngineRequest) -> u64 {
        let granted = request.grant.as_deref();
        let done = granted.and_then(|grant| self.grants.get(grant));
        let done = done.map_or(0, |grant| grant.prefilled_to);
        let cached = self
            .cache
            .find(&request.prefixes)
            .min(request.prompt_tokens);
        self.counts.cached_tokens += cached;
        let left = request.prompt_tokens.saturating_sub(done.max(cached));
        left.max(1)
    }

    /// Drops a run whose attempt comes again.
    fn replace(&mut self, attempt: &str) {
        if let Some(rank) = self.batch.rank_of(attempt) {
            self.batch.remove(rank);
            self.counts.cancelled += 1;
        }
    }

    fn set_suspended(
        &mut self,
        now: Duration,
        attempt: &str,
        suspended: bool,
    ) -> Result<(), EngineRefusal> {
        self.run_to(now);
        if !self.spec.can_suspend {
            return Err(EngineRefusal::CannotSuspend);
        }
        let run = self.batch.find(attempt);
        run.ok_or(EngineRefusal::CannotSuspend)?.suspended = suspended;
        self.plan();
        Ok(())
    }

    fn transfer_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.spec.transfer_rate.max(1.0))
    }
}
