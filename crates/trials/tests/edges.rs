//! Bad input at the edges: each gets a clear error, and the processes live on.

use async_io::Async;
use expect_test::expect_file;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use runtime::{Executor, timeout};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use trials::{Fleet, FleetConfig, TEAM_KEY};

const THREADS: usize = 2;
const ANSWER_LIMIT: Duration = Duration::from_secs(20);
const REQUEST_ID_DIGITS: usize = 32;

/// Sends raw bytes, ends our direction where `half_close`, and gives status line and body.
async fn raw(gateway: SocketAddr, text: &[u8], half_close: bool) -> String {
    let mut stream = Async::<TcpStream>::connect(gateway).await.unwrap();
    // The gateway may end the connection before it has read all.
    let _ = stream.write_all(text).await;
    if half_close {
        stream
            .get_ref()
            .shutdown(std::net::Shutdown::Write)
            .unwrap();
    }
    let mut answer = Vec::new();
    let ended = timeout(ANSWER_LIMIT, stream.read_to_end(&mut answer)).await;
    assert!(ended.is_ok(), "the connection stays open");
    summary(&String::from_utf8_lossy(&answer))
}

fn summary(answer: &str) -> String {
    let status = answer.lines().next().unwrap_or("no answer");
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
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

fn key() -> String {
    format!("authorization: Bearer {TEAM_KEY}\r\n")
}

struct Case {
    name: &'static str,
    text: Vec<u8>,
    half_close: bool,
}

fn case(name: &'static str, text: Vec<u8>, half_close: bool) -> Case {
    Case {
        name,
        text,
        half_close,
    }
}

fn cases() -> [Case; 14] {
    let completions = "/v1/completions";
    let good = r#"{"model":"draft","prompt":"x","max_tokens":1}"#;
    [
        case("no_key", post(completions, "", good), false),
        case("wrong_key", post(completions, "authorization: Bearer nobody\r\n", good), false),
        case("unknown_path", post("/v2/else", &key(), good), false),
        case("unknown_model", post(completions, &key(), r#"{"model":"else","prompt":"x"}"#), false),
        case("malformed", post(completions, &key(), "{\"model\":"), false),
        case("wrong_time", post(completions, &(key() + "x-time-limit-ms: soon\r\n"), good), false),
        case("long_key", post(completions, &(key() + &format!("idempotency-key: {}\r\n", "k".repeat(300))), good), false),
        case("wrong_method", format!("GET {completions} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{}\r\n", key()).into_bytes(), false),
        case("too_long", format!("POST {completions} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{}content-length: 99999999999\r\n\r\n", key()).into_bytes(), false),
        case("long_header", post(completions, &format!("x-long: {}\r\n", "x".repeat(100_000)), good), false),
        case("many_headers", post(completions, &"x-more: 1\r\n".repeat(200), good), false),
        case("no_http", b"\x16\x03\x01junk\r\n\r\n".to_vec(), false),
        case("slow_body", format!("POST {completions} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{}content-length: 100\r\n\r\n{{", key()).into_bytes(), false),
        case("cut_body", format!("POST {completions} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{}content-length: 100\r\n\r\n{{", key()).into_bytes(), true),
    ]
}

#[test]
fn bad_input_gets_a_clear_error_and_the_gateway_lives() {
    Executor::run(THREADS, |executor| async move {
        let mut cfg = FleetConfig::single();
        cfg.gateway_flags = vec!["--body-seconds=1".into()];
        let mut fleet = Fleet::start(&executor, &cfg).await.unwrap();
        let gateway = fleet.gateways()[0];
        let mut answers = String::new();
        for case in cases() {
            let answer = raw(gateway, &case.text, case.half_close).await;
            answers.push_str(&format!("{}: {answer}", case.name));
        }
        expect_file!["data/edges.txt"].assert_eq(&answers);
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
