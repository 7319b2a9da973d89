//! Until when the declarations in force are known to have been the newest.

use crate::restored_store::REWRITE_TIME;
use crate::store_fallback::store_check_interval;
use proto::{ClockReading, Confirmation, ConfirmationReport};
use std::collections::HashMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Frames of peers and checks of the store are half a second apart, so that a lower bound could not be kept.
const MIN_BOUND: Duration = Duration::from_secs(1);
/// Gateways that watch the store check it when nobody has confirmed for this part of the bound.
const WATCHER_CHECK: f64 = 0.35;
/// Gateways that leave the store to others do so after this part of it.
const CHECK: f64 = 0.5;
/// Their checks spread by this part of it, and by a time for each gateway.
const CHECK_SPREAD: f64 = 0.35;
/// The checks of watchers spread by up to this part, so that the first one confirms to the others.
const WATCHER_SPREAD: f64 = 0.4;
/// Gateways that watch the store check their own rows this often, whatever peers confirm. Half of the time within
/// which an evacuation must be obeyed.
const OWN_CHECK_INTERVAL: Duration = Duration::from_millis(2_500);
/// The same as a part of the time within which a server that leaves must get nothing new.
const DRAIN_CHECK: f64 = 0.5;
/// A check takes at most this part of the bound.
const CHECK_TIMEOUT: f64 = 0.3;
/// Shortest interval between checks of one gateway while they fail.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time between checks of all gateways together, as the store handles such calls one after the other.
const CHECK_INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(20);
/// After a check that reads the whole table, this many times as long passes until the next, half of the bound at
/// most, as time in which the process stood still counts too.
const LISTING_SHARE: u32 = 5;

/// How the declarations in force were last confirmed as the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfirmedBy {
    /// The store has compared the versions of rows, as of this version of its own.
    Comparison(u64),
    /// The table was read, as of this version of the store.
    Listing(u64),
    /// A peer has confirmed them.
    Peer,
}

/// Decides for how long declarations may be the reason to turn requests away.
///
/// Load pattern: the store turns all gateways away and goes on serving operators, or links are cut, so that a
/// gateway does not hear of newer declarations.
///
/// All times are readings of a clock that counts while the host is suspended. A confirmation of a peer is
/// placed on the own clock by a reading of it that the peer has got, so that time on the way, and time for
/// which either process stood still, only makes it look older than it is.
#[derive(Debug)]
pub struct ConfirmedDeclarations {
    process: u64,
    bound: Duration,
    own_check_interval: Duration,
    /// When the process started.
    started_at: Duration,
    /// When a version up to the one in force was last known to be the newest.
    confirmed_at: Option<Duration>,
    confirmed_by: Option<ConfirmedBy>,
    /// When the store holds again what it lacked after it had come back from a copy.
    rewritten_at: Option<Duration>,
    /// When the store was last checked, and how long that took.
    last_check: Option<(Duration, Duration)>,
    /// The same for a version that is not in force yet.
    pending: Option<(u64, Duration)>,
    /// Last clock readings of peers, with when they came.
    readings: HashMap<Box<str>, (ClockReading, Duration)>,
}

impl ConfirmedDeclarations {
    /// Creates the state of the process with this random number, where declarations must be in force
    /// everywhere within `bound`, or a second if that is longer.
    pub fn new(process: u64, bound: Duration) -> Self {
        Self {
            process,
            bound: bound.max(MIN_BOUND),
            own_check_interval: OWN_CHECK_INTERVAL,
            started_at: Duration::ZERO,
            confirmed_at: None,
            confirmed_by: None,
            rewritten_at: None,
            last_check: None,
            pending: None,
            readings: HashMap::new(),
        }
    }

    /// Sets the time within which a server that leaves must get nothing new, which checks find too.
    pub fn with_drain_bound(self, bound: Duration) -> Self {
        let interval = bound.max(MIN_BOUND).mul_f64(DRAIN_CHECK);
        Self {
            own_check_interval: self.own_check_interval.min(interval),
            ..self
        }
    }

    /// Sets when the process started.
    pub fn with_start(self, started_at: Duration) -> Self {
        Self { started_at, ..self }
    }

    /// Whether anybody has confirmed declarations as the newest at some time since the start. Peers also tell of times
    /// before.
    pub fn is_ever_confirmed(&self) -> bool {
        self.confirmed_at.is_some_and(|at| at >= self.started_at)
    }

    /// Records that the store held no newer declarations than those in force, or refused, at the time `at`, as
    /// a read of their row has shown.
    pub fn on_store_answer(&mut self, at: Duration, by: ConfirmedBy) {
        if self.confirmed_at < Some(at) && self.rewritten_at <= Some(at) {
            self.confirmed_at = Some(at);
            self.confirmed_by = Some(by);
        }
    }

    /// Records that the store has come back from a copy, which may lack declarations until they are written again.
    pub fn on_era(&mut self, now: Duration) {
        self.rewritten_at = Some(now + REWRITE_TIME);
    }

    /// How the declarations were last confirmed.
    pub fn confirmed_by(&self) -> Option<ConfirmedBy> {
        self.confirmed_by
    }

    /// Records the report of a peer, for a gateway with the version `own` in force.
    pub fn on_report(&mut self, peer: &str, report: &ConfirmationReport, own: u64, now: Duration) {
        self.readings.insert(peer.into(), (report.clock, now));
        let confirmation = report.confirmation.as_ref();
        let confirmation = confirmation.filter(|confirmation| {
            confirmation.reading.process == self.process && confirmation.reading.at <= now
        });
        let Some(confirmation) = confirmation else {
            return;
        };
        let at = shifted(confirmation.reading.at, confirmation.offset_ms).min(now);
        if confirmation.declarations == own {
            self.on_store_answer(at, ConfirmedBy::Peer);
        } else if confirmation.declarations < own {
            // The peer does not know those in force here, so that it may not know newer ones either.
        } else if self.pending.is_none_or(|(_, pending_at)| pending_at < at) {
            self.pending = Some((confirmation.declarations, at));
        }
    }

