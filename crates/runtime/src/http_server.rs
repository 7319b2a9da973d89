//! An HTTP/1.1 server with limits on connections and request heads.

use crate::body::Body;
use crate::executor::Executor;
use crate::http_connection::{Connection, ShutdownSteps};
use crate::lingering_close::LingeringClose;
use crate::request_body::RequestBody;
use crate::shutdown::ShutdownSignal;
use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_rustls::TlsAcceptor;
use hyper::{Request, Response};
use rustix::io::Errno;
use slog::{Logger, warn};
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Connections that the kernel completes before they are accepted. Beyond that it drops the opening
/// packets, which callers send again only after a second.
const LISTEN_BACKLOG: i32 = 1_024;
/// Retries within a drain while descriptors or memory are missing; they take 2 s.
const MAX_ACCEPT_RETRIES: usize = 200;
/// Limit on the connections that are taken from the kernel when accepting ends: those that it queues, and
/// some that open meanwhile.
const MAX_PENDING: usize = 4_096;
/// At most this part of the connections may linger after their last response, so that others have room.
const LINGERING_FRACTION: usize = 4;

/// Handles the requests of an [`HttpServer`].
pub trait Responder: Send + Sync + 'static {
    /// Produces the response to one request. The future is dropped if the caller disconnects
    /// before the response head is ready.
    fn respond(
        &self,
        peer: SocketAddr,
        req: Request<RequestBody>,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// Limits of an [`HttpServer`].
#[derive(Debug, Clone)]
pub struct HttpLimits {
    /// Maximum number of open connections. Further ones are closed as soon as they are accepted.
    pub max_connections: usize,
    /// Buffer limit for a request head, in bytes; values below 8192 are raised to 8192.
    pub max_head_bytes: usize,
    /// Maximum number of headers in a request.
    pub max_headers: usize,
    /// Time limit for a request head to arrive, measured from the end of the previous response on
    /// the connection. Also limits the TLS handshake.
    pub head_timeout: Duration,
    /// Time after the start of shutdown during which new connections are still accepted, so that
    /// load balancers can notice. Responses close their connections from the start of shutdown on;
    /// idle connections are kept for this time.
    pub accept_grace: Duration,
    /// Time after the start of shutdown during which requests that have begun to arrive are read.
    pub read_grace: Duration,
    /// Bytes that the kernel may buffer for a connection whose peer reads slowly; `None` leaves it to
    /// the kernel. It counts up to twice as many, with its own overhead.
    pub send_buffer_bytes: Option<usize>,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            max_head_bytes: 16 << 10,
            max_headers: 64,
            head_timeout: Duration::from_secs(10),
            accept_grace: Duration::ZERO,
            read_grace: Duration::from_secs(5),
            send_buffer_bytes: None,
        }
    }
}

/// A bound listening socket and the limits for its connections.
#[derive(Debug)]
pub struct HttpServer {
    listener: Async<TcpListener>,
    limits: HttpLimits,
    log: Logger,
}

impl HttpServer {
    /// Binds the address; port zero selects a free port.
    pub fn bind(address: SocketAddr, limits: HttpLimits, log: Logger) -> io::Result<Self> {
        let listener = Async::<TcpListener>::bind(address)?;
        // The standard library listens with a backlog of 128; a second call raises it.
        rustix::net::listen(listener.get_ref(), LISTEN_BACKLOG)?;
        Ok(Self {
            listener,
            limits,
            log,
        })
    }

