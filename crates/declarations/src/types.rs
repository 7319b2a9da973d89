//! The declared items and their fields.

use serde::{Deserialize, Serialize};

/// Everything that operators declare, at one version of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Declarations {
    /// Failure domains.
    pub domains: Vec<Domain>,
    /// Models.
    pub models: Vec<Model>,
    /// Backend servers.
    pub servers: Vec<Server>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Routes to plain services, that is, services without models.
    pub routes: Vec<Route>,
    /// Rules on where requests may run.
    pub rules: Vec<Rule>,
    /// Operators who may change the configuration and query the fleet.
    pub operators: Vec<Operator>,
}

impl Declarations {
    /// Finds a failure domain by name.
    pub fn domain(&self, name: &str) -> Option<&Domain> {
        self.domains.iter().find(|domain| &*domain.name == name)
    }

    /// Finds a model by name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| &*model.name == name)
    }

    /// Finds a backend server by name.
    pub fn server(&self, name: &str) -> Option<&Server> {
        self.servers.iter().find(|server| &*server.name == name)
    }

    /// Finds a team by name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| &*team.name == name)
    }

    /// Finds the route with the longest path prefix that matches `path`.
    pub fn route(&self, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| path.starts_with(&*route.path))
            .max_by_key(|route| route.path.len())
    }
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Name, unique among the failure domains.
    pub name: Box<str>,
    /// Region that contains the domain.
    pub region: Box<str>,
    /// Whether operators have taken the domain out of service.
    #[serde(default)]
    pub out: bool,
}

/// A model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name by which callers request it, unique among the models.
    pub name: Box<str>,
    /// Version of the weights that engines load.
    #[serde(default)]
    pub version: Box<str>,
    /// Size of the KV cache of one token, in bytes.
    #[serde(default = "default_kv_bytes")]
    pub kv_bytes_per_token: u64,
    /// Number of engines that keep the model loaded.
    #[serde(default = "default_replicas")]
    pub replicas: u32,
    /// Size of the weights, in bytes.
    #[serde(default)]
    pub weight_bytes: u64,
    /// Maximum length of a prompt, in tokens.
    #[serde(default = "default_context")]
    pub context_tokens: u64,
}

/// What a backend server runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerKind {
    /// An inference engine that serves models.
    Engine,
    /// A plain service, without models.
    Service,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Name, unique among the backend servers.
    pub name: Box<str>,
    /// Whether it is an engine or a plain service.
    pub kind: ServerKind,
    /// Host on which it and its agent run; no two backend servers share a host.
    pub host: Box<str>,
    /// Failure domain of that host.
    pub domain: Box<str>,
    /// Models that it may serve; every model if empty. Must be empty for a plain service.
    #[serde(default)]
    pub models: Vec<Box<str>>,
    /// Plain service that it is a replica of; absent for an engine.
    #[serde(default)]
    pub service: Option<Box<str>>,
    /// Engine memory for the KV cache, in bytes; must not be zero for an engine.
    #[serde(default)]
    pub memory_bytes: u64,
    /// Number of requests that it can run at once when warm.
    #[serde(default = "default_warm_limit")]
    pub warm_limit: u32,
    /// Number of requests that it can run at once during a cold start; at most `warm_limit`.
    #[serde(default = "default_cold_limit")]
    pub cold_limit: u32,
    /// Prefill rate when warm, in tokens per second; a default is assumed if absent.
    #[serde(default)]
    pub prefill_rate: Option<f64>,
    /// Time between output tokens when warm, in milliseconds; a default is assumed if absent.
    #[serde(default)]
    pub decode_interval_ms: Option<f64>,
    /// Whether it rejects an order with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether it verifies the identity of the process that sends an order.
    #[serde(default)]
    pub checks_identity: bool,
    /// Whether it can suspend a running prefill.
    #[serde(default)]
    pub can_suspend: bool,
    /// Whether operators have drained it, so that it gets no new requests.
    #[serde(default)]
    pub drained: bool,
}

/// A team, whose callers share keys, a weight and a token limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name, unique among the teams.
    pub name: Box<str>,
    /// Hashes of the keys that identify its callers, as returned by [`crate::hash_key`].
    pub key_hashes: Vec<Box<str>>,
    /// Share of a backend server's time relative to the weights of other teams; must not be zero.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Limit on prompt and output tokens per second across all gateways; unlimited if absent.
    #[serde(default)]
    pub tokens_per_second: Option<u64>,
}

/// A route to a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix of the requests that the route matches. Starts with `/` and is unique among the
    /// routes.
    pub path: Box<str>,
    /// Plain service that answers the requests.
    pub service: Box<str>,
    /// Whether a request may safely run more than once; `false` by default.
    #[serde(default)]
    pub repeatable: bool,
    /// Maximum duration of a request, in milliseconds.
    #[serde(default = "default_route_time")]
    pub time_limit_ms: u64,
}

/// A rule on where requests may run. A request that the rule covers may run only on the backend
/// servers that match all its `regions`, `domains` and `servers` lists.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Name, unique among the rules.
    pub name: Box<str>,
    /// Teams that it covers; every team if empty.
    #[serde(default)]
    pub teams: Vec<Box<str>>,
    /// Models that it covers; every model and every plain service if empty.
    #[serde(default)]
    pub models: Vec<Box<str>>,
    /// Regions where the requests may run; any region if empty.
    #[serde(default)]
    pub regions: Vec<Box<str>>,
    /// Failure domains where the requests may run; any domain if empty.
    #[serde(default)]
    pub domains: Vec<Box<str>>,
    /// Backend servers where the requests may run; any server if empty.
    #[serde(default)]
    pub servers: Vec<Box<str>>,
}

/// An operator, who is identified by keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name, unique among the operators.
    pub name: Box<str>,
    /// Hashes of the operator's keys, as returned by [`crate::hash_key`].
    pub key_hashes: Vec<Box<str>>,
}

/// Location of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLocation {
    /// Name of the backend server.
    pub server: Box<str>,
    /// Name of its failure domain.
    pub domain: Box<str>,
    /// Region that contains the failure domain.
    pub region: Box<str>,
}

fn default_kv_bytes() -> u64 {
    1024
}

fn default_replicas() -> u32 {
    2
}

fn default_context() -> u64 {
    1_000_000
}

fn default_warm_limit() -> u32 {
    64
}

fn default_cold_limit() -> u32 {
    2
}

fn default_weight() -> u32 {
    100
}

fn default_route_time() -> u64 {
    10_000
}
