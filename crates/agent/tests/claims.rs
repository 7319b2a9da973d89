//! Claims of two agents that share a table service over HTTP. Guards against a repeat that runs
//! again, and against a key that stays claimed after a request that did not run.

use agent::{ClaimDriver, ClaimVerdict};
use async_channel::Receiver;
use bytes::Bytes;
use platform::{HttpPlatform, PlatformConfig};
use policy::{ClaimEvent, ClaimRequest, CompleteAnswer};
use proto::{AttemptId, RefusalReason};
use runtime::{Executor, HttpClient};
use standins::{FaultChange, StandinServer, TableStandin};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_millis(300);
const TIME_LIMIT: Duration = Duration::from_secs(30);

type Driver = Arc<ClaimDriver<HttpPlatform>>;

fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn driver(executor: &Executor, table: &StandinServer<TableStandin>, seed: u64) -> Driver {
    let address = table.local_addr();
    let cfg = PlatformConfig {
        table: address,
        objects: address,
        hosts: address,
        call_timeout: CALL_TIMEOUT,
    };
    let platform = HttpPlatform::new(cfg, HttpClient::new(executor.clone()));
    let driver = ClaimDriver::new(executor.clone(), platform, &format!("agent-{seed}"), seed);
    let driver = Arc::new(driver);
    executor.detach(driver.clone().run_timer());
    driver
}

fn attempt(request: u128) -> AttemptId {
    AttemptId { request, number: 1 }
}

fn begin(driver: &Driver, request: u128) -> Receiver<ClaimVerdict> {
    let request = ClaimRequest {
        attempt: attempt(request),
        team: "virtanen".into(),
        key: "stage-4".into(),
        content: 1,
        deadline: Duration::ZERO,
    };
    driver.begin(request, TIME_LIMIT)
}

fn answer() -> CompleteAnswer {
    CompleteAnswer {
        status: 200,
        content_type: Some("application/json".into()),
        body: Bytes::from_static(b"\xff{}"),
    }
}

fn lose_answers(table: &StandinServer<TableStandin>, lose: bool) {
    table.change_faults(&FaultChange {
        lose_answers: Some(lose),
        ..FaultChange::default()
    });
}

async fn wait_until_settled(driver: &Driver) {
    while driver.unsettled() > 0 {
        futures_lite::future::yield_now().await;
    }
}

#[test]
fn another_agent_repeats_the_whole_answer() {
    Executor::run(2, |executor| async move {
        let table = TableStandin::bind(&executor, any_port()).unwrap();
        let (first, second) = (driver(&executor, &table, 1), driver(&executor, &table, 2));
        assert_eq!(begin(&first, 1).recv().await, Ok(ClaimVerdict::Run));
        let claimed_elsewhere = begin(&second, 2).recv().await.unwrap();
        assert!(matches!(claimed_elsewhere, ClaimVerdict::MayHaveRun { .. }));
        first.handle(ClaimEvent::Answered {
            attempt: attempt(1),
            answer: answer(),
        });
        wait_until_settled(&first).await;
        let verdict = begin(&second, 3).recv().await;
        assert_eq!(verdict, Ok(ClaimVerdict::ReplayAnswer(answer())));
    });
}

#[test]
fn a_claim_whose_answer_was_lost_is_refused_and_its_key_freed() {
    Executor::run(2, |executor| async move {
        let table = TableStandin::bind(&executor, any_port()).unwrap();
        let (first, second) = (driver(&executor, &table, 1), driver(&executor, &table, 2));
        lose_answers(&table, true);
        let refused = begin(&first, 1).recv().await.unwrap();
        let expected = RefusalReason::StoreUnavailable;
        assert!(matches!(refused, ClaimVerdict::Refuse { reason, .. } if reason == expected));
        lose_answers(&table, false);
        wait_until_settled(&first).await;
        assert_eq!(begin(&second, 2).recv().await, Ok(ClaimVerdict::Run));
    });
}

#[test]
fn a_claim_that_did_not_reach_the_server_frees_its_key() {
    Executor::run(2, |executor| async move {
        let table = TableStandin::bind(&executor, any_port()).unwrap();
        let (first, second) = (driver(&executor, &table, 1), driver(&executor, &table, 2));
        let verdicts = begin(&first, 1);
        assert_eq!(verdicts.recv().await, Ok(ClaimVerdict::Run));
        first.handle(ClaimEvent::NotSent(attempt(1)));
        let refused = verdicts.recv().await.unwrap();
        let expected = RefusalReason::ServerDown;
        assert!(matches!(refused, ClaimVerdict::Refuse { reason, .. } if reason == expected));
        assert_eq!(begin(&second, 2).recv().await, Ok(ClaimVerdict::Run));
    });
}
