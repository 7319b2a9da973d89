//! Orders of one agent to its engine: wanted state, sent under a proven lease, read again after.
//!
//! An engine that checks fencing numbers refuses what a paused holder sends. For one that does not,
//! each order is preceded by a commit that proves the lease, must be written within a short window
//! of it, and is read again after. What remains: a process that is frozen between its last look at
//! the clock and the write may change such an engine late; the holder's next reading puts it right.

use proto::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A model with its version, as `model@version`.
pub type ModelVersion = Box<str>;

/// What an engine works on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineRole {
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
    /// Both.
    #[default]
    Mixed,
}

/// An order; it states the wanted result and is idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Has the model loaded.
    Load(ModelVersion),
    /// Has the model not loaded.
    Unload(ModelVersion),
    /// Has the adapter loaded.
    Adapter(Box<str>),
    /// Has the role.
    Role(EngineRole),
}

/// The state that orders have led an engine to.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Highest fencing number seen; zero where the engine keeps none.
    #[serde(default)]
    pub fence: Epoch,
    /// Models loaded.
    pub models: BTreeSet<ModelVersion>,
    /// Adapters loaded; none where the engine does not tell.
    #[serde(default)]
    pub adapters: Option<BTreeSet<Box<str>>>,
    /// Role.
    pub role: EngineRole,
}

/// The state that an engine should be in.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DesiredState {
    /// Models to have, and when each may be loaded at the earliest.
    pub models: BTreeMap<ModelVersion, Duration>,
    /// Models that may be unloaded, because enough others hold them.
    pub unloadable: BTreeSet<ModelVersion>,
    /// Adapters to have.
    pub adapters: BTreeSet<Box<str>>,
    /// Role.
    pub role: EngineRole,
}

impl DesiredState {
    /// Whether both lead to the same, at whatever times.
    pub fn has_same_target(&self, other: &Self) -> bool {
        self.models.keys().eq(other.models.keys())
            && self.unloadable == other.unloadable
            && self.adapters == other.adapters
            && self.role == other.role
    }
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine took it.
    Accepted,
    /// The engine has seen a higher fencing number.
    Superseded,
    /// The engine does not accept orders from this process.
    Forbidden,
    /// Not taken, or not sent because the window was over.
    NotApplied,
    /// Nobody knows.
    Unknown,
}

/// Settings of an [`OrderController`].
#[derive(Debug, Clone, PartialEq)]
pub struct OrderConfig {
    /// The process, as it tells engines.
    pub holder: Box<str>,
    /// Whether the engine refuses old fencing numbers.
    pub checks_fencing: bool,
    /// Whether the engine checks who orders.
    pub checks_identity: bool,
    /// Longest time from the sending of the proving commit to the writing of the order.
    pub send_window: Duration,
    /// Time between readings of an engine that checks both.
    pub reread_interval: Duration,
    /// Time between readings of any other engine.
    pub unsafe_reread_interval: Duration,
    /// Longest wait for an answer.
    pub step_timeout: Duration,
    /// First pause after an order that was not taken; doubles up to [`MAX_ORDER_BACKOFF`].
    pub min_backoff: Duration,
}

/// Longest pause after an order that was not taken.
pub const MAX_ORDER_BACKOFF: Duration = Duration::from_secs(30);

impl OrderConfig {
    /// Settings for an engine that checks nothing.
    pub fn for_holder(holder: &str) -> Self {
        Self {
            holder: holder.into(),
            checks_fencing: false,
            checks_identity: false,
            send_window: Duration::from_millis(500),
            reread_interval: Duration::from_secs(30),
            unsafe_reread_interval: Duration::from_secs(2),
            step_timeout: Duration::from_secs(2),
            min_backoff: Duration::from_millis(500),
        }
    }
}

/// What happened to an [`OrderController`].
#[derive(Debug, Clone, PartialEq)]
pub enum OrderEvent {
    /// The engine told its state, or the question failed.
    State(Option<EngineState>),
    /// The lease was proven by a commit sent at that time after [`OrderAction::Verify`], or not.
    Verified(Option<Duration>),
    /// The order ended.
    Ended(OrderResult),
    /// Another state is wanted.
    DesiredChanged(DesiredState),
    /// Time passed.
    Tick,
}

