//! State of a backend server, which its agent attaches to answers to gateways.

use crate::ids::{ConfigVersion, Epoch, ServerId, Tokens};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Progress of a backend server's cold start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Warmth {
    /// In cold start, or assumed to be.
    Cold,
    /// There is some evidence that the server is warm, but its concurrency limit is still being
    /// raised.
    Warming,
    /// The server has its full concurrency limit.
    Warm,
}

/// State of a backend server. It may be out of date when it is used.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hints {
    /// Backend server that is described.
    pub server: ServerId,
    /// Epoch of the agent's lease on the backend server.
    pub epoch: Epoch,
    /// Increases with each set of hints of an epoch, so that delayed ones can be dropped.
    pub sequence: u64,
    /// Configuration version that is active at the agent.
    pub config: ConfigVersion,
    /// Progress of the cold start.
    pub warmth: Warmth,
    /// Time that a short prompt would wait until its prefill starts.
    pub queue_delay: Duration,
    /// Number of requests that are running or queued.
    pub outstanding: u32,
    /// Limit on concurrently running requests.
    pub limit: u32,
    /// Number of prompt tokens that wait for prefill.
    pub queued_tokens: Tokens,
    /// Free engine memory, in tokens of KV cache.
    pub free_tokens: Tokens,
    /// Measured prefill rate, in tokens per second.
    pub prefill_rate: f64,
    /// Measured time between output tokens.
    pub decode_interval: Duration,
    /// Whether the agent is draining or its backend server is leaving.
    pub draining: bool,
}

/// A change in an engine's prefix cache. Changes may arrive late or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheHint {
    /// Hash of a prompt's leading blocks, up to and including the block that changed.
    pub prefix: u64,
    /// Whether the block is now in the cache.
    #[serde(rename = "held")]
    pub cached: bool,
}
