//! How a committed configuration reaches every node, and which version a node goes by.
//!
//! Each node keeps a few neighbours, chosen by hashing so that links last. A new version floods
//! over them as differences; an exchange of summaries every few seconds finds what a push missed,
//! and a slow poll of the store is the backstop. A version never goes back.

use crate::neighbours::Neighbours;
use crate::spread_content::{ActiveConfig, PartAssembler};
use crate::spread_event::{GossipAction, GossipConfig, GossipEvent, RequestSeq, Unconfirmed};
use declarations::Declarations;
use proto::prelude::*;
use proto::{ConfigChange, ConfigContent, ConfigMessage, ConfigSummary, ConfigWant};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Spreads configurations.
#[derive(Debug)]
pub struct ConfigGossip {
    cfg: GossipConfig,
    rng: SmallRng,
    active: Option<ActiveConfig>,
    neighbours: Neighbours,
    known: BTreeMap<NodeId, ConfigVersion>,
    started: Duration,
    answered: BTreeSet<NodeId>,
    highest: ConfigVersion,
    holder: Option<NodeId>,
    store_has_highest: bool,
    behind_since: Option<Duration>,
    parts: PartAssembler,
    pull: Option<RequestSeq>,
    unconfirmed: Option<Unconfirmed>,
    last_seq: RequestSeq,
    now: Duration,
    next_exchange: Duration,
    next_poll: Duration,
    next_retry: Option<Duration>,
}

impl ConfigGossip {
    /// A node that knows nothing, started at `now`.
    pub fn new(now: Duration, cfg: GossipConfig) -> Self {
        let rng = SmallRng::seed_from_u64(cfg.seed ^ xxh3_64(cfg.node.as_bytes()));
        let neighbours = Neighbours::new(cfg.node.clone(), cfg.neighbours);
        Self {
            cfg,
            rng,
            active: None,
            neighbours,
            known: BTreeMap::new(),
            started: now,
            answered: BTreeSet::new(),
            highest: 0,
            holder: None,
            store_has_highest: false,
            behind_since: None,
            parts: PartAssembler::default(),
            pull: None,
            unconfirmed: None,
            last_seq: 0,
            now,
            next_exchange: now,
            next_poll: now,
            next_retry: None,
        }
    }

    /// The declarations in force; none where the node may admit nothing.
    pub fn active(&self) -> Option<&ActiveConfig> {
        self.active.as_ref()
    }

    /// The version in force, zero where there is none.
    pub fn version(&self) -> ConfigVersion {
        self.active.as_ref().map_or(0, |active| active.version)
    }

    /// Whether work may be admitted by the version in force.
    ///
    /// Not without one, nor just after a pause, nor while a newer one is on its way; the last two
    /// only for [`GossipConfig::isolation_timeout`], from which an isolated node goes on.
    pub fn may_admit(&self, now: Duration) -> bool {
        let is_waiting = |since: Duration| now < since + self.cfg.isolation_timeout;
        let was_paused = now > self.next_wakeup() + self.cfg.max_wakeup_delay;
        self.version() > 0
            && !was_paused
            && !self
                .unconfirmed
                .is_some_and(|unconfirmed| is_waiting(unconfirmed.since))
            && !self.behind_since.is_some_and(is_waiting)
    }

    /// When [`GossipEvent::Tick`] is due at the latest.
    pub fn next_wakeup(&self) -> Duration {
        let due = self.next_exchange.min(self.next_poll);
        self.next_retry.map_or(due, |retry| due.min(retry))
    }

    /// Takes an event and appends actions to `out`.
    pub fn handle(&mut self, now: Duration, event: GossipEvent, out: &mut Vec<GossipAction>) {
        self.now = now;
        self.notice_pause(out);
        match event {
            GossipEvent::Peers(peers) => self.set_peers(peers),
            GossipEvent::Request(message) => self.on_asked(&message, out),
            GossipEvent::Response { seq, message } => self.on_answered(seq, &message, out),
            GossipEvent::Unreachable(peer) => self.on_unreachable(peer, out),
            GossipEvent::PeerVersion { from, version } => self.on_heard(from.as_ref(), version),
            GossipEvent::StoreHead { seq, version } => self.on_head(seq, version),
            GossipEvent::StoreContent {
                seq,
                version,
                declared,
            } => {
                self.on_whole(version, *declared, None, out);
                self.confirm(seq, version);
            }
            GossipEvent::StoreFailed | GossipEvent::Tick => {}
        }
        self.seek_newer(out);
        self.on_time(out);
    }

