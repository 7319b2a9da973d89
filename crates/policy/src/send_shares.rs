//! Shares of the rate at which all gateways together may send requests to one server.

use crate::fleet_load::server_key;
use proto::ServerKey;
use xxhash_rust::xxh3::xxh3_64;

/// Fraction of the bound that is given out. The rest covers gateways whose lists of the others
/// differ for a moment.
const GIVEN_FRACTION: f64 = 0.75;

/// Number of gateways to reckon with while the others are not known yet. More than a deployment has.
const ASSUMED_GATEWAYS: usize = 384;

/// Divides the bound on requests per second to a server among the gateways, without messages.
///
/// Load pattern: a server falls back into cold start unnoticed, or returns and looks idle to every
/// gateway. Each gateway gets an equal share. Where that would be less than one request, each server
/// is left to as many gateways as the bound allows, chosen by a hash that all of them compute alike.
/// While all gateways start at once, none knows the others: each then sends one request per second
/// to its own random part of the servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendShares {
    own: u64,
    /// Absent while the other gateways are not known yet.
    peers: Option<Vec<u64>>,
}

impl SendShares {
    /// Shares of the gateway `own`, which has just started and does not know the others.
    pub fn of_starting(own: &str) -> Self {
        Self {
            own: server_key(own),
            peers: None,
        }
    }

    /// Shares of the gateway `own` beside `peers`, by their names.
    pub fn new<'a>(own: &str, peers: impl Iterator<Item = &'a str>) -> Self {
        let mut peers: Vec<_> = peers.map(server_key).collect();
        peers.sort_unstable();
        Self {
            own: server_key(own),
            peers: Some(peers),
        }
    }

    /// Number of gateways, this one included; a high assumption while they are not known.
    pub fn gateways(&self) -> usize {
        self.peers
            .as_ref()
            .map_or(ASSUMED_GATEWAYS, |peers| peers.len() + 1)
    }

    /// Requests that this gateway may send to a server per second, if all gateways together may send
    /// `bound`; no limit if that is `None`.
    pub fn limit(&self, server: ServerKey, bound: Option<f64>) -> usize {
        let Some(bound) = bound else {
            return usize::MAX;
        };
        let given = given_requests(bound);
        let equal_share = given / self.gateways();
        if equal_share > 0 {
            return equal_share;
        }
        usize::from(self.is_among_first(server, given))
    }

    /// Number of requests to a server that this gateway may send, if all gateways together may send
    /// `total`.
    pub fn share_of(&self, server: ServerKey, total: f64) -> usize {
        let given = given_requests(total);
        let remainder = given % self.gateways();
        given / self.gateways() + usize::from(self.is_among_first(server, remainder))
    }

    /// Number of requests for all gateways together of which `given` are given out.
    pub fn needed_total(&self, given: f64) -> f64 {
        given / GIVEN_FRACTION
    }

    /// Whether this gateway is one of the first `count` in an order that is different for each server
    /// and the same at all gateways.
    pub fn is_among_first(&self, server: ServerKey, count: usize) -> bool {
        let rank = |gateway: u64| xxh3_64(&(gateway ^ server).to_le_bytes());
        let own = rank(self.own);
        match &self.peers {
            Some(peers) => peers.iter().filter(|peer| rank(**peer) > own).count() < count,
            None => own % (ASSUMED_GATEWAYS as u64) < count as u64,
        }
    }

    /// Fraction of the gateways that may send requests to one server.
    pub fn sender_fraction(&self, bound: Option<f64>) -> f64 {
        let senders = bound.map_or(usize::MAX, given_requests);
        (senders as f64 / self.gateways() as f64).min(1.0)
    }
}

/// Requests per second that are given out of a bound.
fn given_requests(bound: f64) -> usize {
    ((bound * GIVEN_FRACTION) as usize).max(1)
}

/// Requests per second that all gateways together may send to a cold server; `None` if the rate that
/// it tolerates is not declared.
pub fn cold_send_bound(cold_rate: f64, overage: f64, slack: f64) -> Option<f64> {
    (cold_rate > 0.0).then_some(cold_rate * overage + slack)
}
