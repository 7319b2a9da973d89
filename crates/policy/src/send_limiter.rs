//! Limits on the requests that one gateway sends to each backend server.

use crate::fleet_load::server_key;
use crate::request_limits::RequestLimits;
use crate::send_shares::SendShares;
use crate::sliding_window::{SendRateCap, counted_span};
use proto::ServerKey;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Part of the bound for servers that may be cold that a process uses in its first second.
const STARTING_FRACTION: f64 = 0.2;
/// Number of servers above which those without recent sends are dropped.
const MAX_TRACKED_SERVERS: usize = 4_096;

/// Keeps the sends of one gateway to each server within its shares of two limits for all gateways
/// together: the bound that protects a server which may be cold, and the request limit that the
/// server states.
///
/// Load pattern: many gateways, each of which sees only its own sends. A limit that each of them kept
/// alone would be exceeded as many times as there are gateways.
#[derive(Debug)]
pub struct SendLimiter {
    started: Duration,
    shares: SendShares,
    limits: RequestLimits,
    servers: HashMap<ServerKey, ServerSends>,
}

/// Sends to one server, and this gateway's shares of its limits.
#[derive(Debug, Default)]
struct ServerSends {
    sent: SendRateCap,
    /// Requests that were given to this server and are not sent yet.
    reserved: usize,
    /// Absent until it is computed.
    cold_share: Option<ColdShare>,
    /// Absent until it is computed, and where the server states no limit.
    request_share: Option<RequestShare>,
}

/// Times at which a gateway may send requests to servers that all state limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendTimes {
    /// In ascending order, each with the number of requests up to then.
    times: Vec<SendTime>,
    /// Whether this gateway has a share of any of the limits.
    has_share: bool,
    end: Duration,
}

/// Time at which some requests may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SendTime {
    time: Duration,
    requests: usize,
}

impl SendTimes {
    /// Merges the times of several servers.
    fn new(mut times: Vec<SendTime>, has_share: bool, end: Duration) -> Self {
        times.sort_unstable_by_key(|time| time.time);
        let mut total: usize = 0;
        for time in &mut times {
            total = total.saturating_add(time.requests);
            time.requests = total;
        }
        Self {
            times,
            has_share,
            end,
        }
    }

    /// When a request can be sent that `ahead` others precede; `None` if that is not before the end
    /// of what was looked at.
    pub fn after(&self, ahead: usize) -> Option<Duration> {
        let index = self.times.partition_point(|time| time.requests <= ahead);
        self.times.get(index).map(|time| time.time)
    }

    /// When a caller should come back whose request cannot wait until [`Self::after`]. `None` if
    /// this gateway has no share of the limits, so that others have to serve it.
    pub fn time_to_return(&self, ahead: usize) -> Option<Duration> {
        self.after(ahead).or(self.has_share.then_some(self.end))
    }

    /// Number of times that are kept.
    pub fn len(&self) -> usize {
        self.times.len()
    }

    /// Whether nothing can be sent up to the end.
    pub fn is_empty(&self) -> bool {
        self.times.is_empty()
    }
}

/// Share of the bound for servers that may be cold.
#[derive(Debug, Clone, Copy)]
struct ColdShare {
    /// The bound, in requests per second; `None` if there is none.
    bound: Option<f64>,
    /// Requests of this gateway per second.
    requests: usize,
}

/// Share of a request limit.
#[derive(Debug, Clone, Copy)]
struct RequestShare {
    /// The limit, in requests per second.
    rate: f64,
    /// Sliding window in which the requests are counted.
    window: Duration,
    /// Requests of this gateway in one window.
    requests: usize,
}

impl SendLimiter {
    /// A limiter of the gateway `own`, which has started at `started` and does not know the others.
    pub fn of_starting(own: &str, started: Duration) -> Self {
        Self {
            started,
            shares: SendShares::of_starting(own),
            limits: RequestLimits::default(),
            servers: HashMap::new(),
        }
    }

    /// Sets how the limits are divided among the gateways.
    pub fn set_shares(&mut self, shares: SendShares) {
        if self.shares == shares {
            return;
        }
        self.shares = shares;
        for sends in self.servers.values_mut() {
            sends.cold_share = None;
            sends.request_share = None;
        }
    }

    /// How the limits are divided among the gateways.
    pub fn shares(&self) -> &SendShares {
        &self.shares
    }

    /// Request limits that the servers state.
    pub fn limits(&self) -> &RequestLimits {
        &self.limits
    }

    /// Request limits that the servers state, to be updated.
    pub fn limits_mut(&mut self) -> &mut RequestLimits {
        &mut self.limits
    }

    /// Whether one more request may be sent to a server now. `cold_bound` is the number of requests
    /// per second that all gateways may send to a server which may be cold.
    pub fn has_room(&mut self, server: &str, cold_bound: Option<f64>, now: Duration) -> bool {
        let key = server_key(server);
        self.sends_to(key, cold_bound, now).has_room(now)
    }

    /// Counts a request for a server to which it is sent soon; returns `false`, and counts nothing, if
    /// none may be sent now. [`Self::cancel_send`] takes it back.
    ///
    /// Load pattern: a burst of requests, for all of which the same server is chosen before the first
    /// one is sent.
    pub fn reserve_send(&mut self, server: &str, cold_bound: Option<f64>, now: Duration) -> bool {
        let sends = self.sends_to(server_key(server), cold_bound, now);
        let has_room = sends.has_room(now);
        sends.reserved += usize::from(has_room);
        has_room
    }

    /// Takes back a request that was counted by [`Self::reserve_send`], because it is sent now or not
    /// at all.
    pub fn cancel_send(&mut self, server: &str) {
        if let Some(sends) = self.servers.get_mut(&server_key(server)) {
            sends.reserved = sends.reserved.saturating_sub(1);
        }
    }

