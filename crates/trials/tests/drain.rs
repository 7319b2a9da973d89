//! Direct gateways as processes that get SIGTERM while requests wait, run, arrive and are read.

mod raw_caller;

use async_io::Async;
use http_body_util::BodyExt as _;
use hyper::StatusCode;
use raw_caller::{RawCaller, request_head};
use runtime::{Executor, SingleResponse};
use serde_json::{Value, json};
use standins::{PlatformServer, ServerBehaviour, ServerKind, StandinServer};
use std::collections::BTreeSet;
use std::net::TcpStream;
use std::time::Duration;
use trials::{CallerAnswer, DirectRig, RIG_HOST};

const KEY: Option<&str> = Some("key-1");
/// Takes more than half of an engine's memory, so that two of these prompts do not run together.
const LONG_PROMPT: u64 = 20_000;
/// Milliseconds in which an engine decodes a token.
const FAST: f64 = 0.9;
/// The expected answers, of 130 tokens, take longer than the grace period.
const SLOW: f64 = 50.0;
/// Longer than the grace period.
const EXIT_LIMIT: Duration = Duration::from_secs(10);

/// Declarations whose prompts may wait for longer than the grace period of the gateway.
fn declarations(step_ms: f64) -> Value {
    let route = |name: &str, kind: &str, service: &str, target_ms: u64| {
        json!({
            "Name": name, "Hostname": RIG_HOST, "Prefix": format!("/{name}/"), "RouteType": kind,
            "TimeoutMs": 15_000, "TargetLatencyMs": target_ms, "Priority": 1, "Service": service,
            "MaxAttempts": 2, "AllowAnonymous": false, "StreamResume": false, "TargetGapMs": 200
        })
    };
    json!({
        "Version": 3,
        "Routes": [
            route("stream", "streaming", "engines", 3_000),
            route("once", "unsafe", "registry", 300),
            route("lookup", "safe", "registry", 300),
        ],
        "Services": [
            {
                "Name": "engines", "ColdPerS": 36.0, "ColdStartS": 3.0,
                "Engine": {
                    "Slots": 16, "KvCapacityTokens": 30_000, "Stride": 1, "step_ms": step_ms,
                    "read_per_s": 256_000.0, "pairs_per_m": 0.09, "HopMs": 0.1
                }
            },
            { "Name": "registry", "ColdPerS": 0.0 },
        ],
        "Limits": {},
        "Tenants": [{ "Name": "team-1", "ApiKeys": ["key-1"], "Priority": 1 }]
    })
}

/// A gateway with a plain server and an engine, which has answered a request of each.
struct Rig {
    rig: DirectRig,
    registry: StandinServer<PlatformServer>,
    engine: StandinServer<PlatformServer>,
}

impl Rig {
    async fn start(executor: &Executor, step_ms: f64) -> Self {
        let rig = DirectRig::start(executor).unwrap();
        let registry = rig.add_server("registry-1", "registry", ServerKind::Plain);
        let engine = rig.add_server("engine-1", "engines", ServerKind::Engine);
        let manifest = declarations(step_ms);
        rig.store.standin().put("op", "config", &manifest);
        for path in ["/lookup/x", "/stream/x"] {
            let served = async || rig.call("first", path, KEY).await.status == StatusCode::OK;
            assert!(
                rig.wait_until(served).await,
                "{}",
                rig.gateway.process.log_tail()
            );
        }
        Self {
            rig,
            registry: registry.unwrap(),
            engine: engine.unwrap(),
        }
    }

    async fn start_prompt(&self, id: &str) -> SingleResponse {
        let caller = self.rig.gateway.caller();
        let response = caller.start_call(id, "/stream/x", KEY, LONG_PROMPT);
        let response = response.await.unwrap();
        assert_eq!(response.head.status, StatusCode::OK);
        response
    }

    /// Starts a call and does not wait for its answer.
    fn spawn_call(
        &self,
        executor: &Executor,
        id: &str,
        path: &'static str,
        prompt: u64,
    ) -> runtime::Task<CallerAnswer> {
        let (caller, id) = (self.rig.gateway.caller(), id.to_owned());
        executor.spawn(async move { caller.call(&id, path, KEY, prompt).await })
    }

    async fn wait_until_a_prompt_waits(&self) {
        let waits = async || {
            let metrics = self.rig.gateway.metrics().await;
            metrics.is_ok_and(|page| page.contains("bergamothold_direct_waiting 1\n"))
        };
        assert!(self.rig.wait_until(waits).await);
    }

    /// Sends SIGTERM and waits until the gateway is not ready.
    async fn terminate(&self) {
        self.rig.gateway.process.terminate().unwrap();
        self.wait_for_log("process: draining").await;
    }

