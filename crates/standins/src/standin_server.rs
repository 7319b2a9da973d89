//! Hosting of a stand-in: its listener, the fault switches and its counts.

use crate::faults::{FaultChange, FaultInjector};
use async_io::Timer;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::http::HeaderMap;
use hyper::{Method, Request, Response, StatusCode, Uri};
use quick_error::quick_error;
use runtime::{Body, Executor, HttpLimits, HttpServer, Responder, ShutdownSignal};
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::{Discard, Logger, o};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

const BODY_BYTES: usize = 64 << 20;
const CONNECTIONS: usize = 16_384;

/// A request as stand-ins see it.
#[derive(Debug, Clone)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Call {
    /// A header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}

quick_error! {
    /// A call that makes no sense.
    #[derive(Debug)]
    pub enum CallError {
        /// The body is not what the call takes.
        Malformed(err: serde_json::Error) {
            display("malformed body: {err}")
            from()
        }
        /// There is no such call.
        Unknown {
            display("no such call")
        }
    }
}

impl From<CallError> for Response<Body> {
    fn from(err: CallError) -> Self {
        let status = match err {
            CallError::Malformed(_) => StatusCode::BAD_REQUEST,
            CallError::Unknown => StatusCode::NOT_FOUND,
        };
        text_answer(status, &err.to_string())
    }
}

/// What a stand-in does, apart from hosting and faults.
pub trait Standin: Send + Sync + 'static {
    /// Answers a call.
    fn call(&self, call: Call) -> impl Future<Output = Response<Body>> + Send;

    /// True counts, as JSON.
    fn counts(&self) -> serde_json::Value;

    /// Takes a change of faults that has been put into force.
    fn on_faults(&self, _change: &FaultChange) {}

    /// Answers while the stand-in is down.
    fn down_answer(&self) -> Response<Body> {
        text_answer(StatusCode::SERVICE_UNAVAILABLE, "down")
    }
}

/// A stand-in that listens. Dropping it stops the listener.
#[derive(Debug)]
pub struct StandinServer<S> {
    standin: Arc<S>,
    address: SocketAddr,
    switch: FaultInjector,
    shutdown: ShutdownSignal,
}

impl<S: Standin> StandinServer<S> {
    /// Binds the address and serves on `executor`.
    pub fn start(
        executor: &Executor,
        address: SocketAddr,
        standin: Arc<S>,
        switch: FaultInjector,
    ) -> io::Result<Self> {
        let limits = HttpLimits {
            max_connections: CONNECTIONS,
            ..HttpLimits::default()
        };
        let server = HttpServer::bind(address, limits, Logger::root(Discard, o!()))?;
        let address = server.local_addr()?;
        let shutdown = ShutdownSignal::default();
        let front = Arc::new(Front {
            standin: standin.clone(),
            switch: switch.clone(),
        });
        let serve = server.serve(executor.clone(), front, None, shutdown.clone());
        executor.detach(serve);
        Ok(Self {
            standin,
            address,
            switch,
            shutdown,
        })
    }

    /// The address that it listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Changes its faults.
    pub fn change_faults(&self, change: &FaultChange) {
        self.switch.change(change);
        self.standin.on_faults(change);
    }

    /// Its true counts.
    pub fn counts(&self) -> serde_json::Value {
        self.standin.counts()
    }

    /// The stand-in itself.
    pub fn standin(&self) -> &S {
        &self.standin
    }
}

impl<S> Drop for StandinServer<S> {
    fn drop(&mut self) {
        self.shutdown.start();
    }
}

struct Front<S> {
    standin: Arc<S>,
    switch: FaultInjector,
}

impl<S: Standin> Front<S> {
    async fn control(&self, call: &Call) -> Option<Response<Body>> {
        match (&call.method, call.uri.path()) {
            (&Method::POST, "/standin/faults") => Some(match call.json::<FaultChange>() {
                Ok(change) => {
                    self.switch.change(&change);
                    self.standin.on_faults(&change);
                    json_answer(StatusCode::OK, &serde_json::json!({}))
                }
                Err(err) => err.into(),
            }),
            (&Method::GET, "/standin/counts") => {
                Some(json_answer(StatusCode::OK, &self.standin.counts()))
            }
            (_, path) if path.starts_with("/standin/") => {
                Some(self.standin.call(call.clone()).await)
            }
            _ => None,
        }
    }

    async fn faulty(&self, call: Call) -> Response<Body> {
        self.switch.thawed().await;
        let faults = self.switch.faults();
        if !faults.slow.is_zero() {
            Timer::after(faults.slow).await;
        }
        if faults.cut {
            return cut_answer().await;
        }
        if faults.down {
            return self.standin.down_answer();
        }
        let answer = self.standin.call(call).await;
        self.switch.thawed().await;
        if self.switch.faults().lose_answers {
            return cut_answer().await;
        }
        answer
    }
}

impl<S: Standin> Responder for Front<S> {
    async fn respond(&self, _peer: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        let (parts, body) = req.into_parts();
        let Ok(body) = Limited::new(body, BODY_BYTES).collect().await else {
            return text_answer(StatusCode::PAYLOAD_TOO_LARGE, "body too long or broken");
        };
        let call = Call {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body: body.to_bytes(),
        };
        match self.control(&call).await {
            Some(answer) => answer,
            None => self.faulty(call).await,
        }
    }
}

/// An answer with a JSON body.
pub fn json_answer(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    typed_answer(status, "application/json", Body::full(body))
}

/// An answer with a body of text.
pub fn text_answer(status: StatusCode, text: &str) -> Response<Body> {
    typed_answer(status, "text/plain", Body::full(text.to_owned()))
}

/// An answer with a body of the given type.
pub fn typed_answer(status: StatusCode, content_type: &str, body: Body) -> Response<Body> {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    if let Ok(value) = content_type.parse() {
        answer.headers_mut().insert("content-type", value);
    }
    answer
}

/// An answer that breaks the connection off before its head has been written.
pub async fn cut_answer() -> Response<Body> {
    let (tx, body) = Body::stream();
    tx.abort("cut").await;
    typed_answer(StatusCode::OK, "text/plain", body)
}
