//! What reads of the store prove.

use policy::{CheckWay, ReadProof, StoreReads};
use std::time::Duration;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// After a compaction all gateways refused routes by listings that showed what had held six seconds before.
#[test]
fn a_listing_proves_nothing_by_the_version_that_it_bears() {
    assert!(!ReadProof::Unknown.shows_absence(0));
    let (at, revision) = (at(5), 9);
    let proof = ReadProof::UpTo { at, revision };
    assert!(proof.shows_absence(9) && !proof.shows_absence(10));
}

/// Reads with marks 1 and 2, which were written at 70 and 170 ms as of the revisions 7 and 9.
fn reads() -> StoreReads {
    let mut reads = StoreReads::default();
    for (ms, revision) in [(70, 7), (170, 9)] {
        let mark = reads.next_mark();
        reads.on_marked(mark, at(ms), revision);
    }
    reads
}

const FIRST: ReadProof = ReadProof::UpTo {
    at: Duration::from_millis(70),
    revision: 7,
};
const SECOND: ReadProof = ReadProof::UpTo {
    at: Duration::from_millis(170),
    revision: 9,
};

macro_rules! marked {
    ($($name:ident: $shown:expr => $proof:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(reads().marked($shown), $proof);
        }
    )*};
}

marked! {
    a_listing_between_two_reads_of_a_mark_shows_what_was_written_before_it: [Some(2), Some(2)] => SECOND;
    a_listing_shows_no_more_than_the_earlier_mark: [Some(1), Some(2)] => FIRST;
    reads_that_fall_back_show_no_more_than_the_earlier_mark: [Some(2), Some(1)] => FIRST;
    a_listing_before_any_mark_is_shown_proves_nothing: [None, Some(2)] => ReadProof::Unknown;
    a_listing_after_which_no_mark_is_shown_proves_nothing: [Some(2), None] => ReadProof::Unknown;
    a_mark_that_was_not_written_proves_nothing: [Some(3), Some(3)] => ReadProof::Unknown;
}

#[test]
fn a_transaction_proves_what_was_written_before_it_was_sent() {
    let mut reads = StoreReads::default();
    assert_eq!(reads.way(at(0)), CheckWay::Transaction);
    let proof = reads.on_unchanged(at(40), 5, 9);
    let (at, revision) = (at(40), 9);
    assert_eq!(proof, ReadProof::UpTo { at, revision });
}

#[test]
fn a_store_that_refuses_to_compare_is_asked_again_later() {
    let mut reads = StoreReads::default();
    reads.on_refused(at(1_000));
    assert_eq!(reads.way(at(30_999)), CheckWay::MarkedListing);
    assert_eq!(reads.way(at(31_000)), CheckWay::Transaction);
}

/// A store that answers all comparisons alike confirmed declarations beside newer ones.
#[test]
fn a_store_that_passes_over_newer_rows_is_not_asked_to_compare_again() {
    let mut reads = StoreReads::default();
    reads.on_unchanged(at(40), 5, 9);
    assert!(!reads.on_row(5, at(50)), "the row that was compared");
    assert!(!reads.on_row(10, at(50)), "written after the answer");
    assert_eq!(reads.way(at(50)), CheckWay::Transaction);
    assert!(reads.on_row(7, at(50)) && !reads.on_row(7, at(50)));
    assert_eq!(reads.way(at(60)), CheckWay::MarkedListing);
    assert_eq!(reads.way(at(31_000)), CheckWay::Transaction);
    reads.on_unchanged(at(31_000), 7, 20);
    assert!(reads.on_row(12, at(32_000)));
    assert_eq!(reads.way(at(1_000_000)), CheckWay::MarkedListing);
}
