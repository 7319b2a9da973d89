//! Urgent tasks among many others that are due.

use futures_lite::future::yield_now;
use runtime::Executor;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Tasks that are due all the time.
const BUSY_TASKS: usize = 5_000;
/// Times that the other task has to run.
const STEPS: usize = 4;

/// How often busy tasks run while another task runs [`STEPS`] times on the executor that `select` gives.
fn busy_runs(select: fn(&Executor) -> Executor) -> usize {
    Executor::run(1, |executor| async move {
        let runs = Arc::new(AtomicUsize::new(0));
        for _ in 0..BUSY_TASKS {
            let runs = runs.clone();
            executor.detach(async move {
                loop {
                    runs.fetch_add(1, Ordering::Relaxed);
                    yield_now().await;
                }
            });
        }
        let before = runs.load(Ordering::Relaxed);
        let steps = select(&executor).spawn(async {
            for _ in 0..STEPS {
                yield_now().await;
            }
        });
        steps.await;
        runs.load(Ordering::Relaxed) - before
    })
}

#[test]
fn an_urgent_task_does_not_wait_for_all_others() {
    let runs = busy_runs(Executor::urgent);
    assert!(runs < BUSY_TASKS, "{runs} runs of others");
    let usual = busy_runs(Executor::clone);
    assert!(usual > BUSY_TASKS * (STEPS - 1), "{usual} runs of others");
}
