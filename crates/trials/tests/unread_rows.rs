//! Rows of the store that watches do not tell of, at gateways that are sound and reach the store.

use hyper::StatusCode;
use runtime::Executor;
use serde_json::{Value, json};
use standins::{ListedVersion, PlatformStore, QuietAnswer, ServerKind};
use std::time::{Duration, Instant};
use trials::{CallerAnswer, DirectGateway, DirectRig, RIG_HOST};

/// `ConfigApplyMs` of the gateways.
const APPLY: Duration = Duration::from_secs(2);

fn declarations(version: u64, prefixes: &[&str], keys: &[&str], max_body: u64) -> Value {
    let route = |prefix: &&str| {
        json!({
            "Name": prefix, "Hostname": RIG_HOST, "Prefix": prefix, "RouteType": "safe",
            "TimeoutMs": 8000, "Service": "registry", "MaxAttempts": 2
        })
    };
    json!({
        "Version": version, "Limits": { "MaxBodyBytes": max_body },
        "Routes": prefixes.iter().map(route).collect::<Vec<_>>(),
        "Services": [{ "Name": "registry", "ColdPerS": 0.0 }],
        "Tenants": [{ "Name": "team-1", "ApiKeys": keys, "Priority": 1 }]
    })
}

/// Gateways before one store.
struct Trial {
    rig: DirectRig,
    gateways: Vec<DirectGateway>,
}

impl Trial {
    fn start(executor: &Executor, gateways: usize) -> Self {
        let mut rig = DirectRig::start(executor).unwrap();
        // Its bounds are those of the deployments.
        rig.gateway.process.kill();
        let store = rig.store.local_addr();
        let bounds = [("ConfigApplyMs", APPLY.as_millis() as f64)];
        let started = (0..gateways).map(|n| {
            let name = format!("unread-{n}");
            rig.add_gateway_with_bounds(&name, store, &bounds).unwrap()
        });
        let gateways = started.collect();
        let trial = Self { rig, gateways };
        trial.declare(3, &["/old/"], &["key-1"], 100);
        trial
    }

    fn store(&self) -> &PlatformStore {
        self.rig.store.standin()
    }

    fn declare(&self, version: u64, prefixes: &[&str], keys: &[&str], max_body: u64) {
        let value = declarations(version, prefixes, keys, max_body);
        self.store().put("op", "config", &value);
    }

    fn add_route(&self) {
        self.declare(4, &["/old/", "/new/"], &["key-1"], 100);
    }

    async fn ask(&self, gateway: usize, path: &str, key: &str) -> CallerAnswer {
        let caller = self.gateways[gateway].caller();
        caller.call(path, path, Some(key), 1_000).await
    }

    /// Waits until polls and calls that were open have been answered.
    async fn wait(&self, time: Duration) {
        let start = Instant::now();
        let passed = async || start.elapsed() > time;
        assert!(self.rig.wait_until(passed).await);
    }

    async fn wait_for_all(&self, path: &str, key: &str, status: StatusCode) {
        for (n, gateway) in self.gateways.iter().enumerate() {
            let answered = self
                .rig
                .wait_until(async || self.ask(n, path, key).await.status == status);
            let log = || gateway.process.log_tail();
            assert!(answered.await, "gateway {n}: not {status}: {}", log());
        }
    }

    /// Waits until the route that was added at `since` is served, which is never refused as unknown once it
    /// has to be in force.
    async fn check_added_route(&self, since: Instant) {
        for (n, gateway) in self.gateways.iter().enumerate() {
            let served = self.rig.wait_until(async || {
                let is_due = since.elapsed() > APPLY;
                let status = self.ask(n, "/new/x", "key-1").await.status;
                let is_refused = is_due && status == StatusCode::NOT_FOUND;
                assert!(!is_refused, "gateway {n}: {}", gateway.process.log_tail());
                status == StatusCode::OK
            });
            let log = || gateway.process.log_tail();
            assert!(served.await, "gateway {n}: not served: {}", log());
        }
    }
}

