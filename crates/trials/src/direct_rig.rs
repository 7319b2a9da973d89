//! A test rig for direct gateways: their processes, and stand-ins of the users' platform.

use crate::direct_gateway::{CallerAnswer, DirectGateway, RIG_HOST};
use crate::error::TrialError;
use crate::loopback::loopback;
use crate::temp_dir::TempDir;
use runtime::Executor;
use serde_json::{Value, json};
use standins::{PlatformServer, PlatformStore, ServerKind, StandinServer};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Start that all servers state, in ms since the Unix epoch.
const SERVERS_START_MS: u64 = 1_790_000_000_000;

/// Rows of servers that were written, which each further one counts as its server does.
static WRITTEN_ROWS: AtomicU64 = AtomicU64::new(0);

/// Content of the next row of a backend server.
pub(crate) fn registration(domain: &str, service: &str, address: SocketAddr, state: &str) -> Value {
    json!({
        "Service": service, "Address": address, "Zone": domain, "Version": "v1", "Slots": 4,
        "State": state, "ColdRemainingMs": 0, "born": SERVERS_START_MS,
        "Sequence": WRITTEN_ROWS.fetch_add(1, Ordering::Relaxed)
    })
}

/// A direct gateway and the stand-in of its store; more gateways and backend servers can be added.
#[derive(Debug)]
pub struct DirectRig {
    executor: Executor,
    /// Stand-in of the platform's store.
    pub store: StandinServer<PlatformStore>,
    /// The first gateway.
    pub gateway: DirectGateway,
    /// Prompt tokens that callers state in their requests.
    pub prompt: u64,
    directory: TempDir,
}

impl DirectRig {
    /// Starts the store and a gateway, without any declarations.
    pub fn start(executor: &Executor) -> Result<Self, TrialError> {
        Self::start_with_bounds(executor, &[])
    }

    /// As [`DirectRig::start`], with values of the settings file's `Bounds` section.
    pub fn start_with_bounds(
        executor: &Executor,
        bounds: &[(&str, f64)],
    ) -> Result<Self, TrialError> {
        Self::start_with(executor, bounds, &[])
    }

    /// As [`DirectRig::start`], with further options on the gateway's command line.
    pub fn start_with_options(executor: &Executor, options: &[&str]) -> Result<Self, TrialError> {
        Self::start_with(executor, &[], options)
    }

    fn start_with(
        executor: &Executor,
        bounds: &[(&str, f64)],
        options: &[&str],
    ) -> Result<Self, TrialError> {
        let directory = TempDir::create()?;
        let store = PlatformStore::bind(executor, loopback(0));
        let store = store.map_err(|err| TrialError::File("platform store".into(), err))?;
        let address = store.local_addr();
        let gateway =
            DirectGateway::start(executor, &directory, "gateway-1", address, bounds, options)?;
        Ok(Self {
            executor: executor.clone(),
            store,
            gateway,
            prompt: 1_000,
            directory,
        })
    }

    /// Starts another gateway, which uses the store at address `store`.
    pub fn add_gateway(&self, name: &str, store: SocketAddr) -> Result<DirectGateway, TrialError> {
        self.add_gateway_with_bounds(name, store, &[])
    }

    /// As [`Self::add_gateway`], with values of the settings file's `Bounds` section.
    pub fn add_gateway_with_bounds(
        &self,
        name: &str,
        store: SocketAddr,
        bounds: &[(&str, f64)],
    ) -> Result<DirectGateway, TrialError> {
        DirectGateway::start(&self.executor, &self.directory, name, store, bounds, &[])
    }

    /// As [`Self::add_gateway`], with further options on the gateway's command line.
    pub fn add_gateway_with_options(
        &self,
        name: &str,
        store: SocketAddr,
        options: &[&str],
    ) -> Result<DirectGateway, TrialError> {
        DirectGateway::start(&self.executor, &self.directory, name, store, &[], options)
    }

    /// Starts a stand-in of a backend server and registers it as ready.
    pub fn add_server(
        &self,
        name: &str,
        service: &str,
        kind: ServerKind,
    ) -> Result<StandinServer<PlatformServer>, TrialError> {
        self.add_server_at(loopback(0), name, service, kind)
    }

    /// As [`Self::add_server`], at an address that nothing listens at.
    pub fn add_server_at(
        &self,
        address: SocketAddr,
        name: &str,
        service: &str,
        kind: ServerKind,
    ) -> Result<StandinServer<PlatformServer>, TrialError> {
        let server = PlatformServer::bind(&self.executor, address, name, kind);
        let server = server.map_err(|err| TrialError::File(name.into(), err))?;
        self.register(name, service, server.local_addr(), "ready");
        Ok(server)
    }

    /// Writes the store's row of a backend server.
    pub fn register(&self, name: &str, service: &str, address: SocketAddr, state: &str) {
        self.register_in("a", name, service, address, state);
    }

    /// As [`Self::register`], for a server in the failure domain `domain`.
    pub fn register_in(
        &self,
        domain: &str,
        name: &str,
        service: &str,
        address: SocketAddr,
        state: &str,
    ) {
        let row = registration(domain, service, address, state);
        self.store.standin().put("servers", name, &row);
    }

