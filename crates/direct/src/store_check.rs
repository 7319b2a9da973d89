//! Checks of the rows in the store, which find what watches do not tell of and confirm the rest.

use crate::absent_rows::{AbsentRows, find_absent};
use crate::shared::Shared;
use crate::store_watch::report_declarations;
use adapter::{Comparison, CurrentRow, ExpectedRow, Mark, Store, StoreError, StoreRow, StoreTable};
use async_io::Timer;
use policy::{CheckWay, ConfirmedBy, DomainName, MarkNumber, ReadProof};
use proto::Revision;
use rand::random;
use runtime::Clock;
use slog::{info, warn};
use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Interval at which a check may become due.
const TICK: Duration = Duration::from_millis(100);
/// The same until the first one, as a gateway that starts serves nothing before it.
const FIRST_TICK: Duration = Duration::from_millis(10);
/// Rows that others may lack are told by a check this long after the last one.
const TELLING_PAUSE: Duration = Duration::from_millis(250);
/// Domains whose orders are compared.
const MAX_DOMAINS: usize = 30;
/// Rows that are compared in one call. The store takes at most 100 entries, of which one is the mark.
const MAX_ROWS: usize = 99;
/// Transactions of one check: one that finds changed rows, one that finds removed ones, and one that confirms.
const MAX_ROUNDS: usize = 4;
/// Reads that wait for a mark to be shown.
const MARK_READS: usize = 3;
/// Declarations of more bytes are left to peers while these have newer ones.
const LARGE_DECLARATIONS: usize = 256 << 10;

/// Checks the operators' and servers' rows whenever that is due, until the process ends.
pub async fn check_store(shared: Arc<Shared>, store: Store) {
    let mut check = StoreCheck {
        shared,
        store,
        next_chunk: random(),
        process: random(),
        last: Duration::ZERO,
    };
    let mut tick = FIRST_TICK;
    loop {
        Timer::after(tick).await;
        if !check.is_due() {
            continue;
        }
        check.last = check.shared.clock.now();
        let at = Clock::boot_time();
        let checked = check.run().await;
        check.shared.see_store_era(&check.store);
        let is_listing = !matches!(checked, Ok(CheckWay::Transaction));
        check.shared.on_store_checked(at, is_listing);
        match checked {
            Ok(_) => tick = TICK,
            Err(err) => {
                check.shared.metrics.store_call("check", "failed");
                info!(check.shared.log, "store: rows cannot be checked"; "err" => %err);
            }
        }
    }
}

/// How a comparison of rows ended.
enum Compared {
    /// They are as they are known.
    Unchanged,
    /// Some are not, and the store does not tell which.
    Differs,
    /// The store does not compare them.
    Unsupported,
}

struct StoreCheck {
    shared: Arc<Shared>,
    store: Store,
    /// Place of the servers' rows that are compared next. Gateways begin anywhere, so that together they soon
    /// compare all.
    next_chunk: u64,
    /// Random number of this process, which its marks bear.
    process: u64,
    /// When the last check began.
    last: Duration,
}

impl StoreCheck {
    fn is_due(&self) -> bool {
        let cache = &self.shared.store_cache;
        let knows_rows = cache.versions().operators > 0;
        if !knows_rows || cache.is_decoding() {
            return false;
        }
        let is_on_the_way = cache.declarations_bytes() > LARGE_DECLARATIONS
            && !self.shared.watches_store()
            && cache.knows_newer_declarations_than_in_force();
        let now = self.shared.clock.now();
        let is_untold = self.shared.watches_store() && cache.has_untold_servers(now);
        let is_telling_due = is_untold && now >= self.last + TELLING_PAUSE;
        !is_on_the_way && (is_telling_due || self.shared.is_store_check_due())
    }

    /// Domains that can be evacuated: those of the settings, which may state none, and those of servers.
    fn domains(&self) -> Vec<DomainName> {
        let mut domains: BTreeSet<_> = self.shared.settings.domains.iter().cloned().collect();
        domains.extend(self.shared.store_cache.server_domains());
        domains.into_iter().take(MAX_DOMAINS).collect()
    }

