//! Runs the process: starts its tasks, handles signals, and drains requests before it ends.

use crate::blocked_rows;
use crate::front::Frontend;
use crate::lost_rows::learn_lost_rows;
use crate::peers::{GatewayTableHandler, Peers};
use crate::prompt_queue::PromptQueue;
use crate::server_failure;
use crate::shared::Shared;
use crate::stalls::watch_stalls;
use crate::store_check::check_store;
use crate::store_watch::{OperatorTableHandler, ServerTableHandler, watch};
use crate::waiting_news::broadcast_waiting;
use adapter::{HostSettings, Store};
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt as _;
use futures_lite::future::{or, zip};
use hyper::{Request, Response, StatusCode};
use policy::{Drain, SIGNAL_CHECK_INTERVAL};
use quick_error::quick_error;
use runtime::{
    Body, Executor, HttpLimits, HttpServer, LogLosses, RequestBody, Responder, ShutdownSignal,
    timeout,
};
use slog::{Logger, error, info, warn};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::pin::pin;
use std::sync::Arc;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Ids of cut calls that are logged.
const MAX_LOGGED_IDS: usize = 20;
/// Idle connections of callers are kept open for twice the longest time that any deployment lets
/// callers keep them idle, so that closing one never races with a new request.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Callers may send as many headers as fit into the default size of their head.
const MAX_CALLER_HEADERS: usize = 1_024;
/// What the kernel buffers for a caller that reads slowly also takes the host's memory, up to some MB
/// for each connection by default. This is enough for 50 Mbit/s to a caller 20 ms away.
const SEND_BUFFER_BYTES: usize = 64 << 10;

quick_error! {
    /// Why the process cannot start.
    #[derive(Debug)]
    pub enum StartError {
        /// A listening address cannot be bound.
        Bind(what: &'static str, address: SocketAddr, err: std::io::Error) {
            display("bind {address} for {what}: {err}")
        }
        /// The signal handlers cannot be installed.
        Signals(err: std::io::Error) {
            display("install signal handlers: {err}")
        }
        /// The metrics cannot be registered.
        Metrics(err: prometheus::Error) {
            display("set up metrics: {err}")
            from()
        }
    }
}

/// Options of the process.
#[derive(Debug, Clone)]
pub struct ProcessOptions {
    /// Path of the settings file. It is read again on SIGHUP, only to report changes.
    pub settings_path: PathBuf,
    /// Content of that file at the start, which applies until the process ends.
    pub settings: HostSettings,
    /// Lines of the log that were lost.
    pub log_losses: LogLosses,
    /// Port for metrics on the host's address; `None` for no metrics.
    pub metrics_port: Option<u16>,
    /// Limit on the size of declarations; larger ones are refused.
    pub max_declarations_bytes: usize,
}

