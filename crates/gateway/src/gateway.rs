//! The gateway process: its shared state, startup and graceful shutdown.

use crate::active_requests::ActiveRequests;
use crate::caller_api::CallerApi;
use crate::caller_request::CallerRequest;
use crate::metrics::Metrics;
use crate::pools::Pools;
use crate::settings::GatewaySettings;
use crate::team_limits::TeamLimits;
use crate::trace_recorder::TraceRecorder;
use async_io::Timer;
use node::{
    ControlPlane, ControlPlaneParts, SharedClusterView, StartError, load_identity, reply_to_query,
};
use platform::HttpPlatform;
use policy::Drain;
use proto::{AttemptId, EventKind, RequestId, ServerId, StreamOpening};
use runtime::{
    ByteBudget, CallerTls, Clock, Draining, Executor, FrameReceiver, FrameSender, HttpClient,
    HttpLimits, HttpServer, LinkConfig, LinkEndpoint, Peer, Role, ShutdownSignal, StreamHandler,
    Timeline, TlsAcceptor, logger, termination_signal, timeout, watch_caller_tls,
};
use slog::{Logger, info, warn};
use std::sync::Arc;
use std::time::Duration;

const SHORT_PROMPT_TOKENS: u64 = 8_000;
const LONG_PROMPT_TOKENS: u64 = 100_000;

/// State that all requests of a gateway share.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) executor: Executor,
    pub(crate) view: Arc<SharedClusterView>,
    pub(crate) control: Arc<ControlPlane<HttpPlatform>>,
    pub(crate) pools: Arc<Pools>,
    pub(crate) limits: TeamLimits,
    pub(crate) link: Arc<LinkEndpoint>,
    pub(crate) body_budget: ByteBudget,
    pub(crate) active_requests: ActiveRequests,
    pub(crate) metrics: Metrics,
    pub(crate) timeline: Arc<Timeline>,
    trace_recorder: Option<TraceRecorder>,
    pub(crate) clock: Clock,
    pub(crate) draining: Draining<Drain>,
    pub(crate) log: Logger,
}

impl Gateway {
    /// Runs a gateway until it has drained after SIGTERM. Fails if it can't start, for instance
    /// because the address is in use or a certificate can't be read.
    pub async fn run(executor: Executor, settings: GatewaySettings) -> Result<(), StartError> {
        let (log, _flushed_at_end) = logger(
            settings.node.log_format,
            settings.node.log_level,
            &settings.node.node,
        );
        let identity = load_identity(&settings.node, Role::Gateway)?;
        let listen = settings.node.listen;
        let limits = http_limits(&settings);
        let http = HttpServer::bind(listen, limits, log.clone());
        let http = http.map_err(|err| StartError::Bind(listen, err))?;
        let listen = http.local_addr().unwrap_or(listen);
        let link = LinkEndpoint::bind(
            executor.clone(),
            LinkConfig::new(listen),
            &identity,
            log.clone(),
        )?;
        let gateway = Arc::new(Self::new(executor.clone(), settings, Arc::new(link), log)?);
        gateway.start_background();
        let tls = gateway.caller_tls()?;
        let caller_api = Arc::new(CallerApi {
            gateway: gateway.clone(),
        });
        let stop_http = ShutdownSignal::default();
        let serving = executor.spawn({
            let (executor, stop) = (executor.clone(), stop_http.clone());
            async move { http.serve(executor, caller_api, tls, stop).await }
        });
        info!(gateway.log, "gateway: listening"; "address" => %listen);
        termination_signal().await.map_err(StartError::Signals)?;
        gateway.drain(&stop_http, serving).await;
        gateway.link.close().await;
        Ok(())
    }

    fn new(
        executor: Executor,
        settings: GatewaySettings,
        link: Arc<LinkEndpoint>,
        log: Logger,
    ) -> Result<Self, StartError> {
        let trace_recorder = match &settings.trace_file {
            Some(path) => {
                let trace_recorder = TraceRecorder::start(path, &settings.node.node);
                Some(trace_recorder.map_err(|err| StartError::TraceFile(path.clone(), err))?)
            }
            None => None,
        };
        let pools = Pools::new(&settings.node.domain, rand::random());
        let timeline = Timeline::new(settings.node.node.clone(), settings.node.timeline_events);
        let timeline = Arc::new(timeline);
        let metrics = Metrics::new()?;
        let view = Arc::new(SharedClusterView::default());
        let client = HttpClient::new(executor.clone());
        let parts = ControlPlaneParts {
            executor: executor.clone(),
            link: link.clone(),
            platform: HttpPlatform::new(settings.node.platform.clone(), client),
            view: view.clone(),
            timeline: timeline.clone(),
            log: log.clone(),
        };
        let address = link.local_addr();
        let control = ControlPlane::new(parts, &settings.node, address, None, &metrics.registry)?;
        let limits = TeamLimits::new(
            control.node().clone(),
            view.clone(),
            link.clone(),
            timeline.clone(),
            log.clone(),
        );
        Ok(Self {
            limits,
            body_budget: ByteBudget::new(settings.body_memory_bytes),
            active_requests: ActiveRequests::default(),
            settings,
            executor,
            view,
            control: Arc::new(control),
            pools: Arc::new(pools),
            link,
            metrics,
            timeline,
            trace_recorder,
            clock: Clock::default(),
            draining: Draining::default(),
            log,
        })
    }

    fn start_background(self: &Arc<Self>) {
        self.executor.detach(self.control.clone().run());
        let watch = self.settings.node.watch_tls(&self.link, &self.log);
        self.executor.detach(watch);
        let gateway = self.clone();
        self.executor
            .detach(async move { gateway.watch_view().await });
        let handler = Arc::new(GatewayStreamHandler {
            gateway: self.clone(),
        });
        self.executor.detach(self.link.clone().serve(handler));
    }

