//! A multi-threaded async executor.

use async_executor::{Executor as Inner, Task};
use async_io::block_on;
use futures_lite::future::or;
use std::future::{Future, pending};
use std::sync::Arc;
use std::thread;

/// Spawns tasks on a shared set of threads; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Executor {
    inner: Arc<Inner<'static>>,
    urgent: Arc<Inner<'static>>,
}

impl Executor {
    /// Runs the future returned by `main` to its end, on `threads` threads including the calling
    /// one (at least one). Tasks still running then make no further progress.
    pub fn run<F, T>(threads: usize, main: impl FnOnce(Self) -> F) -> T
    where
        F: Future<Output = T>,
    {
        let executor = Self::default();
        let (stop_tx, stop_rx) = async_channel::bounded::<()>(1);
        thread::scope(|scope| {
            for _ in 1..threads.max(1) {
                let (executor, stop_rx) = (executor.clone(), stop_rx.clone());
                scope.spawn(move || block_on(executor.run_tasks(stop_rx.recv())));
            }
            let tasks = executor.clone();
            let value = block_on(tasks.run_tasks(main(executor)));
            drop(stop_tx);
            value
        })
    }

    /// Runs tasks until `until` ends, urgent ones first after each few hundred others.
    async fn run_tasks<T>(&self, until: impl Future<Output = T>) -> T {
        or(self.urgent.run(pending()), self.inner.run(until)).await
    }

    /// An executor on the same threads, whose tasks run before those of this one that are due. It is for short
    /// work that must not wait where thousands of tasks are due.
    pub fn urgent(&self) -> Self {
        Self {
            inner: self.urgent.clone(),
            urgent: self.urgent.clone(),
        }
    }

    /// Spawns a task that is cancelled when the returned handle is dropped.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.inner.spawn(future)
    }

    /// Spawns a task that runs in the background until it ends.
    pub fn detach(&self, future: impl Future<Output = ()> + Send + 'static) {
        self.inner.spawn(future).detach();
    }
}

/// Runs work that takes long on a thread of its own, so that tasks make progress meanwhile.
pub async fn offload<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    blocking::unblock(work).await
}
