//! Which processes are up: the lagging host list, corrected by what this node sees itself.
//!
//! What another node could not reach is not taken over: where regions lose each other, each side
//! would otherwise give the other up for both.

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
    /// Failures in a row from which a node is given up.
    pub failure_threshold: u32,
    /// Time for which it is given up, before it is tried again.
    pub down_duration: Duration,
    /// Time for which a node that is not listed, but was heard from, is known.
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
    /// Name of the process.
    pub node: NodeId,
    /// Its host.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it is an agent.
    pub is_agent: bool,
    /// Whether the host leaves.
    pub leaving: bool,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipEvent {
    /// The host list was read.
    Listed(Vec<HostRecord>),
    /// A node spoke for itself.
    Seen(NodeSighting),
    /// A node answered.
    Answered(NodeId),
    /// A node did not answer.
    Unreachable(NodeId),
    /// The configuration changed.
    Configured(Arc<Declarations>),
}

#[derive(Debug)]
struct Entry {
    record: HostRecord,
    listed: bool,
    /// What the list said last, so that only a change of it overrules what the node says.
    listed_address: Option<SocketAddr>,
    epoch: Epoch,
    says_leaving: bool,
    heard: Duration,
    failures: u32,
    down_until: Duration,
}

/// Keeps the processes that a node knows.
#[derive(Debug)]
pub struct Membership {
    cfg: MembershipConfig,
    entries: BTreeMap<NodeId, Entry>,
    servers: BTreeMap<HostId, ServerId>,
}

impl Membership {
    /// Knows no process yet.
    pub fn new(cfg: MembershipConfig) -> Self {
        Self {
            cfg,
            entries: BTreeMap::new(),
            servers: BTreeMap::new(),
        }
    }

    /// Takes an event.
    pub fn handle(&mut self, now: Duration, event: MembershipEvent) {
        match event {
            MembershipEvent::Listed(records) => self.on_list(now, records),
            MembershipEvent::Seen(sighting) => self.on_seen(now, sighting),
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

    /// The processes at this moment.
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
                leaving: record.leaving || entry.says_leaving,
                down: entry.down_until > now,
            };
            (node.clone(), member)
        });
        Members {
            nodes: nodes.collect(),
        }
    }

    /// When [`Membership::members`] may next change without an event.
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
        self.entries
            .retain(|_, entry| entry.listed || (entry.heard > oldest && !entry.record.leaving));
    }

    fn on_record(&mut self, record: HostRecord) {
        let node = record.node.clone();
        let entry = self.entries.entry(node).or_insert_with(|| Entry {
            record: record.clone(),
            listed: true,
            listed_address: None,
            epoch: 0,
            says_leaving: false,
            heard: Duration::ZERO,
            failures: 0,
            down_until: Duration::ZERO,
        });
        let moved = entry.listed_address != Some(record.address);
        let address = if moved {
            record.address
        } else {
            entry.record.address
        };
        if entry.record.address != address {
            // Another process in the place of the old one.
            entry.says_leaving = false;
            entry.failures = 0;
            entry.down_until = Duration::ZERO;
        }
        entry.listed = true;
        entry.listed_address = Some(record.address);
        entry.record = HostRecord { address, ..record };
    }

    fn on_seen(&mut self, now: Duration, sighting: NodeSighting) {
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
            says_leaving: false,
            heard: now,
            failures: 0,
            down_until: Duration::ZERO,
        });
        entry.record.address = record.address;
        entry.epoch = entry.epoch.max(sighting.epoch);
        entry.says_leaving = sighting.leaving;
        entry.heard = now;
        entry.failures = 0;
        entry.down_until = Duration::ZERO;
    }

    fn on_answered(&mut self, now: Duration, node: &NodeId) {
        if let Some(entry) = self.entries.get_mut(node) {
            entry.heard = now;
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
