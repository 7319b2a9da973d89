//! Whether a request may have run.

use proto::Execution;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether a request may have run by now; clones share it. It outlives the work on the request, which is
/// dropped when the process ends.
#[derive(Debug, Clone, Default)]
pub struct RunRecord(Arc<AtomicBool>);

impl RunRecord {
    /// Records what is known now.
    pub fn set(&self, execution: Execution) {
        self.0
            .store(execution == Execution::MayHaveRun, Ordering::Relaxed);
    }

    /// What is known.
    pub fn get(&self) -> Execution {
        match self.0.load(Ordering::Relaxed) {
            true => Execution::MayHaveRun,
            false => Execution::NotRun,
        }
    }
}
