//! Messages between gateways that send requests to backend servers directly, without agents.

use serde::{Deserialize, Deserializer, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Hash of a backend server's id; it keeps the frequent [`LoadFrame`]s short.
pub type ServerKey = u64;

/// Work that a gateway has placed on one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerUsage {
    /// Number of requests that hold a slot or wait for one.
    pub jobs: u32,
    /// Estimated time until the prefill of all its prompts is done.
    #[serde(rename = "reading")]
    pub prefill_remaining: Duration,
    /// KV cache memory that its requests use or are expected to need, in tokens.
    pub tokens: u64,
    /// Shortest target for the time between streamed events, over all its requests.
    #[serde(rename = "tightest_gap")]
    pub min_event_gap_target: Duration,
    /// Number of parts of long prompts in prefill. A part that an engine prefills for another one
    /// runs ahead of all its other work, so each additional part delays the work already there.
    #[serde(rename = "long_reads")]
    pub long_prefills: u32,
}

impl Default for ServerUsage {
    fn default() -> Self {
        Self {
            jobs: 0,
            prefill_remaining: Duration::ZERO,
            tokens: 0,
            min_event_gap_target: Duration::MAX,
            long_prefills: 0,
        }
    }
}

impl ServerUsage {
    /// Adds other work on the same server.
    pub fn add(&mut self, other: &Self) {
        self.jobs += other.jobs;
        self.prefill_remaining += other.prefill_remaining;
        self.tokens += other.tokens;
        self.min_event_gap_target = self.min_event_gap_target.min(other.min_event_gap_target);
        self.long_prefills += other.long_prefills;
    }
}

/// Versions of the store's tables that a gateway has read or heard of.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreVersions {
    /// Version of the operators' table, with declarations and evacuations.
    pub operators: u64,
    /// Version of the table of backend servers.
    pub servers: u64,
}

impl StoreVersions {
    /// Whether at least one table is newer than in `other`.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        self.operators > other.operators || self.servers > other.servers
    }
}

/// All work that a gateway has placed on servers, and the versions of the store's content that
/// it has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadFrame {
    /// Work on each server that has any.
    pub servers: Vec<(ServerKey, ServerUsage)>,
    /// Versions of the store's tables at the sender.
    #[serde(rename = "known")]
    pub versions: StoreVersions,
    /// Whether the sender watches the store and can reach it.
    pub reaches_store: bool,
    /// Version that the declarations in force at the sender state; 0 for none. Frames of earlier builds
    /// end before it.
    #[serde(deserialize_with = "zero_if_absent")]
    pub declarations: u64,
}

fn zero_if_absent<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    Ok(u64::deserialize(deserializer).unwrap_or_default())
}

/// What a backend server last stated of its request limit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RequestLimit {
    /// Key of the server.
    pub server: ServerKey,
    /// Requests per second that it takes from all gateways together; `None` if it states no limit.
    pub rate: Option<f64>,
    /// Age of the last response that says so.
    pub age: Duration,
}

/// Request limits that have changed since the last frame; in the first frame of a stream, all that
/// the sender knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestLimitFrame {
    /// The limits, one for each server.
    pub limits: Vec<RequestLimit>,
}

/// Registration of a backend server in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendEntry {
    /// Id of the server process; it changes with each start.
    pub id: Box<str>,
    /// Service to which it belongs.
    pub service: Box<str>,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub domain: Box<str>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining and gets no new requests.
    pub draining: bool,
}

/// State of a backend server's row in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendRow {
    /// The row exists and was parsed.
    Present(BackendEntry),
    /// The row exists, but does not describe a usable server.
    Unreadable,
    /// The row was deleted.
    Absent,
}

/// A gateway's copy of the store's content, for a peer that cannot reach the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoreSnapshot {
    /// Versions of the tables in this copy.
    #[serde(rename = "known")]
    pub versions: StoreVersions,
    /// Declarations in their stored form; `None` if the requester has the latest or there are none.
    pub declarations: Option<Vec<u8>>,
    /// Failure domains that operators have ordered to be evacuated.
    pub evacuated: Vec<Box<str>>,
    /// Rows of backend servers: id, content and version of each.
    pub servers: Vec<(Box<str>, BackendRow, u64)>,
    /// Whether `servers` holds only the rows, also of removed servers, that are newer than what the
    /// requester has. Otherwise servers without a row in it are removed.
    pub is_difference: bool,
}
