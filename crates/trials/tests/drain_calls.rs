//! Which calls a direct gateway that got SIGTERM still starts.

mod raw_caller;

use async_io::Async;
use hyper::StatusCode;
use raw_caller::{RawCaller, request_head};
use runtime::Executor;
use serde_json::{Value, json};
use standins::{PlatformServer, ServerBehaviour, ServerKind, StandinServer};
use std::net::TcpStream;
use std::time::Duration;
use trials::{DirectRig, FaultProxy, LinkFault, RIG_HOST};

const KEY: Option<&str> = Some("key-1");
/// The expected answers, of 130 tokens, take 2 s.
const STEP_MS: f64 = 15.0;
/// Longer than the grace period.
const EXIT_LIMIT: Duration = Duration::from_secs(10);

fn declarations() -> Value {
    let route = |name: &str, kind: &str| {
        json!({
            "Name": name, "Hostname": RIG_HOST, "Prefix": format!("/{name}/"), "RouteType": kind,
            "TimeoutMs": 15_000, "Priority": 1, "Service": "registry", "MaxAttempts": 2,
            "AllowAnonymous": false, "StreamResume": false
        })
    };
    let mut targeted = route("targeted", "unsafe");
    targeted["TargetLatencyMs"] = json!(300);
    let mut stream = route("stream", "streaming");
    stream["Service"] = json!("engines");
    stream["TargetLatencyMs"] = json!(3_000);
    stream["TargetGapMs"] = json!(200);
    json!({
        "Version": 3,
        "Routes": [route("once", "unsafe"), route("lookup", "safe"), targeted, stream],
        "Services": [
            { "Name": "registry", "ColdPerS": 0.0 },
            {
                "Name": "engines", "ColdPerS": 36.0, "ColdStartS": 3.0,
                "Engine": {
                    "Slots": 16, "KvCapacityTokens": 30_000, "Stride": 1, "step_ms": STEP_MS,
                    "read_per_s": 256_000.0, "pairs_per_m": 0.09, "HopMs": 0.1
                }
            },
        ],
        "Limits": {},
        "Tenants": [{ "Name": "team-1", "ApiKeys": ["key-1"], "Priority": 1 }]
    })
}

/// A gateway with a plain server and an engine.
struct Rig {
    rig: DirectRig,
    registry: StandinServer<PlatformServer>,
    engine: StandinServer<PlatformServer>,
}

impl Rig {
    async fn start(executor: &Executor) -> Self {
        let rig = DirectRig::start(executor).unwrap();
        let registry = rig.add_server("registry-1", "registry", ServerKind::Plain);
        let engine = rig.add_server("engine-1", "engines", ServerKind::Engine);
        rig.store.standin().put("op", "config", &declarations());
        for path in ["/lookup/x", "/stream/x"] {
            let served = async || rig.call("first", path, KEY).await.status == StatusCode::OK;
            let process = &rig.gateway.process;
            assert!(rig.wait_until(served).await, "{}", process.log_tail());
        }
        Self {
            rig,
            registry: registry.unwrap(),
            engine: engine.unwrap(),
        }
    }

    async fn connect(&self) -> RawCaller {
        RawCaller::connect(&self.rig.gateway).await
    }

    async fn terminate(&self) {
        let process = &self.rig.gateway.process;
        process.terminate().unwrap();
        let is_logged = async || process.has_logged("process: draining");
        assert!(self.rig.wait_until(is_logged).await, "{}", process.log());
    }

    async fn wait_until_connections_are_refused(&self) {
        let address = self.rig.gateway.frontend_address();
        let refuses = async || Async::<TcpStream>::connect(address).await.is_err();
        assert!(self.rig.wait_until(refuses).await);
    }

    fn has_run(&self, id: &str) -> bool {
        let registry = self.registry.standin().executed_requests();
        let engine = self.engine.standin().executed_requests();
        let mut runs = registry.iter().chain(&engine);
        runs.any(|run| &*run.request_id == id)
    }

    async fn wait_exit(&mut self) {
        let process = &mut self.rig.gateway.process;
        assert!(process.wait_exit(EXIT_LIMIT).await, "{}", process.log());
    }
}

fn request(id: &str, path: &str) -> String {
    request_head(id, path, 4) + "body"
}

/// Request for an answer that is expected to have 1.3 times as many tokens as `length_hint`.
fn prompt(id: &str, prompt_tokens: u64, length_hint: u64) -> String {
    let headers =
        format!("x-token-usage: {prompt_tokens},1000\r\nx-length-hint: {length_hint}\r\n");
    request(id, "/stream/x").replacen("content-length", &(headers + "content-length"), 1)
}

/// Calls a route once before SIGTERM, and again on the same connection afterwards; returns the second answer.
async fn call_in_drain(rig: &Rig, path: &str) -> String {
    let mut caller = rig.connect().await;
    caller.write(&request("before", path)).await;
    let answer = caller.read_answer().await;
    assert!(answer.starts_with("http/1.1 200"), "{answer}");
    rig.terminate().await;
    caller.write(&request("in-drain", path)).await;
    caller.read_answer().await
}

async fn is_served_in_the_drain(path: &str, rig: &Rig) {
    let answer = call_in_drain(rig, path).await;
    assert!(answer.starts_with("http/1.1 200"), "{answer}");
}

