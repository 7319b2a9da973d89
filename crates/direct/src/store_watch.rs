//! Follows the store's tables.

use crate::shared::Shared;
use adapter::{Changes, Listing, Store, StoreError, StoreTable};
use async_io::Timer;
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a change: a silent connection is noticed this much later than a broken one,
/// and declarations must be in force within two seconds.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause between polls, which bounds the calls while changes come fast.
const POLL_PAUSE: Duration = Duration::from_millis(150);
/// Time between looks whether this gateway has to follow the store: a small part of the second
/// after which a silent peer is replaced.
const UNWATCHED_INTERVAL: Duration = Duration::from_millis(100);
/// Pauses after failed calls, the first and the longest.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Takes in what a table says.
pub trait TableHandler: Send + Sync + 'static {
    /// The table.
    const TABLE: StoreTable;
    /// Longest wait for a change.
    const WAIT: Duration = POLL_TIMEOUT;
    /// Whether peers tell what this table holds.
    const SENT_BY_PEERS: bool = true;

    /// How far the table is known by what peers told.
    fn version_from_peers(&self, shared: &Shared) -> u64;

    /// Takes in the whole table.
    fn on_listing(&self, shared: &Shared, listing: Listing);

    /// Takes in changes.
    fn on_changes(&self, shared: &Shared, changes: Changes);
}

/// Follows the operators' table.
#[derive(Debug)]
pub struct OperatorTableHandler;

/// Follows the servers' table.
#[derive(Debug)]
pub struct ServerTableHandler;

impl TableHandler for OperatorTableHandler {
    const TABLE: StoreTable = StoreTable::Operators;

    fn version_from_peers(&self, shared: &Shared) -> u64 {
        shared.store_cache.versions().operators
    }

    fn on_listing(&self, shared: &Shared, listing: Listing) {
        shared.store_cache.on_operator_listing(&listing);
        shared.update_declarations_metric();
    }

    fn on_changes(&self, shared: &Shared, changes: Changes) {
        shared
            .store_cache
            .on_operator_rows(&changes.rows, changes.version);
        shared.update_declarations_metric();
    }
}

impl TableHandler for ServerTableHandler {
    const TABLE: StoreTable = StoreTable::Servers;

    fn version_from_peers(&self, shared: &Shared) -> u64 {
        shared.store_cache.versions().servers
    }

    fn on_listing(&self, shared: &Shared, listing: Listing) {
        shared
            .store_cache
            .on_server_listing(&listing, shared.clock.now());
    }

    fn on_changes(&self, shared: &Shared, changes: Changes) {
        let now = shared.clock.now();
        shared
            .store_cache
            .on_server_rows(&changes.rows, changes.version, now);
    }
}

/// Follows one table until the process ends.
pub async fn watch<R: TableHandler>(shared: Arc<Shared>, store: Store, handler: R) {
    let mut watch = TableWatch {
        shared,
        store,
        handler,
        outage: None,
    };
    let mut known_version = None;
    loop {
        if watch.is_left_to_peers() {
            Timer::after(UNWATCHED_INTERVAL).await;
            // What peers told meanwhile need not be read again.
            known_version =
                known_version.map(|version: u64| version.max(watch.version_from_peers()));
            continue;
        }
        let result = match known_version {
            None => watch.list().await,
            Some(version) => watch.poll(version).await,
        };
        match result {
            Ok(version) => {
                known_version = Some(version);
                watch.on_contact();
                Timer::after(POLL_PAUSE).await;
            }
            Err(StoreError::HistoryGone) => {
                info!(watch.shared.log, "store: history gone, listing again";
                    "table" => ?R::TABLE, "since" => known_version);
                known_version = None;
            }
            Err(err) => watch.on_failure(&err).await,
        }
    }
}

struct TableWatch<R> {
    shared: Arc<Shared>,
    store: Store,
    handler: R,
    outage: Option<Outage>,
}

struct Outage {
    start: Duration,
    backoff: Duration,
}

impl<R: TableHandler> TableWatch<R> {
    /// Whether this table is left to peers: never while the store is lost, or its return would be
    /// missed.
    fn is_left_to_peers(&self) -> bool {
        R::SENT_BY_PEERS && self.outage.is_none() && !self.shared.watches_store()
    }

    fn version_from_peers(&self) -> u64 {
        self.handler.version_from_peers(&self.shared)
    }

    async fn list(&self) -> Result<u64, StoreError> {
        let listing = self.store.list(R::TABLE).await?;
        let version = listing.version;
        self.shared.metrics.store_call("list", "ok");
        self.handler.on_listing(&self.shared, listing);
        Ok(version)
    }

    async fn poll(&self, since: u64) -> Result<u64, StoreError> {
        let changes = self.store.changes(R::TABLE, since, R::WAIT).await?;
        self.shared.metrics.store_call("changes", "ok");
        // A version behind the one that was asked for would move the poll backwards.
        let version = changes.version.max(since);
        let changed = !changes.rows.is_empty();
        self.handler.on_changes(&self.shared, changes);
        if changed {
            self.shared.fleet.urgent().notify();
        }
        Ok(version)
    }

    fn on_contact(&mut self) {
        let now = self.shared.clock.now();
        self.shared.record_store_contact(now);
        if let Some(outage) = self.outage.take() {
            let away = now.saturating_sub(outage.start);
            info!(self.shared.log, "store: regained"; "table" => ?R::TABLE,
                "away_ms" => away.as_millis() as u64);
            self.shared.record_table_failing(false);
            self.shared.store_cache.on_store_returned(now);
        }
    }

    async fn on_failure(&mut self, err: &StoreError) {
        let now = self.shared.clock.now();
        self.shared.metrics.store_call("poll", "failed");
        let backoff = match &mut self.outage {
            Some(outage) => {
                outage.backoff = (outage.backoff * 2).min(MAX_BACKOFF);
                outage.backoff
            }
            None => {
                warn!(self.shared.log, "store: lost, going on by what is known";
                    "table" => ?R::TABLE, "err" => %err);
                self.shared.record_table_failing(true);
                self.outage = Some(Outage {
                    start: now,
                    backoff: MIN_BACKOFF,
                });
                MIN_BACKOFF
            }
        };
        Timer::after(backoff).await;
    }
}
