//! Log lines and metrics of prompts that are held back.

use crate::shared::Shared;
use policy::{SoonAbleEngine, UrgentRoomShortage};
use slog::info;
use std::cell::Cell;
use std::time::Duration;

/// A waiting prompt, for log lines and metrics. Each reason for which it waits is told once.
#[derive(Debug)]
pub struct HoldNotices {
    req: Box<str>,
    is_held: Cell<bool>,
    is_over_share: Cell<bool>,
    awaits_engine: Cell<bool>,
    leaves_room: Cell<bool>,
}

impl HoldNotices {
    /// Notices about the prompt of the request with id `req`.
    pub fn new(req: Box<str>) -> Self {
        Self {
            req,
            is_held: Cell::default(),
            is_over_share: Cell::default(),
            awaits_engine: Cell::default(),
            leaves_room: Cell::default(),
        }
    }

    /// Tells that the prompt waits while its team is over its share.
    pub fn on_over_share(&self, shared: &Shared, shares: u8) {
        if shares == 0 || self.is_over_share.replace(true) {
            return;
        }
        shared.metrics.held_prompt("team share");
        info!(shared.log, "queue: prompt goes behind others of its rank"; "req" => &*self.req,
            "reason" => "its team has got more than its share", "shares" => shares);
    }

    /// Tells that the prompt waits while its engines are left to more urgent prompts at peers.
    pub fn on_held(&self, shared: &Shared, peer: &str, rank: u8, engines: usize) {
        if self.is_held.replace(true) {
            return;
        }
        shared.metrics.held_prompt("peers");
        info!(shared.log, "queue: prompt held back for a peer"; "req" => &*self.req,
            "reason" => "more urgent prompts wait at peers", "peer" => peer, "peer_rank" => rank,
            "engines" => engines);
    }

    /// Tells that the prompt waits for the engine `server`, which becomes able to meet its targets.
    pub fn on_soon_able(
        &self,
        shared: &Shared,
        server: &str,
        soon: &SoonAbleEngine,
        waited: Duration,
    ) {
        if self.awaits_engine.replace(true) {
            return;
        }
        shared.metrics.held_prompt("engine soon able");
        info!(shared.log, "queue: prompt waits for an engine"; "req" => &*self.req,
            "reason" => "an engine becomes able to meet its targets in time", "server" => server,
            "backlog_ms" => soon.backlog.as_millis() as u64,
            "forecast_ms" => soon.forecast.as_millis() as u64,
            "waited_ms" => waited.as_millis() as u64,
            "max_wait_ms" => soon.max_wait.as_millis() as u64);
    }

    /// Tells that the long prompt leaves its engines to more urgent short ones for now.
    pub fn on_urgent_room_shortage(
        &self,
        shared: &Shared,
        shortage: &UrgentRoomShortage,
        waited: Duration,
    ) {
        if self.leaves_room.replace(true) {
            return;
        }
        shared.metrics.held_prompt("urgent ranks");
        info!(shared.log, "queue: prompt leaves room for more urgent ones"; "req" => &*self.req,
            "reason" => "too few slots would be free for more urgent short prompts",
            "free_slots" => shortage.free_slots,
            "expected_prompts" => shortage.expected_prompts,
            "forecast_ms" => shortage.forecast.as_millis() as u64,
            "waited_ms" => waited.as_millis() as u64,
            "max_wait_ms" => shortage.max_wait.as_millis() as u64);
    }
}
