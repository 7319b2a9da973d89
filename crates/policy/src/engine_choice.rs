//! Chooses the engines that prefill a prompt and the one that decodes its answer.
//!
//! An engine prefills prompts between its decode steps, so a long prefill stalls every request
//! that decodes on the same engine. Short prompts are packed onto few engines, starting at one end
//! of an order that all gateways share. Long prompts are split into parts that engines from the
//! other end prefill in parallel. A part is never longer than the gap between events that the
//! requests decoding on its engine allow.

use crate::engine_profile::EngineProfile;
use crate::herd_avoidance::HerdAvoidance;
use crate::server_health::SuspectKind;
use crate::short_prompt_choice::{SoonAbleEngine, place_short};
use proto::ServerUsage;
use std::time::Duration;

/// Largest number of engines that may help the decoding one, a limit that engines publish.
pub const MAX_HELPERS: usize = 16;
/// Fraction of the tightest gap target on an engine that one iteration may fill. The rest allows
/// for load reports that arrive late.
pub(crate) const GAP_FRACTION: f64 = 0.75;
/// Fraction of the first event target that the forecast of a placement may fill.
pub(crate) const TARGET_FRACTION: f64 = 0.8;
/// Fraction of an engine's memory that is allocated. The rest allows for answers longer than
/// expected.
const MEMORY_FRACTION: f64 = 0.94;
/// A prompt is short if its prefill alone fills at most this fraction of its own gap target.
const SHORT_PROMPT_GAP_FRACTION: f64 = 0.5;
/// No further engines are added once the forecast fills at most this fraction of the time that a
/// placement may take.
const ENOUGH_ENGINES_FRACTION: f64 = 0.5;

/// A prefill that will miss its target starts only if its forecast is at most this fraction of the
/// time until the caller gives up. A longer one is interrupted more often than not, and the time
/// of its engines is wasted.
pub(crate) const LATE_START_FRACTION: f64 = 0.4;

/// Factor on the forecast of a long prompt that has to end by its target. Nine in ten prefills take at most
/// a fortieth longer than forecast, and a start that is just in time by the forecast ends late.
const FORECAST_MARGIN: f64 = 1.025;
/// Share of the first event target by which a long prompt may use failing engines before its latest
/// start: a few checks of the queue. Until then healthy engines may become free.
const FAILING_START_FRACTION: f64 = 0.1;

/// An engine to which a prompt could be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineCandidate {
    /// Position in the order of engines that all gateways share.
    pub shared_order: u64,
    /// Work that all gateways have placed on it.
    pub load: ServerUsage,
    /// Factor by which it is slower than its published figures; 1 if it is as fast.
    pub slowdown: f64,
    /// Whether this gateway may send it a request now: it did not recently report that it is full,
    /// and this gateway's share of the sends to it is not used up. It may be a helper all the same.
    pub accepts_requests: bool,
    /// Whether it states a limit on the requests that it takes. It is no helper then: it has to be
    /// spared, and each reservation of its memory and each renewal would be a further request.
    pub is_limited: bool,
    /// Why it is avoided, if it failed recently.
    pub suspect: Option<SuspectKind>,
}

impl EngineCandidate {
    /// Whether it could not be reached or was silent recently.
    pub fn is_unreachable(&self) -> bool {
        self.suspect == Some(SuspectKind::Unreachable)
    }

    fn is_healthy(&self) -> bool {
        self.suspect.is_none()
    }
}

/// What a prompt needs from the engines that serve it.
#[derive(Debug, Clone, PartialEq)]
pub struct PromptRequirements {
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Expected length of the answer.
    pub expected_output_tokens: u64,
    /// Longest time from the request to the first event that counts as on time.
    pub first_event_target: Duration,
    /// Longest time between two events that counts as on time.
    pub event_gap_target: Duration,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Time until the caller gives up.
    pub remaining: Duration,
}

