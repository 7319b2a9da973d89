//! Distributes committed configurations to all nodes by gossip. The active version never decreases.
//!
//! Each node keeps a few neighbours, selected by hashing so that they rarely change. A new version
//! is pushed to them as a list of changes. An exchange of version summaries every few seconds finds
//! what a push missed, and an infrequent poll of the table service is the fallback.

use crate::active_config::{ActiveConfig, PartAssembler};
use crate::gossip_event::{GossipAction, GossipConfig, GossipEvent, RequestSeq, Unconfirmed};
use crate::neighbours::Neighbours;
use declarations::Declarations;
use proto::prelude::*;
use proto::{ConfigChange, ConfigContent, ConfigMessage, ConfigSummary, ConfigWant};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// State machine of one node in the gossip of configurations.
#[derive(Debug)]
pub struct ConfigGossip {
    cfg: GossipConfig,
    rng: SmallRng,
    active: Option<ActiveConfig>,
    neighbours: Neighbours,
    peer_versions: BTreeMap<NodeId, ConfigVersion>,
    started_at: Duration,
    responders: BTreeSet<NodeId>,
    /// Highest version heard of; this node may lack its content.
    highest_version: ConfigVersion,
    highest_holder: Option<NodeId>,
    store_has_highest: bool,
    behind_since: Option<Duration>,
    incoming: PartAssembler,
    pending_pull: Option<RequestSeq>,
    unconfirmed: Option<Unconfirmed>,
    last_seq: RequestSeq,
    now: Duration,
    next_exchange: Duration,
    next_poll: Duration,
    next_retry: Option<Duration>,
}

impl ConfigGossip {
    /// Creates the state of a node that starts at `now` without a configuration or peers.
    pub fn new(now: Duration, cfg: GossipConfig) -> Self {
        let rng = SmallRng::seed_from_u64(cfg.seed ^ xxh3_64(cfg.node.as_bytes()));
        let neighbours = Neighbours::new(cfg.node.clone(), cfg.neighbours);
        Self {
            cfg,
            rng,
            active: None,
            neighbours,
            peer_versions: BTreeMap::new(),
            started_at: now,
            responders: BTreeSet::new(),
            highest_version: 0,
            highest_holder: None,
            store_has_highest: false,
            behind_since: None,
            incoming: PartAssembler::default(),
            pending_pull: None,
            unconfirmed: None,
            last_seq: 0,
            now,
            next_exchange: now,
            next_poll: now,
            next_retry: None,
        }
    }

    /// The active configuration; `None` if the node has none yet, in which case it admits no work.
    pub fn active(&self) -> Option<&ActiveConfig> {
        self.active.as_ref()
    }

    /// The active version, or zero if there is none.
    pub fn version(&self) -> ConfigVersion {
        self.active.as_ref().map_or(0, |active| active.version)
    }

    /// Whether work may be admitted under the active version.
    ///
    /// False if there is none, after a pause until it is confirmed, and while a newer one is known
    /// but not received. The last two hold only for [`GossipConfig::isolation_timeout`], so that an
    /// isolated node resumes work.
    pub fn may_admit(&self, now: Duration) -> bool {
        let is_waiting = |since: Duration| now < since + self.cfg.isolation_timeout;
        let was_paused = now > self.next_wakeup() + self.cfg.max_wakeup_delay;
        self.version() > 0
            && !was_paused
            && !self
                .unconfirmed
                .is_some_and(|pause| is_waiting(pause.since))
            && !self.behind_since.is_some_and(is_waiting)
    }

    /// The time by which [`GossipEvent::Tick`] must be delivered.
    pub fn next_wakeup(&self) -> Duration {
        let due = self.next_exchange.min(self.next_poll);
        self.next_retry.map_or(due, |retry| due.min(retry))
    }

