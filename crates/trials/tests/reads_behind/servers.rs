//! Changes of the servers' table.

use crate::change::{OK, UNAVAILABLE, declare};
use crate::stale_store::{BEHIND, DRAIN, Reads, Right, all, check, compact, run, send};
use standins::ServerKind;
use trials::UnreadTrial as Trial;

fn drain(trial: &Trial) {
    let address = trial.server.local_addr();
    trial
        .rig
        .register("plain-1", "registry", address, "draining");
}

fn remove(trial: &Trial) {
    trial.store().remove("servers", "plain-1");
}

/// The server gets nothing once the change is due, and the other one serves.
fn its_use_ends(change: fn(&Trial), reads: Reads) {
    run(2, reads, async |trial| {
        let other = trial
            .rig
            .add_server("plain-2", "registry", ServerKind::Plain)
            .unwrap();
        let is_used = async || {
            trial.ask(0, "/old/x", "key-1").await;
            trial.ask(1, "/old/x", "key-1").await;
            other.standin().received_requests().len() > 4
        };
        assert!(trial.rig.wait_until(is_used).await);
        trial.store().backdate(BEHIND);
        let since = compact(trial, reads, change).await;
        let due = reads.shown_from(since) + DRAIN;
        let right = [Right {
            from: due,
            answers: &[OK],
        }];
        let ask = async |gateway: &_| send(gateway, "/old/x", "key-1", 10).await;
        check(trial, &all(trial), ask, &right).await;
        let received = trial.server.standin().received_requests();
        let late = received.iter().filter(|(_, at)| *at > due);
        let latest = late.clone().map(|(_, at)| *at - due).max();
        let logs = trial
            .gateways
            .iter()
            .map(|gateway| gateway.process.log_tail());
        let logs = logs.collect::<Vec<_>>().join("\n");
        let count = late.count();
        assert_eq!(count, 0, "requests came up to {latest:?} late: {logs}");
    });
}

/// Declares a route to a service without servers.
async fn declare_other(trial: &Trial) {
    declare(trial, |new| {
        new.routes = &[("/old/", "registry"), ("/new/", "other")];
    });
    trial.wait_for_all("/new/x", "key-1", UNAVAILABLE).await;
}

/// No comparison names a row that is not known, so that the row is read from a listing.
fn a_new_one_is_used(reads: Reads) {
    run(2, reads, async |trial| {
        declare_other(trial).await;
        trial.store().backdate(BEHIND);
        let mut server = None;
        compact(trial, reads, |trial| {
            let started = trial.rig.add_server("plain-2", "other", ServerKind::Plain);
            server = started.ok();
        })
        .await;
        trial.wait_for_all("/new/x", "key-1", OK).await;
    });
}

/// A server that gateways know is not listed yet, and stays in use.
fn a_known_one_stays_in_use(reads: Reads) {
    run(2, reads, async |trial| {
        declare_other(trial).await;
        trial.store().backdate(BEHIND);
        let _server = trial
            .rig
            .add_server("plain-2", "other", ServerKind::Plain)
            .unwrap();
        trial.wait_for_all("/new/x", "key-1", OK).await;
        let since = compact(trial, reads, |_| {}).await;
        let right = [since, since + BEHIND].map(|from| Right {
            from,
            answers: &[OK],
        });
        let ask = async |gateway: &_| send(gateway, "/new/x", "key-1", 10).await;
        check(trial, &all(trial), ask, &right).await;
    });
}

/// A server that gateways know as gone is still listed, and stays unused.
fn a_known_removal_holds(reads: Reads) {
    run(2, reads, async |trial| {
        trial.store().backdate(BEHIND);
        remove(trial);
        trial.wait_for_all("/old/x", "key-1", UNAVAILABLE).await;
        let since = compact(trial, reads, |_| {}).await;
        let right = [since, since + BEHIND].map(|from| Right {
            from,
            answers: &[UNAVAILABLE],
        });
        let ask = async |gateway: &_| send(gateway, "/old/x", "key-1", 10).await;
        check(trial, &all(trial), ask, &right).await;
    });
}

each_way! {
    a_draining_server: |reads| its_use_ends(drain, reads);
    a_removed_server: |reads| its_use_ends(remove, reads);
    a_new_server: a_new_one_is_used;
    a_known_server: a_known_one_stays_in_use;
    a_known_removal: a_known_removal_holds;
}
