//! Requests that declarations do not allow, at gateways that nobody tells whether these are the newest.

use hyper::StatusCode;
use runtime::Executor;
use serde_json::{Value, json};
use standins::ServerKind;
use std::time::{Duration, Instant};
use trials::{CallerAnswer, DirectGateway, DirectRig, FaultProxy, LinkFault, RIG_HOST};

const FAILING_TABLES: &str = "bergamothold_direct_failing_tables ";
/// `ConfigApplyMs` of the gateways.
const APPLY_MS: f64 = 1_000.0;

fn declarations(version: u64, prefixes: &[&str], keys: &[&str]) -> Value {
    let route = |prefix: &&str| {
        json!({
            "Name": prefix, "Hostname": RIG_HOST, "Prefix": prefix, "RouteType": "safe",
            "TimeoutMs": 8000, "Service": "registry", "MaxAttempts": 2
        })
    };
    json!({
        "Version": version, "Limits": { "MaxBodyBytes": 100 },
        "Routes": prefixes.iter().map(route).collect::<Vec<_>>(),
        "Services": [{ "Name": "registry", "ColdPerS": 0.0 }],
        "Tenants": [{ "Name": "team-1", "ApiKeys": keys, "Priority": 1 }]
    })
}

/// Gateways, each with its own way to the store.
struct Trial {
    rig: DirectRig,
    gateways: Vec<DirectGateway>,
    ways: Vec<FaultProxy>,
}

impl Trial {
    async fn start(executor: &Executor, gateways: usize) -> Self {
        let mut rig = DirectRig::start(executor).unwrap();
        // It has a way to the store that stays.
        rig.gateway.process.kill();
        let store = rig.store.local_addr();
        let bounds = [("ConfigApplyMs", APPLY_MS)];
        let ways: Vec<_> = (0..gateways)
            .map(|_| FaultProxy::start(executor, store).unwrap())
            .collect();
        let started = ways.iter().enumerate().map(|(n, way)| {
            let name = format!("turned-away-{n}");
            rig.add_gateway_with_bounds(&name, way.address(), &bounds)
                .unwrap()
        });
        let gateways = started.collect();
        let trial = Self {
            rig,
            gateways,
            ways,
        };
        trial.put(3, &["/old/", "/dropped/"], &["key-1", "dropped-key"]);
        trial
    }

    fn put(&self, version: u64, prefixes: &[&str], keys: &[&str]) {
        let value = declarations(version, prefixes, keys);
        self.rig.store.standin().put("op", "config", &value);
    }

    /// Lets the store turn gateways away, and waits until these have noticed.
    async fn turn_away(&self, gateways: std::ops::Range<usize>, fault: LinkFault) {
        for way in &self.ways[gateways.clone()] {
            way.set(fault);
        }
        for gateway in &self.gateways[gateways] {
            let lost = self.rig.wait_until(async || {
                let page = gateway.metrics().await.unwrap();
                let failing = page.lines().find(|line| line.starts_with(FAILING_TABLES));
                failing.is_some_and(|line| !line.ends_with(" 0"))
            });
            assert!(lost.await, "{}", gateway.process.log_tail());
        }
    }

    fn let_in(&self) {
        for way in &self.ways {
            way.set(LinkFault::None);
        }
    }

    async fn ask(&self, gateway: usize, path: &str, key: &str) -> CallerAnswer {
        let caller = self.gateways[gateway].caller();
        caller.call(path, path, Some(key), 1_000).await
    }

    /// Waits for some times the bound.
    async fn wait_for_bounds(&self, bounds: u32) {
        let (start, bound) = (Instant::now(), Duration::from_millis(APPLY_MS as u64));
        let passed = async || start.elapsed() > bound * bounds;
        assert!(self.rig.wait_until(passed).await);
    }

    async fn send_long_body(&self, gateway: usize) -> CallerAnswer {
        let caller = self.gateways[gateway].caller().with_body(&"x".repeat(150));
        caller.call("long", "/old/x", Some("key-1"), 1_000).await
    }

    async fn wait_for(&self, gateway: usize, path: &str, status: StatusCode) {
        let answered = self
            .rig
            .wait_until(async || self.ask(gateway, path, "key-1").await.status == status);
        let log = || self.gateways[gateway].process.log_tail();
        assert!(
            answered.await,
            "gateway {gateway}, {path}: not {status}: {}",
            log()
        );
    }

    async fn wait_for_all(&self, path: &str, status: StatusCode) {
        for gateway in 0..self.gateways.len() {
            self.wait_for(gateway, path, status).await;
        }
    }

    /// What newer declarations may allow is not turned away for good, what those in force allow goes on.
    async fn check_doubt(&self, gateway: usize) {
        let (route, key) = ("/new/x", "key-2");
        for answer in [
            self.ask(gateway, route, "key-1").await,
            self.ask(gateway, "/old/x", key).await,
            self.send_long_body(gateway).await,
        ] {
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(answer.retry_after.is_some(), "{answer:?}");
        }
        let known = self.ask(gateway, "/old/x", "key-1").await;
        assert_eq!(known.status, StatusCode::OK);
    }
}

