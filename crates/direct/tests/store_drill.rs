//! The client of the store before one that comes back from a copy.

use adapter::{Store, StoreError, StoreTable};
use proto::{Revision, revision};
use runtime::{Executor, HttpClient};
use serde_json::json;
use standins::{PlatformStore, StandinServer};
use std::time::Duration;

const WAIT: Duration = Duration::from_millis(1);
const TABLE: StoreTable = StoreTable::Servers;

/// Runs a test with a store that has the row `x` of the version 1, and a client of it.
fn with_store(test: impl AsyncFnOnce(&StandinServer<PlatformStore>, Store)) {
    Executor::run(2, |executor| async move {
        let server = PlatformStore::bind(&executor, ([127, 0, 0, 1], 0).into()).unwrap();
        server.standin().put("servers", "x", &json!(1));
        let store = Store::new(HttpClient::new(executor), server.local_addr());
        test(&server, store).await;
    });
}

async fn listed(store: &Store) -> (Vec<(Box<str>, Revision)>, Revision) {
    let listing = store.list(TABLE).await.unwrap();
    let rows = listing.rows.into_iter();
    (
        rows.map(|row| (row.key, row.version)).collect(),
        listing.version,
    )
}

#[test]
fn what_was_written_since_the_copy_is_gone_and_versions_are_given_out_again() {
    with_store(async |server, store| {
        let standin = server.standin();
        let copy = standin.copy();
        standin.put("servers", "x", &json!(2));
        standin.put("servers", "y", &json!(2));
        let (_, known) = listed(&store).await;
        assert_eq!((known, store.era()), (revision(1, 3), 1));
        standin.restore(copy, WAIT).await;
        let rows = vec![("x".into(), revision(2, 1))];
        assert_eq!(listed(&store).await, (rows, revision(2, 1)));
        assert_eq!((store.era(), standin.era()), (2, 2));
        standin.put("servers", "z", &json!(1));
        let changes = store.changes(TABLE, revision(2, 1), WAIT).await.unwrap();
        assert_eq!(changes.version, revision(2, 2));
    });
}

#[test]
fn polls_from_a_version_that_the_store_does_not_have_list_again() {
    with_store(async |server, store| {
        let standin = server.standin();
        let copy = standin.copy();
        standin.put("servers", "x", &json!(2));
        standin.restore(copy, WAIT).await;
        for since in [revision(2, 2), revision(1, 2), revision(1, 1)] {
            let polled = store.changes(TABLE, since, WAIT).await;
            assert!(
                matches!(polled, Err(StoreError::HistoryGone)),
                "{since}: {polled:?}"
            );
        }
        let polled = store.changes(TABLE, revision(2, 1), WAIT).await;
        assert_eq!(polled.unwrap().version, revision(2, 1));
    });
}

#[test]
fn refusals_state_the_era() {
    with_store(async |server, store| {
        server.standin().refuse_after(Some(0));
        assert!(store.list(TABLE).await.is_err());
        assert_eq!(store.era(), 1);
    });
}

/// A write under the version of a row changed another row that had got the same version.
#[test]
fn a_version_of_the_former_era_is_no_condition() {
    with_store(async |server, store| {
        let standin = server.standin();
        let copy = standin.copy();
        standin.put("servers", "x", &json!("before"));
        let (rows, _) = listed(&store).await;
        standin.restore(copy, WAIT).await;
        standin.put("servers", "x", &json!("after"));
        listed(&store).await;
        let put = store.put(TABLE, "x", b"mine", Some(rows[0].1)).await;
        assert!(matches!(put, Err(StoreError::Conflict(_))), "{put:?}");
        assert_eq!(standin.value("servers", "x"), Some(json!("after")));
    });
}

#[test]
fn calls_are_cut_while_the_store_is_away() {
    with_store(async |server, store| {
        let standin = server.standin();
        let poll = async {
            let wait = Duration::from_secs(5);
            let polled = store.changes(TABLE, revision(1, 1), wait).await;
            assert!(
                matches!(polled, Err(StoreError::OutcomeUnknown(..))),
                "{polled:?}"
            );
            assert!(store.list(TABLE).await.is_err());
        };
        let drill = async {
            // The poll is open by then.
            async_io::Timer::after(Duration::from_millis(300)).await;
            let copy = standin.copy();
            standin.restore(copy, Duration::from_secs(1)).await;
        };
        futures_lite::future::zip(poll, drill).await;
        assert_eq!(listed(&store).await.1, revision(2, 1));
    });
}
