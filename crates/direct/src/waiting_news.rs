//! Exchanges with peers which prompts wait for engines.

use crate::news_stream::PeerNews;
use crate::peers::Peers;
use crate::shared::Shared;
use crate::signal::Signal;
use async_io::Timer;
use futures_lite::future::or;
use policy::{FleetQueue, TeamShares, WaitingFrames};
use proto::{StreamOpening, WaitingFrame};
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
