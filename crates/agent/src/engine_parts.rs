//! The parts of an agent that only engines need: lease, memory, spans and orders.

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
use policy::{SchedulerEvent, ServerLeaseConfig};
use proto::SpanRequest;
use runtime::{Clock, Executor, FrameSender, HttpClient, LinkEndpoint, ShutdownSignal, Timeline};
use slog::Logger;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

const SETTINGS_REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Handles that the parts share with the rest of the agent.
#[derive(Debug, Clone)]
pub struct SharedHandles {
    /// Executor of all tasks.
    pub executor: Executor,
    /// Latest configuration and membership.
    pub view: Arc<SharedClusterView>,
    /// Scheduler of the backend server.
    pub scheduler: Arc<SchedulerDriver>,
    /// Timeline of the process.
    pub timeline: Arc<Timeline>,
    /// Log of the process.
    pub log: Logger,
}

/// Lease, memory and spans of the agent's engine.
#[derive(Debug)]
pub struct EngineParts {
    /// Lease on the backend server.
    pub lease: Arc<LeaseDriver<HttpPlatform>>,
    /// Grants of the engine's memory.
    pub memory: Arc<MemoryDriver>,
    /// Spans that this agent leads.
    pub spans: Arc<SpanDriver>,
    shared: SharedHandles,
    holder: Box<str>,
}

impl EngineParts {
    /// Creates the parts, which do nothing until [`Self::start`] is called.
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

    /// Whether this agent leads a span or has granted memory to one.
    pub fn is_busy(&self) -> bool {
        self.spans.active_spans() > 0 || self.memory.granted_tokens() > 0
    }

    /// Starts all parts. Called once, when the configuration declares the backend server to be an
    /// engine.
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

/// Handles a request of the leader of a span, and replies on its stream.
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

/// Polls the settings of the backend server for the scheduler and the memory driver, because the
/// epoch of the lease changes without a change of the configuration.
struct SettingsRefresher {
    shared: SharedHandles,
    lease: Arc<LeaseDriver<HttpPlatform>>,
    memory: Arc<MemoryDriver>,
    server: Box<str>,
    shutdown: ShutdownSignal,
}

impl SettingsRefresher {
    async fn run(self) {
        let mut last_sent = None;
        loop {
            let view = self.shared.view.get();
            let epoch = self.lease.epoch().unwrap_or(0);
            let shutting_down = self.shutdown.is_started();
            let settings = server_settings(&view, &self.server, epoch, shutting_down);
            let refuse_grants = settings.domain_out || settings.draining;
            self.memory
                .configure(settings.memory_tokens.unwrap_or(0), refuse_grants);
            if last_sent.as_ref() != Some(&settings) {
                last_sent = Some(settings.clone());
                self.shared
                    .scheduler
                    .handle(SchedulerEvent::SettingsChanged(settings));
            }
            Timer::after(SETTINGS_REFRESH_INTERVAL).await;
        }
    }
}
