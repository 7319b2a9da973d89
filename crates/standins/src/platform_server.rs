//! Stand-in for a backend server of the users' platform, with the platform's published HTTP API.

use crate::engine_pace::EnginePace;
use crate::faults::FaultInjector;
use crate::reservation_log::{HeldMemory, ReservationLog};
use crate::server_behaviour::{ServerBehaviour, ServerKind};
use crate::standin_server::{Call, Standin, StandinServer, text_response};
use crate::work_log::{Work, WorkGuard, WorkLog};
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future::or;
use hyper::{Response, StatusCode};
use runtime::{Body, BodySender, Executor, ShutdownSignal};
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// Time for the data written before an abort to reach the caller.
const FLUSH_DELAY: Duration = Duration::from_millis(30);
const PAUSE_DURATION: Duration = Duration::from_secs(2);
/// Interval between the bytes of a stream that drips.
const DRIP_INTERVAL: Duration = Duration::from_millis(100);
/// Time from the start of a crash until new connections are refused, and the open ones are reset.
const CRASH_DELAY: Duration = Duration::from_millis(20);
/// Id of the last event of a stream.
const LAST_EVENT_ID: u64 = 12;

/// A request that a server ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutedRequest {
    /// Request id header; empty if absent.
    pub request_id: Box<str>,
    /// Team, as set by the gateway.
    pub team: Option<Box<str>>,
    /// `authorization` header, if the gateway passed it on.
    pub authorization: Option<Box<str>>,
    /// Event after which a resumed stream is to continue; absent for a new one.
    pub last_event_id: Option<u64>,
    /// Request body.
    pub body: Bytes,
    /// Engines assigned to help with the prefill, as the gateway named them.
    pub helpers: Option<Box<str>>,
    /// Parts of the prompt, as the caller named them.
    pub prompt_parts: Option<Box<str>>,
}

/// A stand-in for a backend server of the users' platform.
#[derive(Debug)]
pub struct PlatformServer {
    name: Box<str>,
    kind: ServerKind,
    executor: Executor,
    state: Arc<Mutex<State>>,
    /// Set when a request has crashed it.
    crashed: ShutdownSignal,
    shutdown: OnceLock<ShutdownSignal>,
    work: WorkLog,
    /// Address and reading speed of an engine that takes time for prompts.
    pace: OnceLock<(SocketAddr, Arc<EnginePace>)>,
}

#[derive(Debug, Default)]
struct State {
    behaviour: ServerBehaviour,
    executed_requests: Vec<ExecutedRequest>,
    received_orders: Vec<Value>,
    reservations: ReservationLog,
    abandoned_streams: u64,
    request_limit: Option<f64>,
    /// Ids and times of requests that arrived.
    arrivals: Vec<(Box<str>, Instant)>,
    pause: Option<Box<str>>,
    is_leaving: bool,
    event_interval: Duration,
    fatal_part: Option<Box<str>>,
    fatal_body: Option<Bytes>,
    run_time: Duration,
}

impl PlatformServer {
    /// Listens on `address` as the server with id `name`.
    pub fn bind(
        executor: &Executor,
        address: SocketAddr,
        name: &str,
        kind: ServerKind,
    ) -> io::Result<StandinServer<Self>> {
        let standin = Arc::new(Self {
            name: name.into(),
            kind,
            executor: executor.clone(),
            state: Arc::default(),
            crashed: ShutdownSignal::default(),
            shutdown: OnceLock::new(),
            work: WorkLog::default(),
            pace: OnceLock::new(),
        });
        let server =
            StandinServer::start(executor, address, standin.clone(), FaultInjector::default())?;
        standin.shutdown.get_or_init(|| server.shutdown_signal());
        Ok(server)
    }

    /// Makes the engine at `address` take time for prompts, which it shares with those that help it.
    pub fn set_pace(&self, address: SocketAddr, pace: Arc<EnginePace>) {
        self.pace.get_or_init(|| (address, pace));
    }

    /// When it was at work on each request that reached it.
    pub fn work(&self) -> Vec<Work> {
        self.work.entries()
    }

    /// Sets the time between the events of a stream; zero at first.
    pub fn set_event_interval(&self, interval: Duration) {
        self.lock().event_interval = interval;
    }

    /// Sets the id of a prompt part that crashes it as soon as it begins to answer a prompt with it:
    /// it then resets all connections, and refuses new ones until it is dropped.
    pub fn set_fatal_part(&self, part: &str) {
        self.lock().fatal_part = Some(part.into());
    }

    /// Sets the body of requests that crash it, as [`Self::set_fatal_part`] does for prompts.
    pub fn set_fatal_body(&self, body: &str) {
        self.lock().fatal_body = Some(Bytes::copy_from_slice(body.as_bytes()));
    }

    /// Sets how long a request of a plain service runs, also until it crashes the server; zero at first.
    pub fn set_run_time(&self, time: Duration) {
        self.lock().run_time = time;
    }

    /// Whether a request has crashed it.
    pub fn has_crashed(&self) -> bool {
        self.crashed.is_started()
    }

