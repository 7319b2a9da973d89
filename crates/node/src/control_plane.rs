//! The control plane of a node: keeps its configuration and membership up to date, by gossip with
//! peers over links and by polling the platform.

use crate::control_metrics::ControlMetrics;
use crate::node_settings::NodeSettings;
use crate::view::SharedClusterView;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use declarations::Declarations;
use platform::{HostList, TableService};
use policy::{
    ConfigGossip, DomainChange, DomainRampConfig, DomainTracker, GossipAction, GossipConfig,
    GossipEvent, Members, Membership, MembershipConfig, MembershipEvent, RequestSeq,
};
use prometheus::Registry;
use proto::{
    ConfigMessage, ConfigVersion, EventKind, NodeId, NodeSighting, ServerId, StreamOpening, encode,
};
use runtime::{Clock, Executor, FrameSender, LinkEndpoint, Peer, Role, Timeline, timeout};
use slog::{Logger, debug, info, warn};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
const ADMIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
const MAX_PEER_NAMES: usize = 4096;
const AGENT_SUFFIX: &str = "/agent";

/// The services that a [`ControlPlane`] uses.
#[derive(Debug)]
pub struct ControlPlaneParts<P> {
    /// Runs the background tasks, such as exchanges and reads.
    pub executor: Executor,
    /// Opens streams to peers for exchanges.
    pub link: Arc<LinkEndpoint>,
    /// Table service and host list.
    pub platform: P,
    /// Receives each new configuration and membership.
    pub view: Arc<SharedClusterView>,
    /// Records events and stamps outgoing messages.
    pub timeline: Arc<Timeline>,
    /// Log of the process.
    pub log: Logger,
}

#[derive(Debug)]
struct State {
    gossip: ConfigGossip,
    membership: Membership,
    domains: DomainTracker,
    /// Node ids by the process name in the certificate, for the peers that have sent a
    /// [`ConfigMessage`].
    nodes_by_peer_name: BTreeMap<Box<str>, NodeId>,
}

/// Keeps a node's configuration and membership up to date, and tells its peers about the node.
#[derive(Debug)]
pub struct ControlPlane<P> {
    pub(crate) parts: ControlPlaneParts<P>,
    own_sighting: NodeSighting,
    leaving: AtomicBool,
    pub(crate) cfg: GossipConfig,
    pub(crate) metrics: ControlMetrics,
    clock: Clock,
    state: Mutex<State>,
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
}

impl<P: TableService + HostList> ControlPlane<P> {
    /// The control plane of one node, without a configuration or members yet. `address` is where
    /// peers reach the node; `server` is the backend server of an agent, `None` for a gateway.
    /// Fails if a metric is already registered.
    pub fn new(
        parts: ControlPlaneParts<P>,
        settings: &NodeSettings,
        address: SocketAddr,
        server: Option<ServerId>,
        registry: &Registry,
    ) -> Result<Self, prometheus::Error> {
        let clock = Clock::default();
        let role = server.as_ref().map_or(Role::Gateway, |_| Role::Agent);
        let node: NodeId = format!("{}/{role}", settings.host).into();
        let mut cfg = GossipConfig::for_node(&node, rand::random());
        cfg.neighbours = settings.neighbours;
        cfg.min_poll_interval = settings.poll_interval.min(cfg.max_poll_interval);
        let state = State {
            gossip: ConfigGossip::new(clock.now(), cfg.clone()),
            membership: Membership::new(MembershipConfig::default()),
            domains: DomainTracker::new(DomainRampConfig::default()),
            nodes_by_peer_name: BTreeMap::new(),
        };
        let own_sighting = NodeSighting {
            node,
            host: settings.host.clone(),
            domain: settings.domain.clone(),
            address,
            server,
            epoch: 0,
            config: 0,
            age: Duration::ZERO,
            leaving: false,
        };
        let (wake_tx, wake_rx) = async_channel::bounded(1);
        Ok(Self {
            parts,
            own_sighting,
            leaving: AtomicBool::new(false),
            cfg,
            metrics: ControlMetrics::new(registry)?,
            clock,
            state: Mutex::new(state),
            wake_tx,
            wake_rx,
        })
    }

