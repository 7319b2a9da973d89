//! Messages between gateways about prompts that wait for engines.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Hash of a service's name.
pub type ServiceKey = u64;

/// Hash of a team's name; teams' names are not sent to peers.
pub type TeamKey = u64;

/// A prompt that waits for engines at the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedPrompt {
    /// Identifies the prompt at the sender.
    pub id: u64,
    /// Priority; 0 goes first.
    pub rank: u8,
    /// Time left until the latest start with which it is on time; `None` if that has passed.
    pub latest_start_in: Option<Duration>,
    /// Engines that it needs to be on time.
    pub engines: u8,
    /// Team of its caller.
    pub team: TeamKey,
}

/// The first prompts that wait for the engines of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceQueue {
    /// The service.
    pub service: ServiceKey,
    /// The prompts, the most urgent first.
    pub prompts: Vec<ReportedPrompt>,
}

/// Prefill time that the sender has started for one team lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamPrefill {
    /// The team.
    pub team: TeamKey,
    /// Prefill time, added up over all engines.
    pub prefill_time: Duration,
}

/// What waits at the sender; it replaces the frame before.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingFrame {
    /// Services for which prompts wait.
    pub services: Vec<ServiceQueue>,
    /// Teams with the most prefill time.
    pub started: Vec<TeamPrefill>,
}
