//! Process shutdown: Unix signals, and a shared flag that starts the drain.

use async_channel::{Receiver, Sender};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// A one-way flag that tells any number of tasks to drain; clones share it.
#[derive(Debug, Clone)]
pub struct ShutdownSignal {
    tx: Sender<()>,
    rx: Receiver<()>,
    start: Arc<OnceLock<Instant>>,
}

impl Default for ShutdownSignal {
    fn default() -> Self {
        let (tx, rx) = async_channel::bounded(1);
        let start = Arc::default();
        Self { tx, rx, start }
    }
}

impl ShutdownSignal {
    /// Starts the drain; further calls have no effect.
    pub fn start(&self) {
        self.start_late(Duration::ZERO);
    }

    /// As [`Self::start`], for a drain that was to start this long ago.
    pub fn start_late(&self, delay: Duration) {
        let now = Instant::now();
        let start = now.checked_sub(delay).unwrap_or(now);
        self.start.get_or_init(|| start);
        self.tx.close();
    }

    /// Whether the drain has started.
    pub fn is_started(&self) -> bool {
        self.tx.is_closed()
    }

    /// Waits until the drain starts; returns at once if it has.
    pub async fn started(&self) {
        let _ = self.rx.recv().await;
    }

    /// As [`Self::started`], and returns when it was to start.
    pub async fn start_time(&self) -> Instant {
        self.started().await;
        self.start.get().copied().unwrap_or_else(Instant::now)
    }
}

/// Waits for SIGTERM or SIGINT. Fails if the signal handlers cannot be installed.
pub async fn termination_signal() -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    match signals.next().await {
        Some(Err(err)) => Err(err),
        _ => Ok(()),
    }
}
