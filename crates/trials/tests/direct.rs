//! A direct gateway as a process, with stand-ins that serve the platform's published API.

use hyper::StatusCode;
use runtime::Executor;
use serde_json::json;
use standins::{PlatformServer, ServerBehaviour, ServerKind, StandinServer};
use std::collections::BTreeSet;
use std::process::{Command, Stdio};
use std::time::Duration;
use trials::{Binaries, DirectRig, FaultProxy, LinkFault, spawn_lock, workspace};

const KEY: Option<&str> = Some("key-1");

/// Runs a test with a gateway that has declarations and is ready.
fn with_rig(test: impl AsyncFnOnce(&mut DirectRig)) {
    Executor::run(2, |executor| async move {
        let mut rig = DirectRig::start(&executor).unwrap();
        rig.write_declarations(3, &["key-1"]);
        assert!(
            rig.wait_until_ready().await,
            "{}",
            rig.gateway.process.log_tail()
        );
        test(&mut rig).await;
    });
}

macro_rules! cases {
    ($($name:ident => $test:expr;)*) => {
        $(
            #[test]
            fn $name() {
                with_rig($test);
            }
        )*
    };
}

/// Waits until the gateway routes requests to a server that was just registered.
async fn wait_until_served(rig: &DirectRig, path: &str) {
    let mut attempts = 0;
    let served = rig.wait_until(async || {
        attempts += 1;
        let response = rig.call(&format!("probe{path}{attempts}"), path, KEY).await;
        response.status != StatusCode::SERVICE_UNAVAILABLE
    });
    assert!(served.await, "{}", rig.gateway.process.log_tail());
}

/// Output of the `explain` command for a request id, read from the gateway's log.
fn explain(rig: &DirectRig, id: &str) -> String {
    let gateway = Binaries::find().unwrap().gateway;
    let log = rig.directory().path().join("gateway-1.log");
    let lock = spawn_lock();
    let child = Command::new(gateway)
        .args(["explain", id])
        .arg(log)
        .stdout(Stdio::piped())
        .spawn();
    drop(lock);
    let output = child.unwrap().wait_with_output().unwrap();
    assert_eq!(output.status.success(), !output.stdout.is_empty());
    String::from_utf8(output.stdout).unwrap()
}

/// Metric names in a text, without the suffixes of histogram series.
fn metric_names(text: &str) -> BTreeSet<String> {
    let words = text.split(|letter: char| !(letter.is_alphanumeric() || letter == '_'));
    let names = words.filter(|word| word.starts_with("bergamothold_direct_"));
    let base_name = |name: &str| {
        let suffixes = ["_bucket", "_sum", "_count"];
        let base = suffixes.iter().find_map(|suffix| name.strip_suffix(suffix));
        base.unwrap_or(name).to_owned()
    };
    names.map(base_name).collect()
}

/// The event stream that an engine sends for these event ids.
fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: text {id}\n\n"))
        .collect()
}

