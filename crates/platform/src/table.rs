//! Interface of the transactional table service.

use crate::error::PlatformError;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::future::Future;

/// Version of a row; zero if the row does not exist.
pub type RowVersion = u64;

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: Box<str>,
    /// Value of the row.
    pub value: Box<str>,
    /// Version of the row, which changes with every write.
    pub version: RowVersion,
}

/// Precondition of a transaction: the version that a row must have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCondition {
    /// Key of the row.
    pub key: Box<str>,
    /// Expected version; zero if the row must not exist.
    pub version: RowVersion,
}

/// A write to one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: Box<str>,
    /// New value of the row; `None` deletes the row.
    pub value: Option<Box<str>>,
}

/// Writes that are applied atomically if all preconditions hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Preconditions; any that does not hold makes the commit fail with a conflict.
    pub conditions: Vec<RowCondition>,
    /// Writes to apply.
    pub writes: Vec<RowWrite>,
}

quick_error! {
    /// A transaction was not committed, or its outcome is unknown.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CommitError {
        /// A precondition does not hold; nothing changed.
        Conflict(key: Box<str>) {
            display("row {key} has changed")
        }
        /// The call to the table service failed.
        Platform(err: PlatformError) {
            display("{err}")
            from()
        }
    }
}

impl CommitError {
    /// Whether the transaction may have been committed.
    pub fn is_outcome_unknown(&self) -> bool {
        matches!(
            self,
            Self::Platform(PlatformError::OutcomeUnknown(..) | PlatformError::Malformed(..))
        )
    }
}

/// Access to the transactional table service.
pub trait TableService: Send + Sync + 'static {
    /// Reads the rows with these keys; rows that do not exist are left out.
    fn read(&self, keys: &[&str]) -> impl Future<Output = Result<Vec<Row>, PlatformError>> + Send;

    /// Reads at most `limit` rows whose keys start with `prefix` and follow `after`, in key order.
    fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<Row>, PlatformError>> + Send;

    /// Commits a transaction and returns the new version of each written row.
    fn commit(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<Vec<RowVersion>, CommitError>> + Send;
}
