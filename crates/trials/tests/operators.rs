//! Operators' moves on a fleet of processes, with faults of the store and of the processes.

use async_io::Timer;
use runtime::Executor;
use serde_json::Value;
use standins::FaultChange;
use std::future::Future;
use std::time::{Duration, Instant};
use trials::{Call, Driver, Fleet, FleetConfig, MODEL, Operator, Outcome, TEAM_KEY};

const NODES: usize = 6;
const LOAD_ROUNDS: u32 = 20;
const MOVE_TIME: Duration = Duration::from_secs(20);
const ENGINE: &str = "engine-nitra-c-1";

/// Runs a test on a fleet of two gateways, three engines and a label registry.
fn with_fleet<F: Future<Output = ()>>(test: impl FnOnce(Executor, Fleet) -> F) {
    Executor::run(4, |executor| async move {
        let cfg = FleetConfig::with_engines(1);
        let fleet = Fleet::start(&executor, &cfg).await.unwrap();
        assert_eq!(fleet.names().len(), NODES);
        test(executor, fleet).await;
    });
}

fn operator(fleet: &Fleet, gateway: usize) -> Operator {
    Operator {
        client: fleet.client().clone(),
        gateway: fleet.gateways()[gateway],
    }
}

fn table_faults(fleet: &Fleet, change: &FaultChange) {
    fleet.platform.table.change_faults(change);
}

fn down(down: bool) -> FaultChange {
    FaultChange {
        down: Some(down),
        ..FaultChange::default()
    }
}

fn requests_at(fleet: &Fleet, engine: &str) -> u64 {
    fleet.backends.engines[engine].counts()["requests"]
        .as_u64()
        .unwrap()
}

fn driver(executor: &Executor, fleet: &Fleet) -> Driver {
    Driver::new(executor.clone(), fleet.gateways(), MODEL, TEAM_KEY)
}

async fn load(driver: &Driver, seconds: u64) -> Vec<Outcome> {
    let call = Call::completion(MODEL, 1, 1_000, 8).key(TEAM_KEY);
    driver
        .run_closed_loop(&call, 8, Duration::from_secs(seconds))
        .await
}

fn assert_all_whole(outcomes: &[Outcome]) {
    for outcome in outcomes {
        assert!(outcome.end.is_whole(), "{:?}", outcome.end);
    }
}

/// Loads the fleet until the engine has taken more than `before` requests; false where it does
/// not within many seconds, since a router may leave a far and cold engine alone for a while.
async fn takes_part(fleet: &Fleet, driver: &Driver, before: u64) -> bool {
    for _ in 0..LOAD_ROUNDS {
        assert_all_whole(&load(driver, 1).await);
        if requests_at(fleet, ENGINE) > before {
            return true;
        }
    }
    false
}

/// Gives a statement under load, with the store taken down the moment after where asked for;
/// once it is in force everywhere, the engine gets no more work, and no request fails.
fn moves_work_away(statement: &'static str, undo: &'static str, store_down: bool) {
    with_fleet(|executor, fleet| async move {
        let driver = driver(&executor, &fleet);
        assert!(takes_part(&fleet, &driver, 0).await, "takes part before");
        let background = executor.spawn({
            let driver = driver.clone();
            async move { load(&driver, 3).await }
        });
        let operator = operator(&fleet, 0);
        let reply = operator.execute(statement, None).await.unwrap();
        assert_eq!((reply.status, reply.version()), (200, 2), "{reply:?}");
        table_faults(&fleet, &down(store_down));
        let time = operator.wait_active(2, NODES, MOVE_TIME).await.unwrap();
        println!("in force after {time:?}");
        assert!(time.is_some());
        let before = requests_at(&fleet, ENGINE);
        assert_all_whole(&background.await);
        assert_all_whole(&load(&driver, 1).await);
        assert_eq!(requests_at(&fleet, ENGINE), before, "no work after");
        table_faults(&fleet, &down(false));
        let reply = operator.execute(undo, None).await.unwrap();
        assert_eq!((reply.status, reply.version()), (200, 3), "{reply:?}");
        let time = operator.wait_active(3, NODES, MOVE_TIME).await.unwrap();
        assert!(time.is_some());
        assert!(
            takes_part(&fleet, &driver, before).await,
            "takes part again"
        );
    });
}

