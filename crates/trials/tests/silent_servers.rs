//! Servers that are silent for longer than a first event is waited for, and then answer in time. Their silence
//! ends no call that no other server answers sooner.

use hyper::StatusCode;
use runtime::{Executor, Task};
use serde_json::{Value, json};
use standins::{PlatformServer, ServerBehaviour, ServerKind, StandinServer};
use std::time::Duration;
use trials::{CallerAnswer, DirectRig, RIG_HOST};

const KEY: Option<&str> = Some("key-1");
const ID: &str = "late";
const PROMPT: u64 = 1_000;
/// Takes more than half of an engine's memory, so that two of these prompts do not run together.
const LONG_PROMPT: u64 = 20_000;
/// Milliseconds in which an engine decodes a token.
const FAST: f64 = 0.9;
/// The expected answers, of 130 tokens, take longer than the grace period.
const SLOW: f64 = 50.0;
/// Longer than the grace period.
const EXIT_LIMIT: Duration = Duration::from_secs(10);
const REPEATS: &[(&str, f64)] = &[
    ("RetryBudgetRatio", 100.0),
    ("RetryBudgetExtra", 1_000_000.0),
];
const NO_REPEATS: &[(&str, f64)] = &[("RetryBudgetRatio", 0.0), ("RetryBudgetExtra", 0.0)];

fn declarations(step_ms: f64) -> Value {
    let route = |name: &str, service: &str, resume: bool| {
        json!({
            "Name": name, "Hostname": RIG_HOST, "Prefix": format!("/{name}/"), "RouteType": "streaming",
            "TimeoutMs": 15_000, "TargetLatencyMs": 300, "Priority": 1, "Service": service,
            "MaxAttempts": 2, "AllowAnonymous": false, "StreamResume": resume, "TargetGapMs": 200
        })
    };
    json!({
        "Version": 3,
        "Routes": [
            route("stream", "engines", true),
            route("single-run", "engines", false),
            route("draft", "drafts", true),
            route("single-draft", "drafts", false),
        ],
        "Services": [
            {
                "Name": "engines", "ColdPerS": 36.0, "ColdStartS": 3.0,
                "Engine": {
                    "Slots": 16, "KvCapacityTokens": 30_000, "Stride": 1, "step_ms": step_ms,
                    "read_per_s": 256_000.0, "pairs_per_m": 0.09, "HopMs": 0.1
                }
            },
            { "Name": "drafts", "ColdPerS": 0.0 },
        ],
        "Limits": {},
        "Tenants": [{ "Name": "team-1", "ApiKeys": ["key-1"], "Priority": 1 }]
    })
}

/// Which servers are late, and how.
#[derive(Debug, Clone, Copy)]
struct Kind {
    service: &'static str,
    path: &'static str,
    single_run_path: &'static str,
    late: ServerBehaviour,
}

impl Kind {
    fn engines(late: ServerBehaviour) -> Self {
        Self {
            service: "engines",
            path: "/stream/x",
            single_run_path: "/single-run/x",
            late,
        }
    }

    fn plain(late: ServerBehaviour) -> Self {
        Self {
            service: "drafts",
            path: "/draft/x",
            single_run_path: "/single-draft/x",
            late,
        }
    }
}

/// A gateway and servers of one service, all of which are known to it.
struct Rig {
    rig: DirectRig,
    servers: Vec<StandinServer<PlatformServer>>,
    kind: Kind,
}

impl Rig {
    async fn start(
        executor: &Executor,
        kind: Kind,
        servers: usize,
        bounds: &[(&str, f64)],
        step_ms: f64,
    ) -> Self {
        let rig = DirectRig::start_with_bounds(executor, bounds).unwrap();
        let content = declarations(step_ms);
        rig.store.standin().put("op", "config", &content);
        let servers = (0..servers).map(|n| {
            let server = rig.add_server(&server_name(n), kind.service, ServerKind::Engine);
            server.unwrap()
        });
        let servers: Vec<_> = servers.collect();
        let rig = Self { rig, servers, kind };
        let are_known = async || rig.knows_all_servers();
        assert!(rig.rig.wait_until(are_known).await, "{}", rig.log());
        // The time of streams on the other route stays unmeasured.
        let is_served = async || {
            let answer = rig.rig.call("first", kind.single_run_path, KEY).await;
            answer.status == StatusCode::OK
        };
        assert!(rig.rig.wait_until(is_served).await, "{}", rig.log());
        rig
    }

    fn log(&self) -> String {
        self.rig.gateway.process.log()
    }

