//! Servers' rows in a store that comes back from a copy some seconds old, and gives out versions again.

use policy::{BackendId, CountedRow, REWRITE_TIME, ReadProof, ServerSet};
use proto::{BackendEntry, BackendRow, Revision, revision};
use std::time::Duration;

const ADDRESS: u16 = 80;
/// When the set first reads the store after it has come back.
const SEEN: Duration = Duration::from_secs(10);
/// When what the store says holds.
const REWRITTEN: Duration = SEEN.saturating_add(REWRITE_TIME);
/// A listing that shows what holds.
fn up_to(revision: u64) -> ReadProof {
    let at = Duration::ZERO;
    ReadProof::UpTo { at, revision }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn row(id: &str, port: u16, draining: bool) -> BackendRow {
    BackendRow::Present(BackendEntry {
        id: id.into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], port).into(),
        domain: "a".into(),
        slots: 4,
        draining,
    })
}

fn ready() -> BackendRow {
    row("x", ADDRESS, false)
}

fn draining() -> BackendRow {
    row("x", ADDRESS, true)
}

/// Row of a server beside it.
fn other(draining: bool) -> BackendRow {
    row("y", ADDRESS, draining)
}

/// A set that knows a row of the server `x` in the first era, beside another server.
fn set(known: BackendRow) -> ServerSet {
    let mut set = ServerSet::default();
    set.on_row("y", other(false), revision(1, 10), at(0));
    set.on_row("x", known, revision(1, 11), at(0));
    set
}

fn port(set: &ServerSet, now: Duration) -> Option<u16> {
    let mut usable = set.usable("s", now);
    let entry = usable.find(|entry| *entry.id == *"x")?;
    Some(entry.address.port())
}

/// What becomes of the server while rows may be missing, and after that.
#[derive(Debug, PartialEq, Eq)]
struct Usable {
    at_once: Option<u16>,
    later: Option<u16>,
}

/// Finds `found` in a row of the second era whose version is lower than the known one, again and again.
fn after_a_drill(known: BackendRow, found: &BackendRow) -> Usable {
    let mut set = set(known);
    let version = revision(2, 5);
    let mut read = |now| {
        let is_recorded = set.on_row("x", found.clone(), version, now);
        assert!(is_recorded || !set.is_newer("x", version, now) || set.is_passed_over("x"));
        port(&set, now)
    };
    let at_once = read(SEEN);
    assert_eq!(read(REWRITTEN - at(1)), at_once);
    let later = read(REWRITTEN);
    assert!(!set.is_passed_over("x"));
    Usable { at_once, later }
}

macro_rules! servers {
    ($($name:ident: $known:expr, $found:expr => $at_once:expr, $later:expr;)*) => {$(
        #[test]
        fn $name() {
            let usable = Usable { at_once: $at_once, later: $later };
            assert_eq!(after_a_drill($known, &$found), usable);
        }
    )*};
}

servers! {
    a_draining_server_is_not_brought_back: draining(), ready() => None, Some(ADDRESS);
    a_removed_server_is_not_brought_back: BackendRow::Absent, ready() => None, Some(ADDRESS);
    an_odd_row_is_not_replaced_by_an_older_one: BackendRow::Unreadable, ready() => None, Some(ADDRESS);
    a_ready_server_is_not_taken_away: ready(), BackendRow::Absent => Some(ADDRESS), None;
    a_ready_server_is_not_taken_away_by_an_odd_row: ready(), BackendRow::Unreadable => Some(ADDRESS), None;
    a_moved_server_is_not_sent_back: ready(), row("x", 81, false) => Some(ADDRESS), Some(81);
    a_ready_server_that_drains_gets_nothing: ready(), draining() => None, None;
    a_draining_server_that_is_missing_gets_nothing: draining(), BackendRow::Absent => None, None;
    a_ready_server_stays: ready(), ready() => Some(ADDRESS), Some(ADDRESS);
}

#[test]
fn a_server_that_was_not_known_is_used_at_once() {
    let mut set = set(ready());
    set.on_row("z", row("z", ADDRESS, false), revision(2, 5), SEEN);
    assert!(set.is_usable("z", SEEN));
}

/// A drained server was ready again in a row that bore a version of the former era.
#[test]
fn rows_of_the_present_era_are_newer_than_one_another() {
    let mut set = set(ready());
    set.on_row("x", draining(), revision(2, 5), SEEN);
    assert!(!set.on_row("x", ready(), revision(2, 4), SEEN));
    assert!(!set.on_row("x", ready(), revision(1, 99), SEEN));
    assert!(!set.is_usable("x", SEEN));
    assert!(set.on_row("x", ready(), revision(2, 6), SEEN));
    assert!(set.is_usable("x", SEEN));
}

#[test]
fn a_row_that_is_written_again_ends_the_wait() {
    let mut set = set(draining());
    set.on_row("x", ready(), revision(2, 5), SEEN);
    assert!(set.is_passed_over("x"));
    assert!(set.on_row("x", draining(), revision(2, 9), SEEN + at(500)));
    assert!(!set.is_passed_over("x") && !set.is_usable("x", REWRITTEN));
}

#[test]
fn servers_that_a_listing_lacks_stay_until_they_may_be_written_again() {
    let mut set = set(ready());
    let list = |set: &mut ServerSet, now| {
        let rows = vec![("y".into(), other(false), revision(2, 4))];
        set.on_listing(rows, up_to(revision(2, 7)), now);
    };
    // An empty table is a copy too.
    set.on_listing(Vec::<CountedRow>::new(), up_to(revision(2, 3)), SEEN);
    assert!(set.is_usable("x", SEEN) && set.is_usable("y", SEEN));
    list(&mut set, REWRITTEN - at(1));
    assert!(set.is_usable("x", REWRITTEN - at(1)) && set.is_passed_over("x"));
    list(&mut set, REWRITTEN);
    assert!(!set.is_usable("x", REWRITTEN) && set.is_usable("y", REWRITTEN));
}