    /// Rows that the next call compares: the operators', and a part of the servers'.
    fn expected(&self) -> Vec<ExpectedRow> {
        let cache = &self.shared.store_cache;
        let mut rows = cache.expected_rows(&self.domains());
        let servers = cache.expected_servers(self.shared.clock.now());
        let room = MAX_ROWS - rows.len();
        let chunks = servers.len().div_ceil(room).max(1);
        let chunk = (self.next_chunk % chunks as u64) as usize;
        rows.extend(
            servers
                .chunks(room)
                .nth(chunk)
                .into_iter()
                .flatten()
                .cloned(),
        );
        rows
    }

    fn mark<'a>(&'a self, value: &'a [u8]) -> Mark<'a> {
        let key = &self.shared.settings.name;
        Mark { key, value }
    }

    /// Checks the rows once, and returns how.
    async fn run(&mut self) -> Result<CheckWay, StoreError> {
        let now = self.shared.clock.now();
        if self.shared.lock_store_reads().way(now) == CheckWay::Transaction {
            match self.compare().await? {
                Compared::Unchanged => {
                    self.next_chunk = self.next_chunk.wrapping_add(1);
                    return Ok(CheckWay::Transaction);
                }
                // Rows of a restored store are passed over at first.
                Compared::Differs if self.shared.lacks_rows() => return Ok(CheckWay::Transaction),
                Compared::Differs => {
                    info!(
                        self.shared.log,
                        "store: rows differ and do not come, the tables are read"
                    );
                }
                Compared::Unsupported => {
                    info!(
                        self.shared.log,
                        "store: compares no rows, the tables are read to check them"
                    );
                    self.shared.lock_store_reads().on_refused(now);
                }
            }
        }
        self.list().await?;
        Ok(CheckWay::MarkedListing)
    }

    /// Compares the rows until they are as they are known.
    async fn compare(&self) -> Result<Compared, StoreError> {
        for _ in 0..MAX_ROUNDS {
            let expected = self.expected();
            let timeout = self.shared.store_check_timeout();
            let at = Clock::boot_time();
            let compared = self.store.compare(&expected, self.mark(b""), timeout);
            let compared = compared.await?;
            // Before a confirmation, as that of a later era does not count at first.
            self.shared.see_store_era(&self.store);
            let current = match compared {
                Comparison::Unchanged(revision) => {
                    self.on_unchanged(at, &expected, revision);
                    return Ok(Compared::Unchanged);
                }
                Comparison::Unsupported => return Ok(Compared::Unsupported),
                Comparison::Changed(current) => current,
            };
            self.shared.metrics.store_call("compare", "changed");
            let unsent = unsent(&expected, &current);
            // The watch may have told of the change by now.
            if self.apply(current).await || self.expected() != expected {
                continue;
            }
            let found = find_absent(&self.store, unsent, self.mark(b""), timeout).await?;
            self.shared.metrics.store_call("find", "ok");
            let AbsentRows::Found(current) = found else {
                break;
            };
            if !self.apply(current).await {
                break;
            }
        }
        Ok(Compared::Differs)
    }

    fn on_unchanged(&self, at: Duration, expected: &[ExpectedRow], revision: Revision) {
        self.shared.metrics.store_call("compare", "ok");
        self.shared.set_reads_behind(false);
        let row = expected.first().map_or(0, |row| row.revision);
        let proof = self
            .shared
            .lock_store_reads()
            .on_unchanged(at, row, revision);
        self.on_proof(proof, ConfirmedBy::Comparison(revision));
    }

    /// Records that all rows are as they are known, as far as `proof` says.
    fn on_proof(&self, proof: ReadProof, by: ConfirmedBy) {
        let ReadProof::UpTo { at, revision } = proof else {
            return;
        };
        self.shared.on_store_confirmed(at, by);
        let cache = &self.shared.store_cache;
        cache.on_confirmed(revision);
        if cache.tell_untold(revision, self.shared.clock.now()) {
            self.shared.fleet.urgent().notify();
            info!(self.shared.log, "store: rows that others may not have are told as newer";
                "version" => revision);
        }
    }

    /// Applies rows as a transaction has found them, and returns whether that has shown anything new.
    async fn apply(&self, current: Vec<CurrentRow>) -> bool {
        let (operators, servers) = (
            by_table(&current, StoreTable::Operators),
            by_table(&current, StoreTable::Servers),
        );
        let cache = &self.shared.store_cache;
        let before = self.expected();
        let polls = self.shared.watches_store();
        cache.on_read_servers(&servers, polls, self.shared.clock.now());
        let refusal = cache
            .on_read_operators(operators, self.shared.clock.now())
            .await;
        report_declarations(&self.shared, refusal);
        let is_new = self.expected() != before;
        if is_new {
            self.on_found();
        }
        is_new
    }