/// Runs the process until SIGTERM or SIGINT, and then until it has drained or the grace period is
/// nearly over.
pub async fn run(
    executor: Executor,
    options: ProcessOptions,
    log: Logger,
) -> Result<(), StartError> {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let signals = signals.map_err(StartError::Signals)?;
    let settings = options.settings.clone();
    info!(log, "process: starting"; "version" => env!("CARGO_PKG_VERSION"),
        "host" => &*settings.name, "domain" => &*settings.domain,
        "callers" => %settings.callers, "store" => %settings.store);
    let shared = Arc::new(Shared::new(
        settings.clone(),
        options.max_declarations_bytes,
        executor.clone(),
        log.clone(),
    )?);
    let store = shared.store.clone();
    let shutdown = ShutdownSignal::default();
    let drain = Drain::new(Duration::ZERO, settings.bounds.grace);
    let limits = HttpLimits {
        head_timeout: CALLER_IDLE_TIMEOUT,
        max_headers: MAX_CALLER_HEADERS,
        accept_grace: drain.accept_end,
        read_grace: drain.last_reply,
        send_buffer_bytes: Some(SEND_BUFFER_BYTES),
        ..HttpLimits::default()
    };
    let callers = bind("callers", settings.callers, limits, &log)?;
    let ready = bind("readiness", settings.ready, HttpLimits::default(), &log)?;
    // Many callers at once must not make it late.
    let urgent = executor.urgent();
    urgent.detach(ready.serve(
        urgent.clone(),
        Arc::new(ReadyProbe(shared.clone())),
        None,
        shutdown.clone(),
    ));
    if let Some(port) = options.metrics_port {
        let address = SocketAddr::new(settings.address, port);
        let metrics = bind("metrics", address, HttpLimits::default(), &log)?;
        let page = Arc::new(MetricsPage {
            shared: shared.clone(),
            log_losses: options.log_losses.clone(),
        });
        executor.detach(metrics.serve(executor.clone(), page, None, shutdown.clone()));
    }
    executor.detach(watch(shared.clone(), store.clone(), OperatorTableHandler));
    executor.detach(watch(shared.clone(), store.clone(), ServerTableHandler));
    executor.detach(check_store(shared.clone(), store.clone()));
    executor.detach(watch_stalls(shared.clone()));
    executor.detach(PromptQueue::run(shared.clone()));
    executor.detach(blocked_rows::maintain(shared.clone()));
    executor.detach(server_failure::maintain(shared.clone()));
    let peers: Arc<Mutex<Option<Arc<Peers>>>> = Arc::default();
    executor.detach(join_peers(shared.clone(), store.clone(), peers.clone()));
    let frontend = Arc::new(Frontend {
        shared: shared.clone(),
    });
    let served =
        executor.spawn(callers.serve(executor.clone(), frontend, None, shared.draining.signal()));
    let mut signals = signals;
    let signalled_at = await_termination(&mut signals, &options.settings_path, &shared).await;
    let times = Drain::new(signalled_at, settings.bounds.grace);
    let delay = shared.clock.now().saturating_sub(signalled_at);
    let drain = shared.draining.start_late(times, delay);
    let waiting = shared.prompt_queue.check(&shared);
    info!(log, "process: draining"; "open" => shared.open_calls.count(), "waiting" => waiting,
        "up_ms" => shared.clock.now().as_millis() as u64, "late_ms" => delay.as_millis() as u64);
    let left = drain.end.saturating_sub(shared.clock.now());
    let joined = lock(&peers).clone();
    let unregistered = async {
        if let Some(peers) = joined {
            peers.unregister().await;
        }
    };
    let mut drained = pin!(zip(served, unregistered));
    let in_time = timeout(left, drained.as_mut());
    let more_signals = async {
        while handle_signals(&mut signals, &options.settings_path, &shared)
            .await
            .is_some()
        {}
        std::future::pending().await
    };
    let mut timed_out = or(in_time, more_signals).await.is_err();
    if timed_out {
        let overtime = drain.overtime(shared.clock.now());
        timed_out = timeout(overtime, drained).await.is_err();
    }
    let peers = lock(&peers).take();
    if let Some(peers) = peers.filter(|_| !timed_out) {
        let left = drain.end.saturating_sub(shared.clock.now());
        // Peers notice links that are not closed in time.
        let _ = timeout(left, peers.close()).await;
    }
    shutdown.start();
    info!(log, "process: ended"; "cut" => timed_out, "open" => shared.open_calls.count(),
        "ids" => shared.open_calls.some_ids(MAX_LOGGED_IDS).join(" "),
        "run_ends" => shared.metrics.drained_run_ends());
    Ok(())
}

fn bind(
    what: &'static str,
    address: SocketAddr,
    limits: HttpLimits,
    log: &Logger,
) -> Result<HttpServer, StartError> {
    HttpServer::bind(address, limits, log.clone())
        .map_err(|err| StartError::Bind(what, address, err))
}

fn lock(joined: &Mutex<Option<Arc<Peers>>>) -> MutexGuard<'_, Option<Arc<Peers>>> {
    joined.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn join_peers(shared: Arc<Shared>, store: Store, joined: Arc<Mutex<Option<Arc<Peers>>>>) {
    const RETRY_PAUSE: Duration = Duration::from_secs(1);
    let peers = loop {
        match Peers::join(shared.clone(), &store).await {
            Ok(peers) => break peers,
            Err(err) => error!(shared.log, "peers: links cannot be opened"; "err" => %err),
        }
        Timer::after(RETRY_PAUSE).await;
    };
    *lock(&joined) = Some(peers.clone());
    shared.executor.detach(peers.clone().broadcast_load());
    shared.executor.detach(broadcast_waiting(peers.clone()));
    shared.executor.detach(learn_lost_rows(peers.clone()));
    watch(shared, store, GatewayTableHandler(peers)).await;
}

