//! What reads of the store prove of the rows that they show, and of those that they do not.

use proto::Revision;
use std::time::Duration;

/// Time after which a store that has refused to compare rows is asked to again.
const REFUSED_PAUSE: Duration = Duration::from_secs(30);

/// What follows from a read of rows. A read can be seconds behind whatever version it bears, so that only the
/// order of writes tells which moment it shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadProof {
    /// The rows were written at some time. Rows that it does not show may exist, and newer ones may.
    Behind,
    /// All that was written before this time of the own clock is shown.
    At(Duration),
}

impl ReadProof {
    /// Whether a row that is not shown does not exist.
    pub fn shows_absence(self) -> bool {
        matches!(self, Self::At(_))
    }
}

/// How rows are checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckWay {
    /// A transaction compares them. It also writes, so that it has a place in the order of all writes.
    Transaction,
    /// They are listed after a mark was written, which is read back before and after that.
    MarkedListing,
}

/// Decides how rows of the store are checked, and what each kind of read proves.
///
/// Load pattern: after the store has dropped its history, its reads are seconds behind and do not say so.
#[derive(Debug, Default)]
pub struct StoreReads {
    refused_at: Option<Duration>,
    /// Whether a comparison has passed over a newer row.
    is_distrusted: bool,
    /// The last comparison that found the rows unchanged: revision of the operators' row, and of the answer.
    unchanged: Option<(Revision, Revision)>,
}

impl StoreReads {
    /// How to check rows now.
    pub fn way(&self, now: Duration) -> CheckWay {
        let is_refused = self.refused_at.is_some_and(|at| now < at + REFUSED_PAUSE);
        match is_refused || self.is_distrusted {
            true => CheckWay::MarkedListing,
            false => CheckWay::Transaction,
        }
    }

    /// Records that the store has refused to compare rows.
    pub fn on_refused(&mut self, now: Duration) {
        self.refused_at = Some(now);
    }

    /// Records that a transaction sent at `at` has found all rows unchanged as of the revision `answered`, among
    /// them the operators' row of the revision `row`. Returns what that proves.
    pub fn on_unchanged(&mut self, at: Duration, row: Revision, answered: Revision) -> ReadProof {
        self.unchanged = Some((row, answered));
        ReadProof::At(at)
    }

    /// Records that the operators' row has this revision. Comparisons are not trusted any more if the last one
    /// has passed over it. Returns whether that is so now for the first time.
    pub fn on_row(&mut self, found: Revision) -> bool {
        let is_passed_over = self
            .unchanged
            .is_some_and(|(row, answered)| row < found && found <= answered);
        is_passed_over && !std::mem::replace(&mut self.is_distrusted, true)
    }

    /// What a listing proves before and after which the mark of the time `written_at` was read, and shown or not.
    pub fn marked(written_at: Duration, shown: [bool; 2]) -> ReadProof {
        match shown {
            [true, true] => ReadProof::At(written_at),
            _ => ReadProof::Behind,
        }
    }
}