/// The engines that serve a prompt, as indices into the list of candidates.
#[derive(Debug, Clone, PartialEq)]
pub struct EnginePlacement {
    /// Engine that receives the request, prefills one part and decodes the answer.
    pub decoder: usize,
    /// Engines that prefill the other parts; empty if the prompt is not split.
    pub helpers: Vec<PrefillHelper>,
    /// Time that each engine spends on its part of the prefill.
    pub part_prefill_time: Duration,
    /// Expected time from now to the first event.
    pub first_event_forecast: Duration,
}

/// An engine that prefills a part of a prompt for the decoding engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefillHelper {
    /// Index into the list of candidates.
    pub engine: usize,
    /// KV cache tokens to reserve there; 0 if the decoding engine has room for the whole prompt.
    pub reserved_tokens: u64,
}

/// Why a prompt stays in the queue for now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitReason {
    /// The engines cannot take it now: none has room for it, or a long prompt may get enough of them later.
    NoEngines,
    /// It is short, and an engine becomes able to meet its targets in time.
    SoonAble(SoonAbleEngine),
}

/// Whether a prompt is short, so that one engine prefills it without stalling the requests that
/// decode there.
pub fn is_short_prompt(profile: &EngineProfile, request: &PromptRequirements) -> bool {
    profile.prefill_time(request.prompt_tokens)
        <= request.event_gap_target.mul_f64(SHORT_PROMPT_GAP_FRACTION)
}

/// Places a prompt on engines, unless it should stay in the queue for now.
pub fn place_prompt(
    profile: &EngineProfile,
    request: &PromptRequirements,
    engines: &[EngineCandidate],
    herd_avoidance: HerdAvoidance,
) -> Result<EnginePlacement, WaitReason> {
    let fits = request.prompt_tokens + request.expected_output_tokens <= usable_tokens(profile);
    if fits && is_short_prompt(profile, request) {
        place_short(profile, request, engines, herd_avoidance)
    } else {
        place_long(profile, request, engines, herd_avoidance).ok_or(WaitReason::NoEngines)
    }
}

/// Shortest time to the first event of a prompt if all `engines` were idle.
pub fn min_first_event_time(
    profile: &EngineProfile,
    request: &PromptRequirements,
    engines: usize,
) -> Duration {
    let parts = if is_short_prompt(profile, request) {
        1
    } else {
        engines.clamp(1, MAX_HELPERS + 1)
    };
    profile.prefill_time(request.prompt_tokens) / parts as u32 + profile.decode_iteration_time(0)
}

/// Tokens of an engine's memory that are allocated.
pub(crate) fn usable_tokens(profile: &EngineProfile) -> u64 {
    (profile.kv_capacity_tokens as f64 * MEMORY_FRACTION) as u64
}

/// Time of an iteration in which this engine does its queued prefills and a further one that takes
/// `prefill`, and decodes one request more than now.
pub(crate) fn iteration_time(
    profile: &EngineProfile,
    engine: &EngineCandidate,
    prefill: Duration,
) -> Duration {
    let work = engine.load.prefill_remaining
        + prefill
        + profile.decode_iteration_time(engine.load.jobs + 1);
    work.mul_f64(engine.slowdown)
}

/// An engine that may prefill a part of a long prompt.
#[derive(Debug, Clone, Copy)]
struct PrefillCandidate {
    index: usize,
    /// Seconds of prefill that the requests decoding there allow; negative if they allow none.
    prefill_budget_s: f64,
    free_tokens: u64,
    /// Whether it may also decode the answer.
    can_decode: bool,
}

