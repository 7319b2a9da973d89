//! Memory of the futures that each call and each connection keeps.

use runtime::{Clock, Draining, timeout, unless};
use std::future::{Future, pending, ready};
use std::time::Duration;

const WORK_BYTES: usize = 4 << 10;
/// Room for a timer or a wait for a signal.
const MAX_MORE_BYTES: usize = 512;

/// A future that keeps [`WORK_BYTES`] while it waits.
async fn work() -> u8 {
    let buf = [1; WORK_BYTES];
    pending::<()>().await;
    buf[0]
}

fn holds_its_work_once(future: &impl Future) {
    let bytes = size_of_val(future);
    assert!(bytes >= WORK_BYTES, "{bytes} bytes");
    assert!(bytes < WORK_BYTES + MAX_MORE_BYTES, "{bytes} bytes");
}

#[test]
fn a_time_limit_holds_its_work_once() {
    holds_its_work_once(&timeout(Duration::from_secs(1), work()));
}

#[test]
fn work_that_may_end_early_is_held_once() {
    holds_its_work_once(&unless(work(), ready(())));
}

#[test]
fn work_before_the_end_of_a_drain_is_held_once() {
    let (draining, clock) = (Draining::<Duration>::default(), Clock::default());
    holds_its_work_once(&draining.before(&clock, |end| end, work()));
}
