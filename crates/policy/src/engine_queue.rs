//! Prompts that wait for engines at a gateway, in the order in which they are tried.

use crate::engine_choice::{PromptRequirements, min_first_event_time};
use crate::engine_model::EngineProfile;
use std::time::Duration;

/// Number of a waiting prompt.
pub type QueuedPromptId = u64;

/// A prompt that waits.
#[derive(Debug, Clone)]
pub struct QueuedPrompt {
    /// Number.
    pub id: QueuedPromptId,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// What it needs, as at its arrival.
    pub request: PromptRequirements,
    /// When it began to wait.
    pub queued_at: Duration,
    /// When its caller gives up.
    pub deadline: Duration,
}

impl QueuedPrompt {
    /// What it needs by now.
    pub fn request_at(&self, now: Duration) -> PromptRequirements {
        PromptRequirements {
            waited: now.saturating_sub(self.queued_at),
            remaining: self.deadline.saturating_sub(now),
            ..self.request.clone()
        }
    }

    /// Whether even idle engines could no longer give a first event before the caller leaves.
    pub fn would_miss_deadline(
        &self,
        profile: &EngineProfile,
        engines: usize,
        now: Duration,
    ) -> bool {
        now + min_first_event_time(profile, &self.request, engines) > self.deadline
    }
}

/// Sorts waiting prompts: those that can still be on time before the others, then by rank, then
/// the one whose last moment to start comes first.
///
/// Load pattern: a clump of long prompts beyond what the engines read in time. First come, first
/// served would make each of them late; so some are on time.
pub fn sort_queue(
    prompts: &mut [QueuedPrompt],
    profile: &EngineProfile,
    engines: usize,
    now: Duration,
) {
    prompts.sort_by_key(|prompt| {
        let least = min_first_event_time(profile, &prompt.request, engines);
        let on_time_until =
            (prompt.queued_at + prompt.request.first_event_target).saturating_sub(least);
        (on_time_until < now, prompt.rank, on_time_until, prompt.id)
    });
}

/// Time until work that takes `backlog` of all engines' time has been read.
///
/// Load pattern: callers that are refused come back; each is told a time by which what was
/// ahead of it has been read, spread by `draw` so that a crowd does not come back as one.
pub fn suggest_retry_after(backlog: Duration, engines: usize, draw: u64) -> Duration {
    const LEAST: Duration = Duration::from_millis(150);
    const SPREAD_STEPS: u64 = 64;
    let share = backlog / engines.max(1) as u32;
    let spread = (draw % SPREAD_STEPS) as f64 / SPREAD_STEPS as f64;
    LEAST + share + (LEAST + share).mul_f64(spread)
}
