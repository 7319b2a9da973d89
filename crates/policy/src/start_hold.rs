//! What a gateway that has started waits for before it serves by what the store says.

use crate::restored_store::REWRITE_TIME;
use std::time::Duration;

/// Decides when a gateway that has started may take what the store says for what holds.
///
/// Load pattern: gateways are restarted while the store comes back from a copy, which a gateway that has just started cannot
/// tell from what holds. One that ran on can. Where there is none, the store holds what operators and servers wrote
/// once they have had time to write it again. A store that states no era does not come back from copies.
#[derive(Debug, Default)]
pub struct StartHold {
    /// When the store first stated an era.
    since: Option<Duration>,
    is_ended: bool,
}

impl StartHold {
    /// Records that the store has stated its era.
    pub fn on_era(&mut self, now: Duration) {
        self.since.get_or_insert(now);
    }

    /// Records that the store has shown what holds. Returns whether the hold ends with that, as it states no era.
    pub fn on_confirmed(&mut self) -> bool {
        self.since.is_none() && self.end()
    }

    /// Records that a gateway that ran on has told all that it knows, or that none ran before. Returns whether that
    /// is news.
    pub fn end(&mut self) -> bool {
        !std::mem::replace(&mut self.is_ended, true)
    }

    /// Whether the gateway knows no more than the store says, which may be a copy.
    pub fn is_starting(&self, now: Duration) -> bool {
        !self.is_ended && self.since.is_none_or(|since| now < since + REWRITE_TIME)
    }

    /// Whether the gateway must not serve yet.
    pub fn holds(&self, now: Duration) -> bool {
        self.since.is_some() && self.is_starting(now)
    }
}
