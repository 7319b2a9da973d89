//! Statuses that promise that a request has not run, from servers that say so and from ones that do not.

use async_io::Async;
use futures_lite::io::{AsyncReadExt as _, AsyncWriteExt as _};
use hyper::StatusCode;
use runtime::Executor;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use trials::{CallerAnswer, DirectRig};

const KEY: Option<&str> = Some("key-1");
const STATUSES: [&str; 4] = [
    "503 Service Unavailable",
    "429 Too Many Requests",
    "408 Request Timeout",
    "421 Misdirected Request",
];
const MARK: &str = "x-not-executed: 1\r\n";

/// Ids of the requests that servers got, and whether each may have run: it was not marked, nor called one
/// for another server.
type Received = Arc<Mutex<Vec<(String, bool)>>>;

/// Starts a server that gives each request this status.
fn start_server(
    executor: &Executor,
    status: &'static str,
    mark: &'static str,
    received: &Received,
) -> SocketAddr {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let received = received.clone();
    let may_run = mark.is_empty() && !status.starts_with("421");
    executor.detach(async move {
        while let Ok((stream, _)) = listener.accept().await {
            answer(&stream, status, mark, &received, may_run).await;
        }
    });
    address
}

async fn answer(
    mut stream: &Async<TcpStream>,
    status: &str,
    mark: &str,
    received: &Received,
    may_run: bool,
) -> Option<()> {
    let mut buf = vec![0; 16 << 10];
    let length = stream.read(&mut buf).await.ok()?;
    let request = String::from_utf8_lossy(&buf[..length]).to_lowercase();
    let mut lines = request.lines();
    let id = lines.find_map(|line| line.strip_prefix("x-request-id: "))?;
    received.lock().unwrap().push((id.to_owned(), may_run));
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
/// and how many servers may have run that call.
async fn call(
    executor: &Executor,
    path: &str,
    status: &'static str,
    marks: &[&'static str],
) -> (CallerAnswer, usize) {
    let rig = DirectRig::start(executor).unwrap();
    rig.write_declarations(3, &["key-1"]);
    let received = Received::default();
    let service = if path.starts_with("/stream") {
        "engines"
    } else {
        "registry"
    };
    for (n, mark) in marks.iter().enumerate() {
        let address = start_server(executor, status, mark, &received);
        rig.register(&format!("raw-{n}"), service, address, "ready");
    }
    let mut answer = CallerAnswer::NO_RESPONSE;
    let mut calls = 0;
    let reached = rig.wait_until(async || {
        calls += 1;
        let id = format!("call-{calls}");
        answer = rig.call(&id, path, KEY).await;
        received.lock().unwrap().iter().any(|(got, _)| *got == id)
    });
    assert!(reached.await, "{}", rig.gateway.process.log_tail());
    let id = format!("call-{calls}");
    let received = received.lock().unwrap();
    let runs = received
        .iter()
        .filter(|(got, may_run)| *got == id && *may_run);
    (answer, runs.count())
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
