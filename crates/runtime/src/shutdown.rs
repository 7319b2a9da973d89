//! Process shutdown: Unix signals, and a shared flag that starts the drain.

use async_channel::{Receiver, Sender};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;

/// A one-way flag that tells any number of tasks to drain; clones share it.
#[derive(Debug, Clone)]
pub struct ShutdownSignal {
    tx: Sender<()>,
    rx: Receiver<()>,
}

impl Default for ShutdownSignal {
    fn default() -> Self {
        let (tx, rx) = async_channel::bounded(1);
        Self { tx, rx }
    }
}

impl ShutdownSignal {
    /// Starts the drain; further calls have no effect.
    pub fn start(&self) {
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
}

/// Waits for SIGTERM or SIGINT. Fails if the signal handlers cannot be installed.
pub async fn termination_signal() -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    match signals.next().await {
        Some(Err(err)) => Err(err),
        _ => Ok(()),
    }
}
