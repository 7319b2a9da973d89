//! The lease on one backend server, as a row of the table service.
//!
//! The row's epoch grows with each new holder and is the fencing number of its orders. No clocks
//! are compared: a contender takes the row over only after it has watched it unchanged for the
//! whole lease on its own clock, and a holder counts its lease from before it sent the commit.

use proto::prelude::*;
use serde::{Deserialize, Serialize};

/// Settings of a [`ServerLease`].
#[derive(Debug, Clone, PartialEq)]
pub struct ServerLeaseConfig {
    /// The process that holds or wants the lease; another incarnation has another name.
    pub holder: Box<str>,
    /// Host and address that the process has bound for itself alone. A row of the same slot can
    /// only be of a process that is gone.
    pub bound_address: Box<str>,
    /// How long a lease lasts.
    pub duration: Duration,
    /// Time between renewals.
    pub renew_interval: Duration,
    /// Taken off the lease at the holder and added to it at contenders, for drifting clocks.
    pub clock_drift_margin: Duration,
    /// Longest wait for an answer of the table service.
    pub step_timeout: Duration,
}

impl ServerLeaseConfig {
    /// Settings for a process, with defaults.
    pub fn for_holder(holder: &str, bound_address: &str) -> Self {
        Self {
            holder: holder.into(),
            bound_address: bound_address.into(),
            duration: Duration::from_secs(15),
            renew_interval: Duration::from_secs(5),
            clock_drift_margin: Duration::from_millis(500),
            step_timeout: Duration::from_secs(2),
        }
    }
}

/// Value of the row `lease/<server>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Fencing number.
    pub epoch: Epoch,
    /// The holder.
    pub holder: Box<str>,
    /// Where the holder listens.
    #[serde(rename = "slot")]
    pub bound_address: Box<str>,
}

/// How a commit of the row ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseCommitResult {
    /// It took effect and gave this version.
    Committed(u64),
    /// The row had changed, or nothing was done.
    NotCommitted,
    /// Nobody knows.
    Unknown,
}

/// What happened to a [`ServerLease`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The row and its version as read; none where the read failed.
    Row(Option<(u64, Option<LeaseRow>)>),
    /// The commit that was sent then ended.
    Committed {
        /// As in [`LeaseAction::Commit`]; the answer of an earlier commit proves nothing.
        sent: Duration,
        /// How.
        result: LeaseCommitResult,
    },
    /// Somebody needs a fresh proof that the lease is held.
    Verify,
    /// An engine has seen a higher fencing number.
    Superseded,
    /// Time passed.
    Tick,
}

/// What the driver must do for a [`ServerLease`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Reads the row.
    Read,
    /// Writes the row if it has that version.
    Commit {
        /// When; names the commit.
        sent: Duration,
        /// Version expected.
        version: u64,
        /// New value.
        row: LeaseRow,
    },
    /// The lease is held, with this fencing number.
    Acquired(Epoch),
    /// A commit that was sent after the last [`LeaseEvent::Verify`] proved the lease, or not.
    Verified(bool),
    /// The lease is not held any more.
    Lost(Epoch),
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    Idle { due: Duration },
    Reading { sent: Duration },
    Committing { sent: Duration, epoch: Epoch },
}

