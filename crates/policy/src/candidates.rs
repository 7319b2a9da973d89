//! Backend servers that may carry a team's work for a model or service, worked out once for each
//! configuration.

use crate::members::{Member, Members};
use crate::memory_lease::span_capacity;
use crate::memory_share::max_tokens_per_job;
use crate::router::RoutingRequest;
use crate::rules::{rules_allow, serves};
use crate::span_plan::MAX_SEGMENTS;
use declarations::{Declarations, Server};
use proto::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

const MOST_POOLS: usize = 4096;

/// How far away a backend server is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distance {
    /// In the gateway's failure domain.
    Domain,
    /// In its region.
    Region,
    /// Elsewhere.
    Elsewhere,
}

/// Groups of a [`Pool`], nearest first.
pub const DISTANCES: [Distance; 3] = [Distance::Domain, Distance::Region, Distance::Elsewhere];

/// One backend server of a pool.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Its place in the directory.
    pub index: usize,
    /// Hash of its name.
    pub hash: u64,
    /// Most tokens, prompt and answer, that it takes in one job.
    pub capacity: Tokens,
}

/// Backend servers that may carry one kind of work.
#[derive(Debug, Default)]
pub struct Pool {
    groups: [Vec<Candidate>; 3],
    largest: Tokens,
    together: Tokens,
}

impl Pool {
    /// The backend servers at one distance.
    pub fn group(&self, distance: Distance) -> &[Candidate] {
        &self.groups[distance as usize]
    }

    /// Whether a candidate takes a job of that size: alone, or with others as a span where no
    /// candidate takes it alone.
    pub fn fits(&self, tokens: Tokens, candidate: &Candidate) -> bool {
        tokens <= candidate.capacity || (tokens > self.largest && tokens <= self.together)
    }

    /// Whether any candidate takes a job of that size, alone or with others.
    pub fn can_hold(&self, tokens: Tokens) -> bool {
        tokens <= self.largest || tokens <= self.together
    }

    fn measure(&mut self, mut spans: Vec<Tokens>) {
        spans.sort_unstable_by(|a, b| b.cmp(a));
        self.together = spans.into_iter().take(MAX_SEGMENTS).sum();
        let capacities = self.all().map(|(_, candidate)| candidate.capacity);
        self.largest = capacities.max().unwrap_or_default();
    }

    /// All backend servers, nearest first.
    pub fn all(&self) -> impl Iterator<Item = (Distance, &Candidate)> {
        DISTANCES
            .into_iter()
            .flat_map(|distance| self.group(distance).iter().map(move |c| (distance, c)))
    }
}

/// Pools by the rules that name a team, and by model or service.
#[derive(Debug, Default)]
pub struct Candidates {
    declared: Arc<Declarations>,
    domain: DomainId,
    /// Servers whose agent is up, and whether it was given up.
    agents: HashMap<ServerId, bool>,
    names: Vec<ServerId>,
    indices: HashMap<ServerId, usize>,
    rule_classes: BTreeMap<TeamId, usize>,
    models: Vec<HashMap<Box<str>, Arc<Pool>>>,
    services: Vec<HashMap<Box<str>, Arc<Pool>>>,
    pools: usize,
}

impl Candidates {
    /// Candidates of a configuration and membership, as seen from a failure domain.
    pub fn new(declared: Arc<Declarations>, members: &Members, domain: &DomainId) -> Self {
        let names: Vec<ServerId> = declared.servers.iter().map(|s| s.name.clone()).collect();
        let indices = names.iter().cloned().zip(0..).collect();
        let (rule_classes, count) = rule_classes(&declared);
        Self {
            agents: live_agents(members),
            domain: domain.clone(),
            names,
            indices,
            rule_classes,
            models: (0..count).map(|_| HashMap::new()).collect(),
            services: (0..count).map(|_| HashMap::new()).collect(),
            pools: 0,
            declared,
        }
    }

    /// Names of all backend servers, by index.
    pub fn names(&self) -> &[ServerId] {
        &self.names
    }

    /// Index of a backend server.
    pub fn index_of(&self, server: &str) -> Option<usize> {
        self.indices.get(server).copied()
    }

    /// Whether the agent of a backend server was given up.
    pub fn is_down(&self, server: &str) -> bool {
        self.agents.get(server).copied().unwrap_or(true)
    }

