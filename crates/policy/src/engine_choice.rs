//! On which model engines a prompt is read and its answer written.
//!
//! An engine reads prompts between the steps of those that write, so a long read makes every
//! writer beside it pause. Short prompts are packed onto few engines from one end of a common
//! order, long ones are read in parts by engines from its other end, and a part is made no longer
//! than the pause that the writers beside it bear.

use crate::engine_model::EngineProfile;
use proto::ServerUsage;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Most servers that may help the first one, as engines state it.
pub const MAX_HELPERS: usize = 16;
/// Part of the pause that writers bear which a pass may fill; the rest covers late news.
const GAP_PART: f64 = 0.75;
/// Part of the time to the first event that a placement may fill by its own forecast.
const TARGET_PART: f64 = 0.8;
/// Part of an engine's memory that is given out; the rest covers answers longer than foreseen.
const MEMORY_PART: f64 = 0.94;
/// A prompt is short if its read alone fills at most this part of its own pause.
const SHORT_PART: f64 = 0.5;
/// Fewer parts are enough once the forecast fills only this part of the time that is due.
const EARLY_PART: f64 = 0.5;

/// A late read is begun only if it fills at most this part of the time until the caller gives up:
/// one that takes longer is interrupted more often than not, and holds its engine in vain.
const LATE_PART: f64 = 0.4;

/// An engine that could take work.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineCandidate {
    /// Place in the order that all gateways share.
    pub shared_order: u64,
    /// What it has to do.
    pub load: ServerUsage,
    /// How much slower it is than its published figures; 1 is as fast.
    pub slowdown: f64,
    /// Whether it may be sent a request now.
    pub accepts_requests: bool,
    /// Whether it failed lately.
    pub suspect: bool,
}

/// A prompt to place.
#[derive(Debug, Clone, PartialEq)]
pub struct PromptRequirements {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer, as far as can be foreseen.
    pub expected_output_tokens: u64,
    /// Time to the first event that is on time.
    pub first_event_target: Duration,
    /// Pause between events that is on time.
    pub event_gap_target: Duration,
    /// Time that it has waited.
    pub waited: Duration,
    /// Time until its caller gives up.
    pub remaining: Duration,
}

/// Where a prompt goes; indices are those of the candidates.
#[derive(Debug, Clone, PartialEq)]
pub struct EnginePlacement {
    /// Engine that gets the request and writes the answer.
    pub decoder: usize,
    /// Engines that read parts of the prompt.
    pub helpers: Vec<PrefillHelper>,
    /// Time that each of them reads.
    pub part_prefill_time: Duration,
    /// Forecast of the time to the first event.
    pub first_event_forecast: Duration,
}

/// An engine that reads a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefillHelper {
    /// The engine.
    pub engine: usize,
    /// Tokens of its memory that the prompt needs; 0 for none.
    pub reserved_tokens: u64,
}

/// How far gateways decide without knowing of each other's latest decisions.
///
/// Load pattern: many gateways, whose news arrive late. Each would choose the engine that is best
/// by what it knows, and all would choose the same one.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct HerdAvoidance {
    /// Prompts that other gateways are expected to have placed unheard.
    pub unseen_placements: f64,
    /// A draw for this decision.
    pub random: u64,
}

impl HerdAvoidance {
    /// One of `count` choices, of which the first are the best: the more prompts are unheard of,
    /// the farther down.
    fn choose(&self, count: usize) -> usize {
        let window = 1 + self.unseen_placements.max(0.0).round() as usize;
        (self.random % window.min(count).max(1) as u64) as usize
    }

    /// The place of an engine among equals: the common order, or one of this decision's own where
    /// another gateway is likely to choose by the common one meanwhile.
    fn order(&self, engine: &EngineCandidate) -> u64 {
        if self.unseen_placements < OWN_ORDER_FROM {
            u64::MAX - engine.shared_order
        } else {
            xxh3_64(&(engine.shared_order ^ self.random).to_le_bytes())
        }
    }
}

/// Prompts unheard of from which long reads are placed in an order of their own: then a long one
/// among them is likely enough.
const OWN_ORDER_FROM: f64 = 2.0;

/// Whether a prompt is short: one engine reads it without disturbing the others there.
pub fn is_short_prompt(profile: &EngineProfile, request: &PromptRequirements) -> bool {
    profile.prefill_time(request.prompt_tokens) <= request.event_gap_target.mul_f64(SHORT_PART)
}

