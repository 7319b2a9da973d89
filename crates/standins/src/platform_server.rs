//! A backend server of the users' platform, by its published calls.

use crate::faults::FaultInjector;
use crate::standin_server::{Call, Standin, StandinServer, text_answer};
use async_io::Timer;
use bytes::Bytes;
use hyper::{Response, StatusCode};
use runtime::{Body, BodySender, Executor};
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const FLUSH_TIME: Duration = Duration::from_millis(30);
const PAUSE_TIME: Duration = Duration::from_secs(2);
/// Id of the last event of a stream.
const EVENTS: u64 = 12;

/// What a server is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerKind {
    /// It answers by streams of events.
    Engine,
    /// It gives one whole answer.
    Plain,
}

/// What a server does with requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ServerBehaviour {
    /// It runs them.
    #[default]
    Normal,
    /// It says that it is full, and does not run them.
    Full,
    /// It runs them, and cuts the connection before the answer.
    Cut,
    /// It breaks a stream off within the event behind this one.
    BreakAfter(u64),
    /// It answers with the id of another request.
    WrongId,
    /// It is silent for two seconds behind this event, and then goes on.
    PauseAfter(u64),
    /// It holds streams open behind this event until the caller goes.
    StallAfter(u64),
}

/// A request that a server ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutedRequest {
    /// Id of the request.
    pub request_id: Box<str>,
    /// Team that the gateway named.
    pub team: Option<Box<str>>,
    /// Key, if the gateway passed it on.
    pub authorization: Option<Box<str>>,
    /// Event behind which it was to go on.
    pub last_event_id: Option<u64>,
    /// Body.
    pub body: Bytes,
    /// Engines that were to help.
    pub helpers: Option<Box<str>>,
}

/// A backend server.
#[derive(Debug)]
pub struct PlatformServer {
    name: Box<str>,
    kind: ServerKind,
    executor: Executor,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    behaviour: ServerBehaviour,
    executed: Vec<ExecutedRequest>,
    orders: Vec<Value>,
    abandoned_streams: u64,
}

impl PlatformServer {
    /// Listens on `address` under an id.
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
        });
        StandinServer::start(executor, address, standin, FaultInjector::default())
    }

    /// Changes what it does with requests.
    pub fn set_behaviour(&self, behaviour: ServerBehaviour) {
        self.lock().behaviour = behaviour;
    }

    /// Requests that it ran.
    pub fn executed_requests(&self) -> Vec<ExecutedRequest> {
        self.lock().executed.clone()
    }

    /// Orders that it got.
    pub fn received_orders(&self) -> Vec<Value> {
        self.lock().orders.clone()
    }

    /// Streams whose caller went before their end.
    pub fn abandoned_streams(&self) -> u64 {
        self.lock().abandoned_streams
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self, call: &Call) -> (ExecutedRequest, ServerBehaviour) {
        let text = |name: &str| call.header(name).map(Box::from);
        let run = ExecutedRequest {
            request_id: text("x-request-id").unwrap_or_default(),
            team: text("x-tenant-id"),
            authorization: text("authorization"),
            last_event_id: call.header("last-event-id").and_then(|id| id.parse().ok()),
            body: call.body.clone(),
            helpers: text("x-helpers"),
        };
        let mut state = self.lock();
        if state.behaviour != ServerBehaviour::Full {
            state.executed.push(run.clone());
        }
        (run, state.behaviour)
    }

    fn stream(&self, run: &ExecutedRequest, behaviour: ServerBehaviour) -> Body {
        let (tx, body) = Body::stream();
        let first = run.last_event_id.map_or(0, |id| id + 1);
        let state = self.state.clone();
        self.executor.detach(async move {
            if write_events(tx, first, behaviour).await == StreamEnd::CallerLeft {
                state
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .abandoned_streams += 1;
            }
        });
        body
    }

    fn order(&self, call: &Call) -> Response<Body> {
        let Ok(order) = call.json::<Value>() else {
            return text_answer(StatusCode::BAD_REQUEST, "malformed order");
        };
        self.lock().orders.push(order);
        text_answer(StatusCode::OK, &json!({ "Free": 0 }).to_string())
    }
}

#[derive(Debug, PartialEq, Eq)]
enum StreamEnd {
    Written,
    CallerLeft,
}

async fn write_events(tx: BodySender, first: u64, behaviour: ServerBehaviour) -> StreamEnd {
    for id in first..=EVENTS {
        match behaviour {
            ServerBehaviour::BreakAfter(last) if id > last => {
                let _ = tx.send(Bytes::from(format!("id: {id}\ndata: cut"))).await;
                // What was written leaves before the connection breaks.
                Timer::after(FLUSH_TIME).await;
                tx.abort("told to break off").await;
                return StreamEnd::Written;
            }
            ServerBehaviour::PauseAfter(last) if id == last + 1 => {
                Timer::after(PAUSE_TIME).await;
            }
            ServerBehaviour::StallAfter(last) if id > last => {
                tx.closed().await;
                return StreamEnd::CallerLeft;
            }
            _ => {}
        }
        let event = format!("id: {id}\ndata: text {id}\n\n");
        if tx.send(event.into()).await.is_err() {
            return StreamEnd::CallerLeft;
        }
    }
    StreamEnd::Written
}

impl Standin for PlatformServer {
    async fn call(&self, call: Call) -> Response<Body> {
        if call.uri.path() == "/v1/order" {
            return self.order(&call);
        }
        let mut answer = Response::new(Body::empty());
        if call
            .header("x-expect-instance")
            .is_some_and(|id| *id != *self.name)
        {
            *answer.status_mut() = StatusCode::MISDIRECTED_REQUEST;
            return answer;
        }
        let (run, behaviour) = self.run(&call);
        let mut headers = vec![("x-request-id", run.request_id.to_string())];
        let body = match behaviour {
            ServerBehaviour::Full => {
                *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                headers.push(("x-not-executed", "1".into()));
                Body::empty()
            }
            ServerBehaviour::Cut => {
                let (tx, body) = Body::stream();
                headers.push(("content-length", "1".into()));
                tx.abort("told to cut").await;
                body
            }
            _ if self.kind == ServerKind::Engine => {
                headers.push(("content-type", "text/event-stream".into()));
                self.stream(&run, behaviour)
            }
            _ => Body::full(format!("answer of {} to {}", self.name, run.request_id)),
        };
        if behaviour == ServerBehaviour::WrongId {
            headers[0].1 = "of-another-request".into();
        }
        headers.push(("x-response-seal", format!("seal of {}", self.name)));
        for (name, value) in headers {
            if let Ok(value) = value.parse() {
                answer.headers_mut().insert(name, value);
            }
        }
        *answer.body_mut() = body;
        answer
    }

    fn counts(&self) -> Value {
        let state = self.lock();
        json!({ "runs": state.executed.len(), "orders": state.orders.len(), "left": state.abandoned_streams })
    }
}
