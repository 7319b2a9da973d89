//! Records servers that refuse connections or are named as at fault, tells peers of them and tries
//! those again that refuse connections.

use crate::news_stream::PeerNews;
use crate::server_probe::{ProbeResult, probe_server};
use crate::shared::Shared;
use async_io::Timer;
use policy::server_key;
use proto::{BackendEntry, ServerFailureFrame, ServerState, StreamOpening};
use runtime::HttpError;
use slog::{info, warn};
use std::collections::HashSet;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which servers that are due to be tried again are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Records that a server accepted a connection.
pub fn record_accepted(shared: &Shared, server: &BackendEntry) {
    let now = shared.clock.now();
    let fleet = &shared.fleet;
    fleet.with_failures(now, |failures| failures.on_accepted(server, now, now));
}

/// Records that a connection to a server could not be made.
pub fn record_failure(shared: &Shared, server: &BackendEntry, err: &HttpError) {
    let now = shared.clock.now();
    let is_refused = is_refusal(err);
    shared.fleet.with_failures(now, |failures| {
        if is_refused {
            failures.on_refused(server, now);
        } else {
            failures.on_no_reply(server, now);
        }
    });
}

/// Records that a connection to a server has had no reply for some time.
pub fn record_no_reply(shared: &Shared, server: &BackendEntry) {
    let now = shared.clock.now();
    let fleet = &shared.fleet;
    fleet.with_failures(now, |failures| failures.on_no_reply(server, now));
}

/// Records that a server has sent data.
pub fn record_data(shared: &Shared, server: &BackendEntry) {
    let now = shared.clock.now();
    let fleet = &shared.fleet;
    fleet.with_failures(now, |failures| failures.on_data(server, now));
}

/// Whether the host of a server refused a connection.
pub fn is_refusal(err: &HttpError) -> bool {
    matches!(err, HttpError::Connect(_, err) if err.kind() == ErrorKind::ConnectionRefused)
}

/// Tries servers again that refuse connections, until the process ends.
pub async fn maintain(shared: Arc<Shared>) {
    let mut domains_out = HashSet::new();
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let now = shared.clock.now();
        let (refusing, named) = shared.fleet.with_failures(now, |failures| {
            (failures.refusing_servers(), failures.named_servers(now))
        });
        shared.metrics.set_failed_servers(refusing, named);
        if refusing == 0 && domains_out.is_empty() {
            continue;
        }
        let servers = shared.store_cache.all_usable_servers(now);
        let shares = shared.fleet.send_shares();
        let (out, trial) = shared.fleet.with_failures(now, |failures| {
            let trial = failures.next_trial(&servers, &shares, now);
            (failures.domains_out(&servers), trial)
        });
        log_domains(&shared, &servers, &domains_out, &out);
        domains_out = out;
        if let Some(index) = trial {
            let result = probe_server(&shared, &servers[index]).await;
            info!(shared.log, "servers: tried again"; "server" => &*servers[index].id,
                "accepts" => result == ProbeResult::Accepted);
        }
    }
}

/// Logs the failure domains that are presumed gone now, and those that no longer are.
fn log_domains(
    shared: &Shared,
    servers: &[BackendEntry],
    before: &HashSet<u64>,
    now: &HashSet<u64>,
) {
    let names: HashSet<_> = servers.iter().map(|server| &*server.domain).collect();
    for name in names {
        let key = server_key(name);
        if now.contains(&key) && !before.contains(&key) {
            warn!(shared.log, "servers: failure domain presumed gone"; "domain" => name);
        } else if before.contains(&key) && !now.contains(&key) {
            info!(shared.log, "servers: failure domain no longer presumed gone"; "domain" => name);
        }
    }
}

/// Exchanges with peers which servers refuse connections or are named as at fault.
#[derive(Debug)]
pub struct FailureNews;

impl PeerNews for FailureNews {
    type Frame = ServerFailureFrame;
    const OPENING: StreamOpening = StreamOpening::ServerFailures;
    const NAME: &str = "server failures";

    fn revision(shared: &Shared) -> u64 {
        shared.fleet.failure_revision()
    }

    fn changed_since(shared: &Shared, revision: Option<u64>) -> (Option<ServerFailureFrame>, u64) {
        let now = shared.clock.now();
        let (reports, revision) = shared.fleet.server_reports_since(revision, now);
        let frame = (!reports.is_empty()).then_some(ServerFailureFrame { reports });
        (frame, revision)
    }

    fn on_frame(shared: &Shared, peer: &str, frame: ServerFailureFrame) {
        let now = shared.clock.now();
        let fleet = &shared.fleet;
        let news = fleet.with_failures(now, |failures| {
            failures.on_peer_reports(&frame.reports, now)
        });
        for report in news {
            let server = shared.store_cache.server_with_key(report.server);
            if report.state == ServerState::NamedAtFault {
                info!(shared.log, "servers: named as at fault to a peer";
                    "server" => server.as_deref(), "peer" => peer);
            } else {
                info!(shared.log, "servers: refuses connections of a peer";
                    "server" => server.as_deref(), "peer" => peer);
            }
        }
    }
}
