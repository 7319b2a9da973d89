//! Messages between gateways about requests that crash backend servers.

use crate::load::ServerKey;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Key of a part of a prompt that other prompts may share.
pub type PartKey = u64;

/// Key of a request that a caller may send again, from its content.
pub type RequestKey = u64;

/// What may crash the servers that run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Suspect {
    /// The request itself, each time that it is sent.
    Request(RequestKey),
    /// A part of its prompt, in any prompt.
    Part(PartKey),
}

impl Suspect {
    /// Its key, which does not tell its kind.
    pub fn key(self) -> u64 {
        match self {
            Self::Request(key) | Self::Part(key) => key,
        }
    }
}

/// A crash of a server, as far as one gateway knows of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Key of the server.
    pub server: ServerKey,
    /// What may have caused it, of the sender's requests.
    pub suspects: Vec<Suspect>,
    /// Time since the crash.
    pub age: Duration,
}

/// A suspect with which a server gave an answer and did not crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProvenSuspect {
    /// The suspect.
    pub suspect: Suspect,
    /// Time since the answer began.
    pub age: Duration,
}

/// A suspect that crashes servers, so that requests with it are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockedSuspect {
    /// The suspect.
    pub suspect: Suspect,
    /// Whether other suspects fitted the evidence as well.
    pub is_tied: bool,
    /// Time since it was blocked.
    pub age: Duration,
}

/// What has changed since the last frame; in the first frame of a stream, all that the sender knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashFrame {
    /// Crashes of servers.
    pub crashes: Vec<CrashReport>,
    /// Suspects that have proven harmless.
    pub proven: Vec<ProvenSuspect>,
    /// Blocked suspects.
    pub blocked: Vec<BlockedSuspect>,
}

impl CrashFrame {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.proven.is_empty() && self.blocked.is_empty()
    }
}
