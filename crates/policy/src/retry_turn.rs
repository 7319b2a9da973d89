//! When and where requests that shared a crashed server are sent again.

use crate::crash_evidence::{Crash, CrashEvidence, SETTLE_TIME};
use proto::{ServerKey, Suspect};
use std::time::Duration;

/// Time for peers to tell of their requests at a server that has just crashed.
const REPORT_TIME: Duration = Duration::from_millis(30);
/// Crashes of longer ago say nothing about the requests that are sent again now.
pub(crate) const RECENT_TIME: Duration = Duration::from_secs(2);
/// Time that a server has for each request that is sent there again, before the next one follows.
const TURN_TIME: Duration = Duration::from_millis(120);
/// A request that comes while it is a suspect is held until this long after the crash. Until then the
/// send under which the server crashed is repeated, and shows whether the request is the cause.
const HOLD_TIME: Duration = Duration::from_millis(700);

/// Place of a request among those that died with the same server.
///
/// Once the reports of a crash have arrived, all gateways know the same requests and work out the same
/// places. Each request then goes to another server, or to the same one later, so that the one that
/// crashes servers is alone with its next crash, and the others are answered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RetryTurn {
    position: usize,
}

impl RetryTurn {
    /// Time until enough is known of the last crash under a request.
    pub(crate) fn wait(evidence: &CrashEvidence, request: Suspect, now: Duration) -> Duration {
        let Some(crash) = last_crash(evidence, request, now) else {
            return Duration::ZERO;
        };
        // After a second crash it is probably the cause, and is blocked once its crashes count.
        let is_repeated = evidence.crashes_under(request) > 1;
        let time = if is_repeated {
            SETTLE_TIME
        } else {
            REPORT_TIME
        };
        (crash.at + time).saturating_sub(now)
    }

    /// Time for which a request that has just come is held.
    pub(crate) fn hold(evidence: &CrashEvidence, request: Suspect, now: Duration) -> Duration {
        let crash = last_crash(evidence, request, now);
        crash.map_or(Duration::ZERO, |crash| {
            (crash.at + HOLD_TIME).saturating_sub(now)
        })
    }

    /// Place of a request. Those with fewer crashes go first.
    pub(crate) fn of(
        evidence: &CrashEvidence,
        request: Suspect,
        is_blocked: impl Fn(Suspect) -> bool,
        now: Duration,
    ) -> Self {
        let Some(crash) = last_crash(evidence, request, now) else {
            return Self::default();
        };
        let counts = evidence.counts();
        let rank = |request: Suspect| (counts.get(&request).copied(), request);
        let own_rank = rank(request);
        let others = evidence.unproven_requests(crash);
        let others = others.filter(|other| !is_blocked(*other));
        Self {
            position: others.filter(|other| rank(*other) < own_rank).count(),
        }
    }

    /// Place of a request that has just come and was held; `None` unless it is still a suspect.
    ///
    /// Load pattern: the callers of all requests that died with a server send them again, while their
    /// gateways may not repeat any. Held requests are released at the same moment and would meet at the
    /// next server again.
    pub(crate) fn after_hold(
        evidence: &CrashEvidence,
        request: Suspect,
        is_blocked: impl Fn(Suspect) -> bool,
        now: Duration,
    ) -> Option<Self> {
        last_crash(evidence, request, now)?;
        Some(Self::of(evidence, request, is_blocked, now))
    }

    /// Time until the request is sent, where it may go to this number of servers.
    pub fn delay(self, servers: usize) -> Duration {
        let turn = self.position.checked_div(servers).unwrap_or(0);
        TURN_TIME * turn as u32
    }

    /// The server to prefer, an index into `servers`; `None` if there are none.
    pub fn server(self, servers: &[ServerKey]) -> Option<usize> {
        let mut order: Vec<_> = (0..servers.len()).collect();
        order.sort_unstable_by_key(|index| servers[*index]);
        let place = self.position.checked_rem(order.len())?;
        Some(order[place])
    }
}

fn last_crash(evidence: &CrashEvidence, request: Suspect, now: Duration) -> Option<&Crash> {
    evidence.last_crash_under(request, now.saturating_sub(RECENT_TIME))
}
