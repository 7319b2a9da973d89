//! Statuses that promise that a request has not run, from servers that say so and from ones that do not.

use async_io::Async;
use futures_lite::io::{AsyncReadExt as _, AsyncWriteExt as _};
use hyper::StatusCode;
use runtime::Executor;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use trials::{CallerAnswer, DirectRig};

const KEY: Option<&str> = Some("key-1");
const STATUSES: [&str; 4] = [
    "503 Service Unavailable",
    "429 Too Many Requests",
    "408 Request Timeout",
    "421 Misdirected Request",
];
const MARK: &str = "x-not-executed: 1\r\n";

/// Starts a server that gives each request this status, and counts those that it may have run: it has not
/// marked them, nor said that it is another server than the expected one.
fn start_server(
    executor: &Executor,
    status: &'static str,
    mark: &'static str,
    runs: &Arc<AtomicUsize>,
) -> SocketAddr {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let runs = runs.clone();
    let may_run = mark.is_empty() && !status.starts_with("421");
    executor.detach(async move {
        while let Ok((stream, _)) = listener.accept().await {
            if answer(&stream, status, mark).await.is_some() && may_run {
                runs.fetch_add(1, Ordering::Relaxed);
            }
        }
    });
    address
}

async fn answer(mut stream: &Async<TcpStream>, status: &str, mark: &str) -> Option<()> {
    let mut buf = vec![0; 16 << 10];
    let length = stream.read(&mut buf).await.ok()?;
    let request = String::from_utf8_lossy(&buf[..length]).to_lowercase();
    let mut lines = request.lines();
    let id = lines.find_map(|line| line.strip_prefix("x-request-id: "))?;
    let answer = format!(
        "HTTP/1.1 {status}\r\nx-request-id: {id}\r\nx-response-seal: raw\r\n{mark}content-length: 4\r\n\r\nbusy"
    );
    stream.write_all(answer.as_bytes()).await.ok()
}

fn promises_not_run(status: StatusCode) -> bool {
    STATUSES
        .iter()
        .any(|text| text.starts_with(status.as_str()))
}

/// Calls a route before servers with these marks; returns the answer to the first call that a server got,
/// and how many of them may have run it.
async fn call(
    executor: &Executor,
    path: &str,
    status: &'static str,
    marks: &[&'static str],
) -> (CallerAnswer, usize) {
    let rig = DirectRig::start(executor).unwrap();
    rig.write_declarations(3, &["key-1"]);
    let runs = Arc::default();
    let service = if path.starts_with("/stream") {
        "engines"
    } else {
        "registry"
    };
    for (n, mark) in marks.iter().enumerate() {
        let address = start_server(executor, status, mark, &runs);
        rig.register(&format!("raw-{n}"), service, address, "ready");
    }
    let mut answer = CallerAnswer::NO_RESPONSE;
    let mut calls = 0;
    let reached = rig.wait_until(async || {
        calls += 1;
        let id = format!("call-{calls}");
        answer = rig.call(&id, path, KEY).await;
        let log = rig.gateway.process.log();
        let mut sent = log.lines().filter(|line| line.contains("attempt: sent"));
        sent.any(|line| line.contains(&format!("\"{id}\"")))
    });
    assert!(reached.await, "{}", rig.gateway.process.log_tail());
    (answer, runs.load(Ordering::Relaxed))
}

/// A status that promises "not run" leaves the gateway only where that is known.
fn statuses_are_true(path: &'static str, marks: &'static [&'static str]) {
    Executor::run(2, |executor| async move {
        for status in STATUSES {
            let (answer, runs) = call(&executor, path, status, marks).await;
            assert!(
                promises_not_run(answer.status) == (runs == 0) && answer.seal.is_none(),
                "{status} {marks:?}: {answer:?}, {runs} runs"
            );
            assert!(runs <= 1, "{status} {marks:?}: {runs} runs");
        }
    });
}

macro_rules! statuses_are_true {
    ($($name:ident: $path:expr, $marks:expr;)*) => {$(
        #[test]
        fn $name() {
            statuses_are_true($path, &$marks);
        }
    )*};
}

statuses_are_true! {
    a_bare_refusal_of_a_call_that_runs_once_is_no_promise: "/once/x", [""];
    a_marked_refusal_of_a_call_that_runs_once_is_one: "/once/x", [MARK];
    a_bare_refusal_beside_a_marked_one_is_no_promise: "/once/x", ["", MARK];
}

/// The status of a server is passed on for a call that may run again.
#[test]
fn a_bare_refusal_of_a_call_that_may_run_again_is_passed_on() {
    Executor::run(2, |executor| async move {
        for path in ["/lookup/x", "/stream/x"] {
            let (answer, runs) = call(&executor, path, STATUSES[0], &[""]).await;
            assert_eq!((answer.status.as_u16(), runs), (503, 1), "{path}");
            assert_eq!(answer.seal.as_deref(), Some("raw"), "{path}");
        }
    });
}
