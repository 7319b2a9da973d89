//! The declared things.

use serde::{Deserialize, Serialize};

/// All that operators declare, at one version.
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
    /// Routes to plain services.
    pub routes: Vec<Route>,
    /// Rules of where work may run.
    pub rules: Vec<Rule>,
    /// Operators.
    pub operators: Vec<Operator>,
}

impl Declarations {
    /// The failure domain of that name.
    pub fn domain(&self, name: &str) -> Option<&Domain> {
        self.domains.iter().find(|domain| &*domain.name == name)
    }

    /// The model of that name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| &*model.name == name)
    }

    /// The backend server of that name.
    pub fn server(&self, name: &str) -> Option<&Server> {
        self.servers.iter().find(|server| &*server.name == name)
    }

    /// The team of that name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| &*team.name == name)
    }

    /// The route that a path falls under: the longest declared prefix.
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
    /// Its name.
    pub name: Box<str>,
    /// Region that it lies in.
    pub region: Box<str>,
    /// Whether operators have taken it out.
    #[serde(default)]
    pub out: bool,
}

/// A model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Its name, as callers give it.
    pub name: Box<str>,
    /// Version whose weights engines load.
    #[serde(default)]
    pub version: Box<str>,
    /// Bytes of KV cache that one token takes.
    #[serde(default = "default_kv_bytes")]
    pub kv_bytes_per_token: u64,
    /// Replicas to keep loaded.
    #[serde(default = "default_replicas")]
    pub replicas: u32,
    /// Bytes of its weights.
    #[serde(default)]
    pub weight_bytes: u64,
    /// Most tokens of a prompt.
    #[serde(default = "default_context")]
    pub context_tokens: u64,
}

/// What kind of backend server one is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Its name.
    pub name: Box<str>,
    /// Kind.
    pub kind: ServerKind,
    /// Host that it and its agent run on.
    pub host: Box<str>,
    /// Failure domain of that host.
    pub domain: Box<str>,
    /// Models that it may carry; all where empty.
    #[serde(default)]
    pub models: Vec<Box<str>>,
    /// Name of the plain service that it is a replica of.
    #[serde(default)]
    pub service: Option<Box<str>>,
    /// Bytes of engine memory for KV cache.
    #[serde(default)]
    pub memory_bytes: u64,
    /// Requests that it bears at once when warm.
    #[serde(default = "default_warm_limit")]
    pub warm_limit: u32,
    /// Requests that it bears at once in cold start.
    #[serde(default = "default_cold_limit")]
    pub cold_limit: u32,
    /// Prefill rate of the warm engine, in tokens a second.
    #[serde(default)]
    pub prefill_rate: Option<f64>,
    /// Time between tokens of the warm engine, in milliseconds.
    #[serde(default)]
    pub decode_interval_ms: Option<f64>,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether it checks who orders.
    #[serde(default)]
    pub checks_identity: bool,
    /// Whether it can suspend a prefill.
    #[serde(default)]
    pub can_suspend: bool,
    /// Whether operators drain it.
    #[serde(default)]
    pub drained: bool,
}

/// A team of callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its name.
    pub name: Box<str>,
    /// Hashes of its keys, in the form of [`crate::hash_key`].
    pub key_hashes: Vec<Box<str>>,
    /// Share of a backend server's time, relative to other teams'.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Prompt and output tokens a second over all gateways; unlimited where absent.
    #[serde(default)]
    pub tokens_per_second: Option<u64>,
}

/// A route to a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix that callers ask for.
    pub path: Box<str>,
    /// Service that answers.
    pub service: Box<str>,
    /// Whether a call may run more than once; presumed not.
    #[serde(default)]
    pub repeatable: bool,
    /// Most milliseconds that a call may take.
    #[serde(default = "default_route_time")]
    pub time_limit_ms: u64,
}

/// A rule of where work may run. Work that a rule covers may run only where the rule allows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Its name.
    pub name: Box<str>,
    /// Teams that it covers; all where empty.
    #[serde(default)]
    pub teams: Vec<Box<str>>,
    /// Models that it covers; all, and all services, where empty.
    #[serde(default)]
    pub models: Vec<Box<str>>,
    /// Regions where the work may run; any where empty.
    #[serde(default)]
    pub regions: Vec<Box<str>>,
    /// Failure domains where the work may run; any where empty.
    #[serde(default)]
    pub domains: Vec<Box<str>>,
    /// Backend servers where the work may run; any where empty.
    #[serde(default)]
    pub servers: Vec<Box<str>>,
}

/// An operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name.
    pub name: Box<str>,
    /// Hashes of the operator's keys.
    pub key_hashes: Vec<Box<str>>,
}

/// Where a backend server is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLocation {
    /// Backend server.
    pub server: Box<str>,
    /// Failure domain.
    pub domain: Box<str>,
    /// Region.
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