    async fn wait_until_connections_are_refused(&self) {
        let address = self.rig.gateway.frontend_address();
        let refuses = async || Async::<TcpStream>::connect(address).await.is_err();
        assert!(self.rig.wait_until(refuses).await);
    }

    async fn wait_for_log(&self, text: &str) {
        let process = &self.rig.gateway.process;
        let is_logged = async || process.has_logged(text);
        assert!(self.rig.wait_until(is_logged).await, "{}", process.log());
    }

    fn has_run(&self, id: &str) -> bool {
        let registry = self.registry.standin().executed_requests();
        let engine = self.engine.standin().executed_requests();
        let mut runs = registry.iter().chain(&engine);
        runs.any(|run| &*run.request_id == id)
    }

    /// Waits until the process ends; it must have answered all requests before.
    async fn wait_exit(&mut self) {
        let process = &mut self.rig.gateway.process;
        assert!(process.wait_exit(EXIT_LIMIT).await, "{}", process.log());
    }
}

fn assert_not_run(answer: &CallerAnswer) {
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let retry_after = answer.retry_after.as_deref().unwrap();
    assert!(retry_after.parse::<f64>().unwrap() < 1.0, "{retry_after}");
}

fn with_rig(test: impl AsyncFnOnce(&Executor, Rig)) {
    Executor::run(2, |executor| async move {
        let rig = Rig::start(&executor, FAST).await;
        test(&executor, rig).await;
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

cases! {
    // Prompts that waited in the queue were dropped without an answer when the process ended.
    a_prompt_that_waits_until_the_end_of_a_drain_is_refused => async |executor: &Executor, mut rig: Rig| {
        rig.engine.standin().set_behaviour(ServerBehaviour::StallAfter(3));
        let open = rig.start_prompt("open").await;
        let waiting = rig.spawn_call(executor, "waiting", "/stream/x", LONG_PROMPT);
        rig.wait_until_a_prompt_waits().await;
        rig.terminate().await;
        assert_not_run(&waiting.await);
        assert!(!rig.has_run("waiting"));
        assert!(open.body.collect().await.is_err(), "a stream that is cut is not complete");
        rig.wait_exit().await;
        rig.wait_for_log("\"cut\":false").await;
    };
    a_prompt_that_waits_at_the_start_of_a_drain_is_served_in_it => async |executor: &Executor, mut rig: Rig| {
        rig.engine.standin().set_behaviour(ServerBehaviour::PauseAfter(3));
        let open = rig.start_prompt("open").await;
        let waiting = rig.spawn_call(executor, "waiting", "/stream/x", LONG_PROMPT);
        rig.wait_until_a_prompt_waits().await;
        rig.engine.standin().set_behaviour(ServerBehaviour::Normal);
        rig.terminate().await;
        assert!(open.body.collect().await.is_ok());
        let answer = waiting.await;
        assert_eq!(answer.status, StatusCode::OK, "{}", rig.rig.gateway.process.log_tail());
        assert!(answer.body.is_some());
        rig.wait_exit().await;
    };
    // Calls that ran until the process ended were cut without an answer.
    calls_that_run_until_the_end_of_a_drain_get_truthful_replies => async |executor: &Executor, mut rig: Rig| {
        rig.registry.standin().set_behaviour(ServerBehaviour::Hang);
        rig.engine.standin().set_behaviour(ServerBehaviour::Hang);
        let paths = [("once", "/once/x"), ("lookup", "/lookup/x"), ("stream", "/stream/x")];
        let calls = paths.map(|(id, path)| rig.spawn_call(executor, id, path, 1_000));
        for (id, _) in paths {
            assert!(rig.rig.wait_until(async || rig.has_run(id)).await, "{id}");
        }
        rig.terminate().await;
        for call in calls {
            let answer = call.await;
            assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "it may have run");
        }
        rig.wait_exit().await;
    };
    a_first_request_head_that_is_half_read_at_the_start_of_a_drain_is_served => async |_: &Executor, mut rig: Rig| {
        let mut caller = RawCaller::connect(&rig.rig.gateway).await;
        let request = request_head("half-head", "/once/x", 4) + "body";
        let (first, rest) = request.split_at(40);
        caller.write(first).await;
        rig.rig.call("after", "/lookup/x", KEY).await;
        rig.terminate().await;
        assert!(rig.rig.wait_until(async || !rig.rig.gateway.is_ready().await).await);
        caller.write(rest).await;
        let answer = caller.read_answer().await;
        assert!(answer.starts_with("http/1.1 200"), "{answer}");
        rig.wait_exit().await;
    };
    // A kept connection with a part of a request head was taken for an idle one and closed.
    a_later_request_head_that_is_half_read_at_the_start_of_a_drain_is_served => async |_: &Executor, mut rig: Rig| {
        let mut caller = RawCaller::connect(&rig.rig.gateway).await;
        caller.write(&(request_head("kept", "/lookup/x", 4) + "body")).await;
        assert!(caller.read_answer().await.starts_with("http/1.1 200"));
        let request = request_head("half-head", "/once/x", 4) + "body";
        let (first, rest) = request.split_at(40);
        caller.write(first).await;
        rig.rig.call("after", "/lookup/x", KEY).await;
        rig.terminate().await;
        rig.wait_until_connections_are_refused().await;
        caller.write(rest).await;
        let answer = caller.read_answer().await;
        assert!(answer.starts_with("http/1.1 200"), "{answer}");
        rig.wait_exit().await;
    };
    a_request_body_that_is_half_read_at_the_start_of_a_drain_is_served => async |_: &Executor, mut rig: Rig| {
        let mut caller = RawCaller::connect(&rig.rig.gateway).await;
        caller.write(&(request_head("half-body", "/once/x", 4) + "bo")).await;
        rig.rig.call("after", "/lookup/x", KEY).await;
        rig.terminate().await;
        caller.write("dy").await;
        let answer = caller.read_answer().await;
        assert!(answer.starts_with("http/1.1 200"), "{answer}");
        rig.wait_exit().await;
    };
    // A request whose body did not arrive whole was cut without an answer.
    a_request_body_that_never_ends_is_refused_before_the_process_ends => async |_: &Executor, mut rig: Rig| {
        let mut caller = RawCaller::connect(&rig.rig.gateway).await;
        caller.write(&(request_head("no-end", "/once/x", 4) + "bo")).await;
        rig.rig.call("after", "/lookup/x", KEY).await;
        rig.terminate().await;
        let answer = caller.read_answer().await;
        assert!(answer.starts_with("http/1.1 503"), "{answer}");
        assert!(!rig.has_run("no-end"));
        rig.wait_exit().await;
    };
    // Idle connections were closed at SIGTERM, although a request could be on its way.
    a_kept_connection_takes_a_request_in_the_drain => async |_: &Executor, mut rig: Rig| {
        let mut caller = RawCaller::connect(&rig.rig.gateway).await;
        caller.write(&(request_head("kept-1", "/lookup/x", 4) + "body")).await;
        assert!(caller.read_answer().await.starts_with("http/1.1 200"));
        rig.terminate().await;
        assert!(rig.rig.wait_until(async || !rig.rig.gateway.is_ready().await).await);
        caller.write(&(request_head("kept-2", "/once/x", 4) + "body")).await;
        let answer = caller.read_answer().await;
        assert!(answer.starts_with("http/1.1 200"), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
        rig.wait_exit().await;
    };
    // The socket stayed open until the process ended, and the kernel accepted connections for it.
    connections_are_refused_once_accepting_has_ended => async |_: &Executor, mut rig: Rig| {
        rig.engine.standin().set_behaviour(ServerBehaviour::StallAfter(3));
        let open = rig.start_prompt("open").await;
        rig.terminate().await;
        rig.wait_until_connections_are_refused().await;
        assert!(rig.rig.gateway.metrics().await.is_ok(), "the process still runs");
        assert!(open.body.collect().await.is_err());
        rig.wait_exit().await;
    };
    // Requests that came on connections which the kernel accepted late were cut when the process ended.
    clients_that_connect_until_the_process_ends_are_answered_or_refused => async |executor: &Executor, mut rig: Rig| {
        const CLIENTS: usize = 30;
        rig.registry.standin().set_run_time(Duration::from_millis(20));
        rig.engine.standin().set_behaviour(ServerBehaviour::StallAfter(3));
        let open = rig.start_prompt("open").await;
        let (tx, rx) = async_channel::unbounded();
        for client in 0..CLIENTS {
            let (caller, tx) = (rig.rig.gateway.caller(), tx.clone());
            executor.detach(async move {
                for n in 0.. {
                    let id = format!("client-{client}-{n}");
                    // A connection that is refused is no request.
                    let Ok(answer) = caller.call_if_connected(&id, "/once/x", KEY, 1_000).await else {
                        break;
                    };
                    let _ = tx.send((id, answer)).await;
                }
            });
        }
        drop(tx);
        rig.terminate().await;
        let (mut served, mut lost) = (BTreeSet::new(), Vec::new());
        while let Ok((id, answer)) = rx.recv().await {
            match answer.status {
                StatusCode::OK => assert!(served.insert(id)),
                StatusCode::SERVICE_UNAVAILABLE => assert!(!rig.has_run(&id), "{id}"),
                StatusCode::BAD_GATEWAY => {}
                // Its connection was reset as accepting ended; then the process still runs.
                _ if rig.rig.gateway.metrics().await.is_err() => lost.push(id),
                _ => assert!(!rig.has_run(&id), "{id}"),
            }
        }
        assert_eq!(lost, Vec::<String>::new());
        assert!(!served.is_empty());
        let runs = rig.registry.standin().executed_requests();
        let ids: BTreeSet<_> = runs.iter().map(|run| &*run.request_id).collect();
        assert_eq!(ids.len() - 1, runs.iter().filter(|run| &*run.request_id != "first").count());
        assert!(open.body.collect().await.is_err());
        rig.wait_exit().await;
    };
    // A request that came late on an open connection was passed on and cut when the process ended.
    a_late_request_on_an_open_connection_is_answered => async |executor: &Executor, mut rig: Rig| {
        rig.registry.standin().set_behaviour(ServerBehaviour::Hang);
        let _keeps_the_drain_open = rig.spawn_call(executor, "open", "/once/x", 1_000);
        assert!(rig.rig.wait_until(async || rig.has_run("open")).await);
        let mut caller = RawCaller::connect(&rig.rig.gateway).await;
        let request = request_head("late", "/once/x", 4) + "body";
        let (first, rest) = request.split_at(40);
        caller.write(first).await;
        rig.terminate().await;
        rig.wait_until_connections_are_refused().await;
        caller.write(rest).await;
        let answer = caller.read_answer().await;
        let status = if rig.has_run("late") { "http/1.1 502" } else { "http/1.1 503" };
        assert!(answer.starts_with(status), "{answer}");
        rig.wait_exit().await;
    };
    answers_that_end_around_the_last_replies_are_whole => async |executor: &Executor, mut rig: Rig| {
        // The last replies are sent 5.2 s after SIGTERM.
        let mut calls = Vec::new();
        for n in 0..12 {
            let id = format!("ends-late-{n}");
            let run_time = Duration::from_millis(4_700 + 80 * n);
            rig.registry.standin().set_run_time(run_time);
            calls.push(rig.spawn_call(executor, &id, "/once/x", 1_000));
            assert!(rig.rig.wait_until(async || rig.has_run(&id)).await, "{id}");
        }
        rig.terminate().await;
        for call in calls {
            let answer = call.await;
            assert!([StatusCode::OK, StatusCode::BAD_GATEWAY].contains(&answer.status));
            assert!(answer.body.is_some());
        }
        rig.wait_exit().await;
        assert!(rig.rig.gateway.process.has_logged("\"cut\":false"));
    };
    // Neither the log nor the metrics of a process that ended told what a stop had cut, and why.
    the_last_line_of_a_drain_says_what_ended_its_calls => async |executor: &Executor, mut rig: Rig| {
        rig.engine.standin().set_behaviour(ServerBehaviour::StallAfter(3));
        let open = rig.start_prompt("open").await;
        rig.registry.standin().set_run_time(Duration::from_secs(1));
        let served = rig.spawn_call(executor, "served", "/lookup/x", 1_000);
        assert!(rig.rig.wait_until(async || rig.has_run("served")).await);
        rig.terminate().await;
        assert_eq!(served.await.status, StatusCode::OK);
        assert!(open.body.collect().await.is_err());
        rig.wait_exit().await;
        rig.wait_for_log("answered served 1, draining broken off 1").await;
        rig.wait_for_log("\"run_end\":\"draining\"").await;
    };
    further_signals_in_a_drain_cut_nothing => async |executor: &Executor, mut rig: Rig| {
        rig.engine.standin().set_behaviour(ServerBehaviour::PauseAfter(3));
        let open = rig.start_prompt("open").await;
        let waiting = rig.spawn_call(executor, "waiting", "/stream/x", LONG_PROMPT);
        rig.wait_until_a_prompt_waits().await;
        rig.engine.standin().set_behaviour(ServerBehaviour::Normal);
        rig.terminate().await;
        rig.rig.gateway.process.hang_up().unwrap();
        rig.rig.gateway.process.terminate().unwrap();
        assert!(open.body.collect().await.is_ok());
        assert_eq!(waiting.await.status, StatusCode::OK);
        rig.wait_exit().await;
    };
}

/// A prompt that could not be served before the process ends waited all the same, and had no time left
/// for another gateway.
#[test]
fn a_prompt_that_does_not_fit_into_the_drain_is_refused_at_its_start() {
    Executor::run(2, |executor| async move {
        let mut rig = Rig::start(&executor, SLOW).await;
        rig.engine
            .standin()
            .set_behaviour(ServerBehaviour::StallAfter(3));
        let open = rig.start_prompt("open").await;
        let waiting = rig.spawn_call(&executor, "waiting", "/stream/x", LONG_PROMPT);
        rig.wait_until_a_prompt_waits().await;
        rig.terminate().await;
        assert_not_run(&waiting.await);
        let late = rig.rig.call("late", "/lookup/x", KEY).await;
        assert_eq!(
            late.status,
            StatusCode::OK,
            "connections are still accepted"
        );
        assert!(open.body.collect().await.is_err());
        rig.wait_exit().await;
    });
}