    /// Records that a peer is gone.
    pub fn on_gone(&mut self, peer: &str) {
        self.readings.remove(peer);
    }

    /// What to tell a peer while the version `own` is in force.
    pub fn report(&mut self, peer: &str, own: u64, now: Duration) -> ConfirmationReport {
        let confirmed_at = self.confirmed_at(own);
        let reading = self.readings.get(peer);
        let confirmation = confirmed_at.zip(reading).map(|(at, (reading, came_at))| {
            let offset_ms = offset_ms(*came_at, at);
            Confirmation {
                declarations: own,
                reading: *reading,
                offset_ms,
            }
        });
        ConfirmationReport {
            clock: ClockReading {
                process: self.process,
                at: now,
            },
            confirmation,
        }
    }

    /// For how long nobody has confirmed that the version `own`, which is in force, is the newest; `None` if
    /// nobody ever has.
    pub fn age(&mut self, own: u64, now: Duration) -> Option<Duration> {
        let at = self.confirmed_at(own);
        at.map(|at| now.saturating_sub(at))
    }

    /// Whether the version `own`, which is in force, may be the reason to turn a request away.
    pub fn may_refuse(&mut self, own: u64, now: Duration) -> bool {
        self.age(own, now).is_some_and(|age| age <= self.bound)
    }

    /// Whether to check the store now, as nobody has confirmed the version `own` lately, among `gateways`
    /// gateways. `watches` tells whether this one watches the store; `random` is a random number.
    pub fn is_check_due(
        &mut self,
        own: u64,
        now: Duration,
        gateways: usize,
        watches: bool,
        random: u64,
    ) -> bool {
        let spread = (random % 1_000) as f64 / 1_000.0;
        let limit = match watches {
            true => self
                .bound
                .mul_f64(WATCHER_CHECK * (1.0 - WATCHER_SPREAD * spread)),
            false => {
                let spread = self.bound.mul_f64(CHECK_SPREAD);
                let spread = spread.max(check_interval(gateways));
                self.bound.mul_f64(CHECK) + spread.mul_f64(self.place())
            }
        };
        let is_old = self.age(own, now).is_none_or(|age| age > limit);
        let is_due = is_old || self.is_own_check_due(now, gateways, watches, spread);
        is_due && self.may_check(now, gateways, spread)
    }

    /// Whether to check the own rows although peers confirm the declarations: what they say does not cover
    /// orders of evacuation, nor rows that were passed over while the store lacked some.
    fn is_own_check_due(&self, now: Duration, gateways: usize, watches: bool, spread: f64) -> bool {
        let turn = check_interval(gateways).mul_f64(self.place());
        let is_unread = |end| now >= end + turn && self.last_check.is_some_and(|(at, _)| at < end);
        if self.rewritten_at.is_some_and(is_unread) {
            return true;
        }
        let interval = match watches {
            true => self.own_check_interval,
            false => store_check_interval(gateways, 500),
        };
        let interval = interval.mul_f64(0.75 + spread / 4.0);
        self.last_check.is_some_and(|(at, _)| now >= at + interval)
    }

    fn may_check(&self, now: Duration, gateways: usize, spread: f64) -> bool {
        let Some((at, took)) = self.last_check else {
            return true;
        };
        let was_confirmed = self.confirmed_at >= Some(at);
        let interval = match was_confirmed {
            true => Duration::ZERO,
            false => MIN_CHECK_INTERVAL,
        };
        let interval = interval.max(check_interval(gateways));
        let interval = interval.mul_f64(0.5 + spread);
        let took = took.min(self.bound / (2 * LISTING_SHARE));
        now >= at + interval.max(took * LISTING_SHARE)
    }

    /// Place of this gateway in the spread of the checks, from 0 to 1.
    fn place(&self) -> f64 {
        xxh3_64(&self.process.to_le_bytes()) as f64 / u64::MAX as f64
    }

    /// Records that the store was checked at the time `at`, which took this long if its table was read.
    pub fn on_checked(&mut self, at: Duration, took: Duration) {
        self.last_check = Some((at, took));
    }

    /// Longest time that a check may take, so that another one can follow within the bound.
    pub fn check_timeout(&self) -> Duration {
        self.bound.mul_f64(CHECK_TIMEOUT)
    }

    fn confirmed_at(&mut self, own: u64) -> Option<Duration> {
        let pending = self.pending.take_if(|(version, _)| *version <= own);
        if let Some((_, at)) = pending.filter(|(version, _)| *version == own) {
            self.on_store_answer(at, ConfirmedBy::Peer);
        }
        self.confirmed_at
    }
}

/// Interval between checks of one gateway at which all together are not too many for the store.
fn check_interval(gateways: usize) -> Duration {
    CHECK_INTERVAL_PER_GATEWAY.saturating_mul(u32::try_from(gateways).unwrap_or(u32::MAX))
}

fn shifted(at: Duration, ms: i64) -> Duration {
    let by = Duration::from_millis(ms.unsigned_abs());
    if ms < 0 {
        at.saturating_sub(by)
    } else {
        at.saturating_add(by)
    }
}

/// Milliseconds from one time to another, rounded down.
fn offset_ms(from: Duration, to: Duration) -> i64 {
    let whole = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
    match to.checked_sub(from) {
        Some(after) => whole(after),
        None => -whole(from - to).saturating_add(1),
    }
}
