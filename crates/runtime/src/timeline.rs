//! The events that this process contributes to the deployment's timeline.

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

/// A ring buffer of this process's events, with the hybrid logical clock that stamps them.
#[derive(Debug)]
pub struct Timeline {
    node: NodeId,
    capacity: usize,
    state: Mutex<State>,
}

impl Timeline {
    /// An empty ring buffer for at most `capacity` events (at least one).
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

    /// Name of the node that is written into each event.
    pub fn node(&self) -> &NodeId {
        &self.node
    }

    /// A new stamp for an outgoing message.
    pub fn stamp(&self) -> Stamp {
        self.lock().clock.tick(Clock::unix_time())
    }

    /// Advances the clock past the stamp of a received message.
    pub fn receive(&self, remote: Stamp) {
        self.lock().clock.receive(Clock::unix_time(), remote);
    }

    /// Appends an event; if the buffer is full, the oldest event is dropped.
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

    /// Events that are at most `max_age` old, oldest first.
    pub fn recent(&self, max_age: Duration) -> Vec<Event> {
        let oldest = Clock::unix_time().saturating_sub(max_age).as_micros();
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
