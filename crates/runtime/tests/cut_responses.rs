//! Streamed responses whose writer goes away, aborts them, or ends them.

use bytes::Bytes;
use hyper::{Request, Response};
use runtime::{
    Body, Executor, HttpLimits, HttpServer, RequestBody, Responder, ShutdownSignal, offload,
};
use slog::{Discard, Logger, o};
use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

const PART: &str = "id: 0\ndata: a\n\n";

/// Writes a part of a body and ends it as the path says.
struct Parts;

impl Responder for Parts {
    async fn respond(&self, _: SocketAddr, req: Request<RequestBody>) -> Response<Body> {
        let part = Bytes::from_static(PART.as_bytes());
        let (kind, end) = req.uri().path()[1..].split_once('/').unwrap();
        if kind == "buffered" {
            let (writer, body) = Body::buffered_stream();
            writer.push(part, None).unwrap();
            match end {
                "finished" => writer.finish(),
                "aborted" => writer.abort("aborted"),
                _ => drop(writer),
            }
            return Response::new(body);
        }
        let (tx, body) = Body::stream();
        tx.send(part).await.unwrap();
        match end {
            "finished" => tx.finish().await,
            "aborted" => tx.abort("aborted").await,
            _ => drop(tx),
        }
        Response::new(body)
    }
}

/// Response to a request of this version, up to the end of the connection.
fn response(address: SocketAddr, path: &str, version: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    let request = format!("GET {path} HTTP/{version}\r\nhost: a\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

fn respond(path: &'static str, version: &'static str, check: fn(io::Result<String>)) {
    Executor::run(2, |executor| async move {
        let log = Logger::root(Discard, o!());
        let bound = HttpServer::bind(([127, 0, 0, 1], 0).into(), HttpLimits::default(), log);
        let server = bound.unwrap();
        let address = server.local_addr().unwrap();
        let shutdown = ShutdownSignal::default();
        executor.detach(server.serve(executor.clone(), Arc::new(Parts), None, shutdown));
        check(offload(move || response(address, path, version)).await);
    });
}

/// In chunks, the last of which is empty.
fn is_whole_in_chunks(response: io::Result<String>) {
    let text = response.unwrap();
    assert!(
        text.contains(PART) && text.ends_with("\r\n0\r\n\r\n"),
        "{text}"
    );
}

fn is_cut_in_chunks(response: io::Result<String>) {
    let is_cut = response
        .as_ref()
        .map_or(true, |text| !text.ends_with("0\r\n\r\n"));
    assert!(is_cut, "{response:?}");
}

fn is_whole_until_close(response: io::Result<String>) {
    assert!(response.unwrap().ends_with(PART));
}

/// Nothing but a reset tells that a response until the end of the connection is not whole.
fn is_reset(response: io::Result<String>) {
    let kind = response.as_ref().map_err(io::Error::kind);
    assert_eq!(kind, Err(io::ErrorKind::ConnectionReset));
}

macro_rules! cases {
    ($($name:ident: $path:expr, $version:expr => $check:expr;)*) => {$(
        #[test]
        fn $name() {
            respond($path, $version, $check);
        }
    )*};
}

cases! {
    a_finished_buffer_is_whole: "/buffered/finished", "1.1" => is_whole_in_chunks;
    an_aborted_buffer_is_cut: "/buffered/aborted", "1.1" => is_cut_in_chunks;
    a_buffer_whose_writer_is_dropped_is_cut: "/buffered/dropped", "1.1" => is_cut_in_chunks;
    a_finished_stream_is_whole: "/stream/finished", "1.1" => is_whole_in_chunks;
    an_aborted_stream_is_cut: "/stream/aborted", "1.1" => is_cut_in_chunks;
    a_stream_whose_sender_is_dropped_is_cut: "/stream/dropped", "1.1" => is_cut_in_chunks;
}

cases! {
    a_finished_buffer_of_http_1_0_is_whole: "/buffered/finished", "1.0" => is_whole_until_close;
    an_aborted_buffer_of_http_1_0_is_reset: "/buffered/aborted", "1.0" => is_reset;
    a_buffer_of_http_1_0_whose_writer_is_dropped_is_reset: "/buffered/dropped", "1.0" => is_reset;
    a_finished_stream_of_http_1_0_is_whole: "/stream/finished", "1.0" => is_whole_until_close;
    an_aborted_stream_of_http_1_0_is_reset: "/stream/aborted", "1.0" => is_reset;
    a_stream_of_http_1_0_whose_sender_is_dropped_is_reset: "/stream/dropped", "1.0" => is_reset;
}