    /// Polls the host list and drives the gossip timers. Never returns.
    pub async fn run(self: Arc<Self>) {
        let host_poller = self.clone();
        self.parts
            .executor
            .detach(async move { host_poller.poll_host_list().await });
        loop {
            let due = self.lock().gossip.next_wakeup();
            let sleep = due.saturating_sub(self.clock.now());
            let timer = async {
                Timer::after(sleep).await;
            };
            let woken = async {
                let _ = self.wake_rx.recv().await;
            };
            futures_lite::future::or(timer, woken).await;
            if self.clock.now() >= due {
                self.handle(GossipEvent::Tick);
            }
        }
    }

    /// Replies to an exchange that a peer opened. A message whose node name does not match the
    /// role in the certificate of the peer is dropped.
    pub async fn handle_exchange(
        self: &Arc<Self>,
        peer: &Peer,
        message: ConfigMessage,
        mut tx: FrameSender,
    ) {
        if role_of(&message.summary.node) != peer.role {
            warn!(self.parts.log, "config: message rejected, role mismatch"; "peer" => &*peer.node);
            return tx.cancel();
        }
        self.record_peer_name(peer, &message.summary.node);
        self.count_message("in", &message);
        self.apply_sender_sighting(&message);
        if let Some(mut reply) = self.handle(GossipEvent::Request(message)) {
            self.add_own_sighting(&mut reply);
            self.count_message("out", &reply);
            if tx.send(&reply).await.is_ok() {
                tx.finish();
            }
        }
    }

    /// Handles a configuration version that a node reported in a message other than an exchange;
    /// `from` is absent if the sender is not known. Ignored if gossip is off or the version is not
    /// newer than the active one.
    pub fn observe_version(self: &Arc<Self>, from: Option<&NodeId>, version: ConfigVersion) {
        if self.cfg.neighbours > 0 && version > self.parts.view.get().version {
            let from = from.cloned();
            self.handle(GossipEvent::PeerVersion { from, version });
        }
    }

    /// Like [`ControlPlane::observe_version`], for a message from the peer of a connection.
    pub fn observe_peer_version(self: &Arc<Self>, peer: &Peer, version: ConfigVersion) {
        let node = self.lock().nodes_by_peer_name.get(&peer.node).cloned();
        self.observe_version(node.as_ref(), version);
    }

    /// Activates a configuration that this node has committed to the table service, and gossips it.
    pub fn apply_committed(self: &Arc<Self>, version: ConfigVersion, declared: Declarations) {
        self.handle(GossipEvent::StoreContent {
            seq: 0,
            version,
            declared: Box::new(declared),
        });
    }

    /// Whether new work may be admitted under the active configuration, as
    /// [`ConfigGossip::may_admit`] decides.
    pub fn may_admit(&self) -> bool {
        self.lock().gossip.may_admit(self.clock.now())
    }

    /// Waits for at most `limit` until new work may be admitted; false if it still may not.
    pub async fn wait_until_admitting(&self, limit: Duration) -> bool {
        let deadline = self.clock.now() + limit;
        while !self.may_admit() {
            if self.clock.now() >= deadline {
                return false;
            }
            Timer::after(ADMIT_POLL_INTERVAL).await;
        }
        true
    }

    /// Fraction of its usual traffic that a failure domain is to receive now, from 0 to 1.
    pub fn domain_traffic_share(&self, domain: &str) -> f64 {
        self.lock().domains.traffic_share(self.clock.now(), domain)
    }

    /// Marks this node as leaving in all messages to peers from now on.
    pub fn announce_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Name of this node in the membership: `<host>/gateway` or `<host>/agent`.
    pub fn node(&self) -> &NodeId {
        &self.own_sighting.node
    }

