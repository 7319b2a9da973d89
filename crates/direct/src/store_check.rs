//! Checks of the operators' rows in the store, which find what watches do not tell of.

use crate::shared::Shared;
use crate::store_watch::report_declarations;
use adapter::{Comparison, Listing, Store, StoreError, StoreTable, keys};
use async_io::Timer;
use policy::{ConfirmedBy, DomainName};
use runtime::Clock;
use slog::{info, warn};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

const TABLE: StoreTable = StoreTable::Operators;
/// Interval at which a check may become due.
const TICK: Duration = Duration::from_millis(100);
/// Time for the watch to tell of a change that a comparison has found, so that the table is not read too.
const WATCH_DELAY: Duration = Duration::from_millis(300);
/// Time after which a store that has refused to compare rows is asked to again.
const REFUSED_PAUSE: Duration = Duration::from_secs(30);
/// Pause before rows are told again that could not be.
const TELL_PAUSE: Duration = Duration::from_millis(500);
/// Rate at which watches receive large declarations, on a link of 20 Mbit/s that others use too.
const WATCH_BYTES_PER_SECOND: f64 = 1.5e6;
/// Domains whose orders are compared. The store takes at most 100 rows in a call.
const MAX_COMPARED_DOMAINS: usize = 90;

/// Checks the operators' rows whenever nobody has confirmed them lately, until the process ends. A check
/// compares the versions of the rows, and reads the table where they differ.
pub async fn check_store(shared: Arc<Shared>, store: Store) {
    let mut check = StoreCheck {
        shared,
        store,
        refused_at: None,
    };
    loop {
        Timer::after(TICK).await;
        if let Some(table) = check.shared.store_cache.untold_table() {
            check.tell(table).await;
        }
        let knows_rows = check.shared.store_cache.versions().operators > 0;
        if !knows_rows || !check.shared.is_store_check_due() {
            continue;
        }
        let at = Clock::boot_time();
        let checked = check.run().await;
        let is_listing = !matches!(checked, Ok(Read::Versions));
        check.shared.on_store_checked(at, is_listing);
        if let Err(err) = checked {
            check.shared.metrics.store_call("check", "failed");
            info!(check.shared.log, "store: rows cannot be checked"; "err" => %err);
        }
    }
}

/// What a check has read.
enum Read {
    Versions,
    Table,
}

struct StoreCheck {
    shared: Arc<Shared>,
    store: Store,
    /// When the store last refused to compare rows of this table.
    refused_at: Option<Duration>,
}

impl StoreCheck {
    /// Domains that can be evacuated: those of the settings, which may state none, and those of servers.
    fn domains(&self) -> Vec<DomainName> {
        let mut domains: BTreeSet<_> = self.shared.settings.domains.iter().cloned().collect();
        domains.extend(self.shared.store_cache.server_domains());
        domains.into_iter().take(MAX_COMPARED_DOMAINS).collect()
    }

    /// Whether the store compares rows, as far as it is known.
    fn compares(&self) -> bool {
        let now = self.shared.clock.now();
        self.refused_at.is_none_or(|at| now >= at + REFUSED_PAUSE)
    }

    async fn run(&mut self) -> Result<Read, StoreError> {
        let is_different = match self.compare().await? {
            Some(Comparison::Unchanged(_)) => return Ok(Read::Versions),
            Some(Comparison::Changed) => {
                self.wait_for_watch().await;
                match self.compare().await? {
                    Some(Comparison::Unchanged(_)) => return Ok(Read::Versions),
                    again => again == Some(Comparison::Changed),
                }
            }
            Some(Comparison::Unsupported) => {
                info!(
                    self.shared.log,
                    "store: compares no rows, the table is read to check it"
                );
                self.refused_at = Some(self.shared.clock.now());
                false
            }
            None => false,
        };
        self.read(is_different).await?;
        Ok(Read::Table)
    }

    /// Gives the watch time to tell of a change, in which it receives and decodes declarations.
    async fn wait_for_watch(&self) {
        let cache = &self.shared.store_cache;
        let bytes = cache.declarations_bytes() as f64;
        Timer::after(WATCH_DELAY + Duration::from_secs_f64(bytes / WATCH_BYTES_PER_SECOND)).await;
        while cache.is_decoding() {
            Timer::after(TICK).await;
        }
    }

    /// Compares the rows; `None` where their versions are not known, or the store does not compare.
    async fn compare(&self) -> Result<Option<Comparison>, StoreError> {
        let expected = self.shared.store_cache.expected_rows(&self.domains());
        let Some(expected) = expected.filter(|_| self.compares()) else {
            return Ok(None);
        };
        let at = Clock::boot_time();
        let timeout = self.shared.store_check_timeout();
        let compared = self.store.compare(TABLE, &expected, timeout).await?;
        self.shared.metrics.store_call("compare", "ok");
        if let Comparison::Unchanged(version) = compared {
            let by = ConfirmedBy::Comparison(version);
            self.shared.on_store_confirmed(at, by);
        }
        Ok(Some(compared))
    }

    /// Reads the table; `is_different` tells whether a comparison has found that it is not as it is known.
    async fn read(&self, is_different: bool) -> Result<(), StoreError> {
        let cache = &self.shared.store_cache;
        let at = Clock::boot_time();
        let listing = self.store.list(TABLE).await?;
        self.shared.metrics.store_call("list", "ok");
        let version = listing.version;
        let listed = listing
            .rows
            .iter()
            .find(|row| &*row.key == keys::DECLARATIONS);
        let listed = listed.map(|row| row.version);
        let known = cache.versions().operators;
        let before = cache.expected_rows(&self.domains());
        let changed = self.apply(listing).await;
        if version < known || is_different && !changed {
            warn!(self.shared.log, "store: a listing is older than what is known";
                "version" => version, "known" => known, "row" => cache.declarations_row());
            return Ok(());
        }
        let expected = cache.expected_rows(&self.domains());
        let is_known = expected.is_some_and(|rows| rows.first().map(|row| row.1) == listed);
        if changed && before.is_some() {
            self.shared.metrics.unread_change();
            warn!(self.shared.log, "store: a check has found a change that the watch did not tell of";
                "version" => version, "known" => known, "row" => cache.declarations_row());
        }
        if is_known {
            let by = ConfirmedBy::Listing(version);
            self.shared.on_store_confirmed(at, by);
        }
        Ok(())
    }

    /// Lists a table as of a version that others see as newer than what they have, and tells them of it.
    async fn tell(&self, table: StoreTable) {
        let cache = &self.shared.store_cache;
        match self.store.list_anew(table).await {
            Ok(listing) => {
                let version = listing.version;
                if table == StoreTable::Servers {
                    cache.on_server_listing(&listing, self.shared.clock.now());
                } else {
                    self.apply(listing).await;
                }
                cache.tell(table, version);
                self.shared.fleet.urgent().notify();
                info!(self.shared.log, "store: rows that others may not have are told as newer";
                    "table" => ?table, "version" => version);
            }
            Err(err) => {
                info!(self.shared.log, "store: rows cannot be told as newer, trying again";
                    "table" => ?table, "err" => %err);
                Timer::after(TELL_PAUSE).await;
            }
        }
    }

    /// Applies a listing, and returns whether it has shown anything new.
    async fn apply(&self, listing: Listing) -> bool {
        let cache = &self.shared.store_cache;
        let before = cache.expected_rows(&self.domains());
        let refusal = cache.on_operator_listing(listing).await;
        report_declarations(&self.shared, refusal);
        let changed = cache.expected_rows(&self.domains()) != before;
        if changed {
            self.shared.fleet.urgent().notify();
        }
        changed
    }
}