    fn notice_pause(&mut self, out: &mut Vec<GossipAction>) {
        let was_paused = self.now > self.next_wakeup() + self.cfg.max_wakeup_delay;
        if !was_paused || self.active.is_none() {
            return;
        }
        self.pull = None;
        self.unconfirmed = Some(Unconfirmed {
            since: self.now,
            first_seq: self.last_seq + 1,
        });
        self.next_retry = Some(self.now + self.cfg.retry_interval);
        self.ask_several(ConfigWant::Newer, out);
        self.read_head(out);
    }

    fn set_peers(&mut self, peers: Vec<NodeId>) {
        self.neighbours.set_peers(self.now, peers);
        let peers: BTreeSet<&NodeId> = self.neighbours.peers().iter().collect();
        self.known.retain(|peer, _| peers.contains(peer));
    }

    fn on_asked(&mut self, message: &ConfigMessage, out: &mut Vec<GossipAction>) {
        self.on_message(message, out);
        let content = match (&self.active, message.want) {
            (Some(active), ConfigWant::Newer) => active.newer_than(message.summary.version),
            (Some(active), ConfigWant::Part { version, offset }) => {
                active.part(if version == active.version { offset } else { 0 })
            }
            _ => ConfigContent::Empty,
        };
        let reply = self.message(ConfigWant::Summary, content);
        out.push(GossipAction::Reply(reply));
    }

    fn on_answered(
        &mut self,
        seq: RequestSeq,
        message: &ConfigMessage,
        out: &mut Vec<GossipAction>,
    ) {
        let from = message.summary.node.clone();
        self.answered.insert(from.clone());
        self.on_message(message, out);
        if message.summary.confirmed {
            self.confirm(seq, message.summary.version);
        }
        if let Some((version, offset)) = self.parts.progress()
            && matches!(message.content, ConfigContent::Part { .. })
        {
            self.pull_from(from, ConfigWant::Part { version, offset }, out);
        }
    }

    fn on_message(&mut self, message: &ConfigMessage, out: &mut Vec<GossipAction>) {
        let from = &message.summary.node;
        self.neighbours.succeed(from);
        self.known.insert(from.clone(), message.summary.version);
        match &message.content {
            ConfigContent::Empty => {}
            ConfigContent::Changes(changes) => self.on_changes(changes, from, out),
            ConfigContent::Part {
                version,
                offset,
                total,
                data,
            } => {
                let whole = self.parts.take(*version, *offset, *total, data);
                if let Some((version, declared)) = whole {
                    self.on_whole(version, declared, Some(from), out);
                }
            }
        }
        self.on_heard(Some(from), message.summary.version);
    }

    fn on_changes(&mut self, changes: &[ConfigChange], from: &NodeId, out: &mut Vec<GossipAction>) {
        let active = self.active.as_ref();
        if let Some(next) = active.and_then(|active| active.changed_by(changes)) {
            self.activate(next, Some(from), out);
        }
    }

