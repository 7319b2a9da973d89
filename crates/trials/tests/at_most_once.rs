//! Calls that may not be repeated, over separate processes.

use runtime::Executor;
use standins::{FaultChange, ServiceSpec};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use trials::{
    Backend, BackendStandIn, Call, End, Fleet, FleetConfig, Outcome, SERVICE_PATH, TEAM_KEY,
    wait_until,
};

const WAIT_LIMIT: Duration = Duration::from_secs(60);
const DOMAINS: [&str; 3] = ["bratislava-a", "trnava-b", "nitra-c"];
const KEYS: usize = 20;

/// Two gateways and three registries, each call of which takes `work`.
async fn fleet(executor: &Executor, work: Duration) -> Fleet {
    let mut cfg = FleetConfig::small();
    cfg.backends.clear();
    for (index, domain) in DOMAINS.iter().enumerate() {
        let mut backend = Backend::service(&format!("registry-{}", index + 1), domain);
        if let BackendStandIn::Service(spec) = &mut backend.stand_in {
            *spec = ServiceSpec {
                work_time: work,
                ..spec.clone()
            };
        }
        cfg.backends.push(backend);
    }
    Fleet::start(executor, &cfg).await.unwrap()
}

async fn label(
    executor: &Executor,
    fleet: &Fleet,
    gateway: SocketAddr,
    key: &str,
    body: &str,
) -> Outcome {
    let call = Call::plain(SERVICE_PATH, body)
        .key(TEAM_KEY)
        .header("idempotency-key", key);
    call.run(executor, fleet.client(), gateway, Instant::now())
        .await
}

/// How often each registry ran a key, together.
fn runs(fleet: &Fleet, key: &str) -> u64 {
    let services = fleet.backends.services.values();
    let counts = services.map(|service| service.standin().service_counts());
    counts
        .map(|counts| counts.runs.get(key).copied().unwrap_or(0))
        .sum()
}

async fn assert_eventually(holds: impl FnMut() -> bool) {
    assert!(wait_until(WAIT_LIMIT, holds).await, "it never came to hold");
}

/// Calls until the outcome is one that `wanted` takes; gives all outcomes.
async fn call_until(
    executor: &Executor,
    fleet: &Fleet,
    key: &str,
    wanted: impl Fn(&End) -> bool,
) -> Vec<Outcome> {
    let mut outcomes: Vec<Outcome> = Vec::new();
    while !outcomes.last().is_some_and(|outcome| wanted(&outcome.end)) {
        let gateways = fleet.gateways();
        let gateway = gateways[outcomes.len() % gateways.len()];
        outcomes.push(label(executor, fleet, gateway, key, "{}").await);
    }
    outcomes
}

#[test]
fn a_repeat_through_the_other_gateway_gets_the_first_answer() {
    Executor::run(4, |executor| async move {
        let fleet = fleet(&executor, Duration::from_millis(2)).await;
        let gateways = fleet.gateways();
        for n in 0..KEYS {
            let key = format!("crate-{n}");
            let first = label(&executor, &fleet, gateways[n % 2], &key, "{}").await;
            assert!(first.end.is_whole(), "{first:?}");
            call_until(&executor, &fleet, &key, End::is_whole).await;
            let again = label(&executor, &fleet, gateways[(n + 1) % 2], &key, "{}").await;
            assert_eq!((again.end, again.text), (End::Whole, first.text));
            assert_eq!(runs(&fleet, &key), 1);
        }
        let other = label(&executor, &fleet, gateways[0], "crate-0", "{\"other\":1}").await;
        assert!(
            matches!(other.end, End::Refused { status: 409, .. }),
            "{other:?}"
        );
        assert_eq!(runs(&fleet, "crate-0"), 1);
    });
}

#[test]
fn an_agent_killed_before_the_outcome_leaves_may_have_run() {
    Executor::run(4, |executor| async move {
        let mut fleet = fleet(&executor, Duration::from_secs(2)).await;
        let gateway = fleet.gateways()[0];
        let call = Call::plain(SERVICE_PATH, "{}")
            .key(TEAM_KEY)
            .header("idempotency-key", "crate-1");
        let (client, caller) = (fleet.client().clone(), executor.clone());
        let first = executor
            .spawn(async move { call.run(&caller, &client, gateway, Instant::now()).await });
        assert_eventually(|| runs(&fleet, "crate-1") == 1).await;
        for server in ["registry-1", "registry-2", "registry-3"] {
            let agent = fleet.agent_of(server);
            fleet.kill(&agent);
            fleet.restart(&agent).await.unwrap();
        }
        let first = first.await;
        assert!(matches!(first.end, End::Failed { .. }), "{first:?}");
        let failed = |end: &End| matches!(end, End::Failed { .. });
        let repeats = call_until(&executor, &fleet, "crate-1", failed).await;
        assert!(
            !repeats.iter().any(|outcome| outcome.end.is_whole()),
            "{repeats:?}"
        );
        assert_eq!(runs(&fleet, "crate-1"), 1);
    });
}

#[test]
fn a_lost_answer_of_the_store_runs_nothing_twice() {
    Executor::run(4, |executor| async move {
        let fleet = fleet(&executor, Duration::from_millis(2)).await;
        let lose = |lose| FaultChange {
            lose_answers: Some(lose),
            ..FaultChange::default()
        };
        fleet.platform.table.change_faults(&lose(true));
        let first = label(&executor, &fleet, fleet.gateways()[0], "crate-1", "{}").await;
        assert!(first.end.is_refused(), "{first:?}");
        assert_eq!(runs(&fleet, "crate-1"), 0);
        fleet.platform.table.change_faults(&lose(false));
        let outcomes = call_until(&executor, &fleet, "crate-1", End::is_whole).await;
        assert_eq!(runs(&fleet, "crate-1"), 1, "{outcomes:?}");
    });
}

#[test]
fn a_caller_that_leaves_finds_the_answer_later() {
    Executor::run(4, |executor| async move {
        let fleet = fleet(&executor, Duration::from_millis(300)).await;
        let call = Call::plain(SERVICE_PATH, "{}")
            .key(TEAM_KEY)
            .header("idempotency-key", "crate-1");
        let (client, caller, gateway) = (
            fleet.client().clone(),
            executor.clone(),
            fleet.gateways()[0],
        );
        let first = executor
            .spawn(async move { call.run(&caller, &client, gateway, Instant::now()).await });
        assert_eventually(|| runs(&fleet, "crate-1") == 1).await;
        drop(first);
        let outcomes = call_until(&executor, &fleet, "crate-1", End::is_whole).await;
        assert_eq!(runs(&fleet, "crate-1"), 1, "{outcomes:?}");
    });
}
