//! The list of live and leaving hosts, which lags behind the actual state.

use crate::error::PlatformError;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::net::SocketAddr;

/// What runs on a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostRole {
    /// A gateway.
    Gateway,
    /// An agent next to a backend server.
    Agent,
}

/// State of a host, as reported by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// In service.
    Live,
    /// About to be removed.
    Leaving,
}

/// An entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub host: Box<str>,
    /// Failure domain of the host.
    pub domain: Box<str>,
    /// The process that runs on the host.
    pub role: HostRole,
    /// Address on which that process listens.
    pub address: SocketAddr,
    /// Whether the host is in service or about to be removed.
    pub state: HostState,
}

/// The host list as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostListing {
    /// Entries that could be decoded.
    pub hosts: Vec<HostEntry>,
    /// Number of the other entries, such as those of another writer.
    pub skipped: usize,
}

/// Access to the host list.
pub trait HostList: Send + Sync + 'static {
    /// Reads the whole list; it may be outdated.
    fn hosts(&self) -> impl Future<Output = Result<HostListing, PlatformError>> + Send;
}
