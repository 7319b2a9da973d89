//! When a gateway that leaves the store to others reads it itself.

use crate::fleet_load::server_key;
use proto::StoreVersions;
use std::collections::VecDeque;
use std::time::Duration;

/// Time for peers to pass newer content on. Declarations must be in force everywhere two seconds after a
/// change, and the rest of that is for reading them from the store.
const FETCH_TIME: Duration = Duration::from_millis(500);
/// Over this time for each gateway, within the limits, the reads of gateways that are behind at once are
/// spread, by their names.
const READ_SPREAD_PER_GATEWAY: Duration = Duration::from_millis(4);
const MIN_READ_SPREAD: Duration = Duration::from_millis(400);
const MAX_READ_SPREAD: Duration = Duration::from_millis(750);
/// A gateway that is behind for this long reads the store in any case.
const READ_BY: Duration = Duration::from_millis(1_400);
/// A fetch whose last bytes are older than this makes no progress.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(250);
/// The same while a fetch makes progress. It may do so and break off each time.
const SLOW_FETCH_TIME: Duration = Duration::from_secs(1);
/// A gateway that watches the store takes content from peers if it is behind them for longer than one
/// poll lasts with the pause after it.
const WATCHER_BEHIND: Duration = Duration::from_millis(1_400);
/// A gateway that is behind by less than this has caught up; while content changes all the time, it is
/// always behind by a little.
const CAUGHT_UP: Duration = Duration::from_millis(250);
/// How long the store is watched after a gateway has caught up while no fetch from a peer worked, doubled
/// each time that it falls behind before one has worked again.
const MIN_HOLD: Duration = Duration::from_secs(5);
const MAX_HOLD: Duration = Duration::from_secs(80);
/// A gateway that is behind peers for this long can get the content from nowhere.
const STUCK_AFTER: Duration = Duration::from_secs(5);
/// Peers that were ahead count as ahead until they were silent for this long.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit on the versions that are kept with the times at which they were heard of.
const MAX_HEARD: usize = 64;
/// Calls a second to one table of the store by all gateways together that leave it to others.
const CHECKS_PER_SECOND: f64 = 1.0;
/// Shortest interval between such calls of one gateway.
const MIN_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Decides when a gateway that hears of newer content than its own reads the store itself.
///
/// Load pattern: a change that a gateway cannot get from its peers, whatever the reason, among hundreds of
/// gateways that must not all read the store for each change.
#[derive(Debug)]
pub struct StoreFallback {
    /// Place of the gateway in the spread of the reads, from 0 to 1.
    place: f64,
    gateways: usize,
    /// Versions of peers that this gateway does not have, oldest first, with when it first heard of them.
    heard: VecDeque<(StoreVersions, Duration)>,
    /// Last report of a peer that was ahead.
    ahead_at: Option<Duration>,
    progress_at: Option<Duration>,
    is_reading: bool,
    /// Whether a fetch from a peer has worked since the gateway began to read the store.
    fetch_works: bool,
    /// Until when a gateway that has caught up goes on watching the store.
    hold_until: Option<Duration>,
    hold: Duration,
}

impl StoreFallback {
    /// Creates the state of the gateway `name`.
    pub fn new(name: &str) -> Self {
        Self {
            place: server_key(name) as f64 / u64::MAX as f64,
            gateways: 0,
            heard: VecDeque::new(),
            ahead_at: None,
            progress_at: None,
            is_reading: false,
            fetch_works: false,
            hold_until: None,
            hold: MIN_HOLD,
        }
    }

    /// Sets the number of gateways, this one included.
    pub fn set_gateways(&mut self, gateways: usize) {
        self.gateways = gateways;
    }

    /// Records the versions that a peer has, for a gateway whose content has the versions `own`.
    pub fn on_report(&mut self, versions: StoreVersions, own: &StoreVersions, now: Duration) {
        if !versions.is_ahead_of(own) {
            return;
        }
        self.ahead_at = Some(now);
        let is_new = |last: &(StoreVersions, Duration)| versions.is_ahead_of(&last.0);
        if self.heard.len() < MAX_HEARD && self.heard.back().is_none_or(is_new) {
            self.heard.push_back((versions, now));
        }
    }

