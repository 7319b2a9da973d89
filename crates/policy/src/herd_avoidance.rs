//! Placement of prompts by gateways that do not know of each other's latest placements.

use crate::engine_choice::EngineCandidate;
use crate::fleet_load::OWN_PLACEMENT_WINDOW;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Unseen placements for each peer that are expected at any time. A burst can begin before any
/// report shows it.
const MIN_UNSEEN_PER_PEER: f64 = 0.1;
/// Number of unseen placements from which long prompts are placed in a random order: from there on
/// it is likely enough that one of them is long.
const RANDOM_ORDER_MIN_UNSEEN: f64 = 2.0;
/// Room that the engines to pick from have for each unseen placement. Some of them get more than
/// their share of the placements.
const ROOM_PER_UNSEEN_PLACEMENT: f64 = 5.0;

/// Unseen placements that are assumed while no reports of peers arrive: more than the engines of a
/// service have slots, so that prompts are spread over all of them.
const UNSEEN_WITHOUT_REPORTS: f64 = 10_000.0;

/// Number of standard deviations by which the own placements may exceed the expected number before
/// they count as a burst.
const MAX_CHANCE_DEVIATIONS: f64 = 2.0;
/// Number of peers from which the estimate allows for reports that are late or missing. Fewer gateways
/// know most of the load by their own placements, and a higher estimate spreads short prompts over
/// engines that long ones need: before 14 engines, 0.55 of the longest prompts were on time, not 0.61.
pub(crate) const MANY_PEERS: usize = 8;
/// Age of the reports up to which it is a whole interval.
const MAX_SEND_TIME: Duration = Duration::from_millis(100);

/// Placements of the last moments, as far as a gateway knows them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KnownPlacements {
    /// Number of other gateways.
    pub peers: usize,
    /// Whether the reports of peers have had time to arrive. They have not while the gateway starts
    /// or its links are cut.
    pub hears_peers: bool,
    /// New prompts per second in the reports of all peers.
    pub reported_rate: f64,
    /// Prompts that this gateway has placed within the last quarter second.
    pub own: usize,
    /// Interval at which peers report.
    pub report_interval: Duration,
    /// Time since the last report of any peer. It grows while links are cut.
    pub silence: Duration,
}

impl KnownPlacements {
    fn estimate_unseen(&self) -> f64 {
        if !self.hears_peers && self.has_many_peers() {
            return UNSEEN_WITHOUT_REPORTS;
        }
        let unseen = self.placement_rate() * self.report_age().as_secs_f64();
        unseen.max(MIN_UNSEEN_PER_PEER * self.peers as f64)
    }

    fn has_many_peers(&self) -> bool {
        self.peers >= MANY_PEERS
    }

    /// Prompts that peers place per second: as reported, or if this gateway has placed more of late
    /// than chance explains at that rate, as many by each peer as by this gateway.
    fn placement_rate(&self) -> f64 {
        let window = OWN_PLACEMENT_WINDOW.as_secs_f64();
        let expected = self.reported_rate * window / self.peers.max(1) as f64;
        let own = self.own as f64;
        let is_chance = own <= expected + MAX_CHANCE_DEVIATIONS * expected.sqrt();
        if is_chance || !self.has_many_peers() {
            return self.reported_rate;
        }
        self.reported_rate.max(self.own_rate() * self.peers as f64)
    }

    /// Prompts that peers are known to place per second. A gateway that hears no peers may not know how
    /// many there are: at its start it assumes many, and its own placements times their number would hold
    /// long prompts back for nothing.
    fn known_rate(&self) -> f64 {
        if self.hears_peers {
            self.placement_rate()
        } else {
            self.reported_rate
        }
    }

    /// Prompts that this gateway places per second.
    fn own_rate(&self) -> f64 {
        self.own as f64 / OWN_PLACEMENT_WINDOW.as_secs_f64()
    }

    /// Mean age of the reports: half an interval, and with many peers the time that a gateway takes to
    /// send them, which grows with their number as the interval does, and the time since the last of them.
    fn report_age(&self) -> Duration {
        let interval = self.report_interval;
        if !self.has_many_peers() {
            return interval / 2;
        }
        interval.min(MAX_SEND_TIME).max(interval / 2) + self.silence
    }
}

/// Randomizes placements, because the load that a gateway knows of is out of date.
///
/// Load pattern: many gateways whose load reports arrive late. Each of them would choose the engine
/// that looks best, and all would choose the same one.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct HerdAvoidance {
    /// Expected number of prompts that other gateways have placed and not reported yet.
    pub unseen_placements: f64,
    /// Fraction of the gateways that may send requests to the same engine.
    pub sender_fraction: f64,
    /// Random number for this placement.
    pub random: u64,
    /// Prompts that all gateways together place per second.
    pub placement_rate: f64,
}

impl HerdAvoidance {
    /// Estimates the unseen placements from those that are known.
    ///
    /// Load pattern: bursts of a few seconds, in which one kind of prompt prevails after another, and
    /// starts of all gateways at once. While the estimate is too low, short prompts overfill some
    /// engines; while it is too high, they take the engines that long prompts need. Reports show a
    /// burst only after its first moments. Until then the gateway's own arrivals show it: the other
    /// gateways get about as many.
    pub fn estimate(known: &KnownPlacements, sender_fraction: f64, random: u64) -> Self {
        Self {
            unseen_placements: known.estimate_unseen(),
            sender_fraction,
            random,
            placement_rate: known.known_rate() + known.own_rate(),
        }
    }

    /// Picks one of several choices, sorted from best to worst, of which only the first ones are
    /// used: as many as have room for several times the unseen placements. `rooms` has for each
    /// choice the number of prompts that it can still take, and a choice is picked the more often
    /// the more it has. The last room of a choice is left to the unseen placements if there are any,
    /// while others have more.
    pub(crate) fn pick(&self, rooms: &[u32]) -> usize {
        let unseen = self.unseen_placements.max(0.0) * self.sender_fraction;
        let spares_last = unseen >= 1.0 && rooms.iter().any(|room| *room > 1);
        let spare = |room: &u32| if spares_last && *room == 1 { 0 } else { *room };
        let rooms: Vec<_> = rooms.iter().map(spare).collect();
        let wanted = 1.0 + ROOM_PER_UNSEEN_PLACEMENT * unseen;
        let mut total = 0_u64;
        let used = rooms.iter().take_while(|room| {
            let is_used = (total as f64) < wanted;
            total += if is_used { u64::from(**room) } else { 0 };
            is_used
        });
        let used = &rooms[..used.count()];
        let mut point = self.random % total.max(1);
        let picked = used.iter().position(|room| {
            let is_hit = point < u64::from(*room);
            point = point.saturating_sub(u64::from(*room));
            is_hit
        });
        picked.unwrap_or(0)
    }

    /// Sort key of an engine among equals for a long prompt: the reverse of the shared order, or a
    /// random order if another gateway is likely to place a long prompt by the shared order now.
    pub(crate) fn tie_break(&self, engine: &EngineCandidate) -> u64 {
        if self.unseen_placements < RANDOM_ORDER_MIN_UNSEEN {
            u64::MAX - engine.shared_order
        } else {
            xxh3_64(&(engine.shared_order ^ self.random).to_le_bytes())
        }
    }
}
