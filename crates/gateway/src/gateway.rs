//! The gateway's shared state, and its start and end.

use crate::call::Call;
use crate::caller::Callers;
use crate::in_hand::InHand;
use crate::metrics::Metrics;
use crate::pools::Pools;
use crate::recorder::Recorder;
use crate::settings::GatewaySettings;
use crate::team_limits::TeamLimits;
use async_io::Timer;
use node::{
    ControlPlane, ControlPlaneParts, SharedClusterView, StartError, answer_query, load_identity,
};
use platform::HttpPlatform;
use proto::{AttemptId, EventKind, RequestId, ServerId, StreamOpening};
use runtime::{
    ByteBudget, CallerTls, Executor, FrameReceiver, FrameSender, HttpClient, HttpLimits,
    HttpServer, LinkConfig, LinkEndpoint, Peer, Role, ShutdownSignal, StreamHandler, Timeline,
    TlsAcceptor, logger, termination_signal, timeout, watch_caller_tls,
};
use slog::{Logger, info, warn};
use std::sync::Arc;

const SHORT_TOKENS: u64 = 8_000;
const LONG_TOKENS: u64 = 100_000;

/// The gateway's shared state.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) executor: Executor,
    pub(crate) view: Arc<SharedClusterView>,
    pub(crate) control: Arc<ControlPlane<HttpPlatform>>,
    pub(crate) pools: Arc<Pools>,
    pub(crate) limits: TeamLimits,
    pub(crate) link: Arc<LinkEndpoint>,
    pub(crate) bodies: ByteBudget,
    pub(crate) in_hand: InHand,
    pub(crate) metrics: Metrics,
    pub(crate) timeline: Arc<Timeline>,
    recorder: Option<Recorder>,
    pub(crate) shutdown: ShutdownSignal,
    pub(crate) log: Logger,
}

impl Gateway {
    /// Runs a gateway until it has drained after SIGTERM.
    pub async fn run(executor: Executor, settings: GatewaySettings) -> Result<(), StartError> {
        let log = logger(
            settings.node.log_format,
            settings.node.log_level,
            &settings.node.node,
        );
        let identity = load_identity(&settings.node, Role::Gateway)?;
        let listen = settings.node.listen;
        let limits = HttpLimits {
            max_connections: settings.connections,
            ..HttpLimits::default()
        };
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
        let callers = Arc::new(Callers {
            gateway: gateway.clone(),
        });
        let stop_http = ShutdownSignal::default();
        let serving = executor.spawn({
            let (executor, stop) = (executor.clone(), stop_http.clone());
            async move { http.serve(executor, callers, tls, stop).await }
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
        let recorder = match &settings.record {
            Some(path) => {
                let recorder = Recorder::start(path, &settings.node.node);
                Some(recorder.map_err(|err| StartError::Record(path.clone(), err))?)
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
            bodies: ByteBudget::new(settings.body_bytes),
            in_hand: InHand::default(),
            settings,
            executor,
            view,
            control: Arc::new(control),
            pools: Arc::new(pools),
            link,
            metrics,
            timeline,
            recorder,
            shutdown: ShutdownSignal::default(),
            log,
        })
    }

    fn start_background(self: &Arc<Self>) {
        self.executor.detach(self.control.clone().run());
        let watch = self.settings.node.watch_tls(&self.link, &self.log);
        self.executor.detach(watch);
        let gateway = self.clone();
        self.executor
            .detach(async move { gateway.follow_view().await });
        let handler = Arc::new(Handler {
            gateway: self.clone(),
        });
        self.executor.detach(self.link.clone().serve(handler));
    }

    /// What callers' connections are encrypted with, if they are.
    fn caller_tls(&self) -> Result<Option<TlsAcceptor>, StartError> {
        let Some(files) = self.settings.caller_tls.clone() else {
            return Ok(None);
        };
        let tls = Arc::new(CallerTls::load(files)?);
        let acceptor = tls.acceptor()?;
        let every = self.settings.node.tls_watch_interval;
        self.executor
            .detach(watch_caller_tls(tls, every, self.log.clone()));
        Ok(Some(acceptor))
    }

    async fn follow_view(self: Arc<Self>) {
        let changes = self.view.subscribe();
        while changes.recv().await.is_ok() {
            let view = self.view.get();
            self.metrics.config.set(view.version as i64);
            self.limits.follow_members();
            self.pools.configure(&view);
        }
    }

    /// Health fails first, so that the balancer turns away; then no more connections are taken;
    /// then what is open ends.
    async fn drain(&self, stop_http: &ShutdownSignal, serving: impl Future<Output = ()>) {
        info!(self.log, "gateway: draining"; "in_flight" => self.metrics.in_flight.get());
        self.timeline
            .record(EventKind::Draining, None, None, None, "");
        self.shutdown.start();
        self.control.announce_leaving();
        Timer::after(self.settings.grace_time).await;
        stop_http.start();
        if timeout(self.settings.drain_time, serving).await.is_err() {
            let left = self.metrics.in_flight.get();
            warn!(self.log, "gateway: drain took too long"; "left" => left);
        }
    }

    pub(crate) fn record(
        &self,
        kind: EventKind,
        call: &Call,
        server: Option<ServerId>,
        detail: impl Into<Box<str>>,
    ) {
        if let Some(recorder) = &self.recorder {
            recorder.record(&kind, call);
        }
        self.timeline
            .record(kind, Some(call.id), Some(call.team.clone()), server, detail);
    }

    pub(crate) fn on_first_byte(&self, call: &Call, attempt: AttemptId) {
        let label = match call.prompt_tokens {
            0..SHORT_TOKENS => "short",
            SHORT_TOKENS..LONG_TOKENS => "medium",
            _ => "long",
        };
        let seconds = call.arrived.elapsed().as_secs_f64();
        self.metrics
            .first_byte
            .with_label_values(&[label])
            .observe(seconds);
        self.in_hand.answering(call.id);
        self.record(EventKind::FirstByte(attempt), call, None, "");
    }

    pub(crate) fn finished(&self) {
        self.metrics.requests.with_label_values(&["finished"]).inc();
    }
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub struct InFlight {
    gateway: Arc<Gateway>,
    id: RequestId,
}

impl InFlight {
    /// Counts one more.
    pub fn new(gateway: Arc<Gateway>, id: RequestId) -> Self {
        gateway.metrics.in_flight.inc();
        Self { gateway, id }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.gateway.metrics.in_flight.dec();
        self.gateway.in_hand.remove(self.id);
    }
}

struct Handler {
    gateway: Arc<Gateway>,
}

impl StreamHandler for Handler {
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
                let answer = self.gateway.limits.lend(&request);
                if tx.send(&answer).await.is_ok() {
                    tx.finish();
                }
            }
            StreamOpening::Query { stamp, request } if peer.role == Role::Gateway => {
                self.gateway.timeline.receive(stamp);
                let node = self.gateway.control.node();
                let answer = answer_query(&*self.gateway, node, &self.gateway.timeline, &request);
                if tx.send(&answer).await.is_ok() {
                    tx.finish();
                }
            }
            _ => warn!(self.gateway.log, "link: stream not allowed";
                "peer" => &*peer.node, "role" => %peer.role),
        }
    }
}
