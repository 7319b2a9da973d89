//! Cached content of the store: declarations, evacuations and backend servers.

use crate::declarations_row::{
    DeclarationsRefusal, DecodedDeclarations, StoredDeclarations, decode_row,
};
use adapter::{
    Listing, ServerRow, StoreRow, decode_server_row, evacuated_domain, evacuation_key, keys,
};
use policy::{
    BackendId, ContentHistory, CountedRow, DomainName, Evacuations, NewerDeclarations,
    ROW_LIFETIME_REPORTS, ReadProof, RouteTable, ServerSet, TableProgress, server_key,
};
use proto::{BackendEntry, ContentDigest, EditScript, Revision, ServerKey, StoreVersions, era};
use slog::{Logger, info, warn};
use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Active declarations, evacuated failure domains and servers, each from its newest row.
///
/// Rows come from the store and from peers in any order; an older row never replaces a newer one.
#[derive(Debug)]
pub struct StoreCache {
    state: Mutex<State>,
    pub(crate) log: Logger,
}

#[derive(Debug, Default)]
pub(crate) struct State {
    route_table: Option<Arc<RouteTable>>,
    pub(crate) declarations: Option<StoredDeclarations>,
    history: ContentHistory,
    /// The newest declarations, where they were refused.
    pub(crate) refused: Option<RefusedRow>,
    /// Whether some entries of those in force could not be decoded.
    has_skipped: bool,
    pub(crate) newer: NewerDeclarations,
    pub(crate) evacuations: Evacuations,
    pub(crate) servers: ServerSet,
    /// Version of the last operators' row that was read, or of a listing that has shown others.
    pub(crate) operators: Revision,
    /// Whether a check has shown operators' rows that are not newer than the revision that others have, so that they would not
    /// ask for them.
    pub(crate) untold_operators: bool,
    pub(crate) server_progress: TableProgress,
    /// Revision as of which a check has found the operators' rows as they are known.
    pub(crate) confirmed: Revision,
    /// Revision of the last row of a server that a peer has sent.
    pub(crate) sent_servers: Revision,
}

#[derive(Debug)]
pub(crate) struct RefusedRow {
    pub(crate) version: u64,
    refusal: Arc<DeclarationsRefusal>,
}

