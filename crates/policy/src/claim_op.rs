//! Changes to claims that are to be written to the table service.

use crate::claim_event::{ClaimWrite, VersionedRow};
use crate::claim_row::{ClaimRow, ClaimState};
use proto::RefusalReason;
use proto::prelude::*;

/// A claim that a request wants or holds.
#[derive(Debug)]
pub(crate) struct Claim {
    pub(crate) attempt: AttemptId,
    pub(crate) key: Box<str>,
    pub(crate) row: ClaimRow,
}

/// Claims a key for a waiting request.
#[derive(Debug)]
pub(crate) struct Insert {
    pub(crate) claim: Claim,
    pub(crate) reply_by: Duration,
    /// Whether the request was refused or cancelled and will not run.
    pub(crate) given_up: bool,
    /// Whether the row may have been written, or may still be.
    pub(crate) maybe_written: bool,
}

/// Records the outcome of a claimed request.
#[derive(Debug)]
pub(crate) struct Finish {
    pub(crate) key: Box<str>,
    pub(crate) version: u64,
    pub(crate) value: Box<str>,
}

/// Voids a claim of this agent whose request did not run.
#[derive(Debug)]
pub(crate) struct Void {
    pub(crate) claim: Claim,
    /// Refusal to send once the claim is void, at the latest at the given time.
    pub(crate) reply: Option<(RefusalReason, Duration)>,
}

/// A change of one row.
#[derive(Debug)]
pub(crate) enum Op {
    Insert(Insert),
    Finish(Finish),
    Void(Void),
}

/// What a change requires, given the current row.
#[derive(Debug)]
pub(crate) enum Plan {
    /// The row has to be written.
    Write(ClaimWrite),
    /// The change was written before, as this version of the row.
    AlreadyWritten(u64),
    /// Another claim holds the row; `None` if its value cannot be parsed.
    HeldByOther(Option<ClaimRow>),
    /// The row has changed since, so that nothing may be written.
    Superseded,
}

impl Claim {
    fn plan_insert(&self, row: Option<&VersionedRow>) -> Plan {
        let value = self.row.to_value();
        let Some(row) = row else {
            return Plan::Write(write(&self.key, 0, value));
        };
        if row.value == value {
            return Plan::AlreadyWritten(row.version);
        }
        match ClaimRow::parse(&row.value) {
            Some(parsed) if parsed.state == ClaimState::Void => {
                Plan::Write(write(&self.key, row.version, value))
            }
            parsed => Plan::HeldByOther(parsed),
        }
    }

    /// Voids the claim. A void row is also written where no row exists, so that a delayed write of
    /// the claim fails on the version.
    fn plan_void(&self, row: Option<&VersionedRow>) -> Plan {
        let void = self.row.with(ClaimState::Void).to_value();
        let Some(row) = row else {
            return Plan::Write(write(&self.key, 0, void));
        };
        if row.value == void {
            return Plan::AlreadyWritten(row.version);
        }
        let parsed = ClaimRow::parse(&row.value);
        let is_void = parsed.is_some_and(|row| row.state == ClaimState::Void);
        if is_void || row.value == self.row.to_value() {
            return Plan::Write(write(&self.key, row.version, void));
        }
        Plan::Superseded
    }
}

impl Finish {
    /// The write that records the outcome.
    pub(crate) fn write(&self) -> ClaimWrite {
        write(&self.key, self.version, self.value.clone())
    }

    fn plan(&self, row: Option<&VersionedRow>) -> Plan {
        match row {
            Some(row) if row.value == self.value => Plan::AlreadyWritten(row.version),
            Some(row) if row.version == self.version => Plan::Write(self.write()),
            _ => Plan::Superseded,
        }
    }
}

impl Op {
    pub(crate) fn key(&self) -> &str {
        match self {
            Self::Insert(op) => &op.claim.key,
            Self::Finish(op) => &op.key,
            Self::Void(op) => &op.claim.key,
        }
    }

    pub(crate) fn plan(&self, row: Option<&VersionedRow>) -> Plan {
        match self {
            Self::Insert(op) => op.claim.plan_insert(row),
            Self::Finish(op) => op.plan(row),
            Self::Void(op) => op.claim.plan_void(row),
        }
    }

    /// Whether a request waits for this change in order to run.
    pub(crate) fn waits_to_run(&self) -> bool {
        matches!(self, Self::Insert(op) if !op.given_up)
    }

    /// Time by which a waiting caller must be answered, if there is one.
    pub(crate) fn reply_by(&self) -> Option<Duration> {
        match self {
            Self::Insert(op) if !op.given_up => Some(op.reply_by),
            Self::Void(op) => op.reply.map(|(_, by)| by),
            _ => None,
        }
    }

    /// Marks the request as given up. Returns the refusal to send if a caller waits for one.
    pub(crate) fn refuse(&mut self) -> Option<(AttemptId, RefusalReason)> {
        match self {
            Self::Insert(op) if !op.given_up => {
                op.given_up = true;
                Some((op.claim.attempt, RefusalReason::StoreUnavailable))
            }
            Self::Void(op) => op
                .reply
                .take()
                .map(|(reason, _)| (op.claim.attempt, reason)),
            _ => None,
        }
    }

    /// Whether the change can be dropped, as the request was given up before anything was written.
    pub(crate) fn has_no_effect(&self) -> bool {
        matches!(self, Self::Insert(op) if op.given_up && !op.maybe_written)
    }

    /// Records that the last transaction may have written the row, or may still do so.
    pub(crate) fn mark_maybe_written(&mut self) {
        if let Self::Insert(op) = self {
            op.maybe_written = true;
        }
    }

    /// Resolves the insert of a request that was given up: returns a void of the claim if it may
    /// have been written, else `None`. Other changes are returned as they are.
    pub(crate) fn resolve_given_up(self) -> Option<Self> {
        match self {
            Self::Insert(op) if op.given_up => op.maybe_written.then_some(Self::Void(Void {
                claim: op.claim,
                reply: None,
            })),
            other => Some(other),
        }
    }
}

fn write(key: &str, version: u64, value: Box<str>) -> ClaimWrite {
    ClaimWrite {
        key: key.into(),
        version,
        value: Some(value),
    }
}
