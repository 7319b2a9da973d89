//! Streams of services without engines.

use http_body_util::BodyExt as _;
use hyper::StatusCode;
use runtime::Executor;
use standins::{PlatformServer, ServerBehaviour, ServerKind, StandinServer};
use std::time::Duration;
use trials::DirectRig;

const KEY: Option<&str> = Some("key-1");
const RESUMABLE: &str = "/draft/x";
const SINGLE_RUN: &str = "/single-draft/x";

fn events(last: u64) -> String {
    let events = (0..=last).map(|id| format!("id: {id}\ndata: text {id}\n\n"));
    events.collect()
}

/// Starts a gateway and `count` servers of a plain service that stream, and waits until it is served.
async fn start(
    executor: &Executor,
    count: usize,
) -> (DirectRig, Vec<StandinServer<PlatformServer>>) {
    let rig = DirectRig::start(executor).unwrap();
    rig.write_declarations(3, &["key-1"]);
    let servers = (0..count).map(|n| {
        let server = rig.add_server(&format!("drafts-{n}"), "drafts", ServerKind::Engine);
        server.unwrap()
    });
    let servers: Vec<_> = servers.collect();
    let all_serve = rig.wait_until(async || {
        let id = format!("probe-{}", runs(&servers).len());
        rig.call(&id, RESUMABLE, KEY).await.status == StatusCode::OK
            && servers
                .iter()
                .all(|server| !server.standin().arrivals().is_empty())
    });
    assert!(all_serve.await, "{}", rig.gateway.process.log_tail());
    (rig, servers)
}

fn runs(servers: &[StandinServer<PlatformServer>]) -> Vec<(Box<str>, Option<u64>)> {
    let requests = servers.iter();
    let requests = requests.flat_map(|server| server.standin().executed_requests());
    requests
        .map(|request| (request.request_id, request.last_event_id))
        .collect()
}

fn runs_of(servers: &[StandinServer<PlatformServer>], id: &str) -> Vec<Option<u64>> {
    let runs = runs(servers).into_iter().filter(|(run, _)| **run == *id);
    runs.map(|(_, last_event)| last_event).collect()
}

/// Makes a server end its streams after the fifth event, and waits until one has gone on in the same
/// answer. Until the retry budget allows it, they must not look complete.
async fn wait_until_resumed(
    rig: &DirectRig,
    servers: &[StandinServer<PlatformServer>],
    behaviour: ServerBehaviour,
) {
    servers[0].standin().set_behaviour(behaviour);
    let mut calls = 0;
    let resumed = rig.wait_until(async || {
        calls += 1;
        let id = format!("{behaviour:?}-{calls}");
        let answer = rig.call(&id, RESUMABLE, KEY).await;
        let runs = runs_of(servers, &id);
        assert_eq!(answer.status, StatusCode::OK);
        let is_resumed = runs.contains(&Some(4));
        assert!(answer.body.is_some() || !is_resumed, "{id}");
        assert!(answer.body.is_none_or(|body| body == events(12)), "{id}");
        is_resumed
    });
    assert!(resumed.await, "{}", rig.gateway.process.log_tail());
}

/// Whole streams were read before anything was passed on, and callers left meanwhile.
#[test]
fn events_are_passed_on_as_they_arrive() {
    Executor::run(2, |executor| async move {
        let (rig, servers) = start(&executor, 1).await;
        let behaviour = ServerBehaviour::StallAfter(3);
        servers[0].standin().set_behaviour(behaviour);
        let response = rig.start_call("stalled", SINGLE_RUN, KEY);
        let response = runtime::timeout(Duration::from_secs(6), response).await;
        let mut response = response.expect("the stream has begun").unwrap();
        let mut text = String::new();
        while text.len() < events(3).len() {
            let frame = response.body.frame().await.unwrap().unwrap();
            text.push_str(&String::from_utf8_lossy(frame.data_ref().unwrap()));
        }
        assert_eq!(text, events(3));
        drop(response);
        let left = async || servers[0].standin().abandoned_streams() == 1;
        assert!(rig.wait_until(left).await, "the server is told at once");
    });
}

