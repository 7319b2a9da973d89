//! When a direct gateway says that it is ready.

use hyper::StatusCode;
use runtime::Executor;
use standins::ServerKind;
use trials::DirectRig;

const KEY: Option<&str> = Some("key-1");

/// A gateway that had read the declarations before the servers was ready, and refused all that it was sent.
#[test]
fn a_gateway_that_has_not_read_the_servers_is_not_ready() {
    Executor::run(2, |executor| async move {
        let rig = DirectRig::start(&executor).unwrap();
        let store = rig.store.standin();
        store.refuse_table(Some("servers"));
        let _server = rig.add_server("plain-1", "registry", ServerKind::Plain);
        rig.write_declarations(3, &["key-1"]);
        let mut sent = 0;
        let mut call = async |path: &str| {
            sent += 1;
            rig.call(&format!("call{path}{sent}"), path, KEY).await
        };
        let in_force = rig.wait_until(async || {
            let unknown = call("/none/x").await;
            unknown.status == StatusCode::NOT_FOUND
        });
        assert!(in_force.await, "{}", rig.gateway.process.log_tail());
        let refused = call("/lookup/x").await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        let text = "not ready: the store cannot be read\n";
        let told = rig.wait_until(async || rig.gateway.readiness_text().await == text);
        assert!(told.await, "{}", rig.gateway.process.log_tail());

        store.refuse_table(None);
        assert!(rig.wait_until_ready().await);
        assert_eq!(call("/lookup/x").await.status, StatusCode::OK);
        store.refuse_table(Some("servers"));
        store.forget_history();
        let failing = "bergamothold_direct_failing_tables 1";
        let lost = rig.wait_until(async || {
            let metrics = rig.gateway.metrics().await;
            metrics.is_ok_and(|page| page.lines().any(|line| line == failing))
        });
        assert!(lost.await, "{}", rig.gateway.process.log_tail());
        assert!(rig.gateway.is_ready().await);
    });
}

/// The store states its era in all responses. A gateway that started took the first one for that of a store which had
/// come back from a copy, and served nothing for two seconds.
#[test]
fn the_first_era_that_a_gateway_hears_of_is_no_later_one() {
    Executor::run(2, |executor| async move {
        let rig = DirectRig::start(&executor).unwrap();
        rig.write_declarations(3, &["key-1"]);
        assert!(rig.wait_until_ready().await);
        let metrics = rig.gateway.metrics().await.unwrap();
        let restored = "bergamothold_direct_store_restored_total 0";
        let log = rig.gateway.process.log_tail();
        assert!(metrics.lines().any(|line| line == restored), "{log}");
    });
}
