//! Clients of a soak, which see when a gateway takes a request and how its connection ends.

use crate::direct_gateway::{NOT_RUN_HEADER, PromptHead, SEAL_HEADER};
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::io::{AsyncReadExt as _, AsyncWriteExt as _};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time beyond the limit of its request for which a client waits: the half second that the rules give a gateway, and
/// what a busy machine adds.
const PATIENCE: Duration = Duration::from_secs(2);
/// Header of a response whose backend server says that it leaves.
const LEAVING_HEADER: &str = "server-leaving";
const BUFFER_BYTES: usize = 16 << 10;

/// A request that a client sends.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// Request id header.
    pub id: String,
    /// Path, which begins with the name of its route.
    pub path: String,
    /// API key; empty for none.
    pub key: String,
    /// Prompt tokens.
    pub prompt: u64,
    /// Event after which a stream goes on.
    pub last_event_id: Option<u64>,
    /// Time limit that the request states.
    pub time_limit: Duration,
}

/// How a request ended for its client.
#[derive(Debug, Clone)]
pub enum Ending {
    /// No connection was opened.
    NotConnected,
    /// The connection ended before the request was written.
    NotSent,
    /// A response that is complete by its own framing.
    Answered(ClientResponse),
    /// The connection ended before that.
    Closed(PartialResponse),
    /// The client left some time after its time limit.
    TimedOut(PartialResponse),
}

/// What was received of a response that is not complete.
#[derive(Debug, Clone, Default)]
pub struct PartialResponse {
    /// Status, if the head was received.
    pub status: Option<u16>,
    /// The backend server's checksum, if the head was received.
    pub seal: Option<Box<str>>,
    /// Whether the backend server says that it leaves.
    pub is_leaving: bool,
    /// Content of the body so far.
    pub body: Vec<u8>,
}

/// A complete response.
#[derive(Debug, Clone, Default)]
pub struct ClientResponse {
    /// HTTP status.
    pub status: u16,
    /// The backend server's checksum, in lower case.
    pub seal: Option<Box<str>>,
    /// Whether the backend server says that it leaves.
    pub is_leaving: bool,
    /// Whether the gateway vouches that the request did not run.
    pub is_not_run: bool,
    /// Seconds of the `retry-after` header.
    pub retry_after: Option<f64>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the gateway closes the connection after it.
    pub closes: bool,
}

/// A request that has ended.
#[derive(Debug, Clone)]
pub struct ClientCall {
    /// What was sent.
    pub request: ClientRequest,
    /// Index of the gateway.
    pub gateway: usize,
    /// Whether the connection had carried a request before.
    pub is_kept: bool,
    /// When its connection was open.
    pub connected_at: Instant,
    /// When its last byte was written.
    pub sent_at: Instant,
    /// When the client knew how it ended.
    pub ended_at: Instant,
    /// How it ended.
    pub ending: Ending,
}

impl ClientCall {
    pub(crate) fn status(&self) -> Option<u16> {
        match &self.ending {
            Ending::Answered(response) => Some(response.status),
            Ending::Closed(part) | Ending::TimedOut(part) => part.status,
            _ => None,
        }
    }

    /// Checksum of the backend server that said with the response that it leaves.
    pub(crate) fn leaving_seal(&self) -> Option<&str> {
        let (seal, is_leaving) = match &self.ending {
            Ending::Answered(response) => (&response.seal, response.is_leaving),
            Ending::Closed(part) | Ending::TimedOut(part) => (&part.seal, part.is_leaving),
            _ => return None,
        };
        seal.as_deref().filter(|_| is_leaving)
    }

    /// Whether a complete response with a success status came.
    pub(crate) fn is_served(&self) -> bool {
        self.answer()
            .is_some_and(|response| response.status / 100 == 2)
    }

    pub(crate) fn answer(&self) -> Option<&ClientResponse> {
        match &self.ending {
            Ending::Answered(response) => Some(response),
            _ => None,
        }
    }
}

/// A client of one gateway.
#[derive(Debug)]
pub(crate) struct Client {
    gateway: usize,
    address: SocketAddr,
    patience: Duration,
    /// Time between two parts of a request.
    write_pause: Duration,
    /// Time between two reads of a response.
    read_pause: Duration,
    kept: Option<Async<TcpStream>>,
}

