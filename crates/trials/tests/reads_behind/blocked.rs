//! Blocked requests whose rows listings do not show yet.

use crate::stale_store::{BEHIND, Reads, compact, run};
use serde_json::json;
use trials::DirectGateway;

const TABLE: &str = "bergamothold";
const KEY: &str = "request/1f";

async fn blocks(gateway: &DirectGateway) -> bool {
    let metrics = gateway.metrics().await;
    metrics.is_ok_and(|page| page.contains("bergamothold_direct_blocked_requests 1"))
}

/// It stays blocked at all gateways, and its row stays in the store.
fn stays_blocked(reads: Reads) {
    run(2, reads, async |trial| {
        trial.store().backdate(BEHIND);
        trial.store().put(TABLE, KEY, &json!({}));
        for gateway in &trial.gateways {
            let is_blocked = async || blocks(gateway).await;
            let log = || gateway.process.log_tail();
            assert!(trial.rig.wait_until(is_blocked).await, "{}", log());
        }
        let since = compact(trial, reads, |_| {}).await;
        let over = trial.rig.wait_until(async || {
            for gateway in &trial.gateways {
                assert!(blocks(gateway).await, "{}", gateway.process.log_tail());
            }
            let keys = trial.store().keys(TABLE);
            assert!(keys.iter().any(|key| **key == *KEY), "its row is gone");
            since.elapsed() > BEHIND + BEHIND / 6
        });
        assert!(over.await);
    });
}

each_listing! {
    a_blocked_request: stays_blocked;
}
