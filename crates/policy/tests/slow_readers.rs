//! What is held for callers that read slowly, and which stream is ended when memory is used up.

use policy::{
    FREE_HELD_BYTES, MAX_HELD_BYTES, SlowReader, may_hold, needs_shared_memory, reader_to_end,
};
use std::time::Duration;

const fn reader(held: u64, idle_ms: u64) -> SlowReader {
    let idle = Duration::from_millis(idle_ms);
    SlowReader { held, idle }
}

macro_rules! ended {
    ($($name:ident: $readers:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(reader_to_end(&$readers), $expected);
        }
    )*};
}

ended! {
    of_callers_that_stopped_the_one_that_holds_most_is_ended:
        [reader(100 << 10, 3_000), reader(200 << 10, 3_000), reader(20 << 10, 3_000)] => Some(1);
    a_caller_that_reads_is_spared_though_it_holds_more:
        [reader(250 << 10, 200), reader(100 << 10, 5_000)] => Some(1);
    callers_that_read_at_once_differ_by_what_is_held:
        [reader(200 << 10, 0), reader(100 << 10, 50)] => Some(0);
    nothing_is_gained_by_ending_callers_that_use_no_shared_memory:
        [reader(FREE_HELD_BYTES, 9_000), reader(0, 0)] => None;
}

/// A caller that keeps up must not depend on the memory that slow ones leave.
#[test]
fn a_caller_that_keeps_up_needs_no_shared_memory() {
    assert!(may_hold(0, 4 * MAX_HELD_BYTES) && !needs_shared_memory(0, 4 * MAX_HELD_BYTES));
    assert!(!needs_shared_memory(2_000, FREE_HELD_BYTES - 2_000));
    assert!(needs_shared_memory(2_000, FREE_HELD_BYTES));
    assert!(may_hold(1, MAX_HELD_BYTES - 1) && !may_hold(1, MAX_HELD_BYTES));
}
