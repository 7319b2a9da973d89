//! Pauses that backend servers ask this gateway for.

use crate::fleet_load::server_key;
use proto::ServerKey;
use std::collections::HashMap;
use std::time::Duration;

/// Longest pause that is kept. A server that asks for more is asked again after this time.
const MAX_PAUSE: Duration = Duration::from_secs(300);
/// After a pause, requests go to a server at an interval of this much for each gateway, which lets all of
/// them together send 40 requests per second.
const INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(25);
/// Shortest time after a pause for which that holds.
const MIN_RECOVERY: Duration = Duration::from_secs(2);
/// Number of servers above which those whose pauses and recoveries are over are dropped.
const MAX_TRACKED_SERVERS: usize = 4_096;

#[derive(Debug)]
struct Pause {
    /// End of the pause.
    end: Duration,
    /// End of the time after it in which requests are spread.
    recovered_at: Duration,
    /// Time before which the next request must not be sent.
    next_send: Duration,
    interval: Duration,
}

/// Servers that want no requests of this gateway for a while.
///
/// Load pattern: all requests that waited for a server would go to it at the end of its pause, from all
/// gateways, and it would ask for the next one.
#[derive(Debug, Default)]
pub struct ServerPauses {
    pauses: HashMap<ServerKey, Pause>,
}

impl ServerPauses {
    /// Records that a server asks for a pause; returns how long it is kept. `jitter` is between 0 and 1,
    /// and `gateways` the number of gateways that may send to the server afterwards.
    pub fn on_request(
        &mut self,
        server: &str,
        pause: Duration,
        now: Duration,
        (gateways, jitter): (usize, f64),
    ) -> Duration {
        let kept = pause.min(MAX_PAUSE);
        if self.pauses.len() >= MAX_TRACKED_SERVERS {
            self.pauses.retain(|_, pause| now < pause.recovered_at);
        }
        let interval = INTERVAL_PER_GATEWAY * gateways as u32;
        let end = now + kept;
        let new = Pause {
            end,
            recovered_at: end + interval.max(MIN_RECOVERY),
            next_send: end + interval.mul_f64(jitter),
            interval,
        };
        let key = server_key(server);
        // A pause that was asked for before may last longer.
        if self.pauses.get(&key).is_none_or(|known| known.end < end) {
            self.pauses.insert(key, new);
        }
        kept
    }

    /// Whether a server wants no requests now.
    pub fn is_paused(&self, server: &str, now: Duration) -> bool {
        self.end(server).is_some_and(|end| now < end)
    }

    /// End of the last pause of a server.
    pub fn end(&self, server: &str) -> Option<Duration> {
        Some(self.pauses.get(&server_key(server))?.end)
    }

    /// Whether a request may be sent to a server now.
    pub fn has_room(&self, server: &str, now: Duration) -> bool {
        let pause = self.pauses.get(&server_key(server));
        pause.is_none_or(|pause| now >= pause.recovered_at || now >= pause.next_send)
    }

    /// Counts a request that is sent to a server now; returns `false`, and counts nothing, if none may be
    /// sent.
    pub fn claim_send(&mut self, server: &str, now: Duration) -> bool {
        if !self.has_room(server, now) {
            return false;
        }
        if let Some(pause) = self.pauses.get_mut(&server_key(server)) {
            pause.next_send = now + pause.interval;
        }
        true
    }

    /// Number of servers that want no requests now.
    pub fn paused_servers(&self, now: Duration) -> usize {
        let pauses = self.pauses.values();
        pauses.filter(|pause| now < pause.end).count()
    }
}