/// Places a prompt, or says `None` where it had better wait.
pub fn place_prompt(
    profile: &EngineProfile,
    request: &PromptRequirements,
    engines: &[EngineCandidate],
    herd_avoidance: HerdAvoidance,
) -> Option<EnginePlacement> {
    let fits = request.prompt_tokens + request.expected_output_tokens <= usable_memory(profile);
    if fits && is_short_prompt(profile, request) {
        place_short(profile, request, engines, herd_avoidance)
    } else {
        place_long(profile, request, engines, herd_avoidance)
    }
}

/// Shortest time in which a prompt could be read if all engines were idle.
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

fn usable_memory(profile: &EngineProfile) -> u64 {
    (profile.kv_capacity_tokens as f64 * MEMORY_PART) as u64
}

fn place_short(
    profile: &EngineProfile,
    request: &PromptRequirements,
    engines: &[EngineCandidate],
    herd_avoidance: HerdAvoidance,
) -> Option<EnginePlacement> {
    let read = profile.prefill_time(request.prompt_tokens);
    let mut choices: Vec<_> = engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| may_write(profile, request, engine))
        .map(|(index, engine)| (short_rank(profile, request, engine, read), index))
        .collect();
    choices.sort();
    let (best, _) = choices.first()?;
    let equals = choices.partition_point(|(rank, _)| rank.is_like(best));
    let (_, first) = choices[herd_avoidance.choose(equals)];
    Some(EnginePlacement {
        decoder: first,
        helpers: Vec::new(),
        part_prefill_time: read,
        first_event_forecast: pass_with(profile, &engines[first], read),
    })
}

fn may_write(
    profile: &EngineProfile,
    request: &PromptRequirements,
    engine: &EngineCandidate,
) -> bool {
    let free = usable_memory(profile).saturating_sub(engine.load.tokens);
    engine.accepts_requests
        && engine.load.jobs < profile.slots
        && free >= request.prompt_tokens + request.expected_output_tokens
}

fn short_rank(
    profile: &EngineProfile,
    request: &PromptRequirements,
    engine: &EngineCandidate,
    read: Duration,
) -> ShortRank {
    let pass = pass_with(profile, engine, read);
    let gap = request
        .event_gap_target
        .min(engine.load.tightest_gap)
        .mul_f64(GAP_PART);
    let calm = pass <= gap && pass <= request.first_event_target.mul_f64(TARGET_PART);
    ShortRank {
        suspect: engine.suspect,
        harms: !calm,
        forecast: if calm { Duration::ZERO } else { pass },
        order: engine.shared_order,
    }
}

/// What speaks against an engine for a short prompt, the weightiest first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ShortRank {
    suspect: bool,
    harms: bool,
    forecast: Duration,
    order: u64,
}

impl ShortRank {
    /// Whether the same speaks against both, but for their place in the order.
    fn is_like(&self, other: &Self) -> bool {
        self.suspect == other.suspect && self.harms == other.harms
    }
}

/// Time of a pass of this engine that reads what waits there and `read` besides.
fn pass_with(profile: &EngineProfile, engine: &EngineCandidate, read: Duration) -> Duration {
    let work =
        engine.load.prefill_remaining + read + profile.decode_iteration_time(engine.load.jobs + 1);
    work.mul_f64(engine.slowdown)
}

/// An engine that may read a part of a long prompt.
#[derive(Debug, Clone, Copy)]
struct Reader {
    index: usize,
    /// Seconds of reading that its writers bear now; negative where they bear none.
    room: f64,
    /// Tokens of free memory.
    free: u64,
    /// Whether it may also write the answer.
    writes: bool,
}

