//! Tracks since when a gateway has been the home gateway of a team, which lends the team's quota.

use crate::lending::home_gateway;
use proto::prelude::*;
use std::collections::BTreeSet;

/// Time for which a new home gateway lends no quota, so that the blocks of tokens lent by its
/// predecessor expire and the other gateways learn of the change.
pub const HOME_HANDOVER: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct GatewaySet {
    since: Duration,
    gateways: BTreeSet<NodeId>,
}

/// The sets of live gateways that a gateway has known recently, oldest first.
#[derive(Debug)]
pub struct HomeHistory {
    node: NodeId,
    history: Vec<GatewaySet>,
}

impl HomeHistory {
    /// Creates the history of a gateway that has just started and is not the home gateway of any
    /// team yet.
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            history: Vec::new(),
        }
    }

    /// Records the set of live gateways, which includes this one.
    pub fn set_gateways(&mut self, now: Duration, gateways: BTreeSet<NodeId>) {
        if self
            .history
            .last()
            .is_some_and(|last| last.gateways == gateways)
        {
            return;
        }
        self.history.push(GatewaySet {
            since: now,
            gateways,
        });
        let last_settled = self
            .history
            .iter()
            .rposition(|set| set.since + HOME_HANDOVER <= now);
        self.history.drain(..last_settled.unwrap_or(0));
    }

    /// The current home gateway of a team; `None` before the first [`HomeHistory::set_gateways`].
    pub fn home(&self, team: &str) -> Option<&NodeId> {
        home_gateway(team, self.history.last()?.gateways.iter())
    }

    /// Since when this gateway has been the team's home gateway without interruption; `None` if it
    /// is not now.
    pub fn home_since(&self, team: &str) -> Option<Duration> {
        let is_home =
            |set: &&GatewaySet| home_gateway(team, set.gateways.iter()) == Some(&self.node);
        let as_home = self.history.iter().rev().take_while(is_home);
        as_home.last().map(|set| set.since)
    }
}
