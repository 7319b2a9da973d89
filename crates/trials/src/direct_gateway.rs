//! A direct gateway that runs as a child process, and a client that sends requests to it.

use crate::binaries::Binaries;
use crate::error::TrialError;
use crate::loopback::{free_port, loopback};
use crate::process::Process;
use crate::temp_dir::TempDir;
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{Method, Request, StatusCode};
use runtime::{Body, Executor, HttpClient, HttpError, SingleExchange, SingleResponse};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

/// Host name of the routes that [`DirectRig`](crate::DirectRig) declares.
pub const RIG_HOST: &str = "desk.example";
/// Header with a backend server's checksum of its response.
pub(crate) const SEAL_HEADER: &str = "x-response-seal";
/// Header of a response which vouches that the request was not run.
pub(crate) const NOT_RUN_HEADER: &str = "x-not-executed";
/// Memory of the host in the settings of gateways, that of the smallest hosts on which they run.
pub const HOST_MEMORY_MB: u64 = 160;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time from SIGTERM to SIGKILL, where a trial sets no other.
pub const RIG_GRACE: Duration = Duration::from_secs(6);
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Times that a metrics page is asked for.
const MAX_PAGE_TRIES: usize = 10;

/// A direct gateway in a process of its own.
#[derive(Debug)]
pub struct DirectGateway {
    /// The running process.
    pub process: Process,
    name: Box<str>,
    binaries: Binaries,
    args: Vec<Box<str>>,
    log: std::path::PathBuf,
    executor: Executor,
    http: HttpClient,
    frontend_address: SocketAddr,
    readiness_address: SocketAddr,
    peer_address: SocketAddr,
    metrics_address: SocketAddr,
}

/// Head of a request that a client writes to a connection itself.
#[derive(Debug)]
pub(crate) struct PromptHead<'a> {
    pub(crate) id: &'a str,
    pub(crate) path: &'a str,
    /// Prompt tokens.
    pub(crate) prompt: u64,
    pub(crate) time_limit: Duration,
    pub(crate) body_bytes: usize,
}

impl PromptHead<'_> {
    /// Its text without the empty line at the end.
    pub(crate) fn to_text(&self) -> String {
        format!(
            "POST {} HTTP/1.1\r\nhost: {RIG_HOST}\r\nx-request-id: {}\r\nx-deadline-ms: {}\r\n\
             x-token-usage: {},400\r\nx-length-hint: 100\r\ncontent-length: {}\r\n",
            self.path,
            self.id,
            self.time_limit.as_millis(),
            self.prompt,
            self.body_bytes
        )
    }
}

/// The response that a caller received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerAnswer {
    /// HTTP status; 418 where no response came.
    pub status: StatusCode,
    /// `x-response-seal` header, the backend server's checksum of its response.
    pub seal: Option<Box<str>>,
    /// `retry-after` header, in seconds.
    pub retry_after: Option<Box<str>>,
    /// Whether the `x-not-executed` header is there: the gateway vouches that the request did not
    /// run.
    pub not_run: bool,
    /// Whether the backend server says that it leaves.
    pub is_leaving: bool,
    /// The body; absent if it was interrupted or no response came.
    pub body: Option<Bytes>,
}

impl CallerAnswer {
    /// Stands for a request that got no response.
    pub const NO_RESPONSE: Self = Self {
        status: StatusCode::IM_A_TEAPOT,
        seal: None,
        retry_after: None,
        not_run: false,
        is_leaving: false,
        body: None,
    };
}

impl DirectGateway {
    /// Starts a gateway that uses the store at `store`. `bounds` are added to the `Bounds` section
    /// of its settings file, by their names there, and `options` to its command line.
    pub fn start(
        executor: &Executor,
        directory: &TempDir,
        name: &str,
        store: SocketAddr,
        bounds: &[(&str, f64)],
        options: &[&str],
    ) -> Result<Self, TrialError> {
        Self::start_in("a", executor, directory, name, store, bounds, options)
    }

