//! Operator commands on a fleet of processes, with store outages and killed or frozen processes.

use async_io::Timer;
use runtime::Executor;
use serde_json::Value;
use standins::FaultChange;
use std::future::Future;
use std::time::{Duration, Instant};
use trials::{Call, Driver, Fleet, FleetConfig, MODEL, Operator, Outcome, TEAM_KEY};

const NODE_COUNT: usize = 6;
const MAX_LOAD_ROUNDS: u32 = 20;
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(20);
const ENGINE: &str = "engine-nitra-c-1";

/// Runs a test on a fleet of two gateways, three engines and a label registry.
fn with_fleet<F: Future<Output = ()>>(test: impl FnOnce(Executor, Fleet) -> F) {
    Executor::run(4, |executor| async move {
        let cfg = FleetConfig::with_engines(1);
        let fleet = Fleet::start(&executor, &cfg).await.unwrap();
        assert_eq!(fleet.names().len(), NODE_COUNT);
        test(executor, fleet).await;
    });
}

fn operator(fleet: &Fleet, gateway: usize) -> Operator {
    Operator {
        client: fleet.client().clone(),
        gateway: fleet.gateways()[gateway],
    }
}

fn change_store_faults(fleet: &Fleet, change: &FaultChange) {
    fleet.platform.table.change_faults(change);
}

