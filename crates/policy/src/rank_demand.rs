//! Room that long prompts leave for more urgent short ones.

use crate::engine_choice::{
    EngineCandidate, EnginePlacement, LATE_START_FRACTION, PromptRequirements,
};
use crate::engine_profile::EngineProfile;
use std::collections::VecDeque;
use std::time::Duration;

/// Span over which placements are counted by rank.
const WINDOW: Duration = Duration::from_secs(1);
/// Largest number of placements that are kept.
const MAX_KEPT: usize = 1_024;
/// Part of the time in which a prompt can be started at all for which it leaves room to others.
const YIELDING_FRACTION: f64 = 0.75;

/// The placements of one gateway within the last second, by rank.
#[derive(Debug, Default)]
pub struct RankDemand {
    placements: VecDeque<Placement>,
}

#[derive(Debug)]
struct Placement {
    placed_at: Duration,
    rank: u8,
    is_short: bool,
}

impl RankDemand {
    /// Records the placement of a prompt.
    pub fn record(&mut self, rank: u8, is_short: bool, now: Duration) {
        if self.placements.len() >= MAX_KEPT {
            self.placements.pop_front();
        }
        self.placements.push_back(Placement {
            placed_at: now,
            rank,
            is_short,
        });
    }

    /// Share of the latest placements that were short prompts of a rank more urgent than `rank`.
    pub fn urgent_share(&self, rank: u8, now: Duration) -> f64 {
        let latest = || {
            let placements = self.placements.iter();
            placements.filter(|placement| now < placement.placed_at + WINDOW)
        };
        let urgent = latest().filter(|placement| placement.is_short && placement.rank < rank);
        urgent.count() as f64 / latest().count().max(1) as f64
    }
}

/// Why a long prompt leaves its engines to more urgent short ones for now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UrgentRoomShortage {
    /// Slots that are free on the engines that it would not take.
    pub free_slots: u32,
    /// More urgent short prompts that are expected during its prefill.
    pub expected_prompts: f64,
    /// Forecast of the time from now to its first event if it started.
    pub forecast: Duration,
    /// Longest time from now for which it leaves room to others, if its forecast stays as it is.
    pub max_wait: Duration,
}

/// Checks whether the engines that a long prompt does not take have slots for `urgent_rate` more urgent
/// short prompts per second during its prefill; `None` if they have. Always `None` once the prompt could
/// otherwise no longer be served at all.
///
/// Load pattern: bursts of long prompts of one rank and of short ones of another. Each long prompt that
/// starts takes the engines that the short ones need a moment later.
pub fn urgent_room_shortage(
    profile: &EngineProfile,
    request: &PromptRequirements,
    engines: &[EngineCandidate],
    placement: &EnginePlacement,
    urgent_rate: f64,
) -> Option<UrgentRoomShortage> {
    let forecast = placement.first_event_forecast;
    let yielding_fraction = LATE_START_FRACTION * YIELDING_FRACTION;
    let start_limit = request.remaining.mul_f64(yielding_fraction);
    if forecast >= start_limit {
        return None;
    }
    let is_taken = |index: usize| {
        index == placement.decoder
            || placement
                .helpers
                .iter()
                .any(|helper| helper.engine == index)
    };
    let others = engines.iter().enumerate().filter(|(index, engine)| {
        !is_taken(*index)
            && engine.suspect.is_none()
            && engine.accepts_requests
            && engine.load.long_prefills == 0
    });
    let free = others.map(|(_, engine)| profile.slots.saturating_sub(engine.load.jobs));
    let free_slots = free.sum::<u32>();
    let expected_prompts = urgent_rate * forecast.as_secs_f64();
    (f64::from(free_slots) < expected_prompts).then(|| UrgentRoomShortage {
        free_slots,
        expected_prompts,
        forecast,
        max_wait: request
            .remaining
            .saturating_sub(forecast.div_f64(yielding_fraction)),
    })
}
