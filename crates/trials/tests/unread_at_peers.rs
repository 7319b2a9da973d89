//! Rows that watches leave out before later ones, at gateways that leave the store to others.

use hyper::StatusCode;
use runtime::Executor;
use serde_json::{Value, json};
use standins::{PlatformServer, ServerKind, StandinServer};
use std::time::{Duration, Instant};
use trials::{CallerAnswer, DirectGateway, DirectRig, RIG_HOST};

/// Six of them watch the store.
const GATEWAYS: usize = 8;
/// Longer than a change takes to all gateways.
const TOLD: Duration = Duration::from_secs(2);
/// Longer than the interval between listings of the servers' table at one gateway, and `EvacuateMs`.
const CHECKED: Duration = Duration::from_secs(8);

fn declarations(version: u64, prefixes: &[&str]) -> Value {
    let route = |prefix: &&str| {
        json!({
            "Name": prefix, "Hostname": RIG_HOST, "Prefix": prefix, "RouteType": "safe",
            "TimeoutMs": 4000, "Service": "registry", "MaxAttempts": 1
        })
    };
    json!({
        "Version": version, "Limits": {},
        "Routes": prefixes.iter().map(route).collect::<Vec<_>>(),
        "Services": [{ "Name": "registry", "ColdPerS": 0.0 }]
    })
}

struct Trial {
    rig: DirectRig,
    gateways: Vec<DirectGateway>,
    server: StandinServer<PlatformServer>,
}

impl Trial {
    async fn ask(&self, gateway: usize, path: &str) -> CallerAnswer {
        let caller = self.gateways[gateway].caller();
        caller.call(path, path, None, 1_000).await
    }

    async fn wait_for_all(&self, path: &str, status: StatusCode) {
        for (n, gateway) in self.gateways.iter().enumerate() {
            let answered = self
                .rig
                .wait_until(async || self.ask(n, path).await.status == status);
            let log = || gateway.process.log_tail();
            assert!(answered.await, "gateway {n}: not {status}: {}", log());
        }
    }

    /// Waits until two gateways leave the store to six.
    async fn wait_for_watchers(&self) {
        let leaves = |gateway: &&DirectGateway| {
            let log = gateway.process.log();
            let mut changes = log.lines().filter(|line| line.contains("who follows it"));
            let last = changes.next_back();
            last.is_some_and(|line| line.contains("\"follows\":false"))
        };
        let left = async || self.gateways.iter().filter(leaves).count() == GATEWAYS - 6;
        assert!(self.rig.wait_until(left).await);
    }

    /// Waits while those who watch the store check and list its tables.
    async fn wait(&self, time: Duration) {
        let start = Instant::now();
        assert!(self.rig.wait_until(async || start.elapsed() > time).await);
    }

    /// Leaves a row out of the watches while `change` writes it, and tells later rows.
    async fn leave_out(&self, table: &str, key: &str, change: impl FnOnce(&Self)) {
        let store = self.rig.store.standin();
        store.hide_from_watches(table, key, true);
        change(self);
        // The last row of all is one of the same table.
        let declare = || store.put("op", "config", &declarations(4, &["/old/", "/new/"]));
        let nobody = ([127, 0, 0, 1], 1).into();
        if table == "servers" {
            declare();
        }
        self.rig.register_in("b", "other", "other", nobody, "ready");
        if table == "op" {
            declare();
        }
        self.wait(TOLD).await;
        store.hide_from_watches(table, key, false);
        self.wait(CHECKED).await;
    }
}

fn with_gateways(test: impl AsyncFnOnce(&Trial)) {
    Executor::run(2, |executor| async move {
        let mut rig = DirectRig::start(&executor).unwrap();
        rig.gateway.process.kill();
        let store = rig.store.local_addr();
        let bounds = [("ConfigApplyMs", 2_000.0)];
        let started = (0..GATEWAYS).map(|n| {
            let name = format!("peer-{n}");
            rig.add_gateway_with_bounds(&name, store, &bounds).unwrap()
        });
        let gateways = started.collect();
        let value = declarations(3, &["/old/"]);
        rig.store.standin().put("op", "config", &value);
        let server = rig.add_server("plain-1", "registry", ServerKind::Plain);
        let trial = Trial {
            server: server.unwrap(),
            rig,
            gateways,
        };
        trial.wait_for_all("/old/x", StatusCode::OK).await;
        trial.wait_for_watchers().await;
        test(&trial).await;
    });
}

macro_rules! left_out {
    ($($name:ident: $table:expr, $key:expr, $change:expr;)*) => {$(
        #[test]
        fn $name() {
            with_gateways(async |trial| {
                trial.leave_out($table, $key, $change).await;
                let refused = StatusCode::SERVICE_UNAVAILABLE;
                trial.wait_for_all("/old/y", refused).await;
            });
        }
    )*};
}

left_out! {
    an_evacuation_before_newer_declarations: "op", "evacuate/a", |trial: &Trial| {
        trial.rig.store.standin().put("op", "evacuate/a", &json!({}));
    };
    a_draining_server_before_another_one: "servers", "plain-1", |trial: &Trial| {
        let address = trial.server.local_addr();
        trial.rig.register("plain-1", "registry", address, "draining");
    };
}
