//! Faults that can be injected into a running stand-in.

use async_channel::{Receiver, Sender};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A change of the injected faults; absent fields leave the fault as it is.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct FaultChange {
    /// Whether the stand-in refuses all calls.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub down: Option<bool>,
    /// Delay before each call is handled, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<u64>,
    /// Whether the connection is cut after a call has taken effect, so that its response is lost.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_answers: Option<bool>,
    /// Whether calls hang until the stand-in is thawed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub frozen: Option<bool>,
    /// Whether the connection is cut before a call takes effect.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cut: Option<bool>,
    /// True returns an engine to cold start, once per change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold: Option<bool>,
    /// Factor by which the steps of an engine take longer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_factor: Option<f64>,
}

/// The active faults of a stand-in.
#[derive(Debug, Clone, PartialEq)]
pub struct Faults {
    /// Whether all calls are refused.
    pub down: bool,
    /// Delay before each call is handled.
    pub slow: Duration,
    /// Whether the connection is cut after a call has taken effect.
    pub lose_answers: bool,
    /// Whether calls hang until the stand-in is thawed.
    pub frozen: bool,
    /// Whether the connection is cut before a call takes effect.
    pub cut: bool,
    /// Factor by which the steps of an engine take longer.
    pub slow_factor: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            down: false,
            slow: Duration::ZERO,
            lose_answers: false,
            frozen: false,
            cut: false,
            slow_factor: 1.0,
        }
    }
}

#[derive(Debug)]
struct State {
    faults: Faults,
    thaw_tx: Option<Sender<()>>,
    /// Closed when the stand-in is thawed; absent while it is not frozen.
    thaw_rx: Option<Receiver<()>>,
}

/// Holds the active faults of one stand-in; clones share them.
#[derive(Debug, Clone)]
pub struct FaultInjector {
    state: Arc<Mutex<State>>,
}

impl Default for FaultInjector {
    fn default() -> Self {
        let state = State {
            faults: Faults::default(),
            thaw_tx: None,
            thaw_rx: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }
}

impl FaultInjector {
    /// The active faults.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Applies the fields that are present in `change`.
    pub fn apply(&self, change: &FaultChange) {
        let mut state = self.lock();
        let faults = &mut state.faults;
        faults.down = change.down.unwrap_or(faults.down);
        faults.slow = change.slow_ms.map_or(faults.slow, Duration::from_millis);
        faults.lose_answers = change.lose_answers.unwrap_or(faults.lose_answers);
        faults.cut = change.cut.unwrap_or(faults.cut);
        faults.slow_factor = change.slow_factor.unwrap_or(faults.slow_factor);
        match change.frozen {
            Some(true) if !faults.frozen => {
                faults.frozen = true;
                let (tx, rx) = async_channel::bounded(1);
                state.thaw_tx = Some(tx);
                state.thaw_rx = Some(rx);
            }
            Some(false) => {
                faults.frozen = false;
                state.thaw_tx = None;
                state.thaw_rx = None;
            }
            _ => {}
        }
    }

    /// Waits while the stand-in is frozen.
    pub async fn wait_until_thawed(&self) {
        let rx = self.lock().thaw_rx.clone();
        if let Some(rx) = rx {
            let _ = rx.recv().await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
