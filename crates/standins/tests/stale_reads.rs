//! Listings and comparisons of the stand-in for the platform's store that are behind.

use hyper::Request;
use runtime::{Body, Executor, HttpClient};
use serde_json::{Value, json};
use standins::{Comparisons, ListedVersion, PlatformStore, StaleReads, StandinServer};
use std::time::Duration;

const MAX_RESPONSE_BYTES: usize = 1 << 20;
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Before all that the tests write.
const BEFORE: StaleReads = StaleReads {
    by: Duration::from_secs(60),
    version: ListedVersion::OfContent,
};

/// A store with the rows `a` of version 1 and `b` of version 2 in the table `op`.
struct Trial {
    client: HttpClient,
    store: StandinServer<PlatformStore>,
}

impl Trial {
    async fn fetch(&self, req: Request<Body>) -> (u16, Value) {
        let address = self.store.local_addr();
        let fetched = self
            .client
            .fetch(address, req, MAX_RESPONSE_BYTES, CALL_TIMEOUT);
        let (status, body) = fetched.await.unwrap();
        let body = serde_json::from_slice(&body).unwrap_or_default();
        (status.as_u16(), body)
    }

    async fn transact(&self, conditions: &[(&str, &str, u64)], puts: &[(&str, &str)]) -> Answer {
        let row = |table: &str, key: &str| json!({ "Table": table, "part": "", "Key": key });
        let condition = |(table, key, version): &(&str, &str, u64)| {
            let mut row = row(table, key);
            row["Ver"] = json!(version);
            row
        };
        let put = |(table, key): &(&str, &str)| {
            let mut row = row(table, key);
            row["Value"] = json!("e30=");
            row
        };
        let body = json!({
            "ExpectedRevision": conditions.iter().map(condition).collect::<Vec<_>>(),
            "Puts": puts.iter().map(put).collect::<Vec<_>>(),
            "Remove": [],
        });
        let req = Request::post("/v1/rows-tx").header("host", "standin");
        let req = req.body(Body::full(body.to_string())).unwrap();
        Answer::new(self.fetch(req).await)
    }

    async fn list(&self) -> Answer {
        let req = Request::get("/v1/rows-get?Table=op&part=").header("host", "standin");
        Answer::new(self.fetch(req.body(Body::empty()).unwrap()).await)
    }
}

/// Status, keys of the rows, and version.
#[derive(Debug, PartialEq)]
struct Answer(u16, Vec<String>, Option<u64>);

impl Answer {
    fn new((status, body): (u16, Value)) -> Self {
        let rows = body["Rows"].as_array().cloned().unwrap_or_default();
        let keys = rows.iter().filter_map(|row| row["Key"].as_str());
        Self(
            status,
            keys.map(str::to_owned).collect(),
            body["Ver"].as_u64(),
        )
    }
}

fn answer(status: u16, keys: &[&str], version: impl Into<Option<u64>>) -> Answer {
    let keys = keys.iter().map(|key| (*key).to_owned());
    Answer(status, keys.collect(), version.into())
}

fn run(test: impl AsyncFnOnce(&Trial)) {
    Executor::run(2, |executor| async move {
        let store = PlatformStore::bind(&executor, ([127, 0, 0, 1], 0).into()).unwrap();
        let client = HttpClient::new(executor.clone());
        store.standin().put("op", "a", &json!({}));
        store.standin().put("op", "b", &json!({}));
        test(&Trial { client, store }).await;
    });
}

/// Changes how the store answers, makes a call and compares the answer.
macro_rules! answers {
    ($($name:ident: $fault:expr, $call:expr => $answer:expr;)*) => {$(
        #[test]
        fn $name() {
            run(async |trial| {
                let fault: fn(&PlatformStore) = $fault;
                fault(trial.store.standin());
                let call: StoreCall = $call;
                assert_eq!(call.run(trial).await, $answer);
            });
        }
    )*};
}

/// A call of the store.
enum StoreCall {
    List,
    Transact(
        &'static [(&'static str, &'static str, u64)],
        &'static [(&'static str, &'static str)],
    ),
}

impl StoreCall {
    async fn run(&self, trial: &Trial) -> Answer {
        match self {
            Self::List => trial.list().await,
            Self::Transact(conditions, puts) => trial.transact(conditions, puts).await,
        }
    }
}

