//! A caller's HTTP requests, each timed from the moment at which it was due.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::{AUTHORIZATION, CONTENT_LENGTH, CONTENT_TYPE, HOST, RETRY_AFTER};
use hyper::{Request, Response};
use proto::AnswerChecksum;
use runtime::{Body, Executor, HttpClient};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const END_MARKER: &[u8] = b"data: [DONE]";
const TAIL_BYTES: usize = 64;
const HEAD_BYTES: usize = 4096;
const CHUNK_BYTES: usize = 256 << 10;
const GRACE: Duration = Duration::from_secs(5);
const BYTES_PER_TOKEN: u64 = 4;

/// An HTTP request of a caller.
#[derive(Debug, Clone)]
pub struct Call {
    /// Path of the URL.
    pub path: Box<str>,
    /// Body, as chunks that are sent one after another.
    pub body: Vec<Bytes>,
    /// API key of the team; absent for a request without one.
    pub key: Option<Box<str>>,
    /// Additional headers.
    pub headers: Vec<(&'static str, Box<str>)>,
    /// Time within which the response must be complete.
    pub time_limit: Duration,
    /// Whether the response is a stream of events that ends with `[DONE]`.
    pub stream: bool,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// The response is complete.
    Whole,
    /// An error that states that the request did not run.
    Refused {
        /// HTTP status.
        status: u16,
        /// Delay after which the caller may retry; absent if the error states none.
        retry_after: Option<Duration>,
        /// The error.
        reason: Box<str>,
    },
    /// An error that does not rule out that the request ran.
    Failed {
        /// HTTP status.
        status: u16,
        /// The error.
        reason: Box<str>,
    },
    /// The response was interrupted, or none came; with the error of the connection.
    Broken(Box<str>),
    /// The stream ended without an error, but also without its end marker.
    Short,
    /// The response did not end within the time limit and a grace period.
    Late,
}

/// Result of a request, with its timings.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// How the request ended.
    pub end: End,
    /// Time from the due time to the first byte of the response body; absent if there was none.
    pub first_byte: Option<Duration>,
    /// Longest time between two chunks of the response.
    pub longest_gap: Duration,
    /// Mean time between two chunks of the response.
    pub mean_gap: Duration,
    /// Time from the due time to the end.
    pub total: Duration,
    /// Size of the response body.
    pub bytes: u64,
    /// Checksum of the response body.
    pub checksum: u64,
    /// Start of the response body, as text.
    pub text: Box<str>,
}

#[derive(Deserialize)]
struct ErrorBody {
    #[serde(default)]
    ran: Option<bool>,
}

#[derive(Default)]
struct ResponseReader {
    checksum: AnswerChecksum,
    first: Option<Duration>,
    last: Option<Instant>,
    longest_gap: Duration,
    chunks: u32,
    tail: Vec<u8>,
    head: Vec<u8>,
}

impl Call {
    /// A streamed completion of a prompt of `prompt_tokens` tokens. The prompt starts with the
    /// seed, so that prompts of different seeds share no prefix.
    pub fn completion(model: &str, seed: u64, prompt_tokens: u64, output_tokens: u64) -> Self {
        let head = format!(
            r#"{{"model":"{model}","stream":true,"max_tokens":{output_tokens},"prompt":"{seed:016x} "#
        );
        Self {
            path: "/v1/completions".into(),
            body: prompt_chunks(head, prompt_tokens * BYTES_PER_TOKEN),
            key: None,
            headers: Vec::new(),
            time_limit: Duration::from_secs(60),
            stream: true,
        }
    }

    /// A request to a plain service.
    pub fn plain(path: &str, body: &str) -> Self {
        Self {
            path: path.into(),
            body: vec![Bytes::copy_from_slice(body.as_bytes())],
            key: None,
            headers: Vec::new(),
            time_limit: Duration::from_secs(10),
            stream: false,
        }
    }

