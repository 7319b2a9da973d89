//! Rows in the store for suspects that crash servers. They outlast the gateways, and count the trials of
//! all of them.

use crate::crash_guard::update;
use crate::shared::Shared;
use adapter::{StoreError, StoreRow, StoreTable, keys};
use async_io::Timer;
use policy::{BlockedRow, RowChange, Spread};
use proto::Suspect;
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;

/// Interval at which rows are written or removed where that is due.
const ROW_INTERVAL: Duration = Duration::from_millis(250);

/// Suspect whose row has this key in the gateways' table.
fn row_suspect(key: &str) -> Option<Suspect> {
    let parse = |id| u64::from_str_radix(id, 16).ok();
    if let Some(id) = key.strip_prefix(keys::BLOCKED_PART_PREFIX) {
        return parse(id).map(Suspect::Part);
    }
    let id = key.strip_prefix(keys::BLOCKED_REQUEST_PREFIX)?;
    parse(id).map(Suspect::Request)
}

/// Key of the row of a suspect, which also names it in logs.
pub fn suspect_name(suspect: Suspect) -> String {
    match suspect {
        Suspect::Part(part) => format!("{}{part:x}", keys::BLOCKED_PART_PREFIX),
        Suspect::Request(key) => format!("{}{key:x}", keys::BLOCKED_REQUEST_PREFIX),
    }
}

/// Applies a row of the gateways' table, if it is one of a blocked suspect.
pub fn on_row(shared: &Shared, row: &StoreRow) {
    let Some(suspect) = row_suspect(&row.key) else {
        return;
    };
    let content = (!row.removed).then(|| read_row(shared, row));
    let now = shared.clock.now();
    update(shared, None, |guard| {
        let change = guard.on_row(suspect, content, row.version, now, rand::random());
        ((), change.into_iter().collect())
    });
}

/// Content of a row. One that cannot be read counts as one without trials.
fn read_row(shared: &Shared, row: &StoreRow) -> BlockedRow {
    let value = row.value.as_deref().unwrap_or_default();
    serde_json::from_slice(value).unwrap_or_else(|err| {
        warn!(shared.log, "crashes: row of a suspect cannot be read, it stays blocked";
            "suspect" => &*row.key, "err" => %err);
        BlockedRow::default()
    })
}

/// Applies a listing of the gateways' table.
pub fn on_row_listing(shared: &Shared, rows: &[StoreRow]) {
    let suspects = rows.iter().filter_map(|row| row_suspect(&row.key));
    let suspects: Vec<_> = suspects.collect();
    let now = shared.clock.now();
    let mut guard = shared.crash_guard.lock();
    guard.on_row_listing(&suspects, now, rand::random());
}

/// Writes and removes rows, and reviews the evidence, until the process ends.
pub async fn maintain(shared: Arc<Shared>) {
    loop {
        Timer::after(ROW_INTERVAL).await;
        let now = shared.clock.now();
        let shares = shared.fleet.send_shares();
        let spread = Spread {
            shares: &shares,
            jitter: rand::random(),
        };
        let rows = update(&shared, None, |guard| {
            let changes = guard.review_all(now, spread);
            (guard.due_row_changes(now), changes)
        });
        for row in rows {
            match (row, apply(&shared, row).await) {
                (RowChange::Remove { suspect }, Ok(())) => {
                    shared.crash_guard.lock().on_row_removed(suspect);
                }
                (RowChange::Put { .. }, Ok(())) => {}
                (_, Err(err)) => {
                    info!(shared.log, "crashes: row of a suspect not changed";
                        "change" => ?row, "err" => %err);
                }
            }
        }
    }
}

/// Makes a change of a row in the store.
pub async fn apply(shared: &Shared, change: RowChange) -> Result<(), StoreError> {
    const TABLE: StoreTable = StoreTable::Gateways;
    match change {
        RowChange::Put {
            suspect,
            row,
            version,
        } => {
            let value = serde_json::to_vec(&row).unwrap_or_default();
            let key = suspect_name(suspect);
            shared.store.put(TABLE, &key, &value, Some(version)).await
        }
        RowChange::Remove { suspect } => {
            shared
                .store
                .remove(TABLE, &suspect_name(suspect), None)
                .await
        }
    }
}