impl Client {
    pub(crate) fn new(gateway: usize, address: SocketAddr) -> Self {
        Self {
            gateway,
            address,
            patience: PATIENCE,
            write_pause: Duration::ZERO,
            read_pause: Duration::ZERO,
            kept: None,
        }
    }

    /// Waits for `patience` beyond the limit of each request.
    pub(crate) fn with_patience(mut self, patience: Duration) -> Self {
        self.patience = patience;
        self
    }

    /// Pauses between the parts of each request, and between the reads of each response.
    pub(crate) fn with_pauses(mut self, write: Duration, read: Duration) -> Self {
        self.write_pause = write;
        self.read_pause = read;
        self
    }

    /// Opens the connection of the next request, if none is kept.
    pub(crate) async fn open(&mut self) {
        if self.kept.is_none() {
            self.kept = connect(self.address).await;
        }
    }

    pub(crate) fn gateway(&self) -> usize {
        self.gateway
    }

    /// Closes the kept connection, so that the next request opens one.
    pub(crate) fn disconnect(&mut self) {
        self.kept = None;
    }

    /// Sends a request, on the kept connection if there is one, and waits for its end.
    pub(crate) async fn call(&mut self, request: ClientRequest) -> ClientCall {
        let started_at = Instant::now();
        let is_kept = self.kept.is_some();
        let mut call = ClientCall {
            request,
            gateway: self.gateway,
            is_kept,
            connected_at: started_at,
            sent_at: started_at,
            ended_at: started_at,
            ending: Ending::NotConnected,
        };
        let stream = match self.kept.take() {
            Some(stream) => Some(stream),
            None => connect(self.address).await,
        };
        if let Some(mut stream) = stream {
            call.connected_at = Instant::now();
            let bytes = encode(&call.request);
            if write(&mut stream, &bytes, self.write_pause).await.is_err() {
                call.ending = Ending::NotSent;
            } else {
                call.sent_at = Instant::now();
                call.ending = receive(
                    &mut stream,
                    call.request.time_limit + self.patience,
                    self.read_pause,
                )
                .await;
                let keep = call.answer().is_some_and(|response| !response.closes);
                self.kept = keep.then_some(stream);
            }
        }
        call.ended_at = Instant::now();
        call
    }
}

async fn connect(address: SocketAddr) -> Option<Async<TcpStream>> {
    let connect = Async::<TcpStream>::connect(address);
    let stream = runtime::timeout(CONNECT_TIMEOUT, connect)
        .await
        .ok()?
        .ok()?;
    let _ = stream.get_ref().set_nodelay(true);
    Some(stream)
}

fn encode(req: &ClientRequest) -> Vec<u8> {
    let body = format!("body of {}", req.id);
    let head = PromptHead {
        id: &req.id,
        path: &req.path,
        prompt: req.prompt,
        time_limit: req.time_limit,
        body_bytes: body.len(),
    };
    let mut head = head.to_text();
    if !req.key.is_empty() {
        head.push_str(&format!("authorization: Token {}\r\n", req.key));
    }
    if let Some(id) = req.last_event_id {
        head.push_str(&format!("last-event-id: {id}\r\n"));
    }
    format!("{head}\r\n{body}").into_bytes()
}

/// Writes a request, in two parts if there is a pause.
async fn write(stream: &mut Async<TcpStream>, bytes: &[u8], pause: Duration) -> io::Result<()> {
    let (first, rest) = bytes.split_at(bytes.len() / 2);
    if pause.is_zero() {
        return stream.write_all(bytes).await;
    }
    stream.write_all(first).await?;
    Timer::after(pause).await;
    stream.write_all(rest).await
}

