//! Times at which a stand-in of a backend server was at work on requests.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Time that a server spent on a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Work {
    /// Request id header.
    pub request_id: Box<str>,
    /// Ids of the reservations that hold its prompt.
    pub reservations: Vec<Box<str>>,
    /// When the request arrived.
    pub began: Instant,
    /// When the response was complete or the caller had left; none while it is at work.
    pub ended: Option<Instant>,
}

/// A log of work; clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct WorkLog(Arc<Mutex<Vec<Work>>>);

/// Ends an entry when dropped.
#[derive(Debug)]
pub(crate) struct WorkGuard {
    log: WorkLog,
    index: usize,
}

impl WorkLog {
    pub(crate) fn begin(&self, request_id: &str, helpers: Option<&str>) -> WorkGuard {
        let helpers = helpers.unwrap_or_default().split(',');
        let reservations = helpers.filter_map(|helper| helper.split_once('/'));
        let mut entries = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        entries.push(Work {
            request_id: request_id.into(),
            reservations: reservations.map(|(_, id)| id.trim().into()).collect(),
            began: Instant::now(),
            ended: None,
        });
        WorkGuard {
            log: self.clone(),
            index: entries.len() - 1,
        }
    }

    pub(crate) fn entries(&self) -> Vec<Work> {
        let entries = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        entries.clone()
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        let mut entries = self.log.0.lock().unwrap_or_else(PoisonError::into_inner);
        entries[self.index].ended = Some(Instant::now());
    }
}