fn place_long(
    profile: &EngineProfile,
    request: &PromptRequirements,
    engines: &[EngineCandidate],
    herd_avoidance: HerdAvoidance,
) -> Option<EnginePlacement> {
    let healthy = fastest_placement(profile, request, engines, herd_avoidance, |engine| {
        engine.is_healthy()
    });
    let limit = request.first_event_target;
    let first_event = |placement: &EnginePlacement| {
        request.waited + placement.first_event_forecast.mul_f64(FORECAST_MARGIN)
    };
    if healthy
        .as_ref()
        .is_some_and(|placement| first_event(placement) <= limit)
    {
        return healthy;
    }
    let min_time = |engines| {
        request.waited + min_first_event_time(profile, request, engines).mul_f64(FORECAST_MARGIN)
    };
    let healthy_engines = engines.iter().filter(|engine| engine.is_healthy()).count();
    if healthy_engines < engines.len() {
        let any = fastest_placement(profile, request, engines, herd_avoidance, |engine| {
            !engine.is_unreachable()
        });
        // Earlier, healthy engines may still become free in time.
        let begin = if min_time(healthy_engines) <= limit {
            limit.mul_f64(1.0 - FAILING_START_FRACTION)
        } else {
            Duration::ZERO
        };
        let is_due =
            |placement: &EnginePlacement| (begin..=limit).contains(&first_event(placement));
        if any.as_ref().is_some_and(is_due) {
            return any;
        }
    }
    // A start that misses the target is worthwhile only if no start could meet it any more. Until
    // then, waiting may free more engines.
    let can_meet_target = min_time(engines.len()) <= limit;
    let late_limit = request.remaining.mul_f64(LATE_START_FRACTION);
    healthy.filter(|placement| !can_meet_target && placement.first_event_forecast <= late_limit)
}

/// The placement on those engines that `may_use` allows which is fast enough with the fewest of them, or
/// the fastest one.
fn fastest_placement(
    profile: &EngineProfile,
    request: &PromptRequirements,
    engines: &[EngineCandidate],
    herd_avoidance: HerdAvoidance,
    may_use: impl Fn(&EngineCandidate) -> bool,
) -> Option<EnginePlacement> {
    let fast_enough = request
        .first_event_target
        .mul_f64(TARGET_FRACTION * ENOUGH_ENGINES_FRACTION);
    let candidates = prefill_candidates(profile, engines, herd_avoidance, may_use);
    let mut fastest: Option<EnginePlacement> = None;
    for parts in 1..=candidates.len() {
        let Some(placement) = place_on(profile, request, engines, &candidates[..parts]) else {
            continue;
        };
        if request.waited + placement.first_event_forecast <= fast_enough {
            return Some(placement);
        }
        let is_faster =
            |than: &EnginePlacement| placement.first_event_forecast < than.first_event_forecast;
        if fastest.as_ref().is_none_or(is_faster) {
            fastest = Some(placement);
        }
    }
    fastest
}

/// Engines that may prefill a part: first the best one that may also decode the answer, then all
/// others without a request limit by falling prefill budget, all of those that `may_use` allows.
fn prefill_candidates(
    profile: &EngineProfile,
    engines: &[EngineCandidate],
    herd_avoidance: HerdAvoidance,
    may_use: impl Fn(&EngineCandidate) -> bool,
) -> Vec<PrefillCandidate> {
    let available = engines.iter().enumerate();
    let available =
        available.filter(|(_, engine)| may_use(engine) && engine.load.long_prefills == 0);
    let mut candidates: Vec<_> = available
        .map(|(index, engine)| prefill_candidate(profile, engine, index))
        .collect();
    candidates.sort_by(|a, b| {
        let order =
            |candidate: &PrefillCandidate| herd_avoidance.tie_break(&engines[candidate.index]);
        b.prefill_budget_s
            .total_cmp(&a.prefill_budget_s)
            .then_with(|| order(a).cmp(&order(b)))
    });
    let is_limited = |candidate: &PrefillCandidate| engines[candidate.index].is_limited;
    let decoders = || candidates.iter().filter(|candidate| candidate.can_decode);
    let unlimited = decoders().find(|candidate| !is_limited(candidate));
    let decoder = unlimited.or(decoders().next()).map(|decoder| decoder.index);
    candidates.retain(|candidate| decoder == Some(candidate.index) || !is_limited(candidate));
    let position = candidates
        .iter()
        .position(|candidate| decoder == Some(candidate.index));
    if let Some(position) = position {
        candidates[..=position].rotate_right(1);
    }
    candidates.truncate(MAX_HELPERS + 1);
    candidates
}

