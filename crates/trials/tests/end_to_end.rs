//! Requests from caller to engine over separate processes: exact bytes, cancellation, a killed
//! agent and graceful shutdown.

use http_body_util::BodyExt;
use hyper::Request;
use runtime::{Body, Executor, HttpClient, ShutdownSignal};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use trials::{Call, End, Fleet, FleetConfig, MODEL, Outcome, SERVICE_PATH, TEAM_KEY, wait_until};

const THREADS: usize = 4;
const FAST_PREFILL_RATE: f64 = 2_000_000.0;
const LONG_OUTPUT_TOKENS: u64 = 400;
const ENDLESS_OUTPUT_TOKENS: u64 = 10_000;
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Engines that prefill quickly, without a cold start.
fn with_fast_engines(mut cfg: FleetConfig) -> FleetConfig {
    cfg.for_each_engine(|engine, _| {
        engine.prefill_rate = FAST_PREFILL_RATE;
        engine.prefill_chunk_tokens = 65_536;
        engine.starts_cold = false;
    });
    cfg
}

fn engine_names(fleet: &Fleet) -> Vec<Box<str>> {
    fleet.backends.engines.keys().cloned().collect()
}

async fn send(executor: &Executor, peer: SocketAddr, call: Call) -> Outcome {
    let client = HttpClient::new(executor.clone());
    call.run(executor, &client, peer, Instant::now()).await
}

/// The same request, answered in one body instead of a stream.
fn without_streaming(call: &Call) -> Call {
    let mut request = call.clone();
    let body = String::from_utf8(call.body.concat()).unwrap();
    request.body = vec![
        body.replacen("\"stream\":true", "\"stream\":false", 1)
            .into(),
    ];
    request.stream = false;
    request
}

/// Concurrent requests through the gateway, streamed and not, return the same bytes as requests
/// sent straight to the engine.
#[test]
fn answers_are_the_engines_byte_for_byte() {
    Executor::run(THREADS, |executor| async move {
        let fleet = Fleet::start(&executor, &with_fast_engines(FleetConfig::single()))
            .await
            .unwrap();
        let server = fleet
            .names()
            .iter()
            .find_map(|name| name.strip_prefix("agent-").map(ToOwned::to_owned));
        let engine = fleet.backends.address(&server.unwrap()).unwrap();
        let gateway = fleet.gateways()[0];
        let mut calls = Vec::new();
        for (seed, tokens) in [(1, 1_000), (2, 100_000), (3, 1_000_000)] {
            let call = Call::completion(MODEL, seed, tokens, 16).key(TEAM_KEY);
            calls.push(without_streaming(&call));
            calls.push(call);
        }
        // The agent cannot account for requests that bypass it, so these run first.
        let direct = send_all(&executor, engine, &calls).await;
        let through = send_all(&executor, gateway, &calls).await;
        for (direct, through) in direct.iter().zip(&through) {
            assert_eq!((&direct.end, &through.end), (&End::Whole, &End::Whole));
            assert!(through.bytes > 0);
            assert_eq!(
                (through.bytes, through.checksum),
                (direct.bytes, direct.checksum)
            );
        }
    });
}

/// Sends all requests concurrently and returns their outcomes in the order of the requests.
async fn send_all(executor: &Executor, peer: SocketAddr, calls: &[Call]) -> Vec<Outcome> {
    let mut tasks = Vec::new();
    for call in calls.iter().cloned() {
        let sender = executor.clone();
        tasks.push(executor.spawn(async move { send(&sender, peer, call).await }));
    }
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.push(task.await);
    }
    outcomes
}

#[test]
fn plain_service_answers_under_its_route() {
    Executor::run(THREADS, |executor| async move {
        let fleet = Fleet::start(&executor, &FleetConfig::small())
            .await
            .unwrap();
        for gateway in fleet.gateways() {
            let call = Call::plain(SERVICE_PATH, "{\"catch\":7}").key(TEAM_KEY);
            let outcome = send(&executor, gateway, call).await;
            assert_eq!(outcome.end, End::Whole, "{}", outcome.text);
        }
    });
}

