//! Proof that rows do not exist.

use adapter::{Comparison, CurrentRow, ExpectedRow, Mark, Store, StoreError, StoreRow, StoreTable};
use std::collections::HashSet;
use std::time::Duration;

/// Transactions that look for rows which a store has sent one by one.
const MAX_ROUNDS: usize = 3;

/// What transactions have found of rows that may not exist.
#[derive(Debug)]
pub enum AbsentRows {
    /// Those that exist, and as removed rows those that do not, as of the transaction that found all of these
    /// missing.
    Found(Vec<CurrentRow>),
    /// The store does not tell.
    Unknown,
}

/// Looks for rows that may not exist. That one is missing is shown by a transaction that succeeds on this
/// condition alone, as only that has a place in the order of writes.
pub async fn find_absent(
    store: &Store,
    mut rows: Vec<(StoreTable, Box<str>)>,
    mark: Mark<'_>,
    timeout: Duration,
) -> Result<AbsentRows, StoreError> {
    let mut found = Vec::new();
    for _ in 0..MAX_ROUNDS {
        if rows.is_empty() {
            return Ok(AbsentRows::Found(found));
        }
        let absent = rows.iter().map(|(table, key)| ExpectedRow {
            table: *table,
            key: key.clone(),
            revision: 0,
        });
        let absent: Vec<_> = absent.collect();
        match store.compare(&absent, mark, timeout).await? {
            Comparison::Unchanged(revision) => {
                let removed = rows.into_iter().map(|(table, key)| CurrentRow {
                    table,
                    row: StoreRow::removed(&key, revision),
                });
                found.extend(removed);
                return Ok(AbsentRows::Found(found));
            }
            Comparison::Changed(current) => {
                let sent: HashSet<_> = current
                    .iter()
                    .map(|row| (row.table, row.row.key.clone()))
                    .collect();
                let before = rows.len();
                rows.retain(|row| !sent.contains(row));
                found.extend(current);
                if rows.len() == before {
                    return Ok(AbsentRows::Unknown);
                }
            }
            Comparison::Unsupported => return Ok(AbsentRows::Unknown),
        }
    }
    Ok(AbsentRows::Unknown)
}
