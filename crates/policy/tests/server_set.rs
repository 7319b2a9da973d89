//! Which backend servers get new requests while rows change and the store fails.

use policy::{BackendId, CountedRow, EXPIRED_ROW_GRACE, ReadProof, ServerSet};
use proto::{BackendEntry, BackendRow};
use std::time::Duration;

/// Time between two reports of a server.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// One in which rows expire.
const OUTAGE: Duration = Duration::from_secs(5);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A listing that shows all that was written up to a revision.
fn up_to(revision: u64) -> ReadProof {
    let at = Duration::ZERO;
    ReadProof::UpTo { at, revision }
}

fn entry(id: &str, draining: bool) -> BackendRow {
    BackendRow::Present(BackendEntry {
        id: id.into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: "a".into(),
        slots: 4,
        draining,
    })
}

fn set() -> ServerSet {
    let mut set = ServerSet::default().with_row_lifetime(HEARTBEAT * 3);
    assert!(set.on_row("x", entry("x", false), 5, at(0)));
    assert!(set.is_usable("x", at(0)));
    set
}

#[test]
fn leaving_and_gone_servers_get_nothing() {
    let mut set = set();
    set.on_row("x", entry("x", true), 6, at(10));
    assert!(!set.is_usable("x", at(10)));
    set.on_row("x", BackendRow::Absent, 7, at(20));
    assert!(!set.is_usable("x", at(20)));
}

#[test]
fn late_news_changes_nothing() {
    let mut set = set();
    set.on_row("x", BackendRow::Absent, 9, at(10));
    assert!(!set.on_row("x", entry("x", false), 8, at(20)));
    assert!(!set.is_usable("x", at(20)));
}

#[test]
fn entries_that_lapsed_with_the_store_are_waited_for() {
    let mut set = set();
    set.on_store_returned(at(1_000), OUTAGE);
    set.on_listing(Vec::<CountedRow>::new(), up_to(9), at(1_000));
    assert!(set.is_usable("x", at(1_000)));
    assert!(!set.is_usable("x", at(1_000) + EXPIRED_ROW_GRACE));
    set.on_row("x", entry("x", false), 10, at(2_000));
    assert!(set.is_usable("x", at(9_000)));
}

/// A server that was removed went on getting requests for 1.8 s after a poll had been cut.
#[test]
fn no_entry_lapses_in_an_outage_that_is_shorter_than_a_heartbeat() {
    let short = HEARTBEAT - at(1);
    for (away, is_waited_for) in [(at(40), false), (short, false), (HEARTBEAT, true)] {
        let mut set = set();
        set.on_store_returned(at(1_000), away);
        set.on_listing(Vec::<CountedRow>::new(), up_to(9), at(1_000));
        assert_eq!(set.is_usable("x", at(1_000)), is_waited_for, "{away:?}");
    }
}

#[test]
fn a_cut_poll_after_an_outage_ends_no_wait_and_begins_none() {
    let mut set = set();
    set.on_store_returned(at(1_000), OUTAGE);
    set.on_store_returned(at(1_500), at(40));
    set.on_listing(Vec::<CountedRow>::new(), up_to(9), at(1_500));
    let end = at(1_000) + EXPIRED_ROW_GRACE;
    assert!(set.is_usable("x", end - at(1)));
    assert!(!set.is_usable("x", end));
}

#[test]
fn a_draining_server_is_not_waited_for() {
    let mut set = set();
    set.on_row("x", entry("x", true), 6, at(10));
    set.on_store_returned(at(1_000), OUTAGE);
    set.on_listing(Vec::<CountedRow>::new(), up_to(9), at(1_000));
    assert!(!set.is_usable("x", at(1_000)));
}

#[test]
fn rows_that_cannot_be_read_name_no_server() {
    let mut set = set();
    set.on_row("x", BackendRow::Unreadable, 6, at(10));
    set.on_row("y", BackendRow::Unreadable, 7, at(10));
    assert_eq!(set.usable("s", at(10)).count(), 0);
}

#[test]
fn a_domain_that_is_out_gets_nothing() {
    let mut set = set();
    set.set_evacuated(["a".into()].into());
    assert!(!set.is_usable("x", at(0)));
    set.set_evacuated([].into());
    assert!(set.is_usable("x", at(0)));
}

/// A server said in its responses that it leaves, while its row went on as that of a ready server, or
/// expired and came back with the store.
#[test]
fn a_server_that_says_it_leaves_gets_nothing_whatever_its_row_says() {
    let mut set = set();
    assert!(!set.on_leaving("unknown", at(0)));
    assert!(set.on_leaving("x", at(0)) && !set.on_leaving("x", at(10)));
    assert!(!set.is_usable("x", at(10)));
    set.on_row("x", entry("x", false), 11, at(1_000));
    assert!(!set.is_usable("x", at(1_000)));
    set.on_row("x", BackendRow::Absent, 12, at(2_000));
    set.on_row("x", entry("x", false), 13, at(4_000));
    assert!(!set.is_usable("x", at(4_000)), "its row had expired");
}

