//! Links between the processes of bergamothold: QUIC connections with mutual TLS, with one stream
//! per exchange.

use crate::executor::Executor;
use crate::link_config::LinkConfig;
use crate::link_stream::{FrameReceiver, FrameSender, ReceiveTurn, SHUT_DOWN_CODE};
use crate::quic::QuicRuntime;
use crate::tls::{Identity, Peer, Role, TlsError};
use proto::{CodecError, FrameReader, StreamOpening};
use quick_error::quick_error;
use quinn::{Connection, Endpoint, EndpointConfig, Incoming, VarInt};
use quinn_proto::HashedConnectionIdGenerator;
use slog::{Logger, info, warn};
use std::collections::HashMap;
use std::future::Future;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

const SHARD_COUNT: usize = 16;
const SERVER_NAME: &str = crate::tls::DNS_NAME;

quick_error! {
    /// An error of a link or of one of its streams.
    #[derive(Debug)]
    pub enum LinkError {
        /// The listen address could not be bound.
        Bind(address: SocketAddr, err: std::io::Error) {
            display("bind {address}: {err}; does another process use this address?")
        }
        /// The certificates or keys are unusable, or the peer certificate names no role and node.
        Tls(err: TlsError) {
            display("{err}")
            from()
        }
        /// The connection to the peer could not be opened.
        Connect(peer: SocketAddr, reason: Box<str>) {
            display("connect to {peer}: {reason}")
        }
        /// The peer's certificate names another role than the one passed to [`LinkEndpoint::open`].
        Role(peer: SocketAddr, expected: Role, found: Role) {
            display("{peer} presents the certificate of role {found}, expected {expected}")
        }
        /// The connection or stream failed at the given step.
        Broken(peer: SocketAddr, step: &'static str, reason: Box<str>) {
            display("{step} on link with {peer}: {reason}")
        }
        /// The peer has shut down, after it replied to every request that it had accepted.
        ShutDown(peer: SocketAddr, step: &'static str) {
            display("{step} on link with {peer}: it has shut down")
        }
        /// A frame could not be encoded, or the peer sent bytes that are not a valid frame.
        Codec(peer: SocketAddr, err: CodecError) {
            display("frame of {peer}: {err}")
        }
    }
}

/// Counters of a [`LinkEndpoint`] since it was bound.
#[derive(Debug, Default)]
pub struct LinkCounters {
    /// Streams accepted from peers.
    pub streams_in: AtomicU64,
    /// Streams opened to peers.
    pub streams_out: AtomicU64,
    /// Connections accepted from peers.
    pub connections_in: AtomicU64,
    /// Connections rejected in the handshake or for the peer's certificate, and streams rejected
    /// for the peer's role or an unreadable first frame.
    pub rejected: AtomicU64,
}

/// Handles the streams that peers open to a [`LinkEndpoint`].
pub trait StreamHandler: Send + Sync + 'static {
    /// Handles one stream until its exchange ends. `opening` has been checked against the role of
    /// `peer`.
    fn handle(
        &self,
        peer: Peer,
        opening: StreamOpening,
        tx: FrameSender,
        rx: FrameReceiver,
    ) -> impl Future<Output = ()> + Send;
}

type PeerShard = Mutex<HashMap<SocketAddr, PeerState>>;

/// Connection state of one peer.
#[derive(Debug, Default)]
struct PeerState {
    connection: Option<Connection>,
    /// Locked by the one task that connects; the other tasks wait for its result.
    connecting: Arc<async_lock::Mutex<()>>,
    last_failure: Option<ConnectFailure>,
}

#[derive(Debug, Clone)]
struct ConnectFailure {
    /// When the attempt that failed began.
    started_at: Instant,
    reason: Box<str>,
}

