//! Backend servers eligible for a team's requests to a model or service, computed once per
//! configuration.

use crate::engine_memory::max_tokens_per_job;
use crate::members::{Member, Members};
use crate::memory_lease::span_capacity;
use crate::router::RoutingRequest;
use crate::rules::{rules_allow, serves};
use crate::span_plan::MAX_SEGMENTS;
use declarations::{Declarations, Server};
use proto::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// All cached pools are dropped when there are this many.
const MAX_CACHED_POOLS: usize = 4096;

/// Distance of a backend server from the gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distance {
    /// In the gateway's failure domain.
    Domain,
    /// In the gateway's region.
    Region,
    /// In another region.
    Elsewhere,
}

/// All distances, nearest first.
pub const DISTANCES: [Distance; 3] = [Distance::Domain, Distance::Region, Distance::Elsewhere];

/// One backend server of a [`Pool`].
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Index in the declared list of servers.
    pub index: usize,
    /// Hash of the server's name.
    pub hash: u64,
    /// Maximum number of tokens, prompt and answer together, in one job.
    pub capacity: Tokens,
}

/// Backend servers eligible for one kind of request, grouped by distance.
#[derive(Debug, Default)]
pub struct Pool {
    groups: [Vec<Candidate>; 3],
    /// Largest capacity of a single candidate.
    max_capacity: Tokens,
    /// Most tokens that a span over several candidates can hold.
    max_span_tokens: Tokens,
}

impl Pool {
    /// The backend servers at one distance.
    pub fn group(&self, distance: Distance) -> &[Candidate] {
        &self.groups[distance as usize]
    }

    /// Whether a candidate can take a job of `tokens`: alone, or as part of a span if no candidate
    /// can take it alone.
    pub fn fits(&self, tokens: Tokens, candidate: &Candidate) -> bool {
        tokens <= candidate.capacity
            || (tokens > self.max_capacity && tokens <= self.max_span_tokens)
    }

    /// Whether a job of `tokens` fits on one candidate, or on several as a span.
    pub fn can_hold(&self, tokens: Tokens) -> bool {
        tokens <= self.max_capacity || tokens <= self.max_span_tokens
    }

    fn set_capacities(&mut self, mut span_capacities: Vec<Tokens>) {
        span_capacities.sort_unstable_by(|a, b| b.cmp(a));
        self.max_span_tokens = span_capacities.into_iter().take(MAX_SEGMENTS).sum();
        let capacities = self.all().map(|(_, candidate)| candidate.capacity);
        self.max_capacity = capacities.max().unwrap_or_default();
    }

    /// All backend servers, nearest first.
    pub fn all(&self) -> impl Iterator<Item = (Distance, &Candidate)> {
        DISTANCES
            .into_iter()
            .flat_map(|distance| self.group(distance).iter().map(move |c| (distance, c)))
    }
}

/// Cached pools, by the rules that name a team and by model or service.
#[derive(Debug, Default)]
pub struct Candidates {
    declared: Arc<Declarations>,
    domain: DomainId,
    /// Whether the agent of a server is considered down. Servers without an agent, or with one that
    /// leaves, are missing.
    agent_down: HashMap<ServerId, bool>,
    names: Vec<ServerId>,
    indices: HashMap<ServerId, usize>,
    rule_classes: BTreeMap<TeamId, usize>,
    model_pools: Vec<HashMap<Box<str>, Arc<Pool>>>,
    service_pools: Vec<HashMap<Box<str>, Arc<Pool>>>,
    pool_count: usize,
}

impl Candidates {
    /// Candidates under a configuration and membership, as seen from a failure domain.
    pub fn new(declared: Arc<Declarations>, members: &Members, domain: &DomainId) -> Self {
        let names: Vec<ServerId> = declared.servers.iter().map(|s| s.name.clone()).collect();
        let indices = names.iter().cloned().zip(0..).collect();
        let (rule_classes, count) = rule_classes(&declared);
        Self {
            agent_down: agents_in_service(members),
            domain: domain.clone(),
            names,
            indices,
            rule_classes,
            model_pools: (0..count).map(|_| HashMap::new()).collect(),
            service_pools: (0..count).map(|_| HashMap::new()).collect(),
            pool_count: 0,
            declared,
        }
    }

    /// Names of all declared backend servers, by index.
    pub fn names(&self) -> &[ServerId] {
        &self.names
    }

