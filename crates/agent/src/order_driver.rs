//! Brings the engine to the state that placement wants.

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

const TICK: Duration = Duration::from_millis(500);

/// Sends orders to one engine.
#[derive(Debug)]
pub struct OrderDriver {
    /// The clock of the lease.
    pub clock: Clock,
    /// The backend server.
    pub server: ServerId,
    /// This process, as it tells engines.
    pub holder: Box<str>,
    /// The engine.
    pub engine: EngineClient,
    /// The lease.
    pub lease: Arc<LeaseDriver<HttpPlatform>>,
    /// The configuration and membership.
    pub view: Arc<SharedClusterView>,
    /// Rate of the weight store, in bytes a second.
    pub weight_rate: f64,
    /// The time line.
    pub timeline: Arc<Timeline>,
    /// The log.
    pub log: Logger,
}

impl OrderDriver {
    /// Gives orders for ever, once the configuration names the engine.
    pub async fn run(self) {
        let mut desk: Option<(OrderConfig, OrderController)> = None;
        let mut loaded = LoadedModels::new();
        let mut planned: Option<(Arc<ClusterView>, LoadedModels)> = None;
        loop {
            Timer::after(TICK).await;
            let view = self.view.get();
            let Some(server) = view.declared.server(&self.server) else {
                continue;
            };
            let cfg = self.config(server);
            let current = desk.take().filter(|(old, _)| *old == cfg);
            let (_, desk) = desk.insert(current.unwrap_or_else(|| {
                let desk = OrderController::new(cfg.clone());
                (cfg, desk)
            }));
            let is_planned = planned
                .as_ref()
                .is_some_and(|(seen, held)| Arc::ptr_eq(seen, &view) && *held == loaded);
            if !is_planned {
                let wanted = self.wanted(&view, &loaded);
                planned = Some((view.clone(), loaded.clone()));
                self.step(desk, OrderEvent::DesiredChanged(wanted), &mut loaded)
                    .await;
            }
            self.step(desk, OrderEvent::Tick, &mut loaded).await;
        }
    }

    fn config(&self, server: &Server) -> OrderConfig {
        OrderConfig {
            checks_fencing: server.checks_fencing,
            checks_identity: server.checks_identity,
            ..OrderConfig::for_holder(&self.holder)
        }
    }

    /// Other engines' models are not known here, so that no model is unloaded while they may lack
    /// it.
    fn wanted(&self, view: &ClusterView, loaded: &LoadedModels) -> DesiredState {
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

    async fn step(&self, desk: &mut OrderController, event: OrderEvent, loaded: &mut LoadedModels) {
        let mut actions = Vec::new();
        let mut event = event;
        loop {
            let epoch = self.lease.epoch();
            desk.handle(self.clock.now(), epoch, event, &mut actions);
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
                    warn!(self.log, "order: not sent without lease"; "order" => ?order);
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
                    // The last look at the clock: a pause before it voids the order.
                    if self.clock.now() < send_by {
                        OrderEvent::Ended(self.engine.order(fence, &holder, &order).await)
                    } else {
                        OrderEvent::Ended(OrderResult::NotApplied)
                    }
                }
                OrderAction::Superseded => {
                    info!(self.log, "order: engine has seen a higher fencing number");
                    self.lease.supersede().await;
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
