//! Chooses the engine that prefills and decodes a short prompt.

use crate::engine_choice::{
    EngineCandidate, EnginePlacement, GAP_FRACTION, PromptRequirements, TARGET_FRACTION,
    iteration_time, usable_tokens,
};
use crate::engine_profile::EngineProfile;
use crate::herd_avoidance::HerdAvoidance;
use crate::server_health::SuspectKind;
use std::time::Duration;

/// Places a short prompt on one engine.
pub(crate) fn place_short(
    profile: &EngineProfile,
    request: &PromptRequirements,
    engines: &[EngineCandidate],
    herd_avoidance: HerdAvoidance,
) -> Option<EnginePlacement> {
    let prefill = profile.prefill_time(request.prompt_tokens);
    let mut choices: Vec<_> = engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| can_decode(profile, request, engine))
        .map(|(index, engine)| (short_prompt_rank(profile, request, engine, prefill), index))
        .collect();
    choices.sort();
    let (best, _) = choices.first()?;
    let equals = choices.partition_point(|(rank, _)| rank.is_tied_with(best));
    let rooms: Vec<_> = choices[..equals]
        .iter()
        .map(|(_, index)| short_prompt_room(profile, request, &engines[*index], prefill))
        .collect();
    let (_, decoder) = choices[herd_avoidance.pick(&rooms)];
    Some(EnginePlacement {
        decoder,
        helpers: Vec::new(),
        part_prefill_time: prefill,
        first_event_forecast: iteration_time(profile, &engines[decoder], prefill),
    })
}

/// Whether an engine has a slot, and memory for the whole prompt and its answer.
fn can_decode(
    profile: &EngineProfile,
    request: &PromptRequirements,
    engine: &EngineCandidate,
) -> bool {
    let free = usable_tokens(profile).saturating_sub(engine.load.tokens);
    engine.accepts_requests
        && engine.load.jobs < profile.slots
        && free >= request.prompt_tokens + request.expected_output_tokens
}

/// Longest iteration with which a short prompt and the requests that decode on the engine meet their
/// targets.
fn iteration_limit(request: &PromptRequirements, engine: &EngineCandidate) -> Duration {
    let gap_target = request
        .event_gap_target
        .min(engine.load.min_event_gap_target);
    let gap_limit = gap_target.mul_f64(GAP_FRACTION);
    gap_limit.min(request.first_event_target.mul_f64(TARGET_FRACTION))
}

/// Number of prompts like this one that an engine has slots for, and can prefill in one iteration
/// within the targets if it meets them at all; at least one.
fn short_prompt_room(
    profile: &EngineProfile,
    request: &PromptRequirements,
    engine: &EngineCandidate,
    prefill: Duration,
) -> u32 {
    let slots = profile.slots.saturating_sub(engine.load.jobs);
    let limit = iteration_limit(request, engine);
    let iteration = iteration_time(profile, engine, prefill);
    if iteration > limit {
        return slots.max(1);
    }
    let spare = limit - iteration;
    let further = spare.as_secs_f64() / prefill.mul_f64(engine.slowdown).as_secs_f64().max(1e-3);
    slots.min(1 + further as u32).max(1)
}

fn short_prompt_rank(
    profile: &EngineProfile,
    request: &PromptRequirements,
    engine: &EngineCandidate,
    prefill: Duration,
) -> ShortPromptRank {
    let iteration = iteration_time(profile, engine, prefill);
    // A part of a long prompt can take longer than forecast, and all other work waits for it.
    let is_free = engine.load.long_prefills == 0;
    let meets_targets = is_free && iteration <= iteration_limit(request, engine);
    ShortPromptRank {
        is_unreachable: engine.is_unreachable(),
        misses_targets: !meets_targets,
        is_failing: engine.suspect == Some(SuspectKind::Failing),
        forecast: if meets_targets {
            Duration::ZERO
        } else {
            iteration
        },
        shared_order: engine.shared_order,
    }
}

/// Sort key of an engine for a short prompt; the lowest is the best. Engines that meet the targets
/// differ only by the shared order, so that prompts are packed onto the first of them. A failing engine
/// that meets them comes before a healthy one that does not: it still answers most of its requests.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ShortPromptRank {
    is_unreachable: bool,
    misses_targets: bool,
    is_failing: bool,
    forecast: Duration,
    shared_order: u64,
}

impl ShortPromptRank {
    /// Whether both are equally suspect and equally able to meet the targets.
    fn is_tied_with(&self, other: &Self) -> bool {
        self.is_unreachable == other.is_unreachable
            && self.misses_targets == other.misses_targets
            && self.is_failing == other.is_failing
    }
}
