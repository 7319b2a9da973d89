//! When to renew the memory that is reserved at helpers for a prompt.

use std::time::Duration;

/// Reservations are renewed this many times within their lifetime.
const RENEWALS_PER_LIFETIME: u32 = 3;
/// A sign of life of the engine is evidence for a renewal up to this age. With the time that the
/// renewal takes to arrive it must fit between the lifetime and the bound on unused memory.
const MAX_EVIDENCE_AGE: Duration = Duration::from_millis(100);
/// An engine that has sent data since the last renewal gets this long to send more before it is probed.
const DATA_GRACE: Duration = Duration::from_millis(600);
/// An engine that responds again after probes without a response may have started anew. It gets this
/// long for the connection of its request to be reset, as TCP keep-alive shows within a second.
const RESTART_NOTICE: Duration = Duration::from_millis(1_100);
/// Pause between probes of an engine that does not respond.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// An engine that does not respond is given up this long before the reservations expire. A restart
/// that is noticed a second after the last probe then still leaves time to release them.
const RELEASE_MARGIN: Duration = Duration::from_millis(850);

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
/// A probe is a new connection, so it does not show whether the engine still has the request. The
/// driver must end the request, and with it the reservations, once the request's own connection is
/// reset.
///
/// Load pattern: an engine goes dark while it reads a long prompt. Memory that was renewed for as long
/// as its answer was waited for stayed reserved at the helpers for seconds. An engine that is only
/// slow, or does not respond for a moment, keeps its request: it is probed until the reservations are
/// about to expire.
#[derive(Debug)]
pub struct ReservationRenewal {
    lifetime: Duration,
    renewed_at: Duration,
    /// Last data of the response, or last probe with a response.
    heard_at: Duration,
    /// Last probe without a response since the last renewal or data.
    failed_at: Option<Duration>,
    /// First probe with a response after `failed_at`.
    recovered_at: Option<Duration>,
}

impl ReservationRenewal {
    /// Reservations with this lifetime that were all made at `now` or later.
    pub fn new(lifetime: Duration, now: Duration) -> Self {
        Self {
            lifetime,
            renewed_at: now,
            heard_at: now,
            failed_at: None,
            recovered_at: None,
        }
    }

    /// Records data of the engine's response. Returns whether that allows a renewal which is due.
    pub fn on_data(&mut self, now: Duration) -> bool {
        self.heard_at = self.heard_at.max(now);
        self.failed_at = None;
        self.recovered_at = None;
        now >= self.due_at()
    }

    /// Records a probe that ended at `now`, and whether the engine responded.
    pub fn on_probe(&mut self, responds: bool, now: Duration) {
        if !responds {
            self.failed_at = Some(now);
            self.recovered_at = None;
            return;
        }
        self.heard_at = self.heard_at.max(now);
        if self.failed_at.is_some() && self.recovered_at.is_none() {
            self.recovered_at = Some(now);
        }
    }

    /// Records that all renewals were sent at `now`.
    pub fn on_renewed(&mut self, now: Duration) {
        self.renewed_at = now;
        self.failed_at = None;
        self.recovered_at = None;
    }

    /// What to do at `now`.
    pub fn next_step(&self, now: Duration) -> RenewalStep {
        let due = self.due_at();
        if now < due {
            return RenewalStep::Wait(due - now);
        }
        let latest = (self.renewed_at + self.lifetime).saturating_sub(RELEASE_MARGIN);
        if let Some(recovered_at) = self.recovered_at {
            let notice_ends = (recovered_at + RESTART_NOTICE).min(latest);
            return match notice_ends.saturating_sub(now) {
                Duration::ZERO => RenewalStep::Renew,
                left => RenewalStep::Wait(left),
            };
        }
        if now <= self.heard_at + MAX_EVIDENCE_AGE {
            return RenewalStep::Renew;
        }
        if now >= latest {
            return RenewalStep::GiveUp;
        }
        if self.heard_at > self.renewed_at && now < due + DATA_GRACE {
            return RenewalStep::Wait(due + DATA_GRACE - now);
        }
        match self.failed_at {
            Some(failed_at) if now < failed_at + PROBE_INTERVAL => {
                RenewalStep::Wait(failed_at + PROBE_INTERVAL - now)
            }
            _ => RenewalStep::Probe,
        }
    }

    fn due_at(&self) -> Duration {
        self.renewed_at + self.lifetime / RENEWALS_PER_LIFETIME
    }
}
