//! The agent's client of its backend server.

use agent::Backend;
use async_io::Async;
use bytes::Bytes;
use futures_lite::io::{AsyncReadExt as _, AsyncWriteExt as _};
use hyper::StatusCode;
use proto::{AttemptId, Offer};
use runtime::Executor;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n\
    content-length: 13\r\n\r\n{\"ran\":false}";
const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

/// A server that refuses the first request on each connection and runs further ones, but writes the
/// refusal once more before their answer. The first request on a second connection is run as well.
async fn serve(listener: Async<TcpListener>, executor: Executor) {
    let mut is_first = true;
    while let Ok((stream, _)) = listener.accept().await {
        let refuses = std::mem::take(&mut is_first);
        executor.detach(async move {
            answer(&stream, refuses).await;
        });
    }
}

async fn answer(mut stream: &Async<TcpStream>, refuses: bool) -> Option<()> {
    let mut buf = vec![0; 4 << 10];
    stream.read(&mut buf).await.ok().filter(|read| *read > 0)?;
    let first = if refuses { REFUSAL } else { ANSWER };
    stream.write_all(first.as_bytes()).await.ok()?;
    loop {
        stream.read(&mut buf).await.ok().filter(|read| *read > 0)?;
        stream.write_all(REFUSAL.as_bytes()).await.ok()?;
        stream.write_all(ANSWER.as_bytes()).await.ok()?;
    }
}

fn offer(number: u32) -> Offer {
    Offer {
        attempt: AttemptId { request: 1, number },
        team: "team".into(),
        model: None,
        route: None,
        path: "/x".into(),
        method: "POST".into(),
        content_type: None,
        prompt_tokens: 1,
        output_tokens: 1,
        streamed: false,
        remaining: Duration::from_secs(5),
        prefixes: Vec::new(),
        repeatable: false,
        idempotency_key: None,
        content_hash: 0,
        config: 1,
        body_bytes: 0,
    }
}

/// A server wrote an earlier refusal once more on a kept connection, and the next request was called
/// "not run" while the server ran it.
#[test]
fn an_earlier_refusal_is_not_taken_for_the_answer_to_the_next_request() {
    Executor::run(2, |executor| async move {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let address: SocketAddr = listener.get_ref().local_addr().unwrap();
        executor.detach(serve(listener, executor.clone()));
        let backend = Backend::new(address, executor.clone());
        let mut statuses = Vec::new();
        for number in 1..=2 {
            let offer = offer(number);
            let response = backend.send_request(&offer, 5, None, Bytes::new());
            let mut response = response.await.unwrap();
            statuses.push(response.head.status);
            let body = http_body_util::BodyExt::collect(&mut response.body).await;
            assert!(body.is_ok());
        }
        assert_eq!(statuses, [StatusCode::SERVICE_UNAVAILABLE, StatusCode::OK]);
    });
}