    /// Loads the certificate for callers and watches its files; `None` if callers use plain
    /// HTTP.
    fn caller_tls(&self) -> Result<Option<TlsAcceptor>, StartError> {
        let Some(files) = self.settings.caller_tls.clone() else {
            return Ok(None);
        };
        let tls = Arc::new(CallerTls::load(files)?);
        let acceptor = tls.acceptor()?;
        let interval = self.settings.node.tls_watch_interval;
        self.executor
            .detach(watch_caller_tls(tls, interval, self.log.clone()));
        Ok(Some(acceptor))
    }

    async fn watch_view(self: Arc<Self>) {
        let changes = self.view.subscribe();
        while changes.recv().await.is_ok() {
            let view = self.view.get();
            self.metrics.config_version.set(view.version as i64);
            self.limits.update_gateways();
            self.pools.configure(view);
        }
    }

    /// Drains in four steps: the health check fails, so that load balancers stop sending requests;
    /// after the grace period, no new connections are accepted; then open requests finish, for at
    /// most the drain timeout; shortly before its end, those that are left get a reply. The links to
    /// agents stay open until then.
    async fn drain(&self, stop_http: &ShutdownSignal, serving: impl Future<Output = ()>) {
        info!(self.log, "gateway: draining"; "in_flight" => self.metrics.in_flight.get());
        self.timeline
            .record(EventKind::Draining, None, None, None, "");
        let drain = self.draining.start(self.drain_times());
        self.control.announce_leaving();
        Timer::after(self.settings.grace_period).await;
        stop_http.start();
        let left = drain.end.saturating_sub(self.clock.now());
        if timeout(left, serving).await.is_err() {
            let in_flight = self.metrics.in_flight.get();
            warn!(self.log, "gateway: drain timeout exceeded"; "left" => in_flight);
        }
    }

    /// Runs `work` until the time at which requests without a response get one from the gateway, and
    /// then drops it and returns `None`.
    pub(crate) async fn before_last_reply<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let last_reply = |times: Drain| times.last_reply;
        self.draining.before(&self.clock, last_reply, work).await
    }

    fn drain_times(&self) -> Drain {
        let (grace, timeout) = (self.settings.grace_period, self.settings.drain_timeout);
        Drain::within(self.clock.now(), grace, grace + timeout)
    }

    pub(crate) fn record(
        &self,
        kind: EventKind,
        request: &CallerRequest,
        server: Option<ServerId>,
        detail: impl Into<Box<str>>,
    ) {
        if let Some(trace_recorder) = &self.trace_recorder {
            trace_recorder.record(&kind, request);
        }
        self.timeline.record(
            kind,
            Some(request.id),
            Some(request.team.clone()),
            server,
            detail,
        );
    }

    pub(crate) fn on_first_byte(&self, request: &CallerRequest, attempt: AttemptId) {
        let label = match request.prompt_tokens {
            0..SHORT_PROMPT_TOKENS => "short",
            SHORT_PROMPT_TOKENS..LONG_PROMPT_TOKENS => "medium",
            _ => "long",
        };
        let seconds = request.arrived.elapsed().as_secs_f64();
        self.metrics
            .first_byte
            .with_label_values(&[label])
            .observe(seconds);
        self.active_requests.set_responding(request.id);
        self.record(EventKind::FirstByte(attempt), request, None, "");
    }

    pub(crate) fn count_finished(&self) {
        self.metrics.requests.with_label_values(&["finished"]).inc();
    }
}

fn http_limits(settings: &GatewaySettings) -> HttpLimits {
    let limits = HttpLimits::default();
    let drain = Drain::within(Duration::ZERO, Duration::ZERO, settings.drain_timeout);
    HttpLimits {
        max_connections: settings.max_connections,
        read_grace: limits.read_grace.min(drain.last_reply),
        ..limits
    }
}

/// Counts a request as in flight until dropped, and then removes it from the active requests.
#[derive(Debug)]
pub struct InFlightGuard {
    gateway: Arc<Gateway>,
    id: RequestId,
}

impl InFlightGuard {
    /// Increments the count of requests in flight.
    pub fn new(gateway: Arc<Gateway>, id: RequestId) -> Self {
        gateway.metrics.in_flight.inc();
        Self { gateway, id }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.gateway.metrics.in_flight.dec();
        self.gateway.active_requests.remove(self.id);
    }
}

struct GatewayStreamHandler {
    gateway: Arc<Gateway>,
}

impl StreamHandler for GatewayStreamHandler {
    async fn handle(
        &self,
        peer: Peer,
        opening: StreamOpening,
        mut tx: FrameSender,
        _rx: FrameReceiver,
    ) {
        match opening {
            StreamOpening::Config { stamp, message } => {
                self.gateway.timeline.receive(stamp);
                self.gateway
                    .control
                    .handle_exchange(&peer, message, tx)
                    .await;
            }
            StreamOpening::Lend { stamp, request } => {
                self.gateway.timeline.receive(stamp);
                let reply = self.gateway.limits.lend(&request);
                if tx.send(&reply).await.is_ok() {
                    tx.finish();
                }
            }
            StreamOpening::Query { stamp, request } if peer.role == Role::Gateway => {
                self.gateway.timeline.receive(stamp);
                let node = self.gateway.control.node();
                let reply = reply_to_query(&*self.gateway, node, &self.gateway.timeline, &request);
                if tx.send(&reply).await.is_ok() {
                    tx.finish();
                }
            }
            _ => warn!(self.gateway.log, "link: stream not allowed";
                "peer" => &*peer.node, "role" => %peer.role),
        }
    }
}
