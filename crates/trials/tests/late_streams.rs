//! Streams whose requests were half sent when accepting ended and are whole late in a drain, to servers that take
//! longer than forecast.

mod raw_caller;

use async_io::Async;
use hyper::StatusCode;
use raw_caller::{RawCaller, request_head};
use runtime::{Executor, SingleResponse};
use standins::{PlatformServer, ServerBehaviour, ServerKind, StandinServer};
use std::net::TcpStream;
use std::time::Duration;
use trials::DirectRig;

const KEY: Option<&str> = Some("key-1");
const CALL_LIMIT: Duration = Duration::from_secs(15);
const EXIT_LIMIT: Duration = Duration::from_secs(10);
/// Time from the end of accepting until a request is late.
const LATE: Duration = Duration::from_millis(600);
/// Makes a stream last for longer than what is left of the grace period, and than twice its forecast.
const SLOW_EVENT_INTERVAL: Duration = Duration::from_millis(300);
const LAST_CHUNK: &str = "0\r\n\r\n";

struct Rig {
    rig: DirectRig,
    registry: StandinServer<PlatformServer>,
    servers: Vec<StandinServer<PlatformServer>>,
    path: &'static str,
}

impl Rig {
    /// Starts a gateway and two servers of a service, which are fast at first.
    async fn start(executor: &Executor, service: &str, path: &'static str) -> Self {
        let rig = DirectRig::start(executor).unwrap();
        rig.write_patient_declarations(3, &["key-1"], CALL_LIMIT);
        let registry = rig.add_server("registry-1", "registry", ServerKind::Plain);
        let servers = (0..2).map(|n| {
            let name = format!("server-{n}");
            rig.add_server(&name, service, ServerKind::Engine).unwrap()
        });
        let servers = servers.collect();
        for path in ["/lookup/x", path] {
            let is_served = async || rig.call("first", path, KEY).await.status == StatusCode::OK;
            let process = &rig.gateway.process;
            assert!(rig.wait_until(is_served).await, "{}", process.log_tail());
        }
        Self {
            rig,
            registry: registry.unwrap(),
            servers,
            path,
        }
    }

    /// Opens a stream that lasts until the process ends it.
    async fn open_stream(&self) -> SingleResponse {
        for server in &self.servers {
            let stall = ServerBehaviour::StallAfter(3);
            server.standin().set_behaviour(stall);
        }
        let open = self.rig.start_call("open", self.path, KEY).await.unwrap();
        for server in &self.servers {
            server.standin().set_behaviour(ServerBehaviour::Normal);
            server.standin().set_event_interval(SLOW_EVENT_INTERVAL);
        }
        open
    }

    /// Opens a connection and sends a request but for its last bytes.
    async fn send_part(&self, request: &str, left: usize) -> RawCaller {
        let mut caller = RawCaller::connect(&self.rig.gateway).await;
        caller.write(&request[..request.len() - left]).await;
        // The part has been read once a later request is answered.
        self.rig.call("after", "/lookup/x", KEY).await;
        caller
    }

    async fn wait_until_connections_are_refused(&self) {
        let address = self.rig.gateway.frontend_address();
        let refuses = async || Async::<TcpStream>::connect(address).await.is_err();
        assert!(self.rig.wait_until(refuses).await);
    }

    fn has_run(&self, id: &str) -> bool {
        let servers = self.servers.iter();
        let mut runs = servers.flat_map(|server| server.standin().executed_requests());
        runs.any(|run| &*run.request_id == id)
    }
}

fn request(id: &str, path: &str) -> String {
    let usage = "x-token-usage: 1000,400\r\nx-length-hint: 100\r\ncontent-length";
    request_head(id, path, 4).replacen("content-length", usage, 1) + "body"
}

macro_rules! cases {
    ($($name:ident($service:expr, $path:expr, $left:expr);)*) => {
        $(
            #[test]
            fn $name() {
                Executor::run(2, |executor| async move {
                    let rig = Rig::start(&executor, $service, $path).await;
                    is_whole_or_refused(rig, $left).await;
                });
            }
        )*
    };
}

/// Sends the last bytes of a request more than 3 s after SIGTERM.
async fn is_whole_or_refused(mut rig: Rig, left: usize) {
    let (clock_request, request) = (request("clock", "/lookup/x"), request("late", rig.path));
    let mut clock = rig.send_part(&clock_request, 1).await;
    let mut caller = rig.send_part(&request, left).await;
    let _keeps_the_drain_open = rig.open_stream().await;
    rig.registry.standin().set_run_time(LATE);
    rig.rig.gateway.process.terminate().unwrap();
    rig.wait_until_connections_are_refused().await;
    clock.write(&clock_request[clock_request.len() - 1..]).await;
    let answer = clock.read_answer().await;
    assert!(answer.starts_with("http/1.1 200"), "{answer}");
    caller.write(&request[request.len() - left..]).await;
    let answer = caller.read_to_end().await;
    let process = &mut rig.rig.gateway.process;
    assert!(process.wait_exit(EXIT_LIMIT).await, "{}", process.log());
    let log = rig.rig.gateway.process.log();
    if rig.has_run("late") {
        assert!(answer.ends_with(LAST_CHUNK), "{answer} {log}");
    } else {
        assert!(answer.starts_with("http/1.1 503"), "{answer} {log}");
    }
}

const BODY_END: usize = 2;
const HEAD_END: usize = 10;

// The gateway cut the answer of a server that took longer than forecast when the process ended.
cases! {
    an_engine_that_is_slow_with_a_late_body("engines", "/stream/x", BODY_END);
    an_engine_that_is_slow_with_a_late_head("engines", "/stream/x", HEAD_END);
    a_plain_server_that_is_slow_with_a_late_body("drafts", "/draft/x", BODY_END);
    a_plain_server_that_is_slow_with_a_late_head("drafts", "/draft/x", HEAD_END);
}
