//! Servers that ask for a pause or say that they leave, before a direct gateway as a process.

use hyper::StatusCode;
use runtime::Executor;
use standins::{PlatformServer, ServerBehaviour, ServerKind, StandinServer};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};
use trials::{CallerAnswer, DirectRig};

const KEY: Option<&str> = Some("key-1");
/// Pause that servers ask for.
const PAUSE: Duration = Duration::from_secs(3);
const PAUSE_SECONDS: &str = "3";
/// Time from a refusal after which the users of the platform count, and what they allow then.
const NOTICE: Duration = Duration::from_millis(500);
const ALLOWED_REQUESTS: usize = 2;
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// A path of the gateway, and the servers behind it.
struct Case {
    path: &'static str,
    service: &'static str,
    kind: ServerKind,
}

const ENGINES: Case = Case {
    path: "/stream/x",
    service: "engines",
    kind: ServerKind::Engine,
};
const REGISTRY: Case = Case {
    path: "/lookup/x",
    service: "registry",
    kind: ServerKind::Plain,
};

/// Length of the prompts at the start: the memory of an engine holds one of them and not two.
const START_PROMPT_TOKENS: u64 = 16_000;

/// Starts two servers and waits until requests reach both. A gateway alone packs prompts onto the first
/// engine, so two that do not fit there together are sent at the same time.
async fn start_servers(rig: &DirectRig, case: &Case) -> [StandinServer<PlatformServer>; 2] {
    rig.write_declarations(3, &["key-1"]);
    let servers =
        ["server-1", "server-2"].map(|name| rig.add_server(name, case.service, case.kind).unwrap());
    let mut sent = 0;
    let reached = rig.wait_until(async || {
        sent += 1;
        let (caller, first) = (rig.gateway.caller(), format!("start-{sent}"));
        let call = |id| caller.call(id, case.path, KEY, START_PROMPT_TOKENS);
        let second = format!("{first}-beside");
        futures_lite::future::zip(call(&first), call(&second)).await;
        servers
            .iter()
            .all(|server| !server.standin().arrivals().is_empty())
    });
    assert!(reached.await, "{}", rig.gateway.process.log_tail());
    servers
}

fn refuse(server: &StandinServer<PlatformServer>, seconds: &str) {
    server.standin().set_pause(Some(seconds));
    server.standin().set_behaviour(ServerBehaviour::Full);
}

/// The server that the gateway prefers at present.
async fn preferred_server<'a>(
    rig: &DirectRig,
    case: &Case,
    servers: &'a [StandinServer<PlatformServer>],
) -> &'a StandinServer<PlatformServer> {
    send_for(rig, case, "preferred", Duration::from_millis(200)).await;
    let latest = servers
        .iter()
        .max_by_key(|server| server.standin().arrivals().last().copied());
    latest.unwrap()
}

/// Sends requests one after the other for `span`.
async fn send_for(rig: &DirectRig, case: &Case, name: &str, span: Duration) -> Vec<CallerAnswer> {
    let start = Instant::now();
    let mut answers = Vec::new();
    while start.elapsed() < span {
        let id = format!("{name}-{}", answers.len());
        answers.push(rig.call(&id, case.path, KEY).await);
        async_io::Timer::after(REQUEST_INTERVAL).await;
    }
    answers
}

/// Requests that reached a server in the counted part of the pause for which it first asked after
/// `start`.
fn requests_in_pause(server: &StandinServer<PlatformServer>, start: Instant) -> usize {
    let mut arrivals = server.standin().arrivals();
    arrivals.retain(|at| *at >= start);
    let Some(refused_at) = arrivals.first().copied() else {
        return 0;
    };
    arrivals.retain(|at| (refused_at + NOTICE..refused_at + PAUSE).contains(at));
    arrivals.len()
}

/// A server that refused a request and asked for a pause got the next ones all the same.
async fn pause_is_kept(rig: &DirectRig, case: Case) {
    let servers = start_servers(rig, &case).await;
    let preferred = preferred_server(rig, &case, &servers).await;
    let start = Instant::now();
    refuse(preferred, PAUSE_SECONDS);
    let answers = send_for(rig, &case, "paused", PAUSE).await;
    let got = requests_in_pause(preferred, start);
    assert!(got <= ALLOWED_REQUESTS, "{got} requests within the pause");
    let others = answers
        .iter()
        .filter(|answer| answer.status != StatusCode::OK);
    assert_eq!(others.count(), 0, "the other server takes all of them");
}

/// The line of the metrics page that counts repeats which the budget did not allow.
async fn denied_repeats(rig: &DirectRig) -> Option<String> {
    let metrics = rig.gateway.metrics().await.unwrap();
    let mut lines = metrics.lines();
    let line = lines.find(|line| line.starts_with("bergamothold_direct_repeats_denied_total"));
    line.map(str::to_owned)
}

