//! Orders by which an agent brings its engine to a desired state, sent under the server lease.
//!
//! An engine that checks fencing numbers refuses orders of a former holder that was paused. For an
//! engine that does not, a commit proves the lease before each order, the order must be written
//! within a short window after that commit, and the state is read again afterwards. One gap
//! remains: a process that is frozen between its last check of the clock and the write may change
//! such an engine late. The current holder corrects this after its next read.

use proto::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A model and its version, as `model@version`.
pub type ModelVersion = Box<str>;

/// Which phases of requests an engine runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineRole {
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
    /// Prefill and decode.
    #[default]
    Mixed,
}

/// An idempotent order, which states the desired result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// The model is to be loaded.
    Load(ModelVersion),
    /// The model is to be unloaded.
    Unload(ModelVersion),
    /// The adapter is to be loaded.
    Adapter(Box<str>),
    /// The engine is to have this role.
    Role(EngineRole),
}

/// Current state of an engine, as far as orders can change it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Highest fencing number that the engine has seen; zero if it does not check them.
    #[serde(default)]
    pub fence: Epoch,
    /// Models that are loaded.
    pub models: BTreeSet<ModelVersion>,
    /// Adapters that are loaded; `None` if the engine does not report them.
    #[serde(default)]
    pub adapters: Option<BTreeSet<Box<str>>>,
    /// Current role.
    pub role: EngineRole,
}

/// The state that an engine should be in.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DesiredState {
    /// Models that should be loaded, and the earliest time at which each may be loaded.
    pub models: BTreeMap<ModelVersion, Duration>,
    /// Models that may be unloaded, as they are not declared any more or enough engines hold them.
    pub unloadable: BTreeSet<ModelVersion>,
    /// Adapters that should be loaded.
    pub adapters: BTreeSet<Box<str>>,
    /// Role that the engine should have.
    pub role: EngineRole,
}

impl DesiredState {
    /// Whether both states are the same apart from the times of loads.
    pub fn has_same_target(&self, other: &Self) -> bool {
        self.models.keys().eq(other.models.keys())
            && self.unloadable == other.unloadable
            && self.adapters == other.adapters
            && self.role == other.role
    }
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine accepted the order.
    Accepted,
    /// The engine has seen a higher fencing number.
    Superseded,
    /// The engine does not accept orders from this process.
    Forbidden,
    /// The order was not applied: the engine rejected it or could not be reached, or the time to
    /// send it had passed.
    NotApplied,
    /// The outcome is unknown.
    Unknown,
}

/// Settings of an [`OrderController`].
#[derive(Debug, Clone, PartialEq)]
pub struct OrderConfig {
    /// Name of this process, which is sent with each order.
    pub holder: Box<str>,
    /// Whether the engine refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Whether the engine checks which process sends an order.
    pub checks_identity: bool,
    /// Time limit from the sending of the commit that proves the lease to the writing of the order.
    pub send_window: Duration,
    /// Time between reads of the state of an engine that checks both.
    pub reread_interval: Duration,
    /// Time between reads of the state of any other engine.
    pub unsafe_reread_interval: Duration,
    /// Timeout of a call.
    pub step_timeout: Duration,
    /// Initial backoff after a failed order or call; doubles up to [`MAX_ORDER_BACKOFF`].
    pub min_backoff: Duration,
}

/// Upper limit of the backoff after a failed order or call, before jitter.
pub const MAX_ORDER_BACKOFF: Duration = Duration::from_secs(30);

