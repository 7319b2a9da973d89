//! Changes of the operators' table.

use crate::change::{
    ADDED_KEY, ADDED_ROUTE, Change, EVACUATION, EVACUATION_TAKEN_BACK, FIRST, LOWERED_LIMIT,
    MOVED_ROUTE, OK, WITHDRAWN_KEY, declare,
};
use crate::stale_store::{BEHIND, Reads, compact, run, send};
use trials::TrialDeclarations;

fn is_in_force(change: &Change, reads: Reads) {
    run(2, reads, async |trial| {
        (change.before)(trial);
        change.wait_for(trial, change.answers.0).await;
        trial.store().backdate(BEHIND);
        let since = compact(trial, reads, change.make).await;
        change.check(trial, reads, since).await;
    });
}

/// Watches have missed an earlier change, which listings show.
fn is_in_force_after_an_unread_change(reads: Reads) {
    run(2, reads, async |trial| {
        trial.store().hide_from_watches("op", "config", true);
        declare(trial, |new| new.keys = &["key-1", "key-2"]);
        trial.store().backdate(BEHIND);
        let since = compact(trial, reads, |trial| {
            trial.declare(TrialDeclarations {
                version: 5,
                routes: &[("/old/", "registry"), ("/new/", "registry")],
                ..FIRST
            });
        });
        let since = since.await;
        trial.store().hide_from_watches("op", "config", false);
        ADDED_ROUTE.check(trial, reads, since).await;
    });
}

/// A gateway that was frozen reads declarations that are newer than its own, but not the newest.
fn is_in_force_beside_a_frozen_gateway(reads: Reads) {
    run(3, reads, async |trial| {
        trial.gateways[0].process.freeze().unwrap();
        declare(trial, |new| new.keys = &["key-1", "key-2"]);
        for gateway in &trial.gateways[1..] {
            let known = async || send(gateway, "/old/x", "key-2", 10).await == OK;
            assert!(trial.rig.wait_until(known).await);
        }
        trial.store().backdate(BEHIND);
        let since = compact(trial, reads, |trial| {
            trial.declare(TrialDeclarations {
                version: 5,
                routes: &[("/old/", "registry"), ("/new/", "registry")],
                ..FIRST
            });
        });
        let since = since.await;
        trial.gateways[0].process.thaw().unwrap();
        ADDED_ROUTE.check(trial, reads, since).await;
    });
}

each_way! {
    an_added_route: |reads| is_in_force(&ADDED_ROUTE, reads);
    an_added_key: |reads| is_in_force(&ADDED_KEY, reads);
    a_withdrawn_key: |reads| is_in_force(&WITHDRAWN_KEY, reads);
    a_lowered_limit: |reads| is_in_force(&LOWERED_LIMIT, reads);
    a_moved_route: |reads| is_in_force(&MOVED_ROUTE, reads);
    an_evacuation: |reads| is_in_force(&EVACUATION, reads);
    an_evacuation_that_is_taken_back: |reads| is_in_force(&EVACUATION_TAKEN_BACK, reads);
    an_added_route_after_an_unread_change: is_in_force_after_an_unread_change;
    an_added_route_beside_a_frozen_gateway: is_in_force_beside_a_frozen_gateway;
}