#[test]
fn a_broken_stream_goes_on_in_the_same_answer() {
    Executor::run(2, |executor| async move {
        let (rig, servers) = start(&executor, 2).await;
        wait_until_resumed(&rig, &servers, ServerBehaviour::BreakAfter(4)).await;
    });
}

#[test]
fn a_stream_that_may_run_once_does_not_look_complete_and_is_not_run_again() {
    Executor::run(2, |executor| async move {
        let (rig, servers) = start(&executor, 2).await;
        for server in &servers {
            server
                .standin()
                .set_behaviour(ServerBehaviour::BreakAfter(4));
        }
        let answer = rig.call("single", SINGLE_RUN, KEY).await;
        assert_eq!((answer.status, answer.body), (StatusCode::OK, None));
        assert_eq!(runs_of(&servers, "single"), [None]);
    });
}

#[test]
fn a_silent_server_is_replaced() {
    Executor::run(2, |executor| async move {
        let (rig, servers) = start(&executor, 2).await;
        // By then the gateway knows how many share the retry budget.
        wait_until_resumed(&rig, &servers, ServerBehaviour::BreakAfter(4)).await;
        wait_until_resumed(&rig, &servers, ServerBehaviour::StallAfter(4)).await;
    });
}

/// All servers refuse, so that nothing has run and the caller may come back.
#[test]
fn a_stream_that_all_servers_refuse_is_refused() {
    Executor::run(2, |executor| async move {
        let (rig, servers) = start(&executor, 2).await;
        for server in &servers {
            server.standin().set_pause(Some("30"));
            server.standin().set_behaviour(ServerBehaviour::Full);
        }
        for n in 0..3 {
            let answer = rig.call(&format!("refused-{n}"), SINGLE_RUN, KEY).await;
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(answer.retry_after.is_some(), "it is told when to come back");
        }
        let mut arrivals = 0;
        for server in &servers {
            let received = server.standin().received_requests();
            let refused = received.iter().filter(|(id, _)| id.starts_with("refused"));
            arrivals += refused.count();
        }
        assert!(arrivals <= servers.len(), "pauses are kept: {arrivals}");
    });
}

/// A drain ends no stream that can end in time, and starts none that may not.
#[test]
fn a_drain_cuts_no_stream() {
    Executor::run(2, |executor| async move {
        let (rig, servers) = start(&executor, 1).await;
        let server = servers[0].standin();
        server.set_event_interval(Duration::from_millis(100));
        let response = rig.start_call("before", RESUMABLE, KEY).await.unwrap();
        rig.gateway.process.terminate().unwrap();
        let draining = async || rig.gateway.process.log().contains("process: draining");
        assert!(rig.wait_until(draining).await);
        let late = rig.call("late", SINGLE_RUN, KEY).await;
        assert_eq!(late.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(runs_of(&servers, "late"), []);
        let body = response.body.collect().await.unwrap().to_bytes();
        assert_eq!(body, events(12));
    });
}

/// The gateway's share of what its servers state is used up, and the rest is refused.
#[test]
fn request_limits_hold() {
    Executor::run(2, |executor| async move {
        let (rig, servers) = start(&executor, 1).await;
        servers[0].standin().set_request_limit(Some(2.0));
        let mut refused = 0;
        for n in 0..20 {
            let answer = rig.call(&format!("limited-{n}"), SINGLE_RUN, KEY).await;
            refused += usize::from(answer.status == StatusCode::SERVICE_UNAVAILABLE);
        }
        assert!(refused > 0);
        assert_eq!(
            servers[0]
                .standin()
                .received_requests()
                .iter()
                .filter(|(id, _)| id.starts_with("limited"))
                .count(),
            20 - refused
        );
    });
}
