//! Direct gateways that stand still while they get SIGTERM, as on a host without processor time.

use hyper::StatusCode;
use runtime::Executor;
use standins::{ServerBehaviour, ServerKind};
use std::time::{Duration, Instant};
use trials::{DirectRig, RIG_GRACE};

const KEY: Option<&str> = Some("key-1");
/// More than the process leaves between its own end and SIGKILL.
const STALL: Duration = Duration::from_secs(1);

/// The time to end was counted from when the signal was handled, and the process was killed before it had
/// given its last replies.
#[test]
fn a_process_that_handles_sigterm_late_replies_and_ends_before_it_is_killed() {
    Executor::run(2, |executor| async move {
        let mut rig = DirectRig::start(&executor).unwrap();
        rig.write_patient_declarations(3, &["key-1"], Duration::from_secs(15));
        let registry = rig.add_server("registry-1", "registry", ServerKind::Plain);
        let registry = registry.unwrap();
        assert!(rig.wait_until_ready().await);
        let is_served = async || rig.call("first", "/once/x", KEY).await.status == StatusCode::OK;
        assert!(rig.wait_until(is_served).await);
        registry.standin().set_behaviour(ServerBehaviour::Hang);
        let caller = rig.gateway.caller();
        let call = executor.spawn(async move { caller.call("open", "/once/x", KEY, 1_000).await });
        let is_sent = async || {
            let runs = registry.standin().executed_requests();
            runs.iter().any(|run| &*run.request_id == "open")
        };
        assert!(rig.wait_until(is_sent).await);
        rig.gateway.process.freeze().unwrap();
        rig.gateway.process.terminate().unwrap();
        let kill = Instant::now() + RIG_GRACE;
        async_io::Timer::after(STALL).await;
        rig.gateway.process.thaw().unwrap();
        let left = kill.saturating_duration_since(Instant::now());
        let has_ended = rig.gateway.process.wait_exit(left).await;
        assert!(has_ended, "{}", rig.gateway.process.log());
        assert_eq!(
            call.await.status,
            StatusCode::BAD_GATEWAY,
            "it may have run"
        );
    });
}

/// SIGKILL has not come since the process stood still, so that SIGTERM was sent later than that: a call that
/// had time left was ended at once.
#[test]
fn a_process_that_stood_still_for_longer_than_the_grace_period_drains() {
    Executor::run(2, |executor| async move {
        let rig = DirectRig::start(&executor).unwrap();
        rig.write_patient_declarations(3, &["key-1"], Duration::from_secs(15));
        let registry = rig.add_server("registry-1", "registry", ServerKind::Plain);
        let registry = registry.unwrap();
        assert!(rig.wait_until_ready().await);
        let is_served = async || rig.call("first", "/once/x", KEY).await.status == StatusCode::OK;
        assert!(rig.wait_until(is_served).await);
        let stall = RIG_GRACE + STALL / 5;
        registry.standin().set_run_time(RIG_GRACE + STALL);
        let caller = rig.gateway.caller();
        let call = executor.spawn(async move { caller.call("open", "/once/x", KEY, 1_000).await });
        let is_sent = async || {
            let runs = registry.standin().executed_requests();
            runs.iter().any(|run| &*run.request_id == "open")
        };
        assert!(rig.wait_until(is_sent).await);
        rig.gateway.process.freeze().unwrap();
        async_io::Timer::after(stall).await;
        rig.gateway.process.terminate().unwrap();
        rig.gateway.process.thaw().unwrap();
        let status = call.await.status;
        assert_eq!(status, StatusCode::OK, "{}", rig.gateway.process.log());
    });
}
