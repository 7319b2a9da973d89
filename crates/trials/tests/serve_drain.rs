//! Gateways of `serve`, and agents, that get SIGTERM while requests arrive, wait and run.

use async_io::Async;
use futures_lite::io::{AsyncReadExt as _, AsyncWriteExt as _};
use http_body_util::BodyExt as _;
use hyper::Request;
use runtime::{Body, Executor, HttpClient, Task};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use trials::{Call, End, Fleet, FleetConfig, MODEL, TEAM_KEY, wait_until};

const THREADS: usize = 4;
/// Takes longer than any drain of these tests.
const ENDLESS_OUTPUT_TOKENS: u64 = 10_000;
const PROMPT_TOKENS: u64 = 1_000;
const EXIT_LIMIT: Duration = Duration::from_secs(30);
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A fleet of a gateway and an engine that starts warm, with these drains.
async fn start_fleet(executor: &Executor, gateway: [u32; 2], agent: [u32; 2]) -> Fleet {
    let flags = |[grace, drain]: [u32; 2]| {
        let flags = [
            format!("--grace-seconds={grace}"),
            format!("--drain-seconds={drain}"),
        ];
        flags.map(String::into_boxed_str).to_vec()
    };
    let mut cfg = FleetConfig::single();
    cfg.for_each_engine(|engine, _| engine.starts_cold = false);
    cfg.gateway_flags = flags(gateway);
    cfg.agent_flags = flags(agent);
    Fleet::start(executor, &cfg).await.unwrap()
}

fn name(fleet: &Fleet, prefix: &str) -> Box<str> {
    let names = fleet.names();
    let name = names.iter().find(|name| name.starts_with(prefix));
    name.unwrap().clone()
}

fn spawn_call(executor: &Executor, fleet: &Fleet, call: Call) -> Task<End> {
    let (sender, gateway) = (executor.clone(), fleet.gateways()[0]);
    executor.spawn(async move {
        let client = HttpClient::new(sender.clone());
        let outcome = call.run(&sender, &client, gateway, Instant::now());
        outcome.await.end
    })
}

fn endless_call(seed: u64) -> Call {
    Call::completion(MODEL, seed, PROMPT_TOKENS, ENDLESS_OUTPUT_TOKENS).key(TEAM_KEY)
}

/// Sends an endless call, and reads its stream until it breaks off.
fn spawn_stream(executor: &Executor, fleet: &Fleet, seed: u64) -> Task<String> {
    let (client, gateway) = (HttpClient::new(executor.clone()), fleet.gateways()[0]);
    let req = Request::post("/v1/completions")
        .header("authorization", format!("Bearer {TEAM_KEY}"))
        .body(Body::full(endless_call(seed).body.concat()))
        .unwrap();
    executor.spawn(async move {
        let mut body = client.send(gateway, req).await.unwrap().into_body();
        let mut text = String::new();
        while let Some(Ok(frame)) = body.frame().await {
            text.push_str(&String::from_utf8_lossy(frame.data_ref().unwrap()));
        }
        text
    })
}

/// The same call, answered in one body instead of a stream.
fn without_streaming(mut call: Call) -> Call {
    let body = String::from_utf8(call.body.concat()).unwrap();
    let body = body.replacen("\"stream\":true", "\"stream\":false", 1);
    call.body = vec![body.into()];
    call.stream = false;
    call
}

async fn wait_until_an_engine_runs_one(fleet: &Fleet) {
    let engines: Vec<_> = fleet.backends.engines.keys().cloned().collect();
    let is_running = || {
        let mut engines = engines.iter();
        engines.any(|engine| fleet.backends.request_tokens(engine) > 0)
    };
    let runs = wait_until(WAIT_TIMEOUT, is_running).await;
    assert!(runs, "the request never ran");
}