    fn on_whole(
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
            Some(active) => active.moved_to(version, declared),
            None => ActiveConfig::whole(version, declared),
        };
        if let Some(next) = next {
            self.activate(next, from, out);
        }
    }

    fn activate(&mut self, next: ActiveConfig, from: Option<&NodeId>, out: &mut Vec<GossipAction>) {
        let version = next.version;
        self.highest = self.highest.max(version);
        self.active = Some(next);
        out.push(GossipAction::Activated(version));
        self.push_to_others(from.as_slice(), out);
    }

    /// Pushes to the neighbours that are not known to have this version, but for `told`.
    fn push_to_others(&mut self, told: &[&NodeId], out: &mut Vec<GossipAction>) {
        let version = self.version();
        for peer in self.neighbours.chosen().to_vec() {
            let is_behind = self.known.get(&peer).is_none_or(|known| *known < version);
            if is_behind && !told.contains(&&peer) {
                self.push(peer, out);
            }
        }
    }

    /// Sends a summary, with the changes that the peer lacks where they are small.
    fn push(&mut self, peer: NodeId, out: &mut Vec<GossipAction>) {
        let known = self.known.get(&peer).copied();
        let changes = self.active.as_ref().and_then(|active| match known {
            Some(version) => active.changes_since(version),
            None => active.last_change(),
        });
        let small = changes.filter(|changes| {
            let bytes: usize = changes.iter().map(|change| change.change.len()).sum();
            bytes <= self.cfg.max_push_bytes
        });
        let content = small.map_or(ConfigContent::Empty, ConfigContent::Changes);
        let message = self.message(ConfigWant::Newer, content);
        self.exchange(peer, message, out);
    }

    fn on_heard(&mut self, from: Option<&NodeId>, version: ConfigVersion) {
        if version > self.highest {
            self.highest = version;
            self.store_has_highest = false;
            self.holder = None;
        }
        if version == self.highest && self.holder.is_none() && from.is_some() {
            self.holder = from.cloned();
            self.pull = None;
        }
    }

    fn on_head(&mut self, seq: RequestSeq, version: ConfigVersion) {
        self.confirm(seq, version);
        if version > self.highest {
            self.highest = version;
            self.holder = None;
        }
        self.store_has_highest = version == self.highest;
    }

    /// An answer to a question asked since the pause that knows nothing newer ends the unconfirmed.
    fn confirm(&mut self, seq: RequestSeq, version: ConfigVersion) {
        let is_current = version > 0 && version <= self.version();
        let since_pause = |unconfirmed: &Unconfirmed| seq >= unconfirmed.first_seq;
        if is_current && self.unconfirmed.as_ref().is_some_and(since_pause) {
            self.unconfirmed = None;
        }
    }

    /// Asks for a newer version that is known of, from one place at a time.
    fn seek_newer(&mut self, out: &mut Vec<GossipAction>) {
        if self.highest <= self.version() {
            self.behind_since = None;
            self.pull = None;
            return;
        }
        self.behind_since.get_or_insert(self.now);
        if self.pull.is_some() || !self.may_pull() {
            return;
        }
        let neighbour = self.neighbours.chosen().choose(&mut self.rng).cloned();
        match self.holder.clone().or(neighbour) {
            Some(peer) => self.pull_from(peer, ConfigWant::Newer, out),
            None => self.read_content(out),
        }
    }

    /// A node without a configuration first hears several peers, so as to take the highest.
    fn may_pull(&self) -> bool {
        let enough = self.cfg.bootstrap_peers.min(self.neighbours.peers().len());
        self.active.is_some()
            || self.answered.len() >= enough
            || self.now >= self.started + self.cfg.bootstrap_timeout
    }

    fn on_unreachable(&mut self, peer: NodeId, out: &mut Vec<GossipAction>) {
        if self.holder.as_ref() == Some(&peer) {
            self.holder = None;
        }
        let pause = self.jittered(self.cfg.failure_backoff);
        let before = self.neighbours.chosen().to_vec();
        self.neighbours.fail(self.now, peer, self.now + pause);
        self.push_to_others(&before.iter().collect::<Vec<_>>(), out);
    }

    fn on_time(&mut self, out: &mut Vec<GossipAction>) {
        if self.next_exchange <= self.now {
            self.next_exchange = self.now + self.jittered(self.cfg.exchange_interval);
            self.neighbours.choose(self.now);
            if let Some(peer) = self.neighbours.chosen().choose(&mut self.rng).cloned() {
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
        self.unconfirmed
            .take_if(|unconfirmed| unconfirmed.since <= oldest);
        self.pull = None;
        if self.behind_since.is_some() {
            self.holder = None;
            if self.store_has_highest && self.is_chosen_to_read() {
                self.read_content(out);
            } else {
                self.seek_newer(out);
            }
        }
        if self.active.is_none() {
            self.ask_several(ConfigWant::Summary, out);
        } else if self.unconfirmed.is_some() {
            self.ask_several(ConfigWant::Newer, out);
        }
    }

    /// Few nodes read whole content from the store at once; the others have it from them.
    fn is_chosen_to_read(&mut self) -> bool {
        let share = self.cfg.content_readers as f64 / (self.neighbours.peers().len() + 1) as f64;
        let behind = self.behind_since.map_or(0.0, |since| {
            let waited = self.now.saturating_sub(since);
            waited.as_secs_f64() / self.cfg.content_read_deadline.as_secs_f64()
        });
        self.rng.random_bool(share.max(behind).min(1.0))
    }

    fn ask_several(&mut self, want: ConfigWant, out: &mut Vec<GossipAction>) {
        let count = self.cfg.bootstrap_peers;
        let chosen = self
            .neighbours
            .peers()
            .choose_multiple(&mut self.rng, count);
        for peer in chosen.cloned().collect::<Vec<_>>() {
            let message = self.message(want, ConfigContent::Empty);
            self.exchange(peer, message, out);
        }
    }

    fn pull_from(&mut self, peer: NodeId, want: ConfigWant, out: &mut Vec<GossipAction>) {
        let message = self.message(want, ConfigContent::Empty);
        self.pull = Some(self.exchange(peer, message, out));
        self.next_retry = Some(self.now + self.cfg.retry_interval);
    }

    fn exchange(
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
        self.pull = Some(seq);
    }

    fn next_seq(&mut self) -> RequestSeq {
        self.last_seq += 1;
        self.last_seq
    }

    fn jittered(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(self.rng.random_range(0.5..1.5))
    }

    fn message(&self, want: ConfigWant, content: ConfigContent) -> ConfigMessage {
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
