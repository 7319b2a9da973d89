//! Rows of the store that checks compare with what is known, and rows that checks have found.

use crate::store_cache::StoreCache;
use adapter::{ExpectedRow, StoreRow, StoreTable, evacuation_key, keys};
use policy::DomainName;
use proto::{BackendRow, Revision};
use std::time::Duration;

impl StoreCache {
    /// Records that all rows that are known were checked as of this revision. Rows that others may not have are
    /// then told as those of this revision; returns whether there are any.
    pub fn tell_untold(&self, revision: Revision, now: Duration) -> bool {
        let mut state = self.lock();
        let untold_operators = std::mem::take(&mut state.untold_operators);
        if untold_operators {
            state.advance_operators(revision);
        }
        let untold_servers = state.server_progress.tell(revision, now);
        if untold_servers {
            state.servers.end_history(revision);
        }
        untold_operators || untold_servers
    }

    /// Whether others may lack rows of servers that this gateway has, until a check has shown that they still hold.
    pub fn has_untold_servers(&self, now: Duration) -> bool {
        self.lock().server_progress.is_untold(now)
    }

    /// Records that the operators' rows are known as of this revision.
    pub fn on_confirmed(&self, revision: Revision) {
        let mut state = self.lock();
        state.confirmed = state.confirmed.max(revision);
    }

    /// Revision from which polls of the operators' table can go on.
    pub fn known_operators(&self) -> Revision {
        let state = self.lock();
        state.operators.max(state.confirmed)
    }

    /// Revision from which polls of the servers' table can go on: checks do not show all servers.
    pub fn known_servers(&self) -> Revision {
        self.lock().sent_servers
    }

    /// Applies operators' rows as a transaction has found them; returns the same as
    /// [`Self::on_operator_rows`].
    pub async fn on_read_operators(
        &self,
        rows: Vec<StoreRow>,
        now: Duration,
    ) -> Option<&'static str> {
        let newest = rows.iter().map(|row| row.version).max().unwrap_or_default();
        let (known, before) = {
            let state = self.lock();
            (state.operators, state.operator_rows())
        };
        let refusal = self.on_operator_rows(rows, newest, now).await;
        let mut state = self.lock();
        state.untold_operators |= newest <= known && state.operator_rows() != before;
        refusal
    }

    /// Applies servers' rows as a transaction has found them, at a gateway that polls the table or does not.
    pub fn on_read_servers(&self, rows: &[StoreRow], polls: bool, now: Duration) {
        let mut state = self.lock();
        let new = self.apply_server_rows(&mut state, rows, now);
        state.server_progress.on_found(new, polls, now);
    }

    /// Whether declarations of the store are being decoded, so that a check of their row has to wait.
    pub fn is_decoding(&self) -> bool {
        self.lock().newer.is_decoding()
    }

    /// Size of the declarations in force, in bytes.
    pub fn declarations_bytes(&self) -> usize {
        self.declarations().map_or(0, |stored| stored.body.len())
    }

    /// Rows of the operators' table with the revisions that they have if nothing has changed: that with the
    /// declarations, which comes first, and the orders for these domains. A row whose revision is not known is
    /// expected to be as no row is.
    pub fn expected_rows(&self, domains: &[DomainName]) -> Vec<ExpectedRow> {
        let state = self.lock();
        let refused = state.refused.as_ref().map_or(0, |refused| refused.version);
        let expect = |key: Box<str>, revision| ExpectedRow {
            table: StoreTable::Operators,
            key,
            revision,
        };
        let row = state.declarations_row().max(refused);
        let mut rows = vec![expect(keys::DECLARATIONS.into(), row)];
        let orders = domains
            .iter()
            .map(|domain| expect(evacuation_key(domain), state.evacuations.row(domain)));
        rows.extend(orders);
        rows
    }

    /// Rows of the servers that are not known to be gone, with the revisions that they have if nothing has
    /// changed, and of those whose rows were passed over.
    pub fn expected_servers(&self, now: Duration) -> Vec<ExpectedRow> {
        let state = self.lock();
        let servers = &state.servers;
        let rows = servers
            .rows()
            .filter(|(id, row, _)| **row != BackendRow::Absent || servers.is_passed_over(id));
        let rows = rows.map(|(id, ..)| ExpectedRow {
            table: StoreTable::Servers,
            key: id.clone(),
            revision: servers.row_revision(id, now),
        });
        let mut rows: Vec<_> = rows.collect();
        rows.sort_unstable_by(|a, b| a.key.cmp(&b.key));
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
