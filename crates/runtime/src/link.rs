//! Links between the processes of bergamothold: QUIC with mutual TLS, one stream a conversation.

use crate::executor::Executor;
use crate::link_stream::{FrameReceiver, FrameSender, SHUT_DOWN};
use crate::quic::QuicRuntime;
use crate::tls::{Identity, Peer, Role, TlsError};
use proto::{CodecError, FrameReader, StreamOpening};
use quick_error::quick_error;
use quinn::{Connection, Endpoint, EndpointConfig, Incoming, TransportConfig, VarInt};
use quinn_proto::HashedConnectionIdGenerator;
use slog::{Logger, info, warn};
use std::collections::HashMap;
use std::future::Future;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

const SHARDS: usize = 16;
const FIRST_STREAMS: u32 = 64;
const SERVER_NAME: &str = crate::tls::COMMON_NAME;

quick_error! {
    /// A link that failed.
    #[derive(Debug)]
    pub enum LinkError {
        /// The address could not be bound.
        Bind(address: SocketAddr, err: std::io::Error) {
            display("bind {address}: {err}; is another copy running in this slot?")
        }
        /// Certificates or keys do not serve.
        Tls(err: TlsError) {
            display("{err}")
            from()
        }
        /// The peer could not be reached.
        Connect(peer: SocketAddr, reason: Box<str>) {
            display("connect to {peer}: {reason}")
        }
        /// The peer has another role than was expected.
        Role(peer: SocketAddr, expected: Role, found: Role) {
            display("{peer} presents the certificate of role {found}, expected {expected}")
        }
        /// The stream broke.
        Broken(peer: SocketAddr, step: &'static str, reason: Box<str>) {
            display("{step} on link with {peer}: {reason}")
        }
        /// The peer has shut down, after it answered all that it had taken.
        ShutDown(peer: SocketAddr, step: &'static str) {
            display("{step} on link with {peer}: it has shut down")
        }
        /// The peer sent what is no frame of ours.
        Codec(peer: SocketAddr, err: CodecError) {
            display("frame of {peer}: {err}")
        }
    }
}

/// Settings of a [`LinkEndpoint`].
#[derive(Debug, Clone)]
pub struct LinkConfig {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Time to reach a peer.
    pub connect_timeout: Duration,
    /// Time after which an unused connection is closed.
    pub idle_timeout: Duration,
    /// Streams that one peer may have open. Each costs about 70 bytes of every connection, used
    /// or not.
    pub max_streams_per_peer: u32,
    /// Bytes that one stream may have in flight towards us.
    pub stream_window_bytes: u32,
}

impl LinkConfig {
    /// Defaults, listening on `listen`.
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(30),
            max_streams_per_peer: 1024,
            stream_window_bytes: 1 << 20,
        }
    }

    /// Streams that a peer may have open at first. Each allowed stream takes memory on both sides
    /// of the connection even before it is opened, so the limit grows with use.
    fn first_streams(&self) -> u32 {
        self.max_streams_per_peer.min(FIRST_STREAMS)
    }
}

/// Counts what passes over a link.
#[derive(Debug, Default)]
pub struct LinkCounters {
    /// Streams that peers opened.
    pub streams_in: AtomicU64,
    /// Streams opened to peers.
    pub streams_out: AtomicU64,
    /// Connections that peers opened.
    pub connections_in: AtomicU64,
    /// Connections refused or broken for their certificate or frames.
    pub rejected: AtomicU64,
}

/// Answers streams that peers open.
pub trait StreamHandler: Send + Sync + 'static {
    /// Answers one stream.
    fn handle(
        &self,
        peer: Peer,
        opening: StreamOpening,
        tx: FrameSender,
        rx: FrameReceiver,
    ) -> impl Future<Output = ()> + Send;
}

type Shard = Mutex<HashMap<SocketAddr, Slot>>;

/// What is kept of one peer.
#[derive(Debug, Default)]
struct Slot {
    connection: Option<Connection>,
    /// Held by the one task that connects; the others wait for its result.
    connecting: Arc<async_lock::Mutex<()>>,
    failed: Option<Failure>,
}

#[derive(Debug, Clone)]
struct Failure {
    at: Instant,
    reason: Box<str>,
}

/// One endpoint, which accepts and opens streams.
#[derive(Debug)]
pub struct LinkEndpoint {
    endpoint: Endpoint,
    executor: Executor,
    cfg: LinkConfig,
    client: Mutex<quinn::ClientConfig>,
    shards: [Shard; SHARDS],
    counters: LinkCounters,
    log: Logger,
}

