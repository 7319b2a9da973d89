//! Startup, shared state and graceful shutdown of the agent.

use crate::attempt::Attempt;
use crate::backend::Backend;
use crate::claims::ClaimDriver;
use crate::engine_parts::{EngineParts, SharedHandles, reply_to_span_request};
use crate::engine_watch::poll_engine_load;
use crate::metrics::Metrics;
use crate::scheduler_driver::SchedulerDriver;
use crate::server_settings::server_settings;
use crate::settings::AgentSettings;
use crate::status::StatusResponder;
use async_io::Timer;
use declarations::ServerKind;
use node::{
    ControlPlane, ControlPlaneParts, SharedClusterView, StartError, load_identity, reply_to_query,
};
use platform::HttpPlatform;
use policy::{Drain, Scheduler, SchedulerConfig, SchedulerEvent};
use proto::{EventKind, Offer, StreamOpening};
use runtime::{
    ByteBudget, Clock, Draining, Executor, FrameReceiver, FrameSender, HttpClient, HttpLimits,
    HttpServer, LinkConfig, LinkEndpoint, Peer, Role, ShutdownSignal, StreamHandler, Timeline,
    logger, termination_signal, timeout,
};
use slog::{Logger, info, warn};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State that all tasks of the agent share.
#[derive(Debug)]
pub struct Agent {
    pub(crate) settings: AgentSettings,
    pub(crate) executor: Executor,
    pub(crate) view: Arc<SharedClusterView>,
    pub(crate) control: Arc<ControlPlane<HttpPlatform>>,
    pub(crate) scheduler: Arc<SchedulerDriver>,
    pub(crate) backend: Arc<Backend>,
    pub(crate) claims: Arc<ClaimDriver<HttpPlatform>>,
    pub(crate) engine: EngineParts,
    pub(crate) open_attempts: AtomicUsize,
    pub(crate) body_budget: ByteBudget,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) timeline: Arc<Timeline>,
    pub(crate) clock: Clock,
    pub(crate) draining: Draining<Drain>,
    pub(crate) log: Logger,
}

impl Agent {
    /// Runs an agent until it has drained after SIGTERM. Fails only if it cannot start.
    pub async fn run(executor: Executor, settings: AgentSettings) -> Result<(), StartError> {
        let (log, _flushed_at_end) = logger(
            settings.node.log_format,
            settings.node.log_level,
            &settings.node.node,
        );
        let identity = load_identity(&settings.node, Role::Agent)?;
        let listen = settings.node.listen;
        let http = HttpServer::bind(listen, HttpLimits::default(), log.clone());
        let http = http.map_err(|err| StartError::Bind(listen, err))?;
        let listen = http.local_addr().unwrap_or(listen);
        let link = LinkEndpoint::bind(
            executor.clone(),
            LinkConfig::new(listen),
            &identity,
            log.clone(),
        )?;
        let link = Arc::new(link);
        let agent = Arc::new(Self::new(executor.clone(), settings, link.clone(), log)?);
        agent.start_background();
        executor.detach(agent.settings.node.watch_tls(&link, &agent.log));
        executor.detach(link.clone().serve(Arc::new(LinkHandler {
            agent: agent.clone(),
        })));
        let status = Arc::new(StatusResponder {
            agent: agent.clone(),
        });
        let stop_http = ShutdownSignal::default();
        executor.detach(http.serve(executor.clone(), status, None, stop_http.clone()));
        info!(agent.log, "agent: listening"; "address" => %listen);
        termination_signal().await.map_err(StartError::Signals)?;
        agent.drain().await;
        stop_http.start();
        link.close().await;
        Ok(())
    }

    fn new(
        executor: Executor,
        settings: AgentSettings,
        link: Arc<LinkEndpoint>,
        log: Logger,
    ) -> Result<Self, StartError> {
        let metrics = Arc::new(Metrics::new()?);
        let backend = Arc::new(Backend::new(settings.backend, executor.clone()));
        let mut cfg = SchedulerConfig::for_server(&settings.server);
        cfg.queue_limit = settings.queue_limit;
        let scheduler = Scheduler::new(cfg);
        let scheduler = Arc::new(SchedulerDriver::new(
            executor.clone(),
            scheduler,
            backend.clone(),
            metrics.clone(),
        ));
        let client = HttpClient::new(executor.clone());
        let platform = HttpPlatform::new(settings.node.platform.clone(), client);
        let claims = ClaimDriver::new(
            executor.clone(),
            platform.clone(),
            &settings.node.node,
            rand::random(),
        );
        let timeline = Timeline::new(settings.node.node.clone(), settings.node.timeline_events);
        let timeline = Arc::new(timeline);
        let view = Arc::new(SharedClusterView::default());
        let shared = SharedHandles {
            executor: executor.clone(),
            view: view.clone(),
            scheduler: scheduler.clone(),
            timeline: timeline.clone(),
            log: log.clone(),
        };
        let engine = EngineParts::new(shared, &settings, &link, platform.clone());
        let address = link.local_addr();
        let parts = ControlPlaneParts {
            executor: executor.clone(),
            link,
            platform,
            view: view.clone(),
            timeline: timeline.clone(),
            log: log.clone(),
        };
        let server = Some(settings.server.clone());
        let control = ControlPlane::new(parts, &settings.node, address, server, &metrics.registry)?;
        Ok(Self {
            engine,
            open_attempts: AtomicUsize::new(0),
            body_budget: ByteBudget::new(settings.body_memory_bytes),
            settings,
            executor,
            view,
            control: Arc::new(control),
            scheduler,
            backend,
            claims: Arc::new(claims),
            metrics,
            timeline,
            clock: Clock::default(),
            draining: Draining::default(),
            log,
        })
    }

