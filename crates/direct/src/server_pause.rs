//! Records the pauses that backend servers ask for in their refusals.

use crate::shared::Shared;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use slog::{info, warn};

/// Records the pause that a response asks for, if it does.
pub fn record(shared: &Shared, server: &str, status: StatusCode, headers: &HeaderMap) {
    let asked = match adapter::requested_pause(status, headers) {
        Ok(Some(asked)) => asked,
        Ok(None) => return,
        Err(err) => {
            warn!(shared.log, "servers: pause ignored"; "server" => server, "err" => %err);
            return;
        }
    };
    let now = shared.clock.now();
    let kept = shared.fleet.on_pause(server, asked, now);
    info!(shared.log, "servers: pause asked for"; "server" => server,
        "asked_s" => asked.as_secs_f64(), "kept_s" => kept.as_secs_f64());
    shared.metrics.pause();
    shared
        .metrics
        .set_paused_servers(shared.fleet.paused_servers(now));
}
