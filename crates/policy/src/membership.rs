//! Tracks which processes are up, from the host list and from this node's own contacts, which are
//! more recent.
//!
//! Only this node's own failed contacts count. If nodes shared them, then during a partition each
//! region would report the other one as down, and nodes in both would believe it.

use crate::members::{Member, Members};
use declarations::Declarations;
use proto::NodeSighting;
use proto::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Settings of a [`Membership`].
#[derive(Debug, Clone, PartialEq)]
pub struct MembershipConfig {
    /// Number of consecutive failures after which a node is marked as down.
    pub failure_threshold: u32,
    /// Time for which a node stays marked as down before it is contacted again.
    pub down_duration: Duration,
    /// Time since its last message after which a node that is not on the host list is removed.
    pub unlisted_ttl: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            failure_threshold: 2,
            down_duration: Duration::from_secs(2),
            unlisted_ttl: Duration::from_secs(30),
        }
    }
}

/// One entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRecord {
    /// Id of the process.
    pub node: NodeId,
    /// The host that it runs on.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Address at which peers reach the process.
    pub address: SocketAddr,
    /// Whether the process is an agent; otherwise it is a gateway.
    pub is_agent: bool,
    /// Whether the host is being removed.
    pub leaving: bool,
}

/// Input of [`Membership`].
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipEvent {
    /// The host list was read; it replaces the previous one.
    Listed(Vec<HostRecord>),
    /// A node described itself in a message.
    Seen(NodeSighting),
    /// A node answered a request of this node.
    Answered(NodeId),
    /// A node did not answer a request of this node.
    Unreachable(NodeId),
    /// A new configuration is active; it tells which host runs which backend server.
    Configured(Arc<Declarations>),
}

#[derive(Debug)]
struct Entry {
    record: HostRecord,
    listed: bool,
    /// The address that the host list gave last. The list lags behind, so its address overrides
    /// the one that the node announced only when the list itself changes.
    listed_address: Option<SocketAddr>,
    epoch: Epoch,
    announced_leaving: bool,
    last_heard: Duration,
    failures: u32,
    down_until: Duration,
}

/// Tracks the processes that a node knows of.
#[derive(Debug)]
pub struct Membership {
    cfg: MembershipConfig,
    entries: BTreeMap<NodeId, Entry>,
    servers: BTreeMap<HostId, ServerId>,
}

impl Membership {
    /// Creates a membership without any processes.
    pub fn new(cfg: MembershipConfig) -> Self {
        Self {
            cfg,
            entries: BTreeMap::new(),
            servers: BTreeMap::new(),
        }
    }

    /// Handles an event at time `now`.
    pub fn handle(&mut self, now: Duration, event: MembershipEvent) {
        match event {
            MembershipEvent::Listed(records) => self.on_list(now, records),
            MembershipEvent::Seen(sighting) => self.on_sighting(now, sighting),
            MembershipEvent::Answered(node) => self.on_answered(now, &node),
            MembershipEvent::Unreachable(node) => self.on_unreachable(now, &node),
            MembershipEvent::Configured(declared) => {
                let servers = declared.servers.iter();
                self.servers = servers
                    .map(|server| (server.host.clone(), server.name.clone()))
                    .collect();
            }
        }
    }

    /// The known processes and their state at time `now`.
    pub fn members(&self, now: Duration) -> Members {
        let nodes = self.entries.iter().map(|(node, entry)| {
            let record = &entry.record;
            let server = self.servers.get(&record.host);
            let member = Member {
                node: node.clone(),
                host: record.host.clone(),
                domain: record.domain.clone(),
                address: record.address,
                server: server.filter(|_| record.is_agent).cloned(),
                epoch: entry.epoch,
                leaving: record.leaving || entry.announced_leaving,
                down: entry.down_until > now,
            };
            (node.clone(), member)
        });
        Members {
            nodes: nodes.collect(),
        }
    }

    /// The time at which [`Membership::members`] next changes without an event; `None` if it does
    /// not.
    pub fn next_change(&self, now: Duration) -> Option<Duration> {
        let ends = self.entries.values().map(|entry| entry.down_until);
        ends.filter(|end| *end > now).min()
    }

    fn on_list(&mut self, now: Duration, records: Vec<HostRecord>) {
        for entry in self.entries.values_mut() {
            entry.listed = false;
        }
        for record in records {
            self.on_record(record);
        }
        let oldest = now.saturating_sub(self.cfg.unlisted_ttl);
        self.entries.retain(|_, entry| {
            entry.listed || (entry.last_heard > oldest && !entry.record.leaving)
        });
    }

    fn on_record(&mut self, record: HostRecord) {
        let node = record.node.clone();
        let entry = self.entries.entry(node).or_insert_with(|| Entry {
            record: record.clone(),
            listed: true,
            listed_address: None,
            epoch: 0,
            announced_leaving: false,
            last_heard: Duration::ZERO,
            failures: 0,
            down_until: Duration::ZERO,
        });
        let has_listed_address_changed = entry.listed_address != Some(record.address);
        let address = if has_listed_address_changed {
            record.address
        } else {
            entry.record.address
        };
        if entry.record.address != address {
            // A changed address means that a new process replaced the old one.
            entry.announced_leaving = false;
            entry.failures = 0;
            entry.down_until = Duration::ZERO;
        }
        entry.listed = true;
        entry.listed_address = Some(record.address);
        entry.record = HostRecord { address, ..record };
    }

    fn on_sighting(&mut self, now: Duration, sighting: NodeSighting) {
        let record = HostRecord {
            node: sighting.node.clone(),
            host: sighting.host,
            domain: sighting.domain,
            address: sighting.address,
            is_agent: sighting.server.is_some(),
            leaving: false,
        };
        let entry = self.entries.entry(sighting.node).or_insert_with(|| Entry {
            record: record.clone(),
            listed: false,
            listed_address: None,
            epoch: 0,
            announced_leaving: false,
            last_heard: now,
            failures: 0,
            down_until: Duration::ZERO,
        });
        entry.record.address = record.address;
        entry.epoch = entry.epoch.max(sighting.epoch);
        entry.announced_leaving = sighting.leaving;
        entry.last_heard = now;
        entry.failures = 0;
        entry.down_until = Duration::ZERO;
    }

    fn on_answered(&mut self, now: Duration, node: &NodeId) {
        if let Some(entry) = self.entries.get_mut(node) {
            entry.last_heard = now;
            entry.failures = 0;
            entry.down_until = Duration::ZERO;
        }
    }

    fn on_unreachable(&mut self, now: Duration, node: &NodeId) {
        if let Some(entry) = self.entries.get_mut(node) {
            entry.failures += 1;
            if entry.failures >= self.cfg.failure_threshold {
                entry.down_until = now + self.cfg.down_duration;
            }
        }
    }
}
