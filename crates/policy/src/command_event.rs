//! Commands of operators, and the events and actions of carrying one through.

use declarations::Declarations;
use proto::OperatorId;
use proto::prelude::*;

/// What an operator wants changed.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigCommand {
    /// Takes a failure domain out, or brings it back.
    SetDomainOut {
        /// The domain.
        domain: DomainId,
        /// Whether it is to be out.
        out: bool,
    },
    /// Drains a backend server, or ends the drain.
    SetDrained {
        /// The backend server.
        server: ServerId,
        /// Whether it is to be drained.
        drained: bool,
    },
    /// Rolls the configuration forward to the content of an earlier version.
    Rollback {
        /// The earlier version.
        to: ConfigVersion,
    },
    /// Puts other declarations in place.
    Replace(Box<Declarations>),
}

/// A command with its id and giver.
#[derive(Debug, Clone, PartialEq)]
pub struct CommandRequest {
    /// Drawn by the operator's side; the same id has its effect at most once.
    pub id: Box<str>,
    /// Who gives it.
    pub operator: OperatorId,
    /// The command in words.
    pub text: Box<str>,
    /// What to change.
    pub command: ConfigCommand,
    /// Version that the operator saw; any where absent.
    pub if_version: Option<ConfigVersion>,
    /// Highest version that the node knows of; the new one is higher even if the store lost some.
    pub known_version: ConfigVersion,
}

/// A row as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRow {
    /// Its key.
    pub key: Box<str>,
    /// Its value.
    pub value: Box<str>,
    /// Its version in the store.
    pub version: u64,
}

/// What a row's version must be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowCondition {
    /// The row's key.
    pub key: Box<str>,
    /// Its version; zero where it must not exist.
    pub version: u64,
}

/// A row's new value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowWrite {
    /// The row's key.
    pub key: Box<str>,
    /// Its new value.
    pub value: Box<str>,
}

/// Writes that take effect together, if all conditions hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigTransaction {
    /// What must hold.
    pub conditions: Vec<RowCondition>,
    /// What changes.
    pub writes: Vec<RowWrite>,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum CommandEvent {
    /// The rows that were read; absent ones are left out.
    Rows(Vec<StoredRow>),
    /// The rows could not be read.
    ReadFailed,
    /// The transaction took effect.
    Committed,
    /// A condition did not hold; nothing changed.
    Conflict,
    /// The store did not take the transaction; nothing changed.
    Unavailable,
    /// The answer was lost; the transaction may have taken effect.
    Unknown,
}

/// What the driver must do.
#[derive(Debug, Clone, PartialEq)]
pub enum CommandAction {
    /// Reads rows after a pause.
    Read {
        /// Their keys.
        keys: Vec<Box<str>>,
        /// The pause.
        delay: Duration,
    },
    /// Commits.
    Commit(ConfigTransaction),
    /// The command has ended.
    Done(CommandOutcome),
}

/// How a command ended.
#[derive(Debug, Clone, PartialEq)]
pub enum CommandOutcome {
    /// It took effect.
    Committed {
        /// The version that it led to.
        version: ConfigVersion,
        /// The changes, one a line.
        summary: Box<str>,
        /// The new content; none where the command had taken effect before.
        declared: Option<Box<Declarations>>,
    },
    /// The configuration already was as wanted.
    Unchanged {
        /// Its version.
        version: ConfigVersion,
    },
    /// Another operator's change came first.
    Conflict {
        /// The version now committed.
        version: ConfigVersion,
        /// Who committed it.
        by: OperatorId,
        /// What that changed, one a line; empty where it is no longer known.
        change: Box<str>,
    },
    /// The command makes no sense.
    Rejected(Box<str>),
    /// The store did not take it; nothing changed.
    Unavailable,
    /// It may have taken effect; asking again with the same id tells.
    Unknown,
}
