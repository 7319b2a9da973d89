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
    /// When that was, after others had been seen.
    seen_at: Option<Duration>,
}

impl RestoredStore {
    /// Records a revision that the store or a peer has named. `knows_rows` tells whether any rows were known before.
    pub fn on_revision(&mut self, revision: Revision, knows_rows: bool, now: Duration) {
        if era(revision) > self.era {
            self.era = era(revision);
            self.seen_at = knows_rows.then_some(now);
        }
    }

    /// Records that rows of several eras are known, so that the store has come back from a copy, at the latest now.
    pub fn on_several_eras(&mut self, now: Duration) {
        self.seen_at.get_or_insert(now);
    }

    /// Whether rows may be missing, or be older than those that were known before.
    pub fn lacks_rows(&self, now: Duration) -> bool {
        now < self.rewritten_at()
    }

    /// When the store holds again what operators and servers wrote. In the past where it never came back from a copy.
    pub fn rewritten_at(&self) -> Duration {
        self.seen_at.map_or(Duration::ZERO, |at| at + REWRITE_TIME)
    }

    /// Whether a row of the revision `found` may be older than one that is known with the revision `known`.
    pub fn may_be_older(&self, found: Revision, known: Revision, now: Duration) -> bool {
        known > 0 && era(found) > era(known) && self.lacks_rows(now)
    }
}
