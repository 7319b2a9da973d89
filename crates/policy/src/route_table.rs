//! Routes, services and teams of one version of the declarations, indexed for lookup by request.

use crate::engine_profile::EngineProfile;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Name of a service, as the declarations give it.
pub type ServiceName = Box<str>;

/// Whether requests of a route may be repeated, and the form of their responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run any number of times.
    Safe,
    /// A request may run at most once.
    Unsafe,
    /// The response is a stream of events.
    Stream {
        /// Whether another server may continue a stream that broke off.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        !matches!(self, Self::Unsafe | Self::Stream { resumable: false })
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Maps requests with a given host name and path prefix to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: Box<str>,
    /// Host name in the request, in any case.
    pub host: Box<str>,
    /// Prefix of the request path, with a slash at both ends.
    pub prefix: Box<str>,
    /// Whether a request may be repeated, and the form of the response.
    pub kind: RouteKind,
    /// Time limit from the arrival of a request to the end of its response.
    pub timeout: Duration,
    /// Target time to the response or, for a stream, to its first event.
    pub target_latency: Duration,
    /// Target time between two events of a stream.
    pub target_gap: Duration,
    /// Priority of the requests; 0 is the highest.
    pub rank: u8,
    /// Services that share the requests, with their weights.
    pub split: Vec<(ServiceName, u32)>,
    /// Maximum number of servers on which one request may be tried.
    pub max_attempts: u32,
    /// Whether callers without a key are accepted.
    pub anonymous: bool,
}

impl Route {
    /// Chooses the service for a request, in proportion to the weights. `draw` is any hash of the
    /// request. `None` if all weights are zero.
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

    /// Time after which callers of a stream stop waiting for its next event, as stated by the users
    /// who operate those callers.
    pub fn caller_wait_limit(&self) -> Duration {
        const MIN_WAIT: Duration = Duration::from_secs(2);
        MIN_WAIT
            .max(self.target_latency * 4)
            .max(self.target_gap * 8)
    }
}

/// A service, with the declared properties of its servers.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service, which its routes and servers refer to.
    pub name: ServiceName,
    /// Requests per second that a cold server can handle; 0 if not declared.
    pub cold_rate: f64,
    /// Performance model of the servers if they are model engines; `None` for a plain service.
    pub engine: Option<EngineProfile>,
}

/// Limits on connections and requests of callers.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which the head of a request must arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
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

/// A team, found by one of its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamEntry {
    /// Name of the team, which is passed on to servers.
    pub name: Box<str>,
    /// Priority that overrides the one of the route; 0 is the highest.
    pub rank: Option<u8>,
}

/// Lookup table for one version of the declarations.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Version of the declarations; increases with each change.
    pub version: u64,
    /// Limits that apply to all callers.
    pub limits: CallerLimits,
    /// The services by their names.
    pub services: HashMap<ServiceName, Arc<ServiceSpec>>,
    /// By host names in lower case.
    routes: HashMap<Box<str>, Vec<Arc<Route>>>,
    teams: Option<HashMap<Box<str>, Arc<TeamEntry>>>,
}

/// Result of authenticating a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerIdentity {
    /// The key belongs to this team.
    Team(Arc<TeamEntry>),
    /// The caller is not identified, but no key is needed.
    Anonymous,
    /// A key is needed, but it is missing or does not belong to any team.
    Unknown,
}

impl RouteTable {
    /// Builds the table. `teams` maps keys to teams; with `None`, no caller needs a key.
    pub fn new(
        version: u64,
        limits: CallerLimits,
        routes: impl IntoIterator<Item = Route>,
        services: Vec<ServiceSpec>,
        teams: Option<HashMap<Box<str>, Arc<TeamEntry>>>,
    ) -> Self {
        let mut by_host: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host
                .entry(route.host.to_ascii_lowercase().into())
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

    /// The route of the host with the longest prefix of the path; `None` if there is none. Host names
    /// are compared without case.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(&*host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Identifies a caller by its key. Without a valid key, the caller is anonymous if the route
    /// allows that.
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

    /// Whether callers authenticate with keys. If so, the keys are not passed on to servers.
    pub fn has_teams(&self) -> bool {
        self.teams.is_some()
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}