/// Splits a prompt evenly over all of these engines, unless a request that decodes on one of them
/// would wait too long for its next event.
fn place_on(
    profile: &EngineProfile,
    request: &PromptRequirements,
    engines: &[EngineCandidate],
    chosen: &[PrefillCandidate],
) -> Option<EnginePlacement> {
    let hops_s = profile.hop_ms / 1e3 * (chosen.len() - 1) as f64;
    let part_s =
        profile.prefill_time(request.prompt_tokens).as_secs_f64() / chosen.len() as f64 + hops_s;
    let allowed = |candidate: &PrefillCandidate| candidate.prefill_budget_s >= part_s;
    if !chosen.iter().all(allowed) {
        return None;
    }
    let (decoder, helpers) = allocate_memory(request, chosen, usable_tokens(profile))?;
    Some(EnginePlacement {
        decoder,
        helpers,
        part_prefill_time: Duration::from_secs_f64(part_s),
        first_event_forecast: forecast(profile, engines, chosen, part_s),
    })
}

fn prefill_candidate(
    profile: &EngineProfile,
    engine: &EngineCandidate,
    index: usize,
) -> PrefillCandidate {
    let gap_s = engine.load.min_event_gap_target.as_secs_f64();
    let busy = engine.load.prefill_remaining + profile.decode_iteration_time(engine.load.jobs);
    let has_free_slot = engine.load.jobs < profile.slots;
    PrefillCandidate {
        index,
        prefill_budget_s: (gap_s * GAP_FRACTION - busy.as_secs_f64()) / engine.slowdown.max(0.1),
        free_tokens: usable_tokens(profile).saturating_sub(engine.load.tokens),
        can_decode: engine.accepts_requests && has_free_slot,
    }
}

/// Time until the slowest of the chosen engines has prefilled its part of `part_s` seconds.
fn forecast(
    profile: &EngineProfile,
    engines: &[EngineCandidate],
    chosen: &[PrefillCandidate],
    part_s: f64,
) -> Duration {
    let part = Duration::from_secs_f64(part_s);
    let iterations = chosen
        .iter()
        .map(|candidate| iteration_time(profile, &engines[candidate.index], part));
    iterations.max().unwrap_or_default()
}

/// Chooses the engine with the most free memory to decode, and reserves on the others what it
/// lacks. Returns `None` if memory is short, also for a prompt that would fit into the
/// `usable_tokens` of a single engine: it waits for such an engine instead.
fn allocate_memory(
    request: &PromptRequirements,
    chosen: &[PrefillCandidate],
    usable_tokens: u64,
) -> Option<(usize, Vec<PrefillHelper>)> {
    let tokens = request.prompt_tokens + request.expected_output_tokens;
    let decoder = chosen
        .iter()
        .filter(|candidate| candidate.can_decode)
        .max_by_key(|candidate| candidate.free_tokens)?;
    let mut missing = tokens.saturating_sub(decoder.free_tokens);
    if missing > 0 && tokens <= usable_tokens {
        return None;
    }
    let mut helpers = Vec::new();
    for helper in chosen
        .iter()
        .filter(|candidate| candidate.index != decoder.index)
    {
        let reserved_tokens = missing.min(helper.free_tokens);
        missing -= reserved_tokens;
        let engine = helper.index;
        helpers.push(PrefillHelper {
            engine,
            reserved_tokens,
        });
    }
    (missing == 0).then_some((decoder.index, helpers))
}
