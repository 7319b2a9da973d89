//! Confirmations, and versions of peers, where a store comes back from a copy some seconds old and gives out
//! versions again.

use policy::{
    ConfirmedBy, ConfirmedDeclarations, ContentReport, REWRITE_TIME, SnapshotSource, SnapshotStep,
    StoreFallback,
};
use proto::{ClockReading, Confirmation, ConfirmationReport, Revision, StoreVersions, revision};
use std::time::Duration;

/// When the store is first read after it has come back.
const SEEN: Duration = Duration::from_secs(10);
/// When what the store says holds.
const REWRITTEN: Duration = SEEN.saturating_add(REWRITE_TIME);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const BOUND: Duration = Duration::from_secs(2);
const LISTED: ConfirmedBy = ConfirmedBy::Listing(9);

fn peer_report(declarations: u64, ms: u64) -> ConfirmationReport {
    let reading = |process, ms| ClockReading {
        process,
        at: at(ms),
    };
    ConfirmationReport {
        clock: reading(9, 0),
        confirmation: Some(Confirmation {
            declarations,
            reading: reading(1, ms),
            offset_ms: 0,
        }),
    }
}

#[test]
fn a_copy_confirms_nothing_until_it_is_complete() {
    let mut confirmed = ConfirmedDeclarations::new(1, BOUND);
    confirmed.on_store_answer(SEEN - at(100), LISTED);
    confirmed.on_era(SEEN);
    let before = Some(REWRITE_TIME + at(99));
    let last = REWRITTEN - at(1);
    confirmed.on_store_answer(last, LISTED);
    confirmed.on_report("b", &peer_report(4, 11_999), 4, last);
    // This one is put in force later.
    confirmed.on_report("c", &peer_report(5, 11_999), 4, last);
    assert_eq!(confirmed.age(4, last), before);
    assert_eq!(confirmed.age(5, last), before);
    assert!(!confirmed.may_refuse(4, last));
    confirmed.on_store_answer(REWRITTEN, LISTED);
    assert!(confirmed.may_refuse(4, REWRITTEN));
}

#[test]
fn each_of_two_drills_delays_confirmations() {
    let mut confirmed = ConfirmedDeclarations::new(1, BOUND);
    confirmed.on_era(SEEN);
    confirmed.on_era(SEEN + at(1_500));
    confirmed.on_store_answer(REWRITTEN, LISTED);
    assert_eq!(confirmed.age(4, REWRITTEN), None);
    confirmed.on_store_answer(REWRITTEN + at(1_500), LISTED);
    assert!(confirmed.may_refuse(4, REWRITTEN + at(1_500)));
}

/// Rows that a gateway had passed over were not read again while peers confirmed the declarations.
#[test]
fn own_rows_are_checked_once_the_copy_is_complete() {
    for gateways in [3_u32, 26, 103, 340] {
        let mut confirmed = ConfirmedDeclarations::new(1, BOUND);
        confirmed.on_checked(SEEN, at(10));
        confirmed.on_era(SEEN);
        let mut due = |ms: u64, checked: Option<u64>| {
            let now = REWRITTEN + at(ms);
            confirmed.on_store_answer(now, ConfirmedBy::Peer);
            if let Some(checked) = checked {
                confirmed.on_checked(REWRITTEN + at(checked), at(0));
            }
            confirmed.is_check_due(4, now, gateways as usize, false, 0)
        };
        let turn = u64::from(gateways) * 20;
        assert!(due(turn, None), "{gateways}");
        assert!(!due(turn + 3_600, Some(turn)), "{gateways}");
    }
}

fn versions(operators: Revision, servers: Revision) -> StoreVersions {
    StoreVersions { operators, servers }
}

/// Versions of the second era, which are lower than those of the first one.
fn own() -> StoreVersions {
    versions(revision(2, 5), revision(2, 4))
}

macro_rules! ahead {
    ($($name:ident: $peer:expr => $is_ahead:expr;)*) => {$(
        #[test]
        fn $name() {
            let peer: StoreVersions = $peer;
            assert_eq!(peer.is_ahead_of(&own()), $is_ahead);
            let mut source = SnapshotSource::new("own", "a");
            let report = ContentReport {
                domain: Some("a"),
                versions: peer,
                reaches_store: true,
                declarations: 0,
            };
            source.on_report("peer", report, SEEN);
            let fetches = matches!(source.next_step(&own(), SEEN), SnapshotStep::Fetch { .. });
            assert_eq!(fetches, $is_ahead);
            let mut fallback = StoreFallback::new("own");
            fallback.on_report(peer, &own(), SEEN);
            assert_eq!(fallback.behind(&own(), SEEN + at(900)) > at(0), $is_ahead);
        }
    )*};
}

ahead! {
    a_peer_of_the_former_era_is_behind: versions(revision(1, 90), revision(1, 95)) => false;
    a_peer_of_the_next_era_is_ahead: versions(revision(3, 1), revision(3, 1)) => true;
    a_peer_that_has_read_one_table_of_the_next_era_is_ahead: versions(revision(1, 90), revision(3, 1)) => true;
    a_peer_of_the_same_era_is_not: own() => false;
    a_peer_before_eras_is_behind: versions(90, 95) => false;
}

/// Newer versions of a peer that came back with the former era counted as heard of and not as fetched.
#[test]
fn versions_of_a_former_era_do_not_hide_those_of_a_newer_one() {
    let mut fallback = StoreFallback::new("own");
    let first = versions(revision(1, 50), revision(1, 50));
    fallback.on_report(versions(revision(1, 90), revision(1, 95)), &first, SEEN);
    fallback.on_report(own(), &first, SEEN + at(100));
    assert_eq!(fallback.newest_heard(), Some(own()));
    assert_eq!(fallback.behind(&own(), SEEN + at(200)), at(0));
}
