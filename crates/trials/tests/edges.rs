//! Malformed requests: each gets a clear error response, and the gateway keeps serving.

use async_io::{Async, Timer};
use expect_test::expect_file;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use runtime::{Executor, HttpClient, timeout};
use standins::HostList;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use trials::{Binaries, Fleet, FleetConfig, TEAM_KEY, get_page};

const THREADS: usize = 2;
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const REQUEST_ID_DIGITS: usize = 32;

/// Sends raw bytes, shuts down the sending direction if `half_close` is set, and returns the status
/// line and the body of the response.
async fn send_raw(gateway: SocketAddr, request: &[u8], half_close: bool) -> String {
    let mut stream = Async::<TcpStream>::connect(gateway).await.unwrap();
    // The write may fail: the gateway may close the connection before it has read everything.
    let _ = stream.write_all(request).await;
    if half_close {
        stream
            .get_ref()
            .shutdown(std::net::Shutdown::Write)
            .unwrap();
    }
    let mut response = Vec::new();
    let ended = timeout(RESPONSE_TIMEOUT, stream.read_to_end(&mut response)).await;
    assert!(ended.is_ok(), "the connection stays open");
    summary(&String::from_utf8_lossy(&response))
}

/// Status line and body of a response, with the request id masked because it differs each time.
fn summary(response: &str) -> String {
    let status = response.lines().next().unwrap_or("no answer");
    let body = response.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let body = match body.split_once("\"request_id\":\"") {
        Some((before, after)) => {
            format!("{before}\"request_id\":\"…{}", &after[REQUEST_ID_DIGITS..])
        }
        None => body.to_owned(),
    };
    format!("{status}\n{body}\n")
}

fn post(path: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

fn team_key_header() -> String {
    format!("authorization: Bearer {TEAM_KEY}\r\n")
}

struct Case {
    name: &'static str,
    request: Vec<u8>,
    half_close: bool,
}

fn case(name: &'static str, request: Vec<u8>, half_close: bool) -> Case {
    Case {
        name,
        request,
        half_close,
    }
}

fn cases() -> [Case; 14] {
    let completions = "/v1/completions";
    let valid_body = r#"{"model":"draft","prompt":"x","max_tokens":1}"#;
    [
        case("no_key", post(completions, "", valid_body), false),
        case("wrong_key", post(completions, "authorization: Bearer nobody\r\n", valid_body), false),
        case("unknown_path", post("/v2/else", &team_key_header(), valid_body), false),
        case("unknown_model", post(completions, &team_key_header(), r#"{"model":"else","prompt":"x"}"#), false),
        case("malformed", post(completions, &team_key_header(), "{\"model\":"), false),
        case("wrong_time", post(completions, &(team_key_header() + "x-time-limit-ms: soon\r\n"), valid_body), false),
        case("long_key", post(completions, &(team_key_header() + &format!("idempotency-key: {}\r\n", "k".repeat(300))), valid_body), false),
        case("wrong_method", format!("GET {completions} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{}\r\n", team_key_header()).into_bytes(), false),
        case("too_long", format!("POST {completions} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{}content-length: 99999999999\r\n\r\n", team_key_header()).into_bytes(), false),
        case("long_header", post(completions, &format!("x-long: {}\r\n", "x".repeat(100_000)), valid_body), false),
        case("many_headers", post(completions, &"x-more: 1\r\n".repeat(200), valid_body), false),
        case("no_http", b"\x16\x03\x01junk\r\n\r\n".to_vec(), false),
        case("slow_body", format!("POST {completions} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{}content-length: 100\r\n\r\n{{", team_key_header()).into_bytes(), false),
        case("cut_body", format!("POST {completions} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{}content-length: 100\r\n\r\n{{", team_key_header()).into_bytes(), true),
    ]
}

#[test]
fn bad_input_gets_a_clear_error_and_the_gateway_lives() {
    Executor::run(THREADS, |executor| async move {
        let mut cfg = FleetConfig::single();
        cfg.gateway_flags = vec!["--body-seconds=1".into()];
        let mut fleet = Fleet::start(&executor, &cfg).await.unwrap();
        let gateway = fleet.gateways()[0];
        let mut responses = String::new();
        for case in cases() {
            let response = send_raw(gateway, &case.request, case.half_close).await;
            responses.push_str(&format!("{}: {response}", case.name));
        }
        expect_file!["data/edges.txt"].assert_eq(&responses);
        let name = fleet
            .names()
            .iter()
            .find(|name| name.starts_with("gateway"))
            .cloned();
        assert_eq!(
            fleet.get_page(&name.unwrap(), "/healthz").await.unwrap().0,
            200
        );
    });
}

/// Polls the readiness page of `gateway` until it has this status and contains `text`.
async fn wait_for_health(client: &HttpClient, gateway: SocketAddr, status: u16, text: &str) {
    let polled = async {
        loop {
            if let Ok((found, page)) = get_page(client, gateway, "/healthz").await
                && found == status
                && page.contains(text)
            {
                return;
            }
            Timer::after(POLL_INTERVAL).await;
        }
    };
    let polled = timeout(RESPONSE_TIMEOUT, polled).await;
    assert!(polled.is_ok(), "never {status} {text}");
}

/// A gateway that knows its configuration but no hosts would refuse every request.
#[test]
fn a_gateway_without_a_host_list_is_not_ready() {
    Executor::run(THREADS, |executor| async move {
        let mut fleet = Fleet::start(&executor, &FleetConfig::single())
            .await
            .unwrap();
        let gateway = fleet.gateways()[0];
        let names = fleet.names();
        let mut entry = |name| fleet.node(name).host_list_entry();
        let hosts = names.iter().map(|name| entry(name)).collect();
        fleet.kill("gateway-1");
        let host_list = fleet.platform.hosts.standin();
        host_list.set_hosts(HostList::default());
        let binaries = Binaries::find().unwrap();
        fleet.node("gateway-1").start(&binaries).unwrap();
        wait_for_health(fleet.client(), gateway, 503, "host list").await;
        let host_list = fleet.platform.hosts.standin();
        host_list.set_hosts(HostList { hosts });
        wait_for_health(fleet.client(), gateway, 200, "ok").await;
    });
}
