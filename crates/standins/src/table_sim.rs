//! A simulated table service with versioned rows, conditional transactions and rate limits. It has
//! no clock and does no I/O.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

/// A row as it is read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Unique key.
    pub key: Box<str>,
    /// Stored value.
    pub value: Box<str>,
    /// Version; each write of any row assigns a new one, starting at one.
    pub version: u64,
}

/// A condition on the version of a row, without which a transaction does not commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableCondition {
    /// Key of the row.
    pub key: Box<str>,
    /// Expected version; zero where the row must not exist.
    pub version: u64,
}

/// A write or deletion of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableWrite {
    /// Key of the row.
    pub key: Box<str>,
    /// New value; none deletes the row.
    pub value: Option<Box<str>>,
}

/// Why a call was refused; it had no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableRefusal {
    /// A condition on this key does not hold.
    Conflict(Box<str>),
    /// The rate limit for this kind of call is exceeded.
    RateLimited,
    /// The transaction writes more rows than allowed.
    TooManyRows,
}

/// Limits of a table service. A transaction counts as one write; a read or scan counts as one read.
#[derive(Debug, Clone, PartialEq)]
pub struct TableSpec {
    /// Transactions per second.
    pub writes_per_second: f64,
    /// Reads and scans per second.
    pub reads_per_second: f64,
    /// Most rows that one transaction may write.
    pub max_rows_per_transaction: usize,
}

impl Default for TableSpec {
    fn default() -> Self {
        Self {
            writes_per_second: 400.0,
            reads_per_second: 2000.0,
            max_rows_per_transaction: 128,
        }
    }
}

/// Counters of a table service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableCounts {
    /// Reads and scans served.
    pub reads: u64,
    /// Transactions committed.
    pub writes: u64,
    /// Rows written by them.
    pub rows_written: u64,
    /// Transactions refused because a condition did not hold.
    pub conflicts: u64,
    /// Calls refused by a rate limit.
    pub throttled: u64,
    /// Most transactions that passed the rate limit within one second, counted by whole seconds of
    /// the simulated time.
    pub peak_writes: u64,
    /// Most reads and scans served within one second, counted the same way.
    pub peak_reads: u64,
}

#[derive(Debug)]
struct TokenBucket {
    /// Tokens per second; also the capacity.
    rate: f64,
    tokens: f64,
    refilled_at: Duration,
    second: u64,
    count_in_second: u64,
    peak_per_second: u64,
}

impl TokenBucket {
    fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: rate,
            refilled_at: Duration::ZERO,
            second: 0,
            count_in_second: 0,
            peak_per_second: 0,
        }
    }

    fn try_take(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        self.record(now.as_secs());
        true
    }

    fn record(&mut self, second: u64) {
        if second != self.second {
            self.second = second;
            self.count_in_second = 0;
        }
        self.count_in_second += 1;
        self.peak_per_second = self.peak_per_second.max(self.count_in_second);
    }
}

/// A simulated table service in virtual time.
#[derive(Debug)]
pub struct TableSim {
    rows: BTreeMap<Box<str>, (Box<str>, u64)>,
    spec: TableSpec,
    writes: TokenBucket,
    reads: TokenBucket,
    counts: TableCounts,
    next_version: u64,
}

impl Default for TableSim {
    fn default() -> Self {
        Self::new(TableSpec::default())
    }
}

impl TableSim {
    /// Creates an empty table.
    pub fn new(spec: TableSpec) -> Self {
        Self {
            rows: BTreeMap::new(),
            writes: TokenBucket::new(spec.writes_per_second),
            reads: TokenBucket::new(spec.reads_per_second),
            spec,
            counts: TableCounts::default(),
            next_version: 0,
        }
    }

    /// Reads the rows with the given keys; missing rows are skipped.
    pub fn read(&mut self, now: Duration, keys: &[&str]) -> Result<Vec<TableRow>, TableRefusal> {
        self.admit_read(now)?;
        Ok(keys.iter().filter_map(|key| self.peek(key)).collect())
    }

    /// Reads at most `limit` rows whose keys start with `prefix` and are greater than `after`, in key
    /// order.
    pub fn scan(
        &mut self,
        now: Duration,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<TableRow>, TableRefusal> {
        self.admit_read(now)?;
        let start = if after < prefix {
            Bound::Included(prefix)
        } else {
            Bound::Excluded(after)
        };
        Ok(self
            .rows
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(key, (value, version))| TableRow {
                key: key.clone(),
                value: value.clone(),
                version: *version,
            })
            .collect())
    }

    /// Commits a transaction if all conditions hold; returns the new version of each written row, or
    /// zero for a deleted one.
    pub fn commit(
        &mut self,
        now: Duration,
        conditions: &[TableCondition],
        writes: &[TableWrite],
    ) -> Result<Vec<u64>, TableRefusal> {
        if writes.len() > self.spec.max_rows_per_transaction {
            return Err(TableRefusal::TooManyRows);
        }
        if !self.writes.try_take(now) {
            self.counts.throttled += 1;
            return Err(TableRefusal::RateLimited);
        }
        let failed = conditions
            .iter()
            .find(|condition| self.version(&condition.key) != condition.version);
        if let Some(condition) = failed {
            self.counts.conflicts += 1;
            return Err(TableRefusal::Conflict(condition.key.clone()));
        }
        self.counts.writes += 1;
        self.counts.rows_written += writes.len() as u64;
        Ok(writes.iter().map(|write| self.apply(write)).collect())
    }

    /// Reads a row without counting it against the rate limit.
    pub fn peek(&self, key: &str) -> Option<TableRow> {
        let (value, version) = self.rows.get(key)?;
        Some(TableRow {
            key: key.into(),
            value: value.clone(),
            version: *version,
        })
    }

    /// All keys in order, without counting against the rate limit.
    pub fn keys(&self) -> impl Iterator<Item = &str> {
        self.rows.keys().map(|key| &**key)
    }

    /// Counters so far.
    pub fn counts(&self) -> TableCounts {
        TableCounts {
            peak_writes: self.writes.peak_per_second,
            peak_reads: self.reads.peak_per_second,
            ..self.counts.clone()
        }
    }

    fn admit_read(&mut self, now: Duration) -> Result<(), TableRefusal> {
        if !self.reads.try_take(now) {
            self.counts.throttled += 1;
            return Err(TableRefusal::RateLimited);
        }
        self.counts.reads += 1;
        Ok(())
    }

    fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |(_, version)| *version)
    }

    fn apply(&mut self, write: &TableWrite) -> u64 {
        let Some(value) = &write.value else {
            self.rows.remove(&write.key);
            return 0;
        };
        self.next_version += 1;
        let entry = (value.clone(), self.next_version);
        self.rows.insert(write.key.clone(), entry);
        self.next_version
    }
}
