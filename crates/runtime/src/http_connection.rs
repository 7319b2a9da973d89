//! One connection of an HTTP server.

use crate::bounded_io::{BoundedIo, HeadLimit};
use crate::http_server::{HttpLimits, Responder};
use crate::lingering_close::LingeringClose;
use crate::request_body::RequestBody;
use crate::request_monitor::{MonitoredStream, RequestMonitor};
use crate::shutdown::ShutdownSignal;
use crate::timeout::timeout;
use crate::unless::unless;
use async_io::Async;
use futures_lite::future::poll_once;
use futures_lite::io::{AsyncRead, AsyncWrite};
use futures_rustls::TlsAcceptor;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Version};
use rustix::net::sockopt;
use slog::{Logger, debug, info};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::convert::Infallible;
use std::error::Error as _;
use std::net::{SocketAddr, TcpStream};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

/// A request that was sent with the opening of a connection arrives within this time.
const FIRST_BYTES_TIME: Duration = Duration::from_secs(1);

/// Steps of the shutdown of a server.
#[derive(Debug, Clone)]
pub struct ShutdownSteps {
    /// Responses close their connections from then on.
    pub started: ShutdownSignal,
    /// No connections are accepted any more, and idle ones are closed.
    pub accept_ended: ShutdownSignal,
    /// Requests that have not been read by then are given up.
    pub read_ended: ShutdownSignal,
}

impl ShutdownSteps {
    /// Steps of a shutdown that starts with `started`.
    pub fn new(started: ShutdownSignal) -> Self {
        Self {
            started,
            accept_ended: ShutdownSignal::default(),
            read_ended: ShutdownSignal::default(),
        }
    }
}

/// An accepted connection.
pub struct Connection<R> {
    pub responder: Arc<R>,
    pub limits: Arc<HttpLimits>,
    pub shutdown: ShutdownSteps,
    pub lingering: Arc<LingeringClose>,
    pub log: Logger,
    pub peer: SocketAddr,
}

impl<R: Responder> Connection<R> {
    /// Serves requests until the peer or the shutdown ends the connection.
    pub async fn run(self, stream: Async<TcpStream>, tls: Option<TlsAcceptor>) {
        let _ = stream.get_ref().set_nodelay(true);
        if let Some(bytes) = self.limits.send_buffer_bytes {
            let _ = sockopt::set_socket_send_buffer_size(stream.get_ref(), bytes);
        }
        let monitor = Arc::new(RequestMonitor::default());
        self.serve_stream(&stream, tls, &monitor).await;
        if monitor.has_cut_response() {
            let _ = sockopt::set_socket_linger(stream.get_ref(), Some(Duration::ZERO));
            return;
        }
        let read_ended = &self.shutdown.read_ended;
        let peer_may_send = monitor.peer_may_send();
        self.lingering
            .close(stream, peer_may_send, read_ended)
            .await;
    }

    async fn serve_stream(
        &self,
        stream: &Async<TcpStream>,
        tls: Option<TlsAcceptor>,
        monitor: &Arc<RequestMonitor>,
    ) {
        let stream = BoundedIo::new(stream, HeadLimit::new());
        match tls {
            None => self.serve(stream, monitor).await,
            // Connections without TLS need no room for it.
            Some(tls) => Box::pin(self.serve_tls(stream, tls, monitor)).await,
        }
    }

    async fn serve_tls(
        &self,
        stream: BoundedIo<&Async<TcpStream>>,
        acceptor: TlsAcceptor,
        monitor: &Arc<RequestMonitor>,
    ) {
        let handshake = timeout(self.limits.head_timeout, acceptor.accept(stream));
        match self.unless_read_ended(handshake).await {
            Some(Ok(Ok(stream))) => self.serve(stream, monitor).await,
            Some(Ok(Err(err))) => {
                debug!(self.log, "http: TLS handshake failed"; "peer" => %self.peer, "err" => %err);
            }
            _ => debug!(self.log, "http: TLS handshake timed out"; "peer" => %self.peer),
        }
    }

    fn unless_read_ended<T>(
        &self,
        work: impl Future<Output = T>,
    ) -> impl Future<Output = Option<T>> {
        unless(work, self.shutdown.read_ended.started())
    }

    async fn serve(&self, io: impl AsyncRead + AsyncWrite + Unpin, monitor: &Arc<RequestMonitor>) {
        let service = service_fn(|req: Request<Incoming>| {
            let (responder, monitor) = (self.responder.clone(), monitor.clone());
            monitor.on_request(req.version() == Version::HTTP_10);
            let req = req.map(|body| RequestBody::new(body, monitor.clone()));
            // The library keeps room for this future while the connection is idle.
            Box::pin(async move {
                let mut response = responder.respond(self.peer, req).await;
                monitor.on_response();
                if self.shutdown.started.is_started() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, Infallible>(response)
            })
        });
        let io = MonitoredStream::new(io, monitor.clone());
        let connection = http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(self.limits.head_timeout)
            .max_headers(self.limits.max_headers)
            .max_buf_size(self.limits.max_head_bytes.max(8192))
            .serve_connection(FuturesIo::new(io), service);
        let mut connection = pin!(connection);
        let result = match unless(connection.as_mut(), self.unused(monitor)).await {
            Some(result) => result,
            None if !monitor.has_requests() => return,
            None => {
                connection.as_mut().graceful_shutdown();
                if poll_once(connection.as_mut()).await.is_some() {
                    // It was idle: no response is being sent.
                    return;
                }
                connection.await
            }
        };
        if result.as_ref().is_err_and(hyper::Error::is_user) {
            monitor.on_cut_response();
        }
        match result {
            Ok(()) => monitor.on_last_response(),
            // A response that was on its way has not arrived whole.
            Err(err) if monitor.has_requests() => {
                info!(self.log, "http: connection failed"; "peer" => %self.peer, "err" => %err,
                    "cause" => err.source().map(ToString::to_string));
            }
            Err(err) => {
                debug!(self.log, "http: connection failed"; "peer" => %self.peer, "err" => %err);
            }
        }
    }

    /// Waits until the shutdown has no use for the connection, but for the response that is being sent.
    async fn unused(&self, monitor: &RequestMonitor) {
        self.shutdown.accept_ended.started().await;
        if monitor.awaits_first_bytes() {
            let _ = timeout(FIRST_BYTES_TIME, monitor.first_bytes()).await;
        }
        if monitor.is_unanswered() {
            self.shutdown.read_ended.started().await;
        }
    }
}
