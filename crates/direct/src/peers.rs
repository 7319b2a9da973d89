//! Links with the other gateways, over which they exchange the load that each has placed on
//! servers, and the content of the store.

use crate::blocked_rows;
use crate::content_stream::FetchError;
use crate::content_sync::ContentSync;
use crate::crash_guard::CrashNews;
use crate::gateway_rows::{
    CERTIFICATE_LIFETIME, GatewayRow, gateway_key, load_or_create_authority, register, renew,
    restore, unregister,
};
use crate::news_stream::{PeerNews, send_news};
use crate::own_row::OwnRow;
use crate::peer_streams::{PeerStreamHandler, send_load};
use crate::request_limit::LimitNews;
use crate::server_failure::FailureNews;
use crate::shared::Shared;
use crate::store_watch::TableHandler;
use crate::unknown_peers::UnknownPeers;
use crate::unlisted_gateways::remove_unlisted;
use crate::waiting_news::WaitingNews;
use adapter::{Changes, Listing, Store, StoreRow, StoreTable, keys};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future::or;
use policy::{ContentReport, GatewayRoster, PeerGateway, should_watch_store};
use proto::{Confirmed, LoadFrame, era};
use rand::random;
use runtime::{Identity, LinkConfig, LinkEndpoint, LinkError, Role};
use slog::info;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A link is closed after this time without traffic.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Shortest interval between load frames, which applies while there are few peers.
const MIN_FRAME_INTERVAL: Duration = Duration::from_millis(10);
/// Limit on the load frames that this gateway sends, over all peers.
const MAX_FRAMES_PER_SECOND: u32 = 250;
/// Longest interval between load frames, so that peers can tell a lost gateway from an idle one.
const MAX_FRAME_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between listings of the gateways' table, whose rows grow with the number of gateways.
const MIN_LISTING_INTERVAL: Duration = Duration::from_secs(30);
const LISTING_INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct PeerState {
    row: GatewayRow,
    version: u64,
    last_heard: Duration,
    reaches_store: bool,
    /// Whether it has told that it knows more than the store may say after a copy.
    has_run_on: bool,
    frame_tx: Option<Sender<Arc<LoadFrame>>>,
    /// Wakes the task that sends request limits.
    limits_tx: Sender<()>,
    /// Wakes the task that sends crashes of engines.
    crashes_tx: Sender<()>,
    /// Wakes the task that sends server failures.
    failures_tx: Sender<()>,
    /// Wakes the task that sends which prompts wait.
    waiting_tx: Sender<()>,
}

/// The other gateways that are registered in the store.
#[derive(Debug)]
pub struct Peers {
    shared: Arc<Shared>,
    link: Arc<LinkEndpoint>,
    peers: Mutex<HashMap<Box<str>, PeerState>>,
    roster: Mutex<GatewayRoster>,
    store: Store,
    own_row: OwnRow,
    content: Arc<ContentSync>,
    /// Changes of request limits up to this one were passed to the tasks that send them.
    announced_limits: AtomicU64,
    /// The same for crashes of engines.
    announced_crashes: AtomicU64,
    /// The same for server failures.
    announced_failures: AtomicU64,
    /// Whether the gateways' table was read; until then the number of gateways is not known.
    listed: AtomicBool,
    unknown: UnknownPeers,
    /// Whether the table had no gateways when this one started.
    is_first: bool,
}

/// Applies the gateways' table to the set of peers.
#[derive(Debug)]
pub struct GatewayTableHandler(pub Arc<Peers>);

