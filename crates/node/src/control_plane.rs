//! Keeps a node's configuration and membership up to date, over links and the platform.

use crate::control_metrics::ControlMetrics;
use crate::node_settings::NodeSettings;
use crate::view::SharedClusterView;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use declarations::Declarations;
use platform::{HostList, TableService};
use policy::{
    ConfigGossip, DomainChange, DomainRampConfig, DomainTracker, GossipAction, GossipConfig,
    GossipEvent, Membership, MembershipConfig, MembershipEvent, RequestSeq,
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

const EXCHANGE_TIME: Duration = Duration::from_secs(1);
const ADMIT_CHECK: Duration = Duration::from_millis(5);
const MAX_ALIASES: usize = 4096;
const AGENT_SUFFIX: &str = "/agent";

/// What a [`ControlPlane`] works with.
#[derive(Debug)]
pub struct ControlPlaneParts<P> {
    /// Runs its tasks.
    pub executor: Executor,
    /// Reaches peers.
    pub link: Arc<LinkEndpoint>,
    /// The platform.
    pub platform: P,
    /// Where results go.
    pub view: Arc<SharedClusterView>,
    /// The time line.
    pub timeline: Arc<Timeline>,
    /// The log.
    pub log: Logger,
}

#[derive(Debug)]
struct State {
    spread: ConfigGossip,
    membership: Membership,
    moves: DomainTracker,
    /// Members by the name in their certificates, of those that have spoken.
    aliases: BTreeMap<Box<str>, NodeId>,
}

/// Keeps a node's configuration and membership up to date.
#[derive(Debug)]
pub struct ControlPlane<P> {
    pub(crate) parts: ControlPlaneParts<P>,
    own: NodeSighting,
    leaving: AtomicBool,
    pub(crate) cfg: GossipConfig,
    pub(crate) metrics: ControlMetrics,
    clock: Clock,
    state: Mutex<State>,
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
}

impl<P: TableService + HostList> ControlPlane<P> {
    /// ControlPlane of one node, which knows nothing yet. `server` is an agent's backend server.
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
            spread: ConfigGossip::new(clock.now(), cfg.clone()),
            membership: Membership::new(MembershipConfig::default()),
            moves: DomainTracker::new(DomainRampConfig::default()),
            aliases: BTreeMap::new(),
        };
        let own = NodeSighting {
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
            own,
            leaving: AtomicBool::new(false),
            cfg,
            metrics: ControlMetrics::new(registry)?,
            clock,
            state: Mutex::new(state),
            wake_tx,
            wake_rx,
        })
    }

    /// Runs for ever.
    pub async fn run(self: Arc<Self>) {
        let hosts = self.clone();
        self.parts
            .executor
            .detach(async move { hosts.follow_hosts().await });
        loop {
            let due = self.lock().spread.next_wakeup();
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

    /// Answers an exchange that a peer opened.
    pub async fn handle_exchange(
        self: &Arc<Self>,
        peer: &Peer,
        message: ConfigMessage,
        mut tx: FrameSender,
    ) {
        if role_of(&message.summary.node) != peer.role {
            warn!(self.parts.log, "config: message in another's role"; "peer" => &*peer.node);
            return tx.cancel();
        }
        self.note_alias(peer, &message.summary.node);
        self.count("in", &message);
        self.take_sightings(&message);
        if let Some(mut reply) = self.handle(GossipEvent::Request(message)) {
            self.add_sighting(&mut reply);
            self.count("out", &reply);
            if tx.send(&reply).await.is_ok() {
                tx.finish();
            }
        }
    }

    /// Takes note of the version that another message of a member told.
    pub fn observe_version(self: &Arc<Self>, from: Option<&NodeId>, version: ConfigVersion) {
        if self.cfg.neighbours > 0 && version > self.parts.view.get().version {
            let from = from.cloned();
            self.handle(GossipEvent::PeerVersion { from, version });
        }
    }

    /// Takes note of the version that a message of a connected peer told.
    pub fn observe_peer_version(self: &Arc<Self>, peer: &Peer, version: ConfigVersion) {
        let member = self.lock().aliases.get(&peer.node).cloned();
        self.observe_version(member.as_ref(), version);
    }

    /// Takes a configuration into force that this node committed, and spreads it.
    pub fn apply_committed(self: &Arc<Self>, version: ConfigVersion, declared: Declarations) {
        self.handle(GossipEvent::StoreContent {
            seq: 0,
            version,
            declared: Box::new(declared),
        });
    }

    /// Whether work may be admitted now by the configuration in force.
    pub fn may_admit(&self) -> bool {
        self.lock().spread.may_admit(self.clock.now())
    }

    /// Waits for at most `limit` until work may be admitted; tells whether it may.
    pub async fn wait_until_admitting(&self, limit: Duration) -> bool {
        let end = self.clock.now() + limit;
        while !self.may_admit() {
            if self.clock.now() >= end {
                return false;
            }
            Timer::after(ADMIT_CHECK).await;
        }
        true
    }

    /// Share of its usual work that a failure domain is to get now, from zero to one.
    pub fn domain_traffic_share(&self, domain: &str) -> f64 {
        self.lock().moves.traffic_share(self.clock.now(), domain)
    }

    /// Tells peers from now on that this node leaves.
    pub fn announce_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Name of this node among the members.
    pub fn node(&self) -> &NodeId {
        &self.own.node
    }

    /// The platform.
    pub fn platform(&self) -> &P {
        &self.parts.platform
    }

    /// Gives the spread an event and carries out its actions; gives the reply, if there is one.
    pub(crate) fn handle(self: &Arc<Self>, event: GossipEvent) -> Option<ConfigMessage> {
        let mut actions = Vec::new();
        let in_force = {
            let mut state = self.lock();
            let before = state.spread.version();
            let could_admit = state.spread.may_admit(self.clock.now());
            state.spread.handle(self.clock.now(), event, &mut actions);
            if could_admit && !state.spread.may_admit(self.clock.now()) {
                self.metrics.pauses.inc();
            }
            let held = state.spread.active();
            held.filter(|held| held.version > before)
                .map(|held| (held.version, held.declared.clone()))
        };
        if let Some((version, declared)) = in_force {
            self.put_in_force(version, declared);
        }
        let mut reply = None;
        for action in actions {
            match action {
                GossipAction::Reply(message) => reply = Some(message),
                GossipAction::Activated(_) => {}
                GossipAction::Exchange { seq, peer, message } => {
                    self.start(|control| control.exchange(seq, peer, message))
                }
                GossipAction::ReadHead(seq) => self.start(|control| control.read_head(seq)),
                GossipAction::ReadContent(seq) => {
                    self.start(|control| control.read_content(seq));
                }
            }
        }
        let _ = self.wake_tx.try_send(());
        reply
    }

    fn start<F: Future<Output = ()> + Send + 'static>(
        self: &Arc<Self>,
        task: impl FnOnce(Arc<Self>) -> F,
    ) {
        self.parts.executor.detach(task(self.clone()));
    }

    fn put_in_force(self: &Arc<Self>, version: ConfigVersion, declared: Arc<Declarations>) {
        let moves = {
            let mut state = self.lock();
            let event = MembershipEvent::Configured(declared.clone());
            state.membership.handle(self.clock.now(), event);
            state.moves.configure(self.clock.now(), &declared)
        };
        if !self.parts.view.set_config(version, declared) {
            return;
        }
        info!(self.parts.log, "config: in force"; "version" => version);
        self.record(EventKind::ConfigInForce(version));
        for moved in moves {
            self.record(match moved {
                DomainChange::TakenOut(domain) => EventKind::DomainOut(domain),
                DomainChange::BroughtBack(domain) => EventKind::DomainIn(domain),
            });
        }
        self.publish_members();
    }

    async fn exchange(self: Arc<Self>, seq: RequestSeq, peer: NodeId, mut message: ConfigMessage) {
        self.add_sighting(&mut message);
        let members = self.parts.view.get().members.clone();
        let answer = match members.nodes.get(&peer) {
            Some(member) => self.ask(&peer, member.address, message).await,
            None => None,
        };
        match answer {
            Some(message) => {
                self.count("in", &message);
                self.on_member(MembershipEvent::Answered(peer));
                self.take_sightings(&message);
                self.handle(GossipEvent::Response { seq, message });
            }
            None => {
                self.metrics.unanswered.inc();
                self.on_member(MembershipEvent::Unreachable(peer.clone()));
                self.handle(GossipEvent::Unreachable(peer));
            }
        }
    }

    async fn ask(
        &self,
        peer: &NodeId,
        address: SocketAddr,
        message: ConfigMessage,
    ) -> Option<ConfigMessage> {
        self.count("out", &message);
        let stamp = self.parts.timeline.stamp();
        let opening = StreamOpening::Config { stamp, message };
        let exchange = async {
            let opened = self.parts.link.open(address, role_of(peer), &opening).await;
            let (mut tx, mut rx) = opened?;
            tx.finish();
            rx.receive::<ConfigMessage>().await
        };
        match timeout(EXCHANGE_TIME, exchange).await {
            Ok(Ok(Some(answer))) if answer.summary.node == *peer => return Some(answer),
            Ok(Ok(_)) => debug!(self.parts.log, "config: peer gave no answer"; "peer" => &**peer),
            Ok(Err(err)) => debug!(self.parts.log, "config: exchange failed"; "err" => %err),
            Err(_) => {
                debug!(self.parts.log, "config: peer did not answer"; "peer" => &**peer);
                self.parts.link.disconnect(address);
            }
        }
        None
    }

    pub(crate) fn on_member(self: &Arc<Self>, event: MembershipEvent) {
        let now = self.clock.now();
        self.lock().membership.handle(now, event);
        self.publish_members();
    }

    /// Puts the membership into the view, and tells the spread where it has other nodes.
    fn publish_members(self: &Arc<Self>) {
        let members = self.lock().membership.members(self.clock.now());
        let before = self.parts.view.get().members.clone();
        let same_nodes = before.nodes.keys().eq(members.nodes.keys());
        let peers: Vec<NodeId> = members.nodes.keys().cloned().collect();
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
        self.parts.view.set_members(members);
        if !same_nodes {
            self.handle(GossipEvent::Peers(peers));
        }
    }

    fn note_alias(&self, peer: &Peer, member: &NodeId) {
        let mut state = self.lock();
        if state.aliases.len() >= MAX_ALIASES {
            state.aliases.clear();
        }
        state.aliases.insert(peer.node.clone(), member.clone());
    }

    fn take_sightings(self: &Arc<Self>, message: &ConfigMessage) {
        let speaker = &message.summary.node;
        let own = message
            .sightings
            .iter()
            .find(|sighting| sighting.node == *speaker);
        if let Some(sighting) = own {
            self.on_member(MembershipEvent::Seen(sighting.clone()));
        }
    }

    /// A node speaks for itself only; with an address that others can use.
    fn add_sighting(&self, message: &mut ConfigMessage) {
        if self.own.address.ip().is_unspecified() {
            return;
        }
        message.sightings.push(NodeSighting {
            config: message.summary.version,
            leaving: self.leaving.load(Ordering::Relaxed),
            ..self.own.clone()
        });
    }

    fn count(&self, direction: &str, message: &ConfigMessage) {
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

/// Role of a node, by its name: `<host>/gateway` or `<host>/agent`.
pub fn role_of(node: &str) -> Role {
    if node.ends_with(AGENT_SUFFIX) {
        Role::Agent
    } else {
        Role::Gateway
    }
}
