//! Messages between gateways about prompts that crash engines.

use crate::load::ServerKey;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Key of a part of a prompt that other prompts may share.
pub type PartKey = u64;

/// Key of a request that a caller may send again, from its content.
pub type RequestKey = u64;

/// A crash of an engine, as far as one gateway knows of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Key of the engine.
    pub server: ServerKey,
    /// Shared parts of the sender's prompts that may have caused it.
    pub parts: Vec<PartKey>,
    /// Time since the crash.
    pub age: Duration,
}

/// A part of a prompt with which an engine wrote an answer and did not crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProvenPart {
    /// The part.
    pub part: PartKey,
    /// Time since the answer began.
    pub age: Duration,
}

/// A part of a prompt that crashes engines, so that prompts with it are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockedPart {
    /// The part.
    pub part: PartKey,
    /// Time since it was blocked.
    pub age: Duration,
}

/// What has changed since the last frame; in the first frame of a stream, all that the sender knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptCrashFrame {
    /// Crashes of engines.
    pub crashes: Vec<CrashReport>,
    /// Parts that were suspected or blocked, and have proven harmless.
    pub proven: Vec<ProvenPart>,
    /// Blocked parts.
    pub blocked: Vec<BlockedPart>,
}

impl PromptCrashFrame {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.proven.is_empty() && self.blocked.is_empty()
    }
}
