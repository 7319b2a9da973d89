//! Changes of which watches do not tell, in each table and of each kind.

use hyper::StatusCode;
use serde_json::json;
use standins::{QuietAnswer, ServerKind};
use std::time::{Duration, Instant};
use trials::{DirectGateway, TrialDeclarations, UnreadTrial as Trial};

/// `ConfigApplyMs`, `DrainMs` and `EvacuateMs` of the gateways.
const APPLY: Duration = Duration::from_secs(2);
const DRAIN: Duration = Duration::from_secs(2);
const EVACUATE: Duration = Duration::from_secs(5);

/// Time between two cuts of watches.
const CUTS: Duration = Duration::from_millis(100);

/// What watches leave out.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// The row that is changed, for good.
    Deaf,
    /// All changes of a moment; then the history is dropped, and they are cut.
    Compaction,
    /// All changes of a moment; the history is kept.
    Hush,
    /// The row that is changed, for good, while they are cut again and again.
    DeafAndCut,
}

impl Fault {
    async fn run(self, trial: &Trial, (table, key): (&str, &str), change: impl FnOnce(&Trial)) {
        match self {
            Self::Deaf => {
                trial.store().hide_from_watches(table, key, true);
                change(trial);
            }
            Self::Compaction => {
                trial.hush(QuietAnswer::NewestVersion, change).await;
                trial.compact();
            }
            Self::Hush => {
                trial.hush(QuietAnswer::NewestVersion, change).await;
                trial.store().quieten_watches(None);
            }
            Self::DeafAndCut => {
                trial.store().hide_from_watches(table, key, true);
                let start = Instant::now();
                change(trial);
                while start.elapsed() < DRAIN {
                    trial.store().cut_watches();
                    trial.wait(CUTS).await;
                }
            }
        }
    }
}

fn run(gateways: usize, test: impl AsyncFnOnce(&Trial)) {
    let bounds = [
        ("ConfigApplyMs", APPLY.as_millis() as f64),
        ("DrainMs", DRAIN.as_millis() as f64),
        ("EvacuateMs", EVACUATE.as_millis() as f64),
    ];
    Trial::run(gateways, &bounds, test);
}

/// Waits until all gateways give an answer for which `is_new` holds, and none of them, to a request that was
/// sent later than `bound` after `since`, one for which `is_old` does.
async fn check(
    trial: &Trial,
    (since, bound): (Instant, Duration),
    ask: impl AsyncFn(usize) -> StatusCode,
    (old, new): (StatusCode, StatusCode),
) {
    for (n, gateway) in trial.gateways.iter().enumerate() {
        let log = || gateway.process.log_tail();
        let answered = trial.rig.wait_until(async || {
            let is_due = since.elapsed() > bound;
            let status = ask(n).await;
            let is_late = is_due && status == old;
            assert!(!is_late, "gateway {n}: still {old}: {}", log());
            status == new
        });
        assert!(answered.await, "gateway {n}: not {new}: {}", log());
    }
}

mod operators {
    use super::*;

    /// A change of the operators' table, and what tells that it is in force.
    struct Change {
        key: &'static str,
        before: fn(&Trial),
        make: fn(&Trial),
        bound: Duration,
        /// Key and length of the body of the request that tells.
        request: (&'static str, usize),
        /// Answers to it before and after.
        answers: (StatusCode, StatusCode),
    }

    fn is_in_force(fault: Fault, change: Change) {
        run(2, async |trial| {
            let (key, bytes) = change.request;
            let ask = async |n| trial.send(n, "/old/x", key, bytes).await.status;
            (change.before)(trial);
            let (old, new) = change.answers;
            for n in 0..trial.gateways.len() {
                let answered = trial.rig.wait_until(async || ask(n).await == old);
                assert!(answered.await, "gateway {n}: not {old} at first");
            }
            let since = Instant::now();
            fault.run(trial, ("op", change.key), change.make).await;
            check(trial, (since, change.bound), ask, (old, new)).await;
        });
    }

    const FIRST: TrialDeclarations<'static> = TrialDeclarations::FIRST;

