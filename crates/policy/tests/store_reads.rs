//! What reads of the store prove.

use policy::{CheckWay, ReadProof, StoreReads};
use std::time::Duration;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// After a compaction all gateways refused routes by listings that showed what had held six seconds before.
#[test]
fn a_listing_proves_nothing_by_the_version_that_it_bears() {
    assert!(!ReadProof::Behind.shows_absence());
    assert!(ReadProof::At(at(5)).shows_absence());
}

macro_rules! marked {
    ($($name:ident: $shown:expr => $proof:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(StoreReads::marked(at(70), $shown), $proof);
        }
    )*};
}

marked! {
    a_listing_between_two_reads_of_a_mark_shows_what_was_written_before_it: [true, true] => ReadProof::At(at(70));
    a_listing_before_the_mark_is_shown_may_be_behind: [false, true] => ReadProof::Behind;
    a_listing_after_which_reads_are_behind_may_be_so_too: [true, false] => ReadProof::Behind;
    a_listing_whose_mark_is_never_shown_is_behind: [false, false] => ReadProof::Behind;
}

#[test]
fn a_transaction_proves_what_was_written_before_it_was_sent() {
    let mut reads = StoreReads::default();
    assert_eq!(reads.way(at(0)), CheckWay::Transaction);
    assert_eq!(reads.on_unchanged(at(40), 5, 9), ReadProof::At(at(40)));
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
fn a_store_that_has_passed_over_a_newer_row_is_not_asked_to_compare_again() {
    let mut reads = StoreReads::default();
    reads.on_unchanged(at(40), 5, 9);
    assert!(!reads.on_row(5), "the row that was compared");
    assert!(!reads.on_row(10), "written after the answer");
    assert_eq!(reads.way(at(50)), CheckWay::Transaction);
    assert!(reads.on_row(7) && !reads.on_row(7));
    assert_eq!(reads.way(at(1_000_000)), CheckWay::MarkedListing);
}