/// What the driver must do for an [`OrderController`].
#[derive(Debug, Clone, PartialEq)]
pub enum OrderAction {
    /// Reads the engine's state.
    Read,
    /// Proves the lease by a new commit.
    Verify,
    /// Sends an order, unless the clock is past `send_by` just before it is written.
    Send {
        /// Fencing number.
        fence: Epoch,
        /// This process.
        holder: Box<str>,
        /// The order.
        order: Order,
        /// Last moment of writing.
        send_by: Duration,
    },
    /// Tells the lease that the engine has seen a higher fencing number.
    Superseded,
    /// Tells operators that the engine refuses this process.
    Forbidden,
}

#[derive(Debug, Clone, PartialEq)]
enum Step {
    Idle { due: Duration },
    Reading { until: Duration },
    Verifying { until: Duration, order: Order },
    Sending { until: Duration },
}

/// Brings one engine to the wanted state, one order at a time.
#[derive(Debug)]
pub struct OrderController {
    cfg: OrderConfig,
    desired: Option<DesiredState>,
    step: Step,
    failures: u32,
    adapters_sent: BTreeSet<(Epoch, Box<str>)>,
}

impl OrderController {
    /// A desk that wants nothing yet.
    pub fn new(cfg: OrderConfig) -> Self {
        let step = Step::Idle {
            due: Duration::ZERO,
        };
        Self {
            cfg,
            desired: None,
            step,
            failures: 0,
            adapters_sent: BTreeSet::new(),
        }
    }

    /// Takes an event; `epoch` is the fencing number while the lease is held for sure.
    pub fn handle(
        &mut self,
        now: Duration,
        epoch: Option<Epoch>,
        event: OrderEvent,
        out: &mut Vec<OrderAction>,
    ) {
        match (event, self.step.clone()) {
            (OrderEvent::DesiredChanged(desired), _) => self.set_desired(now, desired),
            (OrderEvent::State(state), Step::Reading { .. }) => {
                self.on_state(now, epoch, state, out);
            }
            (OrderEvent::Verified(proven), Step::Verifying { order, .. }) => {
                self.on_verified(now, epoch, proven, order, out);
            }
            (OrderEvent::Ended(end), Step::Sending { .. }) => self.on_ended(now, end, out),
            _ => {}
        }
        self.proceed(now, epoch, out);
    }

    fn set_desired(&mut self, now: Duration, desired: DesiredState) {
        let same = self
            .desired
            .as_ref()
            .is_some_and(|old| old.has_same_target(&desired));
        self.desired = Some(desired);
        if !same && matches!(self.step, Step::Idle { .. }) {
            self.step = Step::Idle { due: now };
        }
    }

    fn proceed(&mut self, now: Duration, epoch: Option<Epoch>, out: &mut Vec<OrderAction>) {
        match self.step {
            Step::Idle { due } if due <= now && epoch.is_some() && self.desired.is_some() => {
                self.step = Step::Reading {
                    until: now + self.cfg.step_timeout,
                };
                out.push(OrderAction::Read);
            }
            Step::Reading { until } | Step::Verifying { until, .. } | Step::Sending { until }
                if until <= now =>
            {
                self.pause(now);
            }
            _ => {}
        }
    }

    fn on_state(
        &mut self,
        now: Duration,
        epoch: Option<Epoch>,
        state: Option<EngineState>,
        out: &mut Vec<OrderAction>,
    ) {
        let (Some(state), Some(epoch)) = (state, epoch) else {
            return self.pause(now);
        };
        if self.cfg.checks_fencing && state.fence > epoch {
            out.push(OrderAction::Superseded);
            return self.pause(now);
        }
        let Some(order) = self.next_order(now, epoch, &state) else {
            self.failures = 0;
            self.step = Step::Idle {
                due: self.next_reading(now, &state),
            };
            return;
        };
        if self.cfg.checks_fencing {
            self.send(now, epoch, now + self.cfg.send_window, order, out);
        } else {
            out.push(OrderAction::Verify);
            self.step = Step::Verifying {
                until: now + self.cfg.step_timeout,
                order,
            };
        }
    }

