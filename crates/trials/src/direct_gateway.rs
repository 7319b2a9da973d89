//! A process of a direct gateway, with what callers do to it.

use crate::binaries::Binaries;
use crate::error::TrialError;
use crate::process::Process;
use crate::temp_dir::TempDir;
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{Method, Request, StatusCode};
use runtime::{Body, Executor, HttpClient, HttpError, SingleExchange, SingleResponse};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Host name of the routes that rigs declare.
pub const RIG_HOST: &str = "desk.example";
const CONNECT_TIME: Duration = Duration::from_secs(2);
const ANSWER_BYTES: usize = 1 << 20;

/// A gateway.
#[derive(Debug)]
pub struct DirectGateway {
    /// The process.
    pub process: Process,
    name: Box<str>,
    binaries: Binaries,
    args: Vec<Box<str>>,
    log: std::path::PathBuf,
    executor: Executor,
    http: HttpClient,
    callers: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerAnswer {
    /// Status.
    pub status: StatusCode,
    /// Checksum of the server.
    pub seal: Option<Box<str>>,
    /// When to come back.
    pub retry_after: Option<Box<str>>,
    /// Whether the answer says that the request has not run.
    pub not_run: bool,
    /// The body; none where it broke off.
    pub body: Option<Bytes>,
}

impl CallerAnswer {
    /// No answer at all.
    pub const NO_RESPONSE: Self = Self {
        status: StatusCode::IM_A_TEAPOT,
        seal: None,
        retry_after: None,
        not_run: false,
        body: None,
    };
}

impl DirectGateway {
    /// Starts a gateway that finds the store at an address, with bounds of its own by the names
    /// of the settings file.
    pub fn start(
        executor: &Executor,
        directory: &TempDir,
        name: &str,
        store: SocketAddr,
        bounds: &[(&str, f64)],
    ) -> Result<Self, TrialError> {
        let binaries = Binaries::find()?;
        let (callers, ready) = (loopback(free_port()), loopback(free_port()));
        let mut settings = settings(name, callers, ready, store);
        for (name, value) in bounds {
            settings.push_str(&format!("  {name}: {value}\n"));
        }
        let settings = directory.write(&format!("{name}.yaml"), &settings)?;
        let log = directory.path().join(format!("{name}.log"));
        let metrics = loopback(free_port());
        let args: Vec<Box<str>> = vec![
            "direct".into(),
            "--settings".into(),
            settings.display().to_string().into(),
            "--metrics-port".into(),
            metrics.port().to_string().into(),
        ];
        Ok(Self {
            process: Process::start(name, &binaries.gateway, &args, log.clone())?,
            name: name.into(),
            binaries,
            args,
            log,
            executor: executor.clone(),
            http: HttpClient::new(executor.clone()),
            callers,
            ready,
            metrics,
        })
    }

    /// Starts it again with the same settings, once its process has ended.
    pub fn restart(&mut self) -> Result<(), TrialError> {
        let program = &self.binaries.gateway;
        self.process = Process::start(&self.name, program, &self.args, self.log.clone())?;
        Ok(())
    }

    /// Whether it says that it takes callers.
    pub async fn is_ready(&self) -> bool {
        let answer = self.get(self.ready, "/v1/ready").await;
        answer.is_some_and(|(status, _)| status == StatusCode::OK)
    }

    /// The metrics as text.
    pub async fn metrics(&self) -> String {
        let answer = self.get(self.metrics, "/metrics").await;
        answer.map_or(String::new(), |(_, body)| {
            String::from_utf8_lossy(&body).into_owned()
        })
    }

    /// A caller of it, which may outlive this process.
    pub fn caller(&self) -> DirectCaller {
        DirectCaller {
            executor: self.executor.clone(),
            address: self.callers,
        }
    }

    async fn get(&self, address: SocketAddr, path: &'static str) -> Option<(StatusCode, Bytes)> {
        let mut req = Request::new(Body::empty());
        *req.uri_mut() = hyper::Uri::from_static(path);
        let answer = self.http.fetch(address, req, ANSWER_BYTES, CONNECT_TIME);
        answer.await.ok()
    }
}

/// A caller of a gateway.
#[derive(Debug, Clone)]
pub struct DirectCaller {
    executor: Executor,
    address: SocketAddr,
}

impl DirectCaller {
    /// Sends a request and reads its answer to the end.
    pub async fn call(&self, id: &str, path: &str, key: Option<&str>, prompt: u64) -> CallerAnswer {
        let Ok(answer) = self.start_call(id, path, key, prompt).await else {
            return CallerAnswer::NO_RESPONSE;
        };
        let text = |name: &str| {
            let value = answer.head.headers.get(name)?;
            value.to_str().ok().map(Box::from)
        };
        CallerAnswer {
            status: answer.head.status,
            seal: text("x-response-seal"),
            retry_after: text("retry-after"),
            not_run: text("x-not-executed").is_some(),
            body: answer
                .body
                .collect()
                .await
                .ok()
                .map(http_body_util::Collected::to_bytes),
        }
    }

    /// Sends a request and gives its answer while the body still comes.
    pub async fn start_call(
        &self,
        id: &str,
        path: &str,
        key: Option<&str>,
        prompt: u64,
    ) -> Result<SingleResponse, HttpError> {
        let exchange = SingleExchange::connect(&self.executor, self.address, CONNECT_TIME).await?;
        exchange.send(request(id, path, key, prompt)).await
    }
}

/// An address of this machine.
pub fn loopback(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
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

/// A port that is free for TCP and UDP. It lies below those that the system gives to outgoing
/// connections, and is given once by this process, so that nothing takes it before its gateway.
fn free_port() -> u16 {
    static GIVEN: AtomicU32 = AtomicU32::new(0);
    const FIRST: u32 = 10_000;
    const COUNT: u32 = 20_000;
    const APART: u32 = 331;
    let own = std::process::id().wrapping_mul(APART);
    let ports = (0..COUNT).map(|_| {
        let next = own.wrapping_add(GIVEN.fetch_add(1, Ordering::Relaxed));
        (FIRST + next % COUNT) as u16
    });
    let is_free = |port: &u16| {
        TcpListener::bind(loopback(*port)).is_ok() && UdpSocket::bind(loopback(*port)).is_ok()
    };
    ports.into_iter().find(is_free).unwrap_or_default()
}

fn settings(name: &str, callers: SocketAddr, ready: SocketAddr, store: SocketAddr) -> String {
    let peer_port = free_port();
    format!(
        "NodeName: {name}\nIp: 127.0.0.1\nZone: a\nBind:\n  Frontend: \"{callers}\"\n  \
         Ready: \"{ready}\"\nInternalPortRange:\n  - {peer_port}\n  - {peer_port}\nPlatform:\n  \
         Address: \"{store}\"\nBounds:\n  GraceS: 6\n"
    )
}
