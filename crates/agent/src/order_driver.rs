//! Drives [`OrderController`], which brings the engine to the state desired by [`Placement`].

use crate::engine_client::EngineClient;
use crate::lease_driver::LeaseDriver;
use async_io::Timer;
use declarations::Server;
use node::{ClusterView, SharedClusterView};
use platform::HttpPlatform;
use policy::{
    DesiredState, LoadedModels, OrderAction, OrderConfig, OrderController, OrderEvent, OrderResult,
    Placement,
};
use proto::{EventKind, HostId, ServerId};
use runtime::{Clock, Timeline};
use slog::{Logger, info, warn};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Sends orders to one engine.
#[derive(Debug)]
pub struct OrderDriver {
    /// Clock of the process, which the lease uses too.
    pub clock: Clock,
    /// Name of the backend server.
    pub server: ServerId,
    /// Name of this process, sent with each order.
    pub holder: Box<str>,
    /// Client of the engine.
    pub engine: EngineClient,
    /// Lease on the backend server.
    pub lease: Arc<LeaseDriver<HttpPlatform>>,
    /// Latest configuration and membership.
    pub view: Arc<SharedClusterView>,
    /// Rate limit of the weight store, in bytes per second.
    pub weight_rate: f64,
    /// Timeline of the process.
    pub timeline: Arc<Timeline>,
    /// Log of the process.
    pub log: Logger,
}

impl OrderDriver {
    /// Sends orders while the configuration declares the backend server. Never returns.
    pub async fn run(self) {
        let mut controller: Option<(OrderConfig, OrderController)> = None;
        let mut loaded = LoadedModels::new();
        let mut planned_from: Option<(Arc<ClusterView>, LoadedModels)> = None;
        loop {
            Timer::after(TICK_INTERVAL).await;
            let view = self.view.get();
            let Some(server) = view.declared.server(&self.server) else {
                continue;
            };
            let cfg = self.config(server);
            let current = controller.take().filter(|(old, _)| *old == cfg);
            let (_, controller) = controller.insert(current.unwrap_or_else(|| {
                let controller = OrderController::new(cfg.clone());
                (cfg, controller)
            }));
            let is_current = planned_from.as_ref().is_some_and(|(old_view, old_loaded)| {
                Arc::ptr_eq(old_view, &view) && *old_loaded == loaded
            });
            if !is_current {
                let desired = self.desired_state(&view, &loaded);
                planned_from = Some((view.clone(), loaded.clone()));
                self.process(controller, OrderEvent::DesiredChanged(desired), &mut loaded)
                    .await;
            }
            self.process(controller, OrderEvent::Tick, &mut loaded)
                .await;
        }
    }

    fn config(&self, server: &Server) -> OrderConfig {
        OrderConfig {
            checks_fencing: server.checks_fencing,
            checks_identity: server.checks_identity,
            ..OrderConfig::for_holder(&self.holder)
        }
    }

    /// Computes the desired state. The models of other engines are not known here, so that no model
    /// is unloaded while they may lack it.
    fn desired_state(&self, view: &ClusterView, loaded: &LoadedModels) -> DesiredState {
        let live_hosts: BTreeSet<HostId> = view
            .members
            .nodes
            .values()
            .filter(|member| !member.leaving && !member.down)
            .map(|member| member.host.clone())
            .collect();
        let placement = Placement {
            declared: &view.declared,
            live_hosts: &live_hosts,
            weight_store_bytes_per_second: self.weight_rate,
        };
        placement.desired_state(&self.server, loaded, self.clock.now())
    }

    async fn process(
        &self,
        controller: &mut OrderController,
        event: OrderEvent,
        loaded: &mut LoadedModels,
    ) {
        let mut actions = Vec::new();
        let mut event = event;
        loop {
            let epoch = self.lease.epoch();
            controller.handle(self.clock.now(), epoch, event, &mut actions);
            let Some(action) = actions.pop() else {
                return;
            };
            event = match action {
                OrderAction::Read => {
                    let state = self.engine.state().await;
                    if let Some(state) = &state {
                        loaded.insert(self.server.clone(), state.models.clone());
                    }
                    OrderEvent::State(state)
                }
                OrderAction::Verify => OrderEvent::Verified(self.lease.verify().await),
                OrderAction::Send { fence, order, .. } if epoch != Some(fence) => {
                    warn!(self.log, "order: not sent, the lease is not held"; "order" => ?order);
                    OrderEvent::Ended(OrderResult::NotApplied)
                }
                OrderAction::Send {
                    fence,
                    holder,
                    order,
                    send_by,
                } => {
                    let detail = format!("{order:?} with fencing number {fence}");
                    self.timeline
                        .record(EventKind::Order, None, None, None, detail);
                    // Last check of the clock before the write: after a long pause of the process,
                    // the order is not sent.
                    if self.clock.now() < send_by {
                        OrderEvent::Ended(self.engine.send_order(fence, &holder, &order).await)
                    } else {
                        OrderEvent::Ended(OrderResult::NotApplied)
                    }
                }
                OrderAction::Superseded => {
                    info!(self.log, "order: engine has seen a higher fencing number");
                    self.lease.report_superseded().await;
                    OrderEvent::Tick
                }
                OrderAction::Forbidden => {
                    warn!(self.log, "order: engine refuses this process");
                    OrderEvent::Tick
                }
            };
        }
    }
}
