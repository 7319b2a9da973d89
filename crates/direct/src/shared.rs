//! What all tasks of a direct gateway share.

use crate::fleet::Fleet;
use crate::metrics::Metrics;
use crate::prompt_queue::PromptQueue;
use crate::store_cache::StoreCache;
use adapter::HostSettings;
use runtime::{Clock, Executor, HttpClient, ShutdownSignal};
use slog::Logger;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// State of one process, shared by its tasks.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the host.
    pub settings: HostSettings,
    /// Time since the start.
    pub clock: Clock,
    /// Runs tasks.
    pub executor: Executor,
    /// Calls to the store and orders to engines.
    pub http: HttpClient,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: Metrics,
    /// What is known of the store's content.
    pub store_cache: StoreCache,
    /// Load, health and limits of the backend servers.
    pub fleet: Fleet,
    /// Prompts that wait for engines.
    pub prompt_queue: PromptQueue,
    /// Set once the process drains.
    pub draining: ShutdownSignal,
    store_contact_ms: AtomicU64,
    failing_tables: AtomicUsize,
    ignores_store: AtomicBool,
}

/// The store counts as out of reach after this time without an answer: one poll and a pause.
const STORE_CONTACT_TIMEOUT: Duration = Duration::from_millis(1_900);

impl Shared {
    /// The state at the start.
    pub fn new(
        settings: HostSettings,
        executor: Executor,
        log: Logger,
    ) -> Result<Self, prometheus::Error> {
        Ok(Self {
            clock: Clock::default(),
            http: HttpClient::new(executor.clone()),
            metrics: Metrics::new()?,
            store_cache: StoreCache::new(log.clone()),
            fleet: Fleet::new(&settings),
            prompt_queue: PromptQueue::default(),
            draining: ShutdownSignal::default(),
            store_contact_ms: AtomicU64::new(0),
            failing_tables: AtomicUsize::new(0),
            ignores_store: AtomicBool::new(false),
            settings,
            executor,
            log,
        })
    }

    /// Notes that the store has answered.
    pub fn record_store_contact(&self, now: Duration) {
        self.store_contact_ms
            .store(now.as_millis() as u64, Ordering::Relaxed);
    }

    /// Whether the store answers this gateway.
    pub fn reaches_store(&self) -> bool {
        let heard = Duration::from_millis(self.store_contact_ms.load(Ordering::Relaxed));
        let silent = self.clock.now().saturating_sub(heard);
        silent < STORE_CONTACT_TIMEOUT && self.failing_tables.load(Ordering::Relaxed) == 0
    }

    /// Settles whether this gateway follows the store, and says whether it did.
    pub fn set_watches_store(&self, follows: bool) -> bool {
        !self.ignores_store.swap(!follows, Ordering::Relaxed)
    }

    /// Whether this gateway follows the store; otherwise it hears of changes from peers that do.
    pub fn watches_store(&self) -> bool {
        !self.ignores_store.load(Ordering::Relaxed)
    }

    /// Notes that calls for one table began to fail, or succeed again.
    pub fn record_table_failing(&self, lost: bool) {
        if lost {
            self.failing_tables.fetch_add(1, Ordering::Relaxed);
        } else {
            self.failing_tables.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Shows the declarations in force in the metrics.
    pub fn update_declarations_metric(&self) {
        if let Some(table) = self.store_cache.route_table() {
            self.metrics.set_declarations(table.version);
        }
    }
}
