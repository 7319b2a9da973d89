//! Up to which revision a gateway knows a table of which checks read only a part.

use proto::Revision;
use std::time::Duration;

/// Time for a poll to tell of a row that a check has found.
const POLL_TIME: Duration = Duration::from_millis(200);

/// Tells up to which revision a gateway knows all rows of a table, by which it asks others for what is newer and they
/// ask it.
///
/// Load pattern: a release replaces a third of more servers than one check compares. A check finds the newest row of
/// its part, while earlier ones of other servers are on their way; to take its revision for the whole table's would
/// leave these out of all that peers send.
#[derive(Debug, Default)]
pub struct TableProgress {
    revision: Revision,
    /// The newest row that a check has found, and when.
    found: Option<(Revision, Duration)>,
    /// Whether there are rows that others would not ask for, as a later revision was told before.
    is_hidden: bool,
}

impl TableProgress {
    /// Revision up to which all rows are known; 0 before the first read.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Whether others may lack rows that this gateway has.
    pub fn is_untold(&self, now: Duration) -> bool {
        let is_due = |(row, at)| row > self.revision && now >= at + POLL_TIME;
        self.is_hidden || self.found.is_some_and(is_due)
    }

    /// Records that all rows up to `up_to` are known from now on. `new` are the revisions of those that were not.
    pub fn on_all(&mut self, new: impl IntoIterator<Item = Revision>, up_to: Revision) {
        self.note_hidden(new);
        self.revision = self.revision.max(up_to);
    }

    /// Records the revisions of rows that a check has found, between which others can be missing. They are left to polls for a
    /// moment; a gateway that does not poll the table leaves them to others.
    pub fn on_found(
        &mut self,
        new: impl IntoIterator<Item = Revision>,
        polls: bool,
        now: Duration,
    ) {
        if !polls {
            return;
        }
        let new: Vec<_> = new.into_iter().collect();
        self.note_hidden(new.iter().copied());
        let is_known = |(row, _): &(Revision, Duration)| *row <= self.revision;
        self.found.take_if(|found| is_known(found));
        if let Some(newest) = new.into_iter().max() {
            let (row, at) = self.found.unwrap_or((newest, now));
            self.found = Some((row.max(newest), at));
        }
    }

    /// Records that a check has found its part unchanged as of a revision, and returns whether all rows are to be told
    /// as those of that revision.
    pub fn tell(&mut self, revision: Revision, now: Duration) -> bool {
        let tells = self.is_untold(now);
        if tells {
            self.is_hidden = false;
            self.revision = self.revision.max(revision);
        }
        tells
    }

    fn note_hidden(&mut self, new: impl IntoIterator<Item = Revision>) {
        let told = self.revision;
        self.is_hidden |= told > 0 && new.into_iter().any(|row| row <= told);
    }
}