async fn receive(stream: &mut Async<TcpStream>, limit: Duration, pause: Duration) -> Ending {
    let mut received = Received::default();
    let read = async {
        let mut buf = vec![0; BUFFER_BYTES];
        loop {
            match stream.read(&mut buf).await {
                Ok(0) => return Some(received.on_end()),
                Ok(count) => received.bytes.extend_from_slice(&buf[..count]),
                Err(_) => return Some(Ending::Closed(received.partial())),
            }
            if let Some(response) = received.response() {
                return Some(Ending::Answered(response));
            }
            if !pause.is_zero() {
                Timer::after(pause).await;
            }
        }
    };
    let left = async {
        Timer::after(limit).await;
        None
    };
    let ending = or(read, left).await;
    ending.unwrap_or_else(|| Ending::TimedOut(received.partial()))
}

/// Bytes of a response so far.
#[derive(Debug, Default)]
struct Received {
    bytes: Vec<u8>,
}

#[derive(Debug, Default)]
struct Head {
    response: ClientResponse,
    length: Option<usize>,
    is_chunked: bool,
    body_at: usize,
}

impl Received {
    fn head(&self) -> Option<Head> {
        let mut start = 0;
        loop {
            let rest = &self.bytes[start..];
            let end = start + rest.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
            let text = String::from_utf8_lossy(&self.bytes[start..end]).to_ascii_lowercase();
            let head = parse_head(&text, end);
            if !(100..200).contains(&head.response.status) {
                return Some(head);
            }
            start = end;
        }
    }

    fn partial(&self) -> PartialResponse {
        let Some(head) = self.head() else {
            return PartialResponse::default();
        };
        let bytes = &self.bytes[head.body_at..];
        let body = if head.is_chunked {
            decode_chunks(bytes).0
        } else {
            bytes.to_vec()
        };
        PartialResponse {
            status: Some(head.response.status),
            seal: head.response.seal,
            is_leaving: head.response.is_leaving,
            body,
        }
    }

    /// The response, once its framing says that it is complete.
    fn response(&self) -> Option<ClientResponse> {
        let head = self.head()?;
        let bytes = &self.bytes[head.body_at..];
        let body = if head.is_chunked {
            let (body, is_complete) = decode_chunks(bytes);
            is_complete.then_some(body)?
        } else {
            bytes.get(..head.length?)?.to_vec()
        };
        Some(ClientResponse {
            body,
            ..head.response
        })
    }

    /// What an orderly end of the connection means: it completes only a body without any framing.
    fn on_end(&self) -> Ending {
        match self.head() {
            Some(head) if !head.is_chunked && head.length.is_none() => {
                let body = self.bytes[head.body_at..].to_vec();
                let closes = true;
                Ending::Answered(ClientResponse {
                    body,
                    closes,
                    ..head.response
                })
            }
            _ => Ending::Closed(self.partial()),
        }
    }
}

fn parse_head(text: &str, body_at: usize) -> Head {
    let mut lines = text.split("\r\n");
    let status = lines.next().and_then(|line| line.split(' ').nth(1));
    let mut head = Head {
        body_at,
        ..Head::default()
    };
    head.response.status = status
        .and_then(|text| text.parse().ok())
        .unwrap_or_default();
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let value = value.trim();
        match name {
            "content-length" => head.length = value.parse().ok(),
            "transfer-encoding" => head.is_chunked = value.contains("chunked"),
            "connection" => head.response.closes = value.contains("close"),
            "retry-after" => head.response.retry_after = value.parse().ok(),
            SEAL_HEADER => head.response.seal = Some(value.into()),
            LEAVING_HEADER => head.response.is_leaving = true,
            NOT_RUN_HEADER => head.response.is_not_run = true,
            _ => {}
        }
    }
    head
}

/// The content of a chunked body so far, and whether it is complete.
fn decode_chunks(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some((size, rest)) = chunk_size(bytes) {
        if size == 0 {
            return (body, rest.starts_with(b"\r\n"));
        }
        body.extend_from_slice(&rest[..size.min(rest.len())]);
        bytes = rest.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}

/// Size of the first chunk, and the bytes after its size.
fn chunk_size(bytes: &[u8]) -> Option<(usize, &[u8])> {
    let line = bytes.windows(2).position(|pair| pair == b"\r\n")?;
    let size = std::str::from_utf8(&bytes[..line]).ok()?;
    let size = usize::from_str_radix(size.trim(), 16).ok()?;
    Some((size, bytes.get(line + 2..)?))
}
