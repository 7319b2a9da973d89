//! Exchanges with peers which prompts wait for engines.

use crate::hold_notices::HoldNotices;
use crate::news_stream::PeerNews;
use crate::peers::Peers;
use crate::shared::Shared;
use crate::signal::Signal;
use async_io::Timer;
use futures_lite::future::or;
use policy::{
    EngineCandidate, EnginePlacement, FleetPlacement, FleetQueue, LocalPrompt, TeamShares,
    TeamsOverShare, WaitingFrames,
};
use proto::{ServiceKey, StreamOpening, TeamKey, WaitingFrame};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Prompts that wait here and at peers, and what teams have got.
#[derive(Debug, Default)]
pub struct SharedWaiting {
    state: Mutex<WaitingState>,
    /// Signalled when a frame may have become due.
    changed: Signal,
}

/// Content of [`SharedWaiting`].
#[derive(Debug, Default)]
pub struct WaitingState {
    /// Prompts that wait at peers.
    pub fleet_queue: FleetQueue,
    /// Prefill time started for teams.
    pub shares: TeamShares,
    /// Frames for peers.
    pub frames: WaitingFrames,
}

impl WaitingState {
    /// Time until the next frame is due; `None` while there is nothing to tell.
    fn next_frame_in(&self, peers: usize, now: Duration) -> Option<Duration> {
        let has_starts = !self.shares.is_empty() && self.fleet_queue.has_waiting(now);
        let next = self.frames.next_at(peers, has_starts, now)?;
        Some(next.saturating_sub(now))
    }
}

impl SharedWaiting {
    pub(crate) fn lock(&self) -> MutexGuard<'_, WaitingState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Teams over their share, where `own` are those with prompts that wait here.
    pub fn teams_over_share(
        &self,
        own: impl Iterator<Item = TeamKey>,
        now: Duration,
    ) -> TeamsOverShare {
        let mut state = self.lock();
        let WaitingState {
            fleet_queue,
            shares,
            ..
        } = &mut *state;
        let waiting = own.chain(fleet_queue.waiting_teams(now));
        shares.over_share(waiting, now).clone()
    }

    /// Records that prompts wait only for these services, after an assignment of engines.
    pub fn on_assigned(&self, services: &[ServiceKey]) {
        let mut state = self.lock();
        state.frames.retain_services(services);
        if state.frames.has_changed() {
            self.changed.notify();
        }
    }

    /// Records that a prompt starts that takes `prefill_time` on all its engines together.
    pub fn on_start(&self, team: TeamKey, prefill_time: Duration, now: Duration) {
        let mut state = self.lock();
        state.shares.record_start(team, prefill_time, now);
        if state.fleet_queue.has_waiting(now) {
            self.changed.notify();
        }
    }
}

/// Places a long prompt, unless its engines are left to more urgent prompts at peers.
pub fn place_in_fleet_order(
    shared: &Shared,
    notices: &HoldNotices,
    prompt: &LocalPrompt<'_>,
    engines: &[EngineCandidate],
    over_share: &TeamsOverShare,
    place: impl Fn(&[EngineCandidate]) -> Option<EnginePlacement>,
) -> Option<EnginePlacement> {
    let now = shared.clock.now();
    let placed = {
        let queue = &mut shared.waiting.lock().fleet_queue;
        queue.place(prompt, engines, over_share, place, now)
    };
    match placed {
        FleetPlacement::Start(placement) => Some(placement),
        FleetPlacement::NoEngines => None,
        FleetPlacement::Held {
            peer,
            rank,
            engines,
        } => {
            notices.on_held(shared, &peer, rank, engines);
            None
        }
    }
}

/// Tells all peers which prompts wait here, whenever a frame is due, until the process ends.
pub async fn broadcast_waiting(peers: Arc<Peers>) {
    loop {
        frame_due(peers.shared()).await;
        peers.wake_waiting_streams();
    }
}

/// Waits until a frame is due for all peers.
async fn frame_due(shared: &Shared) {
    let waiting = &shared.waiting;
    loop {
        let peers = shared.fleet.gateways().saturating_sub(1);
        let next = {
            let now = shared.clock.now();
            let mut state = waiting.lock();
            let next = state.next_frame_in(peers, now);
            if next == Some(Duration::ZERO) {
                state.frames.on_frame_due(now);
                return;
            }
            next
        };
        let timer = async {
            match next {
                Some(wait) => drop(Timer::after(wait).await),
                None => std::future::pending().await,
            }
        };
        or(waiting.changed.notified(), timer).await;
    }
}

/// Exchanges the first waiting prompts with peers.
#[derive(Debug)]
pub struct WaitingNews;

impl PeerNews for WaitingNews {
    type Frame = WaitingFrame;
    const OPENING: StreamOpening = StreamOpening::Waiting;
    const NAME: &str = "waiting prompts";

    fn revision(shared: &Shared) -> u64 {
        shared.waiting.lock().frames.revision()
    }

    fn changed_since(shared: &Shared, revision: Option<u64>) -> (Option<WaitingFrame>, u64) {
        let now = shared.clock.now();
        let mut state = shared.waiting.lock();
        let current = state.frames.revision();
        let is_told = revision == Some(current);
        let is_new_and_idle = revision.is_none() && state.frames.is_empty();
        if is_told || is_new_and_idle {
            return (None, current);
        }
        let started = state.shares.report(now);
        (Some(state.frames.frame(started, now)), current)
    }

    fn on_frame(shared: &Shared, peer: &str, frame: WaitingFrame) {
        let now = shared.clock.now();
        let mut state = shared.waiting.lock();
        let had_waiting = state.fleet_queue.has_waiting(now);
        state.fleet_queue.on_peer_frame(peer, &frame, now);
        state.shares.on_peer_frame(peer, &frame, now);
        if !had_waiting && state.fleet_queue.has_waiting(now) {
            shared.waiting.changed.notify();
        }
    }
}
