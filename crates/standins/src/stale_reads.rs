//! Reads of the stand-in for the platform's store that are behind, and comparisons that are not to be trusted.

use crate::platform_store::{PlatformStore, Row, RowKey, State};
use crate::watch_faults::ListedVersion;
use std::borrow::Cow;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Time for which past content is kept.
const MAX_BEHIND: Duration = Duration::from_secs(60);

/// Listings that show past content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StaleReads {
    /// How far they are behind, at most a minute.
    pub by: Duration,
    /// Version that they bear.
    pub version: ListedVersion,
}

/// How transactions without writes are answered. Those that write are always exact.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Comparisons {
    /// By what holds.
    #[default]
    Exact,
    /// Not at all, where a condition names a table that gateways may not write. This goes for transactions that write
    /// elsewhere, too.
    Refused,
    /// As if all conditions held.
    Blind,
    /// By what listings show while they are behind, with the same version.
    Behind,
}

/// How reads and comparisons deviate from what holds.
#[derive(Debug, Default)]
pub(crate) struct ReadFaults {
    pub(crate) stale: Option<StaleReads>,
    pub(crate) comparisons: Comparisons,
    /// Whether a refusal brings only the rows that differ from their conditions.
    pub(crate) omits_equal_rows: bool,
}

/// Content at one moment, and the version that it is told with.
#[derive(Debug)]
pub(crate) struct Snapshot<'a> {
    pub(crate) rows: Cow<'a, BTreeMap<RowKey, Row>>,
    pub(crate) version: u64,
}

/// What a row was before a change; `None` without one.
#[derive(Debug)]
struct FormerRow {
    changed_at: Instant,
    /// Version of the store before the change.
    version: u64,
    key: RowKey,
    row: Option<Row>,
}

/// Changes of the last minute, from which past content is restored.
#[derive(Debug, Default)]
pub(crate) struct FormerRows {
    rows: VecDeque<FormerRow>,
}

impl FormerRows {
    pub(crate) fn record(&mut self, version: u64, key: RowKey, row: Option<Row>) {
        let now = Instant::now();
        let is_old = |former: &FormerRow| now.duration_since(former.changed_at) > MAX_BEHIND;
        while self.rows.front().is_some_and(is_old) {
            self.rows.pop_front();
        }
        self.rows.push_back(FormerRow {
            changed_at: now,
            version,
            key,
            row,
        });
    }

    /// Takes all changes so far for ones that were made earlier.
    fn backdate(&mut self, by: Duration) {
        for former in &mut self.rows {
            let earlier = former.changed_at.checked_sub(by);
            former.changed_at = earlier.unwrap_or(former.changed_at);
        }
    }

    /// Takes back the changes since `moment`, and returns the version of the store at that time.
    fn undo_since(
        &self,
        moment: Option<Instant>,
        rows: &mut BTreeMap<RowKey, Row>,
        mut version: u64,
    ) -> u64 {
        let later = |former: &&FormerRow| moment.is_none_or(|moment| former.changed_at > moment);
        for former in self.rows.iter().rev().take_while(later) {
            match &former.row {
                Some(row) => rows.insert(former.key.clone(), row.clone()),
                None => rows.remove(&former.key),
            };
            version = former.version;
        }
        version
    }
}

impl State {
    /// Content that listings show, unless it is kept.
    pub(crate) fn readable(&self) -> Snapshot<'_> {
        let Some(stale) = self.read_faults.stale else {
            return self.present();
        };
        let mut rows = self.rows.clone();
        let moment = Instant::now().checked_sub(stale.by);
        let version = self.former_rows.undo_since(moment, &mut rows, self.version);
        let version = match stale.version {
            ListedVersion::OfContent => version,
            ListedVersion::Newest => self.version,
        };
        Snapshot {
            rows: Cow::Owned(rows),
            version,
        }
    }

    /// Content that holds.
    pub(crate) fn present(&self) -> Snapshot<'_> {
        Snapshot {
            rows: Cow::Borrowed(&self.rows),
            version: self.version,
        }
    }
}

impl PlatformStore {
    /// Answers listings with past content from now on, until this is called with `None`.
    ///
    /// # Panics
    ///
    /// If the content is of more than a minute ago, as it is not kept for that long.
    pub fn read_behind(&self, stale: Option<StaleReads>) {
        assert!(stale.is_none_or(|stale| stale.by <= MAX_BEHIND));
        self.lock().read_faults.stale = stale;
    }

    /// Shows what was written so far also where listings are behind by up to `by`, so that no trial has to wait
    /// until its first rows are old.
    pub fn backdate(&self, by: Duration) {
        self.lock().former_rows.backdate(by);
    }

    /// Sets how transactions without writes are answered.
    pub fn set_comparisons(&self, comparisons: Comparisons) {
        self.lock().read_faults.comparisons = comparisons;
    }

    /// Sets whether the refusal of a transaction brings only the rows that differ from its conditions, or all.
    pub fn omit_equal_rows(&self, omitted: bool) {
        self.lock().read_faults.omits_equal_rows = omitted;
    }
}