fn place_long(
    profile: &EngineProfile,
    request: &PromptRequirements,
    engines: &[EngineCandidate],
    herd_avoidance: HerdAvoidance,
) -> Option<EnginePlacement> {
    let readers = readers(profile, engines, herd_avoidance);
    let early = request.first_event_target.mul_f64(TARGET_PART * EARLY_PART);
    let mut soonest: Option<EnginePlacement> = None;
    for parts in 1..=readers.len() {
        let Some(placement) = place_parts(profile, request, engines, &readers[..parts]) else {
            continue;
        };
        if request.waited + placement.first_event_forecast <= early {
            return Some(placement);
        }
        let sooner =
            |than: &EnginePlacement| placement.first_event_forecast < than.first_event_forecast;
        if soonest.as_ref().is_none_or(sooner) {
            soonest = Some(placement);
        }
    }
    // A late start is worth it only where no start would be on time any more; until then more
    // engines may become free.
    let may_be_on_time = request.waited + min_first_event_time(profile, request, engines.len())
        <= request.first_event_target;
    let longest = request.remaining.mul_f64(LATE_PART);
    soonest.filter(|placement| {
        let on_time = request.waited + placement.first_event_forecast <= request.first_event_target;
        on_time || !may_be_on_time && placement.first_event_forecast <= longest
    })
}

/// Engines that may read a part, those with the most room first.
fn readers(
    profile: &EngineProfile,
    engines: &[EngineCandidate],
    herd_avoidance: HerdAvoidance,
) -> Vec<Reader> {
    let able = engines.iter().enumerate();
    let able = able.filter(|(_, engine)| !engine.suspect && engine.load.long_prefills == 0);
    let mut readers: Vec<_> = able
        .map(|(index, engine)| reader(profile, engine, index))
        .collect();
    readers.sort_by(|a, b| {
        let order = |reader: &Reader| herd_avoidance.order(&engines[reader.index]);
        b.room
            .total_cmp(&a.room)
            .then_with(|| order(a).cmp(&order(b)))
    });
    readers.truncate(MAX_HELPERS + 1);
    readers
}

/// Places even parts on all of these engines, if none of their writers would pause too long.
fn place_parts(
    profile: &EngineProfile,
    request: &PromptRequirements,
    engines: &[EngineCandidate],
    chosen: &[Reader],
) -> Option<EnginePlacement> {
    let hops = profile.hop_ms / 1e3 * (chosen.len() - 1) as f64;
    let part =
        profile.prefill_time(request.prompt_tokens).as_secs_f64() / chosen.len() as f64 + hops;
    // The last one has the least room.
    chosen.last().filter(|last| last.room >= part)?;
    let (first, helpers) = hold(request, chosen, usable_memory(profile))?;
    Some(EnginePlacement {
        decoder: first,
        helpers,
        part_prefill_time: Duration::from_secs_f64(part),
        first_event_forecast: forecast(profile, engines, chosen, part),
    })
}

fn reader(profile: &EngineProfile, engine: &EngineCandidate, index: usize) -> Reader {
    let gap = engine.load.tightest_gap.as_secs_f64();
    let busy = engine.load.prefill_remaining + profile.decode_iteration_time(engine.load.jobs);
    let slots_left = engine.load.jobs < profile.slots;
    Reader {
        index,
        room: (gap * GAP_PART - busy.as_secs_f64()) / engine.slowdown.max(0.1),
        free: usable_memory(profile).saturating_sub(engine.load.tokens),
        writes: engine.accepts_requests && slots_left,
    }
}

fn forecast(
    profile: &EngineProfile,
    engines: &[EngineCandidate],
    chosen: &[Reader],
    part: f64,
) -> Duration {
    let part = Duration::from_secs_f64(part);
    let passes = chosen
        .iter()
        .map(|reader| pass_with(profile, &engines[reader.index], part));
    passes.max().unwrap_or_default()
}

/// Finds memory for a prompt: at the first engine, and reserved at helpers for what it lacks.
/// Nothing is reserved for prompts that fit into the memory `whole` of one engine.
fn hold(
    request: &PromptRequirements,
    chosen: &[Reader],
    whole: u64,
) -> Option<(usize, Vec<PrefillHelper>)> {
    let tokens = request.prompt_tokens + request.expected_output_tokens;
    let first = chosen
        .iter()
        .filter(|reader| reader.writes)
        .max_by_key(|reader| reader.free)?;
    let mut lacking = tokens.saturating_sub(first.free);
    if lacking > 0 && tokens <= whole {
        return None;
    }
    let mut helpers = Vec::new();
    for reader in chosen.iter().filter(|reader| reader.index != first.index) {
        let reserved_tokens = lacking.min(reader.free);
        lacking -= reserved_tokens;
        let engine = reader.index;
        helpers.push(PrefillHelper {
            engine,
            reserved_tokens,
        });
    }
    (lacking == 0).then_some((first.index, helpers))
}
