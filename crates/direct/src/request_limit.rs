//! Records the request limits that backend servers state in their responses, to this gateway or to
//! its peers.

use crate::news_stream::PeerNews;
use crate::shared::Shared;
use hyper::HeaderMap;
use proto::{RequestLimit, RequestLimitFrame, StreamOpening};
use slog::{info, warn};
use std::time::Duration;

/// Limits that are read from one frame.
const MAX_FRAME_LIMITS: usize = 4_096;

/// Records what the headers of a server's response state of its request limit. `sent_at` is when the
/// request was sent.
pub fn record(shared: &Shared, server: &str, headers: &HeaderMap, sent_at: Duration) {
    let rate = match adapter::request_limit(headers) {
        Ok(rate) => rate,
        Err(err) => {
            warn!(shared.log, "servers: request limit ignored"; "server" => server, "err" => %err);
            return;
        }
    };
    let now = shared.clock.now();
    if shared.fleet.on_request_limit(server, rate, sent_at, now) {
        info!(shared.log, "servers: request limit changed"; "server" => server, "per_s" => rate);
        update_metric(shared);
    }
}

/// Exchanges the request limits of servers with peers.
#[derive(Debug)]
pub struct LimitNews;

impl PeerNews for LimitNews {
    type Frame = RequestLimitFrame;
    const OPENING: StreamOpening = StreamOpening::RequestLimits;
    const NAME: &str = "request limits";

    fn revision(shared: &Shared) -> u64 {
        shared.fleet.limit_revision()
    }

    fn changed_since(shared: &Shared, revision: Option<u64>) -> (Option<RequestLimitFrame>, u64) {
        let now = shared.clock.now();
        let (limits, revision) = shared.fleet.request_limits_since(revision, now);
        let frame = (!limits.is_empty()).then_some(RequestLimitFrame { limits });
        (frame, revision)
    }

    fn on_frame(shared: &Shared, peer: &str, frame: RequestLimitFrame) {
        let limits = frame.limits.iter().take(MAX_FRAME_LIMITS);
        let mut has_changed = false;
        for limit in limits {
            has_changed |= record_from_peer(shared, peer, limit);
        }
        if has_changed {
            update_metric(shared);
        }
    }
}

/// Records what a peer has heard of a server's request limit; returns whether that has changed it.
fn record_from_peer(shared: &Shared, peer: &str, limit: &RequestLimit) -> bool {
    let now = shared.clock.now();
    let has_changed = shared.fleet.on_peer_request_limit(limit, now);
    if has_changed {
        let server = shared.store_cache.server_with_key(limit.server);
        info!(shared.log, "servers: request limit changed at a peer"; "server" => server.as_deref(),
            "per_s" => limit.rate, "peer" => peer, "age_ms" => limit.age.as_millis() as u64);
    }
    has_changed
}

fn update_metric(shared: &Shared) {
    let limited = shared.fleet.limited_servers();
    shared.metrics.set_limited_servers(limited);
}