    /// The bound address, with the port actually assigned.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.get_ref().local_addr()
    }

    /// Accepts connections until shutdown has started and [`HttpLimits::accept_grace`] has passed,
    /// and those that the kernel has accepted by then. New connections are refused from then on.
    /// Returns once every open connection has ended. Serves TLS if `tls` is given.
    pub async fn serve<R: Responder>(
        self,
        executor: Executor,
        responder: Arc<R>,
        tls: Option<TlsAcceptor>,
        shutdown: ShutdownSignal,
    ) {
        let (done_tx, done_rx) = async_channel::bounded::<()>(1);
        let steps = ShutdownSteps::new(shutdown.clone());
        let max_lingering = self.limits.max_connections.div_ceil(LINGERING_FRACTION);
        let acceptor = Acceptor {
            executor,
            responder,
            tls,
            lingering: Arc::new(LingeringClose::new(max_lingering)),
            limits: Arc::new(self.limits),
            steps: steps.clone(),
            open: Arc::default(),
            done_tx,
            log: self.log,
        };
        let limits = acceptor.limits.clone();
        let mut stop = pin!(async {
            let start = shutdown.start_time().await;
            Timer::at(start + limits.accept_grace).await;
        });
        while let Some(accepted) = accept(&self.listener, stop.as_mut()).await {
            match accepted {
                Ok((stream, peer)) => acceptor.start(stream, peer),
                Err(_) => drop(Timer::after(ACCEPT_RETRY_DELAY).await),
            }
        }
        let read_end = shutdown.start_time().await + limits.read_grace;
        let read_ended = async {
            Timer::at(read_end).await;
        };
        or(acceptor.start_pending(&self.listener), read_ended).await;
        drop(self.listener);
        steps.accept_ended.start();
        drop(acceptor);
        let all_done = async {
            let _ = done_rx.recv().await;
        };
        let read_grace = async {
            Timer::at(read_end).await;
            steps.read_ended.start();
            std::future::pending::<()>().await;
        };
        or(all_done, read_grace).await;
    }
}

async fn accept(
    listener: &Async<TcpListener>,
    stop: impl Future<Output = ()>,
) -> Option<io::Result<(Async<TcpStream>, SocketAddr)>> {
    let accept = async { Some(listener.accept().await) };
    let stop = async {
        stop.await;
        None
    };
    or(stop, accept).await
}

/// Starts the tasks of accepted connections.
struct Acceptor<R> {
    executor: Executor,
    responder: Arc<R>,
    tls: Option<TlsAcceptor>,
    limits: Arc<HttpLimits>,
    steps: ShutdownSteps,
    lingering: Arc<LingeringClose>,
    open: Arc<AtomicUsize>,
    /// Closed when all connections have ended.
    done_tx: Sender<()>,
    log: Logger,
}

impl<R: Responder> Acceptor<R> {
    fn start(&self, stream: Async<TcpStream>, peer: SocketAddr) {
        if self.open.fetch_add(1, Ordering::Relaxed) >= self.limits.max_connections {
            self.open.fetch_sub(1, Ordering::Relaxed);
            warn!(self.log, "http: too many connections"; "peer" => %peer);
            return;
        }
        let connection = Connection {
            responder: self.responder.clone(),
            limits: self.limits.clone(),
            shutdown: self.steps.clone(),
            lingering: self.lingering.clone(),
            log: self.log.clone(),
            peer,
        };
        let (open, done_tx, tls) = (self.open.clone(), self.done_tx.clone(), self.tls.clone());
        self.executor.detach(async move {
            connection.run(stream, tls).await;
            open.fetch_sub(1, Ordering::Relaxed);
            drop(done_tx);
        });
    }

    /// Starts those connections that the kernel has accepted.
    async fn start_pending(&self, listener: &Async<TcpListener>) {
        let mut retries = 0;
        for _ in 0..MAX_PENDING {
            let err = match listener.get_ref().accept() {
                Ok((stream, peer)) => {
                    if let Ok(stream) = Async::new(stream) {
                        self.start(stream, peer);
                    }
                    continue;
                }
                Err(err) => err,
            };
            match AcceptFailure::of(&err) {
                AcceptFailure::Final => return,
                AcceptFailure::OneConnection => {}
                AcceptFailure::NoResources if retries == MAX_ACCEPT_RETRIES => return,
                AcceptFailure::NoResources => {
                    if retries == 0 {
                        warn!(self.log, "http: waiting connections cannot be accepted"; "err" => %err);
                    }
                    retries += 1;
                    // Closes idle connections, which may free what is missing.
                    self.steps.accept_ended.start();
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// What an error of accept means for the connections that wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AcceptFailure {
    /// None waits, or none can ever be accepted.
    Final,
    /// One has ended before it was accepted.
    OneConnection,
    /// They wait on while descriptors or memory are missing.
    NoResources,
}

impl AcceptFailure {
    fn of(err: &io::Error) -> Self {
        match Errno::from_io_error(err) {
            Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => Self::NoResources,
            Some(
                Errno::WOULDBLOCK | Errno::BADF | Errno::FAULT | Errno::INVAL | Errno::NOTSOCK,
            )
            | None => Self::Final,
            Some(_) => Self::OneConnection,
        }
    }
}
