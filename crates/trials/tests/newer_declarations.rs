//! Requests that only newer declarations allow, at a gateway that knows of these or gets them meanwhile.

mod raw_caller;

use hyper::StatusCode;
use raw_caller::{RawCaller, request_head};
use runtime::Executor;
use serde_json::{Value, json};
use standins::ServerKind;
use trials::{CallerAnswer, DirectGateway, DirectRig, RIG_HOST};

const OVER_ONE_MIB: usize = 1_100_000;

/// Declarations with a route for each of these prefixes and these keys, and text of `padding` bytes.
fn declarations(version: u64, prefixes: &[&str], keys: &[&str], padding: usize) -> Value {
    let route = |prefix: &&str| {
        json!({
            "Name": prefix, "Hostname": RIG_HOST, "Prefix": prefix, "RouteType": "safe",
            "TimeoutMs": 8000, "Service": "registry", "MaxAttempts": 2
        })
    };
    json!({
        "Version": version, "Limits": {}, "Padding": "x".repeat(padding),
        "Routes": prefixes.iter().map(route).collect::<Vec<_>>(),
        "Services": [{ "Name": "registry", "ColdPerS": 0.0 }],
        "Tenants": [{ "Name": "team-1", "ApiKeys": keys, "Priority": 1 }]
    })
}

fn with_body_limit(mut declarations: Value, bytes: usize) -> Value {
    declarations["Limits"] = json!({ "MaxBodyBytes": bytes });
    declarations
}

/// Runs a test with a gateway, and another one that refuses declarations over 1 MiB.
fn with_gateways(test: impl AsyncFnOnce(&DirectRig, &DirectGateway)) {
    Executor::run(2, |executor| async move {
        let rig = DirectRig::start(&executor).unwrap();
        let options = ["--max-declarations-mib", "1"];
        let address = rig.store.local_addr();
        let behind = rig.add_gateway_with_options("gateway-2", address, &options);
        let _server = rig.add_server("plain-1", "registry", ServerKind::Plain);
        test(&rig, &behind.unwrap()).await;
    });
}

async fn ask(gateway: &DirectGateway, id: &str, path: &str, key: &str) -> CallerAnswer {
    gateway.caller().call(id, path, Some(key), 1_000).await
}

/// Sends a body of `bytes` bytes.
async fn send(gateway: &DirectGateway, id: &str, bytes: usize) -> CallerAnswer {
    let caller = gateway.caller().with_body(&"x".repeat(bytes));
    caller.call(id, "/old/x", Some("key-1"), 1_000).await
}

async fn wait_for(rig: &DirectRig, gateway: &DirectGateway, path: &str, status: StatusCode) {
    let mut sent = 0;
    let answered = rig.wait_until(async || {
        sent += 1;
        let id = format!("{}{path}{sent}", gateway.process.name());
        ask(gateway, &id, path, "key-1").await.status == status
    });
    let log = || gateway.process.log_tail();
    assert!(answered.await, "{path}: not {status}: {}", log());
}

/// Requests on a route and with a key that had just been added were turned away as if they were wrong by
/// gateways that knew of newer declarations.
#[test]
fn what_newer_declarations_may_allow_is_not_turned_away_while_they_are_missing() {
    with_gateways(async |rig, behind| {
        let put = |value: &Value| rig.store.standin().put("op", "config", value);
        put(&declarations(3, &["/old/"], &["key-1"], 0));
        wait_for(rig, &rig.gateway, "/old/x", StatusCode::OK).await;
        wait_for(rig, behind, "/old/x", StatusCode::OK).await;
        wait_for(rig, behind, "/new/x", StatusCode::NOT_FOUND).await;

        let both = ["/old/", "/new/"];
        let large = declarations(4, &both, &["key-1", "key-2"], OVER_ONE_MIB);
        put(&large);
        wait_for(rig, &rig.gateway, "/new/x", StatusCode::OK).await;
        wait_for(rig, behind, "/new/x", StatusCode::SERVICE_UNAVAILABLE).await;
        for (id, path, key) in [("a", "/new/x", "key-1"), ("b", "/old/x", "key-2")] {
            let answer = ask(behind, id, path, key).await;
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
            assert!(answer.retry_after.is_some(), "{answer:?}");
        }
        let known = ask(behind, "c", "/old/x", "key-1").await;
        assert_eq!(known.status, StatusCode::OK);
        let complete = ask(&rig.gateway, "d", "/none/x", "key-1").await;
        assert_eq!(complete.status, StatusCode::NOT_FOUND);

        // Once it has the newest, it turns away what these do not allow.
        put(&declarations(6, &both, &["key-1"], 0));
        wait_for(rig, behind, "/new/x", StatusCode::OK).await;
        let unknown = ask(behind, "e", "/none/x", "key-1").await;
        assert_eq!(unknown.status, StatusCode::NOT_FOUND);
        let withdrawn = ask(behind, "f", "/old/x", "key-2").await;
        assert_eq!(withdrawn.status, StatusCode::UNAUTHORIZED);
    });
}

