//! Records the request limits that backend servers state in their responses.

use crate::shared::Shared;
use hyper::HeaderMap;
use slog::{info, warn};
use std::time::Duration;

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
        info!(shared.log, "servers: request limit changed"; "server" => server, "per_s" => rate,
            "heard_from" => "server");
        let limited = shared.fleet.limited_servers();
        shared.metrics.set_limited_servers(limited);
    }
}