impl LinkEndpoint {
    /// Binds the address with a certificate.
    pub fn bind(
        executor: Executor,
        cfg: LinkConfig,
        identity: &Identity,
        log: Logger,
    ) -> Result<Self, LinkError> {
        let bind_error = |err| LinkError::Bind(cfg.listen, err);
        let socket = UdpSocket::bind(cfg.listen).map_err(bind_error)?;
        let server = server_config(&cfg, identity)?;
        let client = client_config(&cfg, identity)?;
        // A process that takes the place of a lost one resets its connections with the same key.
        // It answers connection ids of the lost one only where it draws them by the same key.
        let mut endpoint_cfg = EndpointConfig::new(Arc::new(identity.reset_key()));
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
            shards: std::array::from_fn(|_| Shard::default()),
            counters: LinkCounters::default(),
            log,
        })
    }

    /// The address, with the port that was given.
    pub fn local_addr(&self) -> SocketAddr {
        self.endpoint.local_addr().unwrap_or(self.cfg.listen)
    }

    /// What has passed.
    pub fn counters(&self) -> &LinkCounters {
        &self.counters
    }

    /// Takes new certificates into use; open connections go on.
    pub fn reload(&self, identity: &Identity) -> Result<(), LinkError> {
        let server = server_config(&self.cfg, identity)?;
        let client = client_config(&self.cfg, identity)?;
        self.endpoint.set_server_config(Some(server));
        *self.client.lock().unwrap_or_else(PoisonError::into_inner) = client;
        Ok(())
    }

    /// Opens a stream to a peer of the expected role and sends its opening.
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

    /// Drops the connection to a peer that no longer answers.
    pub fn disconnect(&self, peer: SocketAddr) {
        let mut slots = self.lock(peer);
        if let Some(connection) = slots.get_mut(&peer).and_then(|slot| slot.connection.take()) {
            connection.close(VarInt::from_u32(2), b"peer does not answer");
        }
    }

    /// Answers peers until the link is closed.
    pub async fn serve<H: StreamHandler>(self: Arc<Self>, handler: Arc<H>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let link = self.clone();
            let handler = handler.clone();
            self.executor
                .detach(async move { link.serve_connection(incoming, handler).await });
        }
    }

    /// Closes all connections, after what was sent has arrived.
    pub async fn close(&self) {
        self.endpoint.close(SHUT_DOWN, b"shutting down");
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
        let open = Arc::new(());
        let mut allowed = self.cfg.first_streams();
        while let Ok(streams) = connection.accept_bi().await {
            self.counters.streams_in.fetch_add(1, Ordering::Relaxed);
            let (tx, rx) = framed(address, streams);
            let link = self.clone();
            let handler = handler.clone();
            let peer = peer.clone();
            let held = open.clone();
            self.executor.detach(async move {
                link.serve_stream(handler, peer, tx, rx).await;
                drop(held);
            });
            let in_use = Arc::strong_count(&open) as u32;
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
        let asked = Instant::now();
        if let Some(connection) = self.kept(peer) {
            return Ok(connection);
        }
        let connecting = self.lock(peer).entry(peer).or_default().connecting.clone();
        let _turn = connecting.lock().await;
        if let Some(connection) = self.kept(peer) {
            return Ok(connection);
        }
        if let Some(reason) = self.failed_since(peer, asked) {
            return Err(LinkError::Connect(peer, reason));
        }
        let connected = self.connect(peer, role).await;
        self.note(peer, &connected);
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
            .map_err(|_| LinkError::Connect(peer, "no answer in time".into()))?
            .map_err(|err| LinkError::Connect(peer, err.to_string().into()))?;
        let found = Peer::from_connection(&connection)?.role;
        if found != role {
            connection.close(VarInt::from_u32(3), b"unexpected role");
            return Err(LinkError::Role(peer, role, found));
        }
        Ok(connection)
    }

    fn note(&self, peer: SocketAddr, connected: &Result<Connection, LinkError>) {
        let mut slots = self.lock(peer);
        let slot = slots.entry(peer).or_default();
        match connected {
            Ok(connection) => {
                slot.connection = Some(connection.clone());
                slot.failed = None;
            }
            Err(LinkError::Connect(_, reason)) => {
                slot.failed = Some(Failure {
                    at: Instant::now(),
                    reason: reason.clone(),
                });
            }
            Err(_) => {}
        }
    }

    fn failed_since(&self, peer: SocketAddr, asked: Instant) -> Option<Box<str>> {
        let slots = self.lock(peer);
        let failure = slots.get(&peer)?.failed.as_ref()?;
        (failure.at >= asked).then(|| failure.reason.clone())
    }

    fn kept(&self, peer: SocketAddr) -> Option<Connection> {
        let mut slots = self.lock(peer);
        let slot = slots.get_mut(&peer)?;
        if slot.connection.as_ref()?.close_reason().is_some() {
            slot.connection = None;
        }
        slot.connection.clone()
    }

    fn lock(&self, peer: SocketAddr) -> MutexGuard<'_, HashMap<SocketAddr, Slot>> {
        let shard = usize::from(peer.port()) % SHARDS;
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
    (FrameSender { peer, tx }, FrameReceiver { peer, rx, reader })
}

fn transport(cfg: &LinkConfig) -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    let idle = VarInt::try_from(cfg.idle_timeout.as_millis() as u64).unwrap_or(VarInt::MAX);
    transport
        .max_idle_timeout(Some(idle.into()))
        .max_concurrent_bidi_streams(VarInt::from_u32(cfg.first_streams()))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .stream_receive_window(VarInt::from_u32(cfg.stream_window_bytes))
        .datagram_receive_buffer_size(None);
    Arc::new(transport)
}

fn server_config(cfg: &LinkConfig, identity: &Identity) -> Result<quinn::ServerConfig, LinkError> {
    let mut server = quinn::ServerConfig::with_crypto(identity.quic_server()?);
    server.transport_config(transport(cfg));
    Ok(server)
}

fn client_config(cfg: &LinkConfig, identity: &Identity) -> Result<quinn::ClientConfig, LinkError> {
    let mut client = quinn::ClientConfig::new(identity.quic_client()?);
    client.transport_config(transport(cfg));
    Ok(client)
}