    /// Sets how it handles requests from now on.
    pub fn set_behaviour(&self, behaviour: ServerBehaviour) {
        self.lock().behaviour = behaviour;
    }

    /// All requests that it ran, in order of arrival.
    pub fn executed_requests(&self) -> Vec<ExecutedRequest> {
        self.lock().executed_requests.clone()
    }

    /// Sets the limit on requests per second that it states in all responses; `None` states none.
    pub fn set_request_limit(&self, rate: Option<f64>) {
        self.lock().request_limit = rate;
    }

    /// Makes it say in all responses that it leaves.
    pub fn leave(&self) {
        self.lock().is_leaving = true;
    }

    /// Sets the pause, in seconds, that it asks for when it refuses a request; `None` asks for none.
    pub fn set_pause(&self, seconds: Option<&str>) {
        self.lock().pause = seconds.map(Into::into);
    }

    /// Times at which requests arrived, including those that it did not run; orders are left out.
    pub fn arrivals(&self) -> Vec<Instant> {
        let state = self.lock();
        state.arrivals.iter().map(|(_, at)| *at).collect()
    }

    /// As [`Self::arrivals`], with the ids of the requests.
    pub fn received_requests(&self) -> Vec<(Box<str>, Instant)> {
        self.lock().arrivals.clone()
    }

    /// Bodies of all orders that it received.
    pub fn received_orders(&self) -> Vec<Value> {
        self.lock().received_orders.clone()
    }

    /// Memory that it held reserved by these orders.
    pub fn held_memory(&self) -> Vec<HeldMemory> {
        self.lock().reservations.entries()
    }

    /// Number of streams whose caller disconnected before the end.
    pub fn abandoned_streams(&self) -> u64 {
        self.lock().abandoned_streams
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_arrival(&self, call: &Call) -> ExecutedRequest {
        let text = |name: &str| call.header(name).map(Box::from);
        let request = ExecutedRequest {
            request_id: text("x-request-id").unwrap_or_default(),
            team: text("x-tenant-id"),
            authorization: text("authorization"),
            last_event_id: call.header("last-event-id").and_then(|id| id.parse().ok()),
            body: call.body.clone(),
            helpers: text("x-helpers"),
            prompt_parts: text("x-prompt-prefix"),
        };
        let arrival = (request.request_id.clone(), Instant::now());
        self.lock().arrivals.push(arrival);
        request
    }

    fn record_run(&self, request: &ExecutedRequest) -> ServerBehaviour {
        let mut state = self.lock();
        let behaviour = state.behaviour;
        if let ServerBehaviour::NameAtFault(_) = behaviour {
            state.behaviour = ServerBehaviour::Normal;
        } else if behaviour != ServerBehaviour::Full {
            state.executed_requests.push(request.clone());
        }
        behaviour
    }

    fn stream(
        &self,
        request: &ExecutedRequest,
        behaviour: ServerBehaviour,
        work: WorkGuard,
    ) -> Body {
        let (tx, body) = Body::stream();
        let first = request.last_event_id.map_or(0, |id| id + 1);
        let interval = self.lock().event_interval;
        let (state, crashed) = (self.state.clone(), self.crashed.clone());
        self.executor.detach(async move {
            let _work = work;
            let written = write_events(tx.clone(), first, interval, behaviour);
            let crash = async {
                crashed.started().await;
                tx.abort("crashed").await;
                StreamEnd::Written
            };
            if or(written, crash).await == StreamEnd::CallerDisconnected {
                state
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .abandoned_streams += 1;
            }
        });
        body
    }

    /// Whether a request crashes this server.
    fn is_fatal(&self, request: &ExecutedRequest) -> bool {
        let state = self.lock();
        if state.fatal_body.as_ref() == Some(&request.body) {
            return true;
        }
        let fatal = state.fatal_part.as_deref();
        let parts = request.prompt_parts.as_deref().unwrap_or_default();
        let mut ids = parts.split(',').filter_map(|part| part.split(':').next());
        fatal.is_some_and(|fatal| ids.any(|id| id == fatal))
    }

    /// Ends as a process that crashes: new connections are refused, then the open ones are reset.
    async fn crash(&self) {
        if let Some(shutdown) = self.shutdown.get() {
            shutdown.start();
        }
        Timer::after(CRASH_DELAY).await;
        self.crashed.start();
    }

    fn record_order(&self, call: &Call) -> Response<Body> {
        let Ok(order) = call.json::<Value>() else {
            return text_response(StatusCode::BAD_REQUEST, "malformed order");
        };
        let mut state = self.lock();
        state.reservations.on_order(&order, Instant::now());
        state.received_orders.push(order);
        drop(state);
        text_response(StatusCode::OK, &json!({ "Free": 0 }).to_string())
    }
}

#[derive(Debug, PartialEq, Eq)]
enum StreamEnd {
    Written,
    CallerDisconnected,
}

async fn write_events(
    tx: BodySender,
    first: u64,
    interval: Duration,
    behaviour: ServerBehaviour,
) -> StreamEnd {
    if behaviour == ServerBehaviour::LateEvents {
        Timer::after(PAUSE_DURATION).await;
    }
    for id in first..=LAST_EVENT_ID {
        match behaviour {
            ServerBehaviour::BreakAfter(last) if id > last => {
                let _ = tx.send(Bytes::from(format!("id: {id}\ndata: cut"))).await;
                // Lets the written part reach the caller before the abort.
                Timer::after(FLUSH_DELAY).await;
                tx.abort("told to break off").await;
                return StreamEnd::Written;
            }
            ServerBehaviour::PauseAfter(last) if id == last + 1 => {
                Timer::after(PAUSE_DURATION).await;
            }
            ServerBehaviour::DripAfter(last) if id > last => {
                let mut byte = Bytes::from_static(b":");
                while tx.send(byte).await.is_ok() {
                    byte = Bytes::from_static(b".");
                    Timer::after(DRIP_INTERVAL).await;
                }
                return StreamEnd::CallerDisconnected;
            }
            ServerBehaviour::StallAfter(last) if id > last => {
                tx.closed().await;
                return StreamEnd::CallerDisconnected;
            }
            _ => {}
        }
        if !interval.is_zero() {
            Timer::after(interval).await;
        }
        let event = format!("id: {id}\ndata: text {id}\n\n");
        if tx.send(event.into()).await.is_err() {
            return StreamEnd::CallerDisconnected;
        }
    }
    StreamEnd::Written
}

impl Standin for PlatformServer {
    async fn handle(&self, call: Call) -> Response<Body> {
        let mut response = if call.uri.path() == "/v1/order" {
            self.record_order(&call)
        } else {
            self.run(&call).await
        };
        if self.lock().is_leaving {
            let value = hyper::header::HeaderValue::from_static("1");
            response.headers_mut().insert("server-leaving", value);
        }
        let limit = self.lock().request_limit;
        if let Some(limit) = limit.and_then(|limit| limit.to_string().parse().ok()) {
            response.headers_mut().insert("server-limit", limit);
        }
        response
    }

