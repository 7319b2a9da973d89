//! Several direct gateways as processes before servers that state a limit on requests. What counts
//! is what the servers see.

use hyper::StatusCode;
use runtime::Executor;
use standins::{PlatformServer, ServerKind, StandinServer};
use std::time::{Duration, Instant};
use trials::{DirectGateway, DirectRig};

const KEY: Option<&str> = Some("key-1");
const PROMPT_TOKENS: u64 = 1_000;
/// Span in which the users of the platform count requests to a server.
const COUNTED_SPAN: Duration = Duration::from_secs(4);
/// Time that a gateway has from a response with a limit until it has to keep it.
const NOTICE: Duration = Duration::from_millis(500);

/// Requests that a server with this limit may get from all gateways within `COUNTED_SPAN`.
fn allowed_requests(rate: f64) -> usize {
    (1.5 * rate * COUNTED_SPAN.as_secs_f64()) as usize + 5
}

/// Most requests that arrived within one `COUNTED_SPAN` since `start`.
fn most_arrivals(server: &StandinServer<PlatformServer>, start: Instant) -> usize {
    let mut arrivals = server.standin().arrivals();
    arrivals.retain(|at| *at >= start);
    let until = |first: &Instant| arrivals.partition_point(|at| *at < *first + COUNTED_SPAN);
    let counts = arrivals.iter().enumerate();
    let counts = counts.map(|(index, first)| until(first) - index);
    counts.max().unwrap_or(0)
}

/// Sends `count` requests to each gateway in turn, each after the answer to the one before, and
/// returns the statuses.
async fn send_in_turn(
    gateways: &[&DirectGateway],
    name: &str,
    path: &str,
    count: usize,
) -> Vec<StatusCode> {
    let mut statuses = Vec::new();
    for n in 0..count {
        for (index, gateway) in gateways.iter().enumerate() {
            let id = format!("{name}-{index}-{n}");
            let response = gateway.caller().call(&id, path, KEY, PROMPT_TOKENS).await;
            statuses.push(response.status);
        }
    }
    statuses
}

/// Waits until a gateway routes requests to a server that was just registered.
async fn wait_until_served(rig: &DirectRig, gateway: &DirectGateway, path: &str) {
    let mut attempts = 0;
    let served = rig.wait_until(async || {
        attempts += 1;
        let id = format!("{}-probe{path}{attempts}", gateway.process.name());
        let response = gateway.caller().call(&id, path, KEY, PROMPT_TOKENS).await;
        response.status == StatusCode::OK
    });
    assert!(served.await, "{}", gateway.process.log_tail());
}

/// Servers of a plain service state a limit. All gateways together sent each of them as many
/// requests as before.
#[test]
fn servers_that_state_a_limit_get_no_more_from_all_gateways() {
    const RATE: f64 = 1.0;
    Executor::run(2, |executor| async move {
        let rig = DirectRig::start(&executor).unwrap();
        rig.write_declarations(3, &["key-1"]);
        let store = rig.store.local_addr();
        let others = ["gateway-2", "gateway-3"].map(|name| rig.add_gateway(name, store).unwrap());
        let gateways = [&rig.gateway, &others[0], &others[1]];
        let servers = ["registry-1", "registry-2"]
            .map(|name| rig.add_server(name, "registry", ServerKind::Plain).unwrap());
        for gateway in gateways {
            wait_until_served(&rig, gateway, "/lookup/x").await;
        }
        for server in &servers {
            server.standin().set_request_limit(Some(RATE));
        }
        let stated = Instant::now();
        while stated.elapsed() < NOTICE {
            send_in_turn(&gateways, "notice", "/lookup/x", 1).await;
            async_io::Timer::after(NOTICE / 10).await;
        }
        let start = Instant::now();
        let statuses = send_in_turn(&gateways, "limited", "/lookup/x", 30).await;
        for server in &servers {
            let most = most_arrivals(server, start);
            assert!(
                most <= allowed_requests(RATE),
                "{most} requests within the counted span, {} allowed",
                allowed_requests(RATE)
            );
        }
        let answered = [StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE];
        let others = statuses.iter().find(|status| !answered.contains(status));
        assert_eq!(others, None, "what a limit forbids is refused as not run");
    });
}

/// A gateway starts while a server states a limit, and the server answers only the other gateway.
/// The new one keeps the limit before it has heard of it from the server, and hears of its end.
#[test]
fn a_gateway_hears_of_limits_from_its_peers() {
    Executor::run(2, |executor| async move {
        let rig = DirectRig::start(&executor).unwrap();
        rig.write_declarations(3, &["key-1"]);
        let server = rig
            .add_server("registry-1", "registry", ServerKind::Plain)
            .unwrap();
        wait_until_served(&rig, &rig.gateway, "/lookup/x").await;
        server.standin().set_request_limit(Some(2.0));
        send_in_turn(&[&rig.gateway], "first", "/lookup/x", 1).await;
        let later = rig
            .add_gateway("gateway-2", rig.store.local_addr())
            .unwrap();
        let limited_servers = async |expected: &str| {
            let line = format!("bergamothold_direct_limited_servers {expected}");
            let metrics = later.metrics().await;
            metrics.is_ok_and(|page| page.contains(&line))
        };
        let heard = rig.wait_until(async || limited_servers("1").await).await;
        assert!(heard, "{}", later.process.log_tail());
        server.standin().set_request_limit(None);
        let ended = rig.wait_until(async || {
            send_in_turn(&[&rig.gateway], "last", "/lookup/x", 1).await;
            limited_servers("0").await
        });
        assert!(ended.await, "{}", later.process.log_tail());
    });
}

/// All servers of a service take next to nothing. Calls and prompts that they would take too late are
/// refused as not run, without waiting for their deadline, and are told when to come back.
#[test]
fn what_limits_forbid_is_refused_with_a_time_to_come_back() {
    const RATE: f64 = 0.25;
    Executor::run(2, |executor| async move {
        let rig = DirectRig::start(&executor).unwrap();
        rig.write_declarations(3, &["key-1"]);
        let engine = rig
            .add_server("engine-1", "engines", ServerKind::Engine)
            .unwrap();
        let registry = rig
            .add_server("registry-1", "registry", ServerKind::Plain)
            .unwrap();
        for (server, path) in [(&engine, "/stream/x"), (&registry, "/lookup/x")] {
            wait_until_served(&rig, &rig.gateway, path).await;
            server.standin().set_request_limit(Some(RATE));
            let mut refused = None;
            let is_refused = rig.wait_until(async || {
                let response = rig.call("limited", path, KEY).await;
                let status = response.status;
                refused = Some(response);
                status == StatusCode::SERVICE_UNAVAILABLE
            });
            assert!(is_refused.await, "{path}");
            let retry_after = refused.and_then(|response| response.retry_after).unwrap();
            assert!(
                retry_after.parse::<f64>().unwrap() > 1.0,
                "{path}: {retry_after}"
            );
        }
        let reason = "refusals_total{reason=\"servers at their limits\"} 2";
        let metrics = rig.gateway.metrics().await.unwrap();
        assert!(metrics.contains(reason), "{metrics}");
    });
}
