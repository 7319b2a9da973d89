//! Follows the store's tables.

use crate::shared::Shared;
use adapter::{Changes, Listing, Store, StoreError, StoreTable};
use async_io::Timer;
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a change: a silent connection is noticed this much later than a broken one,
/// and declarations must be in force within two seconds.
const POLL_WAIT: Duration = Duration::from_millis(1_200);
/// Pause between polls, which bounds the calls while changes come fast.
const POLL_PAUSE: Duration = Duration::from_millis(150);
/// Time between looks whether this gateway has to follow the store: a small part of the second
/// after which a silent peer is replaced.
const REST_LOOK: Duration = Duration::from_millis(100);
/// Pauses after failed calls, the first and the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// Takes in what a table says.
pub trait TableReader: Send + Sync + 'static {
    /// The table.
    const TABLE: StoreTable;
    /// Longest wait for a change.
    const WAIT: Duration = POLL_WAIT;
    /// Whether peers tell what this table holds.
    const TOLD_BY_PEERS: bool = true;

    /// How far the table is known by what peers told.
    fn told_version(&self, shared: &Shared) -> u64;

    /// Takes in the whole table.
    fn on_listing(&self, shared: &Shared, listing: Listing);

    /// Takes in changes.
    fn on_changes(&self, shared: &Shared, changes: Changes);
}

/// Follows the operators' table.
#[derive(Debug)]
pub struct OperatorsReader;

/// Follows the servers' table.
#[derive(Debug)]
pub struct ServersReader;

impl TableReader for OperatorsReader {
    const TABLE: StoreTable = StoreTable::Operators;

    fn told_version(&self, shared: &Shared) -> u64 {
        shared.knowledge.known().operators
    }

    fn on_listing(&self, shared: &Shared, listing: Listing) {
        shared.knowledge.on_operator_listing(&listing);
        shared.note_declarations();
    }

    fn on_changes(&self, shared: &Shared, changes: Changes) {
        shared
            .knowledge
            .on_operator_rows(&changes.rows, changes.version);
        shared.note_declarations();
    }
}

impl TableReader for ServersReader {
    const TABLE: StoreTable = StoreTable::Servers;

    fn told_version(&self, shared: &Shared) -> u64 {
        shared.knowledge.known().servers
    }

    fn on_listing(&self, shared: &Shared, listing: Listing) {
        shared
            .knowledge
            .on_server_listing(&listing, shared.clock.now());
    }

    fn on_changes(&self, shared: &Shared, changes: Changes) {
        let now = shared.clock.now();
        shared
            .knowledge
            .on_server_rows(&changes.rows, changes.version, now);
    }
}

/// Follows one table until the process ends.
pub async fn watch<R: TableReader>(shared: Arc<Shared>, store: Store, reader: R) {
    let mut watch = TableWatch {
        shared,
        store,
        reader,
        lost: None,
    };
    let mut since = None;
    loop {
        if watch.rests() {
            Timer::after(REST_LOOK).await;
            // What peers told meanwhile need not be read again.
            since = since.map(|version: u64| version.max(watch.told_version()));
            continue;
        }
        let step = match since {
            None => watch.list().await,
            Some(version) => watch.poll(version).await,
        };
        match step {
            Ok(version) => {
                since = Some(version);
                watch.on_contact();
                Timer::after(POLL_PAUSE).await;
            }
            Err(StoreError::HistoryGone) => {
                info!(watch.shared.log, "store: history gone, listing again";
                    "table" => ?R::TABLE, "since" => since);
                since = None;
            }
            Err(err) => watch.on_failure(&err).await,
        }
    }
}

struct TableWatch<R> {
    shared: Arc<Shared>,
    store: Store,
    reader: R,
    lost: Option<Lost>,
}

struct Lost {
    at: Duration,
    pause: Duration,
}

impl<R: TableReader> TableWatch<R> {
    /// Whether this table is left to peers: never while the store is lost, or its return would be
    /// missed.
    fn rests(&self) -> bool {
        R::TOLD_BY_PEERS && self.lost.is_none() && !self.shared.follows_store()
    }

    fn told_version(&self) -> u64 {
        self.reader.told_version(&self.shared)
    }

    async fn list(&self) -> Result<u64, StoreError> {
        let listing = self.store.list(R::TABLE).await?;
        let version = listing.version;
        self.shared.metrics.store_call("list", "ok");
        self.reader.on_listing(&self.shared, listing);
        Ok(version)
    }

    async fn poll(&self, since: u64) -> Result<u64, StoreError> {
        let changes = self.store.changes(R::TABLE, since, R::WAIT).await?;
        self.shared.metrics.store_call("changes", "ok");
        // A version behind the one that was asked for would move the poll backwards.
        let version = changes.version.max(since);
        let changed = !changes.rows.is_empty();
        self.reader.on_changes(&self.shared, changes);
        if changed {
            self.shared.fleet.urgent().notify();
        }
        Ok(version)
    }

    fn on_contact(&mut self) {
        let now = self.shared.clock.now();
        self.shared.note_store_heard(now);
        if let Some(lost) = self.lost.take() {
            let away = now.saturating_sub(lost.at);
            info!(self.shared.log, "store: regained"; "table" => ?R::TABLE,
                "away_ms" => away.as_millis() as u64);
            self.shared.note_table(false);
            self.shared.knowledge.on_store_returned(now);
        }
    }

    async fn on_failure(&mut self, err: &StoreError) {
        let now = self.shared.clock.now();
        self.shared.metrics.store_call("poll", "failed");
        let pause = match &mut self.lost {
            Some(lost) => {
                lost.pause = (lost.pause * 2).min(LONGEST_PAUSE);
                lost.pause
            }
            None => {
                warn!(self.shared.log, "store: lost, going on by what is known";
                    "table" => ?R::TABLE, "err" => %err);
                self.shared.note_table(true);
                self.lost = Some(Lost {
                    at: now,
                    pause: FIRST_PAUSE,
                });
                FIRST_PAUSE
            }
        };
        Timer::after(pause).await;
    }
}
