//! Settings, events and actions of the spread of configurations.

use declarations::Declarations;
use proto::ConfigMessage;
use proto::prelude::*;

/// Number of a question; an answer carries the number of its question.
pub type RequestSeq = u64;

/// Settings of a [`ConfigGossip`].
#[derive(Debug, Clone, PartialEq)]
pub struct GossipConfig {
    /// The node.
    pub node: NodeId,
    /// Neighbours that a new version is pushed to.
    pub neighbours: usize,
    /// Mean time between exchanges of summaries.
    pub exchange_interval: Duration,
    /// Polls of the store a second that all nodes make together.
    pub fleet_polls_per_second: f64,
    /// Longest mean time between polls.
    pub max_poll_interval: Duration,
    /// Shortest mean time between polls.
    pub min_poll_interval: Duration,
    /// Peers that a node without a configuration asks before it takes the highest version.
    pub bootstrap_peers: usize,
    /// Time that such a node waits for their answers.
    pub bootstrap_timeout: Duration,
    /// Time after which an unanswered question is asked elsewhere.
    pub retry_interval: Duration,
    /// Nodes that read a whole version from the store at once, of those that lack it.
    pub content_readers: usize,
    /// Time after which any node does.
    pub content_read_deadline: Duration,
    /// Time for which an unreachable peer is no neighbour.
    pub failure_backoff: Duration,
    /// A wake-up later than this means that the node was paused and must confirm its version.
    pub max_wakeup_delay: Duration,
    /// Time without contact after a pause, or with a newer version out of reach, from which a node
    /// goes on by what it knows.
    pub isolation_timeout: Duration,
    /// Changes larger than this are not pushed but announced, in bytes.
    pub max_push_bytes: usize,
    /// Seed of all choices.
    pub seed: u64,
}

impl GossipConfig {
    /// Defaults for one node.
    pub fn for_node(node: &str, seed: u64) -> Self {
        Self {
            node: node.into(),
            neighbours: 4,
            exchange_interval: Duration::from_secs(2),
            fleet_polls_per_second: 200.0,
            max_poll_interval: Duration::from_secs(10),
            min_poll_interval: Duration::from_secs(1),
            bootstrap_peers: 3,
            bootstrap_timeout: Duration::from_secs(2),
            retry_interval: Duration::from_millis(500),
            content_readers: 8,
            content_read_deadline: Duration::from_secs(3),
            failure_backoff: Duration::from_secs(10),
            max_wakeup_delay: Duration::from_secs(1),
            isolation_timeout: Duration::from_secs(5),
            max_push_bytes: 1024,
            seed,
        }
    }

    /// Mean time between polls of one of `nodes` nodes.
    pub fn poll_interval(&self, nodes: usize) -> Duration {
        let fair = Duration::from_secs_f64(nodes as f64 / self.fleet_polls_per_second);
        fair.clamp(self.min_poll_interval, self.max_poll_interval)
    }
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum GossipEvent {
    /// The peers that are up, without the node itself.
    Peers(Vec<NodeId>),
    /// A peer opened an exchange; [`GossipAction::Reply`] answers it.
    Request(ConfigMessage),
    /// A peer answered an exchange.
    Response {
        /// Number of the exchange.
        seq: RequestSeq,
        /// The answer.
        message: ConfigMessage,
    },
    /// A peer did not answer an exchange.
    Unreachable(NodeId),
    /// A message of another kind told a peer's version.
    PeerVersion {
        /// The peer, where it is known by name.
        from: Option<NodeId>,
        /// Its version.
        version: ConfigVersion,
    },
    /// The store told the committed version, zero where there is none.
    StoreHead {
        /// Number of the read.
        seq: RequestSeq,
        /// The version.
        version: ConfigVersion,
    },
    /// The store gave whole declarations, or this node committed them.
    StoreContent {
        /// Number of the read, zero for a commit.
        seq: RequestSeq,
        /// Their version.
        version: ConfigVersion,
        /// The declarations.
        declared: Box<Declarations>,
    },
    /// The store did not answer.
    StoreFailed,
    /// Time passed.
    Tick,
}

/// What the driver must do.
#[derive(Debug, Clone, PartialEq)]
pub enum GossipAction {
    /// Opens an exchange.
    Exchange {
        /// Its number.
        seq: RequestSeq,
        /// With whom.
        peer: NodeId,
        /// What to send.
        message: ConfigMessage,
    },
    /// Answers the exchange that was just handled.
    Reply(ConfigMessage),
    /// Reads the committed version from the store.
    ReadHead(RequestSeq),
    /// Reads version and content from the store.
    ReadContent(RequestSeq),
    /// A version came into force.
    Activated(ConfigVersion),
}

/// After a pause the version may be an old one, until a question asked since is answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Unconfirmed {
    pub(crate) since: Duration,
    pub(crate) first_seq: RequestSeq,
}
