//! The lease on one backend server, stored as a row of the table service.
//!
//! The epoch in the row grows with each new holder and serves as the fencing number of its orders.
//! Clocks of different hosts are never compared: a contender takes the lease over only after the
//! row has been unchanged for the whole lease duration on its own clock, and the holder measures
//! its lease from the time before it sent the commit.

use proto::prelude::*;
use serde::{Deserialize, Serialize};

/// Settings of a [`ServerLease`].
#[derive(Debug, Clone, PartialEq)]
pub struct ServerLeaseConfig {
    /// Name of the process that holds or wants the lease; it differs after each restart.
    pub holder: Box<str>,
    /// Node and address that the process has bound exclusively. A row with the same value can only
    /// be that of a process that no longer runs, so that its lease is taken over at once.
    pub bound_address: Box<str>,
    /// Duration of the lease, from the sending of the commit.
    pub duration: Duration,
    /// Time between renewals by the holder, and upper limit of the time between a contender's
    /// reads.
    pub renew_interval: Duration,
    /// Allowance for clock drift: subtracted from the lease at the holder, added to it at
    /// contenders.
    pub clock_drift_margin: Duration,
    /// Timeout of a call to the table service.
    pub step_timeout: Duration,
}

impl ServerLeaseConfig {
    /// Default settings for a process.
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
    /// Epoch of the lease: the fencing number of the holder's orders.
    pub epoch: Epoch,
    /// Name of the process that holds the lease.
    pub holder: Box<str>,
    /// Node and address that the holder has bound exclusively.
    #[serde(rename = "slot")]
    pub bound_address: Box<str>,
}

/// Outcome of a commit of the row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseCommitResult {
    /// The row was written and has this version.
    Committed(u64),
    /// The row was not written, because it had changed or the table service failed.
    NotCommitted,
    /// The outcome is unknown.
    Unknown,
}

/// Input of a [`ServerLease`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Response to [`LeaseAction::Read`]: version and row, `None` if the read failed.
    Row(Option<(u64, Option<LeaseRow>)>),
    /// Response to [`LeaseAction::Commit`].
    Committed {
        /// `sent` of the commit. The result of an earlier commit is ignored, as it proves nothing.
        sent: Duration,
        /// Outcome of the commit.
        result: LeaseCommitResult,
    },
    /// A fresh proof is needed that the lease is held; [`LeaseAction::Verified`] follows.
    Verify,
    /// An engine has seen a higher fencing number, so that the lease is lost.
    Superseded,
    /// A wakeup is due, as given by [`ServerLease::next_wakeup`].
    Tick,
}

/// Output of a [`ServerLease`], to be carried out by its driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the row and report [`LeaseEvent::Row`].
    Read,
    /// Write the row if it has the expected version, and report [`LeaseEvent::Committed`].
    Commit {
        /// Time of sending, which identifies the commit.
        sent: Duration,
        /// Expected version of the row; zero if it must not exist.
        version: u64,
        /// Row to write.
        row: LeaseRow,
    },
    /// The lease was acquired, with this fencing number.
    Acquired(Epoch),
    /// Whether a commit sent after the last [`LeaseEvent::Verify`] proved that the lease is held.
    Verified(bool),
    /// The lease with this fencing number is no longer held.
    Lost(Epoch),
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    Idle { due: Duration },
    Reading { sent: Duration },
    Committing { sent: Duration, epoch: Epoch },
}

