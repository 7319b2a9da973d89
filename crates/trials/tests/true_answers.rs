//! Error responses to requests that were attempted more than once: "refused" means that no attempt
//! ran.

use runtime::Executor;
use standins::FaultChange;
use std::time::{Duration, Instant};
use trials::{Backend, Call, End, Fleet, FleetConfig, MODEL, Outcome, TEAM_KEY};

/// Successful requests that earn retries before faults are injected.
const BUDGET_REQUESTS: u64 = 60;
const REQUEST_COUNT: u64 = 6;

/// Requests that all engines together have received.
fn engine_requests(fleet: &Fleet) -> u64 {
    let engines = fleet.backends.engines.values();
    let counts = engines.map(|engine| engine.counts()["requests"].as_u64().unwrap_or(0));
    counts.sum()
}

async fn completion(executor: &Executor, fleet: &Fleet, seed: u64) -> Outcome {
    let call = Call::completion(MODEL, seed, 100, 4)
        .key(TEAM_KEY)
        .time_limit(Duration::from_secs(5));
    let gateway = fleet.gateways()[0];
    call.run(executor, fleet.client(), gateway, Instant::now())
        .await
}

#[test]
fn a_refusal_after_an_attempt_that_may_have_run_says_so() {
    Executor::run(4, |executor| async move {
        let mut cfg = FleetConfig::small();
        cfg.backends = vec![
            Backend::engine("engine-1", "bratislava-a"),
            Backend::engine("engine-2", "trnava-b"),
        ];
        let fleet = Fleet::start(&executor, &cfg).await.unwrap();
        for seed in 0..BUDGET_REQUESTS {
            let outcome = completion(&executor, &fleet, seed).await;
            assert!(outcome.end.is_whole(), "{outcome:?}");
        }
        let inject_fault = |name: &str, fault: FaultChange| {
            fleet.backends.engines[name].change_faults(&fault);
        };
        inject_fault(
            "engine-1",
            FaultChange {
                lose_answers: Some(true),
                ..FaultChange::default()
            },
        );
        inject_fault(
            "engine-2",
            FaultChange {
                down: Some(true),
                ..FaultChange::default()
            },
        );
        for seed in 0..REQUEST_COUNT {
            let before = engine_requests(&fleet);
            let outcome = completion(&executor, &fleet, BUDGET_REQUESTS + seed).await;
            let ran = engine_requests(&fleet) > before;
            let reported_not_run = matches!(outcome.end, End::Refused { .. });
            assert!(!(ran && reported_not_run), "{outcome:?}");
        }
    });
}
