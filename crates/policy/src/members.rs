//! The processes of the fleet as one node sees them.

use proto::{DomainId, Epoch, HostId, NodeId, ServerId};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A gateway or agent process, as another node sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Id of the process.
    pub node: NodeId,
    /// The host that it runs on.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Address at which peers reach it.
    pub address: SocketAddr,
    /// Backend server of an agent; `None` for a gateway.
    pub server: Option<ServerId>,
    /// Epoch of an agent's lease on its backend server; zero if unknown.
    pub epoch: Epoch,
    /// Whether the process is shutting down or its host is being removed.
    pub leaving: bool,
    /// Whether it has failed to respond and is not contacted for now.
    pub down: bool,
}

/// All processes that a node knows of.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Members {
    /// The processes by node id.
    pub nodes: BTreeMap<NodeId, Member>,
}

impl Members {
    /// The agent of a backend server. If there are several, one that is up is preferred, then one
    /// that is not leaving, then the one with the highest lease epoch.
    pub fn agent_of(&self, server: &str) -> Option<&Member> {
        self.nodes
            .values()
            .filter(|member| member.server.as_deref() == Some(server))
            .min_by_key(|member| (member.down, member.leaving, u64::MAX - member.epoch))
    }

    /// All processes without a backend server, including those that are down or leaving.
    pub fn gateways(&self) -> impl Iterator<Item = &Member> {
        self.nodes.values().filter(|member| member.server.is_none())
    }
}
