//! What an agent beside an engine has besides the scheduler: lease, memory, spans and orders.

use crate::engine_client::EngineClient;
use crate::lease_driver::LeaseDriver;
use crate::memory_driver::MemoryDriver;
use crate::order_driver::OrderDriver;
use crate::scheduler_driver::SchedulerDriver;
use crate::server_settings::server_settings;
use crate::settings::AgentSettings;
use crate::span_driver::SpanDriver;
use async_io::Timer;
use node::SharedClusterView;
use platform::HttpPlatform;
use policy::{Event, ServerLeaseConfig};
use proto::SpanRequest;
use runtime::{Clock, Executor, FrameSender, HttpClient, LinkEndpoint, ShutdownSignal, Timeline};
use slog::Logger;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

const SETTINGS_REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// What the parts share with the rest of the agent.
#[derive(Debug, Clone)]
pub struct SharedHandles {
    /// Runs everything.
    pub executor: Executor,
    /// The configuration and membership.
    pub view: Arc<SharedClusterView>,
    /// The scheduler.
    pub scheduler: Arc<SchedulerDriver>,
    /// The time line.
    pub timeline: Arc<Timeline>,
    /// The log.
    pub log: Logger,
}

/// Lease, memory and spans of one engine.
#[derive(Debug)]
pub struct EngineParts {
    /// The lease on the backend server.
    pub lease: Arc<LeaseDriver<HttpPlatform>>,
    /// The engine's memory.
    pub memory: Arc<MemoryDriver>,
    /// Spans that this agent leads.
    pub spans: Arc<SpanDriver>,
    shared: SharedHandles,
    holder: Box<str>,
}

impl EngineParts {
    /// Parts that do nothing until they are started.
    pub fn new(
        shared: SharedHandles,
        settings: &AgentSettings,
        link: &Arc<LinkEndpoint>,
        platform: HttpPlatform,
    ) -> Self {
        let node = &settings.node.node;
        let address = link.local_addr();
        let holder: Box<str> = format!("{node}/{}", Clock::unix_time().as_micros()).into();
        let bound_address = format!("{node}/{address}");
        let lease = Arc::new(LeaseDriver::new(
            shared.scheduler.clock(),
            platform,
            &settings.server,
            ServerLeaseConfig::for_holder(&holder, &bound_address),
            shared.timeline.clone(),
            shared.log.clone(),
        ));
        let memory = Arc::new(MemoryDriver::new(
            shared.executor.clone(),
            &settings.server,
            engine_client(&shared, settings),
            shared.scheduler.clone(),
            lease.clone(),
            shared.timeline.clone(),
            shared.log.clone(),
        ));
        let spans = Arc::new(SpanDriver {
            executor: shared.executor.clone(),
            server: settings.server.clone(),
            view: shared.view.clone(),
            link: link.clone(),
            memory: memory.clone(),
            scheduler: shared.scheduler.clone(),
            timeline: shared.timeline.clone(),
            log: shared.log.clone(),
            active: AtomicUsize::new(0),
        });
        Self {
            lease,
            memory,
            spans,
            shared,
            holder,
        }
    }

    /// Whether spans run that this agent leads or has a part in.
    pub fn is_busy(&self) -> bool {
        self.spans.active() > 0 || self.memory.granted_tokens() > 0
    }

    /// Starts all parts, once the configuration says that the backend server is an engine.
    pub fn start(&self, settings: &AgentSettings, shutdown: ShutdownSignal) {
        let executor = &self.shared.executor;
        let lease = self.lease.clone();
        executor.detach(async move { lease.run().await });
        executor.detach(self.memory.clone().run());
        let orders = OrderDriver {
            clock: self.shared.scheduler.clock(),
            server: settings.server.clone(),
            holder: self.holder.clone(),
            engine: engine_client(&self.shared, settings),
            lease: self.lease.clone(),
            view: self.shared.view.clone(),
            weight_rate: settings.weight_rate,
            timeline: self.shared.timeline.clone(),
            log: self.shared.log.clone(),
        };
        executor.detach(orders.run());
        let refresher = SettingsRefresher {
            shared: self.shared.clone(),
            lease: self.lease.clone(),
            memory: self.memory.clone(),
            server: settings.server.clone(),
            shutdown,
        };
        executor.detach(refresher.run());
    }
}

/// Answers a leader on its stream.
pub async fn reply_to_span_request(
    memory: &Arc<MemoryDriver>,
    request: SpanRequest,
    mut tx: FrameSender,
) {
    let reply = memory.handle_request(request).await;
    if tx.send(&reply).await.is_ok() {
        tx.finish();
    }
}

fn engine_client(shared: &SharedHandles, settings: &AgentSettings) -> EngineClient {
    let client = HttpClient::new(shared.executor.clone());
    EngineClient::new(settings.backend, client)
}

/// Keeps the scheduler and the memory informed of the lease and the engine's warmth.
struct SettingsRefresher {
    shared: SharedHandles,
    lease: Arc<LeaseDriver<HttpPlatform>>,
    memory: Arc<MemoryDriver>,
    server: Box<str>,
    shutdown: ShutdownSignal,
}

impl SettingsRefresher {
    async fn run(self) {
        let mut last = None;
        loop {
            let view = self.shared.view.get();
            let epoch = self.lease.epoch().unwrap_or(0);
            let stopping = self.shutdown.is_started();
            let settings = server_settings(&view, &self.server, epoch, stopping);
            let refuse_grants = settings.domain_out || settings.draining;
            self.memory
                .configure(settings.memory_tokens.unwrap_or(0), refuse_grants);
            if last.as_ref() != Some(&settings) {
                last = Some(settings.clone());
                self.shared
                    .scheduler
                    .handle(Event::SettingsChanged(settings));
            }
            Timer::after(SETTINGS_REFRESH_INTERVAL).await;
        }
    }
}
