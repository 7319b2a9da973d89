//! The calls that have not ended.

use policy::{OpenCallCounts, ServiceName};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Id of a call within the process.
pub type CallNumber = u64;

/// Calls that have not ended.
#[derive(Debug, Default)]
pub struct OpenCalls(Mutex<OpenIds>);

#[derive(Debug, Default)]
struct OpenIds {
    next: CallNumber,
    calls: HashMap<CallNumber, OpenCall>,
    by_service: HashMap<ServiceName, usize>,
}

#[derive(Debug)]
struct OpenCall {
    id: Box<str>,
    service: ServiceName,
}

impl OpenCalls {
    /// Adds a call of a service with the id of its request; returns its number.
    pub fn add(&self, id: &str, service: &ServiceName) -> CallNumber {
        let mut open = self.lock();
        let number = open.next;
        open.next += 1;
        let call = OpenCall {
            id: id.into(),
            service: service.clone(),
        };
        open.calls.insert(number, call);
        *open.by_service.entry(service.clone()).or_default() += 1;
        number
    }

    /// Removes a call that has ended.
    pub fn remove(&self, number: CallNumber) {
        let mut open = self.lock();
        let Some(call) = open.calls.remove(&number) else {
            return;
        };
        if let Some(count) = open.by_service.get_mut(&call.service) {
            *count -= 1;
            if *count == 0 {
                open.by_service.remove(&call.service);
            }
        }
    }

    /// How many have not ended.
    pub fn count(&self) -> usize {
        self.lock().calls.len()
    }

    /// How many have not ended, in all and of a service.
    pub fn counts(&self, service: &ServiceName) -> OpenCallCounts {
        let open = self.lock();
        OpenCallCounts {
            all: open.calls.len(),
            of_service: open.by_service.get(service).copied().unwrap_or(0),
        }
    }

    /// Ids of the requests of at most `limit` of them.
    pub fn some_ids(&self, limit: usize) -> Vec<Box<str>> {
        let open = self.lock();
        let ids = open.calls.values().map(|call| call.id.clone());
        ids.take(limit).collect()
    }

    fn lock(&self) -> MutexGuard<'_, OpenIds> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
