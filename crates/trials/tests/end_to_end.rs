//! The whole path with separate processes: true bytes, cancel, kill, and graceful shutdown.

use http_body_util::BodyExt;
use hyper::Request;
use runtime::{Body, Executor, HttpClient, ShutdownSignal};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use trials::{Call, End, Fleet, FleetConfig, MODEL, Outcome, SERVICE_PATH, TEAM_KEY, wait_until};

const THREADS: usize = 4;
const FAST_PREFILL: f64 = 2_000_000.0;
const LONG_ANSWER: u64 = 400;
const ENDLESS_ANSWER: u64 = 10_000;
const DRAIN_LIMIT: Duration = Duration::from_secs(60);
const WAIT_LIMIT: Duration = Duration::from_secs(30);

fn fast(mut cfg: FleetConfig) -> FleetConfig {
    cfg.for_each_engine(|engine, _| {
        engine.prefill_rate = FAST_PREFILL;
        engine.prefill_chunk_tokens = 65_536;
        engine.starts_cold = false;
    });
    cfg
}

fn engines(fleet: &Fleet) -> Vec<Box<str>> {
    fleet.backends.engines.keys().cloned().collect()
}

async fn ask(executor: &Executor, peer: SocketAddr, call: Call) -> Outcome {
    let client = HttpClient::new(executor.clone());
    call.run(executor, &client, peer, Instant::now()).await
}

fn whole_body(call: &Call) -> Call {
    let mut whole = call.clone();
    let body = String::from_utf8(call.body.concat()).unwrap();
    whole.body = vec![
        body.replacen("\"stream\":true", "\"stream\":false", 1)
            .into(),
    ];
    whole.stream = false;
    whole
}

/// The answers are those of the engine asked directly, streamed and whole, all at once.
#[test]
fn answers_are_the_engines_byte_for_byte() {
    Executor::run(THREADS, |executor| async move {
        let fleet = Fleet::start(&executor, &fast(FleetConfig::single()))
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
            calls.push(whole_body(&call));
            calls.push(call);
        }
        // The agent does not know of what runs past it, so the engine is asked first.
        let direct = ask_all(&executor, engine, &calls).await;
        let through = ask_all(&executor, gateway, &calls).await;
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

/// Makes all calls at once and gives their outcomes in order.
async fn ask_all(executor: &Executor, peer: SocketAddr, calls: &[Call]) -> Vec<Outcome> {
    let mut tasks = Vec::new();
    for call in calls.iter().cloned() {
        let asking = executor.clone();
        tasks.push(executor.spawn(async move { ask(&asking, peer, call).await }));
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
            let outcome = ask(&executor, gateway, call).await;
            assert_eq!(outcome.end, End::Whole, "{}", outcome.text);
        }
    });
}

/// A caller that hangs up in the middle of its answer leaves nothing in the engine.
#[test]
fn hanging_up_frees_the_engine() {
    Executor::run(THREADS, |executor| async move {
        let fleet = Fleet::start(&executor, &fast(FleetConfig::single()))
            .await
            .unwrap();
        let server = &engines(&fleet)[0];
        let gateway = fleet.gateways()[0];
        let call = Call::completion(MODEL, 1, 1_000, ENDLESS_ANSWER).key(TEAM_KEY);
        let body = call.body.concat();
        let req = Request::post("/v1/completions")
            .header("authorization", format!("Bearer {TEAM_KEY}"))
            .body(Body::full(body))
            .unwrap();
        let client = HttpClient::new(executor.clone());
        let mut answer = client.send(gateway, req).await.unwrap().into_body();
        answer.frame().await.unwrap().unwrap();
        assert!(fleet.backends.request_tokens(server) > 0);
        drop(answer);
        let freed = wait_until(WAIT_LIMIT, || fleet.backends.request_tokens(server) == 0);
        assert!(freed.await, "the engine still holds the request");
    });
}