#[test]
fn domain_out_and_back_under_load() {
    moves_work_away(
        "take domain nitra-c out",
        "bring domain nitra-c back",
        false,
    );
}

#[test]
fn domain_out_with_the_store_down_right_after() {
    moves_work_away("take domain nitra-c out", "bring domain nitra-c back", true);
}

#[test]
fn server_drained_and_undrained_under_load() {
    moves_work_away(
        "drain server engine-nitra-c-1",
        "undrain server engine-nitra-c-1",
        false,
    );
}

#[test]
fn one_of_two_racing_operators_wins_and_the_other_is_told() {
    with_fleet(|_executor, fleet| async move {
        let (day, night) = (operator(&fleet, 0), operator(&fleet, 1));
        let (first, second) = futures_lite::future::zip(
            day.execute("take domain nitra-c out if version 1", None),
            night.execute("take domain trnava-b out if version 1", None),
        )
        .await;
        let (first, second) = (first.unwrap(), second.unwrap());
        let (won, lost) = if first.status == 200 {
            (first, second)
        } else {
            (second, first)
        };
        assert_eq!((won.status, won.version()), (200, 2));
        assert_eq!((lost.status, lost.version()), (409, 2), "{lost:?}");
        assert_eq!(lost.body["by"], "operator");
        assert_eq!(lost.body["change"], won.body["change"]);
        let history = day
            .execute("show history order by version", None)
            .await
            .unwrap();
        assert_eq!(history.rows().len(), 2);
    });
}

#[test]
fn command_whose_answer_was_lost_is_asked_again_with_one_effect() {
    with_fleet(|_executor, fleet| async move {
        let operator = operator(&fleet, 0);
        let lose = |lose_answers| FaultChange {
            lose_answers: Some(lose_answers),
            ..FaultChange::default()
        };
        table_faults(&fleet, &lose(true));
        let statement = "take domain nitra-c out";
        let reply = operator.execute(statement, Some("one")).await.unwrap();
        assert!(matches!(reply.status, 503 | 504), "{reply:?}");
        table_faults(&fleet, &lose(false));
        for _ in 0..2 {
            let reply = operator.execute(statement, Some("one")).await.unwrap();
            assert_eq!((reply.status, reply.version()), (200, 2), "{reply:?}");
        }
        let other = operator
            .execute("bring domain nitra-c back", Some("one"))
            .await;
        assert_eq!(other.unwrap().status, 400, "the id is taken");
        assert!(
            operator
                .wait_active(2, NODES, MOVE_TIME)
                .await
                .unwrap()
                .is_some()
        );
    });
}

#[test]
fn killed_nodes_come_back_fresh_in_an_outage_at_the_highest_version() {
    with_fleet(|executor, mut fleet| async move {
        let operator = operator(&fleet, 0);
        let reply = operator
            .execute("take domain nitra-c out", None)
            .await
            .unwrap();
        assert_eq!(reply.version(), 2);
        assert!(
            operator
                .wait_active(2, NODES, MOVE_TIME)
                .await
                .unwrap()
                .is_some()
        );
        table_faults(&fleet, &down(true));
        for name in [
            "gateway-2",
            "agent-engine-nitra-c-1",
            "agent-engine-trnava-b-1",
        ] {
            fleet.kill(name);
            fleet.restart(name).await.unwrap();
        }
        assert!(
            operator
                .wait_active(2, NODES, MOVE_TIME)
                .await
                .unwrap()
                .is_some()
        );
        let before = requests_at(&fleet, ENGINE);
        assert_all_whole(&load(&driver(&executor, &fleet), 1).await);
        assert_eq!(requests_at(&fleet, ENGINE), before);
    });
}

