//! Times at which a process or a link of a soak was disturbed.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// What was disturbed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpsetKind {
    /// The process got SIGTERM, which is planned work.
    Stop,
    /// The process was killed or frozen.
    Process,
    /// A link failed.
    Link,
}

/// A disturbance of a process or a link.
#[derive(Debug, Clone, Copy)]
pub struct Upset {
    /// What was disturbed.
    pub kind: UpsetKind,
    /// When it began.
    pub from: Instant,
    /// When the process or the link was there again; none if it still is not.
    pub until: Option<Instant>,
}

impl Upset {
    pub(crate) fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && self.until.is_none_or(|until| until >= from)
    }
}

/// A log of disturbances; clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct UpsetLog(Arc<Mutex<Vec<Upset>>>);

/// Ends a disturbance when dropped.
#[derive(Debug)]
pub(crate) struct UpsetGuard {
    log: UpsetLog,
    index: usize,
}

impl UpsetLog {
    pub(crate) fn begin(&self, kind: UpsetKind) -> UpsetGuard {
        let mut upsets = self.lock();
        upsets.push(Upset {
            kind,
            from: Instant::now(),
            until: None,
        });
        UpsetGuard {
            log: self.clone(),
            index: upsets.len() - 1,
        }
    }

    pub(crate) fn upsets(&self) -> Vec<Upset> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Upset>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for UpsetGuard {
    fn drop(&mut self) {
        self.log.lock()[self.index].until = Some(Instant::now());
    }
}
