//! What operators have declared, as one gateway looks it up for a request.

use crate::engine_model::EngineProfile;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Name of a service.
pub type ServiceName = Box<str>;

/// How often a request of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Any number of times.
    Safe,
    /// At most once.
    Unsafe,
    /// A stream of events.
    Stream {
        /// Whether another server may go on where one stopped.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        !matches!(self, Self::Unsafe | Self::Stream { resumable: false })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A way from a host name and path to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: Box<str>,
    /// Host name that callers ask for.
    pub host: Box<str>,
    /// Start of the paths, with slashes at both ends.
    pub prefix: Box<str>,
    /// How often a request may run.
    pub kind: RouteKind,
    /// Longest time until the end of the answer.
    pub timeout: Duration,
    /// Time to the answer, or a stream's first event, that is on time.
    pub target_latency: Duration,
    /// Longest pause between events that is on time.
    pub target_gap: Duration,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// Services with their weights.
    pub split: Vec<(ServiceName, u32)>,
    /// Most servers on which one request may run.
    pub max_attempts: u32,
    /// Whether a caller needs no key.
    pub anonymous: bool,
}

impl Route {
    /// The service for a request, in proportion to the weights; `draw` is any hash of the request.
    pub fn service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self
            .split
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut left = draw.checked_rem(total)?;
        for (name, weight) in &self.split {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(name);
            }
            left -= weight;
        }
        None
    }

    /// Time after which callers of a stream give up waiting for its next event, as the users state
    /// it for their callers.
    pub fn caller_wait_limit(&self) -> Duration {
        const LEAST: Duration = Duration::from_secs(2);
        LEAST.max(self.target_latency * 4).max(self.target_gap * 8)
    }
}

/// A service and what is known of its servers in general.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Name.
    pub name: ServiceName,
    /// Requests a second that a cold server bears; 0 where none was declared.
    pub cold_rate: f64,
    /// The model engine, where the servers are engines.
    pub engine: Option<EngineProfile>,
}

/// Limits on callers' connections.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time for a head to arrive.
    pub header_timeout: Duration,
    /// Time for which an unused connection is kept.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A team, as its key names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamEntry {
    /// Name that servers are told.
    pub name: Box<str>,
    /// Rank that goes before the route's.
    pub rank: Option<u8>,
}

/// One version of the declarations.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Version; grows with each change.
    pub version: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: HashMap<ServiceName, Arc<ServiceSpec>>,
    routes: HashMap<Box<str>, Vec<Arc<Route>>>,
    teams: Option<HashMap<Box<str>, Arc<TeamEntry>>>,
}

/// Who sent a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerIdentity {
    /// A team, by its key.
    Team(Arc<TeamEntry>),
    /// Nobody that is known; allowed on this route.
    Anonymous,
    /// No key, or one that no team holds.
    Unknown,
}

impl RouteTable {
    /// A table of routes and services. `teams` maps keys to teams; `None` asks nobody for a key.
    pub fn new(
        version: u64,
        limits: CallerLimits,
        routes: Vec<Route>,
        services: Vec<ServiceSpec>,
        teams: Option<HashMap<Box<str>, Arc<TeamEntry>>>,
    ) -> Self {
        let mut by_host: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|spec| (spec.name.clone(), Arc::new(spec)));
        Self {
            version,
            limits,
            services: services.collect(),
            routes: by_host,
            teams,
        }
    }

    /// The route with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Who holds a key, as far as a route needs to know.
    pub fn identify_caller(&self, route: &Route, key: Option<&str>) -> CallerIdentity {
        let Some(teams) = &self.teams else {
            return CallerIdentity::Anonymous;
        };
        match key.and_then(|key| teams.get(key)) {
            Some(team) => CallerIdentity::Team(team.clone()),
            None if route.anonymous => CallerIdentity::Anonymous,
            None => CallerIdentity::Unknown,
        }
    }

    /// Whether callers need keys, which are then kept from servers.
    pub fn has_teams(&self) -> bool {
        self.teams.is_some()
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}
