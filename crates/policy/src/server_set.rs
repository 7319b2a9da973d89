//! The backend servers, and which of them may get new requests.

use crate::counted_row::CountedRow;
use crate::restored_store::RestoredStore;
use crate::store_reads::ReadProof;
use proto::{BackendEntry, BackendRow, Revision, WriterCount, era};
use std::cmp::Ordering;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Id of a backend server; each start of a server has its own.
pub type BackendId = Box<str>;
/// Name of a failure domain.
pub type DomainName = Box<str>;

#[derive(Debug)]
struct KnownServer {
    /// The last row that the server has written, or that it has none any more.
    last: CountedRow,
    /// The row that the store holds, if it is older than that one.
    passed_over: Option<PassedOver>,
    /// Set if the row disappeared soon after an outage of the store and may come back; the server
    /// stays usable until this time.
    usable_until: Option<Duration>,
    last_entry: Option<BackendEntry>,
    /// When the server last said in a response that it leaves.
    left_at: Option<Duration>,
    /// Latest start of its process that a row has stated, as time since the Unix epoch.
    started: Option<Duration>,
}

/// A row that a store holds which has come back from a copy, and that is not recorded.
#[derive(Debug, Clone, Copy)]
struct PassedOver {
    revision: Revision,
    /// When it is recorded if the store still holds it; never where the server wrote it before the known one.
    until: Option<Duration>,
}

impl PassedOver {
    fn holds(&self, now: Duration) -> bool {
        self.until.is_none_or(|until| now < until)
    }
}

/// Time after an outage of the store within which rows that expired during the outage come back.
pub const EXPIRED_ROW_GRACE: Duration = Duration::from_millis(1_800);
/// Reports of a server, one after another, that have to be missing until the store removes its row.
pub const ROW_LIFETIME_REPORTS: u32 = 3;
/// A removed server that said it leaves is remembered for at least this long. It ends within minutes.
const LEFT_RETENTION: Duration = Duration::from_secs(86_400);
/// Rows of removed servers are kept, to recognize late updates, until there are this many rows.
const MAX_TOMBSTONES: usize = 4_096;

/// The backend servers, by the latest row of each.
///
/// Load pattern: the store comes back from a copy that is some seconds old. A row that its server wrote before the
/// known one is passed over until it is written again, however long that takes. Rows that are missing, and those of
/// which that cannot be told, are passed over where they would bring a server back or take a usable one away, until
/// operators and servers have had time to write again what the copy lacks.
#[derive(Debug, Default)]
pub struct ServerSet {
    known: HashMap<BackendId, KnownServer>,
    store: RestoredStore,
    /// Time in which the store removes the rows of servers that write nothing.
    row_lifetime: Duration,
    evacuated: HashSet<DomainName>,
    /// Version since which all changes of rows are known, also those of servers that came and went.
    history_start: u64,
    store_returned_at: Option<Duration>,
    /// Servers that have started anew since [`Self::take_restarted`] was called.
    restarted: Vec<BackendId>,
}

impl ServerSet {
    /// Records that the store is available again after it was not for the time `away`.
    pub fn on_store_returned(&mut self, now: Duration, away: Duration) {
        // A row expires only if two reports in a row are lost.
        if away >= self.row_lifetime / ROW_LIFETIME_REPORTS {
            self.store_returned_at = Some(now);
        }
    }

    /// Sets the time in which the store removes the rows of servers that write nothing.
    pub fn with_row_lifetime(self, row_lifetime: Duration) -> Self {
        Self {
            row_lifetime,
            ..self
        }
    }

    /// As [`Self::on_counted_row`], where it is not known what the server counted.
    pub fn on_row(&mut self, id: &str, row: BackendRow, version: u64, now: Duration) -> bool {
        self.on_counted_row((id.into(), row, version).into(), now)
    }

    /// Records a row, unless a newer one of that server is known or it is passed over. Returns whether it was
    /// recorded.
    pub fn on_counted_row(&mut self, found: CountedRow, now: Duration) -> bool {
        if found.revision == 0 {
            return false;
        }
        let knows_rows = !self.known.is_empty();
        self.store.on_revision(found.revision, knows_rows, now);
        let grace = self.expiry_grace_end(now);
        let Some(known) = self.known.get(&found.id) else {
            let known = KnownServer::new(found);
            self.known.insert(known.last.id.clone(), known);
            return true;
        };
        if era(found.revision) != era(known.last.revision) {
            self.store.on_several_eras(now);
        }
        let passed_over = if found.revision > known.revision(now) {
            let is_later_era = era(found.revision) > era(known.last.revision);
            let until = match is_later_era {
                true => self.passed_over_until(known, &found, now),
                false => Some(Duration::ZERO),
            };
            let revision = found.revision;
            Some(PassedOver { revision, until }).filter(|row| row.holds(now))
        } else if known.is_lost(&found) {
            // A peer that ran on tells what the copy lacks.
            let until = self.stands_until(&found, &known.last);
            let revision = known.last.revision;
            Some(PassedOver { revision, until })
        } else {
            return false;
        };
        let Some(known) = self.known.get_mut(&found.id) else {
            return false;
        };
        let is_recorded = passed_over.is_none_or(|row| row.revision != found.revision);
        if is_recorded {
            // A removal that the copy lacks is no row that expired with the store.
            known.record(found, grace.filter(|_| passed_over.is_none()));
        }
        known.passed_over = passed_over;
        is_recorded
    }

