//! Watches the tables of the store by long polling.

use crate::shared::Shared;
use adapter::{Changes, Listing, ListingProgress, ReceivedBytes, Store, StoreError, StoreTable};
use async_io::Timer;
use futures_lite::future::or;
use policy::{ReadProof, STORE_WATCHER_COUNT, store_check_interval};
use rand::random;
use slog::{info, warn};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

/// Longest time that the store holds a poll while nothing changes. A silent connection is noticed
/// this much later than a broken one; until then checks find changes.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause between polls, which limits the rate of calls during frequent changes.
const POLL_PAUSE: Duration = Duration::from_millis(150);
/// Interval at which a gateway that does not watch the store checks whether it has to. A small
/// part of the second after which a silent peer is replaced.
const UNWATCHED_INTERVAL: Duration = Duration::from_millis(100);
/// Polls of different gateways, which a change ends at once, spread by up to this part of their length.
const POLL_SPREAD: f64 = 0.25;
/// Interval at which a response that arrives is reported as contact with the store.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between listings of the servers' table at a gateway that watches it.
const WATCHER_LISTING_INTERVAL: Duration = Duration::from_secs(STORE_WATCHER_COUNT as u64);
/// After a cut poll, tables that are listed at intervals are listed within this time for each gateway.
const CUT_LISTING_SPREAD: Duration = Duration::from_millis(10);
/// Backoff after failed calls.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Longest pause before a table is listed again because the history is gone.
const MAX_GONE_PAUSE: Duration = Duration::from_secs(2);
/// Many gateways that the store turns away together repeat their calls less often each.
const BACKOFF_PER_GATEWAY: Duration = Duration::from_millis(3);

/// Applies the content of one table.
pub trait TableHandler: Send + Sync + 'static {
    /// Table to watch.
    const TABLE: StoreTable;
    /// Longest time that the store holds a poll while nothing changes.
    const WAIT: Duration = POLL_TIMEOUT;
    /// Pause between polls, in which changes gather.
    const PAUSE: Duration = POLL_PAUSE;
    /// Whether peers also send the content of this table.
    const SENT_BY_PEERS: bool = true;

    /// Whether the table is asked now and then although peers watch it, in case that they are stuck.
    const ASKED_BESIDE_PEERS: bool = true;
    /// Whether polls go on from the version of an answer without rows, which can hide changes. Otherwise they
    /// go on from the last row, and the table is listed again once the history does not reach back to it.
    const SKIPS_HISTORY: bool = false;

    /// Time after which the whole table is listed again, which shows what polls did not tell.
    fn listing_interval(_gateways: usize) -> Option<Duration> {
        None
    }

    /// Version up to which the table is cached, including what peers sent; 0 where peers do not
    /// send it.
    fn cached_version(&self, shared: &Shared) -> u64;

    /// Replaces the known content with the whole table.
    fn on_listing(&self, shared: &Shared, listing: Listing) -> impl Future<Output = ()> + Send;

    /// Applies changed rows.
    fn on_changes(&self, shared: &Shared, changes: Changes) -> impl Future<Output = ()> + Send;
}

/// Applies the operators' table: declarations and evacuations.
#[derive(Debug)]
pub struct OperatorTableHandler;

/// Applies the servers' table: one row for each backend server.
#[derive(Debug)]
pub struct ServerTableHandler;

impl TableHandler for OperatorTableHandler {
    const TABLE: StoreTable = StoreTable::Operators;
    /// Its rows are checked apart from the watch.
    const ASKED_BESIDE_PEERS: bool = false;

    fn cached_version(&self, shared: &Shared) -> u64 {
        shared.store_cache.known_operators()
    }

    async fn on_listing(&self, shared: &Shared, listing: Listing) {
        let cache = &shared.store_cache;
        let refusal = cache
            .on_operator_listing(listing, ReadProof::Unknown, shared.clock.now())
            .await;
        report_declarations(shared, refusal);
    }

    async fn on_changes(&self, shared: &Shared, changes: Changes) {
        let changed =
            shared
                .store_cache
                .on_operator_rows(changes.rows, changes.version, shared.clock.now());
        report_declarations(shared, changed.await);
    }
}

impl TableHandler for ServerTableHandler {
    const TABLE: StoreTable = StoreTable::Servers;

    /// Those who watch the table list it about once a second together, which shows new servers; that one leaves is
    /// found by comparisons.
    fn listing_interval(_gateways: usize) -> Option<Duration> {
        Some(WATCHER_LISTING_INTERVAL)
    }

    fn cached_version(&self, shared: &Shared) -> u64 {
        shared.store_cache.known_servers()
    }

    async fn on_listing(&self, shared: &Shared, listing: Listing) {
        shared
            .store_cache
            .on_server_listing(&listing, ReadProof::Unknown, shared.clock.now());
    }

