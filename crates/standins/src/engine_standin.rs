//! Model engine stand-in: runs the simulated engine in real time behind an HTTP API.

use crate::engine_sim::EngineSim;
use crate::engine_spec::{AttemptId, EngineOutput, EngineSpec, GrantId};
use crate::faults::{FaultChange, FaultInjector};
use crate::standin_server::{Call, Standin, StandinServer, json_response};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future::or;
use hyper::{Response, StatusCode};
use runtime::{Body, Clock, Executor, HttpClient};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

const MAX_IDLE_WAIT: Duration = Duration::from_secs(1);

/// A stand-in for a model engine.
#[derive(Debug)]
pub struct EngineStandin {
    pub(crate) executor: Executor,
    pub(crate) client: HttpClient,
    pub(crate) weight_store: Option<SocketAddr>,
    pub(crate) clock: Clock,
    pub(crate) unnamed_attempts: AtomicU64,
    pub(crate) self_ref: Weak<Self>,
    cutting_connections: AtomicBool,
    state: Mutex<State>,
    wake_tx: Sender<()>,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) engine: EngineSim,
    streams: HashMap<AttemptId, Sender<EngineOutput>>,
    segments: HashMap<(GrantId, u32), Vec<Sender<bool>>>,
}

impl State {
    /// Registers a receiver of the outputs of an attempt.
    pub(crate) fn subscribe(&mut self, attempt: &str) -> Receiver<EngineOutput> {
        let (tx, rx) = async_channel::unbounded();
        self.streams.insert(attempt.into(), tx);
        rx
    }

    pub(crate) fn unsubscribe(&mut self, attempt: &str) {
        self.streams.remove(attempt);
    }

    /// Registers a receiver for the end of a segment: true if it is prefilled, false if it failed.
    pub(crate) fn subscribe_segment(&mut self, grant: &str, segment: u32) -> Receiver<bool> {
        let (tx, rx) = async_channel::bounded(1);
        let key = (grant.into(), segment);
        self.segments.entry(key).or_default().push(tx);
        rx
    }

    fn deliver(&mut self, output: EngineOutput) {
        match &output {
            EngineOutput::Token { attempt, .. } => {
                if let Some(tx) = self.streams.get(attempt) {
                    let _ = tx.try_send(output);
                }
            }
            EngineOutput::Done { attempt } | EngineOutput::Failed { attempt } => {
                if let Some(tx) = self.streams.remove(attempt) {
                    let _ = tx.try_send(output);
                }
            }
            EngineOutput::SegmentDone { grant, segment } => {
                self.end_segment(grant.clone(), *segment, true);
            }
            EngineOutput::SegmentFailed { grant, segment } => {
                self.end_segment(grant.clone(), *segment, false);
            }
        }
    }

    fn end_segment(&mut self, grant: GrantId, segment: u32, done: bool) {
        let subscribers = self.segments.remove(&(grant, segment));
        for tx in subscribers.unwrap_or_default() {
            let _ = tx.try_send(done);
        }
    }
}

impl EngineStandin {
    /// Listens on `address`. Model loads read from the weight store at `weight_store`, if one is
    /// given, and otherwise take [`EngineSpec::load_time`].
    pub fn bind(
        executor: &Executor,
        address: SocketAddr,
        mut spec: EngineSpec,
        weight_store: Option<SocketAddr>,
    ) -> io::Result<StandinServer<Self>> {
        if weight_store.is_some() {
            spec.load_time = None;
        }
        let (wake_tx, wake_rx) = async_channel::bounded(1);
        let standin = Arc::new_cyclic(|self_ref| Self {
            executor: executor.clone(),
            client: HttpClient::new(executor.clone()),
            weight_store,
            clock: Clock::default(),
            unnamed_attempts: AtomicU64::new(0),
            self_ref: self_ref.clone(),
            cutting_connections: AtomicBool::new(false),
            state: Mutex::new(State {
                engine: EngineSim::new(spec),
                streams: HashMap::new(),
                segments: HashMap::new(),
            }),
            wake_tx,
        });
        executor.detach(drive(Arc::downgrade(&standin), wake_rx));
        StandinServer::start(executor, address, standin, FaultInjector::default())
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the driver after a change of the simulated engine.
    pub(crate) fn wake(&self) {
        let _ = self.wake_tx.try_send(());
    }

    /// Whether connections are cut by an injected fault.
    pub(crate) fn is_cutting_connections(&self) -> bool {
        self.cutting_connections.load(Ordering::Relaxed)
    }

    /// Advances the simulated engine to the present time and delivers its outputs; returns the time
    /// of its next event.
    fn advance(&self) -> Option<Duration> {
        let now = self.clock.now();
        let mut state = self.lock();
        let mut outputs = Vec::new();
        state.engine.advance(now, &mut outputs);
        for output in outputs {
            state.deliver(output);
        }
        state.engine.next_wakeup()
    }

    /// Closes all open responses, as if their connections had failed.
    fn cut_streams(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let attempts: Vec<AttemptId> = state.streams.drain().map(|(name, _)| name).collect();
        for attempt in attempts {
            state.engine.connection_closed(now, &attempt);
        }
    }
}

async fn drive(standin: Weak<EngineStandin>, wake_rx: Receiver<()>) {
    loop {
        let wait = match standin.upgrade() {
            Some(standin) => standin.advance().map_or(MAX_IDLE_WAIT, |at| {
                at.saturating_sub(standin.clock.now()).min(MAX_IDLE_WAIT)
            }),
            None => return,
        };
        let woken = async {
            let _ = wake_rx.recv().await;
        };
        let timer = async {
            Timer::after(wait).await;
        };
        or(woken, timer).await;
    }
}

impl Standin for EngineStandin {
    async fn handle(&self, call: Call) -> Response<Body> {
        self.dispatch(call).await
    }

    fn counts(&self) -> serde_json::Value {
        serde_json::to_value(self.lock().engine.counts()).unwrap_or_default()
    }

    fn on_fault_change(&self, change: &FaultChange) {
        let now = self.clock.now();
        if change.down == Some(true) {
            self.lock().engine.restart(now);
        }
        if change.cold == Some(true) {
            self.lock().engine.return_to_cold_start(now);
        }
        if let Some(frozen) = change.frozen {
            self.lock().engine.set_frozen(now, frozen);
        }
        if let Some(factor) = change.slow_factor {
            self.lock().engine.set_slow_factor(now, factor);
        }
        if let Some(cut) = change.cut {
            self.cutting_connections.store(cut, Ordering::Relaxed);
            if cut {
                self.cut_streams();
            }
        }
        self.wake();
    }

    fn down_response(&self) -> Response<Body> {
        error_response("down", false)
    }
}

/// Response to a request that was refused, or that failed; `may_have_run` tells the two apart.
pub(crate) fn error_response(error: &str, may_have_run: bool) -> Response<Body> {
    let body = serde_json::json!({ "error": error, "ran": may_have_run });
    json_response(StatusCode::SERVICE_UNAVAILABLE, &body)
}
