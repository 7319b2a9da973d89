//! Frees memory that an engine holds for requests or grants without an owner.
//!
//! The order of the steps makes this safe: the holdings are read, then the server lease is
//! verified, then holdings without an owner are freed. All holdings that were read existed before
//! the time for which the lease is proven. As ids of grants and attempts are never used again, a
//! holder of the lease that is paused after any of these steps cannot free what a later holder has
//! granted.

use proto::GrantId;
use proto::prelude::*;
use serde::{Deserialize, Serialize};

/// What engine memory is held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HoldingKind {
    /// A running request; its id is the text of the attempt.
    Request,
    /// A grant to a span; its id has the form of [`format_grant`].
    Grant,
}

/// An entry of the engine's list of what it holds memory for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Id, as given to the engine.
    pub id: Box<str>,
    /// What the memory is held for.
    pub kind: HoldingKind,
    /// Size in tokens of KV cache.
    pub tokens: Tokens,
}

impl Holding {
    /// Whether the id has the form that agents assign. Other work of the engine is left alone.
    pub fn has_agent_id(&self) -> bool {
        match self.kind {
            HoldingKind::Request => parse_attempt(&self.id).is_some(),
            HoldingKind::Grant => parse_grant(&self.id).is_some(),
        }
    }
}

/// Formats the id of a grant for the engine, as 32 hexadecimal digits.
pub fn format_grant(grant: GrantId) -> Box<str> {
    format!("{grant:032x}").into()
}

/// Parses the id of a grant; `None` if it is not a hexadecimal number.
pub fn parse_grant(text: &str) -> Option<GrantId> {
    GrantId::from_str_radix(text, 16).ok()
}

/// Parses the text form of an attempt; `None` if it is malformed.
pub fn parse_attempt(text: &str) -> Option<AttemptId> {
    let (request, number) = text.split_once('-')?;
    Some(AttemptId {
        request: u128::from_str_radix(request, 16).ok()?,
        number: number.parse().ok()?,
    })
}

/// Input of a [`MemoryReconciler`].
#[derive(Debug, Clone, PartialEq)]
pub enum ReconcileEvent {
    /// Response to [`ReconcileAction::Read`]; `None` if the call failed.
    Holdings(Option<Vec<Holding>>),
    /// Response to [`ReconcileAction::Verify`]: whether a commit sent after it renewed the lease.
    Verified(bool),
    /// A wakeup is due, as given by [`MemoryReconciler::next_wakeup`].
    Tick,
}

/// Output of a [`MemoryReconciler`], to be carried out by its driver.
#[derive(Debug, Clone, PartialEq)]
pub enum ReconcileAction {
    /// Read the engine's list of holdings.
    Read,
    /// Verify the server lease by a new commit.
    Verify,
    /// Free a holding: cancel the request or release the grant.
    Free(Holding),
}

#[derive(Debug)]
enum Step {
    Idle {
        due: Duration,
    },
    Reading {
        until: Duration,
    },
    Verifying {
        until: Duration,
        unowned: Vec<Holding>,
    },
}

/// Settings of a [`MemoryReconciler`].
#[derive(Debug, Clone, PartialEq)]
pub struct ReconcileConfig {
    /// Pause between two rounds.
    pub interval: Duration,
    /// Timeout of each step of a round.
    pub step_timeout: Duration,
}

impl Default for ReconcileConfig {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(2),
            step_timeout: Duration::from_secs(1),
        }
    }
}

/// Periodically compares the engine's holdings with the live leases and running attempts.
#[derive(Debug)]
pub struct MemoryReconciler {
    cfg: ReconcileConfig,
    step: Step,
}

impl MemoryReconciler {
    /// Creates a reconciler whose first round is due at once, because a process that has just
    /// started has no leases and the engine may still hold memory for its predecessor.
    pub fn new(cfg: ReconcileConfig) -> Self {
        let step = Step::Idle {
            due: Duration::ZERO,
        };
        Self { cfg, step }
    }

    /// Handles an event. `is_owned` tells whether a holding has a live owner in this process.
    pub fn handle(
        &mut self,
        now: Duration,
        event: ReconcileEvent,
        is_owned: impl Fn(&Holding) -> bool,
        out: &mut Vec<ReconcileAction>,
    ) {
        let step = std::mem::replace(&mut self.step, Step::Idle { due: now });
        self.step = match (event, step) {
            (ReconcileEvent::Holdings(Some(holdings)), Step::Reading { .. }) => {
                self.on_holdings(now, holdings, is_owned, out)
            }
            (ReconcileEvent::Holdings(None), Step::Reading { .. }) => self.idle(now),
            (ReconcileEvent::Verified(ok), Step::Verifying { unowned, .. }) => {
                let still_unowned = unowned.into_iter().filter(|held| ok && !is_owned(held));
                out.extend(still_unowned.map(ReconcileAction::Free));
                self.idle(now)
            }
            (ReconcileEvent::Tick, step) => self.tick(now, step, out),
            (_, step) => step,
        };
    }

    fn on_holdings(
        &self,
        now: Duration,
        mut holdings: Vec<Holding>,
        is_owned: impl Fn(&Holding) -> bool,
        out: &mut Vec<ReconcileAction>,
    ) -> Step {
        holdings.retain(|held| held.has_agent_id() && !is_owned(held));
        if holdings.is_empty() {
            return self.idle(now);
        }
        out.push(ReconcileAction::Verify);
        Step::Verifying {
            until: now + self.cfg.step_timeout,
            unowned: holdings,
        }
    }

    fn tick(&self, now: Duration, step: Step, out: &mut Vec<ReconcileAction>) -> Step {
        match step {
            Step::Idle { due } if due <= now => {
                out.push(ReconcileAction::Read);
                Step::Reading {
                    until: now + self.cfg.step_timeout,
                }
            }
            Step::Reading { until } | Step::Verifying { until, .. } if until <= now => {
                self.idle(now)
            }
            step => step,
        }
    }

    fn idle(&self, now: Duration) -> Step {
        Step::Idle {
            due: now + self.cfg.interval,
        }
    }

    /// Time at which [`ReconcileEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Duration {
        match &self.step {
            Step::Idle { due } => *due,
            Step::Reading { until } | Step::Verifying { until, .. } => *until,
        }
    }
}
