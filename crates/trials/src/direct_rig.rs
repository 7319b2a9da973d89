//! A direct gateway as a process of its own, between stand-ins of the users' platform.

use crate::binaries::Binaries;
use crate::error::TrialError;
use crate::process::Process;
use crate::temp_dir::TempDir;
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{Method, Request, StatusCode};
use runtime::{Body, Executor, HttpClient, SingleExchange};
use serde_json::{Value, json};
use standins::{Hosted, PlatformServer, PlatformStore, ServerKind};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::Duration;

const HOST: &str = "desk.example";
const START_TIME: Duration = Duration::from_secs(20);
const CONNECT_TIME: Duration = Duration::from_secs(2);
const ANSWER_BYTES: usize = 1 << 20;

/// One gateway, the store and any number of backend servers.
#[derive(Debug)]
pub struct DirectRig {
    executor: Executor,
    /// The store.
    pub store: Hosted<PlatformStore>,
    /// The gateway.
    pub gateway: Process,
    /// Tokens of the prompts that callers send.
    pub prompt: u64,
    callers: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    http: HttpClient,
    directory: TempDir,
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
    /// The body; none where it broke off.
    pub body: Option<Bytes>,
}

impl DirectRig {
    /// Starts the gateway before declarations are there.
    pub fn start(executor: &Executor) -> Result<Self, TrialError> {
        Self::start_bounded(executor, &[])
    }

    /// Starts the gateway with bounds of its own, by the names of the settings file.
    pub fn start_bounded(executor: &Executor, bounds: &[(&str, f64)]) -> Result<Self, TrialError> {
        let binaries = Binaries::find()?;
        let directory = TempDir::create()?;
        let store = PlatformStore::bind(executor, loopback(0));
        let store = store.map_err(|err| TrialError::File("platform store".into(), err))?;
        let (callers, ready) = (loopback(free_port()), loopback(free_port()));
        let mut settings = settings(callers, ready, store.local_addr());
        for (name, value) in bounds {
            settings.push_str(&format!("  {name}: {value}\n"));
        }
        let settings = directory.write("settings.yaml", &settings)?;
        let log = directory.path().join("gateway.log");
        let settings: Box<str> = settings.display().to_string().into();
        let metrics = loopback(free_port());
        let args = [
            "direct".into(),
            "--settings".into(),
            settings,
            "--metrics-port".into(),
            metrics.port().to_string().into(),
        ];
        let gateway = Process::start("gateway", &binaries.gateway, &args, log)?;
        Ok(Self {
            executor: executor.clone(),
            http: HttpClient::new(executor.clone()),
            store,
            gateway,
            prompt: 1_000,
            callers,
            ready,
            metrics,
            directory,
        })
    }

    /// Starts a server and registers it.
    pub fn server(
        &self,
        name: &str,
        service: &str,
        kind: ServerKind,
    ) -> Result<Hosted<PlatformServer>, TrialError> {
        let server = PlatformServer::bind(&self.executor, loopback(0), name, kind);
        let server = server.map_err(|err| TrialError::File(name.into(), err))?;
        self.register(name, service, server.local_addr(), "ready");
        Ok(server)
    }

    /// Writes the row of a server.
    pub fn register(&self, name: &str, service: &str, address: SocketAddr, state: &str) {
        let row = json!({
            "Service": service, "Address": address, "Zone": "a", "Version": "v1", "Slots": 4,
            "State": state, "ColdRemainingMs": 0, "Sequence": 1
        });
        self.store.stand().put("servers", name, &row);
    }

    /// Writes declarations with one route of each kind.
    pub fn declare(&self, version: u64, keys: &[&str]) {
        self.store
            .stand()
            .put("op", "config", &declarations(version, keys));
    }

    /// Whether the gateway says that it takes callers.
    pub async fn is_ready(&self) -> bool {
        let mut req = Request::new(Body::empty());
        *req.uri_mut() = "/v1/ready".parse().unwrap_or_default();
        let answer = self
            .http
            .fetch(self.ready, req, ANSWER_BYTES, CONNECT_TIME)
            .await;
        answer.is_ok_and(|(status, _)| status == StatusCode::OK)
    }

    /// Waits until the gateway takes callers.
    pub async fn until_ready(&self) -> bool {
        self.until(async || self.is_ready().await).await
    }

