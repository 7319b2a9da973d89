//! An HTTP exchange on a connection of its own, without connection reuse.

use crate::body::Body;
use crate::bounded_io::{BoundedIo, HeadLimit};
use crate::executor::Executor;
use crate::http_client::{HttpError, client_connection, send_request};
use async_executor::Task;
use async_io::Async;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::http::response::Parts;
use rustix::net::sockopt;
use smol_hyper::rt::FuturesIo;
use std::io::{Error, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Interval of TCP keep-alive probes on an idle connection, the shortest that the kernel allows.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without a response after which a connection fails.
pub const KEEPALIVE_PROBES: u32 = 3;

fn enable_keepalive(stream: &TcpStream) -> std::io::Result<()> {
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    sockopt::set_socket_keepalive(stream, true)?;
    Ok(())
}

/// A connection that carries exactly one request.
///
/// Connections are not reused, so bytes that a server sends late, twice or after a response cannot
/// be taken for the response to another request, and no request meets a connection that died while
/// idle. Dropping this, or the response, closes the connection, which tells the server that the
/// caller has gone.
#[derive(Debug)]
pub struct SingleExchange {
    peer: SocketAddr,
    tx: http1::SendRequest<Body>,
    head_limit: HeadLimit,
    /// Its error reaches the request through `tx`, too.
    connection: Task<hyper::Result<()>>,
}

/// A response whose body is still being received. Dropping it closes the connection.
#[derive(Debug)]
pub struct SingleResponse {
    /// Status line and headers.
    pub head: Parts,
    /// The body, which arrives as it is read.
    pub body: Incoming,
    _connection: Task<hyper::Result<()>>,
}

impl SingleExchange {
    /// Connects within `timeout`. After an error the peer has not seen any request.
    pub async fn connect(
        executor: &Executor,
        peer: SocketAddr,
        timeout: Duration,
    ) -> Result<Self, HttpError> {
        Self::connect_with(executor, peer, timeout, |_| Ok(())).await
    }

    /// As [`SingleExchange::connect`]. The exchange fails within [`KEEPALIVE_INTERVAL`] after the
    /// peer's host has started anew, or after [`KEEPALIVE_PROBES`] of them without a response.
    pub async fn connect_kept_alive(
        executor: &Executor,
        peer: SocketAddr,
        timeout: Duration,
    ) -> Result<Self, HttpError> {
        Self::connect_with(executor, peer, timeout, enable_keepalive).await
    }

    async fn connect_with(
        executor: &Executor,
        peer: SocketAddr,
        timeout: Duration,
        configure: impl FnOnce(&TcpStream) -> std::io::Result<()>,
    ) -> Result<Self, HttpError> {
        let connect = Async::<TcpStream>::connect(peer);
        let stream = crate::timeout(timeout, connect).await;
        let stream = stream.unwrap_or_else(|_| Err(Error::from(ErrorKind::TimedOut)));
        let stream = stream.map_err(|err| HttpError::Connect(peer, err))?;
        let _ = stream.get_ref().set_nodelay(true);
        configure(stream.get_ref()).map_err(|err| HttpError::Connect(peer, err))?;
        let head_limit = HeadLimit::new();
        let io = FuturesIo::new(BoundedIo::with_small_reads(stream, head_limit.clone()));
        let handshake = client_connection().handshake(io).await;
        let (tx, connection) = handshake.map_err(|err| HttpError::Exchange(peer, err))?;
        let connection = executor.spawn(connection);
        Ok(Self {
            peer,
            tx,
            head_limit,
            connection,
        })
    }

    /// Sends the request and waits for the response head. After an error the peer may have seen
    /// the request.
    pub async fn send(mut self, req: Request<Body>) -> Result<SingleResponse, HttpError> {
        let response = send_request(self.peer, &mut self.tx, &self.head_limit, req).await?;
        let (head, body) = response.into_parts();
        Ok(SingleResponse {
            head,
            body,
            _connection: self.connection,
        })
    }

    /// Sends the request and reads the whole response. A body of more than `max_body_bytes` is an error.
    pub async fn fetch(
        self,
        req: Request<Body>,
        max_body_bytes: usize,
    ) -> Result<(Parts, Bytes), HttpError> {
        let peer = self.peer;
        let response = self.send(req).await?;
        let body = Limited::new(response.body, max_body_bytes).collect().await;
        let body = body.map_err(|err| HttpError::Body(peer, err.to_string().into()))?;
        Ok((response.head, body.to_bytes()))
    }
}
