//! Selection of the gateways that watch the store; the others learn of changes from them.

use crate::fleet_load::server_key;
use std::time::Duration;

/// Number of gateways that watch the store. With three failure domains, that is usually two in
/// each, so that losing a domain and a host in another one leaves three.
pub const STORE_WATCHER_COUNT: usize = 6;
/// A gateway that was silent for this long is not counted as a watcher. The time covers at least
/// two of the frames that it sends regularly.
const WATCHER_TIMEOUT: Duration = Duration::from_secs(1);

/// A table counts as unanswered after this time without a response, which covers one poll and the pause
/// after it.
const TABLE_TIMEOUT: Duration = Duration::from_millis(1_900);

/// Another gateway, as this one sees it.
#[derive(Debug, Clone, Copy)]
pub struct PeerGateway<'a> {
    /// Host name; its hash decides the order of the gateways.
    pub name: &'a str,
    /// Time since its last message.
    pub heard_ago: Duration,
    /// Whether it watches the store and the store answers it, according to its last message.
    pub reaches_store: bool,
}

/// Whether a gateway must watch the store itself: it must unless [`STORE_WATCHER_COUNT`] gateways
/// that precede it in an order common to all do so and were heard from recently.
///
/// This guards the store in a large fleet, where each change would otherwise wake the pending
/// store calls of all gateways.
pub fn should_watch_store<'a>(own: &str, peers: impl Iterator<Item = PeerGateway<'a>>) -> bool {
    let rank = server_key(own);
    let before = peers.filter(|peer| {
        peer.reaches_store && peer.heard_ago < WATCHER_TIMEOUT && server_key(peer.name) < rank
    });
    before.count() < STORE_WATCHER_COUNT
}

/// Whether the store answered for each of the tables lately, which were last answered at these times;
/// `None` for never. A watcher of which one table is stuck passes nothing of it on.
pub fn is_store_reached(
    answered_at: impl IntoIterator<Item = Option<Duration>>,
    now: Duration,
) -> bool {
    let mut tables = answered_at.into_iter();
    tables.all(|at| at.is_some_and(|at| now < at + TABLE_TIMEOUT))
}
