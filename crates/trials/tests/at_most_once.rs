//! Requests with idempotency keys, sent to a fleet of separate processes, run at most once.

use runtime::Executor;
use standins::{FaultChange, ServiceSpec};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use trials::{
    Backend, BackendStandIn, Call, End, Fleet, FleetConfig, Outcome, SERVICE_PATH, TEAM_KEY,
    wait_until,
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const DOMAINS: [&str; 3] = ["bratislava-a", "trnava-b", "nitra-c"];
const KEY_COUNT: usize = 20;

/// Starts two gateways and three registries that take `work_time` for each request.
async fn start_fleet(executor: &Executor, work_time: Duration) -> Fleet {
    let mut cfg = FleetConfig::small();
    cfg.backends.clear();
    for (index, domain) in DOMAINS.iter().enumerate() {
        let mut backend = Backend::service(&format!("registry-{}", index + 1), domain);
        if let BackendStandIn::Service(spec) = &mut backend.stand_in {
            *spec = ServiceSpec {
                work_time,
                ..spec.clone()
            };
        }
        cfg.backends.push(backend);
    }
    Fleet::start(executor, &cfg).await.unwrap()
}

async fn send_label_request(
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

/// How often all registries together ran the request with this key.
fn run_count(fleet: &Fleet, key: &str) -> u64 {
    let services = fleet.backends.services.values();
    let counts = services.map(|service| service.standin().service_counts());
    counts
        .map(|counts| counts.runs.get(key).copied().unwrap_or(0))
        .sum()
}

async fn assert_eventually(condition: impl FnMut() -> bool) {
    assert!(
        wait_until(WAIT_TIMEOUT, condition).await,
        "it never came to hold"
    );
}

/// Repeats a request, alternating between the gateways, until `accepts` holds for its outcome;
/// returns the outcomes of all attempts.
async fn send_until(
    executor: &Executor,
    fleet: &Fleet,
    key: &str,
    accepts: impl Fn(&End) -> bool,
) -> Vec<Outcome> {
    let mut outcomes: Vec<Outcome> = Vec::new();
    while !outcomes.last().is_some_and(|outcome| accepts(&outcome.end)) {
        let gateways = fleet.gateways();
        let gateway = gateways[outcomes.len() % gateways.len()];
        outcomes.push(send_label_request(executor, fleet, gateway, key, "{}").await);
    }
    outcomes
}

#[test]
fn a_repeat_through_the_other_gateway_gets_the_first_answer() {
    Executor::run(4, |executor| async move {
        let fleet = start_fleet(&executor, Duration::from_millis(2)).await;
        let gateways = fleet.gateways();
        for n in 0..KEY_COUNT {
            let key = format!("crate-{n}");
            let first = send_label_request(&executor, &fleet, gateways[n % 2], &key, "{}").await;
            assert!(first.end.is_whole(), "{first:?}");
            send_until(&executor, &fleet, &key, End::is_whole).await;
            let again =
                send_label_request(&executor, &fleet, gateways[(n + 1) % 2], &key, "{}").await;
            assert_eq!((again.end, again.text), (End::Whole, first.text));
            assert_eq!(run_count(&fleet, &key), 1);
        }
        let other =
            send_label_request(&executor, &fleet, gateways[0], "crate-0", "{\"other\":1}").await;
        assert!(
            matches!(other.end, End::Refused { status: 409, .. }),
            "{other:?}"
        );
        assert_eq!(run_count(&fleet, "crate-0"), 1);
    });
}

#[test]
fn an_agent_killed_before_the_outcome_leaves_may_have_run() {
    Executor::run(4, |executor| async move {
        let mut fleet = start_fleet(&executor, Duration::from_secs(2)).await;
        let gateway = fleet.gateways()[0];
        let call = Call::plain(SERVICE_PATH, "{}")
            .key(TEAM_KEY)
            .header("idempotency-key", "crate-1");
        let (client, caller) = (fleet.client().clone(), executor.clone());
        let first = executor
            .spawn(async move { call.run(&caller, &client, gateway, Instant::now()).await });
        assert_eventually(|| run_count(&fleet, "crate-1") == 1).await;
        for server in ["registry-1", "registry-2", "registry-3"] {
            let agent = fleet.agent_of(server);
            fleet.kill(&agent);
            fleet.restart(&agent).await.unwrap();
        }
        let first = first.await;
        assert!(matches!(first.end, End::Failed { .. }), "{first:?}");
        let failed = |end: &End| matches!(end, End::Failed { .. });
        let repeats = send_until(&executor, &fleet, "crate-1", failed).await;
        assert!(
            !repeats.iter().any(|outcome| outcome.end.is_whole()),
            "{repeats:?}"
        );
        assert_eq!(run_count(&fleet, "crate-1"), 1);
    });
}

#[test]
fn a_lost_answer_of_the_store_runs_nothing_twice() {
    Executor::run(4, |executor| async move {
        let fleet = start_fleet(&executor, Duration::from_millis(2)).await;
        let answer_loss = |enabled| FaultChange {
            lose_answers: Some(enabled),
            ..FaultChange::default()
        };
        fleet.platform.table.change_faults(&answer_loss(true));
        let first =
            send_label_request(&executor, &fleet, fleet.gateways()[0], "crate-1", "{}").await;
        assert!(first.end.is_refused(), "{first:?}");
        assert_eq!(run_count(&fleet, "crate-1"), 0);
        fleet.platform.table.change_faults(&answer_loss(false));
        let outcomes = send_until(&executor, &fleet, "crate-1", End::is_whole).await;
        assert_eq!(run_count(&fleet, "crate-1"), 1, "{outcomes:?}");
    });
}

#[test]
fn a_caller_that_leaves_finds_the_answer_later() {
    Executor::run(4, |executor| async move {
        let fleet = start_fleet(&executor, Duration::from_millis(300)).await;
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
        assert_eventually(|| run_count(&fleet, "crate-1") == 1).await;
        drop(first);
        let outcomes = send_until(&executor, &fleet, "crate-1", End::is_whole).await;
        assert_eq!(run_count(&fleet, "crate-1"), 1, "{outcomes:?}");
    });
}