    /// Records that bytes of a fetch from a peer arrived.
    pub fn on_progress(&mut self, now: Duration) {
        self.progress_at = Some(now);
    }

    /// Records that a fetch from a peer brought its content.
    pub fn on_fetched(&mut self) {
        self.hold = MIN_HOLD;
        self.hold_until = None;
        self.fetch_works = true;
    }

    /// Newest versions of peers that this gateway does not have.
    pub fn newest_heard(&self) -> Option<StoreVersions> {
        self.heard.back().map(|(versions, _)| *versions)
    }

    /// For how long peers have had content that a gateway with the versions `own` does not have.
    pub fn behind(&mut self, own: &StoreVersions, now: Duration) -> Duration {
        let since = self.behind_since(own);
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    fn behind_since(&mut self, own: &StoreVersions) -> Option<Duration> {
        while self
            .heard
            .front()
            .is_some_and(|(heard, _)| !heard.is_ahead_of(own))
        {
            self.heard.pop_front();
        }
        self.heard.front().map(|(_, since)| *since)
    }

    /// Whether the gateway must read the store although others watch it.
    pub fn reads_store(&mut self, own: &StoreVersions, now: Duration) -> bool {
        let behind = self.behind(own, now);
        let makes_progress = self
            .progress_at
            .is_some_and(|at| now < at + PROGRESS_TIMEOUT);
        let fetch_time = if makes_progress {
            SLOW_FETCH_TIME
        } else {
            FETCH_TIME
        };
        if behind >= fetch_time + self.turn(fetch_time) {
            if !std::mem::replace(&mut self.is_reading, true) {
                self.fetch_works = false;
            }
        } else if behind < CAUGHT_UP && std::mem::take(&mut self.is_reading) && !self.fetch_works {
            self.hold_until = Some(now + self.hold);
            self.hold = (self.hold * 2).min(MAX_HOLD);
        }
        self.is_reading || self.hold_until.is_some_and(|until| now < until)
    }

    /// When this gateway reads the store after the time for a fetch, so that not all do so at once.
    fn turn(&self, fetch_time: Duration) -> Duration {
        let gateways = u32::try_from(self.gateways).unwrap_or(u32::MAX);
        let spread = READ_SPREAD_PER_GATEWAY.saturating_mul(gateways);
        let spread = spread.clamp(MIN_READ_SPREAD, MAX_READ_SPREAD);
        spread.min(READ_BY - fetch_time).mul_f64(self.place)
    }

    /// Whether the gateway reads the store because it is behind, so that the store must answer at once.
    pub fn is_reading(&self) -> bool {
        self.is_reading
    }

    /// Whether a gateway that watches the store and reaches it is behind its peers nevertheless, so that
    /// it takes content from them.
    pub fn needs_peers(&mut self, own: &StoreVersions, now: Duration) -> bool {
        let since = self.behind_since(own);
        since.is_some_and(|since| now >= since + WATCHER_BEHIND)
    }

    /// Whether peers that are alive have had newer content for seconds, and neither they nor the store
    /// give it.
    pub fn is_stuck(&mut self, own: &StoreVersions, now: Duration) -> bool {
        let is_heard = self.ahead_at.is_some_and(|at| now < at + PEER_TIMEOUT);
        let since = self.behind_since(own);
        is_heard && since.is_some_and(|since| now >= since + STUCK_AFTER)
    }
}

/// Time until a gateway that leaves the store to others asks it next, in case that those are stuck.
/// `random` is a random number, which spreads the calls of the gateways.
pub fn store_check_interval(gateways: usize, random: u64) -> Duration {
    let mean = Duration::from_secs_f64(gateways as f64 / CHECKS_PER_SECOND);
    let part = 0.5 + (random % 1_000) as f64 / 1_000.0;
    mean.max(MIN_CHECK_INTERVAL).mul_f64(part)
}
