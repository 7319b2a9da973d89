//! What an operator is told.

use declarations::Fault;
use policy::CommandOutcome;
use query::QueryError;
use serde::Serialize;
use serde_json::Value as Json;
use std::fmt::{self, Display, Formatter};

/// An answer to an operator, as JSON or text.
#[derive(Debug, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum OperatorResponse {
    /// Rows of a query.
    Rows {
        /// The rows.
        rows: Json,
        /// Nodes that did not tell theirs.
        unanswered: Vec<Box<str>>,
        /// The rows for people.
        #[serde(skip)]
        text: String,
    },
    /// A time line as a page.
    Page {
        /// The page.
        html: String,
    },
    /// What applying a file would change.
    Difference {
        /// The version that it was compared with.
        version: u64,
        /// The changes, one a line.
        change: Box<str>,
    },
    /// The command took effect.
    Committed {
        /// The version that it led to.
        version: u64,
        /// The changes, one a line.
        change: Box<str>,
        /// Id of the command.
        command: Box<str>,
    },
    /// The configuration already is as wanted.
    Unchanged {
        /// Its version.
        version: u64,
    },
    /// Another operator's change came first.
    Conflict {
        /// The version now committed.
        version: u64,
        /// Who committed it.
        by: Box<str>,
        /// What that changed.
        change: Box<str>,
    },
    /// The command makes no sense.
    Rejected {
        /// Why.
        reason: Box<str>,
    },
    /// The file has faults.
    Faults {
        /// All of them.
        faults: Vec<FaultText>,
    },
    /// The statement cannot be read.
    Syntax {
        /// Where and why.
        error: QueryError,
    },
    /// The store does not answer; nothing changed.
    Unavailable,
    /// The command may have taken effect.
    Unknown {
        /// Id to ask again with.
        command: Box<str>,
    },
    /// The key belongs to no operator.
    Forbidden,
}

/// One fault of a file.
#[derive(Debug, Serialize)]
pub struct FaultText {
    line: usize,
    column: usize,
    reason: Box<str>,
}

impl From<Fault> for FaultText {
    fn from(fault: Fault) -> Self {
        Self {
            line: fault.line,
            column: fault.column,
            reason: fault.reason,
        }
    }
}

impl OperatorResponse {
    /// What came of a command.
    pub fn from_outcome(outcome: CommandOutcome, command: &str) -> Self {
        match outcome {
            CommandOutcome::Committed {
                version, summary, ..
            } => Self::Committed {
                version,
                change: summary,
                command: command.into(),
            },
            CommandOutcome::Unchanged { version } => Self::Unchanged { version },
            CommandOutcome::Conflict {
                version,
                by,
                change,
            } => Self::Conflict {
                version,
                by,
                change,
            },
            CommandOutcome::Rejected(reason) => Self::Rejected { reason },
            CommandOutcome::Unavailable => Self::Unavailable,
            CommandOutcome::Unknown => Self::Unknown {
                command: command.into(),
            },
        }
    }

    /// HTTP status of the answer.
    pub fn status(&self) -> u16 {
        match self {
            Self::Rows { .. }
            | Self::Page { .. }
            | Self::Difference { .. }
            | Self::Committed { .. }
            | Self::Unchanged { .. } => 200,
            Self::Rejected { .. } | Self::Faults { .. } | Self::Syntax { .. } => 400,
            Self::Forbidden => 403,
            Self::Conflict { .. } => 409,
            Self::Unavailable => 503,
            Self::Unknown { .. } => 504,
        }
    }
}

impl Display for OperatorResponse {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Rows {
                text, unanswered, ..
            } => {
                f.write_str(text)?;
                for node in unanswered {
                    writeln!(f, "no answer from {node}")?;
                }
                Ok(())
            }
            Self::Page { html } => f.write_str(html),
            Self::Difference { version, change } if change.is_empty() => {
                writeln!(f, "no change from version {version}")
            }
            Self::Difference { version, change } => {
                write!(f, "changes from version {version}:\n{change}")
            }
            Self::Committed {
                version,
                change,
                command,
            } => write!(
                f,
                "version {version} committed by command {command}:\n{change}"
            ),
            Self::Unchanged { version } => {
                writeln!(f, "version {version} already is as wanted; nothing changed")
            }
            Self::Conflict {
                version,
                by,
                change,
            } => write!(
                f,
                "nothing changed: {by} committed version {version} first:\n{change}\
                 look at it with `show history where version = {version}`, then give the command again\n"
            ),
            Self::Rejected { reason } => writeln!(f, "{reason}"),
            Self::Faults { faults } => {
                for fault in faults {
                    writeln!(f, "{}:{}: {}", fault.line, fault.column, fault.reason)?;
                }
                Ok(())
            }
            Self::Syntax { error } => writeln!(f, "{error}"),
            Self::Unavailable => {
                writeln!(
                    f,
                    "the table service does not answer; nothing changed; try again"
                )
            }
            Self::Unknown { command } => writeln!(
                f,
                "the command may have taken effect; ask again with the same id, {command}"
            ),
            Self::Forbidden => writeln!(f, "the key belongs to no operator"),
        }
    }
}
