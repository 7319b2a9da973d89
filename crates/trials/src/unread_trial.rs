//! Gateways before a store whose watches leave out changes.

use crate::direct_gateway::{CallerAnswer, DirectGateway, RIG_HOST};
use crate::direct_rig::DirectRig;
use crate::error::TrialError;
use hyper::StatusCode;
use runtime::Executor;
use serde_json::{Value, json};
use standins::{PlatformServer, PlatformStore, QuietAnswer, ServerKind, StandinServer};
use std::time::{Duration, Instant};

/// Longer than polls are held.
const POLLS: Duration = Duration::from_millis(1_600);
/// Prompt tokens that callers state.
const PROMPT: u64 = 1_000;

/// Content of the operators' row, with a route for each prefix.
#[derive(Debug, Clone, Copy)]
pub struct TrialDeclarations<'a> {
    /// Version of the declarations.
    pub version: u64,
    /// Prefixes of the routes, with the service of each.
    pub routes: &'a [(&'a str, &'a str)],
    /// API keys of the only team.
    pub keys: &'a [&'a str],
    /// Limit on the body of a request, in bytes.
    pub max_body: u64,
}

impl TrialDeclarations<'static> {
    /// Those in force when a trial begins.
    pub const FIRST: Self = Self {
        version: 3,
        routes: &[("/old/", "registry")],
        keys: &["key-1"],
        max_body: 100,
    };
}

impl TrialDeclarations<'_> {
    fn to_json(self) -> Value {
        let route = |(prefix, service): &(&str, &str)| {
            json!({
                "Name": prefix, "Hostname": RIG_HOST, "Prefix": prefix, "RouteType": "safe",
                "TimeoutMs": 8000, "Service": service, "MaxAttempts": 2
            })
        };
        json!({
            "Version": self.version, "Limits": { "MaxBodyBytes": self.max_body },
            "Routes": self.routes.iter().map(route).collect::<Vec<_>>(),
            "Services": [
                { "Name": "registry", "ColdPerS": 0.0 }, { "Name": "other", "ColdPerS": 0.0 }
            ],
            "Tenants": [{ "Name": "team-1", "ApiKeys": self.keys, "Priority": 1 }]
        })
    }
}

/// Gateways before one store, and a server of the service `registry`.
#[derive(Debug)]
pub struct UnreadTrial {
    /// Their store.
    pub rig: DirectRig,
    /// The gateways.
    pub gateways: Vec<DirectGateway>,
    /// The server `plain-1`.
    pub server: StandinServer<PlatformServer>,
}

impl UnreadTrial {
    /// Runs a test with gateways that have these bounds in their settings, once all serve.
    ///
    /// # Panics
    ///
    /// If they cannot be started.
    pub fn run(gateways: usize, bounds: &[(&str, f64)], test: impl AsyncFnOnce(&Self)) {
        Self::run_with_store(gateways, bounds, |_| {}, test);
    }

    /// As [`Self::run`], with a store that is prepared before the gateways start.
    ///
    /// # Panics
    ///
    /// If they cannot be started.
    pub fn run_with_store(
        gateways: usize,
        bounds: &[(&str, f64)],
        prepare: impl FnOnce(&PlatformStore),
        test: impl AsyncFnOnce(&Self),
    ) {
        Executor::run(2, |executor| async move {
            let trial = match Self::start(&executor, gateways, bounds, prepare) {
                Ok(trial) => trial,
                Err(err) => panic!("the trial cannot be started: {err}"),
            };
            trial.wait_for_all("/old/x", "key-1", StatusCode::OK).await;
            trial
                .wait_for_all("/new/x", "key-1", StatusCode::NOT_FOUND)
                .await;
            test(&trial).await;
        });
    }

    fn start(
        executor: &Executor,
        gateways: usize,
        bounds: &[(&str, f64)],
        prepare: impl FnOnce(&PlatformStore),
    ) -> Result<Self, TrialError> {
        let mut rig = DirectRig::start(executor)?;
        // Its bounds are those of the deployments.
        rig.gateway.process.kill();
        prepare(rig.store.standin());
        let store = rig.store.local_addr();
        let started = (0..gateways).map(|n| {
            let name = format!("unread-{n}");
            rig.add_gateway_with_bounds(&name, store, bounds)
        });
        let gateways = started.collect::<Result<_, _>>()?;
        let server = rig.add_server("plain-1", "registry", ServerKind::Plain)?;
        let trial = Self {
            rig,
            gateways,
            server,
        };
        trial.declare(TrialDeclarations::FIRST);
        Ok(trial)
    }

    /// Stand-in of their store.
    pub fn store(&self) -> &PlatformStore {
        self.rig.store.standin()
    }

    /// Writes declarations.
    pub fn declare(&self, declarations: TrialDeclarations<'_>) {
        self.store().put("op", "config", &declarations.to_json());
    }

    /// Sends a request to one gateway.
    pub async fn ask(&self, gateway: usize, path: &str, key: &str) -> CallerAnswer {
        let caller = self.gateways[gateway].caller();
        caller.call(path, path, Some(key), PROMPT).await
    }

    /// Sends a request with a body of this many bytes to one gateway.
    pub async fn send(&self, gateway: usize, path: &str, key: &str, bytes: usize) -> CallerAnswer {
        let caller = self.gateways[gateway].caller();
        let caller = caller.with_body(&"x".repeat(bytes));
        caller.call(path, path, Some(key), PROMPT).await
    }

    /// Waits until polls and calls that were open have been answered.
    ///
    /// # Panics
    ///
    /// If the time is longer than the rig waits.
    pub async fn wait_for_polls(&self) {
        self.wait(POLLS).await;
    }

    /// Waits for some time.
    ///
    /// # Panics
    ///
    /// If it is longer than the rig waits.
    pub async fn wait(&self, time: Duration) {
        let start = Instant::now();
        assert!(self.rig.wait_until(async || start.elapsed() > time).await);
    }

    /// Waits until all gateways answer with this status.
    ///
    /// # Panics
    ///
    /// If one does not.
    pub async fn wait_for_all(&self, path: &str, key: &str, status: StatusCode) {
        for (n, gateway) in self.gateways.iter().enumerate() {
            let answered = self
                .rig
                .wait_until(async || self.ask(n, path, key).await.status == status);
            let log = || gateway.process.log_tail();
            assert!(answered.await, "gateway {n}: not {status}: {}", log());
        }
    }

    /// Makes a change of which watches hear nothing.
    pub async fn hush(&self, answer: QuietAnswer, change: impl FnOnce(&Self)) {
        self.store().quieten_watches(Some(answer));
        change(self);
        self.wait_for_polls().await;
    }

    /// Drops the history before, and cuts the watches, which hear of changes again.
    pub fn compact(&self) {
        self.store().forget_history();
        self.store().quieten_watches(None);
        self.store().cut_watches();
    }
}
