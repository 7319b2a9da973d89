//! What a trial reads from the metrics page of a gateway.

use futures_lite::future::zip;
use runtime::Executor;
use trials::DirectRig;

/// A page that did not come in time was read as empty, and its figures as 0.
#[test]
fn a_page_that_comes_late_is_read() {
    Executor::run(2, |executor| async move {
        let rig = DirectRig::start(&executor).unwrap();
        rig.write_declarations(3, &["key-1"]);
        assert!(rig.wait_until_ready().await);
        rig.gateway.process.freeze().unwrap();
        let is_frozen = async || !rig.gateway.is_ready().await;
        assert!(rig.wait_until(is_frozen).await);
        let thaw = async {
            // Its time limit is that of a page.
            assert!(!rig.gateway.is_ready().await);
            rig.gateway.process.thaw().unwrap();
        };
        let (page, ()) = zip(rig.gateway.metrics(), thaw).await;
        let page = page.unwrap();
        let version = "bergamothold_direct_declarations_version 3";
        assert!(page.lines().any(|line| line == version), "{page}");
    });
}

#[test]
fn a_gateway_that_has_ended_has_no_page() {
    Executor::run(2, |executor| async move {
        let mut rig = DirectRig::start(&executor).unwrap();
        rig.write_declarations(3, &["key-1"]);
        assert!(rig.wait_until_ready().await);
        rig.gateway.process.kill();
        assert!(rig.gateway.metrics().await.is_err());
    });
}
