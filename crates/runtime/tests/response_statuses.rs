//! Responses with statuses that HTTP does not have, and with statuses that no final response has.

use async_io::Async;
use futures_lite::io::{AsyncReadExt as _, AsyncWriteExt as _};
use hyper::Request;
use runtime::{Body, Executor, HttpClient, HttpError, PaceLimits, SingleExchange};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

const MAX_BODY_BYTES: usize = 1 << 10;
const LONG: Duration = Duration::from_secs(600);
const SOUND: &str = "200 OK";

/// Gives the responses to the requests of one connection after another these statuses, in turn.
async fn serve(listener: Async<TcpListener>, statuses: Vec<&'static str>) {
    let mut statuses = statuses.into_iter().peekable();
    while statuses.peek().is_some() {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        while let Some(status) = statuses.next_if(|_| true) {
            if respond(&stream, status).await.is_none() {
                break;
            }
        }
    }
}

/// Responds to a request; `None` if the connection ends before, or has to.
async fn respond(mut stream: &Async<TcpStream>, status: &str) -> Option<()> {
    let mut request = Vec::new();
    let mut buf = [0; 1 << 10];
    while !request.ends_with(b"\r\n\r\n") {
        let length = stream.read(&mut buf).await.ok()?;
        request.extend_from_slice(buf.get(..length).filter(|read| !read.is_empty())?);
    }
    let response = format!("HTTP/1.1 {status}\r\ncontent-length: 4\r\n\r\nbody");
    stream.write_all(response.as_bytes()).await.ok()?;
    (status == SOUND).then_some(())
}

fn request() -> Request<Body> {
    let mut req = Request::new(Body::empty());
    req.headers_mut().insert("host", "server".parse().unwrap());
    req
}

fn listen() -> (Async<TcpListener>, SocketAddr) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    (listener, address)
}

/// Fetches responses with `status` in each way; returns the error of each.
async fn fetch_in_each_way(executor: &Executor, status: &'static str) -> [HttpError; 3] {
    let (listener, address) = listen();
    executor.detach(serve(listener, vec![status; 3]));
    let client = HttpClient::new(executor.clone());
    let pooled = client.fetch(address, request(), MAX_BODY_BYTES, LONG).await;
    let limits = PaceLimits {
        head: LONG,
        pause: LONG,
        min_rate: 1,
    };
    let paced = client.fetch_paced(address, request(), limits, |_| Ok(()));
    let paced = paced.await;
    let exchange = SingleExchange::connect(executor, address, LONG).await;
    let single = exchange.unwrap().fetch(request(), MAX_BODY_BYTES).await;
    [pooled.unwrap_err(), paced.unwrap_err(), single.unwrap_err()]
}

fn status_is_an_invalid_head(status: &'static str) {
    Executor::run(1, |executor| async move {
        for err in fetch_in_each_way(&executor, status).await {
            assert!(err.is_invalid_head() && !err.is_unsent(), "{status}: {err}");
        }
    });
}

macro_rules! invalid {
    ($($name:ident: $status:expr;)*) => {$(
        #[test]
        fn $name() {
            status_is_an_invalid_head($status);
        }
    )*};
}

invalid! {
    a_status_of_zeros_is_no_response: "000 Down";
    a_status_below_100_is_no_response: "099 Low";
    a_status_of_600_is_no_response: "600 High";
    a_status_of_700_is_no_response: "700 High";
    a_status_of_999_is_no_response: "999 High";
    a_status_of_four_digits_is_no_response: "1000 High";
    a_status_of_two_digits_is_no_response: "20 OK";
    a_status_with_letters_is_no_response: "2OO OK";
    a_negative_status_is_no_response: "-200 OK";
    a_missing_status_is_no_response: "";
    a_switch_of_protocols_is_no_response: "101 Switching Protocols";
    an_interim_status_is_no_final_response: "100 Continue";
    an_unknown_interim_status_is_no_final_response: "199 Odd";
}

#[test]
fn statuses_of_http_are_responses() {
    Executor::run(1, |executor| async move {
        for status in [
            "200 OK",
            "299 Odd",
            "302 Found",
            "404",
            "499 Odd",
            "599 Odd",
        ] {
            let (listener, address) = listen();
            executor.detach(serve(listener, vec![status]));
            let exchange = SingleExchange::connect(&executor, address, LONG).await;
            let fetched = exchange.unwrap().fetch(request(), MAX_BODY_BYTES).await;
            let (head, body) = fetched.unwrap();
            assert!(status.starts_with(head.status.as_str()));
            assert_eq!(&body[..], b"body");
        }
    });
}

/// A request behind a sound response and an invalid one gets its own response.
#[test]
fn a_connection_with_an_invalid_status_carries_no_further_request() {
    Executor::run(1, |executor| async move {
        let (listener, address) = listen();
        executor.detach(serve(listener, vec![SOUND, "700 High", SOUND]));
        let client = HttpClient::new(executor.clone());
        let mut fetched = Vec::new();
        for _ in 0..3 {
            let response = client.fetch(address, request(), MAX_BODY_BYTES, LONG);
            fetched.push(response.await.is_ok());
        }
        assert_eq!(fetched, [true, false, true]);
    });
}
