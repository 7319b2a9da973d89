//! Placement of prompts by gateways that do not know of each other's latest placements.

use crate::engine_choice::EngineCandidate;
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
}

impl HerdAvoidance {
    /// Estimates the unseen placements of `peers` gateways, whose reports show `rate` new prompts
    /// per second.
    ///
    /// Load pattern: bursts of a few seconds, in which one kind of prompt prevails after another. A
    /// gateway's own arrivals are too few to show them in time. While the estimate is too low, short
    /// prompts overfill some engines; while it is too high, they take the engines that long prompts
    /// need.
    pub fn estimate(
        peers: usize,
        rate: f64,
        report_interval: Duration,
        sender_fraction: f64,
        random: u64,
    ) -> Self {
        // On average, a load report is half an interval old.
        let unseen = rate * report_interval.as_secs_f64() / 2.0;
        let unseen_placements = unseen.max(MIN_UNSEEN_PER_PEER * peers as f64);
        Self {
            unseen_placements,
            sender_fraction,
            random,
        }
    }

    /// Picks one of several choices, sorted from best to worst, of which only the first ones are
    /// used: as many as have room for several times the unseen placements. `rooms` has for each
    /// choice the number of prompts that it can still take, and a choice is picked the more often
    /// the more it has.
    pub(crate) fn pick(&self, rooms: &[u32]) -> usize {
        let unseen = self.unseen_placements.max(0.0) * self.sender_fraction;
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
