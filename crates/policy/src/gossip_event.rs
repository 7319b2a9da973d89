//! Settings, events and actions of [`ConfigGossip`](crate::ConfigGossip). The store in their names
//! is the table service.

use declarations::Declarations;
use proto::ConfigMessage;
use proto::prelude::*;

/// Sequence number of a request to a peer or the table service. The response carries the same
/// number.
pub type RequestSeq = u64;

/// Settings of a [`ConfigGossip`](crate::ConfigGossip).
#[derive(Debug, Clone, PartialEq)]
pub struct GossipConfig {
    /// Id of this node.
    pub node: NodeId,
    /// Number of neighbours that a new version is pushed to.
    pub neighbours: usize,
    /// Mean time between exchanges of summaries.
    pub exchange_interval: Duration,
    /// Polls of the table service per second, summed over all nodes.
    pub fleet_polls_per_second: f64,
    /// Upper bound on the mean time between polls of one node.
    pub max_poll_interval: Duration,
    /// Lower bound on the mean time between polls of one node.
    pub min_poll_interval: Duration,
    /// Number of peers that a node without a configuration waits for before it pulls the highest
    /// version.
    pub bootstrap_peers: usize,
    /// Time after which such a node pulls without having heard from all of them.
    pub bootstrap_timeout: Duration,
    /// Mean time after which an unanswered request is retried, possibly at another source.
    pub retry_interval: Duration,
    /// Expected number of nodes that read a full version from the table service at once, among the
    /// nodes that lack it.
    pub content_readers: usize,
    /// Time behind a newer version after which every node may read it from the table service.
    pub content_read_deadline: Duration,
    /// Mean time for which an unreachable peer is not selected as a neighbour.
    pub failure_backoff: Duration,
    /// A wake-up later than this means that the process was paused and must confirm its version.
    pub max_wakeup_delay: Duration,
    /// Time after which a node admits work under its active version again, although that version
    /// is unconfirmed after a pause or a newer one cannot be fetched.
    pub isolation_timeout: Duration,
    /// Total size of changes, in bytes, above which a push only announces the version.
    pub max_push_bytes: usize,
    /// Seed of all random choices.
    pub seed: u64,
}

impl GossipConfig {
    /// Default settings for the given node.
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

    /// Mean time between polls of one node in a fleet of `nodes` nodes.
    pub fn poll_interval(&self, nodes: usize) -> Duration {
        let fair = Duration::from_secs_f64(nodes as f64 / self.fleet_polls_per_second);
        fair.clamp(self.min_poll_interval, self.max_poll_interval)
    }
}

/// Input of [`ConfigGossip`](crate::ConfigGossip).
#[derive(Debug, Clone, PartialEq)]
pub enum GossipEvent {
    /// The set of peers that are up changed. The node itself is ignored if it is listed.
    Peers(Vec<NodeId>),
    /// A peer started an exchange; [`GossipAction::Reply`] answers it.
    Request(ConfigMessage),
    /// A peer answered an exchange that this node started.
    Response {
        /// Sequence number of the exchange.
        seq: RequestSeq,
        /// The peer's reply.
        message: ConfigMessage,
    },
    /// A peer did not answer an exchange.
    Unreachable(NodeId),
    /// A message of another protocol carried a peer's version.
    PeerVersion {
        /// The peer; `None` if its node id is not known.
        from: Option<NodeId>,
        /// Active version of the peer.
        version: ConfigVersion,
    },
    /// The table service returned the committed version.
    StoreHead {
        /// Sequence number of the read.
        seq: RequestSeq,
        /// The committed version; zero if nothing is committed.
        version: ConfigVersion,
    },
    /// The table service returned the full declarations, or this node committed them.
    StoreContent {
        /// Sequence number of the read; zero for a commit.
        seq: RequestSeq,
        /// Version of the declarations.
        version: ConfigVersion,
        /// All declarations of that version.
        declared: Box<Declarations>,
    },
    /// A read from the table service failed.
    StoreFailed,
    /// The time of [`ConfigGossip::next_wakeup`](crate::ConfigGossip::next_wakeup) was reached.
    Tick,
}

/// Output of [`ConfigGossip`](crate::ConfigGossip), to be carried out by the driver.
#[derive(Debug, Clone, PartialEq)]
pub enum GossipAction {
    /// Start an exchange with a peer.
    Exchange {
        /// Sequence number, to be passed back in [`GossipEvent::Response`].
        seq: RequestSeq,
        /// The peer to contact.
        peer: NodeId,
        /// The message to send.
        message: ConfigMessage,
    },
    /// Answer the request that was just handled.
    Reply(ConfigMessage),
    /// Read the committed version from the table service.
    ReadHead(RequestSeq),
    /// Read the committed version and its declarations from the table service.
    ReadContent(RequestSeq),
    /// A new version became active; nothing needs to be done.
    Activated(ConfigVersion),
}

/// The process was paused, so its version may be out of date until a request with at least
/// `first_seq` is answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Unconfirmed {
    pub(crate) since: Duration,
    pub(crate) first_seq: RequestSeq,
}