/// The id of a server that left is used again by its next process, whose row states a later start.
#[test]
fn a_server_that_left_gets_requests_once_it_has_started_anew() {
    let start = |millis: u64| Duration::from_millis(1_700_000_000_000 + millis);
    let mut set = set();
    set.on_start("x", start(0));
    set.on_leaving("x", at(0));
    for (version, started) in [(12, start(0)), (13, start(0))] {
        set.on_row("x", entry("x", false), version, at(60_000));
        set.on_start("x", started);
        assert!(!set.is_usable("x", at(60_000)), "the same process");
    }
    set.on_row("x", BackendRow::Absent, 14, at(70_000));
    set.on_row("x", entry("x", false), 15, at(71_000));
    set.on_start("x", start(70_500));
    assert!(set.is_usable("x", at(71_000)));
    assert_eq!(set.take_restarted(), ["x".into()]);
    set.on_leaving("x", at(72_000));
    set.on_start("x", start(0));
    assert!(!set.is_usable("x", at(72_000)), "an older row");
}

/// Rows of removed servers are dropped beyond a number, and a server that had said that it leaves got
/// requests when its row came back.
#[test]
fn a_server_that_left_is_remembered_beside_many_removed_ones() {
    let mut set = set();
    set.on_leaving("x", at(0));
    for (version, n) in (20..).zip(0..5_000) {
        let id = format!("gone-{n}");
        set.on_row(&id, entry(&id, false), version, at(10));
    }
    set.on_listing(Vec::<CountedRow>::new(), up_to(6_000), at(20));
    assert!(set.rows().count() < 5_000, "the others are dropped");
    set.on_row("x", entry("x", false), 6_001, at(60_000));
    assert!(!set.is_usable("x", at(60_000)));
}

/// A server that had said that it leaves lost its row for a moment much later, as one that cannot reach
/// the store does, and got requests again.
#[test]
fn a_server_that_left_got_requests_when_its_row_came_back() {
    let mut set = set();
    set.on_leaving("x", at(0));
    set.on_row("x", BackendRow::Absent, 12, at(40_000));
    set.on_row("x", entry("x", false), 13, at(42_000));
    assert!(!set.is_usable("x", at(42_000)));
}

type Rows = Vec<(Box<str>, BackendRow, u64)>;

/// What `set` sends to a gateway that knows all up to `version`; `None` if it has to send all rows.
fn changed_since(set: &ServerSet, version: u64) -> Option<Rows> {
    let rows = set.changed_since(version)?;
    let rows = rows.map(|(id, row, version)| (id.clone(), row.clone(), version));
    let mut rows: Rows = rows.collect();
    rows.sort_by_key(|(.., version)| *version);
    Some(rows)
}

/// A gateway that missed the removal of a server in a difference sent requests to it for ever.
#[test]
fn a_difference_holds_newer_and_removed_rows() {
    let mut sender = set();
    sender.on_row("y", entry("y", false), 6, at(0));
    sender.on_row("x", BackendRow::Absent, 7, at(0));
    let rows = changed_since(&sender, 5).unwrap();
    let versions: Vec<_> = rows
        .iter()
        .map(|(id, _, version)| (&**id, *version))
        .collect();
    assert_eq!(versions, [("y", 6), ("x", 7)]);
    let mut receiver = set();
    receiver.on_difference(rows, 5, at(10));
    assert!(receiver.is_usable("y", at(10)) && !receiver.is_usable("x", at(10)));
    assert_eq!(changed_since(&sender, 7), Some(Vec::new()));
}

/// A gateway that has listed the table does not know which servers came and went before.
#[test]
fn a_difference_is_refused_where_removals_may_be_unknown() {
    let mut sender = ServerSet::default();
    sender.on_listing(vec![("y".into(), entry("y", false), 6)], up_to(8), at(0));
    assert_eq!(changed_since(&sender, 5), None);
    assert_eq!(changed_since(&sender, 8), Some(Vec::new()));
    assert_eq!(
        changed_since(&set(), 0),
        None,
        "a new gateway gets all rows"
    );
}

/// Rows of removed servers are dropped when there are many; a late difference that holds an older row
/// brought such a server back.
#[test]
fn a_difference_brings_no_older_row_back() {
    let mut set = set();
    set.on_row("x", BackendRow::Absent, 9, at(10));
    let rows = (0..5_000).map(|n| {
        (
            BackendId::from(format!("z-{n}")),
            BackendRow::Absent,
            10 + n,
        )
    });
    set.on_difference(rows, 9, at(20));
    assert_eq!(
        changed_since(&set, 9),
        None,
        "removals after 9 were dropped"
    );
    set.on_difference(vec![("x".into(), entry("x", false), 5)], 5_009, at(30));
    assert!(!set.is_usable("x", at(30)));
}

/// Those who watch the table list it once a second together, so that each change of any other table made all
/// others fetch all rows.
#[test]
fn a_listing_without_news_leaves_differences_possible() {
    let mut sender = set();
    sender.on_listing(vec![("x".into(), entry("x", false), 5)], up_to(8), at(0));
    assert_eq!(changed_since(&sender, 5), Some(Vec::new()));
}

/// A listing that was seconds behind and bore the newest version took away servers that had started
/// meanwhile, until their rows changed.
#[test]
fn a_listing_that_may_be_behind_takes_no_server_away() {
    let mut set = set();
    let rows = vec![("y".into(), entry("y", false), 4)];
    assert!(set.on_listing(rows, ReadProof::Unknown, at(10)));
    assert!(set.is_usable("x", at(10)) && set.is_usable("y", at(10)));
    set.on_listing(vec![("x".into(), entry("x", false), 5)], up_to(9), at(20));
    assert!(set.is_usable("x", at(20)) && !set.is_usable("y", at(20)));
}
