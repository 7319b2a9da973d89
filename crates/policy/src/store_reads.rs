//! What reads of the store prove of the rows that they show, and of those that they do not.

use proto::Revision;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of a mark that a gateway has written, from 1.
pub type MarkNumber = u64;

/// Time after which a store that has refused to compare rows is asked to again.
const REFUSED_PAUSE: Duration = Duration::from_secs(30);
/// Marks that are remembered. They are at least 0.1 s apart.
const MAX_MARKS: usize = 512;

/// What follows from a read of rows. A read can be seconds behind whatever version it bears, so that only the
/// order of writes tells which moment it shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadProof {
    /// The rows were written at some time. Rows that it does not show may exist, and newer ones may.
    Unknown,
    /// All that was written before the time `at` of the own clock, or up to a revision, is shown.
    UpTo {
        /// The time.
        at: Duration,
        /// The revision.
        revision: Revision,
    },
}

impl ReadProof {
    /// Whether a row that was known with this revision, and is not shown, does not exist any more.
    pub fn shows_absence(self, known: Revision) -> bool {
        match self {
            Self::Unknown => false,
            Self::UpTo { revision, .. } => known <= revision,
        }
    }

    /// Revision up to which all is shown; 0 where that is not known.
    pub fn revision(self) -> Revision {
        match self {
            Self::Unknown => 0,
            Self::UpTo { revision, .. } => revision,
        }
    }

    /// What two reads prove together.
    fn earlier(self, other: Self) -> Self {
        match (self, other) {
            (Self::UpTo { revision: a, .. }, Self::UpTo { revision: b, .. }) if b < a => other,
            (Self::UpTo { .. }, Self::UpTo { .. }) => self,
            _ => Self::Unknown,
        }
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
    has_passed_over: bool,
    /// Whether two have.
    is_distrusted: bool,
    /// The last comparison that found the rows unchanged: revision of the operators' row, and of the answer.
    unchanged: Option<(Revision, Revision)>,
    last_mark: MarkNumber,
    /// The last marks that were written, with what a read that shows them proves.
    marks: VecDeque<(MarkNumber, ReadProof)>,
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

    /// Records that a transaction sent at `at` has found all rows unchanged as of a revision, among them the
    /// operators' row of the revision `row`. Returns what that proves.
    pub fn on_unchanged(&mut self, at: Duration, row: Revision, revision: Revision) -> ReadProof {
        self.unchanged = Some((row, revision));
        ReadProof::UpTo { at, revision }
    }

    /// Number of the next mark.
    pub fn next_mark(&mut self) -> MarkNumber {
        self.last_mark += 1;
        self.last_mark
    }

    /// Records that a mark that was sent at `at` was written as of this revision.
    pub fn on_marked(&mut self, mark: MarkNumber, at: Duration, revision: Revision) {
        self.marks
            .push_back((mark, ReadProof::UpTo { at, revision }));
        if self.marks.len() > MAX_MARKS {
            self.marks.pop_front();
        }
    }

    /// What a listing proves before and after which reads have shown these marks.
    pub fn marked(&self, shown: [Option<MarkNumber>; 2]) -> ReadProof {
        let [before, after] = shown.map(|shown| self.proof_of(shown?));
        match (before, after) {
            (Some(before), Some(after)) => before.earlier(after),
            _ => ReadProof::Unknown,
        }
    }

    fn proof_of(&self, shown: MarkNumber) -> Option<ReadProof> {
        let written = self.marks.iter().find(|(mark, _)| *mark == shown);
        written.map(|(_, proof)| *proof)
    }

    /// Records that the operators' row has this revision. If the last comparison has passed over it, the store is not
    /// asked to compare for a while, and after the second time not at all. Returns whether it has.
    pub fn on_row(&mut self, found: Revision, now: Duration) -> bool {
        let passed_over = self
            .unchanged
            .take_if(|(row, answered)| *row < found && found <= *answered);
        if passed_over.is_none() {
            return false;
        }
        self.is_distrusted = self.has_passed_over;
        self.has_passed_over = true;
        self.on_refused(now);
        true
    }
}