    async fn on_changes(&self, shared: &Shared, changes: Changes) {
        let now = shared.clock.now();
        shared
            .store_cache
            .on_server_rows(&changes.rows, changes.version, now);
    }
}

/// Updates the metrics of the declarations after they may have changed.
pub(crate) fn report_declarations(shared: &Shared, refusal: Option<&'static str>) {
    if let Some(reason) = refusal {
        shared.metrics.refused_declarations(reason);
    }
    shared.on_declarations_read();
}

/// Watches one table until the process ends: lists it once, then polls for changes.
pub async fn watch<H: TableHandler>(shared: Arc<Shared>, store: Store, handler: H) {
    let received = ReceivedBytes::default();
    let mut watch = TableWatch {
        shared,
        store: store.with_received(received.clone()),
        handler,
        listing: ListingProgress::default(),
        outage: None,
        last_check: Duration::ZERO,
        check_spread: random(),
        listing_due: None,
        gone_in_a_row: 0,
    };
    let mut known_version = None;
    loop {
        let is_left_to_peers = watch.is_left_to_peers();
        if is_left_to_peers && !watch.claim_check() {
            Timer::after(UNWATCHED_INTERVAL).await;
            continue;
        }
        if watch.is_listing_due(is_left_to_peers) {
            known_version = None;
        }
        // What was read otherwise in the meantime need not be polled again.
        known_version = known_version.map(|version: u64| version.max(watch.cached_version()));
        let reports = report_progress::<H, _>(watch.shared.clone(), received.clone());
        let sent = watch.shared.clock.now();
        let call = async {
            match known_version {
                None => watch.list().await,
                Some(version) if is_left_to_peers || watch.shared.is_catching_up() => {
                    watch.poll(version, Duration::ZERO).await
                }
                // The end of an outage shows at once.
                Some(version) if watch.outage.is_some() => {
                    watch.poll(version, Duration::ZERO).await
                }
                Some(version) => {
                    let spread = random::<f64>() * POLL_SPREAD;
                    watch.poll(version, H::WAIT.mul_f64(1.0 - spread)).await
                }
            }
        };
        let result = or(call, reports).await;
        watch.shared.see_store_era(&watch.store);
        match result {
            Ok(version) => {
                if known_version.is_some() {
                    watch.gone_in_a_row = 0;
                }
                known_version = Some(version);
                watch.on_contact();
                Timer::after(H::PAUSE).await;
            }
            Err(err @ (StoreError::HistoryGone | StoreError::CutTransaction)) => {
                watch.pause_before_listing().await;
                info!(watch.shared.log, "store: listing again";
                    "table" => ?H::TABLE, "since" => known_version, "err" => %err);
                known_version = None;
            }
            Err(err) => watch.on_failure(&err, sent).await,
        }
    }
}

/// Records contact with the store while a response arrives, until it is dropped. Otherwise large
/// responses over slow links would make all gateways read the store.
async fn report_progress<H: TableHandler, T>(shared: Arc<Shared>, received: ReceivedBytes) -> T {
    let mut known = received.total();
    loop {
        Timer::after(PROGRESS_INTERVAL).await;
        let total = received.total();
        if total > known {
            known = total;
            shared.record_store_contact(H::TABLE, shared.clock.now());
        }
    }
}

struct TableWatch<H> {
    shared: Arc<Shared>,
    store: Store,
    handler: H,
    /// Pages of a listing that has not ended.
    listing: ListingProgress,
    outage: Option<Outage>,
    /// When the store was last asked while peers watch it, in case that they are stuck.
    last_check: Duration,
    /// Random number that spreads these calls over the gateways.
    check_spread: u64,
    /// When the table is listed again.
    listing_due: Option<Duration>,
    /// Polls in a row that the history did not reach back for, as where listings are behind.
    gone_in_a_row: u32,
}

struct Outage {
    start: Duration,
    backoff: Duration,
}

impl<H: TableHandler> TableWatch<H> {
    /// Whether peers watch this table for this gateway. Never during an outage, as its end would be
    /// missed.
    fn is_left_to_peers(&self) -> bool {
        H::SENT_BY_PEERS && self.outage.is_none() && !self.shared.watches_store()
    }

    /// Whether the store is due to be asked although peers watch it.
    fn claim_check(&mut self) -> bool {
        let now = self.shared.clock.now();
        let gateways = self.shared.fleet.gateways();
        let interval = store_check_interval(gateways, self.check_spread);
        let is_due = H::ASKED_BESIDE_PEERS && now >= self.last_check + interval;
        if is_due {
            self.last_check = now;
            self.check_spread = random();
        }
        is_due
    }