/// A QUIC endpoint that opens streams to peers and accepts theirs, over one connection per peer and
/// direction.
#[derive(Debug)]
pub struct LinkEndpoint {
    endpoint: Endpoint,
    executor: Executor,
    cfg: LinkConfig,
    client: Mutex<quinn::ClientConfig>,
    shards: [PeerShard; SHARD_COUNT],
    counters: LinkCounters,
    log: Logger,
}

impl LinkEndpoint {
    /// Binds the listen address; `identity` authenticates this process to its peers.
    pub fn bind(
        executor: Executor,
        cfg: LinkConfig,
        identity: &Identity,
        log: Logger,
    ) -> Result<Self, LinkError> {
        let bind_error = |err| LinkError::Bind(cfg.listen, err);
        let socket = UdpSocket::bind(cfg.listen).map_err(bind_error)?;
        let server = cfg.server(identity)?;
        let client = cfg.client(identity)?;
        // After a crash, the replacement process sends stateless resets for its predecessor's
        // connections. This needs the same reset key, and it recognizes the predecessor's
        // connection ids only if both generate them with the same key.
        let mut endpoint_cfg = EndpointConfig::new(Arc::new(identity.stateless_reset_key()));
        let id_key = identity.connection_id_key();
        endpoint_cfg.cid_generator(move || Box::new(HashedConnectionIdGenerator::from_key(id_key)));
        let runtime = Arc::new(QuicRuntime {
            executor: executor.clone(),
        });
        let endpoint =
            Endpoint::new(endpoint_cfg, Some(server), socket, runtime).map_err(bind_error)?;
        Ok(Self {
            endpoint,
            executor,
            cfg,
            client: Mutex::new(client),
            shards: std::array::from_fn(|_| PeerShard::default()),
            counters: LinkCounters::default(),
            log,
        })
    }

    /// The bound address, with the port actually assigned.
    pub fn local_addr(&self) -> SocketAddr {
        self.endpoint.local_addr().unwrap_or(self.cfg.listen)
    }

    /// Counters of accepted, opened and rejected streams and connections.
    pub fn counters(&self) -> &LinkCounters {
        &self.counters
    }

    /// Uses `identity` for new connections; open connections are not affected.
    pub fn reload(&self, identity: &Identity) -> Result<(), LinkError> {
        let server = self.cfg.server(identity)?;
        let client = self.cfg.client(identity)?;
        self.endpoint.set_server_config(Some(server));
        *self.client.lock().unwrap_or_else(PoisonError::into_inner) = client;
        Ok(())
    }

    /// Opens a stream to a peer and sends `opening`. Reuses an open connection; if that fails,
    /// connects again once. Connecting fails if the peer does not have the given role.
    pub async fn open(
        &self,
        peer: SocketAddr,
        role: Role,
        opening: &StreamOpening,
    ) -> Result<(FrameSender, FrameReceiver), LinkError> {
        let connection = self.connection(peer, role).await?;
        let streams = match connection.open_bi().await {
            Ok(streams) => streams,
            Err(_) => self
                .connection(peer, role)
                .await?
                .open_bi()
                .await
                .map_err(|err| LinkError::Broken(peer, "open a stream", err.to_string().into()))?,
        };
        self.counters.streams_out.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = framed(peer, streams);
        let mut tx = tx;
        tx.send(opening).await?;
        Ok((tx, rx))
    }

    /// Connects to a peer unless a connection is open. Fails if the peer does not have the given role.
    ///
    /// A handshake that has begun goes on where the caller stops waiting, so that callers who are less
    /// patient than a handshake takes do not abort each one.
    pub async fn connect_to(
        self: &Arc<Self>,
        peer: SocketAddr,
        role: Role,
    ) -> Result<(), LinkError> {
        let link = self.clone();
        let (tx, rx) = async_channel::bounded(1);
        self.executor.detach(async move {
            let connected = link.connection(peer, role).await.map(drop);
            // The caller may have stopped waiting.
            let _ = tx.try_send(connected);
        });
        let lost = || LinkError::Connect(peer, "the executor has ended".into());
        rx.recv().await.unwrap_or_else(|_| Err(lost()))
    }