/// When a caller disconnects in the middle of a response, the engine frees the request's memory.
#[test]
fn hanging_up_frees_the_engine() {
    Executor::run(THREADS, |executor| async move {
        let fleet = Fleet::start(&executor, &with_fast_engines(FleetConfig::single()))
            .await
            .unwrap();
        let server = &engine_names(&fleet)[0];
        let gateway = fleet.gateways()[0];
        let call = Call::completion(MODEL, 1, 1_000, ENDLESS_OUTPUT_TOKENS).key(TEAM_KEY);
        let body = call.body.concat();
        let req = Request::post("/v1/completions")
            .header("authorization", format!("Bearer {TEAM_KEY}"))
            .body(Body::full(body))
            .unwrap();
        let client = HttpClient::new(executor.clone());
        let response = client.send(gateway, req).await.unwrap();
        assert!(response.status().is_success(), "{}", response.status());
        let mut response = response.into_body();
        response.frame().await.unwrap().unwrap();
        assert!(fleet.backends.request_tokens(server) > 0);
        drop(response);
        let freed = wait_until(WAIT_TIMEOUT, || fleet.backends.request_tokens(server) == 0);
        assert!(freed.await, "the engine still holds the request");
    });
}

/// When the agent is killed in the middle of a response, the caller gets an error and the response
/// does not end like a complete one.
#[test]
fn kill_of_the_agent_is_told() {
    Executor::run(THREADS, |executor| async move {
        let mut fleet = Fleet::start(&executor, &with_fast_engines(FleetConfig::single()))
            .await
            .unwrap();
        let gateway = fleet.gateways()[0];
        let (first_frame_tx, first_frame_rx) = async_channel::bounded::<()>(1);
        let reading = executor.spawn(read_to_end(executor.clone(), gateway, first_frame_tx));
        first_frame_rx.recv().await.unwrap();
        let agent = fleet
            .names()
            .iter()
            .find(|name| name.starts_with("agent-"))
            .cloned();
        fleet.kill(&agent.unwrap());
        let (text, clean) = reading.await;
        assert!(!clean, "the broken answer ended like a whole one");
        assert!(
            !text.contains("[DONE]"),
            "the broken answer claims to be whole"
        );
        assert!(
            text.contains("\"error\""),
            "the caller was not told: {text}"
        );
    });
}

/// Reads a long response and signals its first frame; returns the text, and whether it ended
/// without a transport error.
async fn read_to_end(
    executor: Executor,
    gateway: SocketAddr,
    first_frame: async_channel::Sender<()>,
) -> (String, bool) {
    let call = Call::completion(MODEL, 1, 1_000, ENDLESS_OUTPUT_TOKENS).key(TEAM_KEY);
    let req = Request::post("/v1/completions")
        .header("authorization", format!("Bearer {TEAM_KEY}"))
        .body(Body::full(call.body.concat()))
        .unwrap();
    let client = HttpClient::new(executor);
    let response = client.send(gateway, req).await.unwrap();
    assert!(response.status().is_success(), "{}", response.status());
    let mut body = response.into_body();
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return (text, false);
        };
        text.push_str(&String::from_utf8_lossy(frame.data_ref().unwrap()));
        let _ = first_frame.try_send(());
    }
    (text, true)
}

/// An agent that replaces a killed one resets the links of its predecessor, so that no request
/// waits for an agent that will not reply.
#[test]
fn successor_of_a_killed_agent_resets_its_links() {
    Executor::run(THREADS, |executor| async move {
        let mut fleet = Fleet::start(&executor, &with_fast_engines(FleetConfig::single()))
            .await
            .unwrap();
        let gateway = fleet.gateways()[0];
        let call = Call::completion(MODEL, 1, 1_000, 1).key(TEAM_KEY);
        let before = send(&executor, gateway, call.clone()).await;
        assert_eq!(before.end, End::Whole);
        let agent = fleet.agent_of(&engine_names(&fleet)[0]);
        fleet.kill(&agent);
        fleet.restart(&agent).await.unwrap();
        let first = send(&executor, gateway, call.clone()).await.end;
        let whole_or_reset = match &first {
            End::Whole => true,
            End::Failed { reason, .. } => reason.contains("reset by peer"),
            _ => false,
        };
        assert!(whole_or_reset, "{first:?}");
        assert_eq!(send(&executor, gateway, call).await.end, End::Whole);
    });
}

/// Sends requests one after another until `stop` is started, and returns how each ended.
async fn send_until_stopped(
    executor: Executor,
    gateways: Vec<SocketAddr>,
    seed: u64,
    stop: ShutdownSignal,
) -> Vec<End> {
    let mut ends = Vec::new();
    while !stop.is_started() {
        let gateway = gateways[ends.len() % gateways.len()];
        let call = Call::completion(MODEL, seed, 1_000, 20).key(TEAM_KEY);
        ends.push(send(&executor, gateway, call).await.end);
    }
    ends
}

