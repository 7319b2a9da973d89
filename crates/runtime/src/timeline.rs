//! The process's part of the time line.

use crate::clock::Clock;
use proto::{Event, EventKind, HybridClock, NodeId, RequestId, ServerId, Stamp, TeamId};
use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

#[derive(Debug)]
struct State {
    clock: HybridClock,
    events: VecDeque<Event>,
}

/// A bounded ring of events, with the hybrid logical clock that stamps them.
#[derive(Debug)]
pub struct Timeline {
    node: NodeId,
    capacity: usize,
    state: Mutex<State>,
}

impl Timeline {
    /// A ring of at most `capacity` events.
    pub fn new(node: NodeId, capacity: usize) -> Self {
        let state = State {
            clock: HybridClock::default(),
            events: VecDeque::new(),
        };
        Self {
            node,
            capacity: capacity.max(1),
            state: Mutex::new(state),
        }
    }

    /// The node's name.
    pub fn node(&self) -> &NodeId {
        &self.node
    }

    /// A stamp for a message that leaves.
    pub fn stamp(&self) -> Stamp {
        self.lock().clock.tick(Clock::unix_time())
    }

    /// Notes the stamp of a message that arrived.
    pub fn receive(&self, remote: Stamp) {
        self.lock().clock.receive(Clock::unix_time(), remote);
    }

    /// Records an event.
    pub fn record(
        &self,
        kind: EventKind,
        request: Option<RequestId>,
        team: Option<TeamId>,
        server: Option<ServerId>,
        detail: impl Into<Box<str>>,
    ) {
        let detail = detail.into();
        let mut state = self.lock();
        let stamp = state.clock.tick(Clock::unix_time());
        if state.events.len() == self.capacity {
            state.events.pop_front();
        }
        let node = self.node.clone();
        state.events.push_back(Event {
            stamp,
            node,
            kind,
            request,
            team,
            server,
            detail,
        });
    }

    /// Events not older than `age`, oldest first.
    pub fn recent(&self, age: Duration) -> Vec<Event> {
        let oldest = Clock::unix_time().saturating_sub(age).as_micros();
        let state = self.lock();
        let recent = state
            .events
            .iter()
            .filter(|event| u128::from(event.stamp.micros) >= oldest);
        recent.cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
