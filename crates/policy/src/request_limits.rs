//! Limits on requests that backend servers state in their responses.

use proto::ServerKey;
use std::collections::HashMap;
use std::time::Duration;

/// Number of servers above which those that state no limit any more are dropped.
const MAX_TRACKED_SERVERS: usize = 4_096;

/// What a server last stated.
#[derive(Debug, Clone, Copy)]
struct StatedLimit {
    /// Requests per second from all gateways together; `None` without a limit.
    rate: Option<f64>,
    /// When this was first heard.
    since: Duration,
}

/// The request limits of backend servers, as far as this gateway has heard of them.
#[derive(Debug, Default)]
pub struct RequestLimits {
    stated: HashMap<ServerKey, StatedLimit>,
}

impl RequestLimits {
    /// Records the limit in a response, if it states one. `sent_at` is when its request was sent.
    /// Returns whether the limit of the server has changed.
    pub fn on_response(
        &mut self,
        server: ServerKey,
        rate: Option<f64>,
        sent_at: Duration,
        now: Duration,
    ) -> bool {
        let known = self.stated.get(&server);
        if known.map_or(rate.is_none(), |known| known.rate == rate) {
            return false;
        }
        // A response to an earlier request may be older than what is known: it may lower the limit,
        // but not raise or end it.
        let is_later = known.is_none_or(|known| sent_at >= known.since);
        if !is_later && !is_tighter(rate, known.and_then(|known| known.rate)) {
            return false;
        }
        if self.stated.len() >= MAX_TRACKED_SERVERS {
            self.stated.retain(|_, stated| stated.rate.is_some());
        }
        self.stated.insert(server, StatedLimit { rate, since: now });
        true
    }

    /// Requests per second that a server takes from all gateways together; `None` without a limit.
    pub fn rate(&self, server: ServerKey) -> Option<f64> {
        self.stated.get(&server)?.rate
    }

    /// Number of servers with a limit.
    pub fn limited_servers(&self) -> usize {
        let limits = self.stated.values();
        limits.filter(|stated| stated.rate.is_some()).count()
    }
}

/// Whether `rate` allows less than `than`; `None` is no limit.
fn is_tighter(rate: Option<f64>, than: Option<f64>) -> bool {
    rate.unwrap_or(f64::INFINITY) < than.unwrap_or(f64::INFINITY)
}
