//! Cached content of the store: declarations, evacuations and backend servers.

use crate::declarations_row::{
    DeclarationsRefusal, DecodedDeclarations, StoredDeclarations, decode_body, decode_row,
};
use crate::evacuations::Evacuations;
use adapter::{
    DeclarationError, Listing, StoreRow, StoreTable, decode_server_row, evacuated_domain,
    evacuation_key, keys,
};
use policy::{
    BackendId, ContentHistory, DomainName, NewerDeclarations, RouteTable, ServerSet, server_key,
};
use proto::{
    BackendEntry, BackendRow, ContentDigest, EditScript, ServerKey, StoreSnapshot, StoreVersions,
};
use slog::{Logger, info, warn};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Active declarations, evacuated failure domains and servers, each from its newest row.
///
/// Rows come from the store and from peers in any order; an older row never replaces a newer one.
#[derive(Debug)]
pub struct StoreCache {
    state: Mutex<State>,
    log: Logger,
}

#[derive(Debug, Default)]
struct State {
    route_table: Option<Arc<RouteTable>>,
    declarations: Option<StoredDeclarations>,
    history: ContentHistory,
    /// The newest declarations, where they were refused.
    refused: Option<RefusedRow>,
    /// Whether some entries of those in force could not be decoded.
    has_skipped: bool,
    newer: NewerDeclarations,
    evacuations: Evacuations,
    servers: ServerSet,
    /// Versions of the last rows that were read, or of listings that have shown others.
    versions: StoreVersions,
    is_untold: Untold,
}

/// Tables in which a listing has shown rows that are not newer than the version that others have, so that they
/// would not ask for them.
#[derive(Debug, Default)]
struct Untold {
    operators: bool,
    servers: bool,
}

#[derive(Debug)]
struct RefusedRow {
    version: u64,
    refusal: Arc<DeclarationsRefusal>,
}

impl StoreCache {
    /// Creates an empty cache.
    pub fn new(log: Logger) -> Self {
        Self {
            state: Mutex::default(),
            log,
        }
    }

    /// Routes of the active declarations; `None` before the first declarations.
    pub fn route_table(&self) -> Option<Arc<RouteTable>> {
        self.lock().route_table.clone()
    }

    /// Why the newest declarations were refused; `None` if they are in force, or there are none.
    pub fn declarations_refusal(&self) -> Option<Arc<DeclarationsRefusal>> {
        let state = self.lock();
        state
            .refused
            .as_ref()
            .map(|refused| refused.refusal.clone())
    }

    /// Records the version of the declarations that a peer has in force.
    pub fn on_peer_declarations(&self, peer: &str, version: u64) {
        self.lock().newer.on_named(peer, version);
    }

    /// Records that a peer is gone.
    pub fn on_peer_gone(&self, peer: &str) {
        self.lock().newer.on_gone(peer);
    }

    /// Whether newer declarations than those of this version, which are in force, are known to exist.
    pub fn knows_newer_declarations(&self, version: u64) -> bool {
        self.lock().newer.are_known(version)
    }

    /// Whether routes or keys may be declared that are not in force here: the newest declarations are refused,
    /// or some of their entries cannot be decoded. Ones of a lower version add nothing.
    pub fn misses_declared_entries(&self) -> bool {
        let state = self.lock();
        let refused = state.refused.as_ref();
        let is_lowered =
            |row: &RefusedRow| matches!(*row.refusal, DeclarationsRefusal::Lowered(..));
        state.has_skipped || refused.is_some_and(|row| !is_lowered(row))
    }

    /// Versions up to which peers can rely on this gateway to have the tables. What it refuses is not part of
    /// that, as they may not refuse it.
    pub fn told_versions(&self) -> StoreVersions {
        self.lock().told_versions()
    }

    /// Version of the declarations in force, 0 for none, while the newest ones of the store are refused.
    pub fn refused_above(&self) -> Option<u64> {
        let state = self.lock();
        let in_force = state.route_table.as_ref().map_or(0, |table| table.version);
        state.refused.as_ref().map(|_| in_force)
    }

