//! Whether a server may have run a request that was sent to it.

use crate::call::Call;
use std::sync::atomic::{AtomicBool, Ordering};

/// One send of a call, which counts as a possible run unless the server says otherwise.
///
/// It counts if it is dropped while the response is awaited, as when the caller disconnects.
#[derive(Debug)]
pub struct PossibleRun<'a> {
    call: &'a Call,
    is_sent: AtomicBool,
    is_counted: AtomicBool,
}

impl<'a> PossibleRun<'a> {
    /// A send that has not begun.
    pub fn new(call: &'a Call) -> Self {
        Self {
            call,
            is_sent: AtomicBool::new(false),
            is_counted: AtomicBool::new(false),
        }
    }

    /// Records that the request is being sent.
    pub fn on_sent(&self) {
        self.is_sent.store(true, Ordering::Relaxed);
    }

    /// Counts it.
    pub fn count(&self) {
        if !self.is_counted.swap(true, Ordering::Relaxed) {
            self.call.add_possible_run();
        }
    }

    /// Records that the server did not run the request.
    pub fn on_not_run(&self) {
        self.is_sent.store(false, Ordering::Relaxed);
        if self.is_counted.swap(false, Ordering::Relaxed) {
            self.call.withdraw_possible_run();
        }
    }
}

impl Drop for PossibleRun<'_> {
    fn drop(&mut self) {
        if self.is_sent.load(Ordering::Relaxed) {
            self.count();
        }
    }
}
