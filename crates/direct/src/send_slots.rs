//! Limit on the large transfers that a gateway sends to peers at one time.

use policy::MAX_CONTENT_SENDS;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Slots of transfers.
#[derive(Debug, Default)]
pub struct SendSlots(AtomicUsize);

/// A slot that is taken until it is dropped.
#[derive(Debug)]
pub struct SendSlot<'a>(&'a AtomicUsize);

impl SendSlots {
    /// Takes a slot; `None` if all are taken.
    pub fn claim(&self) -> Option<SendSlot<'_>> {
        let is_free = |taken| (taken < MAX_CONTENT_SENDS).then_some(taken + 1);
        let claimed = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, is_free);
        claimed.ok().map(|_| SendSlot(&self.0))
    }
}

impl Drop for SendSlot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