cases! {
    each_kind_is_served_whole => async |rig: &mut DirectRig| {
        let engine = rig.add_server("engine-1", "engines", ServerKind::Engine).unwrap();
        let registry = rig.add_server("registry-1", "registry", ServerKind::Plain).unwrap();
        wait_until_served(rig, "/stream/x").await;
        wait_until_served(rig, "/lookup/x").await;
        let stream = rig.call("s1", "/stream/x", KEY).await;
        assert_eq!(stream.body.unwrap(), events(0..=12));
        assert_eq!(stream.seal.as_deref(), Some("seal of engine-1"));
        let once = rig.call("o1", "/once/x", KEY).await;
        assert_eq!(once.body.unwrap(), "answer of registry-1 to o1");
        let lookup = rig.call("l1", "/lookup/x", KEY).await;
        assert_eq!(lookup.body.unwrap(), "answer of registry-1 to l1");
        let runs = [engine.standin().executed_requests(), registry.standin().executed_requests()].concat();
        for run in runs {
            assert_eq!(run.team.as_deref(), Some("team-1"), "a forged team is replaced");
            assert_eq!(run.authorization, None, "servers never see a key");
            assert_eq!(run.body, format!("body of {}", run.request_id));
        }
    };
    a_broken_stream_goes_on_in_the_same_answer => async |rig: &mut DirectRig| {
        let engines = ["engine-1", "engine-2"].map(|name| {
            rig.add_server(name, "engines", ServerKind::Engine).unwrap()
        });
        assert!(rig.wait_until(async || rig.gateway.process.log().matches("row changed").count() == 2).await);
        rig.call("p1", "/stream/x", KEY).await;
        let serving = engines.iter().position(|engine| !engine.standin().executed_requests().is_empty()).unwrap();
        engines[serving].standin().set_behaviour(ServerBehaviour::BreakAfter(4));
        let resumed = rig.call("s1", "/stream/x", KEY).await;
        assert_eq!(resumed.body.unwrap(), events(0..=12));
        assert_eq!(resumed.seal, Some(format!("seal of engine-{}", serving + 1).into()));
        let resumed_after = engines[1 - serving].standin().executed_requests().last().and_then(|run| run.last_event_id);
        assert_eq!(resumed_after, Some(4));
        engines[1 - serving].standin().set_behaviour(ServerBehaviour::BreakAfter(4));
        let broken = rig.call("s2", "/stream/x", KEY).await;
        assert_eq!(broken.body, None, "both engines break off: it must not look whole");
    };
    silence_alone_ends_no_answer => async |rig: &mut DirectRig| {
        let engines = ["engine-1", "engine-2"].map(|name| {
            rig.add_server(name, "engines", ServerKind::Engine).unwrap()
        });
        assert!(rig.wait_until(async || rig.gateway.process.log().matches("row changed").count() == 2).await);
        rig.call("p1", "/stream/x", KEY).await;
        let serving = engines.iter().position(|engine| !engine.standin().executed_requests().is_empty()).unwrap();
        engines[serving].standin().set_behaviour(ServerBehaviour::StallAfter(4));
        engines[1 - serving].standin().set_behaviour(ServerBehaviour::PauseAfter(6));
        let response = rig.call("s1", "/stream/x", KEY).await;
        assert_eq!(response.body.unwrap(), events(0..=12), "{}", rig.gateway.process.log_tail());
    };
    an_engine_that_drips_bytes_is_replaced_as_a_silent_one => async |rig: &mut DirectRig| {
        let engines = ["engine-1", "engine-2"].map(|name| {
            rig.add_server(name, "engines", ServerKind::Engine).unwrap()
        });
        assert!(rig.wait_until(async || rig.gateway.process.log().matches("row changed").count() == 2).await);
        rig.call("p1", "/stream/x", KEY).await;
        let serving = engines.iter().position(|engine| !engine.standin().executed_requests().is_empty()).unwrap();
        engines[serving].standin().set_behaviour(ServerBehaviour::DripAfter(4));
        let response = runtime::timeout(Duration::from_secs(20), rig.call("s1", "/stream/x", KEY)).await;
        let response = response.expect("the stream must end by its deadline of 8 s");
        assert_eq!(response.body.unwrap(), events(0..=12), "{}", rig.gateway.process.log_tail());
        engines[1 - serving].standin().set_behaviour(ServerBehaviour::DripAfter(4));
        let response = runtime::timeout(Duration::from_secs(20), rig.call("s2", "/stream/x", KEY)).await;
        let response = response.expect("the stream must end by its deadline of 8 s");
        assert_eq!(response.body, None, "neither engine goes on: it must not look whole");
    };
    a_silent_engine_that_goes_on_first_is_followed => async |rig: &mut DirectRig| {
        let engines = ["engine-1", "engine-2"].map(|name| {
            rig.add_server(name, "engines", ServerKind::Engine).unwrap()
        });
        assert!(rig.wait_until(async || rig.gateway.process.log().matches("row changed").count() == 2).await);
        rig.call("p1", "/stream/x", KEY).await;
        let serving = engines.iter().position(|engine| !engine.standin().executed_requests().is_empty()).unwrap();
        engines[serving].standin().set_behaviour(ServerBehaviour::PauseAfter(4));
        engines[1 - serving].standin().set_behaviour(ServerBehaviour::StallAfter(0));
        let response = rig.call("s1", "/stream/x", KEY).await;
        assert_eq!(response.body.unwrap(), events(0..=12), "{}", rig.gateway.process.log_tail());
        assert_eq!(engines[1 - serving].standin().executed_requests().len(), 1, "it was asked to go on");
    };
    memory_reserved_for_a_long_prompt_is_given_back => async |rig: &mut DirectRig| {
        let engines = ["engine-1", "engine-2", "engine-3"].map(|name| {
            rig.add_server(name, "engines", ServerKind::Engine).unwrap()
        });
        assert!(rig.wait_until(async || rig.gateway.process.log().matches("row changed").count() == 3).await);
        rig.prompt = 45_000;
        let response = rig.call("m1", "/stream/x", KEY).await;
        assert_eq!(response.body.unwrap(), events(0..=12), "{}", rig.gateway.process.log_tail());
        let orders = || engines.iter().flat_map(|engine| engine.standin().received_orders());
        let order_ids = |operation: &str| -> BTreeSet<String> {
            let orders = orders().filter(|order| order["Operation"] == *operation);
            orders.map(|order| order["Id"].as_str().unwrap().to_owned()).collect()
        };
        assert!(rig.wait_until(async || order_ids("reserve") == order_ids("release")).await);
        let tokens: u64 = orders().filter_map(|order| order["Tokens"].as_u64()).sum();
        assert!(tokens >= 45_000 - 30_000, "what the first engine lacks: {tokens}");
        assert!(orders().all(|order| order["HoldMs"].as_u64().is_none_or(|hold| hold < 4_000)));
        let runs = engines.iter().flat_map(|engine| engine.standin().executed_requests());
        let helpers: Vec<_> = runs.filter_map(|run| run.helpers).collect();
        let reserve_ids = order_ids("reserve");
        assert!(reserve_ids.iter().all(|id| helpers[0].contains(&**id)), "{helpers:?} {reserve_ids:?}");
    };
    memory_is_not_renewed_for_an_engine_that_goes_dark => async |rig: &mut DirectRig| {
        let engines = ["engine-1", "engine-2", "engine-3"].map(|name| {
            let engine = rig.add_server(name, "engines", ServerKind::Engine).unwrap();
            let link = FaultProxy::start(rig.executor(), engine.local_addr()).unwrap();
            rig.register(name, "engines", link.address(), "ready");
            engine.standin().set_behaviour(ServerBehaviour::Hang);
            (engine, link)
        });
        let links = || engines.iter().map(|(_, link)| link.address().to_string());
        let are_listed = || links().all(|link| rig.gateway.process.log().contains(&link));
        assert!(rig.wait_until(async || are_listed()).await);
        let caller = rig.gateway.caller();
        let call = rig.executor().spawn(async move { caller.call("m1", "/single-run/x", KEY, 45_000).await });
        let runs = |engine: &StandinServer<PlatformServer>| !engine.standin().executed_requests().is_empty();
        assert!(rig.wait_until(async || engines.iter().any(|(engine, _)| runs(engine))).await);
        for (engine, link) in &engines {
            if runs(engine) {
                link.set(LinkFault::Dark);
            }
        }
        let orders = |operation: &str| {
            let orders = engines.iter().flat_map(|(engine, _)| engine.standin().received_orders());
            let first_try = orders.filter(|order| order["Id"].as_str().unwrap().starts_with("m1-0-"));
            first_try.filter(|order| order["Operation"] == *operation).count()
        };
        let reserved = orders("reserve");
        assert!(rig.wait_until(async || orders("release") > 0).await, "{}", rig.gateway.process.log_tail());
        assert!(orders("reserve") <= reserved + 1, "renewed for a lost engine: {}", orders("reserve"));
        assert_eq!(call.await.status, StatusCode::BAD_GATEWAY, "it may have run");
    };
    an_unsafe_call_runs_once_and_is_never_called_not_run => async |rig: &mut DirectRig| {
        let servers = ["registry-1", "registry-2"].map(|name| {
            rig.add_server(name, "registry", ServerKind::Plain).unwrap()
        });
        wait_until_served(rig, "/lookup/x").await;
        for server in &servers {
            server.standin().set_behaviour(ServerBehaviour::Cut);
        }
        let response = rig.call("once-1", "/once/x", KEY).await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY);
        let runs = servers.iter().flat_map(|server| server.standin().executed_requests());
        assert_eq!(runs.filter(|run| &*run.request_id == "once-1").count(), 1);
    };
    an_answer_of_another_request_is_not_passed_on => async |rig: &mut DirectRig| {
        let server = rig.add_server("registry-1", "registry", ServerKind::Plain).unwrap();
        wait_until_served(rig, "/lookup/x").await;
        server.standin().set_behaviour(ServerBehaviour::WrongId);
        let response = rig.call("w1", "/once/x", KEY).await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY);
        assert_eq!(response.seal, None);
    };
    a_refusal_is_true_and_says_when_to_come_back => async |rig: &mut DirectRig| {
        let server = rig.add_server("registry-1", "registry", ServerKind::Plain).unwrap();
        wait_until_served(rig, "/lookup/x").await;
        server.standin().set_behaviour(ServerBehaviour::Full);
        let response = rig.call("r1", "/once/x", KEY).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.retry_after.unwrap().parse::<f64>().unwrap() > 0.0);
        assert!(server.standin().executed_requests().iter().all(|run| &*run.request_id != "r1"));
    };
    a_server_at_a_reused_address_runs_nothing => async |rig: &mut DirectRig| {
        let other = rig.add_server("registry-new", "other", ServerKind::Plain).unwrap();
        rig.register("registry-old", "registry", other.local_addr(), "ready");
        let response = rig.call("a1", "/once/x", KEY).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(other.standin().executed_requests(), []);
    };
    a_caller_that_leaves_is_cancelled_at_the_engine => async |rig: &mut DirectRig| {
        let engine = rig.add_server("engine-1", "engines", ServerKind::Engine).unwrap();
        wait_until_served(rig, "/stream/x").await;
        engine.standin().set_behaviour(ServerBehaviour::StallAfter(3));
        drop(rig.start_call("g1", "/stream/x", KEY).await.unwrap());
        assert!(rig.wait_until(async || engine.standin().abandoned_streams() == 1).await);
    };
    a_key_that_was_taken_away_is_refused => async |rig: &mut DirectRig| {
        let _server = rig.add_server("registry-1", "registry", ServerKind::Plain).unwrap();
        wait_until_served(rig, "/lookup/x").await;
        rig.write_declarations(5, &["key-2"]);
        let refused = rig.wait_until(async || {
            rig.call("k1", "/lookup/x", KEY).await.status == StatusCode::UNAUTHORIZED
        });
        assert!(refused.await);
        rig.write_declarations(4, &["key-1"]);
        let served = rig.call("k2", "/lookup/x", Some("key-2")).await;
        assert_eq!(served.status, StatusCode::OK, "an older version changes nothing");
    };
    a_draining_server_and_a_domain_out_get_nothing_new => async |rig: &mut DirectRig| {
        let server = rig.add_server("registry-1", "registry", ServerKind::Plain).unwrap();
        wait_until_served(rig, "/lookup/x").await;
        rig.register("registry-1", "registry", server.local_addr(), "draining");
        let refused = async || {
            rig.call("d", "/lookup/x", KEY).await.status == StatusCode::SERVICE_UNAVAILABLE
        };
        assert!(rig.wait_until(refused).await);
        rig.register("registry-1", "registry", server.local_addr(), "ready");
        wait_until_served(rig, "/lookup/x").await;
        rig.store.standin().put("op", "evacuate/a", &json!({}));
        assert!(rig.wait_until(refused).await);
        rig.store.standin().remove("op", "evacuate/a");
        wait_until_served(rig, "/lookup/x").await;
    };
    rows_that_cannot_be_read_harm_no_other => async |rig: &mut DirectRig| {
        let _server = rig.add_server("registry-1", "registry", ServerKind::Plain).unwrap();
        rig.store.standin().put_bytes("servers", "junk", b"\xff not json".to_vec());
        rig.store.standin().put("servers", "half", &json!({ "Service": "registry", "Slots": "x" }));
        rig.store.standin().put_bytes("op", "config", b"{".to_vec());
        wait_until_served(rig, "/lookup/x").await;
        rig.store.standin().forget_history();
        let response = rig.call("j1", "/lookup/x", KEY).await;
        assert_eq!(response.status, StatusCode::OK);
        assert!(rig.wait_until(async || rig.gateway.process.log().contains("the last ones stay")).await);
    };
    the_cause_of_a_failure_is_found_from_its_id => async |rig: &mut DirectRig| {
        let registry = rig.add_server("registry-1", "registry", ServerKind::Plain).unwrap();
        let engine = rig.add_server("engine-1", "engines", ServerKind::Engine).unwrap();
        wait_until_served(rig, "/lookup/x").await;
        wait_until_served(rig, "/stream/x").await;
        registry.standin().set_behaviour(ServerBehaviour::Full);
        rig.call("refused-1", "/once/x", KEY).await;
        registry.standin().set_behaviour(ServerBehaviour::Cut);
        rig.call("unsafe-1", "/once/x", KEY).await;
        engine.standin().set_behaviour(ServerBehaviour::BreakAfter(4));
        rig.call("broken-1", "/stream/x", KEY).await;
        let cases = [
            ("refused-1", ["it is full", "outcome=refused"]),
            ("unsafe-1", ["registry-1 may have run it", "outcome=failed"]),
            ("broken-1", ["stream: broke off", "outcome=broken off"]),
        ];
        for (id, causes) in cases {
            assert!(rig.wait_until(async || explain(rig, id).contains("call: ended")).await, "{id}");
            for cause in causes {
                assert!(explain(rig, id).contains(cause), "{id}: {}", explain(rig, id));
            }
        }
        assert_eq!(explain(rig, "never-sent"), "");
    };
    metrics_are_those_of_the_page => async |rig: &mut DirectRig| {
        let _server = rig.add_server("registry-1", "registry", ServerKind::Plain).unwrap();
        wait_until_served(rig, "/lookup/x").await;
        let page = std::fs::read_to_string(workspace().join("docs/OPERATIONS.md")).unwrap();
        let documented = metric_names(&page);
        let exported = metric_names(&rig.gateway.metrics().await.unwrap());
        assert!(exported.is_subset(&documented), "not on the page: {:?}", exported.difference(&documented));
        let counters = ["requests_total", "attempts_total", "declarations_version", "waiting"];
        for counter in counters {
            assert!(exported.contains(&format!("bergamothold_direct_{counter}")), "{counter}");
        }
    };
    a_drain_cuts_no_answer => async |rig: &mut DirectRig| {
        let engine = rig.add_server("engine-1", "engines", ServerKind::Engine).unwrap();
        wait_until_served(rig, "/stream/x").await;
        let open = rig.start_call("t1", "/stream/x", KEY).await.unwrap();
        rig.gateway.process.terminate().unwrap();
        assert!(rig.wait_until(async || !rig.gateway.is_ready().await).await);
        let late = rig.call("t2", "/stream/x", KEY).await;
        assert_eq!(late.body.unwrap(), events(0..=12), "callers still come for a while");
        let body = http_body_util::BodyExt::collect(open.body).await.unwrap().to_bytes();
        assert_eq!(body, events(0..=12));
        assert!(rig.gateway.process.wait_exit(Duration::from_secs(10)).await);
        assert_eq!(rig.store.standin().keys("bergamothold"), ["authority".into()]);
        drop(engine);
    };
}

