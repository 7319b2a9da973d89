//! Servers that respond with statuses that HTTP does not have, or that no final response has.

use async_io::Async;
use futures_lite::io::{AsyncReadExt as _, AsyncWriteExt as _};
use hyper::StatusCode;
use runtime::Executor;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use trials::{CallerAnswer, DirectRig};

const KEY: Option<&str> = Some("key-1");
/// Statuses that a client can tell from an interim response.
const INVALID: [&str; 11] = [
    "000 Down",
    "099 Low",
    "600 High",
    "700 High",
    "999 High",
    "1000 High",
    "20 OK",
    "2OO OK",
    "-200 OK",
    "",
    "101 Switching Protocols",
];
const INTERIM: [&str; 3] = ["100 Continue", "102 Processing", "199 Odd"];
const SOUND: &str = "200 OK";
/// Names under which a server is registered, so that none is avoided for its failures.
const SERVERS: usize = 16;
/// So that no call lacks a repeat.
const BOUNDS: [(&str, f64); 2] = [
    ("RetryBudgetRatio", 100.0),
    ("RetryBudgetExtra", 1_000_000.0),
];
const FIRST_EVENT: &str = "id: 0\ndata: a\n\n";
const NEXT_EVENT: &str = "id: 1\ndata: b\n\n";

/// What each server responds next, and how many requests got that.
#[derive(Debug, Default)]
struct Script {
    status: Mutex<&'static str>,
    responses: AtomicUsize,
    /// Whether a stream starts soundly and breaks off behind its first event.
    breaks_off: bool,
}

fn start_server(executor: &Executor, script: &Arc<Script>) -> SocketAddr {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let (connections, script) = (executor.clone(), script.clone());
    executor.detach(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let script = script.clone();
            connections.detach(async move {
                let _ = respond(&stream, &script).await;
            });
        }
    });
    address
}

async fn respond(mut stream: &Async<TcpStream>, script: &Script) -> Option<()> {
    let mut buf = vec![0; 16 << 10];
    let length = stream.read(&mut buf).await.ok()?;
    let request = String::from_utf8_lossy(&buf[..length]).to_lowercase();
    let mut lines = request.lines();
    let id = lines.find_map(|line| line.strip_prefix("x-request-id: "))?;
    let head = format!("x-request-id: {id}\r\nx-response-seal: raw\r\n");
    if script.breaks_off && !request.contains("last-event-id: ") {
        let length = FIRST_EVENT.len() + 1;
        let start =
            format!("HTTP/1.1 {SOUND}\r\n{head}content-length: {length}\r\n\r\n{FIRST_EVENT}");
        return stream.write_all(start.as_bytes()).await.ok();
    }
    script.responses.fetch_add(1, Ordering::Relaxed);
    let status = *script.status.lock().unwrap();
    let length = NEXT_EVENT.len();
    let response =
        format!("HTTP/1.1 {status}\r\n{head}content-length: {length}\r\n\r\n{NEXT_EVENT}");
    stream.write_all(response.as_bytes()).await.ok()
}

/// Number of invalid responses that the gateway has counted.
async fn invalid_answers(rig: &DirectRig) -> usize {
    let metrics = rig.gateway.metrics().await.unwrap();
    let name = "bergamothold_direct_invalid_answers_total{reason=\"head\"} ";
    let line = metrics.lines().find_map(|line| line.strip_prefix(name));
    line.map_or(0, |count| count.parse().unwrap())
}

