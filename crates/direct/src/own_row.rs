//! This gateway's own row in the table of gateways.

use crate::gateway_rows::GatewayRow;
use adapter::StoreRow;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// This gateway's row, as it was written and as it is stored.
#[derive(Debug)]
pub struct OwnRow(Mutex<State>);

#[derive(Debug)]
struct State {
    row: GatewayRow,
    /// Version of the stored row; absent until it is read and after it is removed or replaced.
    version: Option<u64>,
}

impl OwnRow {
    /// A row that has not been read from the store.
    pub fn new(row: GatewayRow) -> Self {
        Self(Mutex::new(State { row, version: None }))
    }

    /// Records what the store has in its place.
    pub fn on_stored(&self, stored: Option<&StoreRow>) {
        let mut state = self.lock();
        let stored = stored.filter(|stored| !stored.removed);
        state.version = stored.and_then(|stored| state.row.version_in(stored));
    }

    /// The row, and its version in the store if that is known.
    pub fn get(&self) -> (GatewayRow, Option<u64>) {
        let state = self.lock();
        (state.row.clone(), state.version)
    }

    /// The row with one renewal more, and the version that it replaces; `None` where that is not known.
    pub fn renewed(&self) -> Option<(GatewayRow, u64)> {
        let mut state = self.lock();
        let version = state.version?;
        state.row.renewals += 1;
        Some((state.row.clone(), version))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