    /// As [`Self::start`], in the failure domain `domain`.
    pub fn start_in(
        domain: &str,
        executor: &Executor,
        directory: &TempDir,
        name: &str,
        store: SocketAddr,
        bounds: &[(&str, f64)],
        options: &[&str],
    ) -> Result<Self, TrialError> {
        let binaries = Binaries::find()?;
        let (frontend_address, readiness_address) = (loopback(free_port()), loopback(free_port()));
        let peer_address = loopback(free_port());
        let mut settings = format!(
            "NodeName: {name}\nIp: 127.0.0.1\nZone: {domain}\n\
             Zones:\n  a: region\n  b: region\n  c: region\nBind:\n  \
             Frontend: \"{frontend_address}\"\n  Ready: \"{readiness_address}\"\n\
             InternalPortRange:\n  - {port}\n  - {port}\n\
             Limits:\n  MemoryMb: {HOST_MEMORY_MB}\n\
             Platform:\n  Address: \"{store}\"\nBounds:\n",
            port = peer_address.port()
        );
        let grace = [("GraceS", RIG_GRACE.as_secs_f64())];
        let grace = grace
            .iter()
            .filter(|_| bounds.iter().all(|(name, _)| *name != "GraceS"));
        for (name, value) in grace.chain(bounds) {
            settings.push_str(&format!("  {name}: {value}\n"));
        }
        let settings = directory.write(&format!("{name}.yaml"), &settings)?;
        let log = directory.path().join(format!("{name}.log"));
        let metrics_address = loopback(free_port());
        let mut args: Vec<Box<str>> = vec![
            "direct".into(),
            "--settings".into(),
            settings.display().to_string().into(),
            "--metrics-port".into(),
            metrics_address.port().to_string().into(),
        ];
        args.extend(options.iter().copied().map(Box::from));
        Ok(Self {
            process: Process::start(name, &binaries.gateway, &args, log.clone())?,
            name: name.into(),
            binaries,
            args,
            log,
            executor: executor.clone(),
            http: HttpClient::new(executor.clone()),
            frontend_address,
            readiness_address,
            peer_address,
            metrics_address,
        })
    }

    /// Starts a new process with the same settings and ports. The old one must have exited.
    pub fn restart(&mut self) -> Result<(), TrialError> {
        let program = &self.binaries.gateway;
        self.process = Process::start(&self.name, program, &self.args, self.log.clone())?;
        Ok(())
    }

    /// Whether its readiness endpoint reports that it accepts requests.
    pub async fn is_ready(&self) -> bool {
        let response = self.get(self.readiness_address, "/v1/ready").await;
        response.is_some_and(|(status, _)| status == StatusCode::OK)
    }

    /// Text of the response to a readiness check; empty if it cannot be read.
    pub async fn readiness_text(&self) -> String {
        let response = self.get(self.readiness_address, "/v1/ready").await;
        response.map_or(String::new(), |(_, body)| {
            String::from_utf8_lossy(&body).into_owned()
        })
    }

    /// Text of its metrics page, which is asked for again where none comes in time. An error if its address
    /// refuses connections, or if no page comes at all.
    pub async fn metrics(&self) -> Result<String, TrialError> {
        let mut tries = 0;
        loop {
            tries += 1;
            let reason: Box<str> = match self.fetch(self.metrics_address, "/metrics").await {
                Ok((StatusCode::OK, page)) => return Ok(String::from_utf8_lossy(&page).into()),
                Ok((status, _)) => status.to_string().into(),
                Err(err) if tries == MAX_PAGE_TRIES || is_refused(&err) => err.to_string().into(),
                Err(_) => continue,
            };
            let name = self.name.clone();
            return Err(TrialError::Process(name, "read the metrics of", reason));
        }
    }

    /// Returns a client of the gateway's address, which stays valid across restarts.
    pub fn caller(&self) -> DirectCaller {
        DirectCaller {
            executor: self.executor.clone(),
            address: self.frontend_address,
            prompt_parts: Box::default(),
            body: None,
        }
    }

    /// Address at which it listens for callers.
    pub fn frontend_address(&self) -> SocketAddr {
        self.frontend_address
    }

    /// Address at which it listens for links of other gateways.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Address of its readiness endpoint.
    pub fn readiness_address(&self) -> SocketAddr {
        self.readiness_address
    }

    async fn get(&self, address: SocketAddr, path: &'static str) -> Option<(StatusCode, Bytes)> {
        self.fetch(address, path).await.ok()
    }