impl StoreCache {
    /// Creates an empty cache, where servers write to their rows at this interval.
    pub fn new(log: Logger, server_heartbeat: Duration) -> Self {
        let row_lifetime = server_heartbeat.saturating_mul(ROW_LIFETIME_REPORTS);
        let state = State {
            servers: ServerSet::default().with_row_lifetime(row_lifetime),
            ..State::default()
        };
        Self {
            state: Mutex::new(state),
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

    /// Whether newer declarations than those in force are known to exist.
    pub fn knows_newer_declarations_than_in_force(&self) -> bool {
        let state = self.lock();
        let in_force = state.route_table.as_ref().map_or(0, |table| table.version);
        state.newer.are_known(in_force)
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

    /// Versions up to which the tables are known.
    pub fn versions(&self) -> StoreVersions {
        let state = self.lock();
        StoreVersions {
            operators: state.operators,
            servers: state.server_progress.revision(),
        }
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

    /// Records that the store responds again after an outage of the time `away`.
    pub fn on_store_returned(&self, now: Duration, away: Duration) {
        self.lock().servers.on_store_returned(now, away);
    }

    /// Applies changed rows of the operators' table, which is then known up to `version`. Returns the
    /// reason where declarations are refused that were not refused before.
    pub async fn on_operator_rows(
        &self,
        rows: Vec<StoreRow>,
        version: u64,
        now: Duration,
    ) -> Option<&'static str> {
        // Orders come first, as large declarations take time.
        let declarations = self.on_orders(rows, now);
        let refusal = match declarations {
            Some(row) => self.on_declarations_row(row).await,
            None => None,
        };
        self.lock().advance_operators(version);
        refusal
    }

    /// Applies a listing of the operators' table; returns the same as [`Self::on_operator_rows`].
    pub async fn on_operator_listing(
        &self,
        listing: Listing,
        proof: ReadProof,
        now: Duration,
    ) -> Option<&'static str> {
        let mut rows = listing.rows;
        let missing = self.lock().evacuations.missing(|domain| {
            let key = evacuation_key(domain);
            rows.iter().any(|row| row.key == key)
        });
        let gone = missing
            .iter()
            .filter(|(_, known)| proof.shows_absence(*known));
        let gone = gone.map(|(domain, _)| evacuation_key(domain));
        rows.extend(gone.map(|key| StoreRow::removed(&key, proof.revision())));
        self.on_read_operators(rows, now).await
    }

    /// Applies changed rows of the servers' table, which is then known up to `version`.
    pub fn on_server_rows(&self, rows: &[StoreRow], version: u64, now: Duration) {
        let mut state = self.lock();
        let new = self.apply_server_rows(&mut state, rows, now);
        state.server_progress.on_all(new, version);
    }

    /// Applies rows of servers, and returns the revisions of those that were new.
    pub(crate) fn apply_server_rows(
        &self,
        state: &mut State,
        rows: &[StoreRow],
        now: Duration,
    ) -> Vec<Revision> {
        let mut new = Vec::new();
        for row in rows {
            let change = decode_server_row(row);
            info!(self.log, "servers: row changed"; "server" => &*row.key, "version" => row.version,
                "change" => ?change.row, "count" => ?change.count);
            let found = counted(row, &change);
            if state.servers.on_counted_row(found, now) {
                new.push(row.version);
            } else if state.servers.is_passed_over(&row.key) {
                info!(self.log, "servers: row passed over, it may be from before the known one";
                    "server" => &*row.key, "version" => row.version, "count" => ?change.count,
                    "known" => ?state.servers.count(&row.key));
            }
            if let Some(started) = change.started {
                state.servers.on_start(&row.key, started);
            }
        }
        self.log_restarted(state);
        new
    }

    /// Applies a listing of the servers' table.
    pub fn on_server_listing(&self, listing: &Listing, proof: ReadProof, now: Duration) {
        let mut starts = Vec::new();
        let rows = listing.rows.iter().map(|row| {
            let decoded = decode_server_row(row);
            starts.extend(decoded.started.map(|started| (&row.key, started)));
            counted(row, &decoded)
        });
        let rows: Vec<_> = rows.collect();
        let newest = rows.iter().map(|row| row.revision).max();
        let newest = newest.unwrap_or_default();
        let newest = newest.max(proof.revision());
        let mut state = self.lock();
        let known = state.server_progress.revision();
        if known > 0 {
            for row in &listing.rows {
                if state.servers.is_newer(&row.key, row.version, now) {
                    info!(self.log, "servers: row changed"; "server" => &*row.key,
                        "version" => row.version, "change" => ?decode_server_row(row).row);
                }
            }
        }
        let has_news = state.servers.on_listing(rows, proof, now);
        for (server, started) in starts {
            state.servers.on_start(server, started);
        }
        if has_news || known == 0 {
            // An empty table was read too.
            let new = has_news.then_some(newest);
            state.server_progress.on_all(new, newest.max(1));
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

    pub(crate) fn log_restarted(&self, state: &mut State) {
        for server in state.servers.take_restarted() {
            info!(self.log, "servers: has started anew, in use again after it had left";
                "server" => &*server);
        }
    }

    /// Applies the rows that order evacuations, and returns the newest one with declarations.
    fn on_orders(&self, rows: Vec<StoreRow>, now: Duration) -> Option<StoreRow> {
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
                    .on_order(domain.into(), !row.removed, row.version, now);
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
    pub(crate) fn put_in_force(
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
        let in_force = state.declarations.as_ref();
        // A restored store may be given other declarations of the same version.
        let is_rewritten = current == Some(table.version)
            && in_force.is_some_and(|in_force| {
                era(version) > era(in_force.row) && decoded.stored.digest != in_force.digest
            });
        if current.is_some_and(|current| current >= table.version) && !is_rewritten {
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

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Whether the declarations of a row of this version are in force, or older than those, or were
    /// refused.
    fn knows_declarations(&self, version: u64) -> bool {
        let is_refused = self
            .refused
            .as_ref()
            .is_some_and(|row| row.version >= version);
        is_refused || self.route_table.is_some() && self.declarations_row() >= version
    }

    /// What a listing of the operators' table can change.
    pub(crate) fn operator_rows(&self) -> (u64, u64, HashSet<DomainName>) {
        let refused = self.refused.as_ref().map_or(0, |row| row.version);
        (self.declarations_row(), refused, self.evacuations.active())
    }

    /// Version of the row with the declarations in force; 0 for none, or where it is not known.
    pub(crate) fn declarations_row(&self) -> u64 {
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

    pub(crate) fn advance_operators(&mut self, version: u64) {
        self.operators = self.operators.max(version);
        self.servers.set_evacuated(self.evacuations.active());
    }
}

fn counted(row: &StoreRow, decoded: &ServerRow) -> CountedRow {
    CountedRow {
        id: row.key.clone(),
        row: decoded.row.clone(),
        count: decoded.count,
        revision: row.version,
    }
}
