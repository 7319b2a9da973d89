//! Which other gateways share limits with this one.

use std::collections::HashMap;
use std::time::Duration;

/// Name of a gateway.
pub type GatewayName = Box<str>;

/// A gateway without any sign of life for this long no longer shares the limits. Longer than the
/// windows in which most limits count, and than a gateway takes to end after its row is removed.
const SHARING_TIMEOUT: Duration = Duration::from_secs(15);
/// A gateway that is not heard for this long may be cut off from this one only. Both then renew their
/// rows in the store, as a sign of life.
const SILENCE_BEFORE_RENEWAL: Duration = Duration::from_secs(6);
/// Interval between renewals of the own row. A peer that reads the store misses none within
/// `SHARING_TIMEOUT`, and a gateway that was lost costs each other one a single write.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(10);
/// The roster is asked several times a second. After a longer pause the process was stopped, and has heard
/// nothing meanwhile.
const STOPPED_AFTER: Duration = Duration::from_secs(2);

/// Signs of life of one gateway.
#[derive(Debug, Clone, Copy)]
struct Signs {
    heard_at: Duration,
    /// When its row in the store was found, renewed or removed.
    row_changed_at: Duration,
    /// Whether it has a row.
    is_registered: bool,
}

/// Other gateways, by their signs of life: what is heard from them over links, and changes of their
/// rows in the store.
///
/// Load pattern: gateways that cannot hear each other, or that end after their planned stop was
/// announced, still send to the same servers. Were they left out, the shares of the others would
/// add up to more than the limits. A gateway that was stopped and goes on would count all others as
/// lost, and the others would not count it again.
#[derive(Debug, Default)]
pub struct GatewayRoster {
    signs: HashMap<GatewayName, Signs>,
    /// Last time at which the store could not be read, so that renewals may have been missed.
    blind_at: Option<Duration>,
    renewed_at: Option<Duration>,
    /// When the roster was last asked.
    asked_at: Duration,
}

impl GatewayRoster {
    /// Records that a peer was heard over its link. Ignored if its row has not been seen; returns whether it
    /// has.
    pub fn on_heard(&mut self, name: &str, now: Duration) -> bool {
        let signs = self.signs.get_mut(name);
        signs.map(|signs| signs.heard_at = now).is_some()
    }

    /// Whether the row of a gateway has been seen, and its removal, if it was removed, not long ago.
    pub fn knows(&self, name: &str) -> bool {
        self.signs.contains_key(name)
    }

    /// Records that the row of a gateway was found or renewed, or, unless `is_registered`, removed.
    pub fn on_row_change(&mut self, name: &str, is_registered: bool, now: Duration) {
        let signs = self.signs.entry(name.into()).or_insert(Signs {
            heard_at: now,
            row_changed_at: now,
            is_registered,
        });
        signs.row_changed_at = now;
        signs.is_registered = is_registered;
    }

    /// Records that the store cannot be read at present.
    pub fn on_store_unreadable(&mut self, now: Duration) {
        self.blind_at = Some(now);
    }

    /// Gateways that share the limits with this one. Others share them again once they are heard or
    /// their rows change.
    pub fn sharing(&mut self, now: Duration) -> impl Iterator<Item = &str> {
        self.on_asked(now);
        let blind_at = self.blind_at;
        let sharing = self.signs.iter();
        let sharing = sharing.filter(move |(_, signs)| !signs.is_lost(blind_at, now));
        sharing.map(|(name, _)| &**name)
    }

    /// Whether to renew the own row now, as a sign of life to gateways that are not heard and may not
    /// hear this one. If so, it counts as renewed.
    pub fn claim_renewal(&mut self, now: Duration) -> bool {
        self.on_asked(now);
        let is_due = self
            .renewed_at
            .is_none_or(|renewed_at| now >= renewed_at + RENEWAL_INTERVAL);
        let blind_at = self.blind_at;
        let is_silent = |signs: &Signs| {
            let is_missed = signs.is_registered && !signs.is_lost(blind_at, now);
            is_missed && now >= signs.heard_at + SILENCE_BEFORE_RENEWAL
        };
        let renews = is_due && self.signs.values().any(is_silent);
        if renews {
            self.renewed_at = Some(now);
        }
        renews
    }

    /// Drops gateways that are gone for good.
    fn on_asked(&mut self, now: Duration) {
        if now >= self.asked_at + STOPPED_AFTER {
            self.blind_at = Some(now);
        }
        self.asked_at = now;
        let blind_at = self.blind_at;
        self.signs
            .retain(|_, signs| signs.is_registered || !signs.is_lost(blind_at, now));
    }
}

impl Signs {
    /// Whether there was no sign of life for long, although one would have been noticed.
    fn is_lost(&self, blind_at: Option<Duration>, now: Duration) -> bool {
        let last_sign = self.heard_at.max(self.row_changed_at);
        let last_sign = last_sign.max(blind_at.unwrap_or_default());
        now >= last_sign + SHARING_TIMEOUT
    }
}
