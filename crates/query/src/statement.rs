//! Parsed statements.

use crate::subject::Subject;
use crate::value::Value;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A query or command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Statement {
    /// Shows a table.
    Show(Show),
    /// Shows all that is known of one request, in causal order.
    Explain {
        /// The request's number.
        request: Box<str>,
    },
    /// Takes a failure domain out.
    TakeDomain {
        /// The domain.
        domain: Box<str>,
        /// Version that must be in force.
        if_version: Option<u64>,
    },
    /// Brings a failure domain back.
    BringDomain {
        /// The domain.
        domain: Box<str>,
        /// Version that must be in force.
        if_version: Option<u64>,
    },
    /// Drains a backend server.
    DrainServer {
        /// The backend server.
        server: Box<str>,
        /// Version that must be in force.
        if_version: Option<u64>,
    },
    /// Ends the drain of a backend server.
    UndrainServer {
        /// The backend server.
        server: Box<str>,
        /// Version that must be in force.
        if_version: Option<u64>,
    },
    /// Rolls the configuration forward to the content of an earlier version.
    #[serde(rename = "roll")]
    Rollback {
        /// The earlier version.
        to: u64,
        /// Version that must be in force.
        if_version: Option<u64>,
    },
}

/// A query.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Show {
    /// What to show.
    pub subject: Subject,
    /// Which rows.
    pub condition: Option<Condition>,
    /// How old events may be.
    pub since: Option<Duration>,
    /// In which order.
    pub order: Vec<SortKey>,
    /// Most rows.
    pub limit: Option<usize>,
}

/// Which rows to show.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Condition {
    /// All of these hold.
    All(Vec<Condition>),
    /// Any of these holds.
    Any(Vec<Condition>),
    /// This does not hold.
    Not(Box<Condition>),
    /// A column compares to a value.
    Compare {
        /// The column's name.
        column: Box<str>,
        /// How.
        comparison: Comparison,
        /// With what.
        value: Value,
    },
}

/// How a column compares to a value.
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

/// One key of the order of rows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SortKey {
    /// The column's name.
    pub column: Box<str>,
    /// Whether the largest comes first.
    pub descending: bool,
}