/// Handles signals until SIGTERM or SIGINT; returns when that was sent at the earliest.
async fn await_termination(signals: &mut Signals, path: &Path, shared: &Shared) -> Duration {
    let mut last_check = shared.clock.now();
    loop {
        let handled = handle_signals(signals, path, shared);
        let is_over = timeout(SIGNAL_CHECK_INTERVAL, handled).await.is_ok();
        let now = shared.clock.now();
        if is_over {
            return Drain::earliest_start(last_check, now, shared.settings.bounds.grace);
        }
        last_check = now;
    }
}

/// Checks the settings file at each SIGHUP; returns SIGTERM or SIGINT, or `None` if signals are over.
async fn handle_signals(signals: &mut Signals, path: &Path, shared: &Shared) -> Option<Signal> {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => report_settings_changes(path, shared),
            Ok(signal) => {
                info!(shared.log, "process: signal"; "signal" => ?signal);
                return Some(signal);
            }
            Err(err) => warn!(shared.log, "process: signals cannot be read"; "err" => %err),
        }
    }
    None
}

fn report_settings_changes(path: &Path, shared: &Shared) {
    match read_settings(path) {
        Ok(settings) if settings == shared.settings => {
            info!(shared.log, "settings: read again, unchanged");
        }
        Ok(settings) => {
            warn!(shared.log, "settings: changed, restart the process to apply them";
                "settings" => ?settings);
        }
        Err(err) => warn!(shared.log, "settings: cannot be read, the last ones stay"; "err" => err),
    }
}

/// Reads a settings file. The error lists everything that is wrong with it.
pub fn read_settings(path: &Path) -> Result<HostSettings, String> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|err| format!("settings: {}: {err}\n", path.display()))?;
    HostSettings::parse(&text).map_err(|errors| errors.to_string())
}

/// Readiness probe: ready while declarations and servers are known, the process does not drain, and it is
/// not behind its peers for seconds.
#[derive(Debug)]
struct ReadyProbe(Arc<Shared>);

impl ReadyProbe {
    /// Why the process is not ready; `None` if it is.
    fn obstacle(&self) -> Option<String> {
        let shared = &self.0;
        if shared.draining.is_started() {
            return Some("draining".to_owned());
        }
        if shared.is_stuck_behind_peers() {
            return Some("behind peers, and the content can be got from nowhere".to_owned());
        }
        let cache = &shared.store_cache;
        let missing = match (cache.route_table(), cache.declarations_refusal()) {
            (None, Some(refusal)) => return Some(format!("declarations refused: {refusal}")),
            (None, None) => "no declarations yet",
            // Without servers, each request would be refused that peers could serve.
            (Some(_), _) if shared.lock_start_hold().holds(shared.clock.now()) => {
                "the store may be a copy, and no gateway has told yet what it lacks"
            }
            (Some(_), _) if shared.is_held_at_start() => "declarations not confirmed yet",
            (Some(_), _) if cache.versions().servers == 0 => "servers not read yet",
            (Some(_), _) => return None,
        };
        let obstacle = if shared.is_store_failing() {
            "the store cannot be read"
        } else {
            missing
        };
        Some(obstacle.to_owned())
    }
}

impl Responder for ReadyProbe {
    async fn respond(&self, _peer: SocketAddr, _req: Request<RequestBody>) -> Response<Body> {
        let Some(obstacle) = self.obstacle() else {
            return Response::new(Body::empty());
        };
        let mut response = Response::new(Body::full(format!("not ready: {obstacle}\n")));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response
    }
}

/// Serves the metrics.
#[derive(Debug)]
struct MetricsPage {
    shared: Arc<Shared>,
    log_losses: LogLosses,
}

impl Responder for MetricsPage {
    async fn respond(&self, _peer: SocketAddr, _req: Request<RequestBody>) -> Response<Body> {
        let shared = &self.shared;
        let held = shared.stream_buffers.held();
        shared
            .metrics
            .set_buffered_bytes(shared.body_budget.used(), held);
        shared.metrics.set_behind_peers(shared.behind_peers());
        shared.metrics.set_unconfirmed(shared.unconfirmed_for());
        shared.metrics.set_failing_tables(shared.failing_tables());
        shared.metrics.set_lost_log_lines(self.log_losses.lines());
        match shared.metrics.encode() {
            Ok(text) => Response::new(Body::full(text)),
            Err(err) => {
                warn!(shared.log, "metrics: cannot be encoded"; "err" => %err);
                let mut response = Response::new(Body::empty());
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                response
            }
        }
    }
}