    /// Whether the servers were listed, or the row of each one has come since.
    fn knows_all_servers(&self) -> bool {
        let log = self.log();
        let rows = format!("\"rows\":{}}}", self.servers.len());
        let mut listings = log.lines().filter(|line| line.contains("servers: listed"));
        let mut addresses = self.servers.iter().map(StandinServer::local_addr);
        listings.any(|line| line.contains(&rows))
            || addresses.all(|address| log.contains(&address.to_string()))
    }

    fn set_all(&self, behaviour: ServerBehaviour) {
        for server in &self.servers {
            server.standin().set_behaviour(behaviour);
        }
    }

    /// Sets how all servers but one handle requests from now on.
    fn set_others(&self, first: usize, behaviour: ServerBehaviour) {
        for (n, server) in self.servers.iter().enumerate() {
            if n != first {
                server.standin().set_behaviour(behaviour);
            }
        }
    }

    /// Starts a call and returns the server that got it first, which has just received it.
    async fn start_call(&self, prompt: u64) -> (Task<CallerAnswer>, usize) {
        let caller = self.rig.gateway.caller();
        let path = self.kind.path;
        let call = async move { caller.call(ID, path, KEY, prompt).await };
        let call = self.rig.executor().spawn(call);
        let first = || (0..self.servers.len()).find(|n| self.has_received(*n));
        let has_begun = async || first().is_some();
        assert!(self.rig.wait_until(has_begun).await, "{}", self.log());
        (call, first().unwrap())
    }

    fn has_received(&self, server: usize) -> bool {
        let received = self.servers[server].standin().received_requests();
        received.iter().any(|(id, _)| &**id == ID)
    }

    fn assert_whole_answer(&self, answer: &CallerAnswer, server: usize) {
        assert_eq!(answer.status, StatusCode::OK, "{}", self.log());
        let events = (0..=12).map(|id| format!("id: {id}\ndata: text {id}\n\n"));
        let events: String = events.collect();
        assert_eq!(answer.body.as_deref(), Some(events.as_bytes()));
        let seal = format!("seal of {}", server_name(server));
        assert_eq!(answer.seal.as_deref(), Some(&*seal));
    }

    /// Checks that the server which got the call first answers it, where all servers are late and the others
    /// behave like this from then on.
    async fn assert_first_answers(&self, others: ServerBehaviour) {
        self.set_all(self.kind.late);
        let (call, first) = self.start_call(PROMPT).await;
        self.set_others(first, others);
        self.assert_whole_answer(&call.await, first);
    }
}

fn server_name(n: usize) -> String {
    format!("server-{n}")
}

macro_rules! cases {
    ($($name:ident($servers:expr, $bounds:expr, $step_ms:expr) => $test:expr;)*) => {
        $(
            mod $name {
                use super::*;

                fn run(kind: Kind) {
                    Executor::run(2, |executor| async move {
                        let rig = Rig::start(&executor, kind, $servers, $bounds, $step_ms).await;
                        let test = $test;
                        test(rig).await;
                    });
                }

                #[test]
                fn engines_with_late_responses() {
                    run(Kind::engines(ServerBehaviour::LateResponse));
                }

                #[test]
                fn engines_with_late_events() {
                    run(Kind::engines(ServerBehaviour::LateEvents));
                }

                #[test]
                fn plain_servers_with_late_responses() {
                    run(Kind::plain(ServerBehaviour::LateResponse));
                }

                #[test]
                fn plain_servers_with_late_events() {
                    run(Kind::plain(ServerBehaviour::LateEvents));
                }
            }
        )*
    };
}