    /// Version of the store's row with the declarations in force; 0 for none, or where it is not known.
    pub fn declarations_row(&self) -> u64 {
        self.lock().declarations_row()
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

    /// Versions up to which the tables are known.
    pub fn versions(&self) -> StoreVersions {
        self.lock().versions
    }

    /// Servers of a service to which new requests may be sent.
    pub fn usable_servers(&self, service: &str, now: Duration) -> Vec<BackendEntry> {
        self.lock().servers.usable(service, now).cloned().collect()
    }

    /// Servers of all services to which new requests may be sent.
    pub fn all_usable_servers(&self, now: Duration) -> Vec<BackendEntry> {
        self.lock().servers.all_usable(now).cloned().collect()
    }

    /// Whether new requests may be sent to a server.
    pub fn is_usable(&self, server: &str, now: Duration) -> bool {
        self.lock().servers.is_usable(server, now)
    }

    /// Records that a server has said in a response that it leaves.
    pub fn on_leaving(&self, server: &str, now: Duration) {
        if self.lock().servers.on_leaving(server, now) {
            info!(self.log, "servers: leaving, by its own response"; "server" => server);
        }
    }

    /// Id of the server with this key, if it is known.
    pub fn server_with_key(&self, key: ServerKey) -> Option<BackendId> {
        let state = self.lock();
        let mut ids = state.servers.rows().map(|(id, ..)| id);
        ids.find(|id| server_key(id) == key).cloned()
    }

    /// Records that the store responds again after an outage.
    pub fn on_store_returned(&self, now: Duration) {
        self.lock().servers.on_store_returned(now);
    }

    /// Applies changed rows of the operators' table, which is then known up to `version`. Returns the
    /// reason where declarations are refused that were not refused before.
    pub async fn on_operator_rows(
        &self,
        rows: Vec<StoreRow>,
        version: u64,
    ) -> Option<&'static str> {
        // Orders come first, as large declarations take time.
        let declarations = self.on_orders(rows);
        let refusal = match declarations {
            Some(row) => self.on_declarations_row(row).await,
            None => None,
        };
        self.lock().advance_operators(version);
        refusal
    }

