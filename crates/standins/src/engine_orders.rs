//! Orders to an engine, and the loaded models and the role that result from them.

use crate::engine_spec::{EngineOrder, EngineRefusal, EngineRole, EngineSpec};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The state that results from the orders so far.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// Highest fencing number of an accepted order.
    pub fence: u64,
    /// Loaded models, as `name@version`.
    pub models: Vec<Box<str>>,
    /// Role of the last order that set one.
    pub role: EngineRole,
}

/// Applies orders and tracks the loads that they started.
#[derive(Debug)]
pub(crate) struct EngineOrders {
    state: OrderState,
    /// Models being loaded, with the end of the load; absent where `finish_load` ends it.
    loading: Vec<(Option<Duration>, Box<str>)>,
    stale_count: u64,
}

impl EngineOrders {
    pub(crate) fn new(models: Vec<Box<str>>) -> Self {
        let state = OrderState {
            models,
            ..OrderState::default()
        };
        Self {
            state,
            loading: Vec::new(),
            stale_count: 0,
        }
    }

    pub(crate) fn state(&self) -> &OrderState {
        &self.state
    }

    /// Orders accepted with a fencing number below that of an earlier one.
    pub(crate) fn stale_count(&self) -> u64 {
        self.stale_count
    }

    pub(crate) fn has_model(&self, model: &str) -> bool {
        let mut names = self.state.models.iter().map(|name| name.split('@').next());
        names.any(|name| name == Some(model))
    }

    /// Applies an order; returns the model whose load it started, if any.
    pub(crate) fn apply(
        &mut self,
        now: Duration,
        spec: &EngineSpec,
        fence: u64,
        by: &str,
        order: &EngineOrder,
    ) -> Result<Option<Box<str>>, EngineRefusal> {
        if spec.checks_identity && by.is_empty() {
            return Err(EngineRefusal::MissingIdentity);
        }
        if fence < self.state.fence {
            if spec.checks_fencing {
                return Err(EngineRefusal::StaleFence);
            }
            self.stale_count += 1;
        }
        self.state.fence = self.state.fence.max(fence);
        match order {
            EngineOrder::Load(model) => return Ok(self.load(now, spec, model)),
            EngineOrder::Unload(model) => self.unload(model),
            EngineOrder::Role(role) => self.state.role = *role,
            EngineOrder::Adapter(_) => {}
        }
        Ok(None)
    }

    /// Completes the load of a model.
    pub(crate) fn finish_load(&mut self, model: &str) {
        let found = self.loading.iter().position(|(_, name)| &**name == model);
        if let Some(index) = found {
            let (_, model) = self.loading.remove(index);
            self.state.models.push(model);
        }
    }

    /// Completes the loads that end by `now`.
    pub(crate) fn advance(&mut self, now: Duration) {
        let due = |at: &Option<Duration>| at.is_some_and(|at| at <= now);
        while let Some(index) = self.loading.iter().position(|(at, _)| due(at)) {
            let (_, model) = self.loading.remove(index);
            self.state.models.push(model);
        }
    }

    pub(crate) fn next_wakeup(&self) -> Option<Duration> {
        self.loading.iter().filter_map(|(at, _)| *at).min()
    }

    /// Resets the loaded models to those of the start and drops pending loads.
    pub(crate) fn restart(&mut self, models: Vec<Box<str>>) {
        self.loading.clear();
        self.state.models = models;
    }

    fn load(&mut self, now: Duration, spec: &EngineSpec, model: &str) -> Option<Box<str>> {
        let loaded = self.state.models.iter().any(|name| &**name == model);
        let loading = self.loading.iter().any(|(_, name)| &**name == model);
        if loaded || loading {
            return None;
        }
        let done_at = spec.load_time.map(|time| now + time);
        self.loading.push((done_at, model.into()));
        Some(model.into())
    }

    fn unload(&mut self, model: &str) {
        self.state.models.retain(|name| &**name != model);
        self.loading.retain(|(_, name)| &**name != model);
    }
}
