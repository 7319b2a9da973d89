//! Calls as callers make them, each timed from the moment that it was due.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::{AUTHORIZATION, CONTENT_LENGTH, CONTENT_TYPE, HOST, RETRY_AFTER};
use hyper::{Request, Response};
use proto::AnswerChecksum;
use runtime::{Body, Executor, HttpClient};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const DONE: &[u8] = b"data: [DONE]";
const TAIL_BYTES: usize = 64;
const KEPT_BYTES: usize = 4096;
const PIECE_BYTES: usize = 256 << 10;
const GRACE: Duration = Duration::from_secs(5);
const BYTES_PER_TOKEN: u64 = 4;

/// What to call.
#[derive(Debug, Clone)]
pub struct Call {
    /// Path.
    pub path: Box<str>,
    /// Body, as pieces.
    pub body: Vec<Bytes>,
    /// Team key.
    pub key: Option<Box<str>>,
    /// Other headers.
    pub headers: Vec<(&'static str, Box<str>)>,
    /// Time in which the answer must be whole.
    pub time_limit: Duration,
    /// Whether the answer is a stream of events that ends with `[DONE]`.
    pub stream: bool,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// The answer is whole.
    Whole,
    /// An error that says that the request did not run.
    Refused {
        /// HTTP status.
        status: u16,
        /// When to come back.
        retry_after: Option<Duration>,
        /// The error.
        reason: Box<str>,
    },
    /// An error that says that the request may have run.
    Failed {
        /// HTTP status.
        status: u16,
        /// The error.
        reason: Box<str>,
    },
    /// The answer broke off, or none came.
    Broken(Box<str>),
    /// The answer ended as if it were whole, but it is not.
    Short,
    /// No end came, even after the time limit.
    Late,
}

/// What became of a call.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// How it ended.
    pub end: End,
    /// From when it was due to the first byte of the answer's body.
    pub first_byte: Option<Duration>,
    /// Longest time between two pieces of the answer.
    pub longest_gap: Duration,
    /// Mean time between two pieces of the answer.
    pub mean_gap: Duration,
    /// From when it was due to its end.
    pub total: Duration,
    /// Bytes of the answer.
    pub bytes: u64,
    /// Checksum of the answer.
    pub checksum: u64,
    /// The start of the answer.
    pub text: Box<str>,
}

#[derive(Deserialize)]
struct ErrorBody {
    #[serde(default)]
    ran: Option<bool>,
}

#[derive(Default)]
struct Reading {
    checksum: AnswerChecksum,
    first: Option<Duration>,
    last: Option<Instant>,
    longest_gap: Duration,
    pieces: u32,
    tail: Vec<u8>,
    head: Vec<u8>,
}

impl Call {
    /// A streamed completion of a prompt of `prompt_tokens` tokens, which starts unlike others.
    pub fn completion(model: &str, seed: u64, prompt_tokens: u64, output_tokens: u64) -> Self {
        let head = format!(
            r#"{{"model":"{model}","stream":true,"max_tokens":{output_tokens},"prompt":"{seed:016x} "#
        );
        Self {
            path: "/v1/completions".into(),
            body: prompt_pieces(head, prompt_tokens * BYTES_PER_TOKEN),
            key: None,
            headers: Vec::new(),
            time_limit: Duration::from_secs(60),
            stream: true,
        }
    }

    /// A call of a plain service.
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

