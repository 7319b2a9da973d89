//! Rows of the store that checks compare with what is known, and rows that checks have found.

use crate::store_cache::StoreCache;
use adapter::{StoreTable, evacuation_key, keys};
use policy::DomainName;
use proto::BackendRow;

/// Tables in which a listing has shown rows that are not newer than the version that others have, so that they
/// would not ask for them.
#[derive(Debug, Default)]
pub(crate) struct Untold {
    pub(crate) operators: bool,
    pub(crate) servers: bool,
}

impl StoreCache {
    /// Table in which a listing has shown rows that others do not see as newer than what they have.
    pub fn untold_table(&self) -> Option<StoreTable> {
        let state = self.lock();
        match state.is_untold {
            Untold {
                operators: true, ..
            } => Some(StoreTable::Operators),
            Untold { servers: true, .. } => Some(StoreTable::Servers),
            Untold { .. } => None,
        }
    }

    /// Records that a table is known up to `version`, which is newer than what others have.
    pub fn tell(&self, table: StoreTable, version: u64) {
        let mut state = self.lock();
        match table {
            StoreTable::Operators => {
                state.is_untold.operators = false;
                state.advance_operators(version);
            }
            StoreTable::Servers => {
                state.is_untold.servers = false;
                state.servers.end_history(version);
                state.versions.servers = state.versions.servers.max(version);
            }
            StoreTable::Gateways => {}
        }
    }

    /// Whether declarations of the store are being decoded, so that a check of their row has to wait.
    pub fn is_decoding(&self) -> bool {
        self.lock().newer.is_decoding()
    }

    /// Size of the declarations in force, in bytes.
    pub fn declarations_bytes(&self) -> usize {
        self.declarations().map_or(0, |stored| stored.body.len())
    }

    /// Rows of the operators' table with the versions that they have in the store if nothing has changed: that
    /// with the declarations, and the orders for these domains. `None` where some of them are not known.
    pub fn expected_rows(&self, domains: &[DomainName]) -> Option<Vec<(Box<str>, u64)>> {
        let state = self.lock();
        let refused = state.refused.as_ref().map_or(0, |refused| refused.version);
        let row = state.declarations_row().max(refused);
        let mut rows = vec![(keys::DECLARATIONS.into(), row)];
        for domain in domains {
            rows.push((evacuation_key(domain), state.evacuations.row(domain)?));
        }
        (row > 0).then_some(rows)
    }

    /// Rows of the servers that are not known to be gone, with the versions that they have in the store if
    /// nothing has changed.
    pub fn expected_servers(&self) -> Vec<(Box<str>, u64)> {
        let state = self.lock();
        let rows = state.servers.rows();
        let rows = rows.filter(|(_, row, _)| **row != BackendRow::Absent);
        let mut rows: Vec<_> = rows.map(|(id, _, version)| (id.clone(), version)).collect();
        rows.sort_unstable();
        rows
    }

    /// Failure domains in which servers are, with repetitions.
    pub fn server_domains(&self) -> Vec<DomainName> {
        let state = self.lock();
        let rows = state.servers.rows();
        let entries = rows.filter_map(|(_, row, _)| match row {
            BackendRow::Present(entry) => Some(entry.domain.clone()),
            _ => None,
        });
        entries.collect()
    }
}
