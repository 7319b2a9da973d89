//! Faults of the stand-in for the platform's store: calls that it refuses, and watches and listings that do not
//! show what was written.

use crate::platform_store::{PlatformStore, Row, RowKey};
use std::collections::{BTreeMap, HashSet};

/// How polls are answered while watches hear nothing of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuietAnswer {
    /// Once their time is over, without rows and with the newest version of the store.
    NewestVersion,
    /// Once their time is over, without rows and with the version that they continue from.
    PolledVersion,
    /// Once their time is over, without rows and with a version before all others.
    OldestVersion,
    /// Not at all, until watches hear of changes again.
    Never,
}

/// Version that listings of older content bear.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedVersion {
    /// That of the content.
    OfContent,
    /// The newest version of the store.
    Newest,
}

/// Content that listings show in place of the present one.
#[derive(Debug)]
pub(crate) struct ListedCopy {
    pub(crate) rows: BTreeMap<RowKey, Row>,
    /// Version that they bear; `None` for the newest.
    pub(crate) version: Option<u64>,
}

/// What watches leave out.
#[derive(Debug, Default)]
pub(crate) struct WatchFaults {
    /// How polls are answered, and the version after which they hear of nothing.
    pub(crate) quiet: Option<(QuietAnswer, u64)>,
    /// Rows that polls leave out, by table and key.
    pub(crate) hidden: HashSet<RowKey>,
}

impl WatchFaults {
    /// Whether polls hear of the change of a row.
    pub(crate) fn tells(&self, key: &RowKey, version: u64) -> bool {
        let is_quiet = self.quiet.is_some_and(|(_, start)| version > start);
        !is_quiet && !self.hidden.contains(key)
    }
}

impl PlatformStore {
    /// Refuses all calls but the next `served`, until this is called with `None`.
    pub fn refuse_after(&self, served: Option<u64>) {
        let mut state = self.lock();
        state.refused_from = served.map(|served| state.calls + served);
    }

    /// Refuses to list a table and to tell its changes, until this is called with `None`.
    pub fn refuse_table(&self, table: Option<&str>) {
        self.lock().refused_table = table.map(Box::from);
    }

    /// Discards the history of changes: polls that continue from an earlier version fail.
    pub fn forget_history(&self) {
        let mut state = self.lock();
        state.history_start = state.version;
        state.pending_polls.clear();
    }

    /// Hides all changes from now on from watches, whose polls are answered in this way, until this is called
    /// with `None`.
    pub fn quieten_watches(&self, answer: Option<QuietAnswer>) {
        let mut state = self.lock();
        let start = state.version;
        state.watch_faults.quiet = answer.map(|answer| (answer, start));
        if answer.is_none() {
            state.pending_polls.clear();
        }
    }

    /// Leaves a row out of the answers to polls, or, unless `is_hidden`, no longer.
    pub fn hide_from_watches(&self, table: &str, key: &str, is_hidden: bool) {
        let key = (table.into(), key.into());
        let hidden = &mut self.lock().watch_faults.hidden;
        if is_hidden {
            hidden.insert(key);
        } else {
            hidden.remove(&key);
        }
    }

    /// Cuts the connections of all polls that are open.
    pub fn cut_watches(&self) {
        let mut state = self.lock();
        state.cuts += 1;
        state.pending_polls.clear();
    }

    /// Lists the content of this moment from now on, whatever is written, until this is called with `None`.
    pub fn keep_listings(&self, version: Option<ListedVersion>) {
        let mut state = self.lock();
        let copy = version.map(|version| ListedCopy {
            rows: state.rows.clone(),
            version: (version == ListedVersion::OfContent).then_some(state.version),
        });
        state.listed_copy = copy;
    }
}