    /// The platform that configuration and hosts are read from.
    pub fn platform(&self) -> &P {
        &self.parts.platform
    }

    /// Passes an event to the gossip state and performs the resulting actions. Returns the reply to
    /// send, if the event was a request.
    pub(crate) fn handle(self: &Arc<Self>, event: GossipEvent) -> Option<ConfigMessage> {
        let mut actions = Vec::new();
        let activated = {
            let mut state = self.lock();
            let before = state.gossip.version();
            let could_admit = state.gossip.may_admit(self.clock.now());
            state.gossip.handle(self.clock.now(), event, &mut actions);
            if could_admit && !state.gossip.may_admit(self.clock.now()) {
                self.metrics.pauses.inc();
            }
            let active = state.gossip.active();
            active
                .filter(|active| active.version > before)
                .map(|active| (active.version, active.declared.clone()))
        };
        if let Some((version, declared)) = activated {
            self.activate_config(version, declared);
        }
        let mut reply = None;
        for action in actions {
            match action {
                GossipAction::Reply(message) => reply = Some(message),
                GossipAction::Activated(_) => {}
                GossipAction::Exchange { seq, peer, message } => {
                    self.spawn(|control| control.exchange(seq, peer, message));
                }
                GossipAction::ReadHead(seq) => self.spawn(|control| control.read_head(seq)),
                GossipAction::ReadContent(seq) => {
                    self.spawn(|control| control.read_content(seq));
                }
            }
        }
        let _ = self.wake_tx.try_send(());
        reply
    }