    /// Sets the team's API key.
    #[must_use]
    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Sets the time limit and sends it to the gateway in the header `x-time-limit-ms`.
    #[must_use]
    pub fn time_limit(mut self, limit: Duration) -> Self {
        self.time_limit = limit;
        let millis = limit.as_millis().to_string();
        self.headers.push(("x-time-limit-ms", millis.into()));
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sends the request to `peer` and reads the response. Timings start at `due`.
    pub async fn run(
        self,
        executor: &Executor,
        client: &HttpClient,
        peer: SocketAddr,
        due: Instant,
    ) -> Outcome {
        let limit = self.time_limit + GRACE;
        let mut reader = ResponseReader::default();
        let stream = self.stream;
        let exchange = async {
            let req = match self.request(executor, peer) {
                Ok(req) => req,
                Err(err) => return End::Broken(err.to_string().into()),
            };
            match client.send(peer, req).await {
                Ok(response) => reader.read(response, stream, due).await,
                Err(err) => End::Broken(err.to_string().into()),
            }
        };
        let end = runtime::timeout(limit, exchange).await.unwrap_or(End::Late);
        reader.outcome(end, due)
    }

    fn request(
        self,
        executor: &Executor,
        peer: SocketAddr,
    ) -> Result<Request<Body>, hyper::http::Error> {
        let length: usize = self.body.iter().map(Bytes::len).sum();
        let mut req = Request::post(&*self.path)
            .header(HOST, peer.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(CONTENT_LENGTH, length);
        if let Some(key) = &self.key {
            req = req.header(AUTHORIZATION, format!("Bearer {key}"));
        }
        for (name, value) in &self.headers {
            req = req.header(*name, &**value);
        }
        let body = chunked_body(executor, self.body);
        req.body(body)
    }
}

impl End {
    /// Whether the response is complete.
    pub fn is_whole(&self) -> bool {
        *self == Self::Whole
    }

    /// Whether an error stated that the request did not run.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Refused { .. })
    }
}

impl ResponseReader {
    async fn read(
        &mut self,
        response: Response<hyper::body::Incoming>,
        stream: bool,
        due: Instant,
    ) -> End {
        let status = response.status().as_u16();
        let retry_after = retry_after(&response);
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            match frame.map(hyper::body::Frame::into_data) {
                Ok(Ok(data)) => self.record_chunk(&data, due),
                Ok(Err(_)) => {}
                Err(err) => return End::Broken(err.to_string().into()),
            }
        }
        if (200..300).contains(&status) {
            return self.end_of_success(stream);
        }
        let reason = String::from_utf8_lossy(&self.head).into();
        match serde_json::from_slice(&self.head) {
            Ok(ErrorBody { ran: Some(false) }) => End::Refused {
                status,
                retry_after,
                reason,
            },
            _ => End::Failed { status, reason },
        }
    }

    fn record_chunk(&mut self, data: &Bytes, due: Instant) {
        if data.is_empty() {
            return;
        }
        let now = Instant::now();
        self.first.get_or_insert(now - due);
        if let Some(last) = self.last.replace(now) {
            self.longest_gap = self.longest_gap.max(now - last);
        }
        self.chunks += 1;
        self.checksum.update(data);
        let room = HEAD_BYTES.saturating_sub(self.head.len());
        self.head.extend_from_slice(&data[..data.len().min(room)]);
        self.tail
            .extend_from_slice(&data[data.len().saturating_sub(TAIL_BYTES)..]);
        let excess = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..excess);
    }

    fn end_of_success(&self, stream: bool) -> End {
        let tail = self.tail.trim_ascii_end();
        if !stream || tail.ends_with(END_MARKER) {
            return End::Whole;
        }
        let text = String::from_utf8_lossy(tail);
        match text.find("error") {
            Some(_) => End::Failed {
                status: 200,
                reason: text.into(),
            },
            None => End::Short,
        }
    }

    fn outcome(self, end: End, due: Instant) -> Outcome {
        let last = self.last.map(|last| last - due);
        let body_time = last.zip(self.first).map(|(last, first)| last - first);
        let gaps = self.chunks.saturating_sub(1).max(1);
        Outcome {
            end,
            first_byte: self.first,
            longest_gap: self.longest_gap,
            mean_gap: body_time.unwrap_or_default() / gaps,
            total: due.elapsed(),
            bytes: self.checksum.bytes(),
            checksum: self.checksum.checksum(),
            text: String::from_utf8_lossy(&self.head).into(),
        }
    }
}

fn retry_after<T>(response: &Response<T>) -> Option<Duration> {
    let text = response.headers().get(RETRY_AFTER)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_secs)
}

fn prompt_chunks(head: String, bytes: u64) -> Vec<Bytes> {
    static FILLER: &[u8; CHUNK_BYTES] = &[b'a'; CHUNK_BYTES];
    let mut chunks = vec![Bytes::from(head)];
    let mut left = bytes as usize;
    while left > 0 {
        let length = left.min(CHUNK_BYTES);
        chunks.push(Bytes::from_static(&FILLER[..length]));
        left -= length;
    }
    chunks.push(Bytes::from_static(br#""}"#));
    chunks
}

fn chunked_body(executor: &Executor, mut chunks: Vec<Bytes>) -> Body {
    if chunks.len() <= 3 {
        return Body::full(chunks.concat());
    }
    let (tx, body) = Body::stream();
    executor.detach(async move {
        for chunk in chunks.drain(..) {
            if tx.send(chunk).await.is_err() {
                return;
            }
        }
        tx.finish().await;
    });
    body
}
