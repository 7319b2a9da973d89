//! An HTTP/1.1 client with a pool of idle connections.

use crate::body::Body;
use crate::bounded_io::{BoundedIo, HeadLimit, MAX_BYTES_BEFORE_HEAD};
use crate::executor::Executor;
use async_io::Async;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use quick_error::quick_error;
use smol_hyper::rt::FuturesIo;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_IDLE_PER_PEER: usize = 256;

quick_error! {
    /// A request that got no complete response.
    #[derive(Debug)]
    pub enum HttpError {
        /// The connection could not be opened, so the peer has not seen the request.
        Connect(peer: SocketAddr, err: std::io::Error) {
            display("connect to {peer}: {err}")
        }
        /// The connection failed when the request may already have been sent.
        Exchange(peer: SocketAddr, err: hyper::Error) {
            display("exchange with {peer}: {err}")
        }
        /// The peer sent too many bytes before the head of a response, such as interim heads without
        /// end. It may have seen the request.
        EndlessHead(peer: SocketAddr) {
            display("{peer} sent {MAX_BYTES_BEFORE_HEAD} bytes without the head of a response")
        }
        /// The peer sent a head whose status is not one of a final response. It may have seen the request.
        InvalidStatus(peer: SocketAddr, status: StatusCode) {
            display("{peer} sent the invalid status {}", status.as_u16())
        }
        /// The response body ended early or exceeded its size limit.
        Body(peer: SocketAddr, reason: Box<str>) {
            display("read response body from {peer}: {reason}")
        }
        /// The response did not arrive completely within the timeout.
        Timeout(peer: SocketAddr) {
            display("response of {peer} timed out")
        }
    }
}

impl HttpError {
    /// Whether the peer sent a head that is no valid response, or is too long.
    pub fn is_invalid_head(&self) -> bool {
        match self {
            Self::EndlessHead(_) | Self::InvalidStatus(..) => true,
            Self::Exchange(_, err) => err.is_parse() || err.is_parse_too_large(),
            _ => false,
        }
    }

    /// Whether the peer certainly never saw the request.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(..))
    }
}

/// Limit on the head of a response, and on what is buffered of its body.
pub(crate) const MAX_HEAD_BYTES: usize = 64 << 10;

/// Settings of a client's connection.
pub(crate) fn client_connection() -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    builder
}

/// Sends a request and waits for the head of its final response.
pub(crate) async fn send_request(
    peer: SocketAddr,
    tx: &mut SendRequest<Body>,
    head_limit: &HeadLimit,
    req: Request<Body>,
) -> Result<Response<Incoming>, HttpError> {
    head_limit.start();
    let response = tx.send_request(req).await;
    let response = response.map_err(|err| match head_limit.is_exceeded() {
        true => HttpError::EndlessHead(peer),
        false => HttpError::Exchange(peer, err),
    })?;
    head_limit.end();
    let status = response.status();
    if !is_final(status) {
        return Err(HttpError::InvalidStatus(peer, status));
    }
    Ok(response)
}

/// Whether a status is one of a final response (RFC 9110, section 15). `StatusCode` holds up to 999.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// A connection that carries one request at a time.
#[derive(Debug)]
struct Connection {
    tx: SendRequest<Body>,
    head_limit: HeadLimit,
}

type IdleConnections = Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>;

/// Sends requests over pooled connections; clones share the pool.
#[derive(Debug, Clone)]
pub struct HttpClient {
    executor: Executor,
    idle: IdleConnections,
}

impl HttpClient {
    /// A client whose connection tasks run on `executor`.
    pub fn new(executor: Executor) -> Self {
        Self {
            executor,
            idle: IdleConnections::default(),
        }
    }

    /// Sends a request and returns once the response head has arrived. Dropping the response body
    /// before its end closes the connection.
    pub async fn send(
        &self,
        peer: SocketAddr,
        req: Request<Body>,
    ) -> Result<Response<Incoming>, HttpError> {
        let mut connection = match self.take_idle(peer) {
            Some(connection) => connection,
            None => self.connect(peer).await?,
        };
        let Connection { tx, head_limit } = &mut connection;
        let response = send_request(peer, tx, head_limit, req).await?;
        self.put_idle(peer, connection);
        Ok(response)
    }

    /// Sends a request and reads the whole response within `timeout`; returns its status and body. A
    /// body of more than `max_body_bytes` is an error.
    pub async fn fetch(
        &self,
        peer: SocketAddr,
        req: Request<Body>,
        max_body_bytes: usize,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let exchange = async {
            let (head, body) = self.send(peer, req).await?.into_parts();
            let body = Limited::new(body, max_body_bytes).collect().await;
            let body = body.map_err(|err| HttpError::Body(peer, err.to_string().into()))?;
            Ok((head.status, body.to_bytes()))
        };
        crate::timeout(timeout, exchange)
            .await
            .unwrap_or(Err(HttpError::Timeout(peer)))
    }

    fn take_idle(&self, peer: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&peer)?;
        connections.retain(|connection| !connection.tx.is_closed());
        let ready = connections
            .iter()
            .position(|connection| connection.tx.is_ready())?;
        Some(connections.swap_remove(ready))
    }

    fn put_idle(&self, peer: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(peer).or_default();
        if connections.len() < MAX_IDLE_PER_PEER {
            connections.push(connection);
        }
    }

    async fn connect(&self, peer: SocketAddr) -> Result<Connection, HttpError> {
        let stream = match crate::timeout(CONNECT_TIMEOUT, Async::<TcpStream>::connect(peer)).await
        {
            Ok(stream) => stream.map_err(|err| HttpError::Connect(peer, err))?,
            Err(_) => {
                let err = std::io::Error::from(std::io::ErrorKind::TimedOut);
                return Err(HttpError::Connect(peer, err));
            }
        };
        let _ = stream.get_ref().set_nodelay(true);
        let head_limit = HeadLimit::new();
        let io = FuturesIo::new(BoundedIo::new(stream, head_limit.clone()));
        let (tx, connection) = client_connection()
            .handshake(io)
            .await
            .map_err(|err| HttpError::Exchange(peer, err))?;
        self.executor.spawn(connection).detach();
        Ok(Connection { tx, head_limit })
    }
}
