//! A notification that is kept until a task waits for it.

use async_channel::{Receiver, Sender};

/// Wakes one waiting task. Several notifications before the task waits count as one.
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
    /// Wakes the waiting task, or the next one to wait.
    pub fn notify(&self) {
        // A full channel already holds a notification.
        let _ = self.tx.try_send(());
    }

    /// Waits for a notification, and consumes it.
    pub async fn notified(&self) {
        // Never fails: the sender lives as long as the receiver.
        let _ = self.rx.recv().await;
    }
}
