//! Gateways that start and leave, of which listings do not tell yet.

use crate::stale_store::{BEHIND, Reads, all, bounds, compact, run};
use std::time::Instant;
use trials::{DirectGateway, UnreadTrial as Trial};

/// Number of gateways that one counts; `None` if it cannot be read.
async fn counted(gateway: &DirectGateway) -> Option<usize> {
    let page = gateway.metrics().await.ok()?;
    let mut lines = page.lines();
    lines.find_map(|line| {
        line.strip_prefix("bergamothold_direct_gateways ")?
            .parse()
            .ok()
    })
}

async fn wait_for_count(trial: &Trial, gateways: &[&DirectGateway], count: usize) {
    for gateway in gateways {
        let is_counted = async || counted(gateway).await == Some(count);
        let log = || gateway.process.log_tail();
        let is_counted = trial.rig.wait_until(is_counted).await;
        assert!(is_counted, "does not count {count}: {}", log());
    }
}

/// All count the same number until listings show what holds, and a while longer.
async fn check_count(trial: &Trial, gateways: &[&DirectGateway], since: Instant, count: usize) {
    let over = trial.rig.wait_until(async || {
        for gateway in gateways {
            let counted = counted(gateway).await;
            assert_eq!(counted, Some(count), "{}", gateway.process.log_tail());
        }
        since.elapsed() > BEHIND + BEHIND / 6
    });
    assert!(over.await);
}

fn add(trial: &Trial) -> DirectGateway {
    let store = trial.rig.store.local_addr();
    let added = trial
        .rig
        .add_gateway_with_bounds("unread-new", store, &bounds());
    added.unwrap()
}

fn has_row(trial: &Trial) -> bool {
    let keys = trial.store().keys("bergamothold");
    keys.iter().any(|key| **key == *"gateway/unread-new")
}

/// A gateway that others know is not listed yet, and is counted on.
fn a_known_one_is_counted_on(reads: Reads) {
    run(2, reads, async |trial| {
        wait_for_count(trial, &all(trial), 2).await;
        trial.store().backdate(BEHIND);
        let started = add(trial);
        let mut gateways = all(trial);
        gateways.push(&started);
        wait_for_count(trial, &gateways, 3).await;
        let since = compact(trial, reads, |_| {}).await;
        check_count(trial, &gateways, since, 3).await;
    });
}

/// A gateway that others know as gone is still listed, and is not counted again.
fn a_known_end_holds(reads: Reads) {
    run(2, reads, async |trial| {
        let started = add(trial);
        wait_for_count(trial, &all(trial), 3).await;
        trial.store().backdate(BEHIND);
        started.process.terminate().unwrap();
        wait_for_count(trial, &all(trial), 2).await;
        let since = compact(trial, reads, |_| {}).await;
        check_count(trial, &all(trial), since, 2).await;
    });
}

/// A gateway that starts while watches hear nothing is counted by all.
fn a_new_one_is_counted(reads: Reads) {
    run(2, reads, async |trial| {
        wait_for_count(trial, &all(trial), 2).await;
        trial.store().backdate(BEHIND);
        let mut started = None;
        compact(trial, reads, |trial| started = Some(add(trial))).await;
        let started = started.unwrap();
        let mut gateways = all(trial);
        gateways.push(&started);
        wait_for_count(trial, &gateways, 3).await;
    });
}

/// A gateway that ends while watches hear nothing is counted by nobody in the end.
fn one_that_ends_is_not_counted(reads: Reads) {
    run(2, reads, async |trial| {
        let started = add(trial);
        wait_for_count(trial, &all(trial), 3).await;
        trial.store().backdate(BEHIND);
        compact(trial, reads, |_| started.process.terminate().unwrap()).await;
        assert!(trial.rig.wait_until(async || !has_row(trial)).await);
        // Others share the limits with it for a while after they know that it is gone.
        trial.wait(BEHIND).await;
        wait_for_count(trial, &all(trial), 2).await;
    });
}

each_listing! {
    a_known_gateway: a_known_one_is_counted_on;
    a_known_end_of_a_gateway: a_known_end_holds;
    a_new_gateway: a_new_one_is_counted;
    a_gateway_that_ends: one_that_ends_is_not_counted;
}
