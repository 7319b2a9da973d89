//! Configuration of a local fleet: gateways, backend servers and declarations.

use declarations::{
    Declarations, Domain, Model, Operator, Route, Server, ServerKind, Team, hash_key,
};
use standins::{EngineSpec, ServiceSpec, TableSpec, WeightStoreSpec};
use std::net::SocketAddr;
use std::time::Duration;

/// API key of the fleet's first team.
pub const TEAM_KEY: &str = "counter-key";
/// API key of the fleet's operator.
pub const OPERATOR_KEY: &str = "operator-key";
/// Name of the fleet's only model.
pub const MODEL: &str = "draft";
/// Path of the route to the fleet's plain service, a label registry. Its requests may not be
/// repeated.
pub const SERVICE_PATH: &str = "/labels";
const LOADED_MODEL: &str = "draft@1";
const REGION: &str = "sk-west";
const DOMAINS: [&str; 3] = ["bratislava-a", "trnava-b", "nitra-c"];
const KV_BYTES_PER_TOKEN: u64 = 1024;
const ENGINE_TOKENS: u64 = 2_000_000;

/// A backend server: its declaration and the settings of its stand-in.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Declaration of the server, added to those of the fleet.
    pub server: Server,
    /// Settings of its stand-in.
    pub stand_in: BackendStandIn,
}

/// Settings of a backend server's stand-in.
#[derive(Debug, Clone)]
pub enum BackendStandIn {
    /// A model engine.
    Engine(EngineSpec),
    /// A plain service.
    Service(ServiceSpec),
    /// A server that is started elsewhere, at this address.
    At(SocketAddr),
}

/// Configuration of a local fleet.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// Failure domain of each gateway, in order of their numbers.
    pub gateways: Vec<Box<str>>,
    /// Backend servers.
    pub backends: Vec<Backend>,
    /// Declarations without the backend servers.
    pub base_declarations: Declarations,
    /// Additional flags of each gateway.
    pub gateway_flags: Vec<Box<str>>,
    /// Additional flags of each agent.
    pub agent_flags: Vec<Box<str>>,
    /// Settings of the platform's stand-ins.
    pub platform: PlatformSpec,
}

/// Settings of the platform's stand-ins.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlatformSpec {
    /// Limits of the table service.
    pub table: TableSpec,
    /// Limits of the weight store.
    pub weights: WeightStoreSpec,
    /// Time after which a change of the host list becomes visible.
    pub host_lag: Duration,
}

impl FleetConfig {
    /// Two gateways, `engines` engines in each of three failure domains, and one label registry.
    pub fn with_engines(engines: usize) -> Self {
        let mut backends = Vec::new();
        for domain in DOMAINS {
            for number in 1..=engines {
                backends.push(Backend::engine(
                    &format!("engine-{domain}-{number}"),
                    domain,
                ));
            }
        }
        backends.push(Backend::service("registry-1", DOMAINS[0]));
        Self {
            gateways: vec![DOMAINS[0].into(), DOMAINS[1].into()],
            backends,
            base_declarations: declarations(),
            gateway_flags: Vec::new(),
            agent_flags: Vec::new(),
            platform: PlatformSpec::default(),
        }
    }

    /// As [`FleetConfig::with_engines`], with one engine in each failure domain.
    pub fn small() -> Self {
        Self::with_engines(1)
    }

    /// One gateway and one engine in the same failure domain, without a label registry.
    pub fn single() -> Self {
        let mut cfg = Self::small();
        cfg.gateways.truncate(1);
        cfg.backends.truncate(1);
        cfg
    }

    /// Complete declarations, with the backend servers.
    pub fn declarations(&self) -> Declarations {
        let mut declared = self.base_declarations.clone();
        let servers = self.backends.iter().map(|backend| backend.server.clone());
        declared.servers.extend(servers);
        declared
    }

    /// Calls `change` with the stand-in settings and the declaration of each engine.
    pub fn for_each_engine(&mut self, change: impl Fn(&mut EngineSpec, &mut Server)) {
        for backend in &mut self.backends {
            if let BackendStandIn::Engine(cfg) = &mut backend.stand_in {
                change(cfg, &mut backend.server);
            }
        }
    }
}

impl Backend {
    /// An engine that serves [`MODEL`] and starts warm.
    pub fn engine(name: &str, domain: &str) -> Self {
        let mut declared = server(name, domain, ServerKind::Engine);
        declared.models = vec![MODEL.into()];
        declared.memory_bytes = ENGINE_TOKENS * KV_BYTES_PER_TOKEN;
        Self {
            server: declared,
            stand_in: BackendStandIn::Engine(EngineSpec {
                memory_tokens: ENGINE_TOKENS,
                models: vec![LOADED_MODEL.into()],
                starts_cold: false,
                ..EngineSpec::default()
            }),
        }
    }

    /// A label registry, the plain service at [`SERVICE_PATH`].
    pub fn service(name: &str, domain: &str) -> Self {
        let mut declared = server(name, domain, ServerKind::Service);
        declared.service = Some("labels".into());
        Self {
            server: declared,
            stand_in: BackendStandIn::Service(ServiceSpec {
                name: name.into(),
                ..ServiceSpec::default()
            }),
        }
    }
}

fn server(name: &str, domain: &str, kind: ServerKind) -> Server {
    Server {
        name: name.into(),
        kind,
        host: format!("host-{name}").into(),
        domain: domain.into(),
        models: Vec::new(),
        service: None,
        memory_bytes: 0,
        warm_limit: 64,
        cold_limit: 2,
        checks_fencing: true,
        checks_identity: true,
        prefill_rate: None,
        decode_interval_ms: None,
        can_suspend: true,
        drained: false,
    }
}

fn declarations() -> Declarations {
    let domain = |name: &str| Domain {
        name: name.into(),
        region: REGION.into(),
        out: false,
    };
    Declarations {
        domains: DOMAINS.into_iter().map(domain).collect(),
        models: vec![Model {
            name: MODEL.into(),
            version: "1".into(),
            kv_bytes_per_token: KV_BYTES_PER_TOKEN,
            replicas: 64,
            weight_bytes: 0,
            context_tokens: 2 * ENGINE_TOKENS,
        }],
        servers: Vec::new(),
        teams: vec![Team {
            name: "counter".into(),
            key_hashes: vec![hash_key(TEAM_KEY)],
            weight: 100,
            tokens_per_second: None,
        }],
        routes: vec![Route {
            path: SERVICE_PATH.into(),
            service: "labels".into(),
            repeatable: false,
            time_limit_ms: 10_000,
        }],
        rules: Vec::new(),
        operators: vec![Operator {
            name: "operator".into(),
            key_hashes: vec![hash_key(OPERATOR_KEY)],
        }],
    }
}
