//! State that all tasks of a direct gateway share.

use crate::answer_memory::AnswerMemory;
use crate::crash_guard::SharedCrashGuard;
use crate::fleet::Fleet;
use crate::metrics::Metrics;
use crate::open_calls::OpenCalls;
use crate::prompt_queue::PromptQueue;
use crate::send_slots::SendSlots;
use crate::server_probe::CheckWaiter;
use crate::store_cache::StoreCache;
use crate::stream_buffers::StreamBuffers;
use crate::waiting_news::SharedWaiting;
use adapter::{HostSettings, Store, StoreTable};
use async_channel::{Receiver, Sender};
use policy::{
    CallTimes, ConfirmedDeclarations, Drain, RestoredStore, RunningChecks, StartHold,
    StoreFallback, StoreReads, answer_bytes, buffer_bytes, is_store_reached,
};
use proto::revision;
use runtime::{ByteBudget, Clock, Draining, Executor, HttpClient};
use slog::{Logger, info, warn};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

/// Callers which read slowly may use this part of the memory for buffered bodies, so that they leave room
/// for others' requests.
const STREAM_BUFFER_FRACTION: u64 = 2;

/// State of one process, shared by its tasks.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the host, as read at the start.
    pub settings: HostSettings,
    /// Monotonic clock; all times are counted from the start of the process.
    pub clock: Clock,
    /// Executor for background tasks.
    pub executor: Executor,
    /// The platform's store.
    pub store: Store,
    /// Memory for the bodies of requests and responses that are buffered.
    pub body_budget: ByteBudget,
    /// Bodies of responses that are being read, which use a part of that memory.
    pub answer_memory: AnswerMemory,
    /// Buffers of streams whose callers read slowly, which use a part of that memory.
    pub stream_buffers: StreamBuffers,
    /// Limit on the size of declarations.
    pub max_declarations_bytes: usize,
    /// Logger of the process.
    pub log: Logger,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Cached content of the store.
    pub store_cache: StoreCache,
    /// Load, health and rate limits of the backend servers.
    pub fleet: Fleet,
    /// Queue of prompts that wait for engines.
    pub prompt_queue: PromptQueue,
    /// Prompts that wait here and at peers.
    pub waiting: SharedWaiting,
    /// Prompts at engines, and those that crash them.
    pub crash_guard: SharedCrashGuard,
    /// Large transfers of content to peers.
    pub send_slots: SendSlots,
    /// Calls that have not ended.
    pub open_calls: OpenCalls,
    /// The drain of the process.
    pub draining: Draining<Drain>,
    call_times: Mutex<CallTimes>,
    server_checks: Mutex<RunningChecks<CheckWaiter>>,
    /// When the store last answered for the operators' and the servers' table; 0 for never.
    operators_answered_ms: AtomicU64,
    servers_answered_ms: AtomicU64,
    failing_tables: AtomicUsize,
    relies_on_peers: AtomicBool,
    store_reads: Mutex<StoreReads>,
    confirmed: Mutex<ConfirmedDeclarations>,
    /// Whether the last check found the declarations confirmed.
    is_confirmed: AtomicBool,
    /// When the first declarations came into force.
    first_in_force: OnceLock<Duration>,
    /// Latest era of the store that was named; `None` before the first one.
    store_era: Mutex<Option<u64>>,
    restored: Mutex<RestoredStore>,
    start_hold: Mutex<StartHold>,
    /// Has a message once the store has come back from a copy.
    restored_signal: (Sender<()>, Receiver<()>),
    /// Whether reads of the store are known to be behind.
    reads_behind: AtomicBool,
    store_fallback: Mutex<StoreFallback>,
    /// Whether this gateway reads the store although it relies on peers.
    falls_back: AtomicBool,
}

