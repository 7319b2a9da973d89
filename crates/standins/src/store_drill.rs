//! Drills of the stand-in for the platform's store, after which it comes back from a copy.

use crate::platform_store::{PlatformStore, Row, RowKey};
use crate::stale_reads::FormerRows;
use crate::standin_server::aborted_response;
use async_io::Timer;
use hyper::Response;
use hyper::header::HeaderValue;
use runtime::Body;
use std::collections::BTreeMap;
use std::future::Future;
use std::time::Duration;

/// Header that states the era in all responses.
const ERA: &str = "store-era";

/// How often the store has come back from a copy, and whether it is away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StoreEra {
    number: u64,
    is_away: bool,
}

impl Default for StoreEra {
    fn default() -> Self {
        Self {
            number: 1,
            is_away: false,
        }
    }
}

/// Content of the store at some moment.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    rows: BTreeMap<RowKey, Row>,
    version: u64,
    history_start: u64,
}

impl PlatformStore {
    /// Copies the present content.
    pub fn copy(&self) -> StoreCopy {
        let state = self.lock();
        StoreCopy {
            rows: state.rows.clone(),
            version: state.version,
            history_start: state.history_start,
        }
    }

    /// Cuts all calls for the time `away`, and comes back from a copy in the next era: what was written since the
    /// copy is gone, and versions are given out again.
    pub async fn restore(&self, copy: StoreCopy, away: Duration) {
        {
            let mut state = self.lock();
            state.era.is_away = true;
            state.cuts += 1;
            state.pending_polls.clear();
        }
        Timer::after(away).await;
        let mut state = self.lock();
        state.rows = copy.rows;
        state.version = copy.version;
        state.history_start = copy.history_start;
        // Reads that are behind show the copy at most.
        state.former_rows = FormerRows::default();
        state.era = StoreEra {
            number: state.era.number + 1,
            is_away: false,
        };
    }

    /// Era that responses state.
    pub fn era(&self) -> u64 {
        self.lock().era.number
    }

    /// Adds the era to a response, which is cut if the store is away or comes back meanwhile.
    pub(crate) async fn in_one_era(
        &self,
        response: impl Future<Output = Response<Body>>,
    ) -> Response<Body> {
        let era = self.lock().era;
        if era.is_away {
            return aborted_response().await;
        }
        let mut response = response.await;
        if self.lock().era != era {
            return aborted_response().await;
        }
        let value = HeaderValue::from(era.number);
        response.headers_mut().insert(ERA, value);
        response
    }
}