    /// Counts a request that is about to be sent to a server; returns `false`, and counts nothing, if
    /// none may be sent now.
    pub fn start_send(&mut self, server: &str, cold_bound: Option<f64>, now: Duration) -> bool {
        let sends = self.sends_to(server_key(server), cold_bound, now);
        let has_room = sends.has_room(now);
        if has_room {
            sends.sent.record(now);
        }
        has_room
    }

    /// When this gateway may send requests to `servers` up to `end`. `None` if one of them states no
    /// limit, as sends are not scarce then.
    ///
    /// Load pattern: all servers of a service state limits, and more requests arrive than they take.
    /// Those at the end of the queue cannot be served in time.
    pub fn send_times<'a>(
        &mut self,
        servers: impl Iterator<Item = &'a str> + Clone,
        cold_bound: Option<f64>,
        now: Duration,
        end: Duration,
    ) -> Option<SendTimes> {
        let has_limit = |server: &str| self.limits.rate(server_key(server)).is_some();
        if servers.clone().next().is_none() || !servers.clone().all(has_limit) {
            return None;
        }
        let mut times = Vec::new();
        let mut has_share = false;
        for server in servers {
            let sends = self.sends_to(server_key(server), cold_bound, now);
            has_share |= sends.request_share.is_some_and(|share| share.requests > 0);
            times.extend(sends.send_times(now, end));
        }
        Some(SendTimes::new(times, has_share, end))
    }

    /// Sends to a server, with the shares of its present limits.
    fn sends_to(
        &mut self,
        server: ServerKey,
        cold_bound: Option<f64>,
        now: Duration,
    ) -> &mut ServerSends {
        if self.servers.len() >= MAX_TRACKED_SERVERS && !self.servers.contains_key(&server) {
            self.servers
                .retain(|_, sends| sends.reserved > 0 || !sends.sent.is_idle(now));
        }
        let rate = self.limits.rate(server);
        let cold_bound = cold_bound.map(|bound| bound * self.cold_fraction(now));
        let sends = self.servers.entry(server).or_default();
        if sends
            .cold_share
            .is_none_or(|share| share.bound != cold_bound)
        {
            sends.cold_share = Some(ColdShare {
                bound: cold_bound,
                requests: self.shares.limit(server, cold_bound),
            });
        }
        if sends.request_share.map(|share| share.rate) != rate {
            sends.request_share = rate.map(|rate| RequestShare::new(rate, server, &self.shares));
            let window = sends.request_share.map(|share| share.window);
            sends.sent.keep_for(window.unwrap_or_default());
        }
        sends
    }
}

impl SendLimiter {
    /// Part of the bound for servers that may be cold that counts now. The process before this one may
    /// have sent its whole share within the second that ends soon after the start.
    fn cold_fraction(&self, now: Duration) -> f64 {
        if now < self.started + counted_span(Duration::from_secs(1)) {
            STARTING_FRACTION
        } else {
            1.0
        }
    }
}

impl ServerSends {
    fn has_room(&mut self, now: Duration) -> bool {
        let (sent, reserved) = (&mut self.sent, self.reserved);
        let is_within_cold_bound = self
            .cold_share
            .is_none_or(|share| sent.has_room(now, share.requests.saturating_sub(reserved)));
        let is_within_limit = self.request_share.is_none_or(|share| {
            let unreserved = share.requests.saturating_sub(reserved);
            sent.has_room_within(now, share.window, unreserved)
        });
        is_within_cold_bound && is_within_limit
    }
}

impl ServerSends {
    /// Times up to `end` at which the share of the request limit allows more sends, if each of them
    /// is used; empty without a limit. Their number depends on the sends, not on the limit.
    fn send_times(&mut self, now: Duration, end: Duration) -> Vec<SendTime> {
        let Some(share) = self.request_share.filter(|share| share.requests > 0) else {
            return Vec::new();
        };
        let mut leaves_window = self.sent.leave_times(now, share.window);
        let counted = counted_span(share.window);
        let reserved = std::iter::repeat_n(now + counted, self.reserved);
        leaves_window.extend(reserved);
        let surplus = leaves_window.len().saturating_sub(share.requests);
        leaves_window.drain(..surplus);
        let free = SendTime {
            time: now,
            requests: share.requests - leaves_window.len(),
        };
        let leaving = leaves_window.into_iter();
        let leaving = leaving.map(|time| SendTime { time, requests: 1 });
        let mut next: VecDeque<_> = (free.requests > 0).then_some(free).into_iter().collect();
        next.extend(leaving);
        let mut times = Vec::new();
        while let Some(mut sends) = next.pop_front().filter(|sends| sends.time <= end) {
            times.push(sends);
            sends.time += counted;
            next.push_back(sends);
        }
        times
    }
}

/// The users of the platform count the requests to a server in any span of this length.
const MIN_LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// A server with a limit of next to nothing is asked about that often whether the limit stands.
const MAX_LIMIT_WINDOW: Duration = Duration::from_secs(60);
/// A window is long enough for this many requests, as shares are whole numbers.
const MIN_WINDOW_REQUESTS: f64 = 4.0;

impl RequestShare {
    /// Share of a limit of `rate` requests per second.
    fn new(rate: f64, server: ServerKey, shares: &SendShares) -> Self {
        let window_s = shares.needed_total(MIN_WINDOW_REQUESTS) / rate.max(f64::MIN_POSITIVE);
        let window_s = window_s.clamp(
            MIN_LIMIT_WINDOW.as_secs_f64(),
            MAX_LIMIT_WINDOW.as_secs_f64(),
        );
        Self {
            rate,
            window: Duration::from_secs_f64(window_s),
            requests: shares.share_of(server, rate * window_s),
        }
    }
}
