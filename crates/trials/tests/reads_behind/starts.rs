//! A gateway that starts while reads are behind.

use crate::change::{
    ADDED_ROUTE, Change, EVACUATION, MOVED_ROUTE, OK, UNAVAILABLE, WITHDRAWN_KEY, declare,
};
use crate::stale_store::{
    APPLY, BEHIND, DRAIN, EVACUATE, Reads, Right, all, bounds, check, check_until, compact, run,
    send,
};
use hyper::StatusCode;
use standins::ServerKind;
use std::time::Instant;
use trials::{DirectGateway, UnreadTrial as Trial};

/// A gateway that has started, and when.
struct Started {
    gateway: DirectGateway,
    at: Instant,
}

impl Started {
    /// Starts it, and waits until it answers.
    async fn start(trial: &Trial) -> Self {
        let store = trial.rig.store.local_addr();
        let added = trial
            .rig
            .add_gateway_with_bounds("unread-new", store, &bounds());
        let (gateway, at) = (added.unwrap(), Instant::now());
        let listens = async || {
            let status = send(&gateway, "/old/x", "key-1", 10).await;
            status != StatusCode::IM_A_TEAPOT
        };
        assert!(trial.rig.wait_until(listens).await);
        Self { gateway, at }
    }
}

/// Ends the gateways of a trial.
async fn end_all(trial: &Trial) {
    for gateway in &trial.gateways {
        gateway.process.terminate().unwrap();
    }
    let is_over = async || {
        let keys = trial.store().keys("bergamothold");
        !keys.iter().any(|key| key.starts_with("gateway/unread"))
    };
    assert!(trial.rig.wait_until(is_over).await);
}

/// A gateway that starts after a change handles no request as what held before. Where no read shows what holds, it
/// may wait for one that does.
fn knows_or_waits(change: &Change, has_peers: bool, reads: Reads) {
    run(2, reads, async |trial| {
        change.wait_for(trial, change.answers.0).await;
        if !has_peers {
            end_all(trial).await;
        }
        trial.store().backdate(BEHIND);
        let since = compact(trial, reads, change.make).await;
        let started = Started::start(trial).await;
        let (_, new) = change.answers;
        let (sure, unsure) = ([new], [new, UNAVAILABLE]);
        let mut right = vec![Right {
            from: since + change.bound,
            answers: &unsure,
        }];
        if reads.show_present() {
            right.push(Right {
                from: started.at + change.bound,
                answers: &sure,
            });
        }
        let gateways = [&started.gateway];
        let ask = async |gateway: &_| change.ask(gateway).await;
        let end = since + BEHIND + change.bound;
        check_until(trial, &gateways, ask, &right, end).await;
        change.check_present(trial, reads, &gateways).await;
    });
}

/// A gateway that starts after a server was drained sends it nothing once that is due.
fn leaves_out_a_draining_server(reads: Reads) {
    run(2, reads, async |trial| {
        let _other = trial
            .rig
            .add_server("plain-2", "registry", ServerKind::Plain)
            .unwrap();
        end_all(trial).await;
        trial.store().backdate(BEHIND);
        let drain = |trial: &Trial| {
            let address = trial.server.local_addr();
            let rig = &trial.rig;
            rig.register("plain-1", "registry", address, "draining");
        };
        let since = compact(trial, reads, drain).await;
        let started = Started::start(trial).await;
        let waits = (!reads.show_present()).then_some(UNAVAILABLE);
        let answers: Vec<_> = [OK].into_iter().chain(waits).collect();
        let due = reads.shown_from(since) + DRAIN;
        let right = [Right {
            from: due.max(started.at + APPLY),
            answers: &answers,
        }];
        let ask = async |gateway: &_| send(gateway, "/old/x", "key-1", 10).await;
        check(trial, &[&started.gateway], ask, &right).await;
        let received = trial.server.standin().received_requests();
        let late = received.iter().filter(|(_, at)| *at > due).count();
        assert_eq!(late, 0, "{}", started.gateway.process.log_tail());
    });
}

/// A gateway that reads a listing in which a server is missing does not take it from the others.
fn leaves_servers_to_peers(reads: Reads) {
    run(2, reads, async |trial| {
        declare(trial, |new| {
            new.routes = &[("/old/", "registry"), ("/new/", "other")];
        });
        trial.wait_for_all("/new/x", "key-1", UNAVAILABLE).await;
        trial.store().backdate(BEHIND);
        let _server = trial
            .rig
            .add_server("plain-2", "other", ServerKind::Plain)
            .unwrap();
        trial.wait_for_all("/new/x", "key-1", OK).await;
        let since = compact(trial, reads, |_| {}).await;
        let _started = Started::start(trial).await;
        let right = [since, since + BEHIND];
        let right = right.map(|from| Right {
            from,
            answers: &[OK],
        });
        let ask = async |gateway: &_| send(gateway, "/new/x", "key-1", 10).await;
        check(trial, &all(trial), ask, &right).await;
    });
}

/// A gateway that reads a listing in which an order of evacuation is missing does not take it from the others.
fn leaves_orders_to_peers(reads: Reads) {
    run(2, reads, async |trial| {
        trial.store().backdate(BEHIND);
        (EVACUATION.make)(trial);
        let since = Instant::now();
        EVACUATION.wait_for(trial, UNAVAILABLE).await;
        let compacted = compact(trial, reads, |_| {}).await;
        let started = Started::start(trial).await;
        let right = [compacted, since + BEHIND + EVACUATE];
        let right = right.map(|from| Right {
            from,
            answers: &[UNAVAILABLE],
        });
        let ask = async |gateway: &_| EVACUATION.ask(gateway).await;
        check(trial, &all(trial), ask, &right).await;
        assert_eq!(EVACUATION.ask(&started.gateway).await, UNAVAILABLE);
    });
}

each_way! {
    an_added_route_at_a_first_gateway: |reads| knows_or_waits(&ADDED_ROUTE, false, reads);
    a_withdrawn_key_at_a_first_gateway: |reads| knows_or_waits(&WITHDRAWN_KEY, false, reads);
    a_moved_route_at_a_first_gateway: |reads| knows_or_waits(&MOVED_ROUTE, false, reads);
    an_evacuation_at_a_first_gateway: |reads| knows_or_waits(&EVACUATION, false, reads);
    a_draining_server_at_a_first_gateway: leaves_out_a_draining_server;
    an_added_route_beside_others: |reads| knows_or_waits(&ADDED_ROUTE, true, reads);
    a_withdrawn_key_beside_others: |reads| knows_or_waits(&WITHDRAWN_KEY, true, reads);
    a_server_that_others_know: leaves_servers_to_peers;
    an_evacuation_that_others_know: leaves_orders_to_peers;
}