    /// Index of a backend server.
    pub fn index_of(&self, server: &str) -> Option<usize> {
        self.indices.get(server).copied()
    }

    /// Whether the agent of a backend server is considered down; true if there is none.
    pub fn is_down(&self, server: &str) -> bool {
        self.agent_down.get(server).copied().unwrap_or(true)
    }

    /// Backend servers eligible for a request.
    pub fn pool(&mut self, request: &RoutingRequest<'_>) -> Arc<Pool> {
        if self.model_pools.is_empty() {
            return Arc::default();
        }
        let class = self.rule_classes.get(request.team).copied().unwrap_or(0);
        let cached = match (request.model, request.service) {
            (Some(model), _) => self.model_pools[class].get(model),
            (None, service) => self.service_pools[class].get(service.unwrap_or_default()),
        };
        if let Some(pool) = cached {
            return pool.clone();
        }
        self.add_pool(request, class)
    }

    fn add_pool(&mut self, request: &RoutingRequest<'_>, class: usize) -> Arc<Pool> {
        if self.pool_count >= MAX_CACHED_POOLS {
            self.model_pools.iter_mut().for_each(HashMap::clear);
            self.service_pools.iter_mut().for_each(HashMap::clear);
            self.pool_count = 0;
        }
        let pool = Arc::new(self.build_pool(request));
        let (pools, name) = match (request.model, request.service) {
            (Some(model), _) => (&mut self.model_pools[class], model),
            (None, service) => (&mut self.service_pools[class], service.unwrap_or_default()),
        };
        pools.insert(name.into(), pool.clone());
        self.pool_count += 1;
        pool
    }

    fn build_pool(&self, request: &RoutingRequest<'_>) -> Pool {
        let mut pool = Pool::default();
        let mut span_capacities = Vec::new();
        for (index, server) in self.declared.servers.iter().enumerate() {
            if !self.is_eligible(request, server) {
                continue;
            }
            let candidate = Candidate {
                index,
                hash: xxh3_64(server.name.as_bytes()),
                capacity: self.capacity(request.model, server),
            };
            pool.groups[self.distance(server) as usize].push(candidate);
            span_capacities.extend(self.memory(request.model, server).map(span_capacity));
        }
        pool.set_capacities(span_capacities);
        pool
    }

    fn is_eligible(&self, request: &RoutingRequest<'_>, server: &Server) -> bool {
        let is_domain_out = self
            .declared
            .domain(&server.domain)
            .is_none_or(|domain| domain.out);
        !is_domain_out
            && !server.drained
            && self.agent_down.contains_key(&server.name)
            && serves(server, request.model, request.service)
            && rules_allow(&self.declared, request.team, request.model, server)
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

/// The best agent of each server, and whether it is considered down. Servers whose best agent is
/// leaving are left out.
fn agents_in_service(members: &Members) -> HashMap<ServerId, bool> {
    let mut best_agents: HashMap<&ServerId, &Member> = HashMap::new();
    let rank = |member: &Member| (member.down, member.leaving, u64::MAX - member.epoch);
    for member in members.nodes.values() {
        let Some(server) = &member.server else {
            continue;
        };
        let entry = best_agents.entry(server).or_insert(member);
        if rank(member) < rank(entry) {
            *entry = member;
        }
    }
    best_agents
        .into_iter()
        .filter(|(_, member)| !member.leaving)
        .map(|(server, member)| (server.clone(), member.down))
        .collect()
}

/// Groups the teams that are named by the same rules into classes. Returns the class number of each
/// team and the number of classes; teams that no rule names are in class zero and are left out.
fn rule_classes(declared: &Declarations) -> (BTreeMap<TeamId, usize>, usize) {
    let mut rules_by_team: BTreeMap<&TeamId, Vec<usize>> = BTreeMap::new();
    for (index, rule) in declared.rules.iter().enumerate() {
        for team in &rule.teams {
            rules_by_team.entry(team).or_default().push(index);
        }
    }
    let mut class_numbers: BTreeMap<Vec<usize>, usize> = BTreeMap::new();
    let mut classes = BTreeMap::new();
    for (team, rules) in rules_by_team {
        let next = class_numbers.len() + 1;
        classes.insert(team.clone(), *class_numbers.entry(rules).or_insert(next));
    }
    (classes, class_numbers.len() + 1)
}