    /// Closes the connection to a peer that no longer replies; the next [`LinkEndpoint::open`]
    /// connects again.
    pub fn disconnect(&self, peer: SocketAddr) {
        let mut peers = self.lock_shard(peer);
        if let Some(connection) = peers
            .get_mut(&peer)
            .and_then(|state| state.connection.take())
        {
            connection.close(VarInt::from_u32(2), b"peer does not answer");
        }
    }

    /// Makes the next [`LinkEndpoint::open`] connect again. Unlike [`LinkEndpoint::disconnect`], this
    /// leaves the open streams of the present connection alone.
    pub fn retire_connection(&self, peer: SocketAddr) {
        if let Some(state) = self.lock_shard(peer).get_mut(&peer) {
            state.connection = None;
        }
    }

    /// Accepts connections and streams from peers until the endpoint is closed.
    pub async fn serve<H: StreamHandler>(self: Arc<Self>, handler: Arc<H>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let link = self.clone();
            let handler = handler.clone();
            self.executor
                .detach(async move { link.serve_connection(incoming, handler).await });
        }
    }

    /// Closes all connections and waits, for at most [`LinkConfig::connect_timeout`], until they
    /// are cleanly shut down.
    pub async fn close(&self) {
        self.endpoint.close(SHUT_DOWN_CODE, b"shutting down");
        let _ = crate::timeout(self.cfg.connect_timeout, self.endpoint.wait_idle()).await;
    }

    async fn serve_connection<H: StreamHandler>(
        self: Arc<Self>,
        incoming: Incoming,
        handler: Arc<H>,
    ) {
        let address = incoming.remote_address();
        let connection = match incoming.await {
            Ok(connection) => connection,
            Err(err) => {
                self.counters.rejected.fetch_add(1, Ordering::Relaxed);
                warn!(self.log, "link: peer rejected"; "peer" => %address, "err" => %err);
                return;
            }
        };
        let peer = match Peer::from_connection(&connection) {
            Ok(peer) => peer,
            Err(err) => {
                self.counters.rejected.fetch_add(1, Ordering::Relaxed);
                warn!(self.log, "link: peer rejected"; "peer" => %address, "err" => %err);
                connection.close(VarInt::from_u32(3), err.to_string().as_bytes());
                return;
            }
        };
        self.counters.connections_in.fetch_add(1, Ordering::Relaxed);
        // Each open stream holds a clone: the reference count is one more than the open streams.
        let stream_token = Arc::new(());
        let mut allowed = self.cfg.initial_max_streams();
        while let Ok(streams) = connection.accept_bi().await {
            self.counters.streams_in.fetch_add(1, Ordering::Relaxed);
            let (tx, rx) = framed(address, streams);
            let link = self.clone();
            let handler = handler.clone();
            let peer = peer.clone();
            let token = stream_token.clone();
            self.executor.detach(async move {
                link.serve_stream(handler, peer, tx, rx).await;
                drop(token);
            });
            let in_use = Arc::strong_count(&stream_token) as u32;
            if in_use * 2 >= allowed && allowed < self.cfg.max_streams_per_peer {
                allowed = (allowed * 2).min(self.cfg.max_streams_per_peer);
                connection.set_max_concurrent_bi_streams(VarInt::from_u32(allowed));
            }
        }
    }

    async fn serve_stream<H: StreamHandler>(
        &self,
        handler: Arc<H>,
        peer: Peer,
        mut tx: FrameSender,
        mut rx: FrameReceiver,
    ) {
        match rx.receive::<StreamOpening>().await {
            Ok(Some(opening)) if peer.role.may_open(&opening) => {
                handler.handle(peer, opening, tx, rx).await;
            }
            Ok(Some(_)) => {
                self.counters.rejected.fetch_add(1, Ordering::Relaxed);
                warn!(self.log, "link: stream rejected, the peer's role forbids it";
                    "peer" => &*peer.node, "role" => %peer.role);
                tx.forbid();
                rx.cancel();
            }
            Ok(None) => {}
            Err(err) => {
                self.counters.rejected.fetch_add(1, Ordering::Relaxed);
                info!(self.log, "link: stream rejected"; "peer" => &*peer.node, "err" => %err);
                tx.cancel();
                rx.cancel();
            }
        }
    }

    async fn connection(&self, peer: SocketAddr, role: Role) -> Result<Connection, LinkError> {
        let requested_at = Instant::now();
        if let Some(connection) = self.existing_connection(peer) {
            return Ok(connection);
        }
        let connecting = self
            .lock_shard(peer)
            .entry(peer)
            .or_default()
            .connecting
            .clone();
        let _guard = connecting.lock().await;
        if let Some(connection) = self.existing_connection(peer) {
            return Ok(connection);
        }
        if let Some(reason) = self.failure_since(peer, requested_at) {
            return Err(LinkError::Connect(peer, reason));
        }
        let started_at = Instant::now();
        let connected = self.connect(peer, role).await;
        self.record_connect(peer, started_at, &connected);
        connected
    }

    async fn connect(&self, peer: SocketAddr, role: Role) -> Result<Connection, LinkError> {
        let client = self
            .client
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let connecting = self
            .endpoint
            .connect_with(client, peer, SERVER_NAME)
            .map_err(|err| LinkError::Connect(peer, err.to_string().into()))?;
        let connection = crate::timeout(self.cfg.connect_timeout, connecting)
            .await
            .map_err(|_| LinkError::Connect(peer, "timed out".into()))?
            .map_err(|err| LinkError::Connect(peer, err.to_string().into()))?;
        let found = Peer::from_connection(&connection)?.role;
        if found != role {
            connection.close(VarInt::from_u32(3), b"unexpected role");
            return Err(LinkError::Role(peer, role, found));
        }
        Ok(connection)
    }

    fn record_connect(
        &self,
        peer: SocketAddr,
        started_at: Instant,
        connected: &Result<Connection, LinkError>,
    ) {
        let mut peers = self.lock_shard(peer);
        let state = peers.entry(peer).or_default();
        match connected {
            Ok(connection) => {
                state.connection = Some(connection.clone());
                state.last_failure = None;
            }
            Err(LinkError::Connect(_, reason)) => {
                state.last_failure = Some(ConnectFailure {
                    started_at,
                    reason: reason.clone(),
                });
            }
            Err(_) => {}
        }
    }

    /// Reason of the last failure to connect, if that attempt began at `requested_at` or later. An
    /// earlier attempt may have met a peer that was not up yet.
    fn failure_since(&self, peer: SocketAddr, requested_at: Instant) -> Option<Box<str>> {
        let peers = self.lock_shard(peer);
        let failure = peers.get(&peer)?.last_failure.as_ref()?;
        (failure.started_at >= requested_at).then(|| failure.reason.clone())
    }

    fn existing_connection(&self, peer: SocketAddr) -> Option<Connection> {
        let mut peers = self.lock_shard(peer);
        let state = peers.get_mut(&peer)?;
        if state.connection.as_ref()?.close_reason().is_some() {
            state.connection = None;
        }
        state.connection.clone()
    }

    fn lock_shard(&self, peer: SocketAddr) -> MutexGuard<'_, HashMap<SocketAddr, PeerState>> {
        let shard = usize::from(peer.port()) % SHARD_COUNT;
        self.shards[shard]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn framed(
    peer: SocketAddr,
    (tx, rx): (quinn::SendStream, quinn::RecvStream),
) -> (FrameSender, FrameReceiver) {
    let reader = FrameReader::default();
    let tx = FrameSender {
        peer,
        tx,
        has_partial: false,
    };
    let rx = FrameReceiver {
        peer,
        rx,
        reader,
        turn: ReceiveTurn::default(),
    };
    (tx, rx)
}
