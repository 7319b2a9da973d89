//! Rows that checks find before polls and peers tell of those between them.

use policy::TableProgress;
use std::time::Duration;

const FOUND: Duration = Duration::from_secs(5);
/// Longer than the pause between two polls.
const POLLED: Duration = Duration::from_millis(5_200);

/// A table that is known up to revision 790.
fn known() -> TableProgress {
    let mut progress = TableProgress::default();
    progress.on_all([785, 790], 790);
    assert!(!progress.is_untold(FOUND));
    progress
}

/// A gateway that leaves the store to others took the revision of the one row that its check had found, 874, for that of the
/// table: rows from 791 to 873 were in no difference that peers sent it, and a server among them had said that it leaves.
#[test]
fn a_row_that_a_check_finds_hides_no_earlier_ones() {
    for polls in [false, true] {
        let mut progress = known();
        progress.on_found([874], polls, FOUND);
        assert_eq!(progress.revision(), 790);
        assert!(!progress.tell(880, FOUND));
        progress.on_all([800], 868);
        assert_eq!(progress.revision(), 868);
    }
}

#[test]
fn a_poll_that_tells_of_it_leaves_nothing_to_tell() {
    let mut progress = known();
    progress.on_found([874], true, FOUND);
    progress.on_all([800, 873], 874);
    assert!(!progress.is_untold(POLLED));
    assert_eq!(progress.revision(), 874);
}

#[test]
fn a_row_of_which_no_poll_tells_is_told_as_a_later_one() {
    let mut progress = known();
    progress.on_found([874], true, FOUND);
    progress.on_found([875], true, POLLED);
    assert!(progress.is_untold(POLLED));
    assert!(progress.tell(880, POLLED));
    assert_eq!(progress.revision(), 880);
    assert!(!progress.tell(890, POLLED));
}

/// Gateways that do not poll the table leave that to those that do.
#[test]
fn a_gateway_that_does_not_poll_tells_nothing() {
    let mut progress = known();
    progress.on_found([700, 874], false, FOUND);
    assert!(!progress.is_untold(POLLED));
}

/// A watch left a row out before a later one, and others had been told that later one.
#[test]
fn a_row_from_before_what_was_told_is_told_at_once() {
    let mut by_check = known();
    by_check.on_found([700], true, FOUND);
    assert!(by_check.tell(880, FOUND));
    let mut by_poll = known();
    by_poll.on_all([700], 790);
    assert!(by_poll.tell(880, FOUND));
}

#[test]
fn the_first_read_hides_nothing() {
    let mut progress = TableProgress::default();
    progress.on_all([5], 9);
    assert!(!progress.is_untold(POLLED));
}