/// Terminates a node while callers send requests; every request must complete.
async fn terminate_under_load(
    executor: &Executor,
    fleet: &mut Fleet,
    gateways: Vec<SocketAddr>,
    node: &str,
) {
    let stop = ShutdownSignal::default();
    let callers: Vec<_> = (0..8)
        .map(|seed| {
            executor.spawn(send_until_stopped(
                executor.clone(),
                gateways.clone(),
                seed,
                stop.clone(),
            ))
        })
        .collect();
    let gateway = gateways[0];
    let long = Call::completion(MODEL, 99, 1_000, LONG_OUTPUT_TOKENS).key(TEAM_KEY);
    let long = executor.spawn({
        let executor = executor.clone();
        async move { send(&executor, gateway, long).await }
    });
    let ended = fleet.terminate(node, DRAIN_TIMEOUT).await.unwrap();
    assert!(ended, "{node} did not end");
    stop.start();
    for caller in callers {
        for end in caller.await {
            assert_eq!(end, End::Whole);
        }
    }
    assert_eq!(long.await.end, End::Whole);
}

#[test]
fn graceful_shutdown_of_an_agent_loses_no_request() {
    Executor::run(THREADS, |executor| async move {
        let mut fleet = Fleet::start(&executor, &with_fast_engines(FleetConfig::small()))
            .await
            .unwrap();
        let gateways = fleet.gateways();
        let names = fleet.names();
        let agent = names
            .iter()
            .find(|name| name.starts_with("agent-engine"))
            .unwrap();
        terminate_under_load(&executor, &mut fleet, gateways, agent).await;
    });
}

/// A draining gateway completes the requests that it has accepted. The test sends it no new ones,
/// because a load balancer stops sending requests to a draining gateway.
#[test]
fn graceful_shutdown_of_a_gateway_loses_no_request() {
    Executor::run(THREADS, |executor| async move {
        let mut fleet = Fleet::start(&executor, &with_fast_engines(FleetConfig::small()))
            .await
            .unwrap();
        let gateway = fleet
            .names()
            .iter()
            .find(|name| name.starts_with("gateway"))
            .cloned();
        let gateway = gateway.unwrap();
        let address = fleet.node(&gateway).address;
        let long = Call::completion(MODEL, 99, 1_000, LONG_OUTPUT_TOKENS).key(TEAM_KEY);
        let (started_tx, started_rx) = async_channel::bounded::<()>(1);
        let running = executor.spawn({
            let executor = executor.clone();
            async move {
                let _ = started_tx.send(()).await;
                send(&executor, address, long).await
            }
        });
        started_rx.recv().await.unwrap();
        let engines = engine_names(&fleet);
        let holds_memory = |engine: &str| fleet.backends.request_tokens(engine) > 0;
        let started = wait_until(WAIT_TIMEOUT, || {
            engines.iter().any(|engine| holds_memory(engine))
        });
        assert!(started.await, "the request never ran");
        assert!(
            fleet.terminate(&gateway, DRAIN_TIMEOUT).await.unwrap(),
            "it did not end"
        );
        assert_eq!(running.await.end, End::Whole);
    });
}

/// It is told shortly before the drain ends that it may have run.
#[test]
fn a_request_that_runs_until_the_end_of_a_gateways_drain_gets_a_reply() {
    Executor::run(THREADS, |executor| async move {
        let mut cfg = with_fast_engines(FleetConfig::single());
        cfg.gateway_flags = vec!["--grace-seconds=0".into(), "--drain-seconds=2".into()];
        let mut fleet = Fleet::start(&executor, &cfg).await.unwrap();
        let address = fleet.gateways()[0];
        let names = fleet.names();
        let gateway = names.iter().find(|name| name.starts_with("gateway"));
        let gateway = gateway.unwrap().clone();
        let call = Call::completion(MODEL, 99, 1_000, ENDLESS_OUTPUT_TOKENS).key(TEAM_KEY);
        let call = without_streaming(&call);
        let running = executor.spawn({
            let executor = executor.clone();
            async move { send(&executor, address, call).await }
        });
        let engines = engine_names(&fleet);
        let holds_memory = |engine: &str| fleet.backends.request_tokens(engine) > 0;
        let started = wait_until(WAIT_TIMEOUT, || {
            engines.iter().any(|engine| holds_memory(engine))
        });
        assert!(started.await, "the request never ran");
        assert!(fleet.terminate(&gateway, DRAIN_TIMEOUT).await.unwrap());
        let end = running.await.end;
        assert!(matches!(end, End::Failed { status: 502, .. }), "{end:?}");
    });
}
