//! Chooses the engine that prefills and decodes a short prompt.

use crate::engine_choice::{
    EngineCandidate, EnginePlacement, GAP_FRACTION, PromptRequirements, TARGET_FRACTION,
    WaitReason, iteration_time, min_first_event_time, usable_tokens,
};
use crate::engine_profile::EngineProfile;
use crate::herd_avoidance::HerdAvoidance;
use crate::server_health::SuspectKind;
use std::time::Duration;

/// Time after which the queue notices at the latest that an engine has become able to meet the targets.
const MAX_CHECK_DELAY: Duration = Duration::from_millis(40);
/// Fraction of the first event target by which the first event of a waiting prompt has to be forecast. The
/// rest allows for the error of the forecast.
const ON_TIME_FRACTION: f64 = 0.95;
/// Engines that miss the targets count as equally good if their forecast is at most this many times the
/// best one. Other gateways choose among the same engines.
const SIMILAR_FORECAST: f64 = 1.25;

/// An engine for which a short prompt waits, as it becomes able to meet the targets in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoonAbleEngine {
    /// Index into the list of candidates.
    pub engine: usize,
    /// Prefill that it has to do first, by its published figures.
    pub backlog: Duration,
    /// Forecast of the time from now to the first event of the prompt there.
    pub forecast: Duration,
    /// Longest time from now for which the prompt waits for such an engine. It is placed at the next check
    /// of the queue.
    pub max_wait: Duration,
}

/// Places a short prompt on one engine, unless no engine has a slot and memory for it, or it should wait
/// for a healthy engine that meets the targets.
pub(crate) fn place_short(
    profile: &EngineProfile,
    request: &PromptRequirements,
    engines: &[EngineCandidate],
    herd_avoidance: HerdAvoidance,
) -> Result<EnginePlacement, WaitReason> {
    let prefill = profile.prefill_time(request.prompt_tokens);
    let mut choices: Vec<_> = engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| can_decode(profile, request, engine))
        .map(|(index, engine)| (short_prompt_rank(profile, request, engine, prefill), index))
        .collect();
    choices.sort();
    let (best, _) = choices.first().ok_or(WaitReason::NoEngines)?;
    let is_best = !best.is_unreachable && !best.misses_targets && !best.is_failing;
    let indices = choices.iter().map(|(_, index)| *index);
    if !is_best && let Some(engine) = soonest_able(profile, request, engines, indices) {
        return Err(WaitReason::SoonAble(engine));
    }
    let equals = choices.partition_point(|(rank, _)| rank.is_tied_with(best));
    let rooms: Vec<_> = choices[..equals]
        .iter()
        .map(|(_, index)| short_prompt_room(profile, request, &engines[*index], prefill))
        .collect();
    let (_, decoder) = choices[herd_avoidance.pick(&rooms)];
    Ok(EnginePlacement {
        decoder,
        helpers: Vec::new(),
        part_prefill_time: prefill,
        first_event_forecast: iteration_time(profile, &engines[decoder], prefill),
    })
}

/// Of the engines with these indices that are forecast to become able to meet the targets in time for the
/// prompt, the one that answers it first.
fn soonest_able(
    profile: &EngineProfile,
    request: &PromptRequirements,
    engines: &[EngineCandidate],
    indices: impl Iterator<Item = usize>,
) -> Option<SoonAbleEngine> {
    let prefill = profile.prefill_time(request.prompt_tokens);
    let able = indices.filter(|index| is_soon_able(profile, request, &engines[*index], prefill));
    let forecasts = able.map(|index| (iteration_time(profile, &engines[index], prefill), index));
    let (forecast, engine) = forecasts.min()?;
    let min_time = min_first_event_time(profile, request, 1);
    Some(SoonAbleEngine {
        engine,
        backlog: engines[engine].load.prefill_remaining,
        forecast,
        max_wait: forecast_limit(request)
            .saturating_sub(request.waited + min_time + MAX_CHECK_DELAY),
    })
}

/// Time from the arrival of a waiting prompt within which its first event has to be forecast.
fn forecast_limit(request: &PromptRequirements) -> Duration {
    request.first_event_target.mul_f64(ON_TIME_FRACTION)
}

/// Whether an engine is forecast to become able to meet the targets in time for the prompt.
///
/// Load pattern: a burst of short prompts follows one of long prompts, so that all engines prefill parts of
/// these. A part may take longer than forecast, so a prompt that waits is better off on the first engine
/// that becomes free than one that was placed behind a part at once. The wait ends when no engine could
/// answer in time any more, at the latest at the target.
fn is_soon_able(
    profile: &EngineProfile,
    request: &PromptRequirements,
    engine: &EngineCandidate,
    prefill: Duration,
) -> bool {
    let backlog = engine.load.prefill_remaining;
    // The end of a part that has taken longer than forecast is not known.
    let is_overdue = engine.load.long_prefills > 0 && backlog.is_zero();
    let iteration = iteration_time(profile, engine, prefill);
    let iteration_then = iteration.saturating_sub(backlog.mul_f64(engine.slowdown));
    engine.suspect.is_none()
        && !is_overdue
        && iteration_then <= gap_limit(request, engine)
        && request.waited + iteration + MAX_CHECK_DELAY <= forecast_limit(request)
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
/// targets; of a prompt that is too late, with which the others meet theirs.
fn iteration_limit(
    profile: &EngineProfile,
    request: &PromptRequirements,
    engine: &EngineCandidate,
    prefill: Duration,
) -> Duration {
    let target = request.first_event_target.mul_f64(TARGET_FRACTION);
    let left = target.saturating_sub(request.waited);
    let can_be_on_time = left >= prefill + profile.decode_iteration_time(1);
    gap_limit(request, engine).min(if can_be_on_time { left } else { target })
}

/// Longest iteration that the gap targets of a prompt and of the requests that decode on the engine
/// allow.
fn gap_limit(request: &PromptRequirements, engine: &EngineCandidate) -> Duration {
    let gap_target = request
        .event_gap_target
        .min(engine.load.min_event_gap_target);
    gap_target.mul_f64(GAP_FRACTION)
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
    let limit = iteration_limit(profile, request, engine, prefill);
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
    let meets_targets = is_free && iteration <= iteration_limit(profile, request, engine, prefill);
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
    /// Whether both are equally suspect and equally able to meet the targets; if they miss them, by about
    /// as much.
    fn is_tied_with(&self, other: &Self) -> bool {
        self.is_unreachable == other.is_unreachable
            && self.misses_targets == other.misses_targets
            && self.is_failing == other.is_failing
            && self.forecast <= other.forecast.mul_f64(SIMILAR_FORECAST)
    }
}