    /// Handles an event at time `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Duration, event: GossipEvent, out: &mut Vec<GossipAction>) {
        self.now = now;
        self.detect_pause(out);
        match event {
            GossipEvent::Peers(peers) => self.set_peers(peers),
            GossipEvent::Request(message) => self.on_request(&message, out),
            GossipEvent::Response { seq, message } => self.on_response(seq, &message, out),
            GossipEvent::Unreachable(peer) => self.on_unreachable(peer, out),
            GossipEvent::PeerVersion { from, version } => self.on_version(from.as_ref(), version),
            GossipEvent::StoreHead { seq, version } => self.on_store_head(seq, version),
            GossipEvent::StoreContent {
                seq,
                version,
                declared,
            } => {
                self.on_full_content(version, *declared, None, out);
                self.confirm(seq, version);
            }
            GossipEvent::StoreFailed | GossipEvent::Tick => {}
        }
        self.request_newer(out);
        self.run_timers(out);
    }

    fn detect_pause(&mut self, out: &mut Vec<GossipAction>) {
        let was_paused = self.now > self.next_wakeup() + self.cfg.max_wakeup_delay;
        if !was_paused || self.active.is_none() {
            return;
        }
        self.pending_pull = None;
        self.unconfirmed = Some(Unconfirmed {
            since: self.now,
            first_seq: self.last_seq + 1,
        });
        self.next_retry = Some(self.now + self.cfg.retry_interval);
        self.query_random_peers(ConfigWant::Newer, out);
        self.read_head(out);
    }

    fn set_peers(&mut self, peers: Vec<NodeId>) {
        self.neighbours.set_peers(self.now, peers);
        let peers: BTreeSet<&NodeId> = self.neighbours.peers().iter().collect();
        self.peer_versions.retain(|peer, _| peers.contains(peer));
    }

    fn on_request(&mut self, message: &ConfigMessage, out: &mut Vec<GossipAction>) {
        self.on_message(message, out);
        let content = match (&self.active, message.want) {
            (Some(active), ConfigWant::Newer) => active.newer_than(message.summary.version),
            (Some(active), ConfigWant::Part { version, offset }) => {
                active.part(if version == active.version { offset } else { 0 })
            }
            _ => ConfigContent::Empty,
        };
        let reply = self.build_message(ConfigWant::Summary, content);
        out.push(GossipAction::Reply(reply));
    }

    fn on_response(
        &mut self,
        seq: RequestSeq,
        message: &ConfigMessage,
        out: &mut Vec<GossipAction>,
    ) {
        let from = message.summary.node.clone();
        self.responders.insert(from.clone());
        self.on_message(message, out);
        if message.summary.confirmed {
            self.confirm(seq, message.summary.version);
        }
        if let Some((version, offset)) = self.incoming.progress()
            && matches!(message.content, ConfigContent::Part { .. })
        {
            self.pull_from(from, ConfigWant::Part { version, offset }, out);
        }
    }

    fn on_message(&mut self, message: &ConfigMessage, out: &mut Vec<GossipAction>) {
        let from = &message.summary.node;
        self.neighbours.clear_failure(from);
        self.peer_versions
            .insert(from.clone(), message.summary.version);
        match &message.content {
            ConfigContent::Empty => {}
            ConfigContent::Changes(changes) => self.on_changes(changes, from, out),
            ConfigContent::Part {
                version,
                offset,
                total,
                data,
            } => {
                let complete = self.incoming.add(*version, *offset, *total, data);
                if let Some((version, declared)) = complete {
                    self.on_full_content(version, declared, Some(from), out);
                }
            }
        }
        self.on_version(Some(from), message.summary.version);
    }

    fn on_changes(&mut self, changes: &[ConfigChange], from: &NodeId, out: &mut Vec<GossipAction>) {
        let active = self.active.as_ref();
        if let Some(next) = active.and_then(|active| active.with_changes(changes)) {
            self.activate(next, Some(from), out);
        }
    }

    fn on_full_content(
        &mut self,
        version: ConfigVersion,
        declared: Declarations,
        from: Option<&NodeId>,
        out: &mut Vec<GossipAction>,
    ) {
        if version <= self.version() {
            return;
        }
        let next = match &self.active {
            Some(active) => active.replaced_by(version, declared),
            None => ActiveConfig::new(version, declared),
        };
        if let Some(next) = next {
            self.activate(next, from, out);
        }
    }

    fn activate(&mut self, next: ActiveConfig, from: Option<&NodeId>, out: &mut Vec<GossipAction>) {
        let version = next.version;
        self.highest_version = self.highest_version.max(version);
        self.active = Some(next);
        out.push(GossipAction::Activated(version));
        self.push_to_neighbours(from.as_slice(), out);
    }

    /// Pushes to the neighbours that are not known to have the active version, except `except`.
    fn push_to_neighbours(&mut self, except: &[&NodeId], out: &mut Vec<GossipAction>) {
        let version = self.version();
        for peer in self.neighbours.selected().to_vec() {
            let is_behind = self.peer_versions.get(&peer).is_none_or(|v| *v < version);
            if is_behind && !except.contains(&&peer) {
                self.push(peer, out);
            }
        }
    }

    /// Sends a summary, with the changes that the peer lacks if they are small.
    fn push(&mut self, peer: NodeId, out: &mut Vec<GossipAction>) {
        let known = self.peer_versions.get(&peer).copied();
        let changes = self.active.as_ref().and_then(|active| match known {
            Some(version) => active.changes_since(version),
            None => active.last_change(),
        });
        let small = changes.filter(|changes| {
            let bytes: usize = changes.iter().map(|change| change.change.len()).sum();
            bytes <= self.cfg.max_push_bytes
        });
        let content = small.map_or(ConfigContent::Empty, ConfigContent::Changes);
        let message = self.build_message(ConfigWant::Newer, content);
        self.start_exchange(peer, message, out);
    }

    fn on_version(&mut self, from: Option<&NodeId>, version: ConfigVersion) {
        if version > self.highest_version {
            self.highest_version = version;
            self.store_has_highest = false;
            self.highest_holder = None;
        }
        if version == self.highest_version && self.highest_holder.is_none() && from.is_some() {
            self.highest_holder = from.cloned();
            self.pending_pull = None;
        }
    }

    fn on_store_head(&mut self, seq: RequestSeq, version: ConfigVersion) {
        self.confirm(seq, version);
        if version > self.highest_version {
            self.highest_version = version;
            self.highest_holder = None;
        }
        self.store_has_highest = version == self.highest_version;
    }

    /// Confirms the active version if a response to a request after the pause has no newer one.
    fn confirm(&mut self, seq: RequestSeq, version: ConfigVersion) {
        let is_current = version > 0 && version <= self.version();
        let since_pause = |pause: &Unconfirmed| seq >= pause.first_seq;
        if is_current && self.unconfirmed.as_ref().is_some_and(since_pause) {
            self.unconfirmed = None;
        }
    }

    /// Requests the content of a newer version if one is known, from one source at a time.
    fn request_newer(&mut self, out: &mut Vec<GossipAction>) {
        if self.highest_version <= self.version() {
            self.behind_since = None;
            self.pending_pull = None;
            return;
        }
        self.behind_since.get_or_insert(self.now);
        if self.pending_pull.is_some() || !self.is_ready_to_pull() {
            return;
        }
        let neighbour = self.neighbours.selected().choose(&mut self.rng).cloned();
        match self.highest_holder.clone().or(neighbour) {
            Some(peer) => self.pull_from(peer, ConfigWant::Newer, out),
            None => self.read_content(out),
        }
    }

    /// A node without a configuration first waits for several peers, to take the highest version.
    fn is_ready_to_pull(&self) -> bool {
        let enough = self.cfg.bootstrap_peers.min(self.neighbours.peers().len());
        self.active.is_some()
            || self.responders.len() >= enough
            || self.now >= self.started_at + self.cfg.bootstrap_timeout
    }

    fn on_unreachable(&mut self, peer: NodeId, out: &mut Vec<GossipAction>) {
        if self.highest_holder.as_ref() == Some(&peer) {
            self.highest_holder = None;
        }
        let backoff = self.jittered(self.cfg.failure_backoff);
        let before = self.neighbours.selected().to_vec();
        self.neighbours.exclude(self.now, peer, self.now + backoff);
        self.push_to_neighbours(&before.iter().collect::<Vec<_>>(), out);
    }

    fn run_timers(&mut self, out: &mut Vec<GossipAction>) {
        if self.next_exchange <= self.now {
            self.next_exchange = self.now + self.jittered(self.cfg.exchange_interval);
            self.neighbours.reselect(self.now);
            if let Some(peer) = self.neighbours.selected().choose(&mut self.rng).cloned() {
                self.push(peer, out);
            }
        }
        if self.next_poll <= self.now {
            self.next_poll =
                self.now + self.jittered(self.cfg.poll_interval(self.neighbours.peers().len() + 1));
            self.read_head(out);
        }
        let is_missing = self.active.is_none() && !self.neighbours.peers().is_empty();
        if is_missing || self.behind_since.is_some() || self.unconfirmed.is_some() {
            let due = *self.next_retry.get_or_insert(self.now);
            if due <= self.now {
                self.next_retry = Some(self.now + self.jittered(self.cfg.retry_interval));
                self.retry(out);
            }
        } else {
            self.next_retry = None;
        }
    }

    fn retry(&mut self, out: &mut Vec<GossipAction>) {
        let oldest = self.now.saturating_sub(self.cfg.isolation_timeout);
        self.unconfirmed.take_if(|pause| pause.since <= oldest);
        self.pending_pull = None;
        if self.behind_since.is_some() {
            self.highest_holder = None;
            if self.store_has_highest && self.draws_content_read() {
                self.read_content(out);
            } else {
                self.request_newer(out);
            }
        }
        if self.active.is_none() {
            self.query_random_peers(ConfigWant::Summary, out);
        } else if self.unconfirmed.is_some() {
            self.query_random_peers(ConfigWant::Newer, out);
        }
    }

    /// Draws whether this node reads the full content from the table service. Few nodes do at once;
    /// the others get it from them. The probability rises with the time that this node is behind.
    fn draws_content_read(&mut self) -> bool {
        let share = self.cfg.content_readers as f64 / (self.neighbours.peers().len() + 1) as f64;
        let behind = self.behind_since.map_or(0.0, |since| {
            let waited = self.now.saturating_sub(since);
            waited.as_secs_f64() / self.cfg.content_read_deadline.as_secs_f64()
        });
        self.rng.random_bool(share.max(behind).min(1.0))
    }

    fn query_random_peers(&mut self, want: ConfigWant, out: &mut Vec<GossipAction>) {
        let count = self.cfg.bootstrap_peers;
        let chosen = self
            .neighbours
            .peers()
            .choose_multiple(&mut self.rng, count);
        for peer in chosen.cloned().collect::<Vec<_>>() {
            let message = self.build_message(want, ConfigContent::Empty);
            self.start_exchange(peer, message, out);
        }
    }

    fn pull_from(&mut self, peer: NodeId, want: ConfigWant, out: &mut Vec<GossipAction>) {
        let message = self.build_message(want, ConfigContent::Empty);
        self.pending_pull = Some(self.start_exchange(peer, message, out));
        self.next_retry = Some(self.now + self.cfg.retry_interval);
    }

    fn start_exchange(
        &mut self,
        peer: NodeId,
        message: ConfigMessage,
        out: &mut Vec<GossipAction>,
    ) -> RequestSeq {
        let seq = self.next_seq();
        out.push(GossipAction::Exchange { seq, peer, message });
        seq
    }

    fn read_head(&mut self, out: &mut Vec<GossipAction>) {
        let seq = self.next_seq();
        out.push(GossipAction::ReadHead(seq));
    }

    fn read_content(&mut self, out: &mut Vec<GossipAction>) {
        let seq = self.next_seq();
        out.push(GossipAction::ReadContent(seq));
        self.pending_pull = Some(seq);
    }

    fn next_seq(&mut self) -> RequestSeq {
        self.last_seq += 1;
        self.last_seq
    }

    fn jittered(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(self.rng.random_range(0.5..1.5))
    }

    fn build_message(&self, want: ConfigWant, content: ConfigContent) -> ConfigMessage {
        let summary = ConfigSummary {
            node: self.cfg.node.clone(),
            version: self.version(),
            confirmed: self.unconfirmed.is_none(),
        };
        ConfigMessage {
            summary,
            want,
            content,
            sightings: Vec::new(),
        }
    }
}
