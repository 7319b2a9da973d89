//! Rotation of certificates and of their authority under load.

use runtime::{Authority, Executor};
use std::time::Duration;
use trials::{Call, Driver, Fleet, FleetConfig, MODEL, TEAM_KEY, wait_until};

const AUTHORITY_LIFETIME: Duration = Duration::from_secs(86_400);
const LOAD_DURATION: Duration = Duration::from_secs(12);
const RELOAD_TIMEOUT: Duration = Duration::from_secs(30);
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
const CALLERS: usize = 8;
const RELOAD_MESSAGE: &str = "tls: new certificate in use";
const AGENT: &str = "agent-engine-nitra-c-1";

/// How often each node has reloaded its certificate, by its log.
fn reload_counts(fleet: &mut Fleet) -> Vec<usize> {
    let names = fleet.names();
    let logs = names.iter().map(|name| fleet.process(name).unwrap().log());
    logs.map(|log| log.matches(RELOAD_MESSAGE).count())
        .collect()
}

/// Changes certificate files and waits until all nodes have reloaded them.
async fn change_and_wait(fleet: &mut Fleet, change: impl FnOnce(&Fleet)) {
    let before = reload_counts(fleet);
    change(fleet);
    let all_reloaded = wait_until(RELOAD_TIMEOUT, || {
        let now = reload_counts(fleet);
        now.iter().zip(&before).all(|(now, before)| now > before)
    });
    assert!(all_reloaded.await);
}

#[test]
fn rotation_under_load_cuts_no_request() {
    let mut cfg = FleetConfig::small();
    for flags in [&mut cfg.gateway_flags, &mut cfg.agent_flags] {
        flags.extend(["--tls-watch-seconds".into(), "1".into()]);
    }
    Executor::run(4, |executor| async move {
        let mut fleet = Fleet::start(&executor, &cfg).await.unwrap();
        let driver = Driver::new(executor.clone(), fleet.gateways(), MODEL, TEAM_KEY);
        let call = Call::completion(MODEL, 1, 1_000, 8);
        let load = executor.spawn({
            let (driver, call) = (driver.clone(), call.clone());
            async move { driver.run_closed_loop(&call, CALLERS, LOAD_DURATION).await }
        });
        let old = Authority::from_pem(fleet.authority().certificate(), &fleet.authority().key());
        let (old, new) = (
            old.unwrap(),
            Authority::generate("new", AUTHORITY_LIFETIME).unwrap(),
        );
        change_and_wait(&mut fleet, |fleet| {
            fleet.trust_authorities(&[&old, &new]).unwrap();
        })
        .await;
        change_and_wait(&mut fleet, |fleet| {
            fleet.replace_certificates(&new).unwrap();
        })
        .await;
        change_and_wait(&mut fleet, |fleet| {
            fleet.trust_authorities(&[&new]).unwrap();
        })
        .await;
        assert!(fleet.terminate(AGENT, DRAIN_TIMEOUT).await.unwrap());
        fleet.restart(AGENT).await.unwrap();
        for outcome in load.await {
            assert!(outcome.end.is_whole(), "{:?}", outcome.end);
        }
        for gateway in fleet.gateways() {
            let outcome = driver.send(call.clone(), gateway).await;
            assert!(outcome.end.is_whole(), "{:?}", outcome.end);
        }
    });
}