// The first server was given up after a second, and the caller got 502.
cases! {
    only_server(1, REPEATS, FAST) => async |rig: Rig| {
        rig.assert_first_answers(ServerBehaviour::Normal).await;
    };
    retry_budget_spent(2, NO_REPEATS, FAST) => async |rig: Rig| {
        rig.set_all(rig.kind.late);
        let (call, first) = rig.start_call(PROMPT).await;
        rig.assert_whole_answer(&call.await, first);
        assert!(!rig.has_received(1 - first));
    };
    repeat_does_not_fit_into_the_drain(2, REPEATS, SLOW) => async |mut rig: Rig| {
        rig.set_all(rig.kind.late);
        let (call, first) = rig.start_call(PROMPT).await;
        rig.rig.gateway.process.terminate().unwrap();
        rig.assert_whole_answer(&call.await, first);
        let process = &mut rig.rig.gateway.process;
        assert!(process.wait_exit(EXIT_LIMIT).await, "{}", process.log());
    };
    other_server_paused(2, REPEATS, FAST) => async |rig: Rig| {
        let other = rig.servers[1].standin();
        other.set_pause(Some("30"));
        other.set_behaviour(ServerBehaviour::Full);
        let is_known = async || {
            rig.rig.call("pauses", rig.kind.path, KEY).await;
            rig.rig.gateway.process.has_logged("servers: pause asked for")
        };
        assert!(rig.rig.wait_until(is_known).await, "{}", rig.log());
        rig.servers[0].standin().set_behaviour(rig.kind.late);
        let (call, first) = rig.start_call(PROMPT).await;
        assert_eq!(first, 0);
        rig.assert_whole_answer(&call.await, first);
    };
    other_server_refuses(2, REPEATS, FAST) => async |rig: Rig| {
        rig.assert_first_answers(ServerBehaviour::Full).await;
    };
    other_server_fails(2, REPEATS, FAST) => async |rig: Rig| {
        rig.assert_first_answers(ServerBehaviour::Cut).await;
    };
    // A refused connection does not show that the server has left its request.
    only_server_refuses_connections(1, REPEATS, FAST) => async |rig: Rig| {
        rig.set_all(rig.kind.late);
        let (call, first) = rig.start_call(PROMPT).await;
        rig.servers[first].shutdown_signal().start();
        rig.assert_whole_answer(&call.await, first);
    };
    other_server_hangs(2, REPEATS, FAST) => async |rig: Rig| {
        rig.assert_first_answers(ServerBehaviour::Hang).await;
    };
    other_server_answers_later(2, REPEATS, FAST) => async |rig: Rig| {
        rig.assert_first_answers(rig.kind.late).await;
    };
}

fn with_engines_that_hold_a_prompt(late: ServerBehaviour) {
    Executor::run(2, |executor| async move {
        let rig = Rig::start(&executor, Kind::engines(late), 2, REPEATS, FAST).await;
        rig.set_all(ServerBehaviour::StallAfter(3));
        let caller = rig.rig.gateway.caller();
        let open = caller.start_call("open", rig.kind.single_run_path, KEY, LONG_PROMPT);
        let _keeps_an_engine_full = open.await.unwrap();
        rig.set_all(late);
        let (call, first) = rig.start_call(LONG_PROMPT).await;
        rig.assert_whole_answer(&call.await, first);
    });
}

/// The other engine was full, and the caller got 502.
#[test]
fn other_engine_full_and_late_responses() {
    with_engines_that_hold_a_prompt(ServerBehaviour::LateResponse);
}

#[test]
fn other_engine_full_and_late_events() {
    with_engines_that_hold_a_prompt(ServerBehaviour::LateEvents);
}

macro_rules! hung_server_cases {
    ($($name:ident($kind:expr) => $hung:expr;)*) => {
        $(
            #[test]
            fn $name() {
                Executor::run(2, |executor| async move {
                    let rig = Rig::start(&executor, $kind, 2, REPEATS, FAST).await;
                    rig.set_all($hung);
                    let (call, first) = rig.start_call(PROMPT).await;
                    rig.set_others(first, ServerBehaviour::Normal);
                    rig.assert_whole_answer(&call.await, 1 - first);
                });
            }
        )*
    };
}

hung_server_cases! {
    a_hung_engine_is_replaced(Kind::engines(ServerBehaviour::LateResponse)) => ServerBehaviour::Hang;
    a_hung_plain_server_is_replaced(Kind::plain(ServerBehaviour::LateResponse)) => ServerBehaviour::Hang;
}

macro_rules! pausing_server_cases {
    ($($name:ident($kind:expr, $refuses:expr);)*) => {
        $(
            #[test]
            fn $name() {
                Executor::run(2, |executor| async move {
                    let rig = Rig::start(&executor, $kind, 1, REPEATS, FAST).await;
                    rig.set_all(ServerBehaviour::PauseAfter(3));
                    let (call, first) = rig.start_call(PROMPT).await;
                    if $refuses {
                        rig.servers[first].shutdown_signal().start();
                    }
                    rig.assert_whole_answer(&call.await, first);
                });
            }
        )*
    };
}

// A silence within a stream ends it no sooner either.
pausing_server_cases! {
    an_engine_that_pauses_midway(Kind::engines(ServerBehaviour::LateEvents), false);
    an_engine_that_pauses_midway_and_refuses_connections(Kind::engines(ServerBehaviour::LateEvents), true);
    a_plain_server_that_pauses_midway(Kind::plain(ServerBehaviour::LateEvents), false);
    a_plain_server_that_pauses_midway_and_refuses_connections(Kind::plain(ServerBehaviour::LateEvents), true);
}
