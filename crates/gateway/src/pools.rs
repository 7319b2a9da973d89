//! Routers and retry budgets, sharded by pool of backend servers.

use node::ClusterView;
use policy::{
    FailedAttempt, RetryBudget, RetryBudgetConfig, Router, RouterConfig, RoutingRefusal,
    RoutingRequest, predicted_response_time,
};
use proto::{DomainId, Execution, Hints, ServerId, Tokens};
use runtime::Clock;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

const SHARDS: usize = 16;
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Shard {
    router: Router,
    budgets: HashMap<Box<str>, RetryBudget>,
}

/// Routers and retry budgets. Each pool of backend servers belongs to one shard, and has a retry
/// budget of its own.
#[derive(Debug)]
pub struct Pools {
    clock: Clock,
    shards: Vec<Mutex<Shard>>,
    /// The snapshot that the routers were last configured with.
    view: Mutex<Arc<ClusterView>>,
}

impl Pools {
    /// Creates empty shards for a gateway in `domain`. `seed` seeds the routers' random choices.
    pub fn new(domain: &DomainId, seed: u64) -> Self {
        let shard = |index: usize| {
            let cfg = RouterConfig {
                domain: domain.clone(),
                retry_after: NO_SERVER_RETRY_AFTER,
                seed: seed.wrapping_add(index as u64),
            };
            Mutex::new(Shard {
                router: Router::new(cfg),
                budgets: HashMap::new(),
            })
        };
        Self {
            clock: Clock::default(),
            shards: (0..SHARDS).map(shard).collect(),
            view: Mutex::default(),
        }
    }

    /// Applies a configuration and membership to all routers.
    pub fn configure(&self, view: Arc<ClusterView>) {
        for shard in &self.shards {
            lock(shard)
                .router
                .configure(view.declared.clone(), view.members.clone());
        }
        *lock(&self.view) = view;
    }

    /// The snapshot that all routers use. It can lag behind the gateway's own for a moment.
    pub fn view(&self) -> Arc<ClusterView> {
        lock(&self.view).clone()
    }

    /// Chooses a backend server and counts the attempt as outstanding there until the result is
    /// dropped.
    pub fn choose(
        self: &Arc<Self>,
        pool: &str,
        request: &RoutingRequest<'_>,
    ) -> Result<ChosenServer, RoutingRefusal> {
        let mut shard = self.shard(pool);
        let server = shard.router.choose(self.clock.now(), request)?;
        shard.router.on_offered(&server);
        Ok(ChosenServer {
            pools: self.clone(),
            pool: pool.into(),
            server,
        })
    }

    /// Passes the hints of an agent to the router.
    pub fn observe_hints(&self, pool: &str, hints: &Hints) {
        self.shard(pool).router.observe(self.clock.now(), hints);
    }

    /// Records that the agent of a server did not respond.
    pub fn on_unreachable(&self, pool: &str, server: &str) {
        self.shard(pool)
            .router
            .on_unreachable(self.clock.now(), server);
    }

    /// Records a first attempt, which earns a fraction of a retry.
    pub fn on_first_attempt(&self, pool: &str) {
        self.with_budget(pool, |budget, _| budget.on_first_attempt());
    }

    /// Spends one retry of the pool's budget; returns whether there was one. Retries are paused
    /// after a failed attempt that may have run, and when the budget has no retry left.
    pub fn try_retry(&self, pool: &str, failed: FailedAttempt) -> bool {
        self.with_budget(pool, |budget, now| {
            let allowed = budget.try_spend(now);
            if failed.execution == Execution::MayHaveRun || !allowed {
                budget.on_overload(now);
            }
            allowed
        })
    }

    /// Records a response, which shortens the next pause of retries.
    pub fn on_response(&self, pool: &str) {
        self.with_budget(pool, |budget, _| budget.on_answer());
    }

    /// Predicted time of an attempt at a server without queueing, from the server's current hints;
    /// zero if there are none.
    pub fn service_time(
        &self,
        pool: &str,
        server: &str,
        prompt: Tokens,
        output: Tokens,
    ) -> Duration {
        let shard = self.shard(pool);
        let hints = shard.router.hints_of(server);
        hints.map_or(Duration::ZERO, |hints| {
            predicted_response_time(hints, prompt, output).saturating_sub(hints.queue_delay)
        })
    }

    fn with_budget<T>(
        &self,
        pool: &str,
        action: impl FnOnce(&mut RetryBudget, Duration) -> T,
    ) -> T {
        let now = self.clock.now();
        let mut shard = self.shard(pool);
        let budget = shard.budgets.entry(pool.into());
        action(
            budget.or_insert_with(|| RetryBudget::new(RetryBudgetConfig::default())),
            now,
        )
    }

    fn shard(&self, pool: &str) -> MutexGuard<'_, Shard> {
        lock(&self.shards[xxh3_64(pool.as_bytes()) as usize % SHARDS])
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A chosen backend server, where an attempt counts as outstanding until this is dropped.
#[derive(Debug)]
pub struct ChosenServer {
    pools: Arc<Pools>,
    pool: Box<str>,
    /// Id of the backend server.
    pub server: ServerId,
}

impl Drop for ChosenServer {
    fn drop(&mut self) {
        self.pools.shard(&self.pool).router.on_ended(&self.server);
    }
}
