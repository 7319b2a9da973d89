//! Messages between gateways about backend servers that fail.

use crate::load::ServerKey;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Hash of the name of a failure domain.
pub type DomainKey = u64;

/// State of a backend server, as one gateway has seen it. The first two are encoded like `false` and
/// `true`, which gateways without `NamedAtFault` send and expect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It refuses connections.
    Refuses,
    /// It accepts connections.
    Accepts,
    /// Another server's response to the sender has named it as at fault.
    NamedAtFault,
    /// It was named as at fault, and has sent the sender data since.
    Answers,
}

/// What one gateway has seen of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Key of the server.
    pub server: ServerKey,
    /// Key of its failure domain.
    pub domain: DomainKey,
    /// State of the server.
    pub state: ServerState,
    /// Time since the sender has seen this.
    pub age: Duration,
}

/// Reports that have changed since the last frame; in the first frame of a stream, all servers that
/// refuse the sender's connections or were named as at fault a moment ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerFailureFrame {
    /// The reports, one for each server.
    pub reports: Vec<ServerReport>,
}