/// Calls a route with each status; returns the answers that callers must not get, and the statuses that
/// were not counted.
async fn wrong_answers(
    rig: &DirectRig,
    path: &str,
    script: &Script,
    statuses: &[&'static str],
    is_right: impl Fn(&CallerAnswer) -> bool,
) -> Vec<String> {
    let mut wrong = Vec::new();
    for (n, status) in statuses.iter().enumerate() {
        *script.status.lock().unwrap() = status;
        script.responses.store(0, Ordering::Relaxed);
        let before = invalid_answers(rig).await;
        let answer = rig.call(&format!("call-{n}"), path, KEY).await;
        let counted = invalid_answers(rig).await - before;
        let responses = script.responses.load(Ordering::Relaxed);
        if !is_right(&answer) || responses == 0 {
            wrong.push(format!("{status:?}, {responses} responses: {answer:?}"));
        }
        if !INTERIM.contains(status) && counted != responses {
            wrong.push(format!("{status:?}: {counted} of {responses} counted"));
        }
    }
    wrong
}

async fn start(executor: &Executor, service: &str, script: &Arc<Script>) -> DirectRig {
    let mut rig = DirectRig::start_with_bounds(executor, &BOUNDS).unwrap();
    rig.prompt = 10;
    rig.write_declarations(3, &["key-1"]);
    let address = start_server(executor, script);
    for number in 0..SERVERS {
        rig.register(&format!("raw-{number}"), service, address, "ready");
    }
    assert!(rig.wait_until_ready().await);
    rig
}

fn is_gateways_own(answer: &CallerAnswer) -> bool {
    answer.status == StatusCode::BAD_GATEWAY && answer.seal.is_none() && !answer.not_run
}

/// The caller gets a response of the gateway's own instead of the server's.
fn statuses_are_not_passed_on(service: &'static str, path: &'static str) {
    Executor::run(2, |executor| async move {
        let script = Arc::<Script>::default();
        let rig = start(&executor, service, &script).await;
        let statuses = [&INVALID[..], &INTERIM].concat();
        let wrong = wrong_answers(&rig, path, &script, &statuses, is_gateways_own).await;
        assert!(wrong.is_empty(), "{wrong:#?}");
        *script.status.lock().unwrap() = SOUND;
        let answer = rig.call("sound", path, KEY).await;
        assert_eq!(answer.body.as_deref(), Some(NEXT_EVENT.as_bytes()));
    });
}

/// A stream that breaks off does not go on with a response that is none.
fn resumed_statuses_are_not_passed_on(service: &'static str, path: &'static str) {
    Executor::run(2, |executor| async move {
        let script = Arc::new(Script {
            breaks_off: true,
            ..Script::default()
        });
        let rig = start(&executor, service, &script).await;
        let is_cut =
            |answer: &CallerAnswer| answer.status == StatusCode::OK && answer.body.is_none();
        let statuses = [&INVALID[..], &INTERIM].concat();
        let wrong = wrong_answers(&rig, path, &script, &statuses, is_cut).await;
        assert!(wrong.is_empty(), "{wrong:#?}");
        *script.status.lock().unwrap() = SOUND;
        let answer = rig.call("sound", path, KEY).await;
        let whole = [FIRST_EVENT, NEXT_EVENT].concat();
        assert_eq!(answer.body.as_deref(), Some(whole.as_bytes()));
    });
}

macro_rules! cases {
    ($check:ident; $($name:ident: $service:expr, $path:expr;)*) => {$(
        #[test]
        fn $name() {
            $check($service, $path);
        }
    )*};
}

cases! { statuses_are_not_passed_on;
    invalid_statuses_of_unsafe_calls_are_not_passed_on: "registry", "/once/x";
    invalid_statuses_of_safe_calls_are_not_passed_on: "registry", "/lookup/x";
    invalid_statuses_of_streams_are_not_passed_on: "engines", "/stream/x";
    invalid_statuses_of_single_run_streams_are_not_passed_on: "engines", "/single-run/x";
    invalid_statuses_of_plain_streams_are_not_passed_on: "drafts", "/draft/x";
    invalid_statuses_of_plain_single_run_streams_are_not_passed_on: "drafts", "/single-draft/x";
}

cases! { resumed_statuses_are_not_passed_on;
    invalid_statuses_of_resumed_streams_are_not_passed_on: "engines", "/stream/x";
    invalid_statuses_of_resumed_plain_streams_are_not_passed_on: "drafts", "/draft/x";
}