/// State machine that acquires, renews and verifies the lease.
#[derive(Debug)]
pub struct ServerLease {
    cfg: ServerLeaseConfig,
    step: Step,
    held: Option<HeldLease>,
    /// Version of the row that was read last, and when that version was first read.
    observed: Option<(u64, Duration)>,
    verification: Verification,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct HeldLease {
    epoch: Epoch,
    version: u64,
    until: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Verification {
    None,
    Requested,
    CommitSent,
}

impl ServerLease {
    /// Creates a lease that is not held.
    pub fn new(cfg: ServerLeaseConfig) -> Self {
        let step = Step::Idle {
            due: Duration::ZERO,
        };
        Self {
            cfg,
            step,
            held: None,
            observed: None,
            verification: Verification::None,
        }
    }

    /// Fencing number of the lease; `None` unless it is certainly held at `now`.
    pub fn epoch(&self, now: Duration) -> Option<Epoch> {
        let held = self.held.filter(|held| now < held.until);
        held.map(|held| held.epoch)
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Duration, event: LeaseEvent, out: &mut Vec<LeaseAction>) {
        match event {
            LeaseEvent::Row(row) => self.on_row(now, row, out),
            LeaseEvent::Committed { sent, result } => self.on_commit(now, sent, result, out),
            LeaseEvent::Verify => self.verification = Verification::Requested,
            LeaseEvent::Superseded => self.give_up(now, out),
            LeaseEvent::Tick => {}
        }
        self.expire(now, out);
        self.proceed(now, out);
    }

    fn expire(&mut self, now: Duration, out: &mut Vec<LeaseAction>) {
        if self.held.is_some_and(|held| held.until <= now) {
            self.give_up(now, out);
        }
        let sent = match self.step {
            Step::Idle { .. } => return,
            Step::Reading { sent } | Step::Committing { sent, .. } => sent,
        };
        if now >= sent + self.cfg.step_timeout {
            self.finish_verification(false, out);
            self.step = Step::Idle { due: now };
        }
    }

    fn give_up(&mut self, now: Duration, out: &mut Vec<LeaseAction>) {
        if let Some(held) = self.held.take() {
            out.push(LeaseAction::Lost(held.epoch));
        }
        self.finish_verification(false, out);
        if let Step::Idle { .. } = self.step {
            self.step = Step::Idle { due: now };
        }
    }

    fn finish_verification(&mut self, ok: bool, out: &mut Vec<LeaseAction>) {
        if self.verification != Verification::None {
            self.verification = Verification::None;
            out.push(LeaseAction::Verified(ok));
        }
    }

    fn proceed(&mut self, now: Duration, out: &mut Vec<LeaseAction>) {
        let Step::Idle { due } = self.step else {
            return;
        };
        match self.held {
            Some(held) if due <= now || self.verification == Verification::Requested => {
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
        if self.verification == Verification::Requested {
            self.verification = Verification::CommitSent;
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
        let since = match self.observed {
            Some((seen, since)) if seen == version => since,
            _ => now,
        };
        self.observed = Some((version, since));
        let free_at = since + self.cfg.duration + self.cfg.clock_drift_margin;
        let is_free = row
            .as_ref()
            .is_none_or(|row| row.bound_address == self.cfg.bound_address);
        if is_free || now >= free_at {
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
        committed_sent: Duration,
        result: LeaseCommitResult,
        out: &mut Vec<LeaseAction>,
    ) {
        let Step::Committing { sent, epoch } = self.step else {
            return;
        };
        if sent != committed_sent {
            return;
        }
        self.step = Step::Idle { due: now };
        let until = sent + self.cfg.duration - self.cfg.clock_drift_margin;
        match result {
            LeaseCommitResult::Committed(version) if now < until => {
                self.hold(now, epoch, version, until, out);
            }
            LeaseCommitResult::Committed(_) | LeaseCommitResult::NotCommitted => {
                self.give_up(now, out);
            }
            LeaseCommitResult::Unknown => self.on_unknown_commit(now, out),
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
        self.held = Some(HeldLease {
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
        if self.verification == Verification::CommitSent {
            self.finish_verification(true, out);
        }
    }

    /// Gives the lease up because the version of the row is unknown. It is acquired again under a
    /// new epoch.
    fn on_unknown_commit(&mut self, now: Duration, out: &mut Vec<LeaseAction>) {
        self.give_up(now, out);
        self.observed = None;
    }

    /// Time at which [`LeaseEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Duration {
        let step = match self.step {
            Step::Idle { due } => due,
            Step::Reading { sent } | Step::Committing { sent, .. } => sent + self.cfg.step_timeout,
        };
        self.held.map_or(step, |held| step.min(held.until))
    }
}
