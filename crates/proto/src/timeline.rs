//! Events of the timeline, and the hybrid logical clock that orders them.

use crate::ids::{AttemptId, ConfigVersion, DomainId, NodeId, RequestId, ServerId, TeamId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Timestamp of a hybrid logical clock: wall time that never falls behind a received timestamp.
///
/// Follows Kulkarni et al., "Logical Physical Clocks" (2014).
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Microseconds since the Unix epoch, or those of the largest timestamp seen if it is ahead.
    pub micros: u64,
    /// Orders events that have the same microseconds.
    pub counter: u32,
}

/// A hybrid logical clock. The caller passes the wall time to each call.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: Stamp,
}

impl HybridClock {
    /// Returns the timestamp of a local event. `wall` is the time since the Unix epoch.
    pub fn tick(&mut self, wall: Duration) -> Stamp {
        self.advance(wall, Stamp::default())
    }

    /// Returns the timestamp for the receipt of a message that carries the sender's timestamp
    /// `remote`.
    pub fn receive(&mut self, wall: Duration, remote: Stamp) -> Stamp {
        self.advance(wall, remote)
    }

    fn advance(&mut self, wall: Duration, remote: Stamp) -> Stamp {
        let micros = u64::try_from(wall.as_micros()).unwrap_or(u64::MAX);
        let largest = self.last.max(remote);
        self.last = if micros > largest.micros {
            Stamp { micros, counter: 0 }
        } else {
            Stamp {
                micros: largest.micros,
                counter: largest.counter.saturating_add(1),
            }
        };
        self.last
    }
}

/// An event of a node's timeline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Time of the event.
    pub stamp: Stamp,
    /// Node at which it happened.
    pub node: NodeId,
    /// What happened.
    pub kind: EventKind,
    /// Request that it concerns, if any.
    pub request: Option<RequestId>,
    /// Team that it concerns, if any.
    pub team: Option<TeamId>,
    /// Backend server that it concerns, if any.
    pub server: Option<ServerId>,
    /// Further details in human-readable form; may be empty.
    pub detail: Box<str>,
}

/// Kind of an event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EventKind {
    /// A gateway received a request.
    Received,
    /// A gateway offered an attempt to an agent.
    Offered(AttemptId),
    /// An agent queued an attempt.
    Queued(AttemptId),
    /// An agent sent an attempt to its backend server.
    Dispatched(AttemptId),
    /// The first byte of the answer passed the node.
    FirstByte(AttemptId),
    /// The complete answer passed the node.
    Finished(AttemptId),
    /// The request was refused and did not run.
    Refused,
    /// The request failed and may have run.
    Failed,
    /// The caller, or the gateway at an agent, disconnected.
    Cancelled,
    /// The node activated a configuration.
    ConfigInForce(ConfigVersion),
    /// A failure domain was taken out of service.
    DomainOut(DomainId),
    /// A failure domain was brought back into service.
    DomainIn(DomainId),
    /// A node was heard from for the first time, or again after it had been considered down.
    NodeUp(NodeId),
    /// A node was considered down.
    NodeDown(NodeId),
    /// An agent acquired the lease on its backend server, with this epoch.
    LeaseAcquired(u64),
    /// An agent lost the lease with this epoch.
    LeaseLost(u64),
    /// A backend server went back into cold start.
    ColdStart,
    /// A backend server reached its full concurrency limit.
    Warm,
    /// An order was sent to an engine.
    Order,
    /// Engine memory without an owner was freed.
    Reclaimed,
    /// The process started to drain.
    Draining,
}
