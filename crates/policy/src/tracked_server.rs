//! What is known of one server that refuses connections or is named as at fault.

use proto::{DomainKey, ServerState};
use std::time::Duration;

/// Time for which a server that has refused a connection is avoided.
const AVOID_TIME: Duration = Duration::from_secs(2);
/// Time for which a server is avoided that another server's response has named as at fault. The gateway
/// which got the response avoids it for as long after a first failure. A trial connection would not
/// end it, as a server that has stopped still accepts connections.
const NAMED_AVOID_TIME: Duration = Duration::from_millis(600);
/// Peers hear again of a server that still refuses connections, or is named as at fault again, after
/// this time.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// A refusal that was not seen again for this time is forgotten; the row of its server is gone by then.
const FORGET_TIME: Duration = Duration::from_secs(10);

/// A server that has refused connections and has not accepted one since.
#[derive(Debug, Clone, Copy)]
pub struct Refusal {
    /// When it was first seen to refuse one.
    pub first_at: Duration,
    /// When it was last seen to refuse one.
    pub last_at: Duration,
    /// Whether this gateway has seen it and reports it to peers.
    pub is_reported: bool,
}

/// What is known of one server that refuses connections or was named as at fault.
#[derive(Debug)]
pub struct TrackedServer {
    /// Its failure domain.
    pub domain: DomainKey,
    /// Absent if it has accepted a connection since.
    pub refusal: Option<Refusal>,
    /// When it last accepted a connection of any gateway.
    pub accepted_at: Option<Duration>,
    /// Whether this gateway has seen that.
    pub is_own_acceptance: bool,
    /// Revision and time of the last change that peers have to hear of.
    pub reported: Option<(u64, Duration)>,
    /// When peers were last told that it refuses connections. A server may refuse and accept them in
    /// turn at the rate of requests.
    pub refusal_reported_at: Option<Duration>,
    /// When peers were last told that it accepts connections again.
    pub acceptance_reported_at: Option<Duration>,
    /// When it last sent data to a gateway.
    pub data_at: Option<Duration>,
    /// Whether that was this gateway.
    pub is_own_data: bool,
    /// Whether the last change is that it has sent this gateway data after it was named as at fault.
    pub contradicts: bool,
    /// When a response to any gateway last named it as at fault. Absent if it has sent data since.
    pub named_at: Option<Duration>,
    /// When a response to this gateway last did.
    pub own_named_at: Option<Duration>,
}

impl TrackedServer {
    /// A server of a failure domain of which nothing is known.
    pub fn new(domain: DomainKey) -> Self {
        Self {
            domain,
            refusal: None,
            accepted_at: None,
            is_own_acceptance: false,
            reported: None,
            refusal_reported_at: None,
            acceptance_reported_at: None,
            data_at: None,
            is_own_data: false,
            contradicts: false,
            named_at: None,
            own_named_at: None,
        }
    }

    /// Records that a connection to it was refused, or had no reply, at `at`.
    pub fn refuse(&mut self, at: Duration, is_reported: bool) {
        let known = self.refusal.unwrap_or(Refusal {
            first_at: at,
            last_at: at,
            is_reported,
        });
        self.refusal = Some(Refusal {
            first_at: known.first_at.min(at),
            last_at: known.last_at.max(at),
            is_reported: known.is_reported || is_reported,
        });
    }

    /// Records that it accepted a connection at `at`.
    pub fn accept(&mut self, at: Duration, is_own: bool) {
        if self.accepted_at.is_none_or(|known| known <= at) {
            self.accepted_at = Some(at);
            self.is_own_acceptance = is_own;
        }
        self.refusal = self.refusal.filter(|refusal| refusal.last_at > at);
    }

    /// Records that it sent data at `at`.
    pub fn on_data(&mut self, at: Duration, is_own: bool) {
        if self.data_at < Some(at) {
            self.data_at = Some(at);
            self.is_own_data = is_own;
        }
        self.named_at = self.named_at.filter(|named| *named > at);
        self.own_named_at = self.own_named_at.filter(|named| *named > at);
    }

    /// What this gateway has seen last that peers may have to hear of, and when.
    pub fn news(&self) -> Option<(ServerState, Duration)> {
        if let Some(refusal) = self.refusal.filter(|refusal| refusal.is_reported) {
            return Some((ServerState::Refuses, refusal.last_at));
        }
        let accepted_at = self.accepted_at.filter(|_| self.is_own_acceptance);
        if let Some(at) = self.own_named_at.filter(|at| accepted_at < Some(*at)) {
            return Some((ServerState::NamedAtFault, at));
        }
        if self.refusal.is_some() {
            return None;
        }
        if self.contradicts {
            return Some((ServerState::Answers, self.data_at?));
        }
        Some((ServerState::Accepts, accepted_at?))
    }

    /// Whether it refused a connection or was named as at fault a moment ago.
    pub fn is_avoided(&self, now: Duration) -> bool {
        let refusal = self.refusal;
        let is_refused = refusal.is_some_and(|refusal| now < refusal.last_at + AVOID_TIME);
        is_refused || self.is_named(now)
    }

    /// Whether it was named as at fault a moment ago.
    pub fn is_named(&self, now: Duration) -> bool {
        self.named_at.is_some_and(|at| now < at + NAMED_AVOID_TIME)
    }

    /// Whether its refusal was not seen again for so long that nothing is known of it.
    pub fn is_forgotten(&self, now: Duration) -> bool {
        let refusal = self.refusal;
        refusal.is_some_and(|refusal| now >= refusal.last_at + FORGET_TIME)
    }

    /// Whether peers may be told of it again.
    pub fn is_report_due(&self, now: Duration) -> bool {
        is_due(self.reported.map(|(_, at)| at), now)
    }
}

/// Whether `REPORT_INTERVAL` is over since the last report, if there was one.
pub fn is_due(last: Option<Duration>, now: Duration) -> bool {
    last.is_none_or(|last| now >= last + REPORT_INTERVAL)
}
