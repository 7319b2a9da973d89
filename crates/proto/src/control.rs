//! Messages for configuration, membership, team limits and operators' queries.

use crate::ids::{ConfigVersion, DomainId, Epoch, HostId, NodeId, ServerId, TeamId};
use crate::timeline::{Event, Stamp};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Which configuration a node has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigSummary {
    /// Node that sends the summary.
    pub node: NodeId,
    /// Configuration version of the node; zero if it has none.
    pub version: ConfigVersion,
    /// Whether the node has been in contact with other nodes since its process was last paused;
    /// if not, its version may be outdated.
    pub confirmed: bool,
}

/// Gossip message: a summary, a request for content, and content that the receiver may lack.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigMessage {
    /// State of the sender.
    pub summary: ConfigSummary,
    /// Content that the sender requests.
    pub want: ConfigWant,
    /// Content that the receiver is believed to lack.
    pub content: ConfigContent,
    /// Nodes that the sender has recently heard of.
    pub sightings: Vec<NodeSighting>,
}

/// What the sender of a [`ConfigMessage`] requests in the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigWant {
    /// Only the summary.
    Summary,
    /// Everything newer than the sender's version: changes if they are known, else the first part
    /// of the whole content.
    Newer,
    /// A part of the whole content.
    Part {
        /// Version to which the earlier parts belong.
        version: ConfigVersion,
        /// Number of bytes that the sender already has.
        offset: u64,
    },
}

/// Content of a [`ConfigMessage`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ConfigContent {
    /// No content.
    Empty,
    /// Changes, oldest first; each applies to the version that the one before it leads to.
    Changes(Vec<ConfigChange>),
    /// Part of the declarations, encoded as JSON.
    Part {
        /// Configuration version of the declarations.
        version: ConfigVersion,
        /// Offset of the part, in bytes.
        offset: u64,
        /// Size of the whole JSON, in bytes.
        total: u64,
        /// Bytes of the part.
        data: Bytes,
    },
}

/// Difference between one configuration version and a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Version to which the change applies.
    pub from: ConfigVersion,
    /// Version that results from it.
    pub to: ConfigVersion,
    /// Hash of the JSON of the resulting declarations, to verify that the change was applied to the
    /// right content.
    pub digest: u64,
    /// Difference between the declarations, encoded as JSON.
    pub change: Bytes,
}

/// Membership entry: what the sender knows about a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeSighting {
    /// Name of the node.
    pub node: NodeId,
    /// Host on which it runs.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Address at which it accepts links.
    pub address: SocketAddr,
    /// Backend server of an agent; `None` for a gateway.
    pub server: Option<ServerId>,
    /// Epoch of an agent's lease on its backend server.
    pub epoch: Epoch,
    /// Configuration version that the node has confirmed.
    pub config: ConfigVersion,
    /// Time since the node was last heard from.
    pub age: Duration,
    /// Whether the node is draining or leaving.
    pub leaving: bool,
}

/// Asks a team's home gateway, which enforces the team's limit, to lend tokens of that limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LendRequest {
    /// Gateway that asks.
    pub borrower: NodeId,
    /// Team whose limit is concerned.
    pub team: TeamId,
    /// Number of tokens requested.
    pub tokens: u64,
    /// Number of tokens of earlier blocks that were not used and are returned.
    pub returned: u64,
}

/// Answer of a home gateway to a [`LendRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LendAnswer {
    /// Number of tokens lent as one block; zero if there are none.
    pub tokens: u64,
    /// Time for which the block may be used.
    pub valid: Duration,
    /// Time after which to ask again if nothing was lent.
    pub retry_after: Duration,
}

/// Query about a node's own state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum QueryRequest {
    /// Asks for table rows of one kind.
    Rows {
        /// Parsed query of the query language, encoded as JSON.
        query: Box<str>,
    },
    /// Asks for events of the node's timeline.
    Timeline {
        /// Maximum age of the events.
        since: Duration,
    },
}

/// Answer to a [`QueryRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueryAnswer {
    /// Node that answers.
    pub node: NodeId,
    /// Clock of the node.
    pub stamp: Stamp,
    /// Rows, encoded as JSON.
    pub rows: Box<str>,
    /// Events of the timeline, oldest first.
    pub events: Vec<Event>,
    /// Error message if the query failed.
    pub error: Option<Box<str>>,
}
