//! A notification of all tasks that wait.

use runtime::ShutdownSignal;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Wakes all waiting tasks at each notification.
#[derive(Debug, Default)]
pub struct Broadcast(Mutex<ShutdownSignal>);

impl Broadcast {
    /// Wakes the tasks that wait now.
    pub fn notify(&self) {
        std::mem::take(&mut *self.lock()).start();
    }

    /// Waits until a condition holds that only a notification can bring about.
    pub async fn until(&self, holds: impl Fn() -> bool) {
        loop {
            // A notification after the condition was read is not missed.
            let next = self.lock().clone();
            if holds() {
                return;
            }
            next.started().await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, ShutdownSignal> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
