//! Rows of servers that state what they count, in a store that comes back from a copy.

use policy::{CountedRow, REWRITE_TIME, ReadProof, ServerSet};
use proto::{BackendEntry, BackendRow, Revision, WriterCount, revision};
use std::time::Duration;

/// When the set first reads the store after it has come back.
const SEEN: Duration = Duration::from_secs(10);
const REWRITTEN: Duration = SEEN.saturating_add(REWRITE_TIME);
const LIFETIME: Duration = Duration::from_secs(3);
const LAPSED: Duration = REWRITTEN.saturating_add(LIFETIME);
const LONG_AFTER: Duration = Duration::from_secs(600);
const FIRST_START: u64 = 1_700_000_000_000;
const MS: Duration = Duration::from_millis(1);

#[derive(Clone, Copy)]
enum Is {
    Ready,
    Draining,
    Absent,
    Odd,
}
use Is::{Absent, Draining, Odd, Ready};

/// A row of the server `x`, with the start of its process and the number of its write.
fn row(is: Is, (start, sequence): (u64, u64), revision: Revision) -> CountedRow {
    let entry = |draining| {
        BackendRow::Present(BackendEntry {
            id: "x".into(),
            service: "s".into(),
            address: ([10, 0, 0, 1], 80).into(),
            domain: "a".into(),
            slots: 4,
            draining,
        })
    };
    let (row, is_counted) = match is {
        Ready => (entry(false), true),
        Draining => (entry(true), true),
        Absent => (BackendRow::Absent, false),
        Odd => (BackendRow::Unreadable, false),
    };
    let count = WriterCount {
        incarnation: FIRST_START + start,
        sequence,
    };
    CountedRow {
        id: "x".into(),
        row,
        count: is_counted.then_some(count),
        revision,
    }
}

/// A set that knows these rows of the first era.
fn set(rows: &[(Is, (u64, u64))]) -> ServerSet {
    let mut set = ServerSet::default().with_row_lifetime(LIFETIME);
    for (n, (is, count)) in rows.iter().enumerate() {
        let version = revision(1, 50 + n as u64);
        set.on_counted_row(row(*is, *count, version), Duration::ZERO);
    }
    set
}

/// Whether the server is used at these times, where each read shows a row of the second era with a lower version.
fn used(known: &[(Is, (u64, u64))], found: (Is, (u64, u64))) -> [bool; 4] {
    let mut set = set(known);
    [SEEN, REWRITTEN, LAPSED, LONG_AFTER].map(|now| {
        set.on_counted_row(row(found.0, found.1, revision(2, 5)), now);
        set.is_usable("x", now)
    })
}

const NEVER: [bool; 4] = [false; 4];
const ALWAYS: [bool; 4] = [true; 4];
const ONCE_WRITTEN: [bool; 4] = [false, true, true, true];
const ONCE_LAPSED: [bool; 4] = [false, false, true, true];

macro_rules! servers {
    ($($name:ident: $known:expr, $found:expr => $used:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(used(&$known, $found), $used);
        }
    )*};
}

servers! {
    a_draining_server_is_not_brought_back_by_an_earlier_row:
        [(Ready, (0, 1)), (Draining, (0, 4))], (Ready, (0, 1)) => NEVER;
    a_server_that_drained_at_once_is_not_brought_back:
        [(Ready, (0, 1)), (Draining, (0, 1))], (Ready, (0, 1)) => NEVER;
    a_draining_server_that_was_ready_later_is_used:
        [(Draining, (0, 4))], (Ready, (0, 5)) => ALWAYS;
    a_new_process_is_used_at_once:
        [(Ready, (0, 1)), (Draining, (0, 9))], (Ready, (1, 0)) => ALWAYS;
    a_row_of_the_process_before_brings_nothing_back:
        [(Ready, (0, 9)), (Draining, (1, 2))], (Ready, (0, 9)) => NEVER;
    a_ready_server_is_not_taken_away_by_an_earlier_row:
        [(Draining, (0, 9)), (Ready, (1, 0))], (Draining, (0, 9)) => ALWAYS;
    a_removed_server_is_not_brought_back_by_an_earlier_row:
        [(Ready, (0, 1)), (Draining, (0, 4)), (Absent, (0, 0))], (Ready, (0, 1)) => NEVER;
    a_removed_server_that_drained_stays_out_while_its_last_row_may_lapse:
        [(Draining, (0, 4)), (Absent, (0, 0))], (Draining, (0, 4)) => NEVER;
    a_removed_server_is_used_once_its_last_row_would_have_lapsed:
        [(Ready, (0, 4)), (Absent, (0, 0))], (Ready, (0, 4)) => ONCE_LAPSED;
    a_removed_server_is_used_once_all_is_written_again:
        [(Ready, (0, 4)), (Absent, (0, 0))], (Ready, (0, 5)) => ONCE_WRITTEN;
    a_new_process_of_a_removed_server_is_used_at_once:
        [(Ready, (0, 4)), (Absent, (0, 0))], (Ready, (1, 0)) => ALWAYS;
    an_odd_row_after_a_drain_brings_nothing_back:
        [(Draining, (0, 4)), (Odd, (0, 0))], (Ready, (0, 1)) => ONCE_WRITTEN;
}