    async fn fetch(
        &self,
        address: SocketAddr,
        path: &'static str,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let mut req = Request::new(Body::empty());
        *req.uri_mut() = hyper::Uri::from_static(path);
        let response = self
            .http
            .fetch(address, req, MAX_RESPONSE_BYTES, CONNECT_TIMEOUT);
        response.await
    }
}

fn is_refused(err: &HttpError) -> bool {
    matches!(err, HttpError::Connect(_, err) if err.kind() == ErrorKind::ConnectionRefused)
}

/// A client that sends requests to a gateway, each on a new connection.
#[derive(Debug, Clone)]
pub struct DirectCaller {
    executor: Executor,
    address: SocketAddr,
    prompt_parts: Box<str>,
    body: Option<Box<str>>,
}

impl DirectCaller {
    /// Names these parts of the prompt in all requests, as `id:tokens` separated by commas.
    pub fn with_prompt_parts(mut self, parts: &str) -> Self {
        self.prompt_parts = parts.into();
        self
    }

    /// Sends this body in all requests, instead of one that differs by the request's id.
    pub fn with_body(mut self, body: &str) -> Self {
        self.body = Some(body.into());
        self
    }

    /// Sends a request and reads the whole response. `prompt` is the number of prompt tokens stated
    /// in the request's headers.
    pub async fn call(&self, id: &str, path: &str, key: Option<&str>, prompt: u64) -> CallerAnswer {
        match self.start_call(id, path, key, prompt).await {
            Ok(response) => Self::read_answer(response).await,
            Err(_) => CallerAnswer::NO_RESPONSE,
        }
    }

    /// As [`Self::call`]; an error if the connection is refused, so that nothing is sent.
    pub async fn call_if_connected(
        &self,
        id: &str,
        path: &str,
        key: Option<&str>,
        prompt: u64,
    ) -> Result<CallerAnswer, HttpError> {
        let exchange =
            SingleExchange::connect(&self.executor, self.address, CONNECT_TIMEOUT).await?;
        let response = exchange.send(self.request(id, path, key, prompt)).await;
        Ok(match response {
            Ok(response) => Self::read_answer(response).await,
            Err(_) => CallerAnswer::NO_RESPONSE,
        })
    }

    async fn read_answer(response: SingleResponse) -> CallerAnswer {
        let text = |name: &str| {
            let value = response.head.headers.get(name)?;
            value.to_str().ok().map(Box::from)
        };
        CallerAnswer {
            status: response.head.status,
            seal: text("x-response-seal"),
            retry_after: text("retry-after"),
            not_run: text("x-not-executed").is_some(),
            is_leaving: text("server-leaving").is_some(),
            body: response
                .body
                .collect()
                .await
                .ok()
                .map(http_body_util::Collected::to_bytes),
        }
    }

    /// Sends a request and returns the response as soon as its head is there, with the body unread.
    pub async fn start_call(
        &self,
        id: &str,
        path: &str,
        key: Option<&str>,
        prompt: u64,
    ) -> Result<SingleResponse, HttpError> {
        let exchange =
            SingleExchange::connect(&self.executor, self.address, CONNECT_TIMEOUT).await?;
        exchange.send(self.request(id, path, key, prompt)).await
    }

    fn request(&self, id: &str, path: &str, key: Option<&str>, prompt: u64) -> Request<Body> {
        let mut req = request(id, path, key, prompt);
        if let Some(body) = &self.body {
            *req.body_mut() = Body::full(body.to_string());
        }
        if let Ok(parts) = self.prompt_parts.parse() {
            req.headers_mut().insert("x-prompt-prefix", parts);
        }
        req
    }
}

fn request(id: &str, path: &str, key: Option<&str>, prompt: u64) -> Request<Body> {
    let mut req = Request::new(Body::full(format!("body of {id}")));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = path.parse().unwrap_or_default();
    let key = key.map(|key| ("authorization", format!("Token {key}")));
    let headers = [
        ("host", RIG_HOST.to_owned()),
        ("x-request-id", id.to_owned()),
        ("x-deadline-ms", "8000".to_owned()),
        ("x-token-usage", format!("{prompt},400")),
        ("x-length-hint", "100".to_owned()),
        ("x-tenant-id", "forged".to_owned()),
    ];
    for (name, value) in headers.into_iter().chain(key) {
        if let Ok(value) = value.parse() {
            req.headers_mut().insert(name, value);
        }
    }
    req
}
