//! Declarations of a soak, with parts that come and go.

use crate::direct_rig::large_engine;
use crate::direct_rig::route;
use serde_json::{Value, json};

/// Content of one version of the declarations.
#[derive(Debug, Clone, Default)]
pub(crate) struct SoakDeclarations {
    pub(crate) version: u64,
    /// Names of routes beside those that every version has.
    pub(crate) routes: Vec<String>,
    /// API keys beside the one that every version has.
    pub(crate) keys: Vec<String>,
    /// Number of further routes, which nobody uses.
    pub(crate) idle_routes: usize,
}

/// API key that every version allows.
pub(crate) const SOAK_KEY: &str = "key-1";
/// Longest time that routes allow.
pub(crate) const ROUTE_TIMEOUT_MS: u64 = 15_000;
/// Bytes that an idle route takes up, about.
pub(crate) const IDLE_ROUTE_BYTES: usize = 230;

impl SoakDeclarations {
    pub(crate) fn to_json(&self) -> Value {
        let service_route = |name: &str, kind: &str, service: &str, resume: bool| {
            let mut route = route(name, kind, service, resume);
            route["TimeoutMs"] = ROUTE_TIMEOUT_MS.into();
            route["TargetLatencyMs"] = 3_000.into();
            route["TargetGapMs"] = 800.into();
            route
        };
        let mut routes = vec![
            service_route("stream", "streaming", "engines", true),
            service_route("single-run", "streaming", "engines", false),
            service_route("once", "unsafe", "registry", false),
            service_route("lookup", "safe", "registry", false),
        ];
        let added = self.routes.iter().cloned();
        let idle = (0..self.idle_routes).map(|n| format!("idle-{n:06}"));
        routes.extend(
            added
                .chain(idle)
                .map(|name| route(&name, "safe", "registry", false)),
        );
        let keys = self.keys.iter().map(String::as_str);
        let keys: Vec<&str> = std::iter::once(SOAK_KEY).chain(keys).collect();
        json!({
            "Version": self.version,
            "Routes": routes,
            "Services": [
                {
                    "Name": "engines", "ColdPerS": 36.0, "ColdStartS": 0.0, "MaxConnections": 424,
                    "Engine": large_engine()
                },
                { "Name": "registry", "ColdPerS": 0.0, "MaxConnections": 4096 },
            ],
            "Limits": {
                "MaxHeaderBytes": 16_384, "MaxBodyBytes": 4_194_304, "HeaderTimeoutMs": 3_000,
                "IdleTimeoutMs": 15_000
            },
            "Tenants": [{ "Name": "team-1", "ApiKeys": keys, "Priority": 1 }]
        })
    }
}