/// A kill of the agent in the middle of an answer is told, never passed off as the end.
#[test]
fn kill_of_the_agent_is_told() {
    Executor::run(THREADS, |executor| async move {
        let mut fleet = Fleet::start(&executor, &fast(FleetConfig::single()))
            .await
            .unwrap();
        let gateway = fleet.gateways()[0];
        let (seen_tx, seen_rx) = async_channel::bounded::<()>(1);
        let reading = executor.spawn(read_to_end(executor.clone(), gateway, seen_tx));
        seen_rx.recv().await.unwrap();
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

async fn read_to_end(
    executor: Executor,
    gateway: SocketAddr,
    seen: async_channel::Sender<()>,
) -> (String, bool) {
    let call = Call::completion(MODEL, 1, 1_000, ENDLESS_ANSWER).key(TEAM_KEY);
    let req = Request::post("/v1/completions")
        .header("authorization", format!("Bearer {TEAM_KEY}"))
        .body(Body::full(call.body.concat()))
        .unwrap();
    let client = HttpClient::new(executor);
    let mut body = client.send(gateway, req).await.unwrap().into_body();
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return (text, false);
        };
        text.push_str(&String::from_utf8_lossy(frame.data_ref().unwrap()));
        let _ = seen.try_send(());
    }
    (text, true)
}

/// An agent in the place of a killed one resets the links of its forerunner, so that no request
/// waits for an agent that will not answer.
#[test]
fn successor_of_a_killed_agent_resets_its_links() {
    Executor::run(THREADS, |executor| async move {
        let mut fleet = Fleet::start(&executor, &fast(FleetConfig::single()))
            .await
            .unwrap();
        let gateway = fleet.gateways()[0];
        let call = Call::completion(MODEL, 1, 1_000, 1).key(TEAM_KEY);
        let before = ask(&executor, gateway, call.clone()).await;
        assert_eq!(before.end, End::Whole);
        let agent = fleet.agent_of(&engines(&fleet)[0]);
        fleet.kill(&agent);
        fleet.restart(&agent).await.unwrap();
        let first = ask(&executor, gateway, call.clone()).await.end;
        let told = match &first {
            End::Whole => true,
            End::Failed { reason, .. } => reason.contains("reset by peer"),
            _ => false,
        };
        assert!(told, "{first:?}");
        assert_eq!(ask(&executor, gateway, call).await.end, End::Whole);
    });
}

/// Sends requests one after another until told to stop, and gives how each ended.
async fn steady(
    executor: Executor,
    gateways: Vec<SocketAddr>,
    seed: u64,
    stop: ShutdownSignal,
) -> Vec<End> {
    let mut ends = Vec::new();
    while !stop.is_started() {
        let gateway = gateways[ends.len() % gateways.len()];
        let call = Call::completion(MODEL, seed, 1_000, 20).key(TEAM_KEY);
        ends.push(ask(&executor, gateway, call).await.end);
    }
    ends
}

async fn under_load(
    executor: &Executor,
    fleet: &mut Fleet,
    gateways: Vec<SocketAddr>,
    leaver: &str,
) {
    let stop = ShutdownSignal::default();
    let callers: Vec<_> = (0..8)
        .map(|seed| {
            executor.spawn(steady(
                executor.clone(),
                gateways.clone(),
                seed,
                stop.clone(),
            ))
        })
        .collect();
    let gateway = gateways[0];
    let long = Call::completion(MODEL, 99, 1_000, LONG_ANSWER).key(TEAM_KEY);
    let long = executor.spawn({
        let executor = executor.clone();
        async move { ask(&executor, gateway, long).await }
    });
    let ended = fleet.terminate(leaver, DRAIN_LIMIT).await.unwrap();
    assert!(ended, "{leaver} did not end");
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
        let mut fleet = Fleet::start(&executor, &fast(FleetConfig::small()))
            .await
            .unwrap();
        let gateways = fleet.gateways();
        let names = fleet.names();
        let agent = names
            .iter()
            .find(|name| name.starts_with("agent-engine"))
            .unwrap();
        under_load(&executor, &mut fleet, gateways, agent).await;
    });
}

/// The balancer turns away from a draining gateway; what it had taken ends whole.
#[test]
fn graceful_shutdown_of_a_gateway_loses_no_request() {
    Executor::run(THREADS, |executor| async move {
        let mut fleet = Fleet::start(&executor, &fast(FleetConfig::small()))
            .await
            .unwrap();
        let leaver = fleet
            .names()
            .iter()
            .find(|name| name.starts_with("gateway"))
            .cloned();
        let leaver = leaver.unwrap();
        let address = fleet.node(&leaver).address;
        let long = Call::completion(MODEL, 99, 1_000, LONG_ANSWER).key(TEAM_KEY);
        let (seen_tx, seen_rx) = async_channel::bounded::<()>(1);
        let running = executor.spawn({
            let executor = executor.clone();
            async move {
                let _ = seen_tx.send(()).await;
                ask(&executor, address, long).await
            }
        });
        seen_rx.recv().await.unwrap();
        let engines = engines(&fleet);
        let held = |engine: &str| fleet.backends.request_tokens(engine) > 0;
        let started = wait_until(WAIT_LIMIT, || engines.iter().any(|engine| held(engine)));
        assert!(started.await, "the request never ran");
        assert!(
            fleet.terminate(&leaver, DRAIN_LIMIT).await.unwrap(),
            "it did not end"
        );
        assert_eq!(running.await.end, End::Whole);
    });
}
