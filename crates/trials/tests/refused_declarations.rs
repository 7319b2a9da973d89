//! Declarations that a direct gateway refuses, and a store that it cannot read.

use hyper::StatusCode;
use runtime::Executor;
use serde_json::{Value, json};
use standins::ServerKind;
use trials::{DirectRig, FaultProxy, LinkFault, RIG_HOST};

const KEY: Option<&str> = Some("key-1");
const OVER_ONE_MIB: usize = 1_100_000;

/// Declarations with a route of this prefix, and text of `padding` bytes.
fn declarations(version: u64, prefix: &str, padding: usize) -> Value {
    json!({
        "Version": version, "Limits": {}, "Padding": "x".repeat(padding),
        "Routes": [{
            "Name": "lookup", "Hostname": RIG_HOST, "Prefix": prefix, "RouteType": "safe",
            "TimeoutMs": 8000, "Service": "registry", "MaxAttempts": 2
        }],
        "Services": [{ "Name": "registry", "ColdPerS": 0.0 }],
        "Tenants": [{ "Name": "team-1", "ApiKeys": ["key-1"], "Priority": 1 }]
    })
}

/// Runs a test with a gateway that refuses declarations over 1 MiB.
fn with_rig(test: impl AsyncFnOnce(&DirectRig)) {
    Executor::run(2, |executor| async move {
        let options = ["--max-declarations-mib", "1"];
        let rig = DirectRig::start_with_options(&executor, &options).unwrap();
        test(&rig).await;
    });
}

async fn wait_until_served(rig: &DirectRig, path: &str) {
    let mut sent = 0;
    let served = rig.wait_until(async || {
        sent += 1;
        let answer = rig.call(&format!("call{path}{sent}"), path, KEY).await;
        answer.status == StatusCode::OK
    });
    assert!(served.await, "{}", rig.gateway.process.log_tail());
}

async fn wait_for_metric(rig: &DirectRig, line: &str) {
    let shown = rig.wait_until(async || {
        let metrics = rig.gateway.metrics().await;
        metrics.is_ok_and(|page| page.lines().any(|shown| shown == line))
    });
    assert!(shown.await, "{line}: {}", rig.gateway.process.log_tail());
}

fn refused(reason: &str, count: usize) -> String {
    format!("bergamothold_direct_refused_declarations_total{{reason=\"{reason}\"}} {count}")
}

const IS_REFUSED: &str = "bergamothold_direct_declarations_refused 1";

/// Declarations that cannot come into force hid the orders and servers that changed after them, or were
/// refused without a sign.
fn refused_declarations_hide_nothing_else(reason: &'static str, content: Vec<u8>) {
    with_rig(async |rig| {
        let store = rig.store.standin();
        store.put("op", "config", &declarations(5, "/first/", 0));
        let _first = rig.add_server("plain-1", "registry", ServerKind::Plain);
        wait_until_served(rig, "/first/x").await;
        store.put_bytes("op", "config", content);
        wait_for_metric(rig, IS_REFUSED).await;
        wait_for_metric(rig, &refused(reason, 1)).await;
        assert!(rig.gateway.is_ready().await);
        // Orders and servers after it are learned.
        store.put("op", "evacuate/a", &json!({}));
        let log = &rig.gateway.process;
        let learned = rig.wait_until(async || log.has_logged("domains: order changed"));
        assert!(learned.await, "{}", log.log_tail());
        store.remove("op", "evacuate/a");
        store.remove("servers", "plain-1");
        let _second = rig.add_server("plain-2", "registry", ServerKind::Plain);
        wait_until_served(rig, "/first/y").await;
        assert!(!log.has_logged("store: lost"), "{}", log.log_tail());
        // It is reported once, and newer declarations come into force.
        wait_for_metric(rig, &refused(reason, 1)).await;
        store.put("op", "config", &declarations(6, "/second/", 0));
        wait_until_served(rig, "/second/x").await;
        wait_for_metric(rig, "bergamothold_direct_declarations_refused 0").await;
        let refusals = log.log().matches("declarations: refused").count();
        assert_eq!(refusals, 1, "{}", log.log_tail());
    });
}

macro_rules! refused {
    ($($name:ident: $reason:expr, $content:expr;)*) => {$(
        #[test]
        fn $name() {
            refused_declarations_hide_nothing_else($reason, $content);
        }
    )*};
}

refused! {
    declarations_over_the_limit: "too-large",
        declarations(9, "/large/", OVER_ONE_MIB).to_string().into_bytes();
    declarations_that_are_no_json: "invalid", b"{".to_vec();
    declarations_of_a_lower_version: "lowered",
        declarations(4, "/older/", 0).to_string().into_bytes();
}