/// The first drill was hardly over, and the time for the second one did not begin.
#[test]
fn each_of_two_drills_has_its_time() {
    let mut set = set(draining());
    let second = REWRITTEN - at(100);
    set.on_row("x", ready(), revision(2, 5), SEEN);
    set.on_row("x", ready(), revision(3, 5), second);
    set.on_row("x", ready(), revision(3, 5), REWRITTEN);
    assert!(!set.is_usable("x", REWRITTEN));
    set.on_row("x", ready(), revision(3, 5), second + REWRITE_TIME);
    assert!(set.is_usable("x", second + REWRITE_TIME));
}

#[test]
fn a_drill_in_which_the_server_drains_and_one_that_loses_it() {
    let mut set = set(ready());
    set.on_row("x", draining(), revision(2, 9), SEEN);
    set.on_row("x", ready(), revision(3, 5), REWRITTEN);
    assert!(!set.is_usable("x", REWRITTEN));
}

/// A gateway was frozen for long and has seen none of the eras between.
#[test]
fn the_time_begins_when_the_era_is_seen() {
    let mut set = set(draining());
    let thawed = at(600_000);
    set.on_row("x", ready(), revision(7, 5), thawed);
    assert!(!set.is_usable("x", thawed));
}

#[test]
fn a_gateway_that_starts_takes_what_the_store_says() {
    let mut set = ServerSet::default();
    set.on_listing(
        vec![("x".into(), ready(), revision(2, 5))],
        up_to(revision(2, 7)),
        SEEN,
    );
    assert!(set.is_usable("x", SEEN));
    set.on_listing(Vec::<CountedRow>::new(), up_to(revision(2, 8)), SEEN);
    assert!(!set.is_usable("x", SEEN));
}

type Rows = Vec<(Box<str>, BackendRow, Revision)>;

fn changed_since(set: &ServerSet, version: Revision) -> Option<Rows> {
    let rows = set.changed_since(version)?;
    Some(
        rows.map(|(id, row, version)| (id.clone(), row.clone(), version))
            .collect(),
    )
}

#[test]
fn a_peer_of_a_former_era_changes_nothing() {
    let mut set = set(ready());
    set.on_row("x", BackendRow::Absent, revision(2, 5), SEEN);
    set.on_row("x", BackendRow::Absent, revision(2, 5), REWRITTEN);
    let rows: Rows = vec![("x".into(), ready(), revision(1, 90))];
    set.on_difference(rows.clone(), revision(1, 50), REWRITTEN);
    set.on_listing(rows, ReadProof::Unknown, REWRITTEN);
    assert!(!set.is_usable("x", REWRITTEN));
}

/// Rows with a low version of a newer era follow all rows of the era before.
#[test]
fn a_difference_reaches_over_eras() {
    let mut sender = set(draining());
    sender.on_row("y", other(true), revision(2, 3), SEEN);
    let rows = changed_since(&sender, revision(1, 11)).unwrap();
    assert_eq!(rows, [("y".into(), other(true), revision(2, 3))]);
    let mut receiver = set(draining());
    receiver.on_difference(rows, revision(1, 11), SEEN);
    assert!(!receiver.is_usable("y", SEEN));
    assert!(!receiver.is_usable("x", SEEN));
}

/// A listing of a newer era does not show which servers came and went since the former one.
#[test]
fn no_difference_reaches_over_a_listing_of_a_newer_era() {
    let mut sender = set(ready());
    let rows = vec![("x".into(), draining(), revision(2, 3))];
    sender.on_listing(rows, up_to(revision(2, 7)), SEEN);
    assert_eq!(changed_since(&sender, revision(1, 11)), None);
    assert!(changed_since(&sender, revision(2, 7)).is_some());
}

/// A row was passed over and read again, and newer rows of other servers did not wait for it.
#[test]
fn rows_that_were_passed_over_do_not_hold_back_others() {
    let mut sender = set(draining());
    sender.on_row("x", ready(), revision(2, 5), SEEN);
    sender.on_row("y", other(true), revision(2, 9), SEEN);
    let rows = changed_since(&sender, revision(1, 11)).unwrap();
    assert_eq!(rows, [("y".into(), other(true), revision(2, 9))]);
    assert!(sender.on_row("x", ready(), revision(2, 5), REWRITTEN));
    let rows = changed_since(&sender, revision(1, 11)).unwrap();
    assert_eq!(rows.len(), 2);
}

/// Rows of removed servers are dropped beyond a number, and the copy showed such a server.
#[test]
fn removed_servers_are_kept_while_rows_are_missing() {
    let mut set = set(BackendRow::Absent);
    let rows = (0..5_000).map(|n| {
        (
            BackendId::from(format!("z-{n}")),
            BackendRow::Absent,
            revision(2, n + 1),
        )
    });
    set.on_difference(rows, revision(1, 11), SEEN);
    set.on_row("x", ready(), revision(2, 6), SEEN);
    assert!(!set.is_usable("x", SEEN));
    set.on_listing(
        Vec::<CountedRow>::new(),
        up_to(revision(2, 6_000)),
        REWRITTEN,
    );
    assert!(set.rows().count() < 100, "they are dropped after that");
    assert!(!set.is_passed_over("x"));
}