#[test]
fn nodes_frozen_over_a_change_do_not_serve_by_the_old_version() {
    with_fleet(|executor, mut fleet| async move {
        let driver = driver(&executor, &fleet);
        assert_all_whole(&load(&driver, 1).await);
        let frozen = [fleet.agent_of(ENGINE), "gateway-2".into()];
        for name in &frozen {
            fleet.freeze(name).unwrap();
        }
        let operator = operator(&fleet, 0);
        let reply = operator
            .execute("take domain nitra-c out", None)
            .await
            .unwrap();
        assert_eq!(reply.version(), 2);
        let others = operator.wait_active(2, NODES - 2, MOVE_TIME).await.unwrap();
        assert!(others.is_some());
        let before = requests_at(&fleet, ENGINE);
        for name in &frozen {
            fleet.thaw(name).unwrap();
        }
        let calls = (0..24).map(|seed| Call::completion(MODEL, seed, 1_000, 8));
        let outcomes = driver.send_all(calls, fleet.gateways()[1]).await;
        assert_eq!(
            requests_at(&fleet, ENGINE),
            before,
            "no work by the old version"
        );
        assert_all_whole(&outcomes);
        let all = operator.wait_active(2, NODES, MOVE_TIME).await.unwrap();
        assert!(all.is_some());
    });
}

#[test]
fn one_request_is_read_from_end_to_end() {
    with_fleet(|executor, fleet| async move {
        let call = Call::completion(MODEL, 7, 2_000, 8).key(TEAM_KEY);
        let outcome = call.run(
            &executor,
            fleet.client(),
            fleet.gateways()[1],
            Instant::now(),
        );
        assert!(outcome.await.end.is_whole());
        let operator = operator(&fleet, 0);
        let timeline = "show timeline where team = counter";
        let mut events = Vec::new();
        let mut unanswered = Value::Null;
        // The gateway notes the end just after the caller has the answer, and a reply names the
        // nodes that a busy machine kept from answering.
        let is_whole = |events: &[String], unanswered: &Value| {
            let all_answered = unanswered.as_array().is_some_and(Vec::is_empty);
            all_answered && events.iter().any(|event| event.starts_with("finished"))
        };
        while !is_whole(&events, &unanswered) {
            Timer::after(Duration::from_millis(5)).await;
            let reply = operator.execute(timeline, None).await.unwrap();
            unanswered = reply.body["unanswered"].clone();
            let rows = reply.rows().iter();
            events = rows
                .map(|row| row["event"].as_str().unwrap().to_owned())
                .collect();
        }
        let order = [
            "received",
            "offered",
            "queued",
            "dispatched",
            "first byte",
            "finished",
        ];
        let place = |word: &str| {
            let found = events.iter().position(|event| event.starts_with(word));
            found.unwrap_or_else(|| panic!("no {word} in {events:?}; unanswered: {unanswered}"))
        };
        assert!(order.map(place).is_sorted(), "{events:?}");
    });
}

#[test]
fn wrong_statements_and_keys_are_told() {
    with_fleet(|_executor, fleet| async move {
        let operator = operator(&fleet, 0);
        let reply = operator.execute("show severs", None).await.unwrap();
        assert_eq!(reply.status, 400);
        assert_eq!(reply.body["error"]["suggestion"], "servers");
        let reply = operator
            .execute("take domain nitra-k out", None)
            .await
            .unwrap();
        assert_eq!(reply.status, 400);
        for (statement, rows) in [
            ("show servers", 4),
            ("show servers where domain = nitra-c", 1),
            ("show domains where out = no", 3),
            ("show models", 1),
            ("show teams", 1),
            ("show hosts where role = gateway", 2),
        ] {
            let reply = operator.execute(statement, None).await.unwrap();
            assert_eq!(reply.rows().len(), rows, "{statement}: {reply:?}");
        }
    });
}