/// Sends a call of a route late in a drain to a server that took longer than it may for a call of `path`.
async fn is_refused_late_in_the_drain(path: &str, rig: &Rig) {
    let run_times = [1_500, 4_000].map(Duration::from_millis);
    rig.registry.standin().set_run_time(run_times[0]);
    let before = rig.rig.call("before", path, KEY).await;
    assert_eq!(before.status, StatusCode::OK);
    let slow_down = || rig.registry.standin().set_run_time(run_times[1]);
    assert_refused_late(rig, &request("late", "/targeted/x"), slow_down).await;
}

async fn stream_is_refused_late_in_the_drain(length_hint: u64, rig: &Rig) {
    let engine = rig.engine.standin();
    let slow_down = || engine.set_behaviour(ServerBehaviour::StallAfter(3));
    assert_refused_late(rig, &prompt("late", 1_000, length_hint), slow_down).await;
}

/// Sends a prompt that takes the memory of two engines, and SIGTERM while its reservation is not answered.
async fn stream_is_refused_after_its_reservation(rig: &Rig) {
    let added = ["engine-2", "engine-3"].map(|name| {
        let engine = rig.rig.add_server(name, "engines", ServerKind::Engine);
        engine.unwrap()
    });
    let engines = [&rig.engine, &added[0], &added[1]];
    for engine in engines {
        let standin = engine.standin();
        standin.set_behaviour(ServerBehaviour::StallAfter(3));
    }
    let links = [1, 2, 3].map(|n| {
        let link = FaultProxy::start(rig.rig.executor(), engines[n - 1].local_addr()).unwrap();
        let name = format!("engine-{n}");
        rig.rig.register(&name, "engines", link.address(), "ready");
        link
    });
    let process = &rig.rig.gateway.process;
    let is_listed = |link: &FaultProxy| process.log().contains(&link.address().to_string());
    let are_listed = async || links.iter().all(is_listed);
    assert!(rig.rig.wait_until(are_listed).await, "{}", process.log());
    let set_links = |fault| links.iter().for_each(|link| link.set(fault));
    set_links(LinkFault::NoReplies);
    let mut caller = rig.connect().await;
    caller.write(&prompt("reserves", 40_000, 400)).await;
    let orders = || {
        engines
            .iter()
            .flat_map(|engine| engine.standin().received_orders())
    };
    let is_ordered = async || orders().count() > 0;
    assert!(rig.rig.wait_until(is_ordered).await, "{}", process.log());
    rig.terminate().await;
    set_links(LinkFault::None);
    let answer = caller.read_answer().await;
    assert!(answer.starts_with("http/1.1 503"), "{answer}");
    for engine in engines {
        let runs = engine.standin().executed_requests();
        assert!(runs.iter().all(|run| &*run.request_id != "reserves"));
    }
}

/// Sends a request of which a part was read before SIGTERM, and the rest after accepting has ended.
async fn assert_refused_late(rig: &Rig, request: &str, slow_down: impl FnOnce()) {
    let mut caller = rig.connect().await;
    let (first, rest) = request.split_at(40);
    caller.write(first).await;
    // The gateway has accepted the connection when it answers another one.
    rig.rig.call("after", "/unknown/x", KEY).await;
    rig.terminate().await;
    rig.wait_until_connections_are_refused().await;
    slow_down();
    caller.write(rest).await;
    let answer = caller.read_answer().await;
    assert!(answer.starts_with("http/1.1 503"), "{answer}");
    assert!(!rig.has_run("late"));
}

macro_rules! cases {
    ($($name:ident => $test:expr;)*) => {
        $(
            #[test]
            fn $name() {
                Executor::run(2, |executor| async move {
                    let mut rig = Rig::start(&executor).await;
                    let test = $test;
                    test(&rig).await;
                    rig.wait_exit().await;
                });
            }
        )*
    };
}

cases! {
    // The timeout of a route without a target is longer than a drain, so that all its calls were refused.
    a_call_of_a_fast_route_without_a_target_is_served_in_the_drain => async |rig: &Rig| {
        is_served_in_the_drain("/once/x", rig).await;
    };
    a_repeatable_call_of_a_fast_route_without_a_target_is_served_in_the_drain => async |rig: &Rig| {
        is_served_in_the_drain("/lookup/x", rig).await;
    };
    // The target said that there was time, the call before that there was not.
    a_late_call_of_a_route_that_misses_its_target_is_refused => async |rig: &Rig| {
        is_refused_late_in_the_drain("/targeted/x", rig).await;
    };
    // The same, as nothing was known of a route that was not called yet.
    a_late_call_of_a_route_whose_service_is_slow_is_refused => async |rig: &Rig| {
        is_refused_late_in_the_drain("/once/x", rig).await;
    };
    // It was started if its forecast fitted exactly, and cut if it took any longer.
    a_stream_that_comes_late_in_the_drain_needs_time_to_spare => async |rig: &Rig| {
        stream_is_refused_late_in_the_drain(100, rig).await;
    };
    // It was started if twice its forecast fitted, and cut at an engine that was slower than that.
    a_short_stream_that_comes_late_in_the_drain_is_refused => async |rig: &Rig| {
        stream_is_refused_late_in_the_drain(1, rig).await;
    };
    // It was sent after the wait, though its answer no longer fitted, and cut.
    a_stream_that_waits_for_reservations_is_checked_again_before_it_is_sent => async |rig: &Rig| {
        stream_is_refused_after_its_reservation(rig).await;
    };
}