    const REVOKED: Change = Change {
        key: "config",
        before: |_| {},
        make: |trial| {
            trial.declare(TrialDeclarations {
                version: 4,
                keys: &["key-2"],
                ..FIRST
            });
        },
        bound: APPLY,
        request: ("key-1", 10),
        answers: (StatusCode::OK, StatusCode::UNAUTHORIZED),
    };
    const ADDED: Change = Change {
        key: "config",
        before: |_| {},
        make: |trial| {
            let keys = &["key-1", "key-2"];
            trial.declare(TrialDeclarations {
                version: 4,
                keys,
                ..FIRST
            });
        },
        bound: APPLY,
        request: ("key-2", 10),
        answers: (StatusCode::UNAUTHORIZED, StatusCode::OK),
    };
    const LOWERED: Change = Change {
        key: "config",
        before: |_| {},
        make: |trial| {
            trial.declare(TrialDeclarations {
                version: 4,
                max_body: 20,
                ..FIRST
            });
        },
        bound: APPLY,
        request: ("key-1", 80),
        answers: (StatusCode::OK, StatusCode::PAYLOAD_TOO_LARGE),
    };
    const RAISED: Change = Change {
        key: "config",
        before: |_| {},
        make: |trial| {
            trial.declare(TrialDeclarations {
                version: 4,
                max_body: 500,
                ..FIRST
            });
        },
        bound: APPLY,
        request: ("key-1", 300),
        answers: (StatusCode::PAYLOAD_TOO_LARGE, StatusCode::OK),
    };
    /// To a service that has no servers.
    const MOVED: Change = Change {
        key: "config",
        before: |_| {},
        make: |trial| {
            let routes = &[("/old/", "other")];
            trial.declare(TrialDeclarations {
                version: 4,
                routes,
                ..FIRST
            });
        },
        bound: APPLY,
        request: ("key-1", 10),
        answers: (StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE),
    };
    const ORDERED: Change = Change {
        key: "evacuate/a",
        before: |_| {},
        make: |trial| trial.store().put("op", "evacuate/a", &json!({})),
        bound: EVACUATE,
        request: ("key-1", 10),
        answers: (StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE),
    };
    const TAKEN_BACK: Change = Change {
        key: "evacuate/a",
        before: |trial| trial.store().put("op", "evacuate/a", &json!({})),
        make: |trial| trial.store().remove("op", "evacuate/a"),
        bound: EVACUATE,
        request: ("key-1", 10),
        answers: (StatusCode::SERVICE_UNAVAILABLE, StatusCode::OK),
    };

    macro_rules! in_force {
        ($($name:ident: $fault:ident, $change:ident;)*) => {$(
            #[test]
            fn $name() {
                is_in_force(Fault::$fault, $change);
            }
        )*};
    }

    in_force! {
        a_revoked_key_and_a_deaf_watch: Deaf, REVOKED;
        a_revoked_key_in_a_compaction: Compaction, REVOKED;
        a_revoked_key_in_a_hush: Hush, REVOKED;
        an_added_key_and_a_deaf_watch: Deaf, ADDED;
        an_added_key_in_a_compaction: Compaction, ADDED;
        a_lowered_limit_and_a_deaf_watch: Deaf, LOWERED;
        a_lowered_limit_in_a_compaction: Compaction, LOWERED;
        a_raised_limit_and_a_deaf_watch: Deaf, RAISED;
        a_raised_limit_in_a_compaction: Compaction, RAISED;
        a_moved_route_and_a_deaf_watch: Deaf, MOVED;
        a_moved_route_in_a_compaction: Compaction, MOVED;
        an_evacuation_and_a_deaf_watch: Deaf, ORDERED;
        an_evacuation_in_a_compaction: Compaction, ORDERED;
        an_evacuation_that_ends_and_a_deaf_watch: Deaf, TAKEN_BACK;
        an_evacuation_that_ends_in_a_compaction: Compaction, TAKEN_BACK;
    }
}

mod servers {
    use super::*;

    fn drain(trial: &Trial) {
        let address = trial.server.local_addr();
        trial
            .rig
            .register("plain-1", "registry", address, "draining");
    }

    fn remove(trial: &Trial) {
        trial.store().remove("servers", "plain-1");
    }

    /// Besides, a change that watches hear of.
    fn drain_and_register_another(trial: &Trial) {
        drain(trial);
        let address = trial.server.local_addr();
        trial.rig.register("plain-3", "other", address, "ready");
    }