    /// Applies the whole operators' table; returns the same as [`Self::on_operator_rows`].
    pub async fn on_operator_listing(&self, listing: Listing) -> Option<&'static str> {
        let listed = listing.rows.iter().filter_map(|row| {
            let domain = evacuated_domain(&row.key)?;
            Some((domain.into(), row.version))
        });
        let listed: HashMap<DomainName, u64> = listed.collect();
        let (known, before) = {
            let mut state = self.lock();
            let before = state.operator_rows();
            state.evacuations.on_listing(&listed, listing.version);
            (state.versions.operators, before)
        };
        let refusal = self.on_operator_rows(listing.rows, 0).await;
        let mut state = self.lock();
        if state.operator_rows() != before || known == 0 {
            state.is_untold.operators |= known > 0 && listing.version <= known;
            state.advance_operators(listing.version);
        }
        refusal
    }

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

    /// Applies changed rows of the servers' table, which is then known up to `version`.
    pub fn on_server_rows(&self, rows: &[StoreRow], version: u64, now: Duration) {
        let mut state = self.lock();
        for row in rows {
            let change = decode_server_row(row);
            info!(self.log, "servers: row changed"; "server" => &*row.key, "version" => row.version,
                "change" => ?change.row);
            state.servers.on_row(&row.key, change.row, row.version, now);
            if let Some(started) = change.started {
                state.servers.on_start(&row.key, started);
            }
        }
        self.log_restarted(&mut state);
        state.versions.servers = state.versions.servers.max(version);
    }

    /// Applies the whole servers' table.
    pub fn on_server_listing(&self, listing: &Listing, now: Duration) {
        let mut starts = Vec::new();
        let rows = listing.rows.iter().map(|row| {
            let decoded = decode_server_row(row);
            starts.extend(decoded.started.map(|started| (&row.key, started)));
            (row.key.clone(), decoded.row, row.version)
        });
        let rows = rows.collect();
        let mut state = self.lock();
        let known = state.versions.servers;
        let has_news = state.servers.on_listing(rows, listing.version, now);
        for (server, started) in starts {
            state.servers.on_start(server, started);
        }
        if has_news || known == 0 {
            state.is_untold.servers |= known > 0 && listing.version <= known;
            state.versions.servers = known.max(listing.version);
        }
        self.log_restarted(&mut state);
        info!(self.log, "servers: listed"; "rows" => listing.rows.len(),
            "version" => listing.version);
    }

    /// The active declarations in their stored form.
    pub fn declarations(&self) -> Option<StoredDeclarations> {
        self.lock().declarations.clone()
    }

    /// Scripts that lead from declarations to the active ones, by their digests, if they are known.
    pub fn scripts(&self, from: ContentDigest, to: ContentDigest) -> Option<Vec<Arc<EditScript>>> {
        self.lock().history.scripts(from, to)
    }

    /// Records scripts that lead to declarations which are applied next, to pass them on to peers.
    pub fn on_scripts(&self, scripts: Vec<EditScript>) {
        let mut state = self.lock();
        for script in scripts {
            state.history.push(Arc::new(script));
        }
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

    /// As [`Self::export`], with the active declarations apart.
    pub fn export_parts(
        &self,
        peer: &StoreVersions,
    ) -> (StoreSnapshot, Option<StoredDeclarations>) {
        let state = self.lock();
        (state.export_rows(peer), state.declarations.clone())
    }

    /// Applies the content that a peer exported, for the tables that are newer there; its declarations are
    /// those of the store's row of the version `row`, if that is known. Declarations that cannot be decoded
    /// fail the whole, so that its version does not hide them.
    pub async fn merge_from_peer(
        &self,
        peer: &str,
        mut snapshot: StoreSnapshot,
        row: Option<u64>,
        now: Duration,
    ) -> Result<(), DeclarationError> {
        let declarations = match snapshot.declarations.take() {
            Some(body) => Some(decode_body(body, self.declarations()).await?),
            None => None,
        };
        let mut state = self.lock();
        let versions = snapshot.versions;
        // The row is not known then, so that any row of the store is decoded.
        let row = row.unwrap_or_default();
        info!(self.log, "knowledge: taken from a peer"; "peer" => peer,
            "operators" => versions.operators, "own_operators" => state.versions.operators,
            "servers" => versions.servers, "own_servers" => state.versions.servers,
            "rows" => snapshot.servers.len(), "is_difference" => snapshot.is_difference);
        if versions.operators > state.versions.operators {
            if let Some(decoded) = declarations {
                self.put_in_force(&mut state, decoded, row, peer);
            }
            state.set_evacuations(&snapshot.evacuated, versions.operators);
            state.advance_operators(versions.operators);
        } else if let Some(decoded) = declarations {
            // Where the newest are refused here, those that peers have in force are older.
            let refused = state.refused.take();
            self.put_in_force(&mut state, decoded, row, peer);
            state.refused = refused;
        }
        let known = state.versions.servers;
        if versions.servers > known {
            let rows = snapshot.servers;
            if snapshot.is_difference {
                state.servers.on_difference(rows, known, now);
            } else {
                state.servers.on_listing(rows, versions.servers, now);
            }
            state.versions.servers = versions.servers;
            self.log_restarted(&mut state);
        }
        Ok(())
    }

    /// Applies the evacuations that a peer knows as of a version of the operators' table, whose
    /// declarations are still to come.
    pub fn on_peer_evacuations(&self, domains: &[DomainName], version: u64) {
        let mut state = self.lock();
        if version > state.versions.operators {
            state.set_evacuations(domains, version);
        }
    }

    fn log_restarted(&self, state: &mut State) {
        for server in state.servers.take_restarted() {
            info!(self.log, "servers: has started anew, in use again after it had left";
                "server" => &*server);
        }
    }

    /// Applies the rows that order evacuations, and returns the newest one with declarations.
    fn on_orders(&self, rows: Vec<StoreRow>) -> Option<StoreRow> {
        let mut state = self.lock();
        let mut declarations = None;
        for row in rows {
            if &*row.key == keys::DECLARATIONS {
                declarations = Some(row);
            } else if let Some(domain) = evacuated_domain(&row.key) {
                info!(self.log, "domains: order changed"; "domain" => domain,
                    "out" => !row.removed, "version" => row.version);
                state
                    .evacuations
                    .on_order(domain.into(), !row.removed, row.version);
            }
        }
        let evacuated = state.evacuations.active();
        state.servers.set_evacuated(evacuated);
        declarations
    }

    async fn on_declarations_row(&self, row: StoreRow) -> Option<&'static str> {
        let version = row.version;
        {
            let mut state = self.lock();
            if state.knows_declarations(version) {
                info!(self.log, "declarations: row passed over"; "version" => version,
                    "in_force" => state.declarations_row());
                return None;
            }
            state.newer.on_decoding(version);
        }
        let decoded = decode_row(row, self.declarations()).await;
        let mut state = self.lock();
        state.newer.on_decoded();
        let result = decoded.and_then(|decoded| {
            state.check_version(&decoded, version)?;
            self.put_in_force(&mut state, decoded, version, "store");
            Ok(())
        });
        let Err(refusal) = result else {
            state.refused.take_if(|refused| refused.version <= version);
            return None;
        };
        warn!(self.log, "declarations: refused, the last ones stay"; "version" => version,
            "err" => %refusal);
        let reason = refusal.reason();
        state.refused = Some(RefusedRow {
            version,
            refusal: Arc::new(refusal),
        });
        Some(reason)
    }

    /// Puts declarations in force unless these or newer ones are. `source` is "store" or the name of a
    /// peer, for logs.
    fn put_in_force(
        &self,
        state: &mut State,
        decoded: DecodedDeclarations,
        version: u64,
        source: &str,
    ) {
        for error in &decoded.skipped {
            warn!(self.log, "declarations: invalid entry skipped"; "fault" => &**error);
        }
        let table = decoded.table;
        let current = state.route_table.as_ref().map(|table| table.version);
        if current.is_some_and(|current| current >= table.version) {
            // The same declarations can be written again, or have come without the version of their row.
            let in_force = state.declarations.as_mut();
            if let Some(in_force) = in_force.filter(|_| current == Some(table.version)) {
                in_force.row = in_force.row.max(version);
            }
            return;
        }
        info!(self.log, "declarations: in force"; "version" => table.version, "before" => current,
            "source" => source, "bytes" => decoded.stored.body.len(),
            "decoded_ms" => decoded.took.as_millis() as u64);
        state.has_skipped = !decoded.skipped.is_empty();
        state.route_table = Some(Arc::new(table));
        if let Some(script) = decoded.script {
            state.history.record(script, decoded.stored.body.len());
        }
        state.declarations = Some(StoredDeclarations {
            row: version,
            ..decoded.stored
        });
        state.newer.on_in_force(version);
        state.refused.take_if(|refused| refused.version <= version);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
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

    /// Whether the declarations of a row of this version are in force, or older than those, or were
    /// refused.
    fn knows_declarations(&self, version: u64) -> bool {
        let is_refused = self
            .refused
            .as_ref()
            .is_some_and(|row| row.version >= version);
        is_refused || self.route_table.is_some() && self.declarations_row() >= version
    }

    fn told_versions(&self) -> StoreVersions {
        let refused = self.refused.as_ref().map(|row| row.version);
        let known = refused.map_or(u64::MAX, |refused| refused.saturating_sub(1));
        StoreVersions {
            operators: self.versions.operators.min(known),
            ..self.versions
        }
    }

    /// What a listing of the operators' table can change.
    fn operator_rows(&self) -> (u64, u64, HashSet<DomainName>) {
        let refused = self.refused.as_ref().map_or(0, |row| row.version);
        (self.declarations_row(), refused, self.evacuations.active())
    }

    /// Version of the row with the declarations in force; 0 for none, or where it is not known.
    fn declarations_row(&self) -> u64 {
        self.declarations.as_ref().map_or(0, |stored| stored.row)
    }

    /// Refuses declarations in a newer row which are older than those in force.
    fn check_version(
        &self,
        decoded: &DecodedDeclarations,
        version: u64,
    ) -> Result<(), DeclarationsRefusal> {
        let lowered = decoded.table.version;
        match &self.route_table {
            Some(table) if lowered < table.version && version > self.declarations_row() => {
                Err(DeclarationsRefusal::Lowered(lowered, table.version))
            }
            _ => Ok(()),
        }
    }

    /// Sets the evacuations as of `version`, but for those known from newer rows.
    fn set_evacuations(&mut self, domains: &[DomainName], version: u64) {
        self.evacuations.set(domains, version);
        self.servers.set_evacuated(self.evacuations.active());
    }

    fn advance_operators(&mut self, version: u64) {
        self.versions.operators = self.versions.operators.max(version);
        self.servers.set_evacuated(self.evacuations.active());
    }
}