fn with_gateways(gateways: usize, test: impl AsyncFnOnce(&Trial)) {
    Executor::run(2, |executor| async move {
        let trial = Trial::start(&executor, gateways).await;
        let _server = trial
            .rig
            .add_server("plain-1", "registry", ServerKind::Plain);
        trial.wait_for_all("/old/x", StatusCode::OK).await;
        trial.wait_for_all("/new/x", StatusCode::NOT_FOUND).await;
        test(&trial).await;
    });
}

/// What older declarations allow is served for as long as nobody brings newer ones, also what these have
/// dropped, as `StrictRevocation` is false; after that no longer.
#[test]
fn dropped_routes_and_keys_are_served_until_the_store_lets_the_gateway_in() {
    with_gateways(1, async |trial| {
        trial.turn_away(0..1, LinkFault::Cut).await;
        trial.put(4, &["/old/", "/new/"], &["key-1"]);
        trial
            .wait_for(0, "/new/x", StatusCode::SERVICE_UNAVAILABLE)
            .await;
        let route = trial.ask(0, "/dropped/x", "key-1").await;
        assert_eq!(route.status, StatusCode::OK);
        let key = trial.ask(0, "/old/x", "dropped-key").await;
        assert_eq!(key.status, StatusCode::OK);
        trial.let_in();
        trial.wait_for(0, "/dropped/x", StatusCode::NOT_FOUND).await;
        let key = trial.ask(0, "/old/x", "dropped-key").await;
        assert_ne!(key.status, StatusCode::OK);
    });
}

/// Confirmed routes got 404 at all gateways while the store turned them all away.
fn confirmed_routes_are_not_refused_while_the_store_turns_all_away(fault: LinkFault) {
    with_gateways(3, async |trial| {
        trial.turn_away(0..3, fault).await;
        trial.put(4, &["/old/", "/new/"], &["key-1", "key-2"]);
        trial.wait_for_bounds(1).await;
        for gateway in 0..3 {
            trial.check_doubt(gateway).await;
            let page = trial.gateways[gateway].metrics().await.unwrap();
            let name = "bergamothold_direct_declarations_unconfirmed_seconds ";
            let age = page.lines().find_map(|line| line.strip_prefix(name));
            let age: f64 = age.unwrap().parse().unwrap();
            assert!(age >= APPLY_MS / 1e3, "{age} s");
        }
        trial.let_in();
        trial.wait_for_all("/new/x", StatusCode::OK).await;
        trial.wait_for_all("/none/x", StatusCode::NOT_FOUND).await;
        for gateway in 0..3 {
            let refuses = trial.rig.wait_until(async || {
                let long = trial.send_long_body(gateway).await.status;
                let unknown = trial.ask(gateway, "/old/x", "key-3").await.status;
                long == StatusCode::PAYLOAD_TOO_LARGE && unknown == StatusCode::UNAUTHORIZED
            });
            assert!(refuses.await, "gateway {gateway}");
        }
    });
}

macro_rules! turned_away {
    ($($name:ident: $fault:expr;)*) => {
        $(
            #[test]
            fn $name() {
                confirmed_routes_are_not_refused_while_the_store_turns_all_away($fault);
            }
        )*
    };
}

turned_away! {
    confirmed_routes_are_not_refused_while_the_store_resets_all: LinkFault::Cut;
    confirmed_routes_are_not_refused_while_the_store_answers_nobody: LinkFault::Silent;
    confirmed_routes_are_not_refused_while_all_answers_of_the_store_are_lost: LinkFault::NoReplies;
}

/// A gateway that the store turns away refuses by what peers confirm.
#[test]
fn peers_confirm_declarations_to_a_gateway_that_the_store_turns_away() {
    with_gateways(2, async |trial| {
        let away = &trial.gateways[0];
        let linked = trial
            .rig
            .wait_until(async || away.process.has_logged("peers: link open"));
        assert!(linked.await, "{}", away.process.log_tail());
        trial.turn_away(0..1, LinkFault::Cut).await;
        trial.put(4, &["/old/", "/new/"], &["key-1"]);
        trial.wait_for_all("/new/x", StatusCode::OK).await;
        // What it has heard of the store itself is too old by then.
        trial.wait_for_bounds(2).await;
        trial.wait_for_all("/none/x", StatusCode::NOT_FOUND).await;
        let refuses = trial.rig.wait_until(async || {
            let unknown = trial.ask(0, "/old/x", "key-2").await;
            unknown.status == StatusCode::UNAUTHORIZED
        });
        assert!(refuses.await, "{}", away.process.log_tail());
    });
}

/// A gateway that stood still refuses nothing by declarations that were confirmed before.
#[test]
fn time_in_which_a_gateway_stood_still_counts() {
    with_gateways(1, async |trial| {
        trial.gateways[0].process.freeze().unwrap();
        trial.ways[0].set(LinkFault::Silent);
        trial.put(4, &["/old/", "/new/"], &["key-1", "key-2"]);
        trial.wait_for_bounds(2).await;
        trial.gateways[0].process.thaw().unwrap();
        trial.check_doubt(0).await;
    });
}