    /// The server gets nothing later than `DRAIN` after the change that ends its use.
    fn its_use_ends(gateways: usize, fault: Fault, change: fn(&Trial)) {
        run(gateways, async |trial| {
            let _other = trial
                .rig
                .add_server("plain-2", "registry", ServerKind::Plain)
                .unwrap();
            let since = Instant::now();
            fault.run(trial, ("servers", "plain-1"), change).await;
            // Each gateway is asked often after the bound.
            let over = async || {
                for n in 0..trial.gateways.len() {
                    trial.ask(n, "/old/x", "key-1").await;
                }
                since.elapsed() > DRAIN * 3
            };
            assert!(trial.rig.wait_until(over).await);
            let late = trial.server.standin().received_requests();
            let late = late.iter().filter(|(_, at)| *at > since + DRAIN);
            let logs = trial
                .gateways
                .iter()
                .map(|gateway| gateway.process.log_tail());
            let logs = logs.collect::<Vec<_>>().join("\n");
            assert_eq!(late.count(), 0, "requests came after the bound: {logs}");
        });
    }

    macro_rules! unused {
        ($($name:ident: $gateways:expr, $fault:ident, $change:ident;)*) => {$(
            #[test]
            fn $name() {
                its_use_ends($gateways, Fault::$fault, $change);
            }
        )*};
    }

    unused! {
        a_draining_server_and_a_deaf_watch_of_one_gateway: 1, Deaf, drain;
        a_draining_server_and_deaf_watches_of_two_gateways: 2, Deaf, drain;
        a_draining_server_and_deaf_watches_of_three_gateways: 3, Deaf, drain;
        a_draining_server_and_deaf_watches_of_eight_gateways: 8, Deaf, drain;
        a_draining_server_beside_a_change_that_is_told: 8, Deaf, drain_and_register_another;
        a_draining_server_in_a_compaction: 2, Compaction, drain;
        a_draining_server_in_a_hush: 2, Hush, drain;
        a_removed_server_and_deaf_watches: 2, Deaf, remove;
        a_removed_server_in_a_compaction: 2, Compaction, remove;
        a_removed_server_beside_cut_polls: 3, DeafAndCut, remove;
    }

    fn a_new_server_is_used(fault: Fault) {
        run(2, async |trial| {
            trial.declare(TrialDeclarations {
                version: 4,
                routes: &[("/old/", "registry"), ("/new/", "other")],
                ..TrialDeclarations::FIRST
            });
            let status = StatusCode::SERVICE_UNAVAILABLE;
            trial.wait_for_all("/new/x", "key-1", status).await;
            let mut server = None;
            let start = |trial: &Trial| {
                server = trial
                    .rig
                    .add_server("plain-2", "other", ServerKind::Plain)
                    .ok();
            };
            fault.run(trial, ("servers", "plain-2"), start).await;
            trial.wait_for_all("/new/x", "key-1", StatusCode::OK).await;
        });
    }

    #[test]
    fn a_new_server_and_deaf_watches() {
        a_new_server_is_used(Fault::Deaf);
    }

    #[test]
    fn a_new_server_in_a_compaction() {
        a_new_server_is_used(Fault::Compaction);
    }
}

mod gateways {
    use super::*;

    async fn knows(gateway: &DirectGateway, gateways: usize) -> bool {
        let metrics = gateway.metrics().await;
        metrics.is_ok_and(|page| page.contains(&format!("bergamothold_direct_gateways {gateways}")))
    }

    /// A gateway whose row watches leave out is heard, and so its row is read.
    fn a_new_gateway_is_counted(fault: Fault) {
        run(2, async |trial| {
            for gateway in &trial.gateways {
                assert!(trial.rig.wait_until(async || knows(gateway, 2).await).await);
            }
            let address = trial.rig.store.local_addr();
            let mut started = None;
            let start = |trial: &Trial| {
                started = Some(trial.rig.add_gateway("unread-new", address).unwrap());
            };
            fault
                .run(trial, ("bergamothold", "gateway/unread-new"), start)
                .await;
            let started = started.unwrap();
            for gateway in trial.gateways.iter().chain([&started]) {
                let counted = trial.rig.wait_until(async || knows(gateway, 3).await);
                assert!(counted.await, "{}", gateway.process.log_tail());
            }
        });
    }

    #[test]
    fn a_new_gateway_and_deaf_watches() {
        a_new_gateway_is_counted(Fault::Deaf);
    }

    #[test]
    fn a_new_gateway_in_a_compaction() {
        a_new_gateway_is_counted(Fault::Compaction);
    }
}
