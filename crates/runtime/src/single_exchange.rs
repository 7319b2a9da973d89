//! One request on a connection of its own.

use crate::body::Body;
use crate::executor::Executor;
use crate::http_client::HttpError;
use async_executor::Task;
use async_io::Async;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::http::response::Parts;
use hyper::{Request, Response};
use smol_hyper::rt::FuturesIo;
use std::io::{Error, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A connection that carries one request and no other.
///
/// Nothing that a server sends late, twice or behind an answer can be taken for the answer to
/// another request, and a connection that went silent while it was unused is never met. Dropping
/// it closes the connection, by which servers learn that the caller has gone.
#[derive(Debug)]
pub struct SingleExchange {
    peer: SocketAddr,
    tx: http1::SendRequest<Body>,
    connection: Task<()>,
}

/// An answer whose body is being received.
#[derive(Debug)]
pub struct SingleResponse {
    /// Status and headers.
    pub head: Parts,
    /// The body.
    pub body: Incoming,
    _connection: Task<()>,
}

impl SingleExchange {
    /// Connects within `time`; an error means that the peer has seen nothing.
    pub async fn connect(
        executor: &Executor,
        peer: SocketAddr,
        time: Duration,
    ) -> Result<Self, HttpError> {
        let connect = Async::<TcpStream>::connect(peer);
        let stream = crate::timeout(time, connect).await;
        let stream = stream.unwrap_or_else(|_| Err(Error::from(ErrorKind::TimedOut)));
        let stream = stream.map_err(|err| HttpError::Connect(peer, err))?;
        let _ = stream.get_ref().set_nodelay(true);
        let handshake = http1::handshake(FuturesIo::new(stream)).await;
        let (tx, connection) = handshake.map_err(|err| HttpError::Exchange(peer, err))?;
        let connection = executor.spawn(async move {
            // The sender of the request learns of the same error.
            let _ = connection.await;
        });
        Ok(Self {
            peer,
            tx,
            connection,
        })
    }

    /// Sends the request and waits for the head of the answer. After an error the peer may have
    /// seen the request.
    pub async fn send(mut self, req: Request<Body>) -> Result<SingleResponse, HttpError> {
        let answer: Result<Response<Incoming>, _> = self.tx.send_request(req).await;
        let answer = answer.map_err(|err| HttpError::Exchange(self.peer, err))?;
        let (head, body) = answer.into_parts();
        Ok(SingleResponse {
            head,
            body,
            _connection: self.connection,
        })
    }
}