/// All servers ask for a pause. Requests are refused at once, as not run, with a time to come back that
/// fits it, and spend no repeats; once the pause is over, they are served.
async fn all_servers_pause(rig: &DirectRig, case: Case) {
    let servers = start_servers(rig, &case).await;
    servers
        .iter()
        .for_each(|server| refuse(server, PAUSE_SECONDS));
    let reason = "refusals_total{reason=\"servers asked for a pause\"}";
    let known = async || {
        rig.call("notice", case.path, KEY).await;
        let metrics = rig.gateway.metrics().await;
        metrics.is_ok_and(|page| page.contains(reason))
    };
    assert!(
        rig.wait_until(known).await,
        "{}",
        rig.gateway.process.log_tail()
    );
    let arrived = || -> usize {
        let arrivals = servers.iter().map(|server| server.standin().arrivals());
        arrivals.map(|arrivals| arrivals.len()).sum()
    };
    let before = (arrived(), denied_repeats(rig).await);
    for n in 0..20 {
        let answer = rig.call(&format!("refused-{n}"), case.path, KEY).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        let retry_after: f64 = answer.retry_after.unwrap().parse().unwrap();
        assert!((0.1..4.0).contains(&retry_after), "{retry_after}");
    }
    let after = (arrived(), denied_repeats(rig).await);
    assert_eq!(after, before, "nothing is sent, and no repeat is asked for");
    for server in &servers {
        server.standin().set_behaviour(ServerBehaviour::Normal);
    }
    let served = async || rig.call("again", case.path, KEY).await.status == StatusCode::OK;
    assert!(
        rig.wait_until(served).await,
        "{}",
        rig.gateway.process.log_tail()
    );
}

/// Times without sense are no pause: the server is asked again.
async fn senseless_pause(rig: &DirectRig, case: Case) {
    let servers = start_servers(rig, &case).await;
    for seconds in ["-3", "NaN", "soon"] {
        servers.iter().for_each(|server| refuse(server, seconds));
        rig.call("senseless", case.path, KEY).await;
        let served = async || rig.call("again", case.path, KEY).await.status == StatusCode::OK;
        for server in &servers {
            server.standin().set_behaviour(ServerBehaviour::Normal);
        }
        assert!(
            rig.wait_until(served).await,
            "{}",
            rig.gateway.process.log_tail()
        );
    }
    let log = rig.gateway.process.log();
    assert!(log.contains("servers: pause ignored") && !log.contains("servers: pause asked for"));
}

/// A server said in its responses that it leaves, and got requests on while its row was that of a ready
/// server.
async fn leaving_server(rig: &DirectRig, case: Case) {
    let servers = start_servers(rig, &case).await;
    let preferred = preferred_server(rig, &case, &servers).await;
    preferred.standin().leave();
    wait_for_leaving(rig, &case).await;
    let before = preferred.standin().arrivals().len();
    let answers = send_for(rig, &case, "left", Duration::from_secs(1)).await;
    assert_eq!(preferred.standin().arrivals().len(), before);
    let others = answers
        .iter()
        .filter(|answer| answer.status != StatusCode::OK);
    assert_eq!(others.count(), 0, "the other server takes all of them");
}

/// As [`leaving_server`], where the server refuses requests and says so only then.
async fn leaving_in_a_refusal(rig: &DirectRig, case: Case) {
    let servers = start_servers(rig, &case).await;
    let preferred = preferred_server(rig, &case, &servers).await;
    preferred.standin().set_behaviour(ServerBehaviour::Full);
    preferred.standin().leave();
    wait_for_leaving(rig, &case).await;
    let before = preferred.standin().arrivals().len();
    send_for(rig, &case, "left", Duration::from_secs(1)).await;
    assert_eq!(preferred.standin().arrivals().len(), before);
}

/// Sends requests until the gateway has heard that a server leaves.
async fn wait_for_leaving(rig: &DirectRig, case: &Case) {
    let left = async || {
        rig.call("notice", case.path, KEY).await;
        rig.gateway
            .process
            .has_logged("servers: leaving, by its own response")
    };
    assert!(
        rig.wait_until(left).await,
        "{}",
        rig.gateway.process.log_tail()
    );
}

/// A stream that breaks off is not resumed at an engine that has said that it leaves, though the row of
/// that engine is written anew meanwhile.
async fn resumption_after_leaving(rig: &DirectRig) {
    let servers = start_servers(rig, &ENGINES).await;
    let preferred = preferred_server(rig, &ENGINES, &servers).await;
    preferred.standin().leave();
    wait_for_leaving(rig, &ENGINES).await;
    let before = preferred.standin().arrivals().len();
    for (server, name) in servers.iter().zip(["server-1", "server-2"]) {
        rig.register(name, ENGINES.service, server.local_addr(), "ready");
        let behaviour = ServerBehaviour::BreakAfter(4);
        server.standin().set_behaviour(behaviour);
    }
    let answer = rig.call("broken", ENGINES.path, KEY).await;
    assert_eq!(answer.body, None, "the stream does not look complete");
    assert_eq!(preferred.standin().arrivals().len(), before);
}

