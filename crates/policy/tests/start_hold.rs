//! Starts beside a store that may have come back from a copy.

use policy::{REWRITE_TIME, StartHold};
use std::time::Duration;

/// When the store first states its era.
const SEEN: Duration = Duration::from_millis(300);
const REWRITTEN: Duration = SEEN.saturating_add(REWRITE_TIME);
const MS: Duration = Duration::from_millis(1);

fn started() -> StartHold {
    let mut hold = StartHold::default();
    assert!(hold.is_starting(Duration::ZERO) && !hold.holds(Duration::ZERO));
    hold.on_era(SEEN);
    hold
}

#[test]
fn what_the_store_says_holds_once_it_was_written_again() {
    let mut hold = started();
    // A copy is confirmed too.
    assert!(!hold.on_confirmed());
    hold.on_era(REWRITTEN - MS);
    assert!(hold.holds(SEEN) && hold.holds(REWRITTEN - MS));
    assert!(!hold.holds(REWRITTEN) && !hold.is_starting(REWRITTEN));
}

#[test]
fn one_gateway_that_tells_ends_it() {
    let mut hold = started();
    assert!(hold.end());
    assert!(!hold.holds(SEEN) && !hold.is_starting(SEEN));
    assert!(!hold.end());
}

/// Such a store never comes back from a copy, also where it states eras later.
#[test]
fn a_store_without_eras_holds_nothing_up() {
    let mut hold = StartHold::default();
    assert!(!hold.holds(SEEN));
    assert!(hold.on_confirmed());
    hold.on_era(REWRITTEN);
    assert!(!hold.holds(REWRITTEN) && !hold.is_starting(REWRITTEN));
}
