//! Gateways whose rows a listing does not have.

use crate::absent_rows::{AbsentRows, find_absent};
use crate::peers::Peers;
use adapter::{Listing, Mark, StoreTable, keys};
use slog::info;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

/// Rows that are read in one call. The store takes at most 100 entries, of which one is the mark.
const MAX_READ_ROWS: usize = 99;
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Removes the gateways that a listing does not have, once a transaction has shown that they have no rows. Those
/// that a restored store lacks write theirs again.
pub async fn remove_unlisted(peers: &Arc<Peers>, listing: &Listing) {
    if peers.shared().lacks_rows() {
        return;
    }
    let listed: HashSet<&str> = listing.rows.iter().map(|row| &*row.key).collect();
    let names = peers.names().into_iter();
    let keys = names.map(|name| format!("{}{name}", keys::GATEWAY_PREFIX));
    let unlisted = keys.filter(|key| !listed.contains(&**key));
    let rows: Vec<_> = unlisted
        .map(|key| (StoreTable::Gateways, key.into_boxed_str()))
        .collect();
    let shared = peers.shared();
    for rows in rows.chunks(MAX_READ_ROWS) {
        let mark = Mark {
            key: &shared.settings.name,
            value: b"",
        };
        match find_absent(&shared.store, rows.to_vec(), mark, READ_TIMEOUT).await {
            Ok(AbsentRows::Found(current)) => {
                for current in current {
                    peers.on_row(&current.row);
                }
            }
            Ok(AbsentRows::Unknown) => {
                info!(shared.log, "peers: rows that are not listed may exist"; "rows" => rows.len());
            }
            Err(err) => {
                info!(shared.log, "peers: rows that are not listed cannot be read"; "err" => %err);
            }
        }
    }
}