    fn spawn<F: Future<Output = ()> + Send + 'static>(
        self: &Arc<Self>,
        task: impl FnOnce(Arc<Self>) -> F,
    ) {
        self.parts.executor.detach(task(self.clone()));
    }

    fn activate_config(self: &Arc<Self>, version: ConfigVersion, declared: Arc<Declarations>) {
        let now = self.clock.now();
        let (domain_changes, members) = {
            let mut state = self.lock();
            let event = MembershipEvent::Configured(declared.clone());
            state.membership.handle(now, event);
            let members = state.membership.members(now);
            (state.domains.configure(now, &declared), members)
        };
        let before = self.parts.view.get().members.clone();
        if !self
            .parts
            .view
            .set_config(version, declared, members.clone())
        {
            return;
        }
        info!(self.parts.log, "config: in force"; "version" => version);
        self.record(EventKind::ConfigInForce(version));
        for change in domain_changes {
            self.record(match change {
                DomainChange::TakenOut(domain) => EventKind::DomainOut(domain),
                DomainChange::BroughtBack(domain) => EventKind::DomainIn(domain),
            });
        }
        self.announce_members(&before, &members);
    }

    async fn exchange(self: Arc<Self>, seq: RequestSeq, peer: NodeId, mut message: ConfigMessage) {
        self.add_own_sighting(&mut message);
        let members = self.parts.view.get().members.clone();
        let reply = match members.nodes.get(&peer) {
            Some(member) => self.request_reply(&peer, member.address, message).await,
            None => None,
        };
        match reply {
            Some(message) => {
                self.count_message("in", &message);
                self.update_membership(MembershipEvent::Answered(peer));
                self.apply_sender_sighting(&message);
                self.handle(GossipEvent::Response { seq, message });
            }
            None => {
                self.metrics.unanswered.inc();
                self.update_membership(MembershipEvent::Unreachable(peer.clone()));
                self.handle(GossipEvent::Unreachable(peer));
            }
        }
    }

    async fn request_reply(
        &self,
        peer: &NodeId,
        address: SocketAddr,
        message: ConfigMessage,
    ) -> Option<ConfigMessage> {
        self.count_message("out", &message);
        let stamp = self.parts.timeline.stamp();
        let opening = StreamOpening::Config { stamp, message };
        let exchange = async {
            let opened = self.parts.link.open(address, role_of(peer), &opening).await;
            let (mut tx, mut rx) = opened?;
            tx.finish();
            rx.receive::<ConfigMessage>().await
        };
        match timeout(EXCHANGE_TIMEOUT, exchange).await {
            Ok(Ok(Some(reply))) if reply.summary.node == *peer => return Some(reply),
            Ok(Ok(_)) => {
                debug!(self.parts.log, "config: peer sent no valid reply"; "peer" => &**peer);
            }
            Ok(Err(err)) => debug!(self.parts.log, "config: exchange failed"; "err" => %err),
            Err(_) => {
                debug!(self.parts.log, "config: peer did not reply in time"; "peer" => &**peer);
                // A slow reply does not prove that the peer is lost: requests on the link go on.
                self.parts.link.retire_connection(address);
            }
        }
        None
    }

    pub(crate) fn update_membership(self: &Arc<Self>, event: MembershipEvent) {
        let now = self.clock.now();
        self.lock().membership.handle(now, event);
        self.publish_members();
    }

    /// Publishes the membership in the view.
    fn publish_members(self: &Arc<Self>) {
        let members = self.lock().membership.members(self.clock.now());
        let before = self.parts.view.get().members.clone();
        self.parts.view.set_members(members.clone());
        self.announce_members(&before, &members);
    }

    /// Records which nodes went down or came up, and passes the new set of peers to the gossip state
    /// if nodes were added or removed.
    fn announce_members(self: &Arc<Self>, before: &Members, members: &Members) {
        for (node, member) in &members.nodes {
            let was_down = before.nodes.get(node).map(|member| member.down);
            if was_down != Some(member.down) {
                self.record(if member.down {
                    EventKind::NodeDown(node.clone())
                } else {
                    EventKind::NodeUp(node.clone())
                });
            }
        }
        if !before.nodes.keys().eq(members.nodes.keys()) {
            let peers = members.nodes.keys().cloned().collect();
            self.handle(GossipEvent::Peers(peers));
        }
    }

    fn record_peer_name(&self, peer: &Peer, node: &NodeId) {
        let mut state = self.lock();
        if state.nodes_by_peer_name.len() >= MAX_PEER_NAMES {
            state.nodes_by_peer_name.clear();
        }
        state
            .nodes_by_peer_name
            .insert(peer.node.clone(), node.clone());
    }

    /// Accepts only the sighting that the sender gives of itself.
    fn apply_sender_sighting(self: &Arc<Self>, message: &ConfigMessage) {
        let sender = &message.summary.node;
        let sent = message
            .sightings
            .iter()
            .find(|sighting| sighting.node == *sender);
        if let Some(sighting) = sent {
            self.update_membership(MembershipEvent::Seen(sighting.clone()));
        }
    }

    /// Adds the sighting of this node only, and only if peers can use its address.
    fn add_own_sighting(&self, message: &mut ConfigMessage) {
        if self.own_sighting.address.ip().is_unspecified() {
            return;
        }
        message.sightings.push(NodeSighting {
            config: message.summary.version,
            leaving: self.leaving.load(Ordering::Relaxed),
            ..self.own_sighting.clone()
        });
    }

    fn count_message(&self, direction: &str, message: &ConfigMessage) {
        let bytes = encode(message).map_or(0, |frame| frame.len() as u64);
        self.metrics.messages.with_label_values(&[direction]).inc();
        self.metrics
            .bytes
            .with_label_values(&[direction])
            .inc_by(bytes);
    }

    fn record(&self, kind: EventKind) {
        self.parts.timeline.record(kind, None, None, None, "");
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Role of a node, from its name in the membership: `<host>/gateway` or `<host>/agent`. Any other
/// name counts as a gateway.
pub fn role_of(node: &str) -> Role {
    if node.ends_with(AGENT_SUFFIX) {
        Role::Agent
    } else {
        Role::Gateway
    }
}