/// A check compared a row that is passed over with the revision before the drill, and so listed the table each time.
#[test]
fn a_row_that_is_passed_over_for_long_is_as_expected() {
    let mut set = set(&[(Ready, (0, 1)), (Draining, (0, 4))]);
    let earlier = row(Ready, (0, 1), revision(2, 5));
    assert!(!set.on_counted_row(earlier.clone(), SEEN));
    for now in [SEEN, LONG_AFTER] {
        assert_eq!(set.row_revision("x", now), revision(2, 5));
        assert!(!set.is_newer("x", revision(2, 5), now));
        assert!(!set.on_counted_row(earlier.clone(), now));
    }
    assert!(set.on_counted_row(row(Draining, (0, 5), revision(2, 9)), LONG_AFTER));
    assert_eq!(set.row_revision("x", LONG_AFTER), revision(2, 9));
}

#[test]
fn an_earlier_row_after_each_of_two_drills_brings_nothing_back() {
    let mut set = set(&[(Ready, (0, 1)), (Draining, (0, 4))]);
    for era in [2, 3] {
        set.on_counted_row(row(Ready, (0, 1), revision(era, 5)), SEEN);
        assert!(!set.is_usable("x", LONG_AFTER));
    }
}

/// A gateway that has started knows the copy alone, and a peer that ran on tells of the drain.
#[test]
fn a_later_row_of_the_era_before_counts() {
    for lost in [Draining, Absent] {
        let mut set = ServerSet::default().with_row_lifetime(LIFETIME);
        let earlier = row(Ready, (0, 1), revision(2, 5));
        set.on_counted_row(earlier.clone(), SEEN);
        let count = row(Ready, (0, 4), 0).count;
        let lost = CountedRow {
            count,
            ..row(lost, (0, 4), revision(1, 51))
        };
        set.on_listing([lost], ReadProof::Unknown, SEEN);
        for now in [SEEN, LONG_AFTER] {
            assert!(!set.is_usable("x", now));
            assert!(!set.on_counted_row(earlier.clone(), now));
            assert_eq!(set.row_revision("x", now), revision(2, 5));
        }
    }
}

/// The same where the server was removed without another write: its row is there again until it lapses.
#[test]
fn a_removal_in_the_era_before_counts_until_the_row_would_have_lapsed() {
    let mut set = ServerSet::default().with_row_lifetime(LIFETIME);
    let last = row(Ready, (0, 4), revision(2, 5));
    set.on_counted_row(last.clone(), SEEN);
    set.on_store_returned(SEEN, LIFETIME);
    let removed = CountedRow {
        count: last.count,
        ..row(Absent, (0, 4), revision(1, 51))
    };
    set.on_counted_row(removed, SEEN);
    assert!(!set.is_usable("x", SEEN));
    set.on_counted_row(last.clone(), LAPSED - MS);
    assert!(!set.is_usable("x", LAPSED - MS));
    set.on_counted_row(last, LAPSED);
    assert!(set.is_usable("x", LAPSED));
}

/// A gateway that has started heard of the removal first, beside rows of the present era, and counted the time in which
/// the row may lapse from its own start.
#[test]
fn the_time_in_which_a_row_may_lapse_begins_once_both_eras_are_seen() {
    let mut set = ServerSet::default().with_row_lifetime(LIFETIME);
    let mut other = row(Ready, (0, 0), revision(2, 4));
    other.id = "y".into();
    set.on_counted_row(other, SEEN);
    let last = row(Ready, (0, 4), revision(2, 5));
    let removed = CountedRow {
        count: last.count,
        ..row(Absent, (0, 4), revision(1, 51))
    };
    set.on_counted_row(removed, SEEN);
    for now in [SEEN, LAPSED - MS] {
        set.on_counted_row(last.clone(), now);
        assert!(!set.is_usable("x", now));
    }
    set.on_counted_row(last, LAPSED);
    assert!(set.is_usable("x", LAPSED));
}

#[test]
fn an_earlier_row_of_the_era_before_changes_nothing() {
    let mut set = ServerSet::default();
    set.on_counted_row(row(Draining, (0, 4), revision(2, 5)), SEEN);
    assert!(!set.on_counted_row(row(Ready, (0, 3), revision(1, 90)), SEEN));
    assert!(!set.on_counted_row(
        (Box::from("x"), BackendRow::Absent, revision(1, 91)).into(),
        SEEN
    ));
    assert_eq!(set.row_revision("x", SEEN), revision(2, 5));
}