/// Acquires, renews and proves the lease.
#[derive(Debug)]
pub struct ServerLease {
    cfg: ServerLeaseConfig,
    step: Step,
    held: Option<Held>,
    watched: Option<(u64, Duration)>,
    verify: Verify,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Held {
    epoch: Epoch,
    version: u64,
    until: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Verify {
    No,
    Wanted,
    Sent,
}

impl ServerLease {
    /// A lease that is not held.
    pub fn new(cfg: ServerLeaseConfig) -> Self {
        let step = Step::Idle {
            due: Duration::ZERO,
        };
        Self {
            cfg,
            step,
            held: None,
            watched: None,
            verify: Verify::No,
        }
    }

    /// The fencing number, while the lease is held for sure.
    pub fn epoch(&self, now: Duration) -> Option<Epoch> {
        let held = self.held.filter(|held| now < held.until);
        held.map(|held| held.epoch)
    }

    /// Takes an event and appends actions to `out`.
    pub fn handle(&mut self, now: Duration, event: LeaseEvent, out: &mut Vec<LeaseAction>) {
        match event {
            LeaseEvent::Row(row) => self.on_row(now, row, out),
            LeaseEvent::Committed { sent, result } => self.on_commit(now, sent, result, out),
            LeaseEvent::Verify => self.verify = Verify::Wanted,
            LeaseEvent::Superseded => self.lose(now, out),
            LeaseEvent::Tick => {}
        }
        self.expire(now, out);
        self.proceed(now, out);
    }

    fn expire(&mut self, now: Duration, out: &mut Vec<LeaseAction>) {
        if self.held.is_some_and(|held| held.until <= now) {
            self.lose(now, out);
        }
        let sent = match self.step {
            Step::Idle { .. } => return,
            Step::Reading { sent } | Step::Committing { sent, .. } => sent,
        };
        if now >= sent + self.cfg.step_timeout {
            self.answer_verify(false, out);
            self.step = Step::Idle { due: now };
        }
    }

    fn lose(&mut self, now: Duration, out: &mut Vec<LeaseAction>) {
        if let Some(held) = self.held.take() {
            out.push(LeaseAction::Lost(held.epoch));
        }
        self.answer_verify(false, out);
        if let Step::Idle { .. } = self.step {
            self.step = Step::Idle { due: now };
        }
    }

    fn answer_verify(&mut self, ok: bool, out: &mut Vec<LeaseAction>) {
        if self.verify != Verify::No {
            self.verify = Verify::No;
            out.push(LeaseAction::Verified(ok));
        }
    }

    fn proceed(&mut self, now: Duration, out: &mut Vec<LeaseAction>) {
        let Step::Idle { due } = self.step else {
            return;
        };
        match self.held {
            Some(held) if due <= now || self.verify == Verify::Wanted => {
                self.commit(now, held.version, held.epoch, out);
            }
            None if due <= now => {
                self.step = Step::Reading { sent: now };
                out.push(LeaseAction::Read);
            }
            _ => {}
        }
    }

    fn commit(&mut self, now: Duration, version: u64, epoch: Epoch, out: &mut Vec<LeaseAction>) {
        if self.verify == Verify::Wanted {
            self.verify = Verify::Sent;
        }
        self.step = Step::Committing { sent: now, epoch };
        let row = LeaseRow {
            epoch,
            holder: self.cfg.holder.clone(),
            bound_address: self.cfg.bound_address.clone(),
        };
        out.push(LeaseAction::Commit {
            sent: now,
            version,
            row,
        });
    }

    fn on_row(
        &mut self,
        now: Duration,
        row: Option<(u64, Option<LeaseRow>)>,
        out: &mut Vec<LeaseAction>,
    ) {
        if !matches!(self.step, Step::Reading { .. }) {
            return;
        }
        self.step = Step::Idle {
            due: now + self.cfg.renew_interval,
        };
        let Some((version, row)) = row else {
            return;
        };
        let since = match self.watched {
            Some((seen, since)) if seen == version => since,
            _ => now,
        };
        self.watched = Some((version, since));
        let free_at = since + self.cfg.duration + self.cfg.clock_drift_margin;
        let ours = row
            .as_ref()
            .is_none_or(|row| row.bound_address == self.cfg.bound_address);
        if ours || now >= free_at {
            let epoch = row.map_or(0, |row| row.epoch) + 1;
            self.commit(now, version, epoch, out);
        } else {
            let due = free_at.min(now + self.cfg.renew_interval);
            self.step = Step::Idle { due };
        }
    }

    fn on_commit(
        &mut self,
        now: Duration,
        answered: Duration,
        result: LeaseCommitResult,
        out: &mut Vec<LeaseAction>,
    ) {
        let Step::Committing { sent, epoch } = self.step else {
            return;
        };
        if sent != answered {
            return;
        }
        self.step = Step::Idle { due: now };
        let until = sent + self.cfg.duration - self.cfg.clock_drift_margin;
        match result {
            LeaseCommitResult::Committed(version) if now < until => {
                self.hold(now, epoch, version, until, out)
            }
            LeaseCommitResult::Committed(_) | LeaseCommitResult::NotCommitted => {
                self.lose(now, out)
            }
            LeaseCommitResult::Unknown => self.lose_version(now, out),
        }
    }

    fn hold(
        &mut self,
        now: Duration,
        epoch: Epoch,
        version: u64,
        until: Duration,
        out: &mut Vec<LeaseAction>,
    ) {
        let is_new = self.held.is_none_or(|held| held.epoch != epoch);
        self.held = Some(Held {
            epoch,
            version,
            until,
        });
        self.step = Step::Idle {
            due: now + self.cfg.renew_interval,
        };
        if is_new {
            out.push(LeaseAction::Acquired(epoch));
        }
        if self.verify == Verify::Sent {
            self.answer_verify(true, out);
        }
    }

    /// The row's version is unknown: the lease is given up and taken anew, under a new epoch.
    fn lose_version(&mut self, now: Duration, out: &mut Vec<LeaseAction>) {
        self.lose(now, out);
        self.watched = None;
    }

    /// When [`LeaseEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Duration {
        let step = match self.step {
            Step::Idle { due } => due,
            Step::Reading { sent } | Step::Committing { sent, .. } => sent + self.cfg.step_timeout,
        };
        self.held.map_or(step, |held| step.min(held.until))
    }
}
