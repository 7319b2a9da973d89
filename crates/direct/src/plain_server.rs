//! Choice of the servers of plain services, which are those without engines.

use crate::assignment::{Assignment, NoServer};
use crate::call::Call;
use crate::crash_guard::server_in_turn;
use crate::job::Job;
use crate::prompt_queue::PAUSED_REASON;
use crate::send_permit::SendPermit;
use policy::{RetryTurn, choose_plain_server, suggest_retry_after_limit};
use proto::BackendEntry;
use slog::info;
use std::time::Duration;

/// `Retry-After` of requests for which there is no server.
const REFUSAL_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Callers are not told to come back later than this where servers are at their limits.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(15);

/// Chooses the server of a plain service that gets a request, and takes a permit to send it there.
///
/// A call that is sent again after a crash goes to the server of its `turn`.
pub fn choose_server(call: &Call, turn: Option<RetryTurn>) -> Option<(BackendEntry, SendPermit)> {
    let shared = &call.shared;
    let tried = call.tried.list();
    let service = &call.admitted.service;
    loop {
        let now = shared.clock.now();
        let mut servers = shared.store_cache.usable_servers(&service.name, now);
        servers.retain(|server| {
            !tried.contains(&server.id) && shared.fleet.may_send(service, &server.id, now)
        });
        let mut candidates = shared.fleet.plain_candidates(&servers, now);
        let in_turn = turn.and_then(|turn| {
            server_in_turn(shared, turn, &servers, |index| candidates[index].suspect)
        });
        if let Some(preferred) = in_turn {
            // The other servers are left for the case that this one refuses.
            for (index, candidate) in candidates.iter_mut().enumerate() {
                candidate.suspect = index != preferred;
            }
        }
        let chosen = choose_plain_server(&candidates)?;
        let server = servers.swap_remove(chosen);
        // Another request may have taken the last permit in the meantime.
        if let Some(permit) = SendPermit::take(shared, service, &server.id) {
            info!(shared.log, "plain: server chosen"; "req" => &*call.head.id,
                "server" => &*server.id, "jobs" => candidates[chosen].jobs,
                "suspect" => candidates[chosen].suspect, "of" => candidates.len());
            return Some((server, permit));
        }
    }
}

/// Why no server could be chosen, and when the caller should retry.
pub fn no_server(call: &Call) -> NoServer {
    let shared = &call.shared;
    let tried = call.tried.list();
    let service = &call.admitted.service;
    let now = shared.clock.now();
    let mut servers = shared.store_cache.usable_servers(&service.name, now);
    servers.retain(|server| !tried.contains(&server.id));
    if let Some(end) = shared.fleet.remove_paused(&mut servers, now)
        && servers.is_empty()
    {
        let wait = Some(end.saturating_sub(now));
        return NoServer {
            reason: PAUSED_REASON,
            retry_after: suggest_retry_after_limit(wait, rand::random()),
        };
    }
    let end = now + MAX_RETRY_AFTER;
    match shared.fleet.send_times(service, &servers, now, end) {
        Some(times) => {
            let time = times.time_to_return(0);
            let wait = time.map(|time| time.saturating_sub(now));
            NoServer {
                reason: "servers at their limits",
                retry_after: suggest_retry_after_limit(wait, rand::random()),
            }
        }
        None => NoServer {
            reason: "no server",
            retry_after: REFUSAL_RETRY_AFTER,
        },
    }
}

/// Assigns a server of a plain service to the stream of a call.
pub fn assign_stream(call: &Call, turn: Option<RetryTurn>) -> Result<Assignment, NoServer> {
    let chosen = choose_server(call, turn);
    let (server, permit) = chosen.ok_or_else(|| no_server(call))?;
    let job = Job::start_plain(&call.shared, &server);
    Ok(Assignment {
        server,
        helpers: Vec::new(),
        permit,
        job,
        forecast: None,
        stream: call.late_stream(),
    })
}
