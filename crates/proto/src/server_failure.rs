//! Messages between gateways about backend servers that do not accept connections.

use crate::load::ServerKey;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Hash of the name of a failure domain.
pub type DomainKey = u64;

/// Whether a backend server accepts connections, as one gateway has seen it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Key of the server.
    pub server: ServerKey,
    /// Key of its failure domain.
    pub domain: DomainKey,
    /// Whether it accepts connections; otherwise it refuses them.
    pub accepts: bool,
    /// Time since the sender has seen this.
    pub age: Duration,
}

/// Reports that have changed since the last frame; in the first frame of a stream, all servers that
/// refuse the sender's connections.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerFailureFrame {
    /// The reports, one for each server.
    pub reports: Vec<ServerReport>,
}