    /// Whether a row of this server was passed over and none was recorded since, so that it has to be read again.
    pub fn is_passed_over(&self, id: &str) -> bool {
        let known = self.known.get(id);
        known.is_some_and(|known| known.passed_over.is_some())
    }

    /// Revision that the store's row of this server has if nothing has changed; 0 for none.
    pub fn row_revision(&self, id: &str, now: Duration) -> Revision {
        self.known.get(id).map_or(0, |known| known.revision(now))
    }

    /// Whether a row of this version is newer than what is known of the server.
    pub fn is_newer(&self, id: &str, version: u64, now: Duration) -> bool {
        self.known
            .get(id)
            .is_none_or(|known| version > known.revision(now))
    }

    /// What a server counted when it wrote the last row that is known.
    pub fn count(&self, id: &str) -> Option<WriterCount> {
        self.known.get(id)?.last.count
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
        rows: impl IntoIterator<Item: Into<CountedRow>>,
        proof: ReadProof,
        now: Duration,
    ) -> bool {
        let rows: Vec<CountedRow> = rows.into_iter().map(Into::into).collect();
        let is_first = self.known.is_empty();
        let listed: HashSet<_> = rows.iter().map(|row| row.id.clone()).collect();
        let mut last = rows
            .iter()
            .map(|row| row.revision)
            .max()
            .unwrap_or_default();
        let mut has_news = false;
        last = last.max(proof.revision());
        let known = self.known.iter();
        let missing = known.filter(|(id, known)| {
            let is_shown = listed.contains(*id) || known.last.row == BackendRow::Absent;
            !is_shown && proof.shows_absence(known.last.revision)
        });
        for id in missing.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            has_news |= self.on_row(&id, BackendRow::Absent, proof.revision(), now);
        }
        for row in rows {
            has_news |= self.on_counted_row(row, now);
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
        rows: impl IntoIterator<Item: Into<CountedRow>>,
        known: u64,
        now: Duration,
    ) {
        let rows = rows.into_iter().map(Into::<CountedRow>::into);
        for row in rows.filter(|row| row.revision > known) {
            self.on_counted_row(row, now);
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
            .map(|(id, known)| (id, &known.last.row, known.last.revision))
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

    /// Until when a row of a later era than the known one is passed over, if it is; `None` for however long.
    fn passed_over_until(
        &self,
        known: &KnownServer,
        found: &CountedRow,
        now: Duration,
    ) -> Option<Duration> {
        let is_removed = known.last.row == BackendRow::Absent;
        match found.order(&known.last) {
            Some(Ordering::Less) => self.stands_until(&known.last, found),
            Some(Ordering::Equal) => Some(Duration::ZERO),
            // It can be from before the removal, unless it is of another process.
            Some(Ordering::Greater) if !is_removed || known.is_other_process(found) => {
                Some(Duration::ZERO)
            }
            _ if known.would_be_unlearned(&found.row, now) => Some(self.store.rewritten_at()),
            _ => Some(Duration::ZERO),
        }
    }

    /// Until when a row stands in for an older one that the store holds; `None` for however long. A server whose
    /// last row is there although it was removed is alive once nobody else can have kept the row.
    fn stands_until(&self, row: &CountedRow, older: &CountedRow) -> Option<Duration> {
        let is_last = row.row == BackendRow::Absent && row.count == older.count;
        is_last.then(|| self.store.rewritten_at() + self.row_lifetime)
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
        let removed = removed.filter(|known| known.last.row == BackendRow::Absent);
        let last = removed.map(|known| known.last.revision).max();
        self.history_start = self.history_start.max(last.unwrap_or(0));
        self.known.retain(|_, known| {
            let left_at = known.left_at.filter(|at| now < *at + LEFT_RETENTION);
            let is_held = known.passed_over.is_some_and(|row| row.holds(now));
            known.last.row != BackendRow::Absent || left_at.is_some() || is_held
        });
    }
}

impl KnownServer {
    fn new(last: CountedRow) -> Self {
        Self {
            last,
            passed_over: None,
            usable_until: None,
            last_entry: None,
            left_at: None,
            started: None,
        }
    }

    /// Revision that the store's row has if nothing has changed.
    fn revision(&self, now: Duration) -> Revision {
        let passed_over = self.passed_over.filter(|row| row.holds(now));
        passed_over.map_or(self.last.revision, |row| row.revision)
    }

    /// Whether this row is from after the known one, though it is of an era before.
    fn is_lost(&self, found: &CountedRow) -> bool {
        let is_former = era(found.revision) < era(self.last.revision);
        is_former && found.order(&self.last) == Some(Ordering::Greater)
    }

    fn is_other_process(&self, found: &CountedRow) -> bool {
        let incarnation = |row: &CountedRow| row.count.map(|count| count.incarnation);
        incarnation(found) != incarnation(&self.last)
    }

    fn record(&mut self, found: CountedRow, grace: Option<Duration>) {
        let former = std::mem::replace(&mut self.last, found);
        self.usable_until = match (&former.row, &self.last.row) {
            (BackendRow::Present(entry), BackendRow::Absent) if !entry.draining => grace,
            _ => None,
        };
        if !matches!(self.last.row, BackendRow::Present(_)) {
            self.last.count = self.last.count.max(former.count);
        }
        if let BackendRow::Present(entry) = former.row {
            self.last_entry = Some(entry);
        }
    }

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
        match &self.last.row {
            BackendRow::Present(entry) => (!entry.draining).then_some(entry),
            BackendRow::Absent => {
                let until = self.usable_until?;
                self.last_entry.as_ref().filter(|_| now < until)
            }
            BackendRow::Unreadable => None,
        }
    }
}
