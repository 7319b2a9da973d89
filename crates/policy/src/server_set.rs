//! Which backend servers there are, and which of them may get new work.

use proto::{BackendEntry, BackendRow};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Id of one start of a backend server.
pub type BackendId = Box<str>;
/// Name of a failure domain.
pub type DomainName = Box<str>;

#[derive(Debug)]
struct Known {
    row: BackendRow,
    version: u64,
    /// Set while a server whose row has gone may still come back.
    usable_until: Option<Duration>,
    last: Option<BackendEntry>,
}

/// After the store's return, rows that lapsed meanwhile come back within this time.
pub const EXPIRED_ROW_GRACE: Duration = Duration::from_millis(1_800);
/// Rows of gone servers that are kept to tell late news from new.
const MOST_TOMBSTONES: usize = 4_096;

/// The backend servers, by the newest row of each.
#[derive(Debug, Default)]
pub struct ServerSet {
    known: HashMap<BackendId, Known>,
    evacuated: HashSet<DomainName>,
    store_returned: Option<Duration>,
}

impl ServerSet {
    /// Notes that the store answers again after it was away.
    pub fn on_store_returned(&mut self, now: Duration) {
        self.store_returned = Some(now);
    }

    /// Takes a row in, unless a newer one of that server is known. Says whether it was new.
    pub fn on_row(&mut self, id: &str, row: BackendRow, version: u64, now: Duration) -> bool {
        let grace = self.lapse_grace(now);
        let known = self.known.entry(id.into()).or_insert_with(|| Known {
            row: BackendRow::Absent,
            version: 0,
            usable_until: None,
            last: None,
        });
        if version <= known.version {
            return false;
        }
        known.version = version;
        known.usable_until = match (&known.row, &row) {
            (BackendRow::Present(entry), BackendRow::Absent) if !entry.draining => grace,
            _ => None,
        };
        if let BackendRow::Present(entry) = &known.row {
            known.last = Some(entry.clone());
        }
        known.row = row;
        true
    }

    /// Takes a whole listing in, complete as of `version`.
    pub fn on_listing(
        &mut self,
        rows: Vec<(BackendId, BackendRow, u64)>,
        version: u64,
        now: Duration,
    ) {
        let listed: HashSet<_> = rows.iter().map(|(id, ..)| id.clone()).collect();
        let known = self.known.iter();
        let missing = known
            .filter(|(id, known)| !listed.contains(*id) && known.row != BackendRow::Absent)
            .map(|(id, _)| id.clone());
        for id in missing.collect::<Vec<BackendId>>() {
            self.on_row(&id, BackendRow::Absent, version, now);
        }
        for (id, row, version) in rows {
            self.on_row(&id, row, version, now);
        }
        self.forget_gone();
    }

    /// Sets the failure domains that are to get no work.
    pub fn set_evacuated(&mut self, domains: HashSet<DomainName>) {
        self.evacuated = domains;
    }

    /// Servers of a service that may get new work.
    pub fn usable<'a>(
        &'a self,
        service: &'a str,
        now: Duration,
    ) -> impl Iterator<Item = &'a BackendEntry> {
        self.known.values().filter_map(move |known| {
            let entry = known.usable(now)?;
            let wanted = *entry.service == *service && !self.evacuated.contains(&entry.domain);
            wanted.then_some(entry)
        })
    }

    /// Whether this server may still get new work.
    pub fn is_usable(&self, id: &str, now: Duration) -> bool {
        let known = self.known.get(id).and_then(|known| known.usable(now));
        known.is_some_and(|entry| !self.evacuated.contains(&entry.domain))
    }

    /// All rows that are in force, for a peer that cannot read them itself.
    pub fn rows(&self) -> impl Iterator<Item = (&BackendId, &BackendRow, u64)> {
        self.known
            .iter()
            .map(|(id, known)| (id, &known.row, known.version))
    }

    fn lapse_grace(&self, now: Duration) -> Option<Duration> {
        let returned = self.store_returned?;
        let until = returned + EXPIRED_ROW_GRACE;
        (now < until).then_some(until)
    }

    fn forget_gone(&mut self) {
        if self.known.len() > MOST_TOMBSTONES {
            self.known
                .retain(|_, known| known.row != BackendRow::Absent);
        }
    }
}

impl Known {
    fn usable(&self, now: Duration) -> Option<&BackendEntry> {
        match &self.row {
            BackendRow::Present(entry) => (!entry.draining).then_some(entry),
            BackendRow::Absent => {
                let until = self.usable_until?;
                self.last.as_ref().filter(|_| now < until)
            }
            BackendRow::Unreadable => None,
        }
    }
}