    fn counts(&self) -> Value {
        let state = self.lock();
        json!({ "runs": state.executed_requests.len(), "orders": state.received_orders.len(), "left": state.abandoned_streams })
    }
}

impl PlatformServer {
    /// Body of a response that breaks off before its first byte.
    async fn cut_body(&self, headers: &mut Vec<(&str, String)>) -> Body {
        let (tx, body) = Body::stream();
        headers.push(("content-length", "1".into()));
        tx.abort("cut").await;
        body
    }

    /// Handles a request that is not an order.
    async fn run(&self, call: &Call) -> Response<Body> {
        let mut response = Response::new(Body::empty());
        if call
            .header("x-expect-instance")
            .is_some_and(|id| *id != *self.name)
        {
            *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
            return response;
        }
        let request = self.record_arrival(call);
        let work = self
            .work
            .begin(&request.request_id, request.helpers.as_deref());
        let pace = self.pace.get();
        let reading = pace.map(|(address, pace)| pace.read(*address, call));
        if let Some((begins, _)) = reading {
            Timer::at(begins).await;
        }
        let behaviour = self.record_run(&request);
        if let Some((_, ends)) = reading {
            Timer::at(ends).await;
        }
        if self.kind == ServerKind::Plain && behaviour == ServerBehaviour::Normal {
            let run_time = self.lock().run_time;
            let crash = async {
                self.crashed.started().await;
            };
            let run = async {
                Timer::after(run_time).await;
            };
            or(crash, run).await;
        }
        if self.is_fatal(&request) {
            self.crash().await;
        }
        if behaviour == ServerBehaviour::LateResponse {
            Timer::after(PAUSE_DURATION).await;
        }
        let mut headers = vec![("x-request-id", request.request_id.to_string())];
        let body = match behaviour {
            ServerBehaviour::Full => {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                headers.push(("x-not-executed", "1".into()));
                let pause = self.lock().pause.clone();
                headers.extend(pause.map(|seconds| ("retry-after", seconds.into_string())));
                Body::empty()
            }
            ServerBehaviour::NameAtFault(address) => {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                headers.push(("x-not-executed", "1".into()));
                headers.push(("at-server", address.to_string()));
                Body::empty()
            }
            ServerBehaviour::Cut => self.cut_body(&mut headers).await,
            _ if self.kind == ServerKind::Plain && self.has_crashed() => {
                self.cut_body(&mut headers).await
            }
            ServerBehaviour::Hang => std::future::pending().await,
            _ if self.kind == ServerKind::Engine => {
                headers.push(("content-type", "text/event-stream".into()));
                self.stream(&request, behaviour, work)
            }
            _ => Body::full(format!("answer of {} to {}", self.name, request.request_id)),
        };
        if behaviour == ServerBehaviour::WrongId {
            headers[0].1 = "of-another-request".into();
        }
        headers.push(("x-response-seal", format!("seal of {}", self.name)));
        for (name, value) in headers {
            if let Ok(value) = value.parse() {
                response.headers_mut().insert(name, value);
            }
        }
        *response.body_mut() = body;
        response
    }
}
