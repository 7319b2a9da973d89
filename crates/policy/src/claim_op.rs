//! Changes of claims that wait for the table service.

use crate::claim::{ClaimWrite, VersionedRow};
use crate::claim_row::{ClaimRow, ClaimState};
use proto::RefusalReason;
use proto::prelude::*;

/// A claim that one request asks for, or holds.
#[derive(Debug)]
pub(crate) struct Claim {
    pub(crate) attempt: AttemptId,
    pub(crate) key: Box<str>,
    pub(crate) row: ClaimRow,
}

/// Claims a key for a request that waits.
#[derive(Debug)]
pub(crate) struct Insert {
    pub(crate) claim: Claim,
    pub(crate) reply_by: Duration,
    /// Whether it was answered, or its caller left, so that it will not run.
    pub(crate) given_up: bool,
    /// Whether the row may have been written, or may be yet.
    pub(crate) maybe_written: bool,
}

/// Keeps how a claim ended.
#[derive(Debug)]
pub(crate) struct Finish {
    pub(crate) key: Box<str>,
    pub(crate) version: u64,
    pub(crate) value: Box<str>,
}

/// Gives a claim of ours up that did not run.
#[derive(Debug)]
pub(crate) struct Void {
    pub(crate) claim: Claim,
    /// Refusal that waits for the change, and for how long.
    pub(crate) reply: Option<(RefusalReason, Duration)>,
}

/// One change.
#[derive(Debug)]
pub(crate) enum Op {
    Insert(Insert),
    Finish(Finish),
    Void(Void),
}

/// What is to be done about a change, seen the row as it stands.
#[derive(Debug)]
pub(crate) enum Plan {
    /// Write.
    Write(ClaimWrite),
    /// It has been written, with this version.
    Done(u64),
    /// The row is another's; none where its value makes no sense.
    Taken(Option<ClaimRow>),
    /// There is nothing to change any more.
    Lost,
}

impl Claim {
    fn plan_insert(&self, row: Option<&VersionedRow>) -> Plan {
        let value = self.row.to_value();
        let Some(row) = row else {
            return Plan::Write(write(&self.key, 0, value));
        };
        if row.value == value {
            return Plan::Done(row.version);
        }
        match ClaimRow::parse(&row.value) {
            Some(parsed) if parsed.state == ClaimState::Void => {
                Plan::Write(write(&self.key, row.version, value))
            }
            parsed => Plan::Taken(parsed),
        }
    }

    /// Writes a void over our claim, or in its place, so that a late write of it fails.
    fn plan_void(&self, row: Option<&VersionedRow>) -> Plan {
        let void = self.row.with(ClaimState::Void).to_value();
        let Some(row) = row else {
            return Plan::Write(write(&self.key, 0, void));
        };
        if row.value == void {
            return Plan::Done(row.version);
        }
        let parsed = ClaimRow::parse(&row.value);
        let is_void = parsed.is_some_and(|row| row.state == ClaimState::Void);
        if is_void || row.value == self.row.to_value() {
            return Plan::Write(write(&self.key, row.version, void));
        }
        Plan::Lost
    }
}

impl Finish {
    /// The write that keeps the end of the claim.
    pub(crate) fn write(&self) -> ClaimWrite {
        write(&self.key, self.version, self.value.clone())
    }

    fn plan(&self, row: Option<&VersionedRow>) -> Plan {
        match row {
            Some(row) if row.value == self.value => Plan::Done(row.version),
            Some(row) if row.version == self.version => Plan::Write(self.write()),
            _ => Plan::Lost,
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

    /// Whether a request waits to run.
    pub(crate) fn waits_to_run(&self) -> bool {
        matches!(self, Self::Insert(op) if !op.given_up)
    }

    /// When somebody must be answered.
    pub(crate) fn reply_by(&self) -> Option<Duration> {
        match self {
            Self::Insert(op) if !op.given_up => Some(op.reply_by),
            Self::Void(op) => op.reply.map(|(_, by)| by),
            _ => None,
        }
    }

    /// Answers who waits; the request will not run.
    pub(crate) fn give_up(&mut self) -> Option<(AttemptId, RefusalReason)> {
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

    /// Whether nothing is left to do: the request was given up before anything was written.
    pub(crate) fn is_needless(&self) -> bool {
        matches!(self, Self::Insert(op) if op.given_up && !op.maybe_written)
    }

    /// Notes that the last transaction may have written the row, or may yet.
    pub(crate) fn note_unknown(&mut self) {
        if let Self::Insert(op) = self {
            op.maybe_written = true;
        }
    }

    /// A claim that was given up is taken back where it may have been written.
    pub(crate) fn settled(self) -> Option<Self> {
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
