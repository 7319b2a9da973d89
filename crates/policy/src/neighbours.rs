//! Selection of the peers with which a node exchanges configurations.

use proto::NodeId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// All peers of a node, and the few that are selected as its neighbours.
#[derive(Debug)]
pub(crate) struct Neighbours {
    own: NodeId,
    max_neighbours: usize,
    /// Sorted by a hash of the ids of this node and the peer, so that each node has its own order.
    peers: Vec<NodeId>,
    /// Sorted by the distance from this node on a hash ring that all nodes share.
    ring: Vec<NodeId>,
    selected: Vec<NodeId>,
    failed_until: BTreeMap<NodeId, Duration>,
}

impl Neighbours {
    pub(crate) fn new(own: NodeId, max_neighbours: usize) -> Self {
        Self {
            own,
            max_neighbours,
            peers: Vec::new(),
            ring: Vec::new(),
            selected: Vec::new(),
            failed_until: BTreeMap::new(),
        }
    }

    /// The current neighbours.
    pub(crate) fn selected(&self) -> &[NodeId] {
        &self.selected
    }

    /// All peers that are up, without this node.
    pub(crate) fn peers(&self) -> &[NodeId] {
        &self.peers
    }

    /// Replaces the set of peers that are up and selects the neighbours anew.
    pub(crate) fn set_peers(&mut self, now: Duration, peers: Vec<NodeId>) {
        let own = self.own.clone();
        let own_position = xxh3_64(own.as_bytes());
        let distance = |peer: &NodeId| xxh3_64(peer.as_bytes()).wrapping_sub(own_position);
        let rank = |peer: &NodeId| xxh3_64(format!("{own}\n{peer}").as_bytes());
        self.peers = peers;
        self.peers.retain(|peer| *peer != own);
        self.peers.sort_by_cached_key(rank);
        self.ring = self.peers.clone();
        self.ring.sort_by_cached_key(distance);
        let known: BTreeSet<&NodeId> = self.peers.iter().collect();
        self.failed_until.retain(|peer, _| known.contains(peer));
        self.reselect(now);
    }

    /// Excludes an unreachable peer from the selection until the given time.
    pub(crate) fn exclude(&mut self, now: Duration, peer: NodeId, until: Duration) {
        self.failed_until.insert(peer, until);
        self.reselect(now);
    }

    /// Makes a peer that answered eligible again, from the next selection on.
    pub(crate) fn clear_failure(&mut self, peer: &NodeId) {
        self.failed_until.remove(peer);
    }

    /// Selects the neighbours among the peers that have not failed recently.
    ///
    /// Half of them are the successors on the shared ring, so that every node is a neighbour of
    /// another one. The others are spread by hash over the fleet, which keeps the paths between
    /// nodes short.
    pub(crate) fn reselect(&mut self, now: Duration) {
        self.failed_until.retain(|_, until| *until > now);
        let is_up = |peer: &&NodeId| !self.failed_until.contains_key(*peer);
        let successors = self.ring.iter().filter(is_up);
        let mut chosen: Vec<NodeId> = successors.take(self.max_neighbours / 2).cloned().collect();
        for peer in self.peers.iter().filter(is_up) {
            if chosen.len() >= self.max_neighbours {
                break;
            }
            if !chosen.contains(peer) {
                chosen.push(peer.clone());
            }
        }
        self.selected = chosen;
    }
}