impl OrderConfig {
    /// Default settings for an engine that checks neither fencing numbers nor identity.
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

/// Input of an [`OrderController`].
#[derive(Debug, Clone, PartialEq)]
pub enum OrderEvent {
    /// Response to [`OrderAction::Read`]; `None` if the call failed.
    State(Option<EngineState>),
    /// Response to [`OrderAction::Verify`]: when the commit that proved the lease was sent; `None`
    /// if the lease was not proven.
    Verified(Option<Duration>),
    /// Response to [`OrderAction::Send`].
    Ended(OrderResult),
    /// The desired state was computed anew; it may be the same as before.
    DesiredChanged(DesiredState),
    /// A wakeup is due, as given by [`OrderController::next_wakeup`].
    Tick,
}

/// Output of an [`OrderController`], to be carried out by its driver.
#[derive(Debug, Clone, PartialEq)]
pub enum OrderAction {
    /// Read the engine's state.
    Read,
    /// Verify the lease by a new commit.
    Verify,
    /// Send an order, unless `send_by` has passed. The driver checks the clock immediately before
    /// the write.
    Send {
        /// Fencing number to send with the order.
        fence: Epoch,
        /// Name of this process.
        holder: Box<str>,
        /// Order to send.
        order: Order,
        /// Deadline of the write, on the clock of the lease.
        send_by: Duration,
    },
    /// Report to the server lease that the engine has seen a higher fencing number.
    Superseded,
    /// Report to operators that the engine refuses orders of this process.
    Forbidden,
}

#[derive(Debug, Clone, PartialEq)]
enum Step {
    Idle { due: Duration },
    Reading { until: Duration },
    Verifying { until: Duration, order: Order },
    Sending { until: Duration },
}

/// State machine that brings one engine to the desired state, one order at a time.
#[derive(Debug)]
pub struct OrderController {
    cfg: OrderConfig,
    desired: Option<DesiredState>,
    step: Step,
    failures: u32,
    adapters_sent: BTreeSet<(Epoch, Box<str>)>,
}

impl OrderController {
    /// Creates a controller without a desired state; it sends nothing until it has one.
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

    /// Handles an event. `epoch` is the fencing number; `None` unless the lease is certainly held.
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
            (OrderEvent::Verified(proven_at), Step::Verifying { order, .. }) => {
                self.on_verified(now, epoch, proven_at, order, out);
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
                self.back_off(now);
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
            return self.back_off(now);
        };
        if self.cfg.checks_fencing && state.fence > epoch {
            out.push(OrderAction::Superseded);
            return self.back_off(now);
        }
        let Some(order) = self.next_order(now, epoch, &state) else {
            self.failures = 0;
            self.step = Step::Idle {
                due: self.next_read_at(now, &state),
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

    fn next_read_at(&self, now: Duration, state: &EngineState) -> Duration {
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

    /// Returns the order for the first difference. Loads come before unloads, so that replicas are
    /// not lost in between.
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
        proven_at: Option<Duration>,
        order: Order,
        out: &mut Vec<OrderAction>,
    ) {
        let send_by = proven_at.map(|proven_at| proven_at + self.cfg.send_window);
        match (epoch, send_by) {
            (Some(epoch), Some(send_by)) if now < send_by => {
                self.send(now, epoch, send_by, order, out);
            }
            _ => self.back_off(now),
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
            OrderResult::NotApplied => self.back_off(now),
            OrderResult::Superseded => {
                out.push(OrderAction::Superseded);
                self.back_off(now);
            }
            OrderResult::Forbidden => {
                out.push(OrderAction::Forbidden);
                self.back_off(now);
            }
        }
    }

    /// Starts a backoff before the next read; its jitter is derived from the holder's name.
    fn back_off(&mut self, now: Duration) {
        let doubled = self.cfg.min_backoff * 2_u32.pow(self.failures.min(8));
        let name = self.cfg.holder.as_bytes();
        let jitter = xxh3_64_with_seed(name, u64::from(self.failures)) % 256;
        self.failures += 1;
        let backoff = doubled.min(MAX_ORDER_BACKOFF);
        self.step = Step::Idle {
            due: now + backoff + backoff * jitter as u32 / 512,
        };
    }

    /// Time at which [`OrderEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Duration {
        match &self.step {
            Step::Idle { due } => *due,
            Step::Reading { until } | Step::Verifying { until, .. } | Step::Sending { until } => {
                *until
            }
        }
    }
}
