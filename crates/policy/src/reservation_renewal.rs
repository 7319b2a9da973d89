//! When to renew the memory that is reserved at helpers for a prompt.

use std::time::Duration;

/// Reservations are renewed this many times within their lifetime.
const RENEWALS_PER_LIFETIME: u32 = 3;
/// A sign of life of the engine is evidence for a renewal up to this age. With the time that the
/// renewal takes to arrive it must fit between the lifetime and the bound on unused memory.
const MAX_EVIDENCE_AGE: Duration = Duration::from_millis(100);
/// An engine that has sent data since the last renewal gets this long to send more before it is probed.
const DATA_GRACE: Duration = Duration::from_millis(600);
/// Pause between probes of an engine that does not respond.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// An engine that does not respond is given up this long before the reservations expire, so that
/// they are released in order.
const RELEASE_MARGIN: Duration = Duration::from_millis(400);

/// What to do next about the reservations of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RenewalStep {
    /// Nothing until this time has passed.
    Wait(Duration),
    /// Probe whether the engine that uses the memory lives.
    Probe,
    /// Renew all reservations.
    Renew,
    /// Stop renewing: the engine is lost, and the memory is to be released.
    GiveUp,
}

/// Renewal of the memory that is reserved for a prompt, on evidence that the engine which uses it
/// still lives.
///
/// Load pattern: an engine goes dark while it reads a long prompt. Memory that was renewed for as long
/// as its answer was waited for stayed reserved at the helpers for seconds. An engine that is only
/// slow, or does not respond for a moment, keeps its request: it is probed until the reservations are
/// about to expire.
#[derive(Debug)]
pub struct ReservationRenewal {
    lifetime: Duration,
    renewed_at: Duration,
    heard_at: Duration,
    probed_at: Option<Duration>,
}

impl ReservationRenewal {
    /// Reservations with this lifetime that were all made at `now` or later.
    pub fn new(lifetime: Duration, now: Duration) -> Self {
        Self {
            lifetime,
            renewed_at: now,
            heard_at: now,
            probed_at: None,
        }
    }

    /// Records a sign of life of the engine: data of its response, or a connection that it accepted.
    /// Returns whether that allows a renewal which is due.
    pub fn on_engine_heard(&mut self, now: Duration) -> bool {
        self.heard_at = self.heard_at.max(now);
        now >= self.due_at()
    }

    /// Records a probe to which the engine did not respond, which ended at `now`.
    pub fn on_probe_failed(&mut self, now: Duration) {
        self.probed_at = Some(now);
    }

    /// Records that all renewals were sent at `now`.
    pub fn on_renewed(&mut self, now: Duration) {
        self.renewed_at = now;
        self.probed_at = None;
    }

    /// What to do at `now`.
    pub fn next_step(&self, now: Duration) -> RenewalStep {
        let due = self.due_at();
        if now < due {
            return RenewalStep::Wait(due - now);
        }
        if now <= self.heard_at + MAX_EVIDENCE_AGE {
            return RenewalStep::Renew;
        }
        if self.heard_at > self.renewed_at && now < due + DATA_GRACE {
            return RenewalStep::Wait(due + DATA_GRACE - now);
        }
        if now + RELEASE_MARGIN >= self.renewed_at + self.lifetime {
            return RenewalStep::GiveUp;
        }
        match self.probed_at {
            Some(probed_at) if now < probed_at + PROBE_INTERVAL => {
                RenewalStep::Wait(probed_at + PROBE_INTERVAL - now)
            }
            _ => RenewalStep::Probe,
        }
    }

    fn due_at(&self) -> Duration {
        self.renewed_at + self.lifetime / RENEWALS_PER_LIFETIME
    }
}
