//! The state that orders lead an engine to.

use crate::engine_spec::{EngineOrder, EngineRefusal, EngineRole, EngineSpec};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The state that orders have led to.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// Highest fencing number taken.
    pub fence: u64,
    /// Loaded models, as `name@version`.
    pub models: Vec<Box<str>>,
    /// Role.
    pub role: EngineRole,
}

/// Takes orders.
#[derive(Debug)]
pub(crate) struct EngineOrders {
    state: OrderState,
    loading: Vec<(Option<Duration>, Box<str>)>,
    stale: u64,
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
            stale: 0,
        }
    }

    pub(crate) fn state(&self) -> &OrderState {
        &self.state
    }

    /// Orders taken with a number older than one taken before.
    pub(crate) fn stale(&self) -> u64 {
        self.stale
    }

    pub(crate) fn has_model(&self, model: &str) -> bool {
        let mut names = self
            .state
            .models
            .iter()
            .map(|loaded| loaded.split('@').next());
        names.any(|name| name == Some(model))
    }

    /// Takes an order; gives the model whose load began.
    pub(crate) fn take(
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
            self.stale += 1;
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

    /// Ends a load that the host carries out.
    pub(crate) fn finish_load(&mut self, model: &str) {
        let found = self.loading.iter().position(|(_, name)| &**name == model);
        if let Some(index) = found {
            let (_, model) = self.loading.remove(index);
            self.state.models.push(model);
        }
    }

    /// Ends the loads whose time has come.
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

    /// Forgets models and loads, as a restart does.
    pub(crate) fn restart(&mut self, models: Vec<Box<str>>) {
        self.loading.clear();
        self.state.models = models;
    }

    fn load(&mut self, now: Duration, spec: &EngineSpec, model: &str) -> Option<Box<str>> {
        let known = self.state.models.iter().any(|name| &**name == model);
        let begun = self.loading.iter().any(|(_, name)| &**name == model);
        if known || begun {
            return None;
        }
        let ready = spec.load_time.map(|time| now + time);
        self.loading.push((ready, model.into()));
        Some(model.into())
    }

    fn unload(&mut self, model: &str) {
        self.state.models.retain(|name| &**name != model);
        self.loading.retain(|(_, name)| &**name != model);
    }
}
