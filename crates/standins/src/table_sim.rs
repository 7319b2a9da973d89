//! The table service as a value: rows, versions, transactions and rates, without clock or I/O.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

/// One row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key.
    pub key: Box<str>,
    /// Value.
    pub value: Box<str>,
    /// Version, from one.
    pub version: u64,
}

/// What a row must be for a transaction to commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableCondition {
    /// Key.
    pub key: Box<str>,
    /// Expected version; zero where the row must not exist.
    pub version: u64,
}

/// A change of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableWrite {
    /// Key.
    pub key: Box<str>,
    /// New value; none deletes the row.
    pub value: Option<Box<str>>,
}

/// Why a call had no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableRefusal {
    /// A condition on this key does not hold.
    Conflict(Box<str>),
    /// Over the rate that the service bears.
    RateLimited,
    /// More rows than one transaction may write.
    TooManyRows,
}

/// What the table service bears. One transaction counts as one write, one read or scan as a read.
#[derive(Debug, Clone, PartialEq)]
pub struct TableSpec {
    /// Transactions a second.
    pub writes_per_second: f64,
    /// Reads and scans a second.
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

/// True counts of a table service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableCounts {
    /// Reads and scans served.
    pub reads: u64,
    /// Transactions committed.
    pub writes: u64,
    /// Rows written by them.
    pub rows_written: u64,
    /// Transactions refused for a condition.
    pub conflicts: u64,
    /// Calls refused for the rate.
    pub throttled: u64,
    /// Most transactions committed within one second of the service's time.
    pub peak_writes: u64,
    /// Most reads served within one second of the service's time.
    pub peak_reads: u64,
}

#[derive(Debug)]
struct Bucket {
    rate: f64,
    tokens: f64,
    filled: Duration,
    second: u64,
    in_second: u64,
    peak: u64,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: rate,
            filled: Duration::ZERO,
            second: 0,
            in_second: 0,
            peak: 0,
        }
    }

    fn take(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.tokens = (self.tokens + passed * self.rate).min(self.rate);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        self.count(now.as_secs());
        true
    }

    fn count(&mut self, second: u64) {
        if second != self.second {
            self.second = second;
            self.in_second = 0;
        }
        self.in_second += 1;
        self.peak = self.peak.max(self.in_second);
    }
}

/// The rows and rates of a table service.
#[derive(Debug)]
pub struct TableSim {
    rows: BTreeMap<Box<str>, (Box<str>, u64)>,
    spec: TableSpec,
    writes: Bucket,
    reads: Bucket,
    counts: TableCounts,
    next_version: u64,
}

impl Default for TableSim {
    fn default() -> Self {
        Self::new(TableSpec::default())
    }
}

impl TableSim {
    /// An empty table.
    pub fn new(spec: TableSpec) -> Self {
        Self {
            rows: BTreeMap::new(),
            writes: Bucket::new(spec.writes_per_second),
            reads: Bucket::new(spec.reads_per_second),
            spec,
            counts: TableCounts::default(),
            next_version: 0,
        }
    }

    /// Reads rows; absent ones are left out.
    pub fn read(&mut self, now: Duration, keys: &[&str]) -> Result<Vec<TableRow>, TableRefusal> {
        self.admit_read(now)?;
        Ok(keys.iter().filter_map(|key| self.peek(key)).collect())
    }

    /// Reads at most `limit` rows whose keys start with `prefix`, in order, after the key `after`.
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

    /// Commits a transaction and gives the new version of each written row.
    pub fn commit(
        &mut self,
        now: Duration,
        conditions: &[TableCondition],
        writes: &[TableWrite],
    ) -> Result<Vec<u64>, TableRefusal> {
        if writes.len() > self.spec.max_rows_per_transaction {
            return Err(TableRefusal::TooManyRows);
        }
        if !self.writes.take(now) {
            self.counts.throttled += 1;
            return Err(TableRefusal::RateLimited);
        }
        let broken = conditions
            .iter()
            .find(|condition| self.version(&condition.key) != condition.version);
        if let Some(condition) = broken {
            self.counts.conflicts += 1;
            return Err(TableRefusal::Conflict(condition.key.clone()));
        }
        self.counts.writes += 1;
        self.counts.rows_written += writes.len() as u64;
        Ok(writes.iter().map(|write| self.apply(write)).collect())
    }

    /// A row, outside the rates.
    pub fn peek(&self, key: &str) -> Option<TableRow> {
        let (value, version) = self.rows.get(key)?;
        Some(TableRow {
            key: key.into(),
            value: value.clone(),
            version: *version,
        })
    }

    /// All keys, outside the rates.
    pub fn keys(&self) -> impl Iterator<Item = &str> {
        self.rows.keys().map(|key| &**key)
    }

    /// True counts so far.
    pub fn counts(&self) -> TableCounts {
        TableCounts {
            peak_writes: self.writes.peak,
            peak_reads: self.reads.peak,
            ..self.counts.clone()
        }
    }

    fn admit_read(&mut self, now: Duration) -> Result<(), TableRefusal> {
        if !self.reads.take(now) {
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
