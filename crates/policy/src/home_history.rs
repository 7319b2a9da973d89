//! Since when a gateway is the home of a team, by the gateways that it has known.

use crate::lending::home_gateway;
use proto::prelude::*;
use std::collections::BTreeSet;

/// Time for which a new home lends nothing: the last blocks of its forerunner lapse, and the other
/// gateways learn of the change.
pub const HOME_HANDOVER: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct Known {
    since: Duration,
    gateways: BTreeSet<NodeId>,
}

/// The gateways that one gateway has known lately.
#[derive(Debug)]
pub struct HomeHistory {
    node: NodeId,
    known: Vec<Known>,
}

impl HomeHistory {
    /// The history of a gateway that has just started, and so is no team's home yet.
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            known: Vec::new(),
        }
    }

    /// Notes the live gateways, this one among them.
    pub fn set_gateways(&mut self, now: Duration, gateways: BTreeSet<NodeId>) {
        if self
            .known
            .last()
            .is_some_and(|last| last.gateways == gateways)
        {
            return;
        }
        self.known.push(Known {
            since: now,
            gateways,
        });
        let settled = self
            .known
            .iter()
            .rposition(|known| known.since + HOME_HANDOVER <= now);
        self.known.drain(..settled.unwrap_or(0));
    }

    /// The team's home as known now.
    pub fn home(&self, team: &str) -> Option<&NodeId> {
        home_gateway(team, self.known.last()?.gateways.iter())
    }

    /// Since when this gateway is the team's home without a break; none where it is not.
    pub fn home_since(&self, team: &str) -> Option<Duration> {
        let is_home =
            |known: &&Known| home_gateway(team, known.gateways.iter()) == Some(&self.node);
        let held = self.known.iter().rev().take_while(is_home);
        held.last().map(|known| known.since)
    }
}
