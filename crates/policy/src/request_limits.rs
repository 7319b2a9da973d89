//! Limits on requests that backend servers state in their responses.

use proto::{RequestLimit, ServerKey};
use std::collections::HashMap;
use std::time::Duration;

/// Limit on the servers that are tracked.
const MAX_TRACKED_SERVERS: usize = 4_096;

/// Number of a change of the limits; later changes have higher numbers.
pub type LimitRevision = u64;

/// What a server last stated.
#[derive(Debug, Clone, Copy)]
struct StatedLimit {
    /// Requests per second from all gateways together; `None` without a limit.
    rate: Option<f64>,
    /// When this gateway first heard it.
    since: Duration,
    /// Arrival of the last response, at any gateway, that is known to say so.
    confirmed: Duration,
    /// Whether a response to this gateway says so.
    is_first_hand: bool,
    revision: LimitRevision,
}

/// What a report of a peer has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerReportEffect {
    /// The limit of the server is another one now.
    Changed,
    /// Nothing.
    Unchanged,
    /// Nothing, as this gateway itself has heard something else since; peers have to hear of that.
    Outdated,
}

/// The request limits of backend servers, as far as this gateway has heard of them from the servers
/// and from its peers.
///
/// Load pattern: with many gateways each one sends to a limited server only now and then. It would
/// hear of the limit from the server long after others, or, with no share of it, never of its end.
#[derive(Debug, Default)]
pub struct RequestLimits {
    stated: HashMap<ServerKey, StatedLimit>,
    revision: LimitRevision,
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
        let Some(known) = self.stated.get_mut(&server) else {
            return rate.is_some() && self.replace(server, rate, now, now, true);
        };
        if known.rate == rate {
            known.confirmed = now;
            known.is_first_hand = true;
            return false;
        }
        // A response to an earlier request may be older than what is known: it may lower the limit,
        // but not raise or end it.
        let is_later = sent_at >= known.since;
        (is_later || is_tighter(rate, known.rate)) && self.replace(server, rate, now, now, true)
    }

    /// Records what a peer has heard.
    pub fn on_peer_report(&mut self, report: &RequestLimit, now: Duration) -> PeerReportEffect {
        if report.rate.is_some_and(|rate| !is_valid(rate)) {
            return PeerReportEffect::Unchanged;
        }
        let confirmed = now.saturating_sub(report.age);
        match self.stated.get_mut(&report.server) {
            None if report.rate.is_none() => PeerReportEffect::Unchanged,
            Some(known) if known.rate == report.rate => {
                known.confirmed = known.confirmed.max(confirmed);
                PeerReportEffect::Unchanged
            }
            Some(known) if known.confirmed >= confirmed && known.is_first_hand => {
                self.revision += 1;
                known.revision = self.revision;
                PeerReportEffect::Outdated
            }
            Some(known) if known.confirmed >= confirmed => PeerReportEffect::Unchanged,
            _ => {
                self.replace(report.server, report.rate, confirmed, now, false);
                PeerReportEffect::Changed
            }
        }
    }

    /// What peers have to hear of that have heard of `revision`, and the present revision. That is
    /// what servers have stated to this gateway; everything for a peer that has heard of nothing.
    pub fn changed_since(
        &self,
        revision: Option<LimitRevision>,
        now: Duration,
    ) -> (Vec<RequestLimit>, LimitRevision) {
        let changed = self.stated.iter().filter(|(_, stated)| {
            revision.is_none_or(|revision| stated.is_first_hand && stated.revision > revision)
        });
        let limits = changed.map(|(server, stated)| RequestLimit {
            server: *server,
            rate: stated.rate,
            age: now.saturating_sub(stated.confirmed),
        });
        (limits.collect(), self.revision)
    }

    /// Number of the last change; 0 before the first one.
    pub fn revision(&self) -> LimitRevision {
        self.revision
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

    /// Replaces what is known of a server; always returns `true`.
    fn replace(
        &mut self,
        server: ServerKey,
        rate: Option<f64>,
        confirmed: Duration,
        now: Duration,
        is_first_hand: bool,
    ) -> bool {
        if self.stated.len() >= MAX_TRACKED_SERVERS && !self.stated.contains_key(&server) {
            self.make_room();
        }
        self.revision += 1;
        let stated = StatedLimit {
            rate,
            since: now,
            confirmed,
            is_first_hand,
            revision: self.revision,
        };
        self.stated.insert(server, stated);
        true
    }
}

impl RequestLimits {
    /// Drops servers without a limit, and where that is not enough, half of the others: those that were
    /// heard least lately.
    fn make_room(&mut self) {
        self.stated.retain(|_, stated| stated.rate.is_some());
        if self.stated.len() < MAX_TRACKED_SERVERS {
            return;
        }
        let mut times: Vec<_> = self
            .stated
            .values()
            .map(|stated| stated.confirmed)
            .collect();
        let (_, median, _) = times.select_nth_unstable(MAX_TRACKED_SERVERS / 2);
        let median = *median;
        self.stated.retain(|_, stated| stated.confirmed > median);
    }
}

/// Whether a server can state this limit. Another one would keep all requests from the server for good.
fn is_valid(rate: f64) -> bool {
    rate.is_finite() && rate >= 0.0
}

/// Whether `rate` allows less than `than`; `None` is no limit.
fn is_tighter(rate: Option<f64>, than: Option<f64>) -> bool {
    rate.unwrap_or(f64::INFINITY) < than.unwrap_or(f64::INFINITY)
}
