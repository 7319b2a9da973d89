//! Syntax tree of parsed statements.

use crate::subject::Subject;
use crate::value::Value;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A parsed query or command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Statement {
    /// Shows rows of a table.
    Show(Show),
    /// Shows all recorded events of one request, in causal order.
    Explain {
        /// Id of the request, as shown in the `request` column.
        request: Box<str>,
    },
    /// Takes a failure domain out of service.
    TakeDomain {
        /// Name of the failure domain.
        domain: Box<str>,
        /// Configuration version that must be active for the command to run; any if absent.
        if_version: Option<u64>,
    },
    /// Brings a failure domain back into service.
    BringDomain {
        /// Name of the failure domain.
        domain: Box<str>,
        /// Configuration version that must be active for the command to run; any if absent.
        if_version: Option<u64>,
    },
    /// Drains a backend server, so that it gets no new requests.
    DrainServer {
        /// Name of the backend server.
        server: Box<str>,
        /// Configuration version that must be active for the command to run; any if absent.
        if_version: Option<u64>,
    },
    /// Ends the drain of a backend server.
    UndrainServer {
        /// Name of the backend server.
        server: Box<str>,
        /// Configuration version that must be active for the command to run; any if absent.
        if_version: Option<u64>,
    },
    /// Restores the content of an earlier configuration version, as a new version.
    #[serde(rename = "roll")]
    Rollback {
        /// The earlier version.
        to: u64,
        /// Configuration version that must be active for the command to run; any if absent.
        if_version: Option<u64>,
    },
}

/// A `show` query.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Show {
    /// Table to show.
    pub subject: Subject,
    /// Condition that a row must meet; all rows if absent.
    pub condition: Option<Condition>,
    /// Maximum age of the events of a timeline, which gateways set to a default if absent. Other
    /// tables ignore it.
    pub since: Option<Duration>,
    /// Sort keys, the most significant first; the order of the table if empty.
    pub order: Vec<SortKey>,
    /// Maximum number of rows; unlimited if absent.
    pub limit: Option<usize>,
}

/// Condition on the columns of a row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Condition {
    /// True if all of the conditions are true.
    All(Vec<Condition>),
    /// True if any of the conditions is true.
    Any(Vec<Condition>),
    /// True if the condition is false.
    Not(Box<Condition>),
    /// True if the comparison of a column with a value is true.
    Compare {
        /// Name of the column.
        column: Box<str>,
        /// Comparison operator.
        comparison: Comparison,
        /// Value to compare with.
        value: Value,
    },
}

/// Comparison operator between a column and a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Comparison {
    /// `=`
    Equal,
    /// `!=`
    Unequal,
    /// `<`
    Less,
    /// `<=`
    AtMost,
    /// `>`
    Greater,
    /// `>=`
    AtLeast,
    /// `~`: contains the text.
    Contains,
}

/// Column by which rows are sorted, and the direction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SortKey {
    /// Name of the column.
    pub column: Box<str>,
    /// Whether the largest value comes first.
    pub descending: bool,
}
