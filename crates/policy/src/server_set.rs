//! The backend servers, and which of them may get new requests.

use crate::restored_store::RestoredStore;
use crate::store_reads::ReadProof;
use proto::{BackendEntry, BackendRow, Revision};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Id of a backend server; each start of a server has its own.
pub type BackendId = Box<str>;
/// Name of a failure domain.
pub type DomainName = Box<str>;

#[derive(Debug)]
struct KnownServer {
    row: BackendRow,
    version: u64,
    /// Set if the row disappeared soon after an outage of the store and may come back; the server
    /// stays usable until this time.
    usable_until: Option<Duration>,
    last_entry: Option<BackendEntry>,
    /// When the server last said in a response that it leaves.
    left_at: Option<Duration>,
    /// Latest start of its process that a row has stated, as time since the Unix epoch.
    started: Option<Duration>,
}

/// Time after an outage of the store within which rows that expired during the outage come back.
pub const EXPIRED_ROW_GRACE: Duration = Duration::from_millis(1_800);
/// A removed server that said it leaves is remembered for at least this long. It ends within minutes.
const LEFT_RETENTION: Duration = Duration::from_secs(86_400);
/// Rows of removed servers are kept, to recognize late updates, until there are this many rows.
const MAX_TOMBSTONES: usize = 4_096;

/// The backend servers, by the latest row of each.
///
/// Load pattern: the store comes back from a copy that is some seconds old. Until operators and servers have
/// written again what it lacks, rows that would bring a server back or take a usable one away are passed over.
#[derive(Debug, Default)]
pub struct ServerSet {
    known: HashMap<BackendId, KnownServer>,
    store: RestoredStore,
    /// Servers with rows that were passed over.
    passed_over: HashSet<BackendId>,
    evacuated: HashSet<DomainName>,
    /// Version since which all changes of rows are known, also those of servers that came and went.
    history_start: u64,
    store_returned_at: Option<Duration>,
    /// Servers that have started anew since [`Self::take_restarted`] was called.
    restarted: Vec<BackendId>,
}

impl ServerSet {
    /// Records that the store is available again after an outage.
    pub fn on_store_returned(&mut self, now: Duration) {
        self.store_returned_at = Some(now);
    }

    /// Records a row, unless a newer one of that server is known or it is passed over. Returns whether it was
    /// recorded.
    pub fn on_row(&mut self, id: &str, row: BackendRow, version: u64, now: Duration) -> bool {
        let knows_rows = !self.known.is_empty();
        self.store.on_revision(version, knows_rows, now);
        let grace = self.expiry_grace_end(now);
        let known = self.known.entry(id.into()).or_insert_with(|| KnownServer {
            row: BackendRow::Absent,
            version: 0,
            usable_until: None,
            last_entry: None,
            left_at: None,
            started: None,
        });
        if version <= known.version {
            return false;
        }
        let may_be_older = self.store.may_be_older(version, known.version, now);
        if may_be_older && known.would_be_unlearned(&row, now) {
            self.passed_over.insert(id.into());
            return false;
        }
        self.passed_over.remove(id);
        known.version = version;
        known.usable_until = match (&known.row, &row) {
            (BackendRow::Present(entry), BackendRow::Absent) if !entry.draining => grace,
            _ => None,
        };
        if let BackendRow::Present(entry) = &known.row {
            known.last_entry = Some(entry.clone());
        }
        known.row = row;
        true
    }

    /// Whether a row of this server was passed over and none was recorded since, so that it has to be read again.
    pub fn is_passed_over(&self, id: &str) -> bool {
        self.passed_over.contains(id)
    }

    /// Whether a row of this version is newer than what is known of the server.
    pub fn is_newer(&self, id: &str, version: u64) -> bool {
        self.known
            .get(id)
            .is_none_or(|known| version > known.version)
    }

    /// Records when the process of a server started, as its row states. A later start than the last one
    /// that was stated is that of a new process, to which nothing applies that the former one said.
    pub fn on_start(&mut self, id: &str, started: Duration) {
        let Some(known) = self.known.get_mut(id) else {
            return;
        };
        let is_new = known.started.is_some_and(|last| started > last);
        known.started = known.started.max(Some(started));
        if is_new && known.left_at.take().is_some() {
            self.restarted.push(id.into());
        }
    }