    /// With a team's key.
    #[must_use]
    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.into());
        self
    }

    /// With a time limit, which the caller is told of too.
    #[must_use]
    pub fn time_limit(mut self, limit: Duration) -> Self {
        self.time_limit = limit;
        let millis = limit.as_millis().to_string();
        self.headers.push(("x-time-limit-ms", millis.into()));
        self
    }

    /// With a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Makes the call, which was due at `due`.
    pub async fn run(
        self,
        executor: &Executor,
        client: &HttpClient,
        peer: SocketAddr,
        due: Instant,
    ) -> Outcome {
        let limit = self.time_limit + GRACE;
        let mut reading = Reading::default();
        let stream = self.stream;
        let work = async {
            let req = match self.request(executor, peer) {
                Ok(req) => req,
                Err(err) => return End::Broken(err.to_string().into()),
            };
            match client.send(peer, req).await {
                Ok(answer) => reading.read(answer, stream, due).await,
                Err(err) => End::Broken(err.to_string().into()),
            }
        };
        let end = runtime::timeout(limit, work).await.unwrap_or(End::Late);
        reading.outcome(end, due)
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
        let body = feed(executor, self.body);
        req.body(body)
    }
}

impl End {
    /// Whether the answer is whole.
    pub fn is_whole(&self) -> bool {
        *self == Self::Whole
    }

    /// Whether the caller was told honestly that nothing ran.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Refused { .. })
    }
}

impl Reading {
    async fn read(
        &mut self,
        answer: Response<hyper::body::Incoming>,
        stream: bool,
        due: Instant,
    ) -> End {
        let status = answer.status().as_u16();
        let retry_after = retry_after(&answer);
        let mut body = answer.into_body();
        while let Some(frame) = body.frame().await {
            match frame.map(hyper::body::Frame::into_data) {
                Ok(Ok(data)) => self.take(&data, due),
                Ok(Err(_)) => {}
                Err(err) => return End::Broken(err.to_string().into()),
            }
        }
        if (200..300).contains(&status) {
            return self.success(stream);
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

    fn take(&mut self, data: &Bytes, due: Instant) {
        if data.is_empty() {
            return;
        }
        let now = Instant::now();
        self.first.get_or_insert(now - due);
        if let Some(last) = self.last.replace(now) {
            self.longest_gap = self.longest_gap.max(now - last);
        }
        self.pieces += 1;
        self.checksum.update(data);
        let room = KEPT_BYTES.saturating_sub(self.head.len());
        self.head.extend_from_slice(&data[..data.len().min(room)]);
        self.tail
            .extend_from_slice(&data[data.len().saturating_sub(TAIL_BYTES)..]);
        let excess = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..excess);
    }

    fn success(&self, stream: bool) -> End {
        let tail = self.tail.trim_ascii_end();
        if !stream || tail.ends_with(DONE) {
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
        let spread = last.zip(self.first).map(|(last, first)| last - first);
        let gaps = self.pieces.saturating_sub(1).max(1);
        Outcome {
            end,
            first_byte: self.first,
            longest_gap: self.longest_gap,
            mean_gap: spread.unwrap_or_default() / gaps,
            total: due.elapsed(),
            bytes: self.checksum.bytes(),
            checksum: self.checksum.checksum(),
            text: String::from_utf8_lossy(&self.head).into(),
        }
    }
}

fn retry_after<T>(answer: &Response<T>) -> Option<Duration> {
    let text = answer.headers().get(RETRY_AFTER)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_secs)
}

fn prompt_pieces(head: String, bytes: u64) -> Vec<Bytes> {
    static FILLER: &[u8; PIECE_BYTES] = &[b'a'; PIECE_BYTES];
    let mut pieces = vec![Bytes::from(head)];
    let mut left = bytes as usize;
    while left > 0 {
        let length = left.min(PIECE_BYTES);
        pieces.push(Bytes::from_static(&FILLER[..length]));
        left -= length;
    }
    pieces.push(Bytes::from_static(br#""}"#));
    pieces
}

fn feed(executor: &Executor, mut pieces: Vec<Bytes>) -> Body {
    if pieces.len() <= 3 {
        return Body::full(pieces.concat());
    }
    let (tx, body) = Body::stream();
    executor.detach(async move {
        for piece in pieces.drain(..) {
            if tx.send(piece).await.is_err() {
                return;
            }
        }
    });
    body
}
