//! Which gateways follow the store; the others hear of changes from them.

use crate::fleet_load::server_key;
use std::time::Duration;

/// Gateways that follow the store: two in each of three failure domains as a rule, so that the
/// loss of a domain and of a host elsewhere leaves three.
pub const STORE_WATCHERS: usize = 6;
/// A gateway that was silent for this long does not count as following: two of the frames that
/// it sends at least.
const WATCHER_SILENT: Duration = Duration::from_secs(1);

/// Another gateway, as this one knows it.
#[derive(Debug, Clone, Copy)]
pub struct PeerGateway<'a> {
    /// Name.
    pub name: &'a str,
    /// Time since it was heard.
    pub heard_ago: Duration,
    /// Whether the store answered it lately, by its last word.
    pub reaches_store: bool,
}

/// Whether a gateway has to follow the store itself: unless enough of those that come before it
/// in a common order do, and are heard.
///
/// Load pattern: a large fleet, each change of which would wake every gateway's calls to the store.
pub fn should_watch_store<'a>(own: &str, peers: impl Iterator<Item = PeerGateway<'a>>) -> bool {
    let rank = server_key(own);
    let before = peers.filter(|peer| {
        peer.reaches_store && peer.heard_ago < WATCHER_SILENT && server_key(peer.name) < rank
    });
    before.count() < STORE_WATCHERS
}