use StoreCall::{List, Transact};

const HOLDS: &[(&str, &str, u64)] = &[("op", "a", 1), ("op", "b", 2)];
const DIFFERS: &[(&str, &str, u64)] = &[("op", "a", 1), ("op", "b", 1), ("op", "c", 0)];
const SERVER: &[(&str, &str, u64)] = &[("servers", "s", 0)];
const NONE: &[(&str, &str, u64)] = &[("op", "a", 0), ("op", "b", 0)];
const MARK: &[(&str, &str)] = &[("marks", "m")];

answers! {
    a_listing: |_| {}, List => answer(200, &["a", "b"], 2);
    a_listing_of_before: |store| store.read_behind(Some(BEFORE)), List => answer(200, &[], 0);
    a_listing_of_before_with_the_newest_version: |store| {
        store.read_behind(Some(StaleReads { version: ListedVersion::Newest, ..BEFORE }));
    }, List => answer(200, &[], 2);
    a_listing_of_now: |store| {
        store.read_behind(Some(StaleReads { by: Duration::ZERO, ..BEFORE }));
    }, List => answer(200, &["a", "b"], 2);
    a_listing_after_the_end: |store| {
        store.read_behind(Some(BEFORE));
        store.read_behind(None);
    }, List => answer(200, &["a", "b"], 2);
    a_listing_of_before_a_change: |store| {
        store.backdate(BEFORE.by);
        store.put("op", "c", &json!({}));
        store.read_behind(Some(BEFORE));
    }, List => answer(200, &["a", "b"], 2);
    a_listing_of_removed_rows: |store| {
        store.remove("op", "a");
        store.remove("op", "b");
        store.read_behind(Some(StaleReads { by: Duration::ZERO, ..BEFORE }));
    }, List => answer(200, &[], 4);
    a_comparison_that_holds: |_| {}, Transact(HOLDS, &[]) => answer(200, &[], 2);
    a_comparison_that_differs: |_| {}, Transact(DIFFERS, &[]) => answer(412, &["a", "b"], 2);
    a_comparison_that_tells_what_differs: |store| store.omit_equal_rows(true),
        Transact(DIFFERS, &[]) => answer(412, &["b"], 2);
    a_comparison_beside_listings_of_before: |store| store.read_behind(Some(BEFORE)),
        Transact(HOLDS, &[]) => answer(200, &[], 2);
    a_refused_comparison: |store| store.set_comparisons(Comparisons::Refused),
        Transact(HOLDS, &[]) => answer(403, &[], None);
    a_refused_comparison_of_servers: |store| store.set_comparisons(Comparisons::Refused),
        Transact(SERVER, &[]) => answer(403, &[], None);
    a_refused_comparison_that_writes: |store| store.set_comparisons(Comparisons::Refused),
        Transact(HOLDS, MARK) => answer(403, &[], None);
    a_write_beside_refused_comparisons: |store| store.set_comparisons(Comparisons::Refused),
        Transact(&[("marks", "m", 0)], MARK) => answer(200, &[], 3);
    a_blind_comparison: |store| store.set_comparisons(Comparisons::Blind),
        Transact(DIFFERS, &[]) => answer(200, &[], 2);
    a_write_beside_blind_comparisons: |store| store.set_comparisons(Comparisons::Blind),
        Transact(DIFFERS, MARK) => answer(412, &["a", "b"], 2);
    a_comparison_with_what_held_before: |store| {
        store.set_comparisons(Comparisons::Behind);
        store.read_behind(Some(BEFORE));
    }, Transact(NONE, &[]) => answer(200, &[], 0);
    a_comparison_with_what_did_not_hold_before: |store| {
        store.set_comparisons(Comparisons::Behind);
        store.read_behind(Some(StaleReads { version: ListedVersion::Newest, ..BEFORE }));
    }, Transact(HOLDS, &[]) => answer(412, &[], 2);
    a_write_beside_comparisons_of_before: |store| {
        store.set_comparisons(Comparisons::Behind);
        store.read_behind(Some(BEFORE));
    }, Transact(HOLDS, MARK) => answer(200, &[], 3);
    a_write_of_an_operators_row: |_| {}, Transact(&[], &[("op", "a")]) => answer(403, &[], None);
}
