//! Links with the other gateways: what each has given to servers, and what the store holds.

use crate::gateway_rows::{
    CERTIFICATE_LIFETIME, GatewayRow, load_or_create_authority, register, unregister,
};
use crate::shared::Shared;
use crate::store_watch::TableHandler;
use adapter::{ChangedRow, Changes, Listing, Store, StoreTable, keys};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future::or;
use policy::{PeerGateway, should_watch_store};
use proto::{LoadFrame, StoreSnapshot, StoreVersions, StreamOpening};
use rand::random;
use runtime::{
    FrameReceiver, FrameSender, Identity, Link, LinkConfig, LinkError, Peer, Role, StreamHandler,
    timeout,
};
use slog::{info, warn};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time after which a silent link is given up.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pauses before a broken link is opened again, the first and the longest: a gateway that left
/// while the store was away keeps its row.
const MIN_RECONNECT_BACKOFF: Duration = Duration::from_millis(300);
const MAX_RECONNECT_BACKOFF: Duration = Duration::from_secs(2);
/// Frames go out at most this often to few peers.
const MIN_FRAME_INTERVAL: Duration = Duration::from_millis(10);
/// Frames that one gateway sends in a second at most, over all peers.
const MAX_FRAMES_PER_SECOND: u32 = 250;
/// Frames go out at least this often, so that a silent link shows.
const MAX_FRAME_INTERVAL: Duration = Duration::from_millis(500);
/// A gateway that has not been heard for this long no longer counts for shared limits: longer
/// than their windows.
const PEER_COUNT_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for a peer to send all that it knows.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between questions for what peers know, which covers the answer.
const MIN_FETCH_INTERVAL: Duration = Duration::from_millis(40);

#[derive(Debug)]
struct PeerState {
    row: GatewayRow,
    version: u64,
    last_heard: Duration,
    reaches_store: bool,
    frame_tx: Option<Sender<Arc<LoadFrame>>>,
}

/// The other gateways.
#[derive(Debug)]
pub struct Peers {
    shared: Arc<Shared>,
    link: Arc<Link>,
    peers: Mutex<HashMap<Box<str>, PeerState>>,
    last_fetch: Mutex<Duration>,
}

/// Follows the gateways' table.
#[derive(Debug)]
pub struct GatewayTableHandler(pub Arc<Peers>);

impl Peers {
    /// Gets a certificate by the authority in the store, opens links, and registers this gateway.
    pub async fn join(shared: Arc<Shared>, store: &Store) -> Result<Arc<Self>, LinkError> {
        let authority = load_or_create_authority(&shared, store).await?;
        let name = shared.settings.name.clone();
        let identity = Identity::issue(&authority, Role::Gateway, &name, CERTIFICATE_LIFETIME)?;
        let listen = SocketAddr::new(shared.settings.address, shared.settings.peer_port);
        let mut cfg = LinkConfig::new(listen);
        cfg.idle_time = LINK_IDLE_TIMEOUT;
        let link = Link::bind(shared.executor.clone(), cfg, &identity, shared.log.clone())?;
        let peers = Arc::new(Self {
            link: Arc::new(link),
            peers: Mutex::default(),
            last_fetch: Mutex::default(),
            shared: shared.clone(),
        });
        let streams = Arc::new(PeerStreamHandler(peers.clone()));
        let link = peers.link.clone();
        shared
            .executor
            .detach(async move { link.serve(streams).await });
        let row = GatewayRow {
            address: listen,
            start: random(),
        };
        register(&shared, store, &row).await;
        if shared.draining.is_started() {
            // The row was written behind the drain's removal of it.
            unregister(&shared, store).await;
        }
        Ok(peers)
    }

    /// Sends what this gateway has given to servers: a long read at once, other changes paced.
    pub async fn broadcast_load(self: Arc<Self>) {
        let fleet = &self.shared.fleet;
        loop {
            let peers = self.send_load();
            self.update_gateway_count();
            self.update_store_watch();
            let min_interval = Duration::from_secs(1) * peers / MAX_FRAMES_PER_SECOND;
            let interval = min_interval.max(MIN_FRAME_INTERVAL);
            fleet.set_update_interval(interval);
            let changed = async {
                Timer::after(interval).await;
                fleet.changed().notified().await;
            };
            let urgent = async {
                Timer::after(MIN_FRAME_INTERVAL).await;
                fleet.urgent().notified().await;
            };
            let due = async {
                Timer::after(MAX_FRAME_INTERVAL).await;
            };
            or(or(urgent, changed), due).await;
        }
    }