    fn start_background(self: &Arc<Self>) {
        self.executor.detach(self.control.clone().run());
        let scheduler = self.scheduler.clone();
        self.executor
            .detach(async move { scheduler.run_timer().await });
        self.executor.detach(self.claims.clone().run_timer());
        let agent = self.clone();
        self.executor
            .detach(async move { agent.watch_view().await });
    }

    /// Passes each change of the configuration or membership to the scheduler. Once the
    /// configuration declares the backend server to be an engine, starts the tasks that only
    /// engines need.
    async fn watch_view(self: Arc<Self>) {
        let changes = self.view.subscribe();
        let mut engine_started = false;
        while changes.recv().await.is_ok() {
            self.update_server_settings();
            if !engine_started && self.is_engine() {
                engine_started = true;
                self.engine.start(&self.settings, self.draining.signal());
                let poll = poll_engine_load(
                    self.backend.clone(),
                    self.scheduler.clone(),
                    self.log.clone(),
                );
                self.executor.detach(poll);
            }
        }
    }

    pub(crate) fn update_server_settings(&self) {
        let view = self.view.get();
        let shutting_down = self.draining.is_started();
        let epoch = self.engine.lease.epoch().unwrap_or(0);
        let settings = server_settings(&view, &self.settings.server, epoch, shutting_down);
        self.metrics.config_version.set(view.version as i64);
        let services = view.declared.servers.iter();
        let services = services.filter(|server| server.kind == ServerKind::Service);
        self.claims.set_agents(services.count() as u32);
        self.scheduler
            .handle(SchedulerEvent::SettingsChanged(settings));
    }

    fn is_engine(&self) -> bool {
        let view = self.view.get();
        let server = view.declared.server(&self.settings.server);
        server.is_some_and(|server| server.kind == ServerKind::Engine)
    }

    async fn drain(&self) {
        info!(self.log, "agent: draining"; "outstanding" => self.scheduler.outstanding());
        self.timeline
            .record(EventKind::Draining, None, None, None, "");
        let drain = self.draining.start(self.drain_times());
        self.control.announce_leaving();
        self.update_server_settings();
        let drained = async {
            // Gateways that have not heard of the drain yet learn of it from refusals.
            Timer::after(self.settings.grace_period).await;
            while !self.is_drained() {
                Timer::after(DRAIN_POLL_INTERVAL).await;
            }
        };
        let left = drain.end.saturating_sub(self.clock.now());
        if timeout(left, drained).await.is_err() {
            warn!(self.log, "agent: drain took too long"; "left" => self.scheduler.outstanding());
        }
    }

    fn drain_times(&self) -> Drain {
        let settings = &self.settings;
        Drain::within(
            self.clock.now(),
            settings.grace_period,
            settings.drain_timeout,
        )
    }

    fn is_drained(&self) -> bool {
        self.scheduler.outstanding() == 0
            && self.claims.unsettled() == 0
            && !self.engine.is_busy()
            && self.open_attempts.load(Ordering::Acquire) == 0
    }

    pub(crate) fn record(&self, kind: EventKind, offer: &Offer, detail: impl Into<Box<str>>) {
        self.timeline.record(
            kind,
            Some(offer.attempt.request),
            Some(offer.team.clone()),
            Some(self.settings.server.clone()),
            detail,
        );
    }
}

struct LinkHandler {
    agent: Arc<Agent>,
}

impl StreamHandler for LinkHandler {
    async fn handle(
        &self,
        peer: Peer,
        opening: StreamOpening,
        mut tx: FrameSender,
        rx: FrameReceiver,
    ) {
        match opening {
            StreamOpening::Request { stamp, offer } if peer.role == Role::Gateway => {
                self.agent.timeline.receive(stamp);
                self.agent.control.observe_peer_version(&peer, offer.config);
                let attempt = Attempt {
                    agent: self.agent.clone(),
                    offer: *offer,
                    tx,
                    rx,
                    may_have_run: false,
                };
                attempt.run().await;
            }
            StreamOpening::Span { stamp, request } if peer.role == Role::Agent => {
                self.agent.timeline.receive(stamp);
                reply_to_span_request(&self.agent.engine.memory, request, tx).await;
            }
            StreamOpening::Config { stamp, message } => {
                self.agent.timeline.receive(stamp);
                self.agent.control.handle_exchange(&peer, message, tx).await;
            }
            StreamOpening::Query { stamp, request } if peer.role == Role::Gateway => {
                self.agent.timeline.receive(stamp);
                let node = self.agent.control.node();
                let reply = reply_to_query(&*self.agent, node, &self.agent.timeline, &request);
                if tx.send(&reply).await.is_ok() {
                    tx.finish();
                }
            }
            _ => warn!(self.agent.log, "link: stream not allowed";
                "peer" => &*peer.node, "role" => %peer.role),
        }
    }
}
