//! Order of the long prompts that wait at different gateways for the same engines.

use crate::engine_choice::{
    EngineCandidate, EnginePlacement, MAX_HELPERS, PrefillHelper, PromptRequirements, usable_tokens,
};
use crate::engine_profile::EngineProfile;
use crate::engine_queue::QueueOrder;
use crate::team_shares::TeamsOverShare;
use proto::{ReportedPrompt, ServiceKey, ServiceQueue, TeamKey, WaitingFrame};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Prompts of each service that gateways tell each other. While the first ones wait, the others
/// rarely start, and they are reported as they move up.
pub const MAX_REPORTED_PROMPTS: usize = 4;
/// Services for which gateways tell each other what waits.
pub const MAX_REPORTED_SERVICES: usize = 8;
/// Age from which a peer's report is ignored. It is over twice the longest interval between the
/// frames of a gateway where prompts wait.
const REPORT_TTL: Duration = Duration::from_millis(500);
/// Longest time for which engines stay idle for a peer's prompt.
const MAX_HOLD: Duration = Duration::from_millis(200);
/// Peers whose reports are kept; three times the gateways that are expected in two years.
const MAX_PEERS: usize = 1_024;
/// Fraction of the time left in which a prompt has to be prefilled to count as on time. The rest
/// allows for the work that its engines already have.
const ON_TIME_FRACTION: f64 = 0.8;

/// Hashes the name of a service, so that frames stay small.
pub fn service_key(name: &str) -> ServiceKey {
    xxh3_64(name.as_bytes())
}

/// Smallest number of idle engines with which a prompt is on time and fits into their memory, up to
/// the number over which a prompt may be split.
pub fn engines_needed(profile: &EngineProfile, request: &PromptRequirements) -> usize {
    let left = request.first_event_target.saturating_sub(request.waited);
    let time = left.mul_f64(ON_TIME_FRACTION).as_secs_f64();
    let prefill_s = profile.prefill_time(request.prompt_tokens).as_secs_f64();
    let tokens = request.prompt_tokens + request.expected_output_tokens;
    let is_enough = |engines: &usize| {
        let hops_s = profile.hop_ms / 1e3 * (engines - 1) as f64;
        let has_memory = tokens <= usable_tokens(profile) * *engines as u64;
        has_memory && prefill_s / *engines as f64 + hops_s <= time
    };
    (1..=MAX_HELPERS).find(is_enough).unwrap_or(MAX_HELPERS + 1)
}

/// Prompts that wait at peers, as far as they have reported them.
///
/// Load pattern: more long prompts than the engines can prefill in time, at several gateways. Each
/// gateway orders only its own, so that a prompt waits behind less urgent ones that other gateways
/// start.
#[derive(Debug, Default)]
pub struct FleetQueue {
    peers: BTreeMap<Box<str>, PeerReport>,
}

#[derive(Debug)]
struct PeerReport {
    reported_at: Duration,
    prompts: Vec<PeerPrompt>,
}

#[derive(Debug)]
struct PeerPrompt {
    service: ServiceKey,
    reported: ReportedPrompt,
    /// Latest start with which it is on time, by this gateway's clock. The travel time of the frame makes
    /// it too late, so that two gateways with equally urgent prompts never both wait for each other.
    latest_start: Option<Duration>,
    /// Since when engines have been left to it.
    held_since: Option<Duration>,
}

impl PeerPrompt {
    /// Place of the prompt in the order of the queue; `None` if it cannot be on time.
    fn order(&self, over_share: &TeamsOverShare, now: Duration) -> Option<QueueOrder> {
        let latest_start = self.latest_start.filter(|latest| *latest >= now)?;
        Some(QueueOrder {
            is_late: false,
            rank: self.reported.rank,
            shares_over: over_share.steps(self.reported.team),
            latest_start,
        })
    }

    fn is_hold_over(&self, now: Duration) -> bool {
        self.held_since.is_some_and(|since| since + MAX_HOLD <= now)
    }
}