/// A body over the limit of older declarations was turned away for good by a gateway that knew of newer ones.
#[test]
fn a_body_that_newer_declarations_may_allow_is_not_turned_away_while_they_are_missing() {
    with_gateways(async |rig, behind| {
        let put = |value: &Value| rig.store.standin().put("op", "config", value);
        put(&with_body_limit(
            declarations(3, &["/old/"], &["key-1"], 0),
            100,
        ));
        wait_for(rig, &rig.gateway, "/old/x", StatusCode::OK).await;
        wait_for(rig, behind, "/old/x", StatusCode::OK).await;
        // Nobody may have confirmed yet that these are the newest.
        let is_over = rig.wait_until(async || match send(behind, "a", 150).await.status {
            StatusCode::SERVICE_UNAVAILABLE => false,
            status => {
                assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE);
                true
            }
        });
        assert!(is_over.await, "{}", behind.process.log_tail());

        let both = ["/old/", "/new/"];
        let large = declarations(4, &both, &["key-1"], OVER_ONE_MIB);
        put(&with_body_limit(large, 200));
        wait_for(rig, &rig.gateway, "/new/x", StatusCode::OK).await;
        wait_for(rig, behind, "/new/x", StatusCode::SERVICE_UNAVAILABLE).await;
        let refused = send(behind, "b", 150).await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(refused.retry_after.is_some(), "{refused:?}");
        assert_eq!(send(behind, "c", 100).await.status, StatusCode::OK);

        // Once it has the newest, it turns away what these do not allow.
        let all = ["/old/", "/new/", "/newest/"];
        put(&with_body_limit(declarations(6, &all, &["key-1"], 0), 200));
        for (name, gateway) in [("d", &rig.gateway), ("e", behind)] {
            wait_for(rig, gateway, "/newest/x", StatusCode::OK).await;
            let within = send(gateway, &format!("{name}1"), 200).await;
            assert_eq!(within.status, StatusCode::OK);
            let over = send(gateway, &format!("{name}2"), 201).await;
            assert_eq!(over.status, StatusCode::PAYLOAD_TOO_LARGE);
        }
    });
}

/// A body that was still being read when its limit was raised was turned away for good by the older limit.
#[test]
fn a_body_over_a_limit_that_is_raised_while_it_is_read_is_not_turned_away() {
    with_gateways(async |rig, _| {
        let put = |value: &Value| rig.store.standin().put("op", "config", value);
        put(&with_body_limit(
            declarations(3, &["/old/"], &["key-1"], 0),
            100,
        ));
        wait_for(rig, &rig.gateway, "/old/x", StatusCode::OK).await;
        let mut caller = RawCaller::connect(&rig.gateway).await;
        let framing = "transfer-encoding: chunked\r\nexpect: 100-continue";
        let head = request_head("slow", "/old/x", 0).replace("content-length: 0", framing);
        caller.write(&head).await;
        let asked_for_body = caller.read_answer().await;
        assert!(
            asked_for_body.starts_with("http/1.1 100"),
            "{asked_for_body}"
        );

        let newer = declarations(4, &["/old/", "/new/"], &["key-1"], 0);
        put(&with_body_limit(newer, 200));
        wait_for(rig, &rig.gateway, "/new/x", StatusCode::OK).await;
        caller
            .write(&format!("96\r\n{}\r\n0\r\n\r\n", "x".repeat(150)))
            .await;
        let answer = caller.read_answer().await;
        assert!(answer.starts_with("http/1.1 503"), "{answer}");
        assert!(answer.contains("\r\nretry-after: "), "{answer}");
    });
}
