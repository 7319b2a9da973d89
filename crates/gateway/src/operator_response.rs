//! Responses to operators' queries and commands.

use declarations::Diagnostic;
use policy::CommandOutcome;
use query::QueryError;
use serde::Serialize;
use serde_json::Value as Json;
use std::fmt::{self, Display, Formatter};

/// A response to an operator. It is sent as JSON, or as text through `Display`.
#[derive(Debug, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum OperatorResponse {
    /// Result of a query.
    Rows {
        /// The rows as JSON.
        rows: Json,
        /// Nodes that did not reply in time, so that their rows are missing.
        unanswered: Vec<Box<str>>,
        /// The rows as a text table.
        #[serde(skip)]
        text: String,
    },
    /// A timeline as an HTML page.
    Page {
        /// HTML of the page.
        html: String,
    },
    /// Changes that applying a file would make; the result of a dry run.
    Difference {
        /// Active version that the file was compared with.
        version: u64,
        /// The changes, one per line.
        change: Box<str>,
    },
    /// The command took effect.
    Committed {
        /// Version that the command created.
        version: u64,
        /// The changes, one per line.
        change: Box<str>,
        /// Id of the command.
        command: Box<str>,
    },
    /// The configuration already has the desired content.
    Unchanged {
        /// Version of the configuration.
        version: u64,
    },
    /// Another operator's change was committed first, so the command had no effect.
    #[serde(rename = "lost")]
    Conflict {
        /// Version that the other change created.
        version: u64,
        /// Operator who committed it.
        by: Box<str>,
        /// Its changes, one per line.
        change: Box<str>,
    },
    /// The command or the HTTP request is invalid.
    Rejected {
        /// Description of the error.
        reason: Box<str>,
    },
    /// The file of declarations is invalid.
    Faults {
        /// All errors in the file.
        faults: Vec<DiagnosticText>,
    },
    /// The statement can't be parsed.
    Syntax {
        /// Position and description of the syntax error.
        error: QueryError,
    },
    /// The table service is unavailable, and nothing was changed.
    Unavailable,
    /// The outcome is unknown: the command may have taken effect.
    Unknown {
        /// Id with which the command can be repeated safely.
        command: Box<str>,
    },
    /// The key is missing or belongs to no operator.
    Forbidden,
}

/// One error in a file of declarations, with its position.
#[derive(Debug, Serialize)]
pub struct DiagnosticText {
    line: usize,
    column: usize,
    reason: Box<str>,
}

impl From<Diagnostic> for DiagnosticText {
    fn from(diagnostic: Diagnostic) -> Self {
        Self {
            line: diagnostic.line,
            column: diagnostic.column,
            reason: diagnostic.reason,
        }
    }
}

impl OperatorResponse {
    /// Converts the outcome of the command with the id `command`.
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

    /// HTTP status of the response.
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