    /// Whether the table is to be listed again, although polls are answered.
    fn is_listing_due(&self, is_left_to_peers: bool) -> bool {
        let now = self.shared.clock.now();
        !is_left_to_peers && self.listing_due.is_some_and(|due| now >= due)
    }

    /// Sets when the table is listed again after a listing, or soon if polls were cut, spread over the gateways.
    fn schedule_listing(&mut self, was_cut: bool) {
        let gateways = self.shared.fleet.gateways();
        let Some(interval) = H::listing_interval(gateways) else {
            return;
        };
        let now = self.shared.clock.now();
        let due = match was_cut {
            true => now + (CUT_LISTING_SPREAD * gateways as u32).mul_f64(random()),
            false => now + interval.mul_f64(0.75 + random::<f64>() * 0.5),
        };
        self.listing_due = Some(
            self.listing_due
                .filter(|_| was_cut)
                .map_or(due, |known| known.min(due)),
        );
    }

    /// Waits before the table is listed because the history is gone, longer each time in a row.
    async fn pause_before_listing(&mut self) {
        if self.gone_in_a_row > 0 {
            let pause = MIN_BACKOFF * 2_u32.saturating_pow(self.gone_in_a_row);
            let pause = pause
                .min(MAX_GONE_PAUSE)
                .mul_f64(random::<f64>().mul_add(0.5, 0.5));
            Timer::after(pause).await;
        }
        self.gone_in_a_row += 1;
    }

    fn cached_version(&self) -> u64 {
        self.handler.cached_version(&self.shared)
    }

    async fn list(&mut self) -> Result<u64, StoreError> {
        let listing = self.store.continue_listing(H::TABLE, &mut self.listing);
        let listing = listing.await?;
        let version = listing.version;
        self.shared.metrics.store_call("list", "ok");
        self.log_skipped(listing.skipped, version);
        self.handler.on_listing(&self.shared, listing).await;
        self.schedule_listing(false);
        Ok(version)
    }

    async fn poll(&self, since: u64, wait: Duration) -> Result<u64, StoreError> {
        let changes = self.store.changes(H::TABLE, since, wait).await?;
        self.shared.metrics.store_call("changes", "ok");
        let changed = !changes.rows.is_empty();
        let version = match H::SKIPS_HISTORY && !changed {
            true => changes.newest.max(since),
            false => changes.version,
        };
        self.log_skipped(changes.skipped, version);
        if !changed && changes.newest > since {
            info!(self.shared.log, "store: newer answer without rows"; "table" => ?H::TABLE,
                "since" => since, "version" => changes.newest);
        }
        self.handler.on_changes(&self.shared, changes).await;
        if changed {
            self.shared.fleet.urgent().notify();
        }
        Ok(version)
    }

    fn log_skipped(&self, skipped: usize, version: u64) {
        if skipped > 0 {
            warn!(self.shared.log, "store: rows cannot be decoded, the others are used";
                "table" => ?H::TABLE, "rows" => skipped, "version" => version);
        }
    }

    fn on_contact(&mut self) {
        let now = self.shared.clock.now();
        self.shared.record_store_contact(H::TABLE, now);
        if let Some(outage) = self.outage.take() {
            let outage_duration = now.saturating_sub(outage.start);
            info!(self.shared.log, "store: regained"; "table" => ?H::TABLE,
                "away_ms" => outage_duration.as_millis() as u64);
            self.shared.record_table_failing(false);
            let cache = &self.shared.store_cache;
            cache.on_store_returned(now, outage_duration);
        }
    }

    /// Handles the failure of a call that was sent at this time.
    async fn on_failure(&mut self, err: &StoreError, sent: Duration) {
        if let StoreError::OutcomeUnknown(..) = err {
            self.schedule_listing(true);
        }
        let now = self.shared.clock.now();
        self.shared.metrics.store_call("poll", "failed");
        let backoff = match &mut self.outage {
            Some(outage) => {
                let gateways = self.shared.fleet.gateways();
                let longest = MAX_BACKOFF.max(BACKOFF_PER_GATEWAY * gateways as u32);
                outage.backoff = (outage.backoff * 2).min(longest);
                outage.backoff
            }
            None => {
                let is_ready = self.shared.store_cache.route_table().is_some();
                warn!(self.shared.log, "store: lost, continuing with the cached content";
                    "table" => ?H::TABLE, "err" => %err, "has_declarations" => is_ready);
                self.shared.record_table_failing(true);
                // A call that is answered too late or not at all may never have reached the store.
                let is_overdue = now > sent + H::WAIT;
                self.outage = Some(Outage {
                    start: if is_overdue { sent } else { now },
                    backoff: MIN_BACKOFF,
                });
                MIN_BACKOFF
            }
        };
        // Without jitter, gateways that start at once would repeat their calls at once.
        Timer::after(backoff.mul_f64(random::<f64>().mul_add(0.5, 0.5))).await;
    }
}