#[test]
fn a_gateway_without_declarations_refuses_and_is_not_ready() {
    Executor::run(2, |executor| async move {
        let rig = DirectRig::start(&executor).unwrap();
        let refused = rig.wait_until(async || {
            rig.call("n1", "/lookup/x", KEY).await.status == StatusCode::SERVICE_UNAVAILABLE
        });
        assert!(refused.await);
        assert!(!rig.gateway.is_ready().await);
    });
}

/// Guards against failed connections that spend the retry budget: each registered address of a dead
/// server once cost one retry, and requests were refused for lack of retries though nothing had
/// been sent.
#[test]
fn servers_that_cannot_be_reached_spend_no_repeats() {
    Executor::run(2, |executor| async move {
        let bounds = [("RetryBudgetRatio", 0.0), ("RetryBudgetExtra", 0.0)];
        let rig = DirectRig::start_with_bounds(&executor, &bounds).unwrap();
        rig.write_declarations(3, &["key-1"]);
        assert!(
            rig.wait_until_ready().await,
            "{}",
            rig.gateway.process.log_tail()
        );
        let _server = rig
            .add_server("registry-1", "registry", ServerKind::Plain)
            .unwrap();
        wait_until_served(&rig, "/lookup/x").await;
        let dead_address = ([127, 0, 0, 1], 1).into();
        let mut refused = 0;
        for n in 0..20 {
            rig.register(&format!("dead-{n}"), "registry", dead_address, "ready");
            let is_listed = || rig.gateway.process.log().contains(&format!("dead-{n}"));
            assert!(rig.wait_until(async || is_listed()).await);
            let response = rig.call(&format!("c{n}"), "/once/x", KEY).await;
            refused += u32::from(response.status != StatusCode::OK);
            rig.store.standin().remove("servers", &format!("dead-{n}"));
        }
        assert_eq!(refused, 0, "{}", rig.gateway.process.log_tail());
    });
}

