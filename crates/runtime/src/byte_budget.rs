//! A bound on the memory that buffered bodies use.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// A limit on the bytes reserved at one time; clones share it.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    limit: u64,
    used: Arc<AtomicU64>,
    whole: Option<Box<Self>>,
}

/// Reserved bytes, returned to their [`ByteBudget`] on drop.
#[derive(Debug)]
pub struct ByteReservation {
    bytes: u64,
    used: Arc<AtomicU64>,
    _whole: Option<Box<Self>>,
}

impl ByteBudget {
    /// A budget of `limit` bytes, all of them free.
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            used: Arc::default(),
            whole: None,
        }
    }

    /// A budget of `limit` bytes whose reservations also count in this one.
    pub fn part(&self, limit: u64) -> Self {
        Self {
            whole: Some(Box::new(self.clone())),
            ..Self::new(limit)
        }
    }

    /// Reserves `bytes` without waiting; `None` if fewer are free.
    pub fn try_reserve(&self, bytes: u64) -> Option<ByteReservation> {
        let whole = match &self.whole {
            Some(whole) => Some(Box::new(whole.try_reserve(bytes)?)),
            None => None,
        };
        let add = |used: u64| used.checked_add(bytes).filter(|sum| *sum <= self.limit);
        self.used
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add)
            .ok()?;
        Some(ByteReservation {
            bytes,
            used: self.used.clone(),
            _whole: whole,
        })
    }

    /// Bytes that are reserved now.
    pub fn used(&self) -> u64 {
        self.used.load(Ordering::Acquire)
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
