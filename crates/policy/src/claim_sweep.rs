//! Deletes claims at the end of their retention.

use crate::claim_event::{ClaimAction, ClaimConfig, ClaimWrite, VersionedRow};
use crate::claim_row::{CLAIM_PREFIX, ClaimRow};
use crate::claim_store::ClaimStoreClient;
use proto::prelude::*;

/// Scans all claims page by page, in an endless cycle.
#[derive(Debug)]
pub(crate) struct ClaimSweep {
    interval: Duration,
    retention: Duration,
    page_rows: usize,
    batch_rows: usize,
    next_at: Duration,
    after: Box<str>,
    deletes: Vec<ClaimWrite>,
    swept: u64,
}

impl ClaimSweep {
    pub(crate) fn new(cfg: &ClaimConfig) -> Self {
        Self {
            interval: cfg.sweep_interval,
            retention: cfg.retention,
            page_rows: cfg.sweep_page_rows,
            batch_rows: cfg.max_batch_rows,
            next_at: cfg.sweep_interval,
            after: CLAIM_PREFIX.into(),
            deletes: Vec::new(),
            swept: 0,
        }
    }

    pub(crate) fn set_interval(&mut self, interval: Duration) {
        self.interval = interval;
    }

    pub(crate) fn swept(&self) -> u64 {
        self.swept
    }

    /// Time at which [`Self::next`] has a call to make.
    pub(crate) fn next_at(&self) -> Duration {
        if self.deletes.is_empty() {
            self.next_at
        } else {
            Duration::ZERO
        }
    }

    /// Starts the next call, if one is due.
    pub(crate) fn next(
        &mut self,
        now: Duration,
        store: &mut ClaimStoreClient,
    ) -> Option<ClaimAction> {
        if !self.deletes.is_empty() {
            let count = self.deletes.len().min(self.batch_rows);
            let batch = self.deletes.drain(..count).collect();
            return Some(store.sweep(now, batch));
        }
        if self.next_at > now {
            return None;
        }
        self.next_at = now + self.interval;
        Some(store.scan(self.after.clone(), self.page_rows))
    }

    /// Handles a page; `None` if the call failed. `wall` is the time since the Unix epoch.
    pub(crate) fn on_scanned(&mut self, wall: Duration, rows: Option<Vec<VersionedRow>>) {
        let Some(rows) = rows else {
            return;
        };
        self.after = match rows.last() {
            Some(last) if rows.len() >= self.page_rows => last.key.clone(),
            _ => CLAIM_PREFIX.into(),
        };
        let expired = rows
            .into_iter()
            .filter(|row| self.is_past_retention(wall, row));
        self.deletes = expired
            .map(|row| ClaimWrite {
                key: row.key,
                version: row.version,
                value: None,
            })
            .collect();
    }

    /// Counts deleted rows.
    pub(crate) fn on_deleted(&mut self, rows: usize) {
        self.swept += rows as u64;
    }

    fn is_past_retention(&self, wall: Duration, row: &VersionedRow) -> bool {
        let parsed = ClaimRow::parse(&row.value);
        parsed.is_some_and(|row| Duration::from_secs(row.at) + self.retention < wall)
    }
}
