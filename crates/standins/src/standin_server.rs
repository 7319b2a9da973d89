//! HTTP server of a stand-in, with fault injection and counters.

use crate::faults::{FaultChange, FaultInjector};
use async_io::Timer;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::http::HeaderMap;
use hyper::{Method, Request, Response, StatusCode, Uri};
use quick_error::quick_error;
use runtime::{Body, Executor, HttpLimits, HttpServer, RequestBody, Responder, ShutdownSignal};
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::{Discard, Logger, o};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

const MAX_BODY_BYTES: usize = 64 << 20;
const MAX_CONNECTIONS: usize = 16_384;
/// Heads have what gateways add to those of callers.
const MAX_HEAD_BYTES: usize = 32 << 10;
const MAX_HEADERS: usize = 2_048;

/// An HTTP request whose body has been read completely.
#[derive(Debug, Clone)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Request headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Call {
    /// The value of a header; none if it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}

quick_error! {
    /// Why a call cannot be handled.
    #[derive(Debug)]
    pub enum CallError {
        /// The body cannot be parsed; answered with status 400.
        Malformed(err: serde_json::Error) {
            display("malformed body: {err}")
            from()
        }
        /// Method and path name no operation of this stand-in; answered with status 404.
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
        text_response(status, &err.to_string())
    }
}

/// Behaviour of a stand-in for an external system, without its server and the faults.
pub trait Standin: Send + Sync + 'static {
    /// Handles a call.
    fn handle(&self, call: Call) -> impl Future<Output = Response<Body>> + Send;

    /// Counters of the calls so far, as JSON.
    fn counts(&self) -> serde_json::Value;

    /// Called after a change of the faults has been applied.
    fn on_fault_change(&self, _change: &FaultChange) {}

    /// The response to each call while the stand-in is down.
    fn down_response(&self) -> Response<Body> {
        text_response(StatusCode::SERVICE_UNAVAILABLE, "down")
    }
}

/// A stand-in with its HTTP server. Dropping it shuts the server down.
#[derive(Debug)]
pub struct StandinServer<S> {
    standin: Arc<S>,
    address: SocketAddr,
    injector: FaultInjector,
    shutdown: ShutdownSignal,
}

impl<S: Standin> StandinServer<S> {
    /// Binds `address` and serves the stand-in on `executor`.
    pub fn start(
        executor: &Executor,
        address: SocketAddr,
        standin: Arc<S>,
        injector: FaultInjector,
    ) -> io::Result<Self> {
        let limits = HttpLimits {
            max_connections: MAX_CONNECTIONS,
            max_headers: MAX_HEADERS,
            max_head_bytes: MAX_HEAD_BYTES,
            ..HttpLimits::default()
        };
        let server = HttpServer::bind(address, limits, Logger::root(Discard, o!()))?;
        let address = server.local_addr()?;
        let shutdown = ShutdownSignal::default();
        let responder = Arc::new(FaultyResponder {
            standin: standin.clone(),
            injector: injector.clone(),
        });
        let serve = server.serve(executor.clone(), responder, None, shutdown.clone());
        executor.detach(serve);
        Ok(Self {
            standin,
            address,
            injector,
            shutdown,
        })
    }

    /// Starts the shutdown of the server: it refuses new connections from then on.
    pub fn shutdown_signal(&self) -> ShutdownSignal {
        self.shutdown.clone()
    }

    /// The address that it listens on, with the actual port.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Applies a change of its faults.
    pub fn change_faults(&self, change: &FaultChange) {
        self.injector.apply(change);
        self.standin.on_fault_change(change);
    }

    /// Counters of the stand-in, as JSON.
    pub fn counts(&self) -> serde_json::Value {
        self.standin.counts()
    }

    /// The stand-in behind the server.
    pub fn standin(&self) -> &S {
        &self.standin
    }

    /// The stand-in, for a task that goes on beside the server.
    pub fn share_standin(&self) -> Arc<S> {
        self.standin.clone()
    }
}

impl<S> Drop for StandinServer<S> {
    fn drop(&mut self) {
        self.shutdown.start();
    }
}

/// Applies the injected faults to calls; paths under `/standin/` are exempt from them.
struct FaultyResponder<S> {
    standin: Arc<S>,
    injector: FaultInjector,
}

impl<S: Standin> FaultyResponder<S> {
    async fn handle_control(&self, call: &Call) -> Option<Response<Body>> {
        match (&call.method, call.uri.path()) {
            (&Method::POST, "/standin/faults") => Some(match call.json::<FaultChange>() {
                Ok(change) => {
                    self.injector.apply(&change);
                    self.standin.on_fault_change(&change);
                    json_response(StatusCode::OK, &serde_json::json!({}))
                }
                Err(err) => err.into(),
            }),
            (&Method::GET, "/standin/counts") => {
                Some(json_response(StatusCode::OK, &self.standin.counts()))
            }
            (_, path) if path.starts_with("/standin/") => {
                Some(self.standin.handle(call.clone()).await)
            }
            _ => None,
        }
    }

    async fn handle_with_faults(&self, call: Call) -> Response<Body> {
        self.injector.wait_until_thawed().await;
        let faults = self.injector.faults();
        if !faults.slow.is_zero() {
            Timer::after(faults.slow).await;
        }
        if faults.cut {
            return aborted_response().await;
        }
        if faults.down {
            return self.standin.down_response();
        }
        let response = self.standin.handle(call).await;
        self.injector.wait_until_thawed().await;
        if self.injector.faults().lose_answers {
            return aborted_response().await;
        }
        response
    }
}

impl<S: Standin> Responder for FaultyResponder<S> {
    async fn respond(&self, _peer: SocketAddr, req: Request<RequestBody>) -> Response<Body> {
        let (parts, body) = req.into_parts();
        let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
            return text_response(StatusCode::PAYLOAD_TOO_LARGE, "body too long or broken");
        };
        let call = Call {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body: body.to_bytes(),
        };
        match self.handle_control(&call).await {
            Some(response) => response,
            None => self.handle_with_faults(call).await,
        }
    }
}

/// A response with a JSON body.
pub fn json_response(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    typed_response(status, "application/json", Body::full(body))
}

/// A response with a plain text body.
pub fn text_response(status: StatusCode, text: &str) -> Response<Body> {
    typed_response(status, "text/plain", Body::full(text.to_owned()))
}

/// A response with a body of the given content type.
pub fn typed_response(status: StatusCode, content_type: &str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    if let Ok(value) = content_type.parse() {
        response.headers_mut().insert("content-type", value);
    }
    response
}

/// A response that aborts the connection before its head is written.
pub async fn aborted_response() -> Response<Body> {
    let (tx, body) = Body::stream();
    tx.abort("cut").await;
    typed_response(StatusCode::OK, "text/plain", body)
}