impl Shared {
    /// Creates the state of a process that has just started; declarations of more than
    /// `max_declarations_bytes` are refused. Fails where the metrics cannot be
    /// registered.
    pub fn new(
        settings: HostSettings,
        max_declarations_bytes: usize,
        executor: Executor,
        log: Logger,
    ) -> Result<Self, prometheus::Error> {
        let buffers = buffer_bytes(settings.memory_bytes);
        let body_budget = ByteBudget::new(buffers);
        let stream_buffers = body_budget.part(buffers / STREAM_BUFFER_FRACTION);
        let store = Store::new(HttpClient::new(executor.clone()), settings.store);
        Ok(Self {
            clock: Clock::default(),
            store: store.with_max_value_bytes(max_declarations_bytes),
            max_declarations_bytes,
            stream_buffers: StreamBuffers::new(stream_buffers),
            answer_memory: AnswerMemory::new(body_budget.part(answer_bytes(buffers))),
            body_budget,
            metrics: Metrics::new()?,
            store_cache: StoreCache::new(log.clone(), settings.server_heartbeat),
            fleet: Fleet::new(&settings),
            prompt_queue: PromptQueue::default(),
            waiting: SharedWaiting::default(),
            crash_guard: SharedCrashGuard::default(),
            send_slots: SendSlots::default(),
            open_calls: OpenCalls::default(),
            draining: Draining::default(),
            call_times: Mutex::default(),
            server_checks: Mutex::default(),
            operators_answered_ms: AtomicU64::new(0),
            servers_answered_ms: AtomicU64::new(0),
            failing_tables: AtomicUsize::new(0),
            relies_on_peers: AtomicBool::new(false),
            store_reads: Mutex::default(),
            confirmed: Mutex::new(
                ConfirmedDeclarations::new(rand::random(), settings.bounds.declarations_apply)
                    .with_drain_bound(settings.bounds.drain)
                    .with_start(Clock::boot_time()),
            ),
            is_confirmed: AtomicBool::new(true),
            first_in_force: OnceLock::new(),
            store_era: Mutex::default(),
            restored: Mutex::default(),
            start_hold: Mutex::default(),
            restored_signal: async_channel::bounded(1),
            reads_behind: AtomicBool::new(false),
            store_fallback: Mutex::new(StoreFallback::new(&settings.name)),
            falls_back: AtomicBool::new(false),
            settings,
            executor,
            log,
        })
    }

    /// Records that the store responded to a call for a table.
    pub fn record_store_contact(&self, table: StoreTable, now: Duration) {
        let answered_ms = match table {
            StoreTable::Operators => &self.operators_answered_ms,
            StoreTable::Servers => &self.servers_answered_ms,
            StoreTable::Gateways | StoreTable::Checks => return,
        };
        answered_ms.store(now.as_millis().max(1) as u64, Ordering::Relaxed);
    }

    /// Whether the store responded lately for each table that peers get from here, and no table's calls
    /// fail.
    pub fn reaches_store(&self) -> bool {
        let answered = [&self.operators_answered_ms, &self.servers_answered_ms];
        let answered = answered.map(|at| match at.load(Ordering::Relaxed) {
            0 => None,
            ms => Some(Duration::from_millis(ms)),
        });
        is_store_reached(answered, self.clock.now()) && !self.is_store_failing()
    }

    /// Sets whether this gateway watches the store, and returns whether it did before.
    pub fn set_watches_store(&self, watches: bool) -> bool {
        !self.relies_on_peers.swap(!watches, Ordering::Relaxed)
    }

    /// Whether this gateway watches the store, for others or because peers do not bring it what they have.
    /// Otherwise it gets changes from peers that do.
    pub fn watches_store(&self) -> bool {
        self.is_watcher() || self.falls_back()
    }

    /// Whether this gateway watches the store for others.
    pub fn is_watcher(&self) -> bool {
        !self.relies_on_peers.load(Ordering::Relaxed)
    }

    /// Whether peers do not bring this gateway what they have.
    fn falls_back(&self) -> bool {
        let (own, now) = (self.store_cache.versions(), self.clock.now());
        let mut fallback = self.lock_store_fallback();
        let falls_back = fallback.reads_store(&own, now);
        if self.falls_back.swap(falls_back, Ordering::Relaxed) != falls_back {
            if falls_back {
                let behind = fallback.behind(&own, now);
                let newest = fallback.newest_heard().unwrap_or_default();
                warn!(self.log, "store: behind peers, reading it itself";
                    "behind_ms" => behind.as_millis() as u64,
                    "operators" => own.operators, "servers" => own.servers,
                    "peer_operators" => newest.operators, "peer_servers" => newest.servers);
            } else {
                info!(self.log, "store: caught up, left to others again";
                    "operators" => own.operators, "servers" => own.servers);
            }
        }
        falls_back
    }

    /// For how long peers have had content that this gateway does not have.
    pub fn behind_peers(&self) -> Duration {
        let (own, now) = (self.store_cache.versions(), self.clock.now());
        self.lock_store_fallback().behind(&own, now)
    }

    /// Whether this gateway has been behind its peers for seconds and gets the content from nowhere.
    pub fn is_stuck_behind_peers(&self) -> bool {
        let (own, now) = (self.store_cache.versions(), self.clock.now());
        self.lock_store_fallback().is_stuck(&own, now)
    }

    /// Whether the store must answer at once because this gateway is behind its peers.
    pub fn is_catching_up(&self) -> bool {
        self.relies_on_peers.load(Ordering::Relaxed) && self.lock_store_fallback().is_reading()
    }

