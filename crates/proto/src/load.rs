//! What gateways that reach backend servers themselves tell each other.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Hash of a backend server's id, short enough to be told often.
pub type ServerKey = u64;

/// Work at one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerUsage {
    /// Requests that hold or wait for a slot.
    pub jobs: u32,
    /// Time that the reading of prompts will still take.
    #[serde(rename = "reading")]
    pub prefill_remaining: Duration,
    /// Tokens of memory that are held or promised.
    pub tokens: u64,
    /// Shortest pause between events that some request there bears.
    pub tightest_gap: Duration,
    /// Parts of long prompts that it reads. An engine puts each part that it reads for others
    /// before all that it has, so a further one would hold these up.
    #[serde(rename = "long_reads")]
    pub long_prefills: u32,
}

impl Default for ServerUsage {
    fn default() -> Self {
        Self {
            jobs: 0,
            prefill_remaining: Duration::ZERO,
            tokens: 0,
            tightest_gap: Duration::MAX,
            long_prefills: 0,
        }
    }
}

impl ServerUsage {
    /// Adds other work at the same server.
    pub fn add(&mut self, other: &Self) {
        self.jobs += other.jobs;
        self.prefill_remaining += other.prefill_remaining;
        self.tokens += other.tokens;
        self.tightest_gap = self.tightest_gap.min(other.tightest_gap);
        self.long_prefills += other.long_prefills;
    }
}

/// Versions of the store's content up to which a gateway knows its tables.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreVersions {
    /// Of what operators declare and order.
    pub operators: u64,
    /// Of the backend servers.
    pub servers: u64,
}

impl StoreVersions {
    /// Whether these are newer than others in either table.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        self.operators > other.operators || self.servers > other.servers
    }
}

/// All that a gateway has given to servers, and how far it knows the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadFrame {
    /// Work at each server that has some.
    pub servers: Vec<(ServerKey, ServerUsage)>,
    /// How far the sender knows the store.
    #[serde(rename = "known")]
    pub versions: StoreVersions,
    /// Whether the store answers the sender.
    pub reaches_store: bool,
}

/// A backend server as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendEntry {
    /// Id of this start of it.
    pub id: Box<str>,
    /// Service that it belongs to.
    pub service: Box<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it leaves.
    pub draining: bool,
}

/// What a row of the store says of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendRow {
    /// It is there.
    Present(BackendEntry),
    /// The row names no server that could be used.
    Unreadable,
    /// The row has gone.
    Absent,
}

/// What a gateway knows of the store, for a peer that cannot reach it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoreSnapshot {
    /// How far it is known.
    #[serde(rename = "known")]
    pub versions: StoreVersions,
    /// The declarations as they lie in the store.
    pub declarations: Option<Vec<u8>>,
    /// Failure domains that are ordered out.
    pub evacuated: Vec<Box<str>>,
    /// Rows of backend servers: id, content, version.
    pub servers: Vec<(Box<str>, BackendRow, u64)>,
}