fn with_gateways(gateways: usize, test: impl AsyncFnOnce(&Trial)) {
    Executor::run(2, |executor| async move {
        let trial = Trial::start(&executor, gateways);
        let _server = trial
            .rig
            .add_server("plain-1", "registry", ServerKind::Plain);
        trial.wait_for_all("/old/x", "key-1", StatusCode::OK).await;
        trial
            .wait_for_all("/new/x", "key-1", StatusCode::NOT_FOUND)
            .await;
        test(&trial).await;
    });
}

/// Longer than polls are held.
const POLLS: Duration = Duration::from_millis(1_600);

/// Adds a route while the store has a fault, and checks it at `gateways` gateways.
fn an_added_route_is_served(gateways: usize, fault: impl AsyncFnOnce(&Trial)) {
    with_gateways(gateways, async |trial| {
        let since = Instant::now();
        fault(trial).await;
        trial.check_added_route(since).await;
    });
}

async fn hush(trial: &Trial, answer: QuietAnswer) {
    trial.store().quieten_watches(Some(answer));
    trial.add_route();
    trial.wait(POLLS).await;
}

/// The watches are cut, and the history before is dropped.
fn compact(trial: &Trial) {
    trial.store().forget_history();
    trial.store().quieten_watches(None);
    trial.store().cut_watches();
}

macro_rules! unread {
    ($($name:ident: $gateways:expr, $fault:expr;)*) => {$(
        #[test]
        fn $name() {
            an_added_route_is_served($gateways, $fault);
        }
    )*};
}

unread! {
    an_empty_answer_with_the_newest_version: 2, async |trial: &Trial| {
        hush(trial, QuietAnswer::NewestVersion).await;
        compact(trial);
    };
    an_empty_answer_and_a_kept_history: 2, async |trial: &Trial| {
        hush(trial, QuietAnswer::NewestVersion).await;
        trial.store().quieten_watches(None);
    };
    a_claim_of_one_gateway: 8, async |trial: &Trial| {
        hush(trial, QuietAnswer::NewestVersion).await;
        compact(trial);
    };
    an_answer_that_leaves_out_a_row: 2, async |trial: &Trial| {
        trial.store().hide_from_watches("op", "config", true);
        trial.add_route();
        trial.store().put("op", "evacuate/unknown", &json!({}));
        trial.wait(POLLS).await;
        trial.store().hide_from_watches("op", "config", false);
    };
    a_watch_that_is_deaf: 2, async |trial: &Trial| {
        trial.store().hide_from_watches("op", "config", true);
        trial.add_route();
    };
    a_watch_that_never_answers: 2, async |trial: &Trial| {
        trial.store().quieten_watches(Some(QuietAnswer::Never));
        trial.add_route();
    };
    an_answer_of_the_polled_version: 2, async |trial: &Trial| {
        hush(trial, QuietAnswer::PolledVersion).await;
        compact(trial);
    };
    an_answer_of_an_older_version: 2, async |trial: &Trial| {
        hush(trial, QuietAnswer::OldestVersion).await;
        trial.store().quieten_watches(None);
    };
    a_listing_that_is_behind: 2, async |trial: &Trial| {
        trial.store().keep_listings(Some(ListedVersion::OfContent));
        trial.add_route();
        compact(trial);
        trial.wait(POLLS).await;
        trial.store().keep_listings(None);
    };
    a_listing_that_is_behind_with_the_newest_version: 2, async |trial: &Trial| {
        trial.store().hide_from_watches("op", "config", true);
        trial.store().keep_listings(Some(ListedVersion::Newest));
        trial.add_route();
        compact(trial);
        trial.wait(POLLS).await;
        trial.store().keep_listings(None);
    };
    a_store_that_compares_no_rows: 2, async |trial: &Trial| {
        trial.store().refuse_comparisons(true);
        trial.store().hide_from_watches("op", "config", true);
        trial.add_route();
    };
}
