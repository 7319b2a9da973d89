//! Commands of operators, and the events and actions of [`CommandRun`](crate::CommandRun).

use declarations::Declarations;
use proto::OperatorId;
use proto::prelude::*;

/// A change of the configuration that an operator requests.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigCommand {
    /// Take a failure domain out of service, or bring it back.
    SetDomainOut {
        /// Name of the domain.
        domain: DomainId,
        /// Whether the domain is out after the command.
        out: bool,
    },
    /// Drain a backend server, or end the drain.
    SetDrained {
        /// Name of the backend server.
        server: ServerId,
        /// Whether the server is drained after the command.
        drained: bool,
    },
    /// Commit the content of an earlier version as a new version.
    Rollback {
        /// The earlier version.
        to: ConfigVersion,
    },
    /// Replace all declarations.
    Replace(Box<Declarations>),
}

/// A command with its id and the operator who issued it.
#[derive(Debug, Clone, PartialEq)]
pub struct CommandRequest {
    /// Chosen by the client. Commands with the same id take effect at most once.
    pub id: Box<str>,
    /// Operator who issued the command.
    pub operator: OperatorId,
    /// Text of the command, recorded in the history. A repeated command must have the same text.
    pub text: Box<str>,
    /// The change to make.
    pub command: ConfigCommand,
    /// The version that must be current for the command to take effect; `None` for any.
    pub if_version: Option<ConfigVersion>,
    /// Highest version that this node knows of. The new version is higher, even if the table
    /// service has lost some versions.
    pub known_version: ConfigVersion,
}

/// A row as read from the table service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRow {
    /// Key of the row.
    pub key: Box<str>,
    /// Value of the row, as JSON.
    pub value: Box<str>,
    /// Version of the row, counted by the table service. It is not a configuration version.
    pub version: u64,
}

/// A condition on the version of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowCondition {
    /// Key of the row.
    pub key: Box<str>,
    /// Version that the row must have; zero if it must not exist.
    pub version: u64,
}

/// A write of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowWrite {
    /// Key of the row.
    pub key: Box<str>,
    /// New value of the row, as JSON.
    pub value: Box<str>,
}

/// Writes that take effect atomically, if all conditions hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigTransaction {
    /// Conditions that must all hold.
    pub conditions: Vec<RowCondition>,
    /// Rows to write.
    pub writes: Vec<RowWrite>,
}

/// Input of [`CommandRun`](crate::CommandRun): the result of the last action.
#[derive(Debug, Clone, PartialEq)]
pub enum CommandEvent {
    /// The rows that were read, without those that do not exist.
    Rows(Vec<StoredRow>),
    /// The read failed.
    ReadFailed,
    /// The transaction took effect.
    Committed,
    /// A condition did not hold; nothing changed.
    Conflict,
    /// The table service did not accept the transaction; nothing changed.
    Unavailable,
    /// The response was lost; the transaction may have taken effect.
    Unknown,
}

/// Output of [`CommandRun`](crate::CommandRun), to be carried out by the driver.
#[derive(Debug, Clone, PartialEq)]
pub enum CommandAction {
    /// Read rows after a delay.
    Read {
        /// Keys of the rows.
        keys: Vec<Box<str>>,
        /// Time to wait before the read.
        delay: Duration,
    },
    /// Commit a transaction.
    Commit(ConfigTransaction),
    /// The command has ended; no more events are expected.
    Done(CommandOutcome),
}

/// How a command ended.
#[derive(Debug, Clone, PartialEq)]
pub enum CommandOutcome {
    /// The command took effect.
    Committed {
        /// The version that it created.
        version: ConfigVersion,
        /// The changes, one per line.
        summary: Box<str>,
        /// The new declarations; `None` if an earlier command with the same id had taken effect.
        declared: Option<Box<Declarations>>,
    },
    /// The configuration was already as requested.
    Unchanged {
        /// The current version.
        version: ConfigVersion,
    },
    /// Another change was committed first.
    Conflict {
        /// The current version.
        version: ConfigVersion,
        /// Operator who committed it.
        by: OperatorId,
        /// The changes of that commit, one per line; empty if its history cannot be read.
        change: Box<str>,
    },
    /// The command is invalid, for the given reason.
    Rejected(Box<str>),
    /// The table service did not accept the command; nothing changed.
    Unavailable,
    /// The command may have taken effect. To find out, repeat it with the same id.
    Unknown,
}