fn outage(active: bool) -> FaultChange {
    FaultChange {
        down: Some(active),
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

async fn run_load(driver: &Driver, seconds: u64) -> Vec<Outcome> {
    let call = Call::completion(MODEL, 1, 1_000, 8).key(TEAM_KEY);
    driver
        .run_closed_loop(&call, 8, Duration::from_secs(seconds))
        .await
}

fn assert_all_complete(outcomes: &[Outcome]) {
    for outcome in outcomes {
        assert!(outcome.end.is_whole(), "{:?}", outcome.end);
    }
}

/// Loads the fleet until the engine has received more than `before` requests; false if it does
/// not within `MAX_LOAD_ROUNDS` seconds. Many rounds are allowed because the router may avoid a
/// remote or cold engine for a while.
async fn receives_requests(fleet: &Fleet, driver: &Driver, before: u64) -> bool {
    for _ in 0..MAX_LOAD_ROUNDS {
        assert_all_complete(&run_load(driver, 1).await);
        if requests_at(fleet, ENGINE) > before {
            return true;
        }
    }
    false
}

/// Runs a statement under load, followed at once by a store outage if `store_down` is set. Once
/// the new version is active on all nodes, the engine gets no more requests, and no request fails.
fn check_statement_moves_load_away(statement: &'static str, undo: &'static str, store_down: bool) {
    with_fleet(|executor, fleet| async move {
        let driver = driver(&executor, &fleet);
        assert!(
            receives_requests(&fleet, &driver, 0).await,
            "takes part before"
        );
        let background = executor.spawn({
            let driver = driver.clone();
            async move { run_load(&driver, 3).await }
        });
        let operator = operator(&fleet, 0);
        let reply = operator.execute(statement, None).await.unwrap();
        assert_eq!((reply.status, reply.version()), (200, 2), "{reply:?}");
        change_store_faults(&fleet, &outage(store_down));
        let activation_time = operator
            .wait_active(2, NODE_COUNT, ACTIVATION_TIMEOUT)
            .await
            .unwrap();
        println!("in force after {activation_time:?}");
        assert!(activation_time.is_some());
        let before = requests_at(&fleet, ENGINE);
        assert_all_complete(&background.await);
        assert_all_complete(&run_load(&driver, 1).await);
        assert_eq!(requests_at(&fleet, ENGINE), before, "no work after");
        change_store_faults(&fleet, &outage(false));
        let reply = operator.execute(undo, None).await.unwrap();
        assert_eq!((reply.status, reply.version()), (200, 3), "{reply:?}");
        let activation_time = operator
            .wait_active(3, NODE_COUNT, ACTIVATION_TIMEOUT)
            .await
            .unwrap();
        assert!(activation_time.is_some());
        assert!(
            receives_requests(&fleet, &driver, before).await,
            "takes part again"
        );
    });
}

#[test]
fn domain_out_and_back_under_load() {
    check_statement_moves_load_away(
        "take domain nitra-c out",
        "bring domain nitra-c back",
        false,
    );
}

#[test]
fn domain_out_with_the_store_down_right_after() {
    check_statement_moves_load_away("take domain nitra-c out", "bring domain nitra-c back", true);
}

#[test]
fn server_drained_and_undrained_under_load() {
    check_statement_moves_load_away(
        "drain server engine-nitra-c-1",
        "undrain server engine-nitra-c-1",
        false,
    );
}

#[test]
fn one_of_two_racing_operators_wins_and_the_other_is_told() {
    with_fleet(|_executor, fleet| async move {
        let (first_operator, second_operator) = (operator(&fleet, 0), operator(&fleet, 1));
        let (first, second) = futures_lite::future::zip(
            first_operator.execute("take domain nitra-c out if version 1", None),
            second_operator.execute("take domain trnava-b out if version 1", None),
        )
        .await;
        let (first, second) = (first.unwrap(), second.unwrap());
        let (committed, conflict) = if first.status == 200 {
            (first, second)
        } else {
            (second, first)
        };
        assert_eq!((committed.status, committed.version()), (200, 2));
        assert_eq!(
            (conflict.status, conflict.version()),
            (409, 2),
            "{conflict:?}"
        );
        assert_eq!(conflict.body["by"], "operator");
        assert_eq!(conflict.body["change"], committed.body["change"]);
        let history = first_operator
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
        let answer_loss = |lose_answers| FaultChange {
            lose_answers: Some(lose_answers),
            ..FaultChange::default()
        };
        change_store_faults(&fleet, &answer_loss(true));
        let statement = "take domain nitra-c out";
        let reply = operator.execute(statement, Some("one")).await.unwrap();
        assert!(matches!(reply.status, 503 | 504), "{reply:?}");
        change_store_faults(&fleet, &answer_loss(false));
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
                .wait_active(2, NODE_COUNT, ACTIVATION_TIMEOUT)
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
                .wait_active(2, NODE_COUNT, ACTIVATION_TIMEOUT)
                .await
                .unwrap()
                .is_some()
        );
        change_store_faults(&fleet, &outage(true));
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
                .wait_active(2, NODE_COUNT, ACTIVATION_TIMEOUT)
                .await
                .unwrap()
                .is_some()
        );
        let before = requests_at(&fleet, ENGINE);
        assert_all_complete(&run_load(&driver(&executor, &fleet), 1).await);
        assert_eq!(requests_at(&fleet, ENGINE), before);
    });
}

#[test]
fn nodes_frozen_over_a_change_do_not_serve_by_the_old_version() {
    with_fleet(|executor, mut fleet| async move {
        let driver = driver(&executor, &fleet);
        assert_all_complete(&run_load(&driver, 1).await);
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
        let others = operator
            .wait_active(2, NODE_COUNT - 2, ACTIVATION_TIMEOUT)
            .await
            .unwrap();
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
        assert_all_complete(&outcomes);
        let all = operator
            .wait_active(2, NODE_COUNT, ACTIVATION_TIMEOUT)
            .await
            .unwrap();
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
        // Polls, because the gateway records the end of a request just after the caller has the
        // response, and nodes on a busy machine may reply too late; these are named in `unanswered`.
        let is_complete = |events: &[String], unanswered: &Value| {
            let all_answered = unanswered.as_array().is_some_and(Vec::is_empty);
            all_answered && events.iter().any(|event| event.starts_with("finished"))
        };
        while !is_complete(&events, &unanswered) {
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
        let position_of = |word: &str| {
            let found = events.iter().position(|event| event.starts_with(word));
            found.unwrap_or_else(|| panic!("no {word} in {events:?}; unanswered: {unanswered}"))
        };
        assert!(order.map(position_of).is_sorted(), "{events:?}");
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
