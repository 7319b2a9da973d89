//! A model engine over HTTP, which drives the model in real time.

use crate::engine_sim::EngineSim;
use crate::engine_spec::{AttemptId, EngineOutput, EngineSpec, GrantId};
use crate::faults::{FaultChange, FaultInjector};
use crate::standin_server::{Call, Standin, StandinServer, json_answer};
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

const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// A model engine.
#[derive(Debug)]
pub struct EngineStandin {
    pub(crate) executor: Executor,
    pub(crate) client: HttpClient,
    pub(crate) weights: Option<SocketAddr>,
    pub(crate) clock: Clock,
    pub(crate) unnamed: AtomicU64,
    pub(crate) this: Weak<Self>,
    cutting: AtomicBool,
    state: Mutex<State>,
    wake: Sender<()>,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) model: EngineSim,
    streams: HashMap<AttemptId, Sender<EngineOutput>>,
    segments: HashMap<(GrantId, u32), Vec<Sender<bool>>>,
}

impl State {
    /// Registers who waits for an attempt's outputs.
    pub(crate) fn listen(&mut self, attempt: &str) -> Receiver<EngineOutput> {
        let (tx, rx) = async_channel::unbounded();
        self.streams.insert(attempt.into(), tx);
        rx
    }

    pub(crate) fn unlisten(&mut self, attempt: &str) {
        self.streams.remove(attempt);
    }

    /// Registers who waits for a segment.
    pub(crate) fn listen_segment(&mut self, grant: &str, segment: u32) -> Receiver<bool> {
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
        let waiting = self.segments.remove(&(grant, segment));
        for tx in waiting.unwrap_or_default() {
            let _ = tx.try_send(done);
        }
    }
}

impl EngineStandin {
    /// Listens on `address`; loads read weights from the weight store where one is given.
    pub fn bind(
        executor: &Executor,
        address: SocketAddr,
        mut spec: EngineSpec,
        weights: Option<SocketAddr>,
    ) -> io::Result<StandinServer<Self>> {
        if weights.is_some() {
            spec.load_time = None;
        }
        let (wake, woken) = async_channel::bounded(1);
        let standin = Arc::new_cyclic(|this| Self {
            executor: executor.clone(),
            client: HttpClient::new(executor.clone()),
            weights,
            clock: Clock::default(),
            unnamed: AtomicU64::new(0),
            this: this.clone(),
            cutting: AtomicBool::new(false),
            state: Mutex::new(State {
                model: EngineSim::new(spec),
                streams: HashMap::new(),
                segments: HashMap::new(),
            }),
            wake,
        });
        executor.detach(drive(Arc::downgrade(&standin), woken));
        StandinServer::start(executor, address, standin, FaultInjector::default())
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets the driver look at the model again.
    pub(crate) fn wake(&self) {
        let _ = self.wake.try_send(());
    }

    /// Whether open answers are being cut.
    pub(crate) fn is_cutting(&self) -> bool {
        self.cutting.load(Ordering::Relaxed)
    }

    /// Lets time pass in the model and hands its outputs out; gives the time of the next one.
    fn step(&self) -> Option<Duration> {
        let now = self.clock.now();
        let mut state = self.lock();
        let mut outputs = Vec::new();
        state.model.advance(now, &mut outputs);
        for output in outputs {
            state.deliver(output);
        }
        state.model.next_wakeup()
    }

    fn cut_streams(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let attempts: Vec<AttemptId> = state.streams.drain().map(|(name, _)| name).collect();
        for attempt in attempts {
            state.model.connection_closed(now, &attempt);
        }
    }
}

async fn drive(standin: Weak<EngineStandin>, woken: Receiver<()>) {
    loop {
        let wait = match standin.upgrade() {
            Some(standin) => standin.step().map_or(LONGEST_WAIT, |at| {
                at.saturating_sub(standin.clock.now()).min(LONGEST_WAIT)
            }),
            None => return,
        };
        let wake = async {
            let _ = woken.recv().await;
        };
        let timer = async {
            Timer::after(wait).await;
        };
        or(wake, timer).await;
    }
}

impl Standin for EngineStandin {
    async fn call(&self, call: Call) -> Response<Body> {
        self.answer(call).await
    }

    fn counts(&self) -> serde_json::Value {
        serde_json::to_value(self.lock().model.counts()).unwrap_or_default()
    }

    fn on_faults(&self, change: &FaultChange) {
        let now = self.clock.now();
        if change.down == Some(true) {
            self.lock().model.restart(now);
        }
        if change.cold == Some(true) {
            self.lock().model.return_to_cold_start(now);
        }
        if let Some(frozen) = change.frozen {
            self.lock().model.set_frozen(now, frozen);
        }
        if let Some(factor) = change.slow_factor {
            self.lock().model.set_slow_factor(now, factor);
        }
        if let Some(cut) = change.cut {
            self.cutting.store(cut, Ordering::Relaxed);
            if cut {
                self.cut_streams();
            }
        }
        self.wake();
    }

    fn down_answer(&self) -> Response<Body> {
        refused_answer("down", false)
    }
}

/// An engine's refusal, or its report that a request broke off.
pub(crate) fn refused_answer(error: &str, ran: bool) -> Response<Body> {
    let body = serde_json::json!({ "error": error, "ran": ran });
    json_answer(StatusCode::SERVICE_UNAVAILABLE, &body)
}