/// A long prompt of this gateway for which engines are looked for.
#[derive(Debug, Clone, Copy)]
pub struct LocalPrompt<'a> {
    /// Its service.
    pub service: ServiceKey,
    /// Its place in the queue.
    pub order: QueueOrder,
    /// What it needs of engines, as of now.
    pub requirements: &'a PromptRequirements,
}

/// Whether a prompt starts.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetPlacement {
    /// It starts on these engines.
    Start(EnginePlacement),
    /// It waits, as the engines cannot take it now.
    NoEngines,
    /// It waits, as its engines are left to more urgent prompts at peers.
    Held {
        /// Peer that has the most urgent of them.
        peer: Box<str>,
        /// Rank of that prompt.
        rank: u8,
        /// Number of engines that all of them need.
        engines: usize,
    },
}

impl FleetQueue {
    /// Replaces what a peer has reported.
    pub fn on_peer_frame(&mut self, peer: &str, frame: &WaitingFrame, now: Duration) {
        let before = self.peers.remove(peer);
        if self.peers.len() >= MAX_PEERS {
            self.peers.retain(|_, report| report.is_current(now));
        }
        let before = before.map_or(Vec::new(), |report| report.prompts);
        let services = frame.services.iter().take(MAX_REPORTED_SERVICES);
        let prompts: Vec<_> = services
            .flat_map(|queue| peer_prompts(queue, &before, now))
            .collect();
        if !prompts.is_empty() && self.peers.len() < MAX_PEERS {
            let report = PeerReport {
                reported_at: now,
                prompts,
            };
            self.peers.insert(peer.into(), report);
        }
    }

    /// Whether prompts wait at a peer.
    pub fn has_waiting(&self, now: Duration) -> bool {
        self.peers.values().any(|report| report.is_current(now))
    }

    /// Teams of the prompts that wait at peers.
    pub fn waiting_teams(&self, now: Duration) -> impl Iterator<Item = TeamKey> {
        let reports = self.peers.values();
        let current = reports.filter(move |report| report.is_current(now));
        let prompts = current.flat_map(|report| &report.prompts);
        prompts.map(|prompt| prompt.reported.team)
    }

    /// Number of prompts that are kept.
    pub fn len(&self) -> usize {
        self.peers.values().map(|report| report.prompts.len()).sum()
    }

    /// Whether no prompts are kept.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Places a long prompt with `place`, on engines that more urgent prompts at peers do not need.
    /// Engines are left to each of these prompts for a limited time, which begins when this gateway
    /// first does without them. It begins anew once other prompts have taken all engines.
    pub fn place(
        &mut self,
        prompt: &LocalPrompt<'_>,
        engines: &[EngineCandidate],
        over_share: &TeamsOverShare,
        place: impl Fn(&[EngineCandidate]) -> Option<EnginePlacement>,
        now: Duration,
    ) -> FleetPlacement {
        let usable = usable_engines(engines);
        if usable.is_empty() {
            self.end_holds(prompt.service);
        }
        let Some(preferred) = place(engines) else {
            return FleetPlacement::NoEngines;
        };
        let mut urgent = self.more_urgent(prompt, over_share, now);
        urgent.sort_by_key(|(_, order, _)| *order);
        let needed = urgent
            .iter()
            .map(|(_, _, peer_prompt)| peer_prompt.engines());
        let needed: usize = needed.sum();
        let Some((peer, order, _)) = urgent.first() else {
            return FleetPlacement::Start(preferred);
        };
        let held = FleetPlacement::Held {
            peer: (*peer).into(),
            rank: order.rank,
            engines: needed,
        };
        if usable.len() >= needed + 1 + preferred.helpers.len() {
            return FleetPlacement::Start(preferred);
        }
        for (_, _, peer_prompt) in urgent {
            peer_prompt.held_since.get_or_insert(now);
        }
        let left = &usable[..needed.min(usable.len())];
        let is_on_time = |placement: &EnginePlacement| {
            prompt.requirements.waited + placement.first_event_forecast
                <= prompt.requirements.first_event_target
        };
        place_on_others(engines, left, place)
            .filter(|placement| is_on_time(placement) || !is_on_time(&preferred))
            .map_or(held, FleetPlacement::Start)
    }

