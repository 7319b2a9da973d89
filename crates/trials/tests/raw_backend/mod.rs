//! A backend server of `serve` that writes its responses to callers byte by byte.

use async_io::Async;
use futures_lite::future::or;
use futures_lite::io::{AsyncReadExt as _, AsyncWriteExt as _, copy};
use runtime::Executor;
use rustix::net::sockopt;
use standins::{EngineSpec, EngineStandin, StandinServer};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use trials::{Backend, BackendStandIn, Fleet, FleetConfig, SERVICE_PATH};

const COMPLETIONS_PATH: &str = "/v1/completions";
const DOMAIN: &str = "bratislava-a";

/// How a raw server ends a connection behind a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// In order, once the request is read.
    InOrder,
    /// By a reset, while the request is still being sent.
    ResetsEarly,
    /// In order, while the request is still being sent.
    EndsEarly,
}

/// What the raw servers respond to requests of callers.
#[derive(Debug)]
pub struct Script {
    /// The response, and how it ends.
    pub response: Mutex<(Vec<u8>, End)>,
    /// Number of requests that got it.
    pub responses: AtomicUsize,
}

/// A fleet with an engine and a plain service that are raw.
pub struct RawFleet {
    pub fleet: Fleet,
    pub script: Arc<Script>,
    _engine: StandinServer<EngineStandin>,
}

impl RawFleet {
    /// Starts the fleet; requests to the service may be repeated if it `is_repeatable`.
    pub async fn start(executor: &Executor, is_repeatable: bool) -> Self {
        let mut cfg = FleetConfig::single();
        cfg.base_declarations.routes[0].repeatable = is_repeatable;
        let script = Arc::new(Script {
            response: Mutex::new((Vec::new(), End::InOrder)),
            responses: AtomicUsize::new(0),
        });
        let mut engine = Backend::engine("engine-1", DOMAIN);
        let BackendStandIn::Engine(spec) = engine.stand_in else {
            unreachable!("an engine has the settings of one");
        };
        let standin = start_engine(executor, spec);
        let address = start_server(executor, standin.local_addr(), &script);
        engine.stand_in = BackendStandIn::At(address);
        let mut service = Backend::service("registry-1", DOMAIN);
        service.stand_in = BackendStandIn::At(address);
        cfg.backends = vec![engine, service];
        Self {
            fleet: Fleet::start(executor, &cfg).await.unwrap(),
            script,
            _engine: standin,
        }
    }

    /// Sets what is responded next.
    pub fn respond(&self, response: Vec<u8>, end: End) {
        *self.script.response.lock().unwrap() = (response, end);
        self.script.responses.store(0, Ordering::Relaxed);
    }

    /// Number of requests that got the present response.
    pub fn responses(&self) -> usize {
        self.script.responses.load(Ordering::Relaxed)
    }
}

fn start_engine(executor: &Executor, spec: EngineSpec) -> StandinServer<EngineStandin> {
    EngineStandin::bind(executor, ([127, 0, 0, 1], 0).into(), spec, None).unwrap()
}

fn start_server(executor: &Executor, engine: SocketAddr, script: &Arc<Script>) -> SocketAddr {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let (connections, script) = (executor.clone(), script.clone());
    executor.detach(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let script = script.clone();
            connections.detach(async move {
                let _ = serve(&stream, engine, &script).await;
            });
        }
    });
    address
}

/// Responds to a request of a caller; connections of the agent's own go to `engine`.
async fn serve(mut stream: &Async<TcpStream>, engine: SocketAddr, script: &Script) -> Option<()> {
    let mut buf = vec![0; 16 << 10];
    let mut start = Vec::new();
    while !start.windows(4).any(|end| end == b"\r\n\r\n") {
        let length = stream.read(&mut buf).await.ok()?;
        start.extend_from_slice(buf.get(..length).filter(|read| !read.is_empty())?);
    }
    let text = String::from_utf8_lossy(&start).to_lowercase();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let path = head.split(' ').nth(1)?;
    if ![COMPLETIONS_PATH, SERVICE_PATH].contains(&path) {
        return tunnel(stream, &start, engine).await;
    }
    let (response, end) = script.response.lock().unwrap().clone();
    script.responses.fetch_add(1, Ordering::Relaxed);
    if end == End::InOrder {
        let mut lines = head.lines();
        let length = lines.find_map(|line| line.strip_prefix("content-length: "))?;
        let mut left = length.parse::<usize>().ok()?.saturating_sub(body.len());
        while left > 0 {
            left = left.saturating_sub(stream.read(&mut buf).await.ok()?);
        }
    }
    stream.write_all(&response).await.ok()?;
    match end {
        End::InOrder => {}
        End::ResetsEarly => {
            sockopt::set_socket_linger(stream.get_ref(), Some(Duration::ZERO)).ok()?;
        }
        End::EndsEarly => {
            stream.get_ref().shutdown(Shutdown::Write).ok()?;
            while stream.read(&mut buf).await.ok()? > 0 {}
        }
    }
    Some(())
}

async fn tunnel(stream: &Async<TcpStream>, start: &[u8], engine: SocketAddr) -> Option<()> {
    let engine = Async::<TcpStream>::connect(engine).await.ok()?;
    (&engine).write_all(start).await.ok()?;
    or(copy(stream, &engine), copy(&engine, stream))
        .await
        .ok()?;
    Some(())
}