    fn next_reading(&self, now: Duration, state: &EngineState) -> Duration {
        let safe = self.cfg.checks_fencing && self.cfg.checks_identity;
        let interval = if safe {
            self.cfg.reread_interval
        } else {
            self.cfg.unsafe_reread_interval
        };
        let models = self.desired.iter().flat_map(|desired| &desired.models);
        models
            .filter(|(model, _)| !state.models.contains(*model))
            .map(|(_, load_at)| *load_at)
            .chain([now + interval])
            .min()
            .unwrap_or(now + interval)
            .max(now)
    }

    /// The first difference: loads come before unloads, so that replicas are not lost meanwhile.
    fn next_order(&self, now: Duration, epoch: Epoch, state: &EngineState) -> Option<Order> {
        let desired = self.desired.as_ref()?;
        if state.role != desired.role {
            return Some(Order::Role(desired.role));
        }
        let load = desired
            .models
            .iter()
            .find(|(model, load_at)| **load_at <= now && !state.models.contains(*model))
            .map(|(model, _)| Order::Load(model.clone()));
        let adapter = || {
            let mut names = desired.adapters.iter();
            let name = names.find(|name| match &state.adapters {
                Some(loaded) => !loaded.contains(*name),
                None => !self.adapters_sent.contains(&(epoch, (*name).clone())),
            })?;
            Some(Order::Adapter(name.clone()))
        };
        let unload = || {
            let unloadable = |model: &&ModelVersion| {
                !desired.models.contains_key(*model) && desired.unloadable.contains(*model)
            };
            let model = state.models.iter().find(unloadable)?;
            Some(Order::Unload(model.clone()))
        };
        load.or_else(adapter).or_else(unload)
    }

    fn on_verified(
        &mut self,
        now: Duration,
        epoch: Option<Epoch>,
        proven: Option<Duration>,
        order: Order,
        out: &mut Vec<OrderAction>,
    ) {
        let send_by = proven.map(|proven| proven + self.cfg.send_window);
        match (epoch, send_by) {
            (Some(epoch), Some(send_by)) if now < send_by => {
                self.send(now, epoch, send_by, order, out);
            }
            _ => self.pause(now),
        }
    }

    fn send(
        &mut self,
        now: Duration,
        fence: Epoch,
        send_by: Duration,
        order: Order,
        out: &mut Vec<OrderAction>,
    ) {
        if let Order::Adapter(name) = &order {
            self.adapters_sent.insert((fence, name.clone()));
        }
        self.step = Step::Sending {
            until: now + self.cfg.step_timeout,
        };
        out.push(OrderAction::Send {
            fence,
            holder: self.cfg.holder.clone(),
            order,
            send_by,
        });
    }

    fn on_ended(&mut self, now: Duration, end: OrderResult, out: &mut Vec<OrderAction>) {
        match end {
            OrderResult::Accepted | OrderResult::Unknown => self.step = Step::Idle { due: now },
            OrderResult::NotApplied => self.pause(now),
            OrderResult::Superseded => {
                out.push(OrderAction::Superseded);
                self.pause(now);
            }
            OrderResult::Forbidden => {
                out.push(OrderAction::Forbidden);
                self.pause(now);
            }
        }
    }

    /// Waits before the next reading; the jitter comes from the holder's name.
    fn pause(&mut self, now: Duration) {
        let doubled = self.cfg.min_backoff * 2_u32.pow(self.failures.min(8));
        let name = self.cfg.holder.as_bytes();
        let jitter = xxh3_64_with_seed(name, u64::from(self.failures)) % 256;
        self.failures += 1;
        let pause = doubled.min(MAX_ORDER_BACKOFF);
        self.step = Step::Idle {
            due: now + pause + pause * jitter as u32 / 512,
        };
    }

    /// When [`OrderEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Duration {
        match &self.step {
            Step::Idle { due } => *due,
            Step::Reading { until } | Step::Verifying { until, .. } | Step::Sending { until } => {
                *until
            }
        }
    }
}
