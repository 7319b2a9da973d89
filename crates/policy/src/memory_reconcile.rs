//! Frees what an engine holds without an owner.
//!
//! The order of steps makes a free safe: first the holdings are read, then the server lease is
//! verified, then what no live lease claims is freed. All that was read was held before the moment
//! of which the lease is proven, so that a holder paused after any of these steps can free nothing
//! that a later holder granted: the numbers of grants and attempts are never used again.

use proto::GrantId;
use proto::prelude::*;
use serde::{Deserialize, Serialize};

/// What kind of thing holds engine memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HoldingKind {
    /// A running request, by the text of its attempt.
    Request,
    /// A grant, by [`format_grant`].
    Grant,
}

/// One thing that holds engine memory, by the engine's own account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Its number, as text.
    pub id: Box<str>,
    /// Its kind.
    pub kind: HoldingKind,
    /// Tokens of KV cache.
    pub tokens: Tokens,
}

impl Holding {
    /// Whether its number is of the form that agents give; others' work is left alone.
    pub fn has_agent_id(&self) -> bool {
        match self.kind {
            HoldingKind::Request => parse_attempt(&self.id).is_some(),
            HoldingKind::Grant => parse_grant(&self.id).is_some(),
        }
    }
}

/// A grant's number as the engine is given it.
pub fn format_grant(grant: GrantId) -> Box<str> {
    format!("{grant:032x}").into()
}

/// A grant's number from its text.
pub fn parse_grant(text: &str) -> Option<GrantId> {
    GrantId::from_str_radix(text, 16).ok()
}

/// An attempt from its text.
pub fn parse_attempt(text: &str) -> Option<AttemptId> {
    let (request, number) = text.split_once('-')?;
    Some(AttemptId {
        request: u128::from_str_radix(request, 16).ok()?,
        number: number.parse().ok()?,
    })
}

/// What happened to a [`MemoryReconciler`].
#[derive(Debug, Clone, PartialEq)]
pub enum ReconcileEvent {
    /// The engine told what it holds, or the question failed.
    Holdings(Option<Vec<Holding>>),
    /// The server lease was verified by a commit sent after [`ReconcileAction::Verify`], or not.
    Verified(bool),
    /// Time passed.
    Tick,
}

/// What the driver must do for a [`MemoryReconciler`].
#[derive(Debug, Clone, PartialEq)]
pub enum ReconcileAction {
    /// Reads the engine's holdings.
    Read,
    /// Verifies the server lease by a new commit.
    Verify,
    /// Frees a holding: cancels a request, releases a grant.
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
    /// Time between rounds.
    pub interval: Duration,
    /// Longest wait for one answer.
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

/// Compares at intervals what the engine holds with what live leases and running attempts claim.
#[derive(Debug)]
pub struct MemoryReconciler {
    cfg: ReconcileConfig,
    step: Step,
}

impl MemoryReconciler {
    /// A reconciler that begins at once: a process that starts knows no lease.
    pub fn new(cfg: ReconcileConfig) -> Self {
        let step = Step::Idle {
            due: Duration::ZERO,
        };
        Self { cfg, step }
    }

    /// Takes an event; `is_owned` tells whether a holding has a live owner in this process.
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
                self.holdings(now, holdings, is_owned, out)
            }
            (ReconcileEvent::Holdings(None), Step::Reading { .. }) => self.rest(now),
            (ReconcileEvent::Verified(ok), Step::Verifying { unowned, .. }) => {
                let still_unowned = unowned.into_iter().filter(|held| ok && !is_owned(held));
                out.extend(still_unowned.map(ReconcileAction::Free));
                self.rest(now)
            }
            (ReconcileEvent::Tick, step) => self.tick(now, step, out),
            (_, step) => step,
        };
    }

    fn holdings(
        &self,
        now: Duration,
        mut holdings: Vec<Holding>,
        is_owned: impl Fn(&Holding) -> bool,
        out: &mut Vec<ReconcileAction>,
    ) -> Step {
        holdings.retain(|held| held.has_agent_id() && !is_owned(held));
        if holdings.is_empty() {
            return self.rest(now);
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
                self.rest(now)
            }
            step => step,
        }
    }

    fn rest(&self, now: Duration) -> Step {
        Step::Idle {
            due: now + self.cfg.interval,
        }
    }

    /// When [`ReconcileEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Duration {
        match &self.step {
            Step::Idle { due } => *due,
            Step::Reading { until } | Step::Verifying { until, .. } => *until,
        }
    }
}
