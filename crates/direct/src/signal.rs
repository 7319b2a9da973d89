//! A wake-up that is remembered until somebody waits for it.

use async_channel::{Receiver, Sender};

/// Wakes one waiting task; several calls before it looks count as one.
#[derive(Debug)]
pub struct Signal {
    tx: Sender<()>,
    rx: Receiver<()>,
}

impl Default for Signal {
    fn default() -> Self {
        let (tx, rx) = async_channel::bounded(1);
        Self { tx, rx }
    }
}

impl Signal {
    /// Wakes the task that waits, or the next one that does.
    pub fn notify(&self) {
        // A full channel holds a wake-up already.
        let _ = self.tx.try_send(());
    }

    /// Waits for a wake-up.
    pub async fn notified(&self) {
        // The sender lives as long as the receiver.
        let _ = self.rx.recv().await;
    }
}
