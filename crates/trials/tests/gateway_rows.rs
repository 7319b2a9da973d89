//! The row of a gateway in the store, when the gateway ends and when the row disappears.

use runtime::Executor;
use serde_json::json;
use standins::QuietAnswer;
use std::time::Duration;
use trials::DirectRig;

/// Longer than the grace period.
const EXIT_LIMIT: Duration = Duration::from_secs(10);
/// Key of the row that the rig's gateway has in the table of gateways.
const ROW: (&str, &str) = ("bergamothold", "gateway/gateway-1");

fn has_row(rig: &DirectRig) -> bool {
    let keys = rig.store.standin().keys(ROW.0);
    keys.iter().any(|key| **key == *ROW.1)
}

/// A removal that came late took away the row of the next process with the same name.
#[test]
fn a_gateway_that_ends_leaves_the_row_of_its_successor() {
    Executor::run(2, |executor| async move {
        let mut rig = DirectRig::start(&executor).unwrap();
        assert!(rig.wait_until(async || has_row(&rig)).await);
        let successor = json!({ "address": "127.0.0.1:1", "start": 1 });
        rig.store.standin().put(ROW.0, ROW.1, &successor);
        rig.gateway.process.terminate().unwrap();
        assert!(rig.gateway.process.wait_exit(EXIT_LIMIT).await);
        assert!(has_row(&rig));
    });
}

/// A gateway whose row was taken away stayed unknown to gateways that started later.
#[test]
fn a_row_that_disappears_while_its_gateway_runs_is_written_again() {
    Executor::run(2, |executor| async move {
        let mut rig = DirectRig::start(&executor).unwrap();
        assert!(rig.wait_until(async || has_row(&rig)).await);
        rig.store.standin().remove(ROW.0, ROW.1);
        assert!(rig.wait_until(async || has_row(&rig)).await);
        rig.gateway.process.terminate().unwrap();
        assert!(rig.gateway.process.wait_exit(EXIT_LIMIT).await);
        assert!(!has_row(&rig));
    });
}

/// A gateway whose removed row no poll told of was counted among the others until they ended.
#[test]
fn a_removal_that_no_poll_tells_of_is_read_from_a_listing() {
    Executor::run(2, |executor| async move {
        let rig = DirectRig::start(&executor).unwrap();
        let store = rig.store.local_addr();
        let mut other = rig.add_gateway("gateway-2", store).unwrap();
        let has_logged = |line: &str| rig.gateway.process.has_logged(line);
        assert!(rig.wait_until(async || has_logged("gateway found")).await);
        other.process.kill();
        let store = rig.store.standin();
        store.quieten_watches(Some(QuietAnswer::NewestVersion));
        store.remove(ROW.0, "gateway/gateway-2");
        store.forget_history();
        store.cut_watches();
        assert!(rig.wait_until(async || has_logged("gateway gone")).await);
    });
}
