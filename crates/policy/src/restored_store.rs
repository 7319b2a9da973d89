//! A store that has come back from a copy.

use proto::{Revision, era};
use std::time::Duration;

/// Time after a store has come back from a copy until operators and servers have written again what the copy lacks.
pub const REWRITE_TIME: Duration = Duration::from_secs(2);

/// Tells whether the rows of a store may lack what was known before it came back from a copy.
#[derive(Debug, Default)]
pub struct RestoredStore {
    /// The newest era that was seen.
    era: u64,
    rewritten_at: Option<Duration>,
}

impl RestoredStore {
    /// Records a revision that the store or a peer has named. `knows_rows` tells whether any rows were known before.
    pub fn on_revision(&mut self, revision: Revision, knows_rows: bool, now: Duration) {
        if era(revision) > self.era {
            self.era = era(revision);
            self.rewritten_at = knows_rows.then_some(now + REWRITE_TIME);
        }
    }

    /// Whether rows may be missing, or be older than those that were known before.
    pub fn lacks_rows(&self, now: Duration) -> bool {
        self.rewritten_at.is_some_and(|at| now < at)
    }

    /// Whether a row of the revision `found` may be older than one that is known with the revision `known`.
    pub fn may_be_older(&self, found: Revision, known: Revision, now: Duration) -> bool {
        known > 0 && era(found) > era(known) && self.lacks_rows(now)
    }
}
