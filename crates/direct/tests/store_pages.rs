//! Reading of store tables whose responses are cut, with the stand-in of the store.

use adapter::{Changes, ListingProgress, Store, StoreError, StoreTable};
use proto::revision;
use runtime::{Executor, HttpClient};
use serde_json::{Value, json};
use standins::{PlatformStore, QuietAnswer, Standin as _, StandinServer};
use std::collections::BTreeMap;
use std::time::Duration;

const WAIT: Duration = Duration::from_millis(1);

/// Runs a test with a store that cuts responses after two rows, and a client of it.
fn with_store(test: impl AsyncFnOnce(&StandinServer<PlatformStore>, Store)) {
    Executor::run(2, |executor| async move {
        let server = PlatformStore::bind(&executor, ([127, 0, 0, 1], 0).into()).unwrap();
        server.standin().cut_pages(2, 1 << 20);
        let store = Store::new(HttpClient::new(executor), server.local_addr());
        test(&server, store).await;
    });
}

/// Content by key of the servers' table, kept as a gateway keeps it.
#[derive(Debug, Default)]
struct KnownRows {
    rows: BTreeMap<Box<str>, Value>,
    version: u64,
}

impl KnownRows {
    async fn list(&mut self, store: &Store) {
        let listing = store.list(StoreTable::Servers).await.unwrap();
        let content = |value: Option<Vec<u8>>| serde_json::from_slice(&value.unwrap()).unwrap();
        let rows = listing.rows.into_iter();
        self.rows = rows.map(|row| (row.key, content(row.value))).collect();
        self.version = listing.version;
    }

    fn apply(&mut self, changes: Changes) {
        for row in changes.rows {
            match row.value {
                Some(value) => {
                    let value = serde_json::from_slice(&value).unwrap();
                    self.rows.insert(row.key, value)
                }
                None => self.rows.remove(&row.key),
            };
        }
        self.version = changes.version;
    }

    /// Polls until nothing more changes, listing the table again where the store demands it.
    async fn catch_up(&mut self, store: &Store) {
        loop {
            let since = self.version;
            match store.changes(StoreTable::Servers, since, WAIT).await {
                Ok(changes) => self.apply(changes),
                Err(StoreError::HistoryGone | StoreError::CutTransaction) => self.list(store).await,
                Err(err) => panic!("{err}"),
            }
            if self.version == since {
                return;
            }
        }
    }

    fn keys(&self) -> Vec<&str> {
        self.rows.keys().map(|key| &**key).collect()
    }
}

/// The rest of a cut poll was skipped, as the next one went on from the newest version of the store.
#[test]
fn a_cut_poll_skips_no_row() {
    with_store(async |server, store| {
        let mut known = KnownRows::default();
        known.list(&store).await;
        for key in ["a", "b", "c", "d", "e"] {
            server.standin().put("servers", key, &json!(key));
        }
        known.catch_up(&store).await;
        assert_eq!(known.keys(), ["a", "b", "c", "d", "e"]);
    });
}

/// Rows of one transaction have one version, which does not say which of them a cut poll has left out.
#[test]
fn a_poll_cut_within_a_transaction_skips_no_row() {
    with_store(async |server, store| {
        let mut known = KnownRows::default();
        known.list(&store).await;
        server.standin().put("servers", "first", &json!(1));
        let rows = ["a", "b", "c", "d", "e"].map(|key| (key, json!(key)));
        server.standin().put_together("servers", &rows);
        known.catch_up(&store).await;
        assert_eq!(known.keys(), ["a", "b", "c", "d", "e", "first"]);
    });
}

/// A row larger than a page is sent alone, and hides none of those that follow.
#[test]
fn a_row_larger_than_a_page_hides_no_other() {
    with_store(async |server, store| {
        server.standin().cut_pages(500, 1_000);
        let mut known = KnownRows::default();
        known.list(&store).await;
        server
            .standin()
            .put("servers", "large", &json!("x".repeat(5_000)));
        server.standin().put("servers", "small", &json!(1));
        known.catch_up(&store).await;
        assert_eq!(known.keys(), ["large", "small"]);
        known.list(&store).await;
        assert_eq!(known.keys(), ["large", "small"]);
    });
}

/// A change on an earlier page of a listing was made while a later one was read.
#[test]
fn a_row_that_changes_between_two_pages_is_not_missed() {
    with_store(async |server, store| {
        for key in ["a", "b", "c", "d", "e"] {
            server.standin().put("servers", key, &json!("old"));
        }
        let new = json!("new");
        for (key, value) in [
            ("a", Some(&new)),
            ("b", None),
            ("d", Some(&new)),
            ("e", None),
        ] {
            server.standin().change_after_cut("servers", key, value);
        }
        let mut known = KnownRows::default();
        known.list(&store).await;
        known.catch_up(&store).await;
        let expected = [("a", "new"), ("c", "old"), ("d", "new")];
        let rows = known.rows.iter().map(|(key, row)| (&**key, row.as_str()));
        let expected = expected.map(|(key, row)| (key, Some(row)));
        assert_eq!(rows.collect::<Vec<_>>(), expected);
    });
}

/// A listing that fails on a later page began anew from the first one.
#[test]
fn a_listing_continues_after_its_last_page() {
    with_store(async |server, store| {
        for key in ["a", "b", "c", "d", "e", "f"] {
            server.standin().put("servers", key, &json!(key));
        }
        let mut progress = ListingProgress::default();
        server.standin().refuse_after(Some(2));
        let failed = store.continue_listing(StoreTable::Servers, &mut progress);
        assert!(failed.await.is_err());
        server.standin().refuse_after(None);
        let listing = store.continue_listing(StoreTable::Servers, &mut progress);
        let keys: Vec<_> = listing.await.unwrap().rows;
        let keys: Vec<_> = keys.iter().map(|row| &*row.key).collect();
        assert_eq!(keys, ["a", "b", "c", "d", "e", "f"]);
        // Two pages, the refused one, and the last.
        assert_eq!(server.standin().counts()["calls"], 4);
    });
}

/// An answer without rows that bore the newest version of the store hid what was written before it.
#[test]
fn an_answer_without_rows_moves_no_poll_on() {
    with_store(async |server, store| {
        let mut known = KnownRows::default();
        known.list(&store).await;
        let since = known.version;
        server
            .standin()
            .quieten_watches(Some(QuietAnswer::NewestVersion));
        server.standin().put("servers", "a", &json!("a"));
        let changes = store.changes(StoreTable::Servers, since, WAIT).await;
        let changes = changes.unwrap();
        assert!(changes.rows.is_empty() && changes.newest > since);
        assert_eq!(changes.version, since);
        server.standin().quieten_watches(None);
        known.catch_up(&store).await;
        assert_eq!(known.keys(), ["a"]);
    });
}

/// Rows of other tables do not count for the one that is polled.
#[test]
fn a_poll_goes_on_from_its_last_row() {
    with_store(async |server, store| {
        let standin = server.standin();
        standin.put("servers", "a", &json!("a"));
        standin.put("op", "config", &json!({}));
        let changes = store.changes(StoreTable::Servers, 0, WAIT).await.unwrap();
        let (last, newest) = (revision(1, 1), revision(1, 2));
        assert_eq!((changes.version, changes.newest), (last, newest));
    });
}