    /// How long calls of plain services take.
    pub fn lock_call_times(&self) -> MutexGuard<'_, CallTimes> {
        let times = self.call_times.lock();
        times.unwrap_or_else(PoisonError::into_inner)
    }

    /// Checks of servers that failed, and the calls that wait for them.
    pub fn lock_server_checks(&self) -> MutexGuard<'_, RunningChecks<CheckWaiter>> {
        let checks = self.server_checks.lock();
        checks.unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides how rows of the store are checked.
    pub fn lock_store_reads(&self) -> MutexGuard<'_, StoreReads> {
        let reads = self.store_reads.lock();
        reads.unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides for how long declarations may be the reason to turn requests away.
    pub fn lock_confirmed(&self) -> MutexGuard<'_, ConfirmedDeclarations> {
        let confirmed = self.confirmed.lock();
        confirmed.unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets whether the declarations are confirmed, and returns whether that has changed.
    pub fn set_confirmed(&self, is_confirmed: bool) -> bool {
        self.is_confirmed.swap(is_confirmed, Ordering::Relaxed) != is_confirmed
    }

    /// Decides when this gateway reads the store although others watch it.
    pub fn lock_store_fallback(&self) -> MutexGuard<'_, StoreFallback> {
        let fallback = self.store_fallback.lock();
        fallback.unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the calls for one table began to fail (`true`) or succeed again (`false`).
    pub fn record_table_failing(&self, failing: bool) {
        if failing {
            self.failing_tables.fetch_add(1, Ordering::Relaxed);
        } else {
            self.failing_tables.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Number of tables of the store whose calls fail at present.
    pub fn failing_tables(&self) -> usize {
        self.failing_tables.load(Ordering::Relaxed)
    }

    /// Whether the calls for some table of the store fail at present.
    pub fn is_store_failing(&self) -> bool {
        self.failing_tables() > 0
    }

    /// Records an era of the store that a response or a peer has named. After a later one than before, the store
    /// may lack what it had acknowledged.
    pub fn see_era(&self, era: u64) {
        let mut store_era = self
            .store_era
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let before = *store_era;
        if before.is_some_and(|before| era <= before) {
            return;
        }
        *store_era = Some(era);
        drop(store_era);
        let is_restored = before.is_some();
        self.lock_restored()
            .on_revision(revision(era, 1), is_restored, self.clock.now());
        if is_restored {
            self.on_era();
            // A full channel already holds a message.
            let _ = self.restored_signal.0.try_send(());
            self.metrics.store_restored();
            warn!(self.log, "store: has come back from a copy"; "era" => era, "before" => before);
        }
    }

    /// Records the era that responses of the store have stated last.
    pub fn see_store_era(&self, store: &Store) {
        if let Some(era) = store.stated_era() {
            self.lock_start_hold().on_era(self.clock.now());
            self.see_era(era);
        }
    }

    /// Sets whether reads of the store are known to be behind.
    pub fn set_reads_behind(&self, is_behind: bool) {
        self.reads_behind.store(is_behind, Ordering::Relaxed);
    }

    /// Whether reads of the store are known to be behind.
    pub fn are_reads_behind(&self) -> bool {
        self.reads_behind.load(Ordering::Relaxed)
    }

    /// Whether the store may lack rows that it had acknowledged before it came back from a copy.
    pub fn lacks_rows(&self) -> bool {
        self.lock_restored().lacks_rows(self.clock.now())
    }

    /// Gets a message each time that the store has come back from a copy.
    pub fn restored(&self) -> Receiver<()> {
        self.restored_signal.1.clone()
    }

    /// Whether this process has just started, and knows no more than the store has told it.
    pub fn is_starting(&self) -> bool {
        self.lock_start_hold().is_starting(self.clock.now())
    }

    /// Decides when this process may take what the store says for what holds.
    pub fn lock_start_hold(&self) -> MutexGuard<'_, StartHold> {
        let start_hold = self.start_hold.lock();
        start_hold.unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_restored(&self) -> MutexGuard<'_, RestoredStore> {
        let restored = self.restored.lock();
        restored.unwrap_or_else(PoisonError::into_inner)
    }

    /// When the first declarations came into force; `None` before.
    pub fn first_in_force(&self) -> Option<Duration> {
        self.first_in_force.get().copied()
    }

    /// Sets the metrics of the declarations that are in force or refused, and compares them with what checks
    /// have found.
    pub fn on_declarations_read(&self) {
        if let Some(table) = self.store_cache.route_table() {
            self.first_in_force.get_or_init(|| self.clock.now());
            self.metrics.set_declarations(table.version);
        }
        let row = self.store_cache.declarations_row();
        let now = self.clock.now();
        if self.lock_store_reads().on_row(row, now) {
            warn!(self.log, "store: a comparison has passed over a newer row, the tables are read instead";
                "row" => row);
        }
        let refused = self.store_cache.declarations_refusal().is_some();
        self.metrics.set_declarations_refused(refused);
    }
}