impl Peers {
    /// Issues a certificate from the authority in the store, accepts links and registers this
    /// gateway in the store.
    pub async fn join(shared: Arc<Shared>, store: &Store) -> Result<Arc<Self>, LinkError> {
        let joined = load_or_create_authority(&shared, store).await?;
        let authority = joined.authority;
        let name = shared.settings.name.clone();
        let identity = Identity::issue(&authority, Role::Gateway, &name, CERTIFICATE_LIFETIME)?;
        let listen = SocketAddr::new(shared.settings.address, shared.settings.peer_port);
        let mut cfg = LinkConfig::new(listen);
        cfg.idle_timeout = LINK_IDLE_TIMEOUT;
        let link = LinkEndpoint::bind(shared.executor.clone(), cfg, &identity, shared.log.clone())?;
        let row = GatewayRow {
            address: listen,
            start: random(),
            renewals: 0,
            domain: Some(shared.settings.domain.clone()),
        };
        let link = Arc::new(link);
        let peers = Arc::new(Self {
            content: Arc::new(ContentSync::new(shared.clone(), link.clone())),
            link,
            peers: Mutex::default(),
            roster: Mutex::default(),
            store: store.clone(),
            own_row: OwnRow::new(row.clone()),
            announced_limits: AtomicU64::new(0),
            announced_crashes: AtomicU64::new(0),
            announced_failures: AtomicU64::new(0),
            listed: AtomicBool::new(false),
            unknown: UnknownPeers::default(),
            is_first: joined.is_first,
            shared: shared.clone(),
        });
        let streams = Arc::new(PeerStreamHandler(peers.clone()));
        let link = peers.link.clone();
        shared
            .executor
            .detach(async move { link.serve(streams).await });
        register(&shared, store, &row).await;
        if shared.draining.is_started() {
            // A drain that began meanwhile had removed the row before it was written.
            peers.unregister().await;
        }
        Ok(peers)
    }

