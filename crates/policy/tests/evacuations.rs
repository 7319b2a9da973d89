//! Orders of evacuation in a store that comes back from a copy some seconds old, and gives out versions again.

use policy::{Evacuations, REWRITE_TIME};
use proto::revision;
use std::time::Duration;

/// When the store is first read after it has come back.
const SEEN: Duration = Duration::from_secs(10);
/// When what the store says holds.
const REWRITTEN: Duration = SEEN.saturating_add(REWRITE_TIME);

/// Whether a domain is evacuated at once and after operators have written again, if its row is then like this.
fn evacuated(known: bool, found: bool) -> [bool; 2] {
    let mut evacuations = Evacuations::default();
    evacuations.on_order("a".into(), known, revision(1, 11), Duration::ZERO);
    [SEEN, REWRITTEN].map(|now| {
        evacuations.on_order("a".into(), found, revision(2, 5), now);
        evacuations.active().contains("a")
    })
}

macro_rules! orders {
    ($($name:ident: $known:expr, $found:expr => $active:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(evacuated($known, $found), $active);
        }
    )*};
}

orders! {
    an_order_that_the_copy_lacks_is_not_taken_back: true, false => [true, false];
    an_order_that_the_copy_has_again_holds_at_once: false, true => [true, true];
    an_order_that_the_copy_has_too_holds: true, true => [true, true];
}

#[test]
fn an_order_that_is_taken_back_after_the_drill_is() {
    let mut evacuations = Evacuations::default();
    evacuations.on_order("a".into(), true, revision(1, 11), Duration::ZERO);
    evacuations.on_order("a".into(), true, revision(2, 5), SEEN);
    assert!(evacuations.on_order("a".into(), false, revision(2, 6), SEEN));
    assert!(!evacuations.on_order("a".into(), true, revision(1, 99), SEEN));
    assert!(evacuations.active().is_empty());
}

/// The row keeps its revision, so that checks find that it differs and read it again.
#[test]
fn an_order_that_was_passed_over_is_read_again() {
    let mut evacuations = Evacuations::default();
    evacuations.on_order("a".into(), true, revision(1, 11), Duration::ZERO);
    let missing = evacuations.missing(|_| false);
    assert_eq!(missing, [("a".into(), revision(1, 11))]);
    assert!(!evacuations.on_order("a".into(), false, revision(2, 5), SEEN));
    assert_eq!(evacuations.row("a"), revision(1, 11));
}

/// A gateway that has started knows orders of the copy, and hears from a peer of one that the copy lacks.
#[test]
fn an_order_that_a_peer_knows_is_not_taken_back_at_once() {
    let mut evacuations = Evacuations::default();
    evacuations.on_order("b".into(), true, revision(2, 3), SEEN);
    evacuations.on_order("a".into(), true, revision(1, 50), SEEN);
    for (now, is_active) in [(SEEN, true), (REWRITTEN, false)] {
        evacuations.on_order("a".into(), false, revision(2, 5), now);
        assert_eq!(evacuations.active().contains("a"), is_active);
    }
}