/// Writes a request whose body is cut short.
async fn send_half_a_body(gateway: SocketAddr) -> Async<TcpStream> {
    let mut stream = Async::<TcpStream>::connect(gateway).await.unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: {gateway}\r\nauthorization: Bearer {TEAM_KEY}\r\n\
         content-type: application/json\r\ncontent-length: 4000\r\n\r\n{{\"model\":"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

async fn read_to_end(mut stream: Async<TcpStream>) -> String {
    let mut bytes = Vec::new();
    // What was read stays if the connection is reset.
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Waits until the gateway counts this many requests in flight.
async fn wait_for_in_flight(fleet: &mut Fleet, gateway: &str, count: usize) {
    let line = format!("bergamothold_in_flight {count}\n");
    let start = Instant::now();
    loop {
        let page = fleet.get_page(gateway, "/metrics").await.unwrap().1;
        if page.contains(&line) {
            return;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "{page}");
        async_io::Timer::after(Duration::from_millis(5)).await;
    }
}

macro_rules! cases {
    ($($name:ident => $test:expr;)*) => {
        $(
            #[test]
            fn $name() {
                Executor::run(THREADS, |executor| async move {
                    let test = $test;
                    test(&executor).await;
                });
            }
        )*
    };
}

cases! {
    // A request whose body had not arrived whole was cut without a reply.
    a_request_that_is_half_read_at_the_end_of_a_gateways_drain_is_refused => async |executor: &Executor| {
        let mut fleet = start_fleet(executor, [0, 2], [1, 600]).await;
        let gateway = name(&fleet, "gateway");
        let stream = send_half_a_body(fleet.gateways()[0]).await;
        wait_for_in_flight(&mut fleet, &gateway, 1).await;
        let reading = executor.spawn(read_to_end(stream));
        assert!(fleet.terminate(&gateway, EXIT_LIMIT).await.unwrap());
        let reply = reading.await;
        assert!(reply.starts_with("HTTP/1.1 503"), "{reply}");
        assert!(reply.contains("\"ran\":false"), "{reply}");
    };
    // The links to agents were closed before the process ended, which callers were told of as a broken answer.
    requests_that_run_until_the_end_of_a_gateways_drain_are_told_that_it_ends => async |executor: &Executor| {
        let mut fleet = start_fleet(executor, [0, 2], [1, 600]).await;
        let gateway = name(&fleet, "gateway");
        let streamed = spawn_stream(executor, &fleet, 1);
        let buffered = spawn_call(executor, &fleet, without_streaming(endless_call(2)));
        wait_until_an_engine_runs_one(&fleet).await;
        wait_for_in_flight(&mut fleet, &gateway, 2).await;
        assert!(fleet.terminate(&gateway, EXIT_LIMIT).await.unwrap());
        let end = buffered.await;
        let End::Failed { status: 502, reason } = &end else {
            panic!("{end:?}");
        };
        assert!(reason.contains("the process shuts down"), "{reason}");
        let text = streamed.await;
        assert!(text.contains("the process shuts down"), "{text}");
        assert!(!text.contains("[DONE]"), "{text}");
    };
    // It was sent to an engine, and cut when the gateway ended.
    a_request_that_cannot_end_within_a_gateways_drain_is_refused_at_once => async |executor: &Executor| {
        let mut fleet = start_fleet(executor, [3, 2], [1, 600]).await;
        let gateway = name(&fleet, "gateway");
        fleet.process(&gateway).unwrap().terminate().unwrap();
        let drains = || fleet.process(&gateway).unwrap().has_logged("gateway: draining");
        assert!(wait_until(WAIT_TIMEOUT, drains).await);
        let late = spawn_call(executor, &fleet, endless_call(1)).await;
        assert!(late.is_refused(), "{late:?}");
        let fits = Call::completion(MODEL, 2, PROMPT_TOKENS, 1).key(TEAM_KEY);
        assert_eq!(spawn_call(executor, &fleet, fits).await, End::Whole);
        assert!(fleet.terminate(&gateway, EXIT_LIMIT).await.unwrap());
    };
    // The agent closed its links, and gateways took the open attempts for broken off.
    requests_that_run_until_the_end_of_an_agents_drain_are_told_that_it_ends => async |executor: &Executor| {
        let mut fleet = start_fleet(executor, [0, 600], [0, 2]).await;
        let agent = name(&fleet, "agent");
        let streamed = spawn_stream(executor, &fleet, 1);
        wait_until_an_engine_runs_one(&fleet).await;
        assert!(fleet.terminate(&agent, EXIT_LIMIT).await.unwrap());
        let text = streamed.await;
        assert!(text.contains("the agent shuts down"), "{text}");
        assert!(!text.contains("[DONE]"), "{text}");
    };
}