    /// Writes declarations with one route of each kind, and streams of plain servers; `keys` are the API keys of the only team.
    pub fn write_declarations(&self, version: u64, keys: &[&str]) {
        self.store
            .standin()
            .put("op", "config", &declarations(version, keys));
    }

    /// As [`Self::write_declarations`], with routes on which neither a request nor its server runs out of time
    /// before `limit`.
    pub fn write_patient_declarations(&self, version: u64, keys: &[&str], limit: Duration) {
        let mut content = declarations(version, keys);
        if let Some(routes) = content["Routes"].as_array_mut() {
            for route in routes {
                for bound in ["TimeoutMs", "TargetLatencyMs", "TargetGapMs"] {
                    route[bound] = (limit.as_millis() as u64).into();
                }
            }
        }
        self.store.standin().put("op", "config", &content);
    }

    /// As [`Self::write_declarations`], with one more plain service and a route to it, both of this name.
    pub fn write_declarations_with(&self, version: u64, keys: &[&str], service: &str) {
        let mut content = declarations(version, keys);
        if let Some(routes) = content["Routes"].as_array_mut() {
            routes.push(route(service, "safe", service, false));
        }
        if let Some(services) = content["Services"].as_array_mut() {
            services.push(json!({ "Name": service, "ColdPerS": 0.0 }));
        }
        self.store.standin().put("op", "config", &content);
    }

    /// As [`Self::write_declarations`], with `further` routes of the same service, some 190 bytes each.
    pub fn write_large_declarations(&self, version: u64, keys: &[&str], further: usize) {
        let mut content = declarations(version, keys);
        let template = content["Routes"][3].clone();
        if let Some(routes) = content["Routes"].as_array_mut() {
            routes.extend((0..further).map(|n| {
                let mut route = template.clone();
                route["Name"] = format!("further-{n:06}").into();
                route["Prefix"] = format!("/further-{n:06}/").into();
                route
            }));
        }
        self.store.standin().put("op", "config", &content);
    }

    /// Waits until the gateway accepts requests; false if it does not in time.
    pub async fn wait_until_ready(&self) -> bool {
        self.wait_until(async || self.gateway.is_ready().await)
            .await
    }

    /// Polls a condition until it holds; false if it does not in time.
    pub async fn wait_until(&self, mut holds: impl AsyncFnMut() -> bool) -> bool {
        let wait = async {
            while !holds().await {
                async_io::Timer::after(Duration::from_millis(20)).await;
            }
        };
        runtime::timeout(WAIT_TIMEOUT, wait).await.is_ok()
    }

    /// Sends a request to the first gateway and reads the whole response.
    pub async fn call(&self, id: &str, path: &str, key: Option<&str>) -> CallerAnswer {
        self.gateway.caller().call(id, path, key, self.prompt).await
    }

    /// Sends a request to the first gateway and returns the response with its body unread.
    pub async fn start_call(
        &self,
        id: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<runtime::SingleResponse, runtime::HttpError> {
        self.gateway
            .caller()
            .start_call(id, path, key, self.prompt)
            .await
    }

    /// Executor on which the stand-ins run.
    pub fn executor(&self) -> &Executor {
        &self.executor
    }

    /// Directory of the settings files and logs, deleted when the rig is dropped.
    pub fn directory(&self) -> &TempDir {
        &self.directory
    }
}

fn declarations(version: u64, keys: &[&str]) -> Value {
    json!({
        "Version": version,
        "Routes": [
            route("stream", "streaming", "engines", true),
            route("single-run", "streaming", "engines", false),
            route("once", "unsafe", "registry", false),
            route("lookup", "safe", "registry", false),
            route("draft", "streaming", "drafts", true),
            route("single-draft", "streaming", "drafts", false),
        ],
        "Services": [
            {
                "Name": "engines", "ColdPerS": 36.0, "ColdStartS": 3.0,
                "Engine": {
                    "Slots": 16, "KvCapacityTokens": 30_000, "Stride": 46, "step_ms": 0.9,
                    "read_per_s": 256_000.0, "pairs_per_m": 0.09, "HopMs": 0.1
                }
            },
            { "Name": "registry", "ColdPerS": 0.0 },
            { "Name": "drafts", "ColdPerS": 0.0 },
        ],
        "Limits": {},
        "Tenants": [{ "Name": "team-1", "ApiKeys": keys, "Priority": 1 }]
    })
}

/// Declaration of a route.
pub(crate) fn route(name: &str, kind: &str, service: &str, resume: bool) -> Value {
    json!({
        "Name": name, "Hostname": RIG_HOST, "Prefix": format!("/{name}/"), "RouteType": kind,
        "TimeoutMs": 8000, "TargetLatencyMs": 300, "Priority": 1, "Service": service,
        "MaxAttempts": 2, "AllowAnonymous": false, "StreamResume": resume, "TargetGapMs": 200
    })
}

/// Published figures of an engine of the size that deployments have.
pub(crate) fn large_engine() -> Value {
    json!({
        "Slots": 16, "KvCapacityTokens": 450_000, "Stride": 46, "step_ms": 0.925,
        "per_seq_ms": 0.00483, "context_per_k": 0.00254, "chunk": 2048,
        "read_per_s": 256_000.0, "pairs_per_m": 0.0917, "HopMs": 0.1,
        "usual": { "prompt": 13_227, "answer": 800 }
    })
}
