//! The transactional table service.

use crate::error::PlatformError;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::future::Future;

/// Version of a row; zero where the row does not exist.
pub type RowVersion = u64;

/// A row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: Box<str>,
    /// Its value.
    pub value: Box<str>,
    /// Its version.
    pub version: RowVersion,
}

/// What a row must be for a transaction to commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCondition {
    /// The row's key.
    pub key: Box<str>,
    /// Its expected version.
    pub version: RowVersion,
}

/// A change of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// The row's key.
    pub key: Box<str>,
    /// Its new value; none deletes it.
    pub value: Option<Box<str>>,
}

/// Changes that are applied together, or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<RowCondition>,
    /// What changes.
    pub writes: Vec<RowWrite>,
}

quick_error! {
    /// A transaction that did not commit, or may not have.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CommitError {
        /// A condition does not hold; nothing changed.
        Conflict(key: Box<str>) {
            display("row {key} has changed")
        }
        /// The platform failed.
        Platform(err: PlatformError) {
            display("{err}")
            from()
        }
    }
}

impl CommitError {
    /// Whether the change may have taken effect.
    pub fn is_outcome_unknown(&self) -> bool {
        matches!(
            self,
            Self::Platform(PlatformError::OutcomeUnknown(..) | PlatformError::Malformed(..))
        )
    }
}

/// The transactional table service.
pub trait TableService: Send + Sync + 'static {
    /// Reads rows; absent ones are left out.
    fn read(&self, keys: &[&str]) -> impl Future<Output = Result<Vec<Row>, PlatformError>> + Send;

    /// Reads at most `limit` rows whose keys start with `prefix`, in order, after the key `after`.
    fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<Row>, PlatformError>> + Send;

    /// Commits a transaction and gives the new version of each written row.
    fn commit(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<Vec<RowVersion>, CommitError>> + Send;
}