/// Confirmed routes got 404 at a gateway that could not bring them into force.
fn what_is_not_in_force_is_not_turned_away(content: Vec<u8>) {
    with_rig(async |rig| {
        let store = rig.store.standin();
        store.put("op", "config", &declarations(5, "/first/", 0));
        let _server = rig.add_server("plain-1", "registry", ServerKind::Plain);
        wait_until_served(rig, "/first/x").await;
        store.put_bytes("op", "config", content);
        let log = &rig.gateway.process;
        let told = rig.wait_until(async || {
            log.has_logged("declarations: refused") || log.has_logged("invalid entry skipped")
        });
        assert!(told.await, "{}", log.log_tail());
        for (id, path, key) in [("new", "/new/x", "key-1"), ("key", "/first/x", "key-2")] {
            let answer = rig.call(id, path, Some(key)).await;
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
            assert!(answer.retry_after.is_some(), "{answer:?}");
        }
        wait_until_served(rig, "/first/z").await;
        store.put("op", "config", &declarations(9, "/first/", 0));
        let refuses = rig.wait_until(async || {
            rig.call("none", "/new/x", KEY).await.status == StatusCode::NOT_FOUND
        });
        assert!(refuses.await, "{}", log.log_tail());
    });
}

/// Declarations with an entry that cannot be decoded.
fn with_odd_route() -> Vec<u8> {
    let mut content = declarations(6, "/first/", 0);
    let odd = json!({ "Name": "new", "Hostname": 7, "Prefix": "/new/", "TimeoutMs": 8000 });
    if let Some(routes) = content["Routes"].as_array_mut() {
        routes.push(odd);
    }
    content.to_string().into_bytes()
}

macro_rules! not_in_force {
    ($($name:ident: $content:expr;)*) => {$(
        #[test]
        fn $name() {
            what_is_not_in_force_is_not_turned_away($content);
        }
    )*};
}

not_in_force! {
    routes_of_declarations_over_the_limit:
        declarations(6, "/new/", OVER_ONE_MIB).to_string().into_bytes();
    routes_of_declarations_that_are_no_json: b"{".to_vec();
    routes_that_cannot_be_decoded: with_odd_route();
}

/// A gateway without declarations said nothing of why it is not ready.
#[test]
fn a_gateway_whose_first_declarations_are_refused_says_so() {
    with_rig(async |rig| {
        let large = declarations(1, "/large/", OVER_ONE_MIB);
        rig.store.standin().put("op", "config", &large);
        wait_for_metric(rig, IS_REFUSED).await;
        assert!(!rig.gateway.is_ready().await);
        let text = rig.gateway.readiness_text().await;
        assert!(text.contains("declarations refused"), "{text}");
        let small = declarations(2, "/small/", 0);
        rig.store.standin().put("op", "config", &small);
        assert!(rig.wait_until_ready().await);
    });
}

/// A gateway of which the first declarations are refused served nothing until the operators wrote again, although
/// its peers went on by older ones.
#[test]
fn a_gateway_whose_first_declarations_are_refused_takes_those_that_peers_have() {
    with_rig(async |rig| {
        let store = rig.store.standin();
        store.put("op", "config", &declarations(5, "/first/", 0));
        let _server = rig.add_server("plain-1", "registry", ServerKind::Plain);
        wait_until_served(rig, "/first/x").await;
        store.put_bytes("op", "config", b"{".to_vec());
        wait_for_metric(rig, IS_REFUSED).await;
        let later = rig
            .add_gateway("gateway-2", rig.store.local_addr())
            .unwrap();
        let mut sent = 0;
        let mut is_served = async |path: &str| {
            sent += 1;
            let id = format!("later-{sent}");
            let answer = later.caller().call(&id, path, KEY, 1_000).await;
            answer.status == StatusCode::OK
        };
        let served = rig.wait_until(async || is_served("/first/y").await).await;
        assert!(served, "{}", later.process.log_tail());
        assert!(later.is_ready().await);
        let metrics = later.metrics().await.unwrap();
        assert!(metrics.lines().any(|line| line == IS_REFUSED), "{metrics}");
        store.put("op", "config", &declarations(6, "/second/", 0));
        let served = rig.wait_until(async || is_served("/second/y").await).await;
        assert!(served, "{}", later.process.log_tail());
    });
}

/// A gateway that cannot read the store is not ready without declarations, and stays ready with them.
#[test]
fn a_gateway_that_cannot_read_the_store_says_so() {
    Executor::run(2, |executor| async move {
        let rig = DirectRig::start(&executor).unwrap();
        let proxy = FaultProxy::start(&executor, rig.store.local_addr()).unwrap();
        proxy.set(LinkFault::Cut);
        let gateway = rig.add_gateway("gateway-2", proxy.address()).unwrap();
        let text = "not ready: the store cannot be read\n";
        let told = rig.wait_until(async || gateway.readiness_text().await == text);
        assert!(told.await, "{}", gateway.process.log_tail());
        assert!(!gateway.is_ready().await);
        let failing = |metrics: String| {
            let line = "bergamothold_direct_failing_tables 0";
            !metrics.lines().any(|shown| shown == line)
        };
        assert!(failing(gateway.metrics().await.unwrap()));
        rig.write_declarations(3, &["key-1"]);
        proxy.set(LinkFault::None);
        let ready = rig.wait_until(async || gateway.is_ready().await);
        assert!(ready.await, "{}", gateway.process.log_tail());
        proxy.set(LinkFault::Cut);
        let lost = rig.wait_until(async || failing(gateway.metrics().await.unwrap()));
        assert!(lost.await, "{}", gateway.process.log_tail());
        assert!(gateway.is_ready().await);
    });
}
