//! Stretches in which an executor does not run a task that is due.

use runtime::{Executor, StallWatch};
use std::sync::mpsc;
use std::time::Duration;

const MIN_STALL: Duration = Duration::from_millis(200);
/// With it, the stall is longer than the least one.
const MAX_SILENCE: Duration = Duration::from_secs(1);

#[test]
fn a_task_that_holds_the_thread_is_told_from_a_process_that_stands_still() {
    let (tx, rx) = mpsc::channel();
    let stall = Executor::run(1, |executor| async move {
        let watch = StallWatch::start(MIN_STALL, MAX_SILENCE, move |length| {
            let _ = tx.send(length);
        });
        executor.detach(async move {
            let mut silence = rx.try_recv();
            while silence.is_err() {
                silence = rx.try_recv();
            }
        });
        watch.next_stall().await
    });
    assert!(stall.length >= MIN_STALL, "{stall:?}");
    assert!(stall.stood_still < stall.length, "{stall:?}");
    let thread = stall.thread.unwrap();
    let busy = thread.ran + thread.waited;
    assert!(busy > stall.length / 2, "{stall:?}");
}