    /// Ends all links.
    pub async fn close(&self) {
        self.link.close().await;
    }

    fn send_load(&self) -> u32 {
        let frame = Arc::new(LoadFrame {
            servers: self.shared.fleet.own_load(self.shared.clock.now()),
            versions: self.shared.store_cache.versions(),
            reaches_store: self.shared.watches_store() && self.shared.reaches_store(),
        });
        let peers = self.lock();
        for frames in peers.values().filter_map(|peer| peer.frame_tx.as_ref()) {
            // A peer that cannot take a frame in time gets the next one, which says all again.
            let _ = frames.try_send(frame.clone());
        }
        peers.len() as u32
    }

    fn update_gateway_count(&self) {
        let now = self.shared.clock.now();
        let peers = self.lock();
        let counted = peers
            .values()
            .filter(|peer| now < peer.last_heard + PEER_COUNT_TIMEOUT);
        let gateways = 1 + counted.count();
        self.shared.fleet.set_gateways(gateways);
        self.shared.metrics.set_gateways(gateways);
    }

    fn on_row(self: &Arc<Self>, row: &ChangedRow) {
        let Some(name) = row.key.strip_prefix(keys::GATEWAY_PREFIX) else {
            return;
        };
        if *name == *self.shared.settings.name {
            return;
        }
        let mut peers = self.lock();
        if peers
            .get(name)
            .is_some_and(|known| known.version >= row.version)
        {
            return;
        }
        let value = row.value.as_deref();
        let Some(found) = value.and_then(|value| serde_json::from_slice(value).ok()) else {
            info!(self.shared.log, "peers: gateway gone"; "peer" => name);
            peers.remove(name);
            return;
        };
        if peers.get(name).is_some_and(|known| known.row == found) {
            return;
        }
        let found: GatewayRow = found;
        info!(self.shared.log, "peers: gateway found"; "peer" => name,
            "address" => %found.address);
        self.link.forget(found.address);
        let (tx, rx) = async_channel::bounded(1);
        let peer = PeerState {
            last_heard: self.shared.clock.now(),
            reaches_store: false,
            version: row.version,
            frame_tx: Some(tx),
            row: found.clone(),
        };
        peers.insert(name.into(), peer);
        let link = self.link.clone();
        let shared = self.shared.clone();
        self.shared
            .executor
            .detach(run_load_stream(shared, link, found.address, rx));
    }

    fn on_frame(self: &Arc<Self>, peer: &str, frame: LoadFrame) {
        let now = self.shared.clock.now();
        let reaches_store = frame.reaches_store;
        self.shared.fleet.on_peer_load(peer, frame.servers, now);
        self.shared.prompt_queue.wake();
        let address = {
            let mut peers = self.lock();
            let known = peers.get_mut(peer);
            known.map(|known| {
                known.last_heard = now;
                known.reaches_store = reaches_store;
                known.row.address
            })
        };
        if let Some(address) =
            address.filter(|_| self.should_fetch_store_state(&frame.versions, now))
        {
            let peers = self.clone();
            let name: Box<str> = peer.into();
            self.shared
                .executor
                .detach(async move { peers.fetch_store_state(&name, address).await });
        }
    }

    /// Whether a peer knows more of the store, and this gateway does not follow it itself.
    fn should_fetch_store_state(&self, known: &StoreVersions, now: Duration) -> bool {
        let watches = self.shared.watches_store() && self.shared.reaches_store();
        if watches || !known.is_ahead_of(&self.shared.store_cache.versions()) {
            return false;
        }
        let mut last_fetch = self
            .last_fetch
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let due = now >= *last_fetch + MIN_FETCH_INTERVAL;
        if due {
            *last_fetch = now;
        }
        due
    }

