//! Prompts that wait for engines at a gateway, in the order in which they are tried.

use crate::engine_choice::{EngineNeed, least_time};
use crate::engine_model::EngineModel;
use std::time::Duration;

/// Number of a waiting prompt.
pub type WaiterId = u64;

/// A prompt that waits.
#[derive(Debug, Clone)]
pub struct EngineWaiter {
    /// Number.
    pub id: WaiterId,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// What it needs, as at its arrival.
    pub need: EngineNeed,
    /// When it began to wait.
    pub since: Duration,
    /// When its caller gives up.
    pub gives_up: Duration,
}

impl EngineWaiter {
    /// What it needs by now.
    pub fn need_at(&self, now: Duration) -> EngineNeed {
        EngineNeed {
            waited: now.saturating_sub(self.since),
            left: self.gives_up.saturating_sub(now),
            ..self.need.clone()
        }
    }

    /// Whether even idle engines could no longer give a first event before the caller leaves.
    pub fn is_hopeless(&self, model: &EngineModel, engines: usize, now: Duration) -> bool {
        now + least_time(model, &self.need, engines) > self.gives_up
    }
}

/// Sorts waiting prompts: those that can still be on time before the others, then by rank, then
/// the one whose last moment to start comes first.
///
/// Load pattern: a clump of long prompts beyond what the engines read in time. First come, first
/// served would make each of them late; so some are on time.
pub fn sort_waiters(
    waiters: &mut [EngineWaiter],
    model: &EngineModel,
    engines: usize,
    now: Duration,
) {
    waiters.sort_by_key(|waiter| {
        let least = least_time(model, &waiter.need, engines);
        let on_time_until = (waiter.since + waiter.need.target).saturating_sub(least);
        (on_time_until < now, waiter.rank, on_time_until, waiter.id)
    });
}

/// Time until work that takes `backlog` of all engines' time has been read.
///
/// Load pattern: callers that are refused come back; each is told a time by which what was
/// ahead of it has been read, spread by `draw` so that a crowd does not come back as one.
pub fn come_back_after(backlog: Duration, engines: usize, draw: u64) -> Duration {
    const LEAST: Duration = Duration::from_millis(150);
    const SPREAD_STEPS: u64 = 64;
    let share = backlog / engines.max(1) as u32;
    let spread = (draw % SPREAD_STEPS) as f64 / SPREAD_STEPS as f64;
    LEAST + share + (LEAST + share).mul_f64(spread)
}