    /// Sends the load that this gateway has placed on servers to all peers, until the process ends.
    /// Changes of long prompts and of the store go out at once, others at an interval that grows
    /// with the number of peers.
    pub async fn broadcast_load(self: Arc<Self>) {
        let fleet = &self.shared.fleet;
        loop {
            let peers = self.send_load();
            self.wake_news_streams();
            self.update_gateway_count();
            self.renew_own_row();
            self.update_store_watch();
            self.shared.log_confirmation();
            let paced_interval = Duration::from_secs(1) * peers / MAX_FRAMES_PER_SECOND;
            let interval = paced_interval.max(MIN_FRAME_INTERVAL);
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

    /// Wakes the tasks that send which prompts wait.
    pub fn wake_waiting_streams(&self) {
        for peer in self.lock().values() {
            // A full channel already holds a message.
            let _ = peer.waiting_tx.try_send(());
        }
    }

    /// Closes all links.
    pub async fn close(&self) {
        self.link.close().await;
    }

    fn send_load(&self) -> u32 {
        let frame = Arc::new(LoadFrame {
            servers: self.shared.fleet.local_load(self.shared.clock.now()),
            versions: self.shared.store_cache.told_versions(),
            reaches_store: self.shared.is_watcher() && self.shared.reaches_store(),
            declarations: self
                .shared
                .store_cache
                .route_table()
                .map_or(0, |table| table.version),
        });
        let peers = self.lock();
        for frame_tx in peers.values().filter_map(|peer| peer.frame_tx.as_ref()) {
            // A peer whose last frame is still pending misses this one. The next one replaces it,
            // as each frame holds the whole load.
            let _ = frame_tx.try_send(frame.clone());
        }
        peers.len() as u32
    }

    /// Wakes the tasks that send news if there are any.
    fn wake_news_streams(&self) {
        self.wake::<LimitNews>(&self.announced_limits, |peer| &peer.limits_tx);
        self.wake::<CrashNews>(&self.announced_crashes, |peer| &peer.crashes_tx);
        self.wake::<FailureNews>(&self.announced_failures, |peer| &peer.failures_tx);
    }

    fn wake<N: PeerNews>(&self, announced: &AtomicU64, tx: impl Fn(&PeerState) -> &Sender<()>) {
        let revision = N::revision(&self.shared);
        if announced.swap(revision, Ordering::Relaxed) == revision {
            return;
        }
        for peer in self.lock().values() {
            // A full channel already holds a message.
            let _ = tx(peer).try_send(());
        }
    }

    fn update_gateway_count(&self) {
        if !self.listed.load(Ordering::Relaxed) {
            return;
        }
        let now = self.shared.clock.now();
        let mut roster = self.lock_roster();
        if self.shared.is_store_failing() {
            roster.on_store_unreadable(now);
        }
        let gateways = self.shared.fleet.set_peers(roster.sharing(now));
        self.shared.lock_store_fallback().set_gateways(gateways);
        self.shared.metrics.set_gateways(gateways);
    }

    /// Renews this gateway's row in the store if a peer that is not heard needs a sign of life.
    fn renew_own_row(self: &Arc<Self>) {
        let now = self.shared.clock.now();
        if self.shared.draining.is_started() || !self.lock_roster().claim_renewal(now) {
            return;
        }
        let Some((row, version)) = self.own_row.renewed() else {
            return;
        };
        info!(self.shared.log, "peers: own row renewed, a gateway is not heard";
            "renewals" => row.renewals);
        let peers = self.clone();
        self.shared
            .executor
            .detach(async move { renew(&peers.shared, &peers.store, &row, version).await });
    }

    /// Records what the store has as this gateway's row, and writes the row again if it is gone.
    fn on_own_row(self: &Arc<Self>, stored: Option<&StoreRow>) {
        self.own_row.on_stored(stored);
        let is_gone = stored.is_none_or(|stored| stored.removed);
        if !is_gone || self.shared.draining.is_started() {
            return;
        }
        info!(
            self.shared.log,
            "peers: own row is gone from the store, it is written again"
        );
        let peers = self.clone();
        self.shared.executor.detach(async move {
            let (row, _) = peers.own_row.get();
            restore(&peers.shared, &peers.store, &row).await;
            if peers.shared.draining.is_started() {
                peers.unregister().await;
            }
        });
    }

    /// Removes this gateway's row from the store.
    pub async fn unregister(&self) {
        let (row, version) = self.own_row.get();
        unregister(&self.shared, &self.store, &row, version).await;
    }

    /// Applies a row of the gateways' table.
    pub fn on_row(self: &Arc<Self>, row: &StoreRow) {
        let Some(name) = row.key.strip_prefix(keys::GATEWAY_PREFIX) else {
            blocked_rows::on_row(&self.shared, row);
            return;
        };
        if *name == *self.shared.settings.name {
            self.on_own_row(Some(row));
            return;
        }
        let mut peers = self.lock();
        if peers
            .get(name)
            .is_some_and(|known| known.version >= row.version)
        {
            return;
        }
        self.lock_roster()
            .on_row_change(name, !row.removed, self.shared.clock.now());
        let value = row.value.as_deref();
        let Some(found) = value.and_then(|value| serde_json::from_slice(value).ok()) else {
            info!(self.shared.log, "peers: gateway gone"; "peer" => name);
            peers.remove(name);
            self.content.on_gone(name);
            self.shared.on_confirming_peer_gone(name);
            return;
        };
        let found: GatewayRow = found;
        if let Some(known) = peers
            .get_mut(name)
            .filter(|known| known.row.is_same_start(&found))
        {
            info!(self.shared.log, "peers: gateway has renewed its row"; "peer" => name,
                "renewals" => found.renewals);
            known.version = row.version;
            return;
        }
        info!(self.shared.log, "peers: gateway found"; "peer" => name,
            "address" => %found.address);
        self.link.disconnect(found.address);
        let (tx, rx) = async_channel::bounded(1);
        let (limits_tx, limits_rx) = async_channel::bounded(1);
        let (crashes_tx, crashes_rx) = async_channel::bounded(1);
        let (failures_tx, failures_rx) = async_channel::bounded(1);
        let (waiting_tx, waiting_rx) = async_channel::bounded(1);
        let peer = PeerState {
            last_heard: self.shared.clock.now(),
            reaches_store: false,
            has_run_on: false,
            version: row.version,
            frame_tx: Some(tx),
            limits_tx,
            crashes_tx,
            failures_tx,
            waiting_tx,
            row: found.clone(),
        };
        peers.insert(name.into(), peer);
        self.content.on_found(name, found.address);
        let (link, shared) = (self.link.clone(), self.shared.clone());
        let load_stream = send_load(shared, link, (name.into(), found.address), rx);
        self.shared.executor.detach(load_stream);
        self.send_news::<LimitNews>(found.address, limits_rx);
        self.send_news::<CrashNews>(found.address, crashes_rx);
        self.send_news::<FailureNews>(found.address, failures_rx);
        self.send_news::<WaitingNews>(found.address, waiting_rx);
    }

    fn send_news<N: PeerNews>(&self, peer: SocketAddr, wake: Receiver<()>) {
        let (link, shared) = (self.link.clone(), self.shared.clone());
        let stream = send_news::<N>(shared, link, peer, wake);
        self.shared.executor.detach(stream);
    }

    /// Records a load frame of a peer.
    pub fn on_frame(self: &Arc<Self>, peer: &str, frame: Confirmed<LoadFrame>) {
        let now = self.shared.clock.now();
        self.shared.on_peer_confirmation(peer, &frame.report);
        let has_run_on = !frame.is_starting;
        let frame = frame.message;
        let versions = &frame.versions;
        let era = era(versions.operators.max(versions.servers));
        if era > 0 {
            self.shared.see_era(era);
        }
        self.shared.fleet.on_peer_load(peer, frame.servers, now);
        if !self.lock_roster().on_heard(peer, now) {
            self.unknown.on_heard(self, peer);
        }
        let domain = {
            let mut peers = self.lock();
            let known = peers.get_mut(peer);
            known.map(|known| {
                known.last_heard = now;
                known.reaches_store = frame.reaches_store;
                known.has_run_on = has_run_on;
                known.row.domain.clone()
            })
        };
        if let Some(domain) = domain {
            let report = ContentReport {
                domain: domain.as_deref(),
                versions: frame.versions,
                reaches_store: frame.reaches_store,
                declarations: frame.declarations,
            };
            self.content.on_report(peer, report);
        }
    }

    /// Decides from the reports of peers whether this gateway watches the store itself.
    fn update_store_watch(&self) {
        let now = self.shared.clock.now();
        let peers = self.lock();
        let gateways = peers.iter().map(|(name, peer)| PeerGateway {
            name,
            heard_ago: now.saturating_sub(peer.last_heard),
            reaches_store: peer.reaches_store,
        });
        let watches = should_watch_store(&self.shared.settings.name, gateways);
        if self.shared.set_watches_store(watches) != watches {
            info!(self.shared.log, "store: who follows it has changed"; "follows" => watches,
                "peers" => peers.len());
        }
    }

    /// Whether the row of a gateway, or its removal, was read.
    pub fn knows_row(&self, name: &str) -> bool {
        self.lock_roster().knows(name)
    }

    /// Names of all known peers.
    pub fn names(&self) -> Vec<Box<str>> {
        self.lock().keys().cloned().collect()
    }

    /// Whether no gateway ran before this one started, as the store says.
    pub fn is_first_gateway(&self) -> bool {
        self.is_first
    }

    /// Names of all known peers, with whether they are known to have run on while this gateway started.
    pub fn known(&self) -> Vec<(Box<str>, bool)> {
        let peers = self.lock();
        let known = peers.iter();
        known
            .map(|(name, peer)| (name.clone(), peer.has_run_on))
            .collect()
    }

    /// Fetches all that a peer knows, after a start or once the store has come back from a copy. Fails if the peer has
    /// just started too.
    pub async fn fetch_first(&self, peer: &str) -> Result<(), FetchError> {
        self.content.fetch_first(peer).await
    }

    /// State shared by the tasks of the process.
    pub fn shared(&self) -> &Shared {
        &self.shared
    }

    fn lock_roster(&self) -> MutexGuard<'_, GatewayRoster> {
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Box<str>, PeerState>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TableHandler for GatewayTableHandler {
    const TABLE: StoreTable = StoreTable::Gateways;
    /// Gateways rarely change, and one noticed late only makes the shares of the limits too large
    /// for a moment. All gateways poll this table, so their polls are as long as the store allows.
    const WAIT: Duration = Duration::from_secs(25);
    /// While many gateways start or restart, each change would end the polls of all others.
    const PAUSE: Duration = Duration::from_secs(1);
    const SENT_BY_PEERS: bool = false;
    /// A listing at each gateway whenever other tables have changed for a while would cost most of what the
    /// gateways read.
    const SKIPS_HISTORY: bool = true;

    fn listing_interval(gateways: usize) -> Option<Duration> {
        let interval = LISTING_INTERVAL_PER_GATEWAY * gateways as u32;
        Some(interval.max(MIN_LISTING_INTERVAL))
    }

    fn cached_version(&self, _shared: &Shared) -> u64 {
        0
    }

    async fn on_listing(&self, shared: &Shared, listing: Listing) {
        for row in &listing.rows {
            self.0.on_row(row);
        }
        remove_unlisted(&self.0, &listing).await;
        let own_key = gateway_key(shared);
        if listing.rows.iter().all(|row| *row.key != *own_key) {
            self.0.on_own_row(None);
        }
        blocked_rows::on_row_listing(&self.0.shared, &listing.rows);
        self.0.listed.store(true, Ordering::Relaxed);
        self.0.update_gateway_count();
    }

    async fn on_changes(&self, _shared: &Shared, changes: Changes) {
        for row in &changes.rows {
            self.0.on_row(row);
        }
    }
}
