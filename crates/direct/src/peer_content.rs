//! Content of the store that peers are told of and bring.

use crate::declarations_row::{StoredDeclarations, decode_body};
use crate::store_cache::{State, StoreCache};
use adapter::DeclarationError;
use policy::{BackendId, CountedRow, ReadProof};
use proto::{BackendRow, EvacuationOrder, StoreSnapshot, StoreVersions, WriterCount};
use slog::info;
use std::time::Duration;

/// Content of the store that a peer has sent.
#[derive(Debug)]
pub struct PeerContent {
    /// Versions of the tables at the peer, 0 for one that it has not sent.
    pub versions: StoreVersions,
    /// Declarations in their stored form, if they were sent.
    pub declarations: Option<Vec<u8>>,
    /// Version of the store's row that holds them, if it is known.
    pub row: Option<u64>,
    /// Rows of backend servers.
    pub servers: Vec<CountedRow>,
    /// Whether these are only the rows that are newer than what was asked with.
    pub is_difference: bool,
    /// Whether all that the peer knows was asked for, so that it counts though the tables need not be newer.
    pub is_first: bool,
}

impl From<StoreSnapshot> for PeerContent {
    fn from(snapshot: StoreSnapshot) -> Self {
        Self {
            versions: snapshot.versions,
            declarations: snapshot.declarations,
            row: None,
            servers: snapshot.servers.into_iter().map(Into::into).collect(),
            is_difference: snapshot.is_difference,
            is_first: false,
        }
    }
}

impl StoreCache {
    /// Versions up to which peers can rely on this gateway to have the tables. What it refuses is not part of
    /// that, as they may not refuse it.
    pub fn told_versions(&self) -> StoreVersions {
        self.lock().told_versions()
    }

    /// Exports the content for a peer that knows the tables up to the versions `peer`: the rows that are
    /// newer than that.
    pub fn export(&self, peer: &StoreVersions) -> StoreSnapshot {
        let state = self.lock();
        let declarations = state.declarations.as_ref();
        let declarations = declarations.filter(|stored| stored.row > peer.operators);
        let declarations = declarations.map(|stored| stored.body.to_vec());
        let mut snapshot = state.export_rows(peer);
        snapshot.declarations = declarations;
        snapshot
    }

    /// As [`Self::export`], with what the servers of the rows counted, and with the active declarations apart.
    pub fn export_parts(
        &self,
        peer: &StoreVersions,
    ) -> (
        StoreSnapshot,
        Vec<Option<WriterCount>>,
        Option<StoredDeclarations>,
    ) {
        let state = self.lock();
        let snapshot = state.export_rows(peer);
        let rows = snapshot.servers.iter();
        let counts = rows.map(|(id, ..)| state.servers.count(id)).collect();
        (snapshot, counts, state.declarations.clone())
    }

    /// Applies the content that a peer exported, for the tables that are newer there. Declarations that cannot be
    /// decoded fail the whole, so that its version does not hide them.
    pub async fn merge_from_peer(
        &self,
        peer: &str,
        content: PeerContent,
        now: Duration,
    ) -> Result<(), DeclarationError> {
        let declarations = match content.declarations {
            Some(body) => Some(decode_body(body, self.declarations()).await?),
            None => None,
        };
        let mut state = self.lock();
        let versions = content.versions;
        // The row is not known then, so that any row of the store is decoded.
        let row = content.row.unwrap_or_default();
        info!(self.log, "knowledge: taken from a peer"; "peer" => peer,
            "operators" => versions.operators, "own_operators" => state.operators,
            "servers" => versions.servers, "own_servers" => state.server_progress.revision(),
            "rows" => content.servers.len(), "is_difference" => content.is_difference);
        if versions.operators > state.operators {
            if let Some(decoded) = declarations {
                self.put_in_force(&mut state, decoded, row, peer);
            }
            state.advance_operators(versions.operators);
        } else if let Some(decoded) = declarations {
            // Where the newest are refused here, those that peers have in force are older.
            let refused = state.refused.take();
            self.put_in_force(&mut state, decoded, row, peer);
            state.refused = refused;
        }
        let known = state.server_progress.revision();
        if content.is_first {
            // The peer need not have read the store since it came back.
            let rows = content.servers;
            state.servers.on_listing(rows, ReadProof::Unknown, now);
            self.log_restarted(&mut state);
        } else if versions.servers > known {
            let rows = content.servers;
            let last = rows.iter().map(|row| row.revision).max();
            state.sent_servers = state.sent_servers.max(last.unwrap_or_default());
            if content.is_difference {
                state.servers.on_difference(rows, known, now);
            } else {
                // The peer may have been behind when it listed them.
                state.servers.on_listing(rows, ReadProof::Unknown, now);
            }
            state.server_progress.on_all([], versions.servers);
            self.log_restarted(&mut state);
        }
        Ok(())
    }

    /// Applies the orders of evacuation that a peer knows, whose declarations are still to come.
    pub fn on_peer_orders(&self, orders: Vec<EvacuationOrder>, now: Duration) {
        let mut state = self.lock();
        for order in orders {
            let EvacuationOrder {
                domain,
                is_active,
                version,
            } = order;
            state.evacuations.on_order(domain, is_active, version, now);
        }
        let evacuated = state.evacuations.active();
        state.servers.set_evacuated(evacuated);
    }

    /// Orders of evacuation with their revisions, for a peer.
    pub fn orders(&self) -> Vec<EvacuationOrder> {
        self.lock().evacuations.orders()
    }
}

impl State {
    fn export_rows(&self, peer: &StoreVersions) -> StoreSnapshot {
        let owned =
            |(id, row, version): (&BackendId, &BackendRow, u64)| (id.clone(), row.clone(), version);
        let changed = self.servers.changed_since(peer.servers);
        let changed = changed.map(|rows| rows.map(owned).collect());
        let is_difference = changed.is_some();
        let all = || self.servers.rows().map(owned).collect();
        StoreSnapshot {
            versions: self.told_versions(),
            declarations: None,
            evacuated: self.evacuations.active().into_iter().collect(),
            servers: changed.unwrap_or_else(all),
            is_difference,
        }
    }

    fn told_versions(&self) -> StoreVersions {
        let refused = self.refused.as_ref().map(|row| row.version);
        let known = refused.map_or(u64::MAX, |refused| refused.saturating_sub(1));
        StoreVersions {
            operators: self.operators.min(known),
            servers: self.server_progress.revision(),
        }
    }
}
