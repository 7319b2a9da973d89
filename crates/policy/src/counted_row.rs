//! Rows of backend servers, ordered by what the servers count.

use crate::server_set::BackendId;
use proto::{BackendRow, Revision, WriterCount};
use std::cmp::Ordering;

/// A row of a backend server as the store or a peer has shown it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CountedRow {
    /// Id of the server.
    pub id: BackendId,
    /// Its content.
    pub row: BackendRow,
    /// What the server counted when it wrote the row, or the last one before it was removed; `None` if that is
    /// not known.
    pub count: Option<WriterCount>,
    /// Revision of the store.
    pub revision: Revision,
}

impl From<(BackendId, BackendRow, Revision)> for CountedRow {
    fn from((id, row, revision): (BackendId, BackendRow, Revision)) -> Self {
        Self {
            id,
            row,
            count: None,
            revision,
        }
    }
}

impl CountedRow {
    /// Whether this row is from before another one of the same server, whatever revisions they have; `None` if that
    /// is not known. A process that leaves does not come back.
    pub(crate) fn order(&self, other: &Self) -> Option<Ordering> {
        let key = |row: &Self| Some((row.count?, stage(&row.row)?));
        Some(key(self)?.cmp(&key(other)?))
    }
}

/// How far a process has got, among rows with the same count.
fn stage(row: &BackendRow) -> Option<u8> {
    match row {
        BackendRow::Present(entry) => Some(entry.draining.into()),
        BackendRow::Absent => Some(2),
        BackendRow::Unreadable => None,
    }
}
