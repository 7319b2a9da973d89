//! Rows of the store that watches do not tell of, at gateways that are sound and reach the store.

use hyper::StatusCode;
use serde_json::json;
use standins::{Comparisons, ListedVersion, QuietAnswer};
use std::time::{Duration, Instant};
use trials::{TrialDeclarations, UnreadTrial as Trial};

/// `ConfigApplyMs` of the gateways.
const APPLY: Duration = Duration::from_secs(2);

fn add_route(trial: &Trial) {
    trial.declare(TrialDeclarations {
        version: 4,
        routes: &[("/old/", "registry"), ("/new/", "registry")],
        ..TrialDeclarations::FIRST
    });
}

/// Waits until the route that was added at `since` is served, which is never refused as unknown once it
/// has to be in force.
async fn check_added_route(trial: &Trial, since: Instant) {
    for (n, gateway) in trial.gateways.iter().enumerate() {
        let served = trial.rig.wait_until(async || {
            let is_due = since.elapsed() > APPLY;
            let status = trial.ask(n, "/new/x", "key-1").await.status;
            let is_refused = is_due && status == StatusCode::NOT_FOUND;
            assert!(!is_refused, "gateway {n}: {}", gateway.process.log_tail());
            status == StatusCode::OK
        });
        let log = || gateway.process.log_tail();
        assert!(served.await, "gateway {n}: not served: {}", log());
    }
}

/// Adds a route while the store has a fault, and checks it at `gateways` gateways.
fn an_added_route_is_served(gateways: usize, fault: impl AsyncFnOnce(&Trial)) {
    let bounds = [("ConfigApplyMs", APPLY.as_millis() as f64)];
    Trial::run(gateways, &bounds, async |trial| {
        let since = Instant::now();
        fault(trial).await;
        check_added_route(trial, since).await;
    });
}

macro_rules! unread {
    ($($name:ident: $gateways:expr, $fault:expr;)*) => {$(
        #[test]
        fn $name() {
            an_added_route_is_served($gateways, $fault);
        }
    )*};
}

unread! {
    an_empty_answer_with_the_newest_version: 2, async |trial: &Trial| {
        trial.hush(QuietAnswer::NewestVersion, add_route).await;
        trial.compact();
    };
    an_empty_answer_and_a_kept_history: 2, async |trial: &Trial| {
        trial.hush(QuietAnswer::NewestVersion, add_route).await;
        trial.store().quieten_watches(None);
    };
    a_claim_of_one_gateway: 8, async |trial: &Trial| {
        trial.hush(QuietAnswer::NewestVersion, add_route).await;
        trial.compact();
    };
    an_answer_that_leaves_out_a_row: 2, async |trial: &Trial| {
        trial.store().hide_from_watches("op", "config", true);
        add_route(trial);
        trial.store().put("op", "evacuate/unknown", &json!({}));
        trial.wait_for_polls().await;
        trial.store().hide_from_watches("op", "config", false);
    };
    a_watch_that_is_deaf: 2, async |trial: &Trial| {
        trial.store().hide_from_watches("op", "config", true);
        add_route(trial);
    };
    a_watch_that_never_answers: 2, async |trial: &Trial| {
        trial.store().quieten_watches(Some(QuietAnswer::Never));
        add_route(trial);
    };
    an_answer_of_the_polled_version: 2, async |trial: &Trial| {
        trial.hush(QuietAnswer::PolledVersion, add_route).await;
        trial.compact();
    };
    an_answer_of_an_older_version: 2, async |trial: &Trial| {
        trial.hush(QuietAnswer::OldestVersion, add_route).await;
        trial.store().quieten_watches(None);
    };
    a_listing_that_is_behind: 2, async |trial: &Trial| {
        trial.store().keep_listings(Some(ListedVersion::OfContent));
        add_route(trial);
        trial.compact();
        trial.wait_for_polls().await;
        trial.store().keep_listings(None);
    };
    a_listing_that_is_behind_with_the_newest_version: 2, async |trial: &Trial| {
        trial.store().hide_from_watches("op", "config", true);
        trial.store().keep_listings(Some(ListedVersion::Newest));
        add_route(trial);
        trial.compact();
        trial.wait_for_polls().await;
        trial.store().keep_listings(None);
    };
    a_store_that_compares_no_rows: 2, async |trial: &Trial| {
        trial.store().set_comparisons(Comparisons::Refused);
        trial.store().hide_from_watches("op", "config", true);
        add_route(trial);
    };
}