    /// Asks again and again until something holds.
    pub async fn until(&self, mut holds: impl AsyncFnMut() -> bool) -> bool {
        let wait = async {
            while !holds().await {
                async_io::Timer::after(Duration::from_millis(20)).await;
            }
        };
        runtime::timeout(START_TIME, wait).await.is_ok()
    }

    /// Sends a request and reads its answer to the end.
    pub async fn call(&self, id: &str, path: &str, key: Option<&str>) -> CallerAnswer {
        let exchange = self.open(id, path, key).await;
        let Ok(answer) = exchange else {
            return CallerAnswer {
                status: StatusCode::IM_A_TEAPOT,
                seal: None,
                retry_after: None,
                body: None,
            };
        };
        let text = |name: &str| {
            let value = answer.head.headers.get(name)?;
            value.to_str().ok().map(Box::from)
        };
        CallerAnswer {
            status: answer.head.status,
            seal: text("x-response-seal"),
            retry_after: text("retry-after"),
            body: answer
                .body
                .collect()
                .await
                .ok()
                .map(http_body_util::Collected::to_bytes),
        }
    }

    /// Sends a request and gives its answer while the body still comes.
    pub async fn open(
        &self,
        id: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<runtime::SingleAnswer, runtime::HttpError> {
        let exchange = SingleExchange::connect(&self.executor, self.callers, CONNECT_TIME).await?;
        exchange.send(request(id, path, key, self.prompt)).await
    }

    /// The metrics as text.
    pub async fn metrics(&self) -> String {
        let req = Request::new(Body::empty());
        let answer = self
            .http
            .fetch(self.metrics, req, ANSWER_BYTES, CONNECT_TIME)
            .await;
        answer.map_or(String::new(), |(_, body)| {
            String::from_utf8_lossy(&body).into_owned()
        })
    }

    /// The settings file's directory, which goes with the rig.
    pub fn directory(&self) -> &TempDir {
        &self.directory
    }
}

fn request(id: &str, path: &str, key: Option<&str>, prompt: u64) -> Request<Body> {
    let mut req = Request::new(Body::whole(format!("body of {id}")));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = path.parse().unwrap_or_default();
    let key = key.map(|key| ("authorization", format!("Token {key}")));
    let headers = [
        ("host", HOST.to_owned()),
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

fn loopback(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// A port that was free a moment ago, for TCP and UDP.
fn free_port() -> u16 {
    let listener = TcpListener::bind(loopback(0));
    let address = listener.and_then(|listener| listener.local_addr());
    address.map_or(0, |address| address.port())
}

fn settings(callers: SocketAddr, ready: SocketAddr, store: SocketAddr) -> String {
    let peer_port = UdpSocket::bind(loopback(0)).and_then(|socket| socket.local_addr());
    let peer_port = peer_port.map_or(0, |address| address.port());
    format!(
        "NodeName: gateway-1\nIp: 127.0.0.1\nZone: a\nBind:\n  Frontend: \"{callers}\"\n  \
         Ready: \"{ready}\"\nInternalPortRange:\n  - {peer_port}\n  - {peer_port}\nPlatform:\n  \
         Address: \"{store}\"\nBounds:\n  GraceS: 6\n"
    )
}

fn declarations(version: u64, keys: &[&str]) -> Value {
    let route = |name: &str, kind: &str, service: &str, resume: bool| {
        json!({
            "Name": name, "Hostname": HOST, "Prefix": format!("/{name}/"), "RouteType": kind,
            "TimeoutMs": 8000, "TargetLatencyMs": 300, "Priority": 1, "Service": service,
            "MaxAttempts": 2, "AllowAnonymous": false, "StreamResume": resume, "TargetGapMs": 200
        })
    };
    json!({
        "Version": version,
        "Routes": [
            route("stream", "streaming", "engines", true),
            route("once", "unsafe", "registry", false),
            route("lookup", "safe", "registry", false),
        ],
        "Services": [
            {
                "Name": "engines", "ColdPerS": 36.0, "ColdStartS": 3.0,
                "Engine": {
                    "Slots": 16, "KvCapacityTokens": 30_000, "Stride": 46, "step_ms": 0.9,
                    "read_per_s": 256_000.0, "pairs_per_m": 0.09, "HopMs": 0.1
                }
            },
            { "Name": "registry", "ColdPerS": 0.0 },
        ],
        "Limits": {},
        "Tenants": [{ "Name": "team-1", "ApiKeys": keys, "Priority": 1 }]
    })
}
