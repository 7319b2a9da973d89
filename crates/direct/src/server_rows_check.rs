//! Checks of the servers' rows in the store, which find that a server leaves although watches do not tell.

use crate::shared::Shared;
use adapter::{Comparison, Store, StoreError, StoreTable};
use async_io::Timer;
use rand::random;
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;

const TABLE: StoreTable = StoreTable::Servers;
/// Checks are at most this part of the bound apart, which leaves the rest to the calls, and to the peers that
/// hear of the result.
const INTERVAL: f64 = 0.5;
/// Checks of different gateways spread by this part of the interval.
const SPREAD: f64 = 0.25;
/// Time for the watch to tell of a change that a comparison has found, so that the table is not read too.
const WATCH_DELAY: Duration = Duration::from_millis(300);
/// A call of the store takes at most 100 rows.
const MAX_ROWS: usize = 100;

/// Checks the servers' rows while this gateway watches the store, until the process ends. Each watcher does, as
/// it takes nothing from peers while its own watch seems to work.
pub async fn check_server_rows(shared: Arc<Shared>, store: Store) {
    let bound = shared.settings.bounds.drain;
    let mut check = ServerRowsCheck {
        shared,
        store,
        compares: true,
        next_chunk: random(),
    };
    loop {
        let spread = 1.0 - SPREAD * random::<f64>();
        Timer::after(bound.mul_f64(INTERVAL * spread)).await;
        let is_listed = check.shared.store_cache.versions().servers > 0;
        if !is_listed || !check.shared.watches_store() {
            continue;
        }
        if let Err(err) = check.run(bound).await {
            check.shared.metrics.store_call("check", "failed");
            info!(check.shared.log, "store: rows of servers cannot be checked"; "err" => %err);
        }
    }
}

struct ServerRowsCheck {
    shared: Arc<Shared>,
    store: Store,
    /// Whether the store compares rows of this table.
    compares: bool,
    /// Place of the rows that are compared next. Watchers begin anywhere, so that together they soon compare all.
    next_chunk: u64,
}

impl ServerRowsCheck {
    async fn run(&mut self, bound: Duration) -> Result<(), StoreError> {
        let timeout = bound.mul_f64(INTERVAL);
        if self.compares {
            if self.is_unchanged(timeout).await? {
                self.next_chunk = self.next_chunk.wrapping_add(1);
                return Ok(());
            }
            Timer::after(WATCH_DELAY).await;
            if self.is_unchanged(timeout).await? {
                return Ok(());
            }
        }
        self.read().await
    }

    /// Whether the rows of the next call have the versions that are known. `false` where the store does not compare them.
    async fn is_unchanged(&mut self, timeout: Duration) -> Result<bool, StoreError> {
        let expected = self.shared.store_cache.expected_servers();
        let chunks = expected.len().div_ceil(MAX_ROWS).max(1);
        let Some(rows) = expected
            .chunks(MAX_ROWS)
            .nth((self.next_chunk % chunks as u64) as usize)
        else {
            return Ok(true);
        };
        let compared = self.store.compare(TABLE, rows, timeout).await?;
        self.shared.metrics.store_call("compare", "ok");
        if compared == Comparison::Unsupported {
            info!(
                self.shared.log,
                "store: compares no rows of servers, the table is read"
            );
            self.compares = false;
        }
        Ok(matches!(compared, Comparison::Unchanged(_)))
    }

    async fn read(&self) -> Result<(), StoreError> {
        let cache = &self.shared.store_cache;
        let listing = self.store.list(TABLE).await?;
        self.shared.metrics.store_call("list", "ok");
        let before = cache.expected_servers();
        cache.on_server_listing(&listing, self.shared.clock.now());
        if cache.expected_servers() != before {
            self.shared.metrics.unread_change();
            self.shared.fleet.urgent().notify();
            warn!(self.shared.log, "store: a check of servers has found what the watch did not tell of";
                "version" => listing.version);
        }
        Ok(())
    }
}
