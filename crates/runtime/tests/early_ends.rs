//! Responses that begin while a long request is still being written, and end too early.

use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::io::{AsyncReadExt as _, AsyncWriteExt as _};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper::{Method, Request};
use runtime::{Body, Executor, HttpClient, SingleExchange};
use rustix::net::sockopt;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// More than the kernel buffers of a connection on loopback hold.
const UPLOAD_BYTES: usize = 8 << 20;
const LONG: Duration = Duration::from_secs(600);
const RUNS: usize = 20;
const HEAD: &str = "HTTP/1.1 200 OK\r\n";

/// What tells the end of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// Its connection.
    Close,
    /// A length that it does not reach.
    Length,
    /// A last chunk that it does not have.
    Chunks,
}

/// How the connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// By a reset as soon as the part is written.
    Reset,
    /// By a reset after the client has read the part.
    LateReset,
    /// By a close with a part of the request unread, which resets it.
    Close,
    /// By an orderly end of the sending side; the request is read on.
    InOrder,
}

/// A response, and where the server is told that its part was read.
#[derive(Debug)]
struct Case {
    part: usize,
    part_read: Sender<()>,
}

fn response(framing: Framing, part: usize) -> Vec<u8> {
    let body = "x".repeat(part);
    let rest = part + 1;
    let response = match framing {
        Framing::Close => format!("{HEAD}\r\n{body}"),
        Framing::Length => format!("{HEAD}content-length: {rest}\r\n\r\n{body}"),
        Framing::Chunks => format!("{HEAD}transfer-encoding: chunked\r\n\r\n{rest:x}\r\n{body}"),
    };
    response.into_bytes()
}

async fn serve(listener: Async<TcpListener>, response: Vec<u8>, end: End, part_read: Receiver<()>) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = respond(&stream, &response, end, &part_read).await;
    }
}

async fn respond(
    mut stream: &Async<TcpStream>,
    response: &[u8],
    end: End,
    part_read: &Receiver<()>,
) -> Option<()> {
    let mut buf = vec![0; 16 << 10];
    stream.read(&mut buf).await.ok()?;
    stream.write_all(response).await.ok()?;
    match end {
        End::Reset => sockopt::set_socket_linger(stream.get_ref(), Some(Duration::ZERO)).ok()?,
        End::LateReset => {
            part_read.recv().await.ok()?;
            sockopt::set_socket_linger(stream.get_ref(), Some(Duration::ZERO)).ok()?;
        }
        End::Close => {}
        End::InOrder => {
            stream.get_ref().shutdown(Shutdown::Write).ok()?;
            while stream.read(&mut buf).await.ok()? > 0 {}
        }
    }
    Some(())
}

fn upload() -> Request<Body> {
    let mut req = Request::new(Body::full(vec![b'u'; UPLOAD_BYTES]));
    *req.method_mut() = Method::POST;
    req.headers_mut().insert("host", "server".parse().unwrap());
    req
}

/// Reads a body to its end; whether it looks complete.
async fn looks_complete(body: &mut Incoming, part: usize, part_read: &Sender<()>) -> bool {
    let mut read = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        read += frame.data_ref().map_or(0, bytes::Bytes::len);
        if read == part {
            let _ = part_read.try_send(());
        }
    }
    true
}

/// Sends a long request on a connection of its own, and one through a pool; whether each response looks
/// complete.
async fn exchanges(executor: &Executor, address: SocketAddr, case: Case) -> [bool; 2] {
    let tx = &case.part_read;
    let exchange = SingleExchange::connect(executor, address, LONG).await;
    let single = match exchange.unwrap().send(upload()).await {
        Ok(mut response) => {
            let _ = (case.part == 0).then(|| tx.try_send(()));
            looks_complete(&mut response.body, case.part, tx).await
        }
        Err(_) => false,
    };
    let client = HttpClient::new(executor.clone());
    let pooled = match client.send(address, upload()).await {
        Ok(mut response) => {
            let _ = (case.part == 0).then(|| tx.try_send(()));
            looks_complete(response.body_mut(), case.part, tx).await
        }
        Err(_) => false,
    };
    [single, pooled]
}

fn early_end(framing: Framing, end: End, is_complete: bool) {
    Executor::run(2, |executor| async move {
        for part in [0, 3 << 10, 2 << 20] {
            for _ in 0..RUNS {
                let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
                let address = listener.get_ref().local_addr().unwrap();
                let (part_read, rx) = async_channel::bounded(1);
                let server = executor.spawn(serve(listener, response(framing, part), end, rx));
                let case = Case { part, part_read };
                let looks = exchanges(&executor, address, case).await;
                assert_eq!(
                    looks, [is_complete; 2],
                    "{framing:?}, {end:?}, {part} bytes"
                );
                drop(server);
            }
        }
    });
}

macro_rules! cases {
    ($($name:ident: $framing:expr, $end:expr, $is_complete:expr;)*) => {$(
        #[test]
        fn $name() {
            early_end($framing, $end, $is_complete);
        }
    )*};
}

cases! {
    a_response_until_close_that_is_reset_is_not_complete: Framing::Close, End::Reset, false;
    a_response_until_close_that_is_reset_later_is_not_complete:
        Framing::Close, End::LateReset, false;
    a_response_until_close_that_is_closed_before_the_request_is_read_is_not_complete:
        Framing::Close, End::Close, false;
    a_response_until_close_that_ends_in_order_is_complete:
        Framing::Close, End::InOrder, true;
    a_response_with_length_that_is_reset_is_not_complete: Framing::Length, End::Reset, false;
    a_response_with_length_that_is_reset_later_is_not_complete:
        Framing::Length, End::LateReset, false;
    a_response_with_length_that_is_closed_is_not_complete: Framing::Length, End::Close, false;
    a_response_with_length_that_ends_in_order_is_not_complete:
        Framing::Length, End::InOrder, false;
    a_response_in_chunks_that_is_reset_is_not_complete: Framing::Chunks, End::Reset, false;
    a_response_in_chunks_that_is_reset_later_is_not_complete:
        Framing::Chunks, End::LateReset, false;
    a_response_in_chunks_that_is_closed_is_not_complete: Framing::Chunks, End::Close, false;
    a_response_in_chunks_that_ends_in_order_is_not_complete:
        Framing::Chunks, End::InOrder, false;
}