/// Guards against refusals with time left after a failure domain has ended: five refused connections,
/// which take a few milliseconds, once used up all tries of a call.
#[test]
fn servers_that_cannot_be_reached_use_up_no_tries() {
    with_rig(async |rig: &mut DirectRig| {
        let dead_address = ([127, 0, 0, 1], 1).into();
        for n in 0..60 {
            rig.register(&format!("dead-{n}"), "registry", dead_address, "ready");
        }
        let _server = rig
            .add_server("registry-1", "registry", ServerKind::Plain)
            .unwrap();
        let log = || rig.gateway.process.log();
        let are_listed = async || log().matches("row changed").count() == 61;
        assert!(rig.wait_until(are_listed).await);
        let response = rig.call("c1", "/once/x", KEY).await;
        assert_eq!(response.status, StatusCode::OK, "{}", log());
        let ids = log();
        let refused = ids
            .lines()
            .filter(|line| line.contains("attempt: no answer"));
        let servers: Vec<_> = refused
            .filter_map(|line| line.split("dead-").nth(1))
            .collect();
        let distinct: BTreeSet<_> = servers.iter().copied().collect();
        assert_eq!(distinct.len(), servers.len(), "no server is tried twice");
    });
}

/// Guards against giving up the server that answers, in place of the one that it names as at fault.
#[test]
fn a_server_that_names_another_as_at_fault_is_asked_again() {
    with_rig(async |rig: &mut DirectRig| {
        let server = rig
            .add_server("registry-1", "registry", ServerKind::Plain)
            .unwrap();
        wait_until_served(rig, "/lookup/x").await;
        let lost = ([127, 0, 0, 1], 1).into();
        rig.register("registry-2", "registry", lost, "ready");
        let log = || rig.gateway.process.log();
        assert!(rig.wait_until(async || log().contains("registry-2")).await);
        server
            .standin()
            .set_behaviour(ServerBehaviour::NameAtFault(lost));
        let response = rig.call("f1", "/once/x", KEY).await;
        assert_eq!(response.status, StatusCode::OK, "{}", log());
        // The log is written in the background.
        let is_logged = async || log().contains("attempt: another server is at fault");
        assert!(rig.wait_until(is_logged).await, "{}", log());
    });
}
