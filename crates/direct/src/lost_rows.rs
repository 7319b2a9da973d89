//! What gateways learn from each other that a store may lack which has come back from a copy.

use crate::content_stream::FetchError;
use crate::peers::Peers;
use async_io::Timer;
use futures_lite::future::zip;
use rand::seq::SliceRandom as _;
use rand::{random, rng};
use slog::info;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

/// Pause between rounds in which peers are asked.
const PAUSE: Duration = Duration::from_millis(50);
/// Peers that are asked after the store has come back, in case that one of them has missed a change too.
const ASKED_AFTER_RESTORE: usize = 2;
/// Over this time the questions of all gateways are spread, and in so many rounds peers are asked that do not tell.
const RESTORE_SPREAD: Duration = Duration::from_millis(200);
const RESTORE_ROUNDS: usize = 3;
/// Peers that are asked although nobody has heard whether they ran on, so that the starts of all gateways together
/// cost a few questions for each. Others say so in their load frames.
const MAX_ASKED: usize = 8;

/// Asks peers for all that they know at the start, and whenever the store has come back, until the process ends.
pub async fn learn_lost_rows(peers: Arc<Peers>) {
    learn_at_start(&peers).await;
    let restored = peers.shared().restored();
    while restored.recv().await.is_ok() {
        learn_after_restore(&peers).await;
    }
}

/// Asks until one has told, or what the store says holds anyway.
async fn learn_at_start(peers: &Peers) {
    let shared = peers.shared();
    if peers.is_first_gateway() && shared.lock_start_hold().end() {
        info!(shared.log, "start: no gateway ran before");
    }
    let mut asked = HashSet::new();
    while shared.is_starting() {
        // A store that states no era has lost nothing.
        if !shared.lock_start_hold().holds(shared.clock.now()) {
            Timer::after(PAUSE).await;
            continue;
        }
        let mut round = next_round(peers, &asked).into_iter();
        let (first, second) = (round.next(), round.next());
        asked.extend(first.iter().chain(&second).cloned());
        let has_told = zip(ask(peers, first), ask(peers, second)).await;
        if (has_told.0 || has_told.1) && shared.lock_start_hold().end() {
            // Others that start wait to hear of one that knows.
            shared.fleet.urgent().notify();
        }
        Timer::after(PAUSE).await;
    }
    info!(shared.log, "start: over"; "asked" => asked.len());
}

/// Asks for changes that this gateway has missed and that the copy lacks, as it was frozen or cut off.
async fn learn_after_restore(peers: &Peers) {
    Timer::after(RESTORE_SPREAD.mul_f64(random())).await;
    let mut asked = HashSet::new();
    let mut told = 0;
    for _ in 0..RESTORE_ROUNDS {
        let mut names = peers.names();
        names.retain(|name| !asked.contains(name));
        names.shuffle(&mut rng());
        for name in names.into_iter().take(ASKED_AFTER_RESTORE - told) {
            asked.insert(name.clone());
            told += usize::from(ask(peers, Some(name)).await);
        }
        if told == ASKED_AFTER_RESTORE {
            return;
        }
        Timer::after(PAUSE).await;
    }
}

/// Peers to ask, the best first: those that are known to have run on, then any that were not asked.
fn next_round(peers: &Peers, asked: &HashSet<Box<str>>) -> Vec<Box<str>> {
    let mut known = peers.known();
    known.shuffle(&mut rng());
    let (ran_on, mut others): (Vec<_>, Vec<_>) = known.into_iter().partition(|(_, ran_on)| *ran_on);
    others.retain(|(name, _)| !asked.contains(name));
    others.truncate(MAX_ASKED.saturating_sub(asked.len()));
    let round = ran_on.into_iter().chain(others);
    round.map(|(name, _)| name).collect()
}

/// Asks a peer, and returns whether it has told.
async fn ask(peers: &Peers, peer: Option<Box<str>>) -> bool {
    let Some(peer) = peer else {
        return false;
    };
    let shared = peers.shared();
    let fetched = peers.fetch_first(&peer).await;
    match &fetched {
        Ok(()) => info!(shared.log, "peers: one that ran on has told what it knows";
            "peer" => &*peer),
        Err(FetchError::Starting) => {}
        Err(err) => info!(shared.log, "peers: one does not tell what it knows";
            "peer" => &*peer, "err" => %err),
    }
    fetched.is_ok()
}
