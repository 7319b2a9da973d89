//! Faults that are switched while a stand-in runs.

use async_channel::{Receiver, Sender};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The faults of a stand-in; absent fields of a change stay as they are.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct FaultChange {
    /// Whether it refuses all calls.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub down: Option<bool>,
    /// Milliseconds that each call takes longer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<u64>,
    /// Whether connections are cut after the change took effect.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_answers: Option<bool>,
    /// Whether calls hang until this is switched off.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub frozen: Option<bool>,
    /// Whether connections are cut before any effect.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cut: Option<bool>,
    /// Whether an engine falls back into cold start, once for each change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold: Option<bool>,
    /// How many times slower an engine runs.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_factor: Option<f64>,
}

/// The faults in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Faults {
    /// Whether all calls are refused.
    pub down: bool,
    /// Time that each call takes longer.
    pub slow: Duration,
    /// Whether answers are lost after the change took effect.
    pub lose_answers: bool,
    /// Whether calls hang.
    pub frozen: bool,
    /// Whether connections are cut before any effect.
    pub cut: bool,
    /// How many times slower an engine runs.
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
    thaw: Option<Sender<()>>,
    thawed: Option<Receiver<()>>,
}

/// Switches the faults of one stand-in; clones share it.
#[derive(Debug, Clone)]
pub struct FaultInjector {
    state: Arc<Mutex<State>>,
}

impl Default for FaultInjector {
    fn default() -> Self {
        let state = State {
            faults: Faults::default(),
            thaw: None,
            thawed: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }
}

impl FaultInjector {
    /// The faults in force.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Changes the faults that `change` names.
    pub fn change(&self, change: &FaultChange) {
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
                state.thaw = Some(tx);
                state.thawed = Some(rx);
            }
            Some(false) => {
                faults.frozen = false;
                state.thaw = None;
                state.thawed = None;
            }
            _ => {}
        }
    }

    /// Waits while the stand-in is frozen.
    pub async fn thawed(&self) {
        let thawed = self.lock().thawed.clone();
        if let Some(thawed) = thawed {
            let _ = thawed.recv().await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