    fn on_found(&self) {
        self.shared.metrics.unread_change();
        self.shared.fleet.urgent().notify();
        info!(self.shared.log, "store: a check has found a change before the watch told of it";
            "row" => self.shared.store_cache.declarations_row());
    }

    /// Writes a mark, and lists the tables between two reads that show which one reads have got to.
    async fn list(&self) -> Result<(), StoreError> {
        let cache = &self.shared.store_cache;
        let mark = self.write_mark().await?;
        let before = self.shown_mark(mark).await?;
        let operators = self.store.list(StoreTable::Operators).await?;
        let servers = self.store.list(StoreTable::Servers).await?;
        let after = self.shown_mark(mark).await?;
        self.shared.metrics.store_call("list", "ok");
        let is_complete = operators.skipped + servers.skipped == 0;
        let proof = match is_complete {
            true => self.shared.lock_store_reads().marked([before, after]),
            // A row that cannot be decoded is not absent.
            false => ReadProof::Unknown,
        };
        let version = operators.version;
        let known = self.expected();
        let now = self.shared.clock.now();
        cache.on_server_listing(&servers, proof, now);
        let refusal = cache.on_operator_listing(operators, proof, now).await;
        report_declarations(&self.shared, refusal);
        if self.expected() != known {
            self.on_found();
        }
        self.on_proof(proof, ConfirmedBy::Listing(version));
        self.report_behind(proof);
        Ok(())
    }

    async fn write_mark(&self) -> Result<MarkNumber, StoreError> {
        let number = self.shared.lock_store_reads().next_mark();
        let at = Clock::boot_time();
        let value = [self.process.to_le_bytes(), number.to_le_bytes()].concat();
        let revision = self.store.put_mark(self.mark(&value)).await?;
        self.shared
            .lock_store_reads()
            .on_marked(number, at, revision);
        Ok(number)
    }

    /// The mark of this process that reads show at present, which soon is the `last` one if they are hardly behind.
    async fn shown_mark(&self, last: MarkNumber) -> Result<Option<MarkNumber>, StoreError> {
        for _ in 1..MARK_READS {
            let shown = self.read_mark().await?;
            if shown == Some(last) {
                return Ok(shown);
            }
            Timer::after(TICK).await;
        }
        self.read_mark().await
    }

    async fn read_mark(&self) -> Result<Option<MarkNumber>, StoreError> {
        let shown = self.store.shown_mark(&self.shared.settings.name).await?;
        let number = shown.and_then(|value| {
            let (process, number) = value.split_at_checked(size_of::<u64>())?;
            let is_own = process == self.process.to_le_bytes();
            let number = MarkNumber::from_le_bytes(number.try_into().ok()?);
            is_own.then_some(number)
        });
        Ok(number)
    }

    /// Says so if reads have shown an earlier mark than the last one, or none.
    fn report_behind(&self, proof: ReadProof) {
        let behind = match proof {
            ReadProof::Unknown => None,
            ReadProof::UpTo { at, .. } => Some(Clock::boot_time().saturating_sub(at)),
        };
        let bound = self.shared.settings.bounds.declarations_apply;
        let is_behind = behind.is_none_or(|behind| behind > bound);
        self.shared.set_reads_behind(is_behind);
        if is_behind {
            self.shared.metrics.store_call("list", "behind");
            warn!(self.shared.log, "store: reads are behind";
                "behind_ms" => behind.map(|behind| behind.as_millis() as u64),
                "row" => self.shared.store_cache.declarations_row());
        }
    }
}

/// Rows that were expected to exist and that the store did not send: they are as expected, or do not exist.
fn unsent(expected: &[ExpectedRow], current: &[CurrentRow]) -> Vec<(StoreTable, Box<str>)> {
    let sent: HashSet<_> = current
        .iter()
        .map(|row| (row.table, &*row.row.key))
        .collect();
    let unsent = expected
        .iter()
        .filter(|row| row.revision > 0 && !sent.contains(&(row.table, &*row.key)));
    unsent.map(|row| (row.table, row.key.clone())).collect()
}

fn by_table(rows: &[CurrentRow], table: StoreTable) -> Vec<StoreRow> {
    let rows = rows.iter().filter(|row| row.table == table);
    rows.map(|row| row.row.clone()).collect()
}