    /// Settles whether this gateway follows the store itself.
    fn update_store_watch(&self) {
        let now = self.shared.clock.now();
        let peers = self.lock();
        let watchers = peers.iter().map(|(name, peer)| PeerGateway {
            name,
            heard_ago: now.saturating_sub(peer.last_heard),
            reaches_store: peer.reaches_store,
        });
        let watches = should_watch_store(&self.shared.settings.name, watchers);
        if self.shared.set_watches_store(watches) != watches {
            info!(self.shared.log, "store: who follows it has changed"; "follows" => watches,
                "peers" => peers.len());
        }
    }

    async fn fetch_store_state(&self, peer: &str, address: SocketAddr) {
        let known = self.shared.store_cache.versions();
        let fetch = async {
            let opened = self
                .link
                .open(address, Role::Gateway, &StreamOpening::StoreSnapshot(known))
                .await;
            let (_tx, mut rx) = opened?;
            rx.receive::<StoreSnapshot>().await
        };
        match timeout(FETCH_TIMEOUT, fetch).await {
            Ok(Ok(Some(knowledge))) => {
                let now = self.shared.clock.now();
                self.shared
                    .store_cache
                    .merge_from_peer(peer, knowledge, now);
                self.shared.update_declarations_metric();
                self.shared.prompt_queue.wake();
            }
            Ok(Ok(None)) => warn!(self.shared.log, "peers: no knowledge came"; "peer" => peer),
            Ok(Err(err)) => {
                warn!(self.shared.log, "peers: knowledge not fetched"; "peer" => peer,
                    "err" => %err);
            }
            Err(_) => warn!(self.shared.log, "peers: knowledge took too long"; "peer" => peer),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Box<str>, PeerState>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answers streams of peers.
#[derive(Debug)]
struct PeerStreamHandler(Arc<Peers>);

impl StreamHandler for PeerStreamHandler {
    async fn handle(
        &self,
        peer: Peer,
        opening: StreamOpening,
        mut tx: FrameSender,
        mut rx: FrameReceiver,
    ) {
        match opening {
            StreamOpening::Load => {
                while let Ok(Some(frame)) = rx.receive::<LoadFrame>().await {
                    self.0.on_frame(&peer.node, frame);
                }
            }
            StreamOpening::StoreSnapshot(known) => {
                let shared = &self.0.shared;
                let sent = tx.send(&shared.store_cache.export(&known)).await;
                if let Err(err) = sent {
                    warn!(shared.log, "peers: knowledge not sent"; "err" => %err);
                }
                tx.finish();
                tx.stopped().await;
            }
            _ => {
                tx.cancel();
                rx.cancel();
            }
        }
    }
}

impl TableHandler for GatewayTableHandler {
    const TABLE: StoreTable = StoreTable::Gateways;
    /// Gateways come and go seldom, and a missed one only makes shares too large for a moment.
    const WAIT: Duration = Duration::from_secs(5);
    const SENT_BY_PEERS: bool = false;

    fn version_from_peers(&self, _shared: &Shared) -> u64 {
        0
    }

    fn on_listing(&self, _shared: &Shared, listing: Listing) {
        for row in &listing.rows {
            self.0.on_row(row);
        }
        self.0.update_gateway_count();
    }

    fn on_changes(&self, _shared: &Shared, changes: Changes) {
        for row in &changes.rows {
            self.0.on_row(row);
        }
    }
}

async fn run_load_stream(
    shared: Arc<Shared>,
    link: Arc<Link>,
    peer: SocketAddr,
    frames: Receiver<Arc<LoadFrame>>,
) {
    let mut pause = MIN_RECONNECT_BACKOFF;
    while !frames.is_closed() {
        match link.open(peer, Role::Gateway, &StreamOpening::Load).await {
            Ok((mut tx, _rx)) => {
                info!(shared.log, "peers: link open"; "peer" => %peer);
                pause = MIN_RECONNECT_BACKOFF;
                while let Ok(frame) = frames.recv().await {
                    if let Err(err) = tx.send(&*frame).await {
                        info!(shared.log, "peers: link lost"; "peer" => %peer, "err" => %err);
                        break;
                    }
                }
            }
            Err(err) => {
                info!(shared.log, "peers: link not opened"; "peer" => %peer, "err" => %err);
            }
        }
        Timer::after(pause).await;
        pause = (pause * 2).min(MAX_RECONNECT_BACKOFF);
    }
}