    /// The pool for what is asked.
    pub fn pool(&mut self, ask: &RoutingRequest<'_>) -> Arc<Pool> {
        if self.models.is_empty() {
            return Arc::default();
        }
        let class = self.rule_classes.get(ask.team).copied().unwrap_or(0);
        let known = match (ask.model, ask.service) {
            (Some(model), _) => self.models[class].get(model),
            (None, service) => self.services[class].get(service.unwrap_or_default()),
        };
        if let Some(pool) = known {
            return pool.clone();
        }
        self.add_pool(ask, class)
    }

    fn add_pool(&mut self, ask: &RoutingRequest<'_>, class: usize) -> Arc<Pool> {
        if self.pools >= MOST_POOLS {
            self.models.iter_mut().for_each(HashMap::clear);
            self.services.iter_mut().for_each(HashMap::clear);
            self.pools = 0;
        }
        let pool = Arc::new(self.build(ask));
        let (pools, name) = match (ask.model, ask.service) {
            (Some(model), _) => (&mut self.models[class], model),
            (None, service) => (&mut self.services[class], service.unwrap_or_default()),
        };
        pools.insert(name.into(), pool.clone());
        self.pools += 1;
        pool
    }

    fn build(&self, ask: &RoutingRequest<'_>) -> Pool {
        let mut pool = Pool::default();
        let mut spans = Vec::new();
        for (index, server) in self.declared.servers.iter().enumerate() {
            if !self.may_carry(ask, server) {
                continue;
            }
            let candidate = Candidate {
                index,
                hash: xxh3_64(server.name.as_bytes()),
                capacity: self.capacity(ask.model, server),
            };
            pool.groups[self.distance(server) as usize].push(candidate);
            spans.extend(self.memory(ask.model, server).map(span_capacity));
        }
        pool.measure(spans);
        pool
    }

    fn may_carry(&self, ask: &RoutingRequest<'_>, server: &Server) -> bool {
        let out = self
            .declared
            .domain(&server.domain)
            .is_none_or(|domain| domain.out);
        !out && !server.drained
            && self.agents.contains_key(&server.name)
            && serves(server, ask.model, ask.service)
            && rules_allow(&self.declared, ask.team, ask.model, server)
    }

    fn capacity(&self, model: Option<&str>, server: &Server) -> Tokens {
        self.memory(model, server)
            .map_or(Tokens::MAX, max_tokens_per_job)
    }

    fn memory(&self, model: Option<&str>, server: &Server) -> Option<Tokens> {
        let model = self.declared.model(model?)?;
        (server.memory_bytes > 0).then(|| server.memory_bytes / model.kv_bytes_per_token.max(1))
    }

    fn distance(&self, server: &Server) -> Distance {
        let region = |domain: &str| self.declared.domain(domain).map(|domain| &domain.region);
        if server.domain == self.domain {
            Distance::Domain
        } else if region(&server.domain) == region(&self.domain) {
            Distance::Region
        } else {
            Distance::Elsewhere
        }
    }
}

fn live_agents(members: &Members) -> HashMap<ServerId, bool> {
    let mut best: HashMap<&ServerId, &Member> = HashMap::new();
    let rank = |member: &Member| (member.down, member.leaving, u64::MAX - member.epoch);
    for member in members.nodes.values() {
        let Some(server) = &member.server else {
            continue;
        };
        let entry = best.entry(server).or_insert(member);
        if rank(member) < rank(entry) {
            *entry = member;
        }
    }
    best.into_iter()
        .filter(|(_, member)| !member.leaving)
        .map(|(server, member)| (server.clone(), member.down))
        .collect()
}

/// Classes of teams that the same rules name; class zero are teams that no rule names.
fn rule_classes(declared: &Declarations) -> (BTreeMap<TeamId, usize>, usize) {
    let mut named: BTreeMap<&TeamId, Vec<usize>> = BTreeMap::new();
    for (index, rule) in declared.rules.iter().enumerate() {
        for team in &rule.teams {
            named.entry(team).or_default().push(index);
        }
    }
    let mut numbers: BTreeMap<Vec<usize>, usize> = BTreeMap::new();
    let mut classes = BTreeMap::new();
    for (team, rules) in named {
        let next = numbers.len() + 1;
        classes.insert(team.clone(), *numbers.entry(rules).or_insert(next));
    }
    (classes, numbers.len() + 1)
}