/// An engine that says that it leaves when memory is reserved there helps with no further prompt.
async fn helper_that_leaves(rig: &mut DirectRig) {
    let servers = start_servers(rig, &ENGINES).await;
    rig.prompt = 45_000;
    rig.call("helped", ENGINES.path, KEY).await;
    let orders = |server: &StandinServer<PlatformServer>| server.standin().received_orders();
    let helper = servers
        .iter()
        .find(|server| !orders(server).is_empty())
        .unwrap();
    helper.standin().leave();
    rig.call("heard", ENGINES.path, KEY).await;
    let heard = async || {
        rig.gateway
            .process
            .has_logged("servers: leaving, by its own response")
    };
    assert!(rig.wait_until(heard).await);
    let reserved = || {
        let orders = orders(helper).into_iter();
        let reserved = orders.filter(|order| order["Operation"] == *"reserve");
        reserved
            .map(|order| order["Id"].to_string())
            .collect::<BTreeSet<_>>()
    };
    let before = (reserved(), helper.standin().arrivals().len());
    rig.call("after", ENGINES.path, KEY).await;
    assert_eq!((reserved(), helper.standin().arrivals().len()), before);
}

/// The other server of two breaks a stream off while one is in a pause: it is not resumed there.
async fn resumption_in_a_pause(rig: &DirectRig) {
    let servers = start_servers(rig, &ENGINES).await;
    let preferred = preferred_server(rig, &ENGINES, &servers).await;
    refuse(preferred, PAUSE_SECONDS);
    let known = async || {
        rig.call("notice", ENGINES.path, KEY).await;
        let metrics = rig.gateway.metrics().await;
        metrics.is_ok_and(|page| page.contains("paused_servers 1"))
    };
    assert!(
        rig.wait_until(known).await,
        "{}",
        rig.gateway.process.log_tail()
    );
    for server in &servers {
        server
            .standin()
            .set_behaviour(ServerBehaviour::BreakAfter(4));
    }
    let before = preferred.standin().arrivals().len();
    let answer = rig.call("broken", ENGINES.path, KEY).await;
    assert_eq!(answer.body, None, "the stream does not look complete");
    assert_eq!(preferred.standin().arrivals().len(), before);
}

/// Runs a test with a gateway.
fn with_rig(test: impl AsyncFnOnce(&mut DirectRig)) {
    Executor::run(2, |executor| async move {
        let mut rig = DirectRig::start(&executor).unwrap();
        test(&mut rig).await;
    });
}

macro_rules! cases {
    ($($name:ident => $test:expr;)*) => {$(
        #[test]
        fn $name() {
            with_rig($test);
        }
    )*};
}

cases! {
    an_engine_that_asks_for_a_pause_gets_nothing_meanwhile =>
        async |rig: &mut DirectRig| pause_is_kept(rig, ENGINES).await;
    a_plain_server_that_asks_for_a_pause_gets_nothing_meanwhile =>
        async |rig: &mut DirectRig| pause_is_kept(rig, REGISTRY).await;
    prompts_are_refused_at_once_while_all_engines_pause =>
        async |rig: &mut DirectRig| all_servers_pause(rig, ENGINES).await;
    calls_are_refused_at_once_while_all_servers_pause =>
        async |rig: &mut DirectRig| all_servers_pause(rig, REGISTRY).await;
    a_pause_without_sense_is_ignored =>
        async |rig: &mut DirectRig| senseless_pause(rig, REGISTRY).await;
    an_engine_that_says_it_leaves_gets_nothing_new =>
        async |rig: &mut DirectRig| leaving_server(rig, ENGINES).await;
    a_plain_server_that_says_it_leaves_gets_nothing_new =>
        async |rig: &mut DirectRig| leaving_server(rig, REGISTRY).await;
    an_engine_that_says_it_leaves_in_a_refusal_gets_nothing_new =>
        async |rig: &mut DirectRig| leaving_in_a_refusal(rig, ENGINES).await;
    a_plain_server_that_says_it_leaves_in_a_refusal_gets_nothing_new =>
        async |rig: &mut DirectRig| leaving_in_a_refusal(rig, REGISTRY).await;
    a_stream_is_not_resumed_at_an_engine_that_left =>
        async |rig: &mut DirectRig| resumption_after_leaving(rig).await;
    an_engine_that_left_helps_with_no_prompt =>
        async |rig: &mut DirectRig| helper_that_leaves(rig).await;
    a_stream_is_not_resumed_at_an_engine_that_pauses =>
        async |rig: &mut DirectRig| resumption_in_a_pause(rig).await;
}