    /// Records that no engines are left to the prompts of a service.
    fn end_holds(&mut self, service: ServiceKey) {
        let prompts = self
            .peers
            .values_mut()
            .flat_map(|report| &mut report.prompts);
        for prompt in prompts.filter(|prompt| prompt.service == service) {
            prompt.held_since = None;
        }
    }

    /// Prompts at peers that are more urgent than this one, with the peer and their order.
    fn more_urgent(
        &mut self,
        prompt: &LocalPrompt<'_>,
        over_share: &TeamsOverShare,
        now: Duration,
    ) -> Vec<(&str, QueueOrder, &mut PeerPrompt)> {
        let current = self.peers.iter_mut();
        let current = current.filter(|(_, report)| report.is_current(now));
        let prompts = current.flat_map(|(peer, report)| {
            let prompts = report.prompts.iter_mut();
            prompts.map(move |peer_prompt| (&**peer, peer_prompt))
        });
        let urgent = prompts.filter_map(|(peer, peer_prompt)| {
            let order = peer_prompt.order(over_share, now)?;
            let is_counted = peer_prompt.service == prompt.service
                && !peer_prompt.is_hold_over(now)
                && order < prompt.order;
            is_counted.then_some((peer, order, peer_prompt))
        });
        urgent.collect()
    }
}

impl PeerReport {
    fn is_current(&self, now: Duration) -> bool {
        now <= self.reported_at + REPORT_TTL
    }
}

impl PeerPrompt {
    fn engines(&self) -> usize {
        usize::from(self.reported.engines)
    }
}

fn peer_prompts<'a>(
    queue: &'a ServiceQueue,
    before: &'a [PeerPrompt],
    now: Duration,
) -> impl Iterator<Item = PeerPrompt> + 'a {
    let reported = queue.prompts.iter().take(MAX_REPORTED_PROMPTS);
    reported.map(move |reported| {
        let known = before
            .iter()
            .find(|known| known.service == queue.service && known.reported.id == reported.id);
        PeerPrompt {
            service: queue.service,
            reported: *reported,
            latest_start: reported.latest_start_in.map(|left| now + left),
            held_since: known.and_then(|known| known.held_since),
        }
    })
}

/// Indices of the engines on which long prompts may start, those first that are best for them.
fn usable_engines(engines: &[EngineCandidate]) -> Vec<usize> {
    let usable =
        |engine: &EngineCandidate| engine.suspect.is_none() && engine.load.long_prefills == 0;
    let mut indices: Vec<_> = (0..engines.len())
        .filter(|index| usable(&engines[*index]))
        .collect();
    indices.sort_by_key(|index| {
        let engine = &engines[*index];
        let load = &engine.load;
        (
            load.prefill_remaining,
            load.jobs,
            Reverse(engine.shared_order),
        )
    });
    indices
}

/// Places a prompt on the engines that are not in `left`.
fn place_on_others(
    engines: &[EngineCandidate],
    left: &[usize],
    place: impl Fn(&[EngineCandidate]) -> Option<EnginePlacement>,
) -> Option<EnginePlacement> {
    let others: Vec<_> = (0..engines.len())
        .filter(|index| !left.contains(index))
        .collect();
    let candidates: Vec<_> = others.iter().map(|index| engines[*index].clone()).collect();
    let placement = place(&candidates)?;
    let helpers = placement.helpers.iter();
    let helpers = helpers.map(|helper| PrefillHelper {
        engine: others[helper.engine],
        ..*helper
    });
    Some(EnginePlacement {
        decoder: others[placement.decoder],
        helpers: helpers.collect(),
        ..placement
    })
}
