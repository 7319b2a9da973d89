//! The servers that were tried for a call.

use policy::BackendId;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Servers that were tried for a call, and are not chosen again for it.
#[derive(Debug, Default)]
pub struct TriedServers(Mutex<Vec<BackendId>>);

impl TriedServers {
    /// Adds a server.
    pub fn push(&self, server: BackendId) {
        self.lock().push(server);
    }

    /// Replaces a server that can be chosen again by others.
    pub fn replace(&self, server: &BackendId, others: Vec<BackendId>) {
        let mut tried = self.lock();
        tried.retain(|id| id != server);
        tried.extend(others);
    }

    /// All of them, in the order in which they were tried.
    pub fn list(&self) -> Vec<BackendId> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<BackendId>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
