//! Until when the declarations in force are known to have been the newest.

use proto::{ClockReading, Confirmation, ConfirmationReport};
use std::collections::HashMap;
use std::time::Duration;

/// Frames of peers and checks of the store are half a second apart, so that a lower bound could not be kept.
const MIN_BOUND: Duration = Duration::from_secs(1);
/// A poll is kept shorter than this part of the bound allows, so that the next answer comes within it.
const POLL_MARGIN: f64 = 0.75;
/// Polls that would wait for less than this do not wait.
const MIN_POLL_WAIT: Duration = Duration::from_millis(100);
/// Polls of different gateways, which a change ends at once, spread by up to this part of their length.
const POLL_SPREAD: f64 = 0.25;
/// A gateway that leaves the store to others asks it when nobody has confirmed for this part of the bound.
const CHECK_AFTER: f64 = 0.75;

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
    /// When a version up to the one in force was last known to be the newest.
    confirmed_at: Option<Duration>,
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
            confirmed_at: None,
            pending: None,
            readings: HashMap::new(),
        }
    }

    /// Records that the store held no newer declarations than those in force, or refused, at the time `at`.
    pub fn on_store_answer(&mut self, at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
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
            self.on_store_answer(at);
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

    /// Whether a gateway that leaves the store to others has to ask it, as they do not confirm the version
    /// `own`.
    pub fn needs_check(&mut self, own: u64, now: Duration) -> bool {
        let limit = self.bound.mul_f64(CHECK_AFTER);
        self.age(own, now).is_none_or(|age| age > limit)
    }

    /// How long the store may hold a poll of at most `longest`, so that its answer confirms the version `own`
    /// in time. `random` is a random number.
    pub fn poll_wait(
        &mut self,
        longest: Duration,
        own: u64,
        now: Duration,
        random: u64,
    ) -> Duration {
        let age = self.age(own, now).unwrap_or(self.bound);
        let left = self.bound.mul_f64(POLL_MARGIN).saturating_sub(age);
        if left < MIN_POLL_WAIT {
            return Duration::ZERO;
        }
        let part = (random % 1_000) as f64 / 1_000.0 * POLL_SPREAD;
        longest.mul_f64(1.0 - part).min(left)
    }

    fn confirmed_at(&mut self, own: u64) -> Option<Duration> {
        let pending = self.pending.take_if(|(version, _)| *version <= own);
        if let Some((_, at)) = pending.filter(|(version, _)| *version == own) {
            self.on_store_answer(at);
        }
        self.confirmed_at
    }
}

/// Until when a complete answer of the store, to a call that was sent at `sent`, says that there is nothing
/// newer. One without changes is given when the call has waited for `wait`, if it has taken that long.
pub fn answered_until(
    sent: Duration,
    wait: Duration,
    now: Duration,
    has_changes: bool,
) -> Duration {
    let waited = !has_changes && now >= sent + wait;
    if waited { sent + wait } else { sent }
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
