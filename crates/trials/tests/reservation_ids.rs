//! Ids under which memory is reserved by the tries of one call.

use async_io::Async;
use futures_lite::io::{AsyncReadExt as _, AsyncWriteExt as _};
use runtime::Executor;
use standins::ServerKind;
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use trials::DirectRig;

const KEY: Option<&str> = Some("key-1");
/// Needs the memory of five of the six engines, so that two tries are refused by one that is full.
const PROMPT: u64 = 130_000;

/// Starts an engine that has no memory for anything.
fn start_full_engine(executor: &Executor) -> SocketAddr {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let connections = executor.clone();
    executor.detach(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            connections.detach(async move {
                let mut buf = vec![0; 16 << 10];
                let length = stream.read(&mut buf).await.unwrap_or(0);
                let request = String::from_utf8_lossy(&buf[..length]).to_lowercase();
                let mut lines = request.lines();
                let id = lines.find_map(|line| line.strip_prefix("x-request-id: "));
                let answer = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nx-request-id: {}\r\nx-not-executed: 1\r\n\
                     content-length: 0\r\n\r\n",
                    id.unwrap_or_default()
                );
                let _ = stream.write_all(answer.as_bytes()).await;
            });
        }
    });
    address
}

/// A try that failed released what it had reserved, under the id that the next try of the same call used
/// at the same engine.
#[test]
fn what_one_try_releases_no_other_has_reserved() {
    Executor::run(2, |executor| async move {
        let mut rig = DirectRig::start(&executor).unwrap();
        rig.write_declarations(3, &["key-1"]);
        let engines = [1, 2, 3, 4].map(|n| {
            let name = format!("engine-{n}");
            rig.add_server(&name, "engines", ServerKind::Engine)
                .unwrap()
        });
        for name in ["full-1", "full-2"] {
            rig.register(name, "engines", start_full_engine(&executor), "ready");
        }
        rig.prompt = PROMPT;
        // Ids of the reserve orders that one engine got for one call.
        let reserved = |call: &str, engine: usize| -> BTreeSet<String> {
            let orders = engines[engine].standin().received_orders();
            let reserves = orders
                .iter()
                .filter(|order| order["Operation"] == "reserve");
            let ids = reserves.filter_map(|order| order["Id"].as_str());
            let of_call = ids.filter(|id| id.starts_with(&format!("{call}-")));
            of_call.map(str::to_owned).collect()
        };
        let released_before = || {
            engines.iter().any(|engine| {
                let mut released = BTreeSet::new();
                engine.standin().received_orders().iter().any(|order| {
                    let id = order["Id"].as_str().unwrap_or_default().to_owned();
                    match order["Operation"] == "release" {
                        true => {
                            released.insert(id);
                            false
                        }
                        false => released.contains(&id),
                    }
                })
            })
        };
        let mut calls = 0;
        let tried_again = rig.wait_until(async || {
            calls += 1;
            let id = format!("call-{calls}");
            rig.call(&id, "/stream/x", KEY).await;
            assert!(!released_before(), "an id is reserved after its release");
            (0..engines.len()).any(|engine| reserved(&id, engine).len() > 1)
        });
        assert!(tried_again.await, "{}", rig.gateway.process.log_tail());
    });
}
