//! Lists of hosts with entries that cannot be decoded.

use async_io::Async;
use futures_lite::io::{AsyncReadExt as _, AsyncWriteExt as _};
use platform::{HostList as _, HttpPlatform, PlatformConfig};
use runtime::{Executor, HttpClient};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

const SOUND: &str =
    r#"{"host":"h","domain":"a","role":"agent","address":"10.0.0.1:80","state":"live"}"#;

fn start_list(executor: &Executor, odd_entry: &str) -> SocketAddr {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let body = format!(r#"{{"hosts":[{odd_entry},{SOUND}]}}"#);
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    executor.detach(async move {
        while let Ok((stream, _)) = listener.accept().await {
            answer(&stream, &format!("{head}{body}")).await;
        }
    });
    address
}

async fn answer(mut stream: &Async<TcpStream>, answer: &str) -> Option<()> {
    let mut buf = vec![0; 4 << 10];
    stream.read(&mut buf).await.ok()?;
    stream.write_all(answer.as_bytes()).await.ok()
}

/// One odd entry, and no process could read the list any more.
fn an_odd_entry_hides_no_other(odd_entry: &str) {
    Executor::run(1, |executor| async move {
        let address = start_list(&executor, odd_entry);
        let cfg = PlatformConfig {
            table: address,
            objects: address,
            hosts: address,
            call_timeout: Duration::from_secs(20),
        };
        let platform = HttpPlatform::new(cfg, HttpClient::new(executor.clone()));
        let listing = platform.hosts().await.unwrap();
        let names: Vec<_> = listing.hosts.iter().map(|host| &*host.host).collect();
        assert_eq!((names, listing.skipped), (vec!["h"], 1));
    });
}

#[test]
fn an_entry_with_a_port_out_of_range() {
    an_odd_entry_hides_no_other(&SOUND.replace(":80", ":99999"));
}

#[test]
fn an_entry_with_a_number_that_is_too_large() {
    an_odd_entry_hides_no_other(&SOUND.replace("\"h\"", "1e999"));
}

#[test]
fn an_entry_that_is_nested() {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    an_odd_entry_hides_no_other(&nested);
}
