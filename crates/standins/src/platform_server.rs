//! A backend server of the users' platform, by its published calls.

use crate::faults::FaultSwitch;
use crate::host::{Call, Hosted, Stand, text_answer};
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
pub enum ServerConduct {
    /// It runs them.
    #[default]
    Sound,
    /// It says that it is full, and does not run them.
    Full,
    /// It runs them, and cuts the connection before the answer.
    Cut,
    /// It breaks a stream off within the event behind this one.
    BreakBehind(u64),
    /// It answers with the id of another request.
    WrongId,
    /// It is silent for two seconds behind this event, and then goes on.
    PauseBehind(u64),
    /// It holds streams open behind this event until the caller goes.
    StallBehind(u64),
}

/// A request that a server ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRun {
    /// Id of the request.
    pub id: Box<str>,
    /// Team that the gateway named.
    pub team: Option<Box<str>>,
    /// Key, if the gateway passed it on.
    pub key: Option<Box<str>>,
    /// Event behind which it was to go on.
    pub behind: Option<u64>,
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
    conduct: ServerConduct,
    runs: Vec<ServerRun>,
    orders: Vec<Value>,
    left: u64,
}

impl PlatformServer {
    /// Listens on `address` under an id.
    pub fn bind(
        executor: &Executor,
        address: SocketAddr,
        name: &str,
        kind: ServerKind,
    ) -> io::Result<Hosted<Self>> {
        let stand = Arc::new(Self {
            name: name.into(),
            kind,
            executor: executor.clone(),
            state: Arc::default(),
        });
        Hosted::start(executor, address, stand, FaultSwitch::default())
    }

    /// Changes what it does with requests.
    pub fn conduct(&self, conduct: ServerConduct) {
        self.lock().conduct = conduct;
    }

    /// Requests that it ran.
    pub fn runs(&self) -> Vec<ServerRun> {
        self.lock().runs.clone()
    }

    /// Orders that it got.
    pub fn orders(&self) -> Vec<Value> {
        self.lock().orders.clone()
    }

    /// Streams whose caller went before their end.
    pub fn left(&self) -> u64 {
        self.lock().left
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self, call: &Call) -> (ServerRun, ServerConduct) {
        let text = |name: &str| call.header(name).map(Box::from);
        let run = ServerRun {
            id: text("x-request-id").unwrap_or_default(),
            team: text("x-tenant-id"),
            key: text("authorization"),
            behind: call.header("last-event-id").and_then(|id| id.parse().ok()),
            body: call.body.clone(),
            helpers: text("x-helpers"),
        };
        let mut state = self.lock();
        if state.conduct != ServerConduct::Full {
            state.runs.push(run.clone());
        }
        (run, state.conduct)
    }

    fn stream(&self, run: &ServerRun, conduct: ServerConduct) -> Body {
        let (tx, body) = Body::stream();
        let first = run.behind.map_or(0, |id| id + 1);
        let state = self.state.clone();
        self.executor.detach(async move {
            if write_events(tx, first, conduct).await == StreamEnd::CallerLeft {
                state.lock().unwrap_or_else(PoisonError::into_inner).left += 1;
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

async fn write_events(tx: BodySender, first: u64, conduct: ServerConduct) -> StreamEnd {
    for id in first..=EVENTS {
        match conduct {
            ServerConduct::BreakBehind(last) if id > last => {
                let _ = tx.send(Bytes::from(format!("id: {id}\ndata: cut"))).await;
                // What was written leaves before the connection breaks.
                Timer::after(FLUSH_TIME).await;
                tx.abort("told to break off").await;
                return StreamEnd::Written;
            }
            ServerConduct::PauseBehind(last) if id == last + 1 => {
                Timer::after(PAUSE_TIME).await;
            }
            ServerConduct::StallBehind(last) if id > last => {
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

impl Stand for PlatformServer {
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
        let (run, conduct) = self.run(&call);
        let mut headers = vec![("x-request-id", run.id.to_string())];
        let body = match conduct {
            ServerConduct::Full => {
                *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                headers.push(("x-not-executed", "1".into()));
                Body::empty()
            }
            ServerConduct::Cut => {
                let (tx, body) = Body::stream();
                headers.push(("content-length", "1".into()));
                tx.abort("told to cut").await;
                body
            }
            _ if self.kind == ServerKind::Engine => {
                headers.push(("content-type", "text/event-stream".into()));
                self.stream(&run, conduct)
            }
            _ => Body::full(format!("answer of {} to {}", self.name, run.id)),
        };
        if conduct == ServerConduct::WrongId {
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
        json!({ "runs": state.runs.len(), "orders": state.orders.len(), "left": state.left })
    }
}