    /// Records a listing. Servers that it does not contain are removed if that is proved. Returns whether it has
    /// shown anything new.
    pub fn on_listing(
        &mut self,
        rows: Vec<(BackendId, BackendRow, Revision)>,
        proof: ReadProof,
        now: Duration,
    ) -> bool {
        let is_first = self.known.is_empty();
        let listed: HashSet<_> = rows.iter().map(|(id, ..)| id.clone()).collect();
        let mut last = rows.iter().map(|(.., row)| *row).max().unwrap_or_default();
        let mut has_news = false;
        last = last.max(proof.revision());
        let known = self.known.iter();
        let missing = known.filter(|(id, known)| {
            let is_shown = listed.contains(*id) || known.row == BackendRow::Absent;
            !is_shown && proof.shows_absence(known.version)
        });
        for id in missing.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            has_news |= self.on_row(&id, BackendRow::Absent, proof.revision(), now);
        }
        for (id, row, row_version) in rows {
            has_news |= self.on_row(&id, row, row_version, now);
        }
        if has_news || is_first {
            // Servers that came and went since the last known version are in no listing.
            self.end_history(last);
        }
        self.remove_tombstones(now);
        has_news
    }

    /// Records that changes up to `version` may not be known one by one.
    pub fn end_history(&mut self, version: u64) {
        self.history_start = self.history_start.max(version);
    }

    /// Records the rows that have changed since a version up to which all is known, `known`. A row that is
    /// not newer than that is ignored, as the row of its removal may have been dropped.
    pub fn on_difference(
        &mut self,
        rows: Vec<(BackendId, BackendRow, u64)>,
        known: u64,
        now: Duration,
    ) {
        for (id, row, version) in rows.into_iter().filter(|(.., version)| *version > known) {
            self.on_row(&id, row, version, now);
        }
        self.remove_tombstones(now);
    }

    /// Records that a server has said in a response that it leaves. It gets no new requests, whatever its
    /// row says, until a later start is stated. Returns whether that is news.
    pub fn on_leaving(&mut self, id: &str, now: Duration) -> bool {
        let Some(known) = self.known.get_mut(id) else {
            return false;
        };
        known.left_at.replace(now).is_none()
    }

    /// Returns the servers that had said that they leave and have started anew since the last call.
    pub fn take_restarted(&mut self) -> Vec<BackendId> {
        std::mem::take(&mut self.restarted)
    }

    /// Sets the failure domains that must not get new requests.
    pub fn set_evacuated(&mut self, domains: HashSet<DomainName>) {
        self.evacuated = domains;
    }

    /// Servers of a service that may get new requests.
    pub fn usable<'a>(
        &'a self,
        service: &'a str,
        now: Duration,
    ) -> impl Iterator<Item = &'a BackendEntry> {
        self.known.values().filter_map(move |known| {
            let entry = known.usable(now)?;
            let is_match = *entry.service == *service && !self.evacuated.contains(&entry.domain);
            is_match.then_some(entry)
        })
    }

    /// Servers of all services that may get new requests.
    pub fn all_usable(&self, now: Duration) -> impl Iterator<Item = &BackendEntry> {
        self.known.values().filter_map(move |known| {
            let entry = known.usable(now)?;
            (!self.evacuated.contains(&entry.domain)).then_some(entry)
        })
    }

    /// Whether a server may get new requests.
    pub fn is_usable(&self, id: &str, now: Duration) -> bool {
        let known = self.known.get(id).and_then(|known| known.usable(now));
        known.is_some_and(|entry| !self.evacuated.contains(&entry.domain))
    }

    /// Latest rows of all known servers, for a peer that cannot read the store itself.
    pub fn rows(&self) -> impl Iterator<Item = (&BackendId, &BackendRow, u64)> {
        self.known
            .iter()
            .map(|(id, known)| (id, &known.row, known.version))
    }

    /// Latest rows that are newer than `version`, with those of removed servers; `None` if not all removed
    /// servers since then are known.
    pub fn changed_since(
        &self,
        version: u64,
    ) -> Option<impl Iterator<Item = (&BackendId, &BackendRow, u64)>> {
        let is_known = version > 0 && version >= self.history_start;
        is_known.then(|| self.rows().filter(move |(.., row)| *row > version))
    }

    fn expiry_grace_end(&self, now: Duration) -> Option<Duration> {
        let returned = self.store_returned_at?;
        let until = returned + EXPIRED_ROW_GRACE;
        (now < until).then_some(until)
    }

    fn remove_tombstones(&mut self, now: Duration) {
        // A store that has come back from a copy may show removed servers.
        if self.known.len() <= MAX_TOMBSTONES || self.store.lacks_rows(now) {
            return;
        }
        let removed = self.known.values();
        let removed = removed.filter(|known| known.row == BackendRow::Absent);
        let last = removed.map(|known| known.version).max();
        self.history_start = self.history_start.max(last.unwrap_or(0));
        self.known.retain(|_, known| {
            let left_at = known.left_at.filter(|at| now < *at + LEFT_RETENTION);
            known.row != BackendRow::Absent || left_at.is_some()
        });
        let known = &self.known;
        self.passed_over.retain(|id| known.contains_key(id));
    }
}

impl KnownServer {
    fn usable(&self, now: Duration) -> Option<&BackendEntry> {
        self.ready(now).filter(|_| self.left_at.is_none())
    }

    /// Whether `row` would bring the server back, or take it away although it is not known to leave.
    fn would_be_unlearned(&self, row: &BackendRow, now: Duration) -> bool {
        match (self.ready(now), row) {
            (None, BackendRow::Present(entry)) => !entry.draining,
            (None, _) => false,
            (Some(ready), BackendRow::Present(entry)) => !entry.draining && entry != ready,
            (Some(_), _) => true,
        }
    }

    /// Entry of the server, if its row is that of a ready one.
    fn ready(&self, now: Duration) -> Option<&BackendEntry> {
        match &self.row {
            BackendRow::Present(entry) => (!entry.draining).then_some(entry),
            BackendRow::Absent => {
                let until = self.usable_until?;
                self.last_entry.as_ref().filter(|_| now < until)
            }
            BackendRow::Unreadable => None,
        }
    }
}
