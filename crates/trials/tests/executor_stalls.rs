//! What a gateway says of stretches in which it did not run.

use runtime::Executor;
use serde_json::Value;
use trials::DirectRig;

/// A readiness check without an answer did not tell whether the process or the machine had stood still.
#[test]
fn a_process_that_stood_still_says_so() {
    Executor::run(2, |executor| async move {
        let rig = DirectRig::start(&executor).unwrap();
        rig.write_declarations(3, &["key-1"]);
        assert!(rig.wait_until_ready().await);
        rig.gateway.process.freeze().unwrap();
        let is_frozen = async || !rig.gateway.is_ready().await;
        assert!(rig.wait_until(is_frozen).await);
        rig.gateway.process.thaw().unwrap();
        let stall = |log: &str| -> Option<Value> {
            let mut lines = log.lines();
            let line = lines.find(|line| line.contains("process: executor stalled"))?;
            serde_json::from_str(line).ok()
        };
        let told = rig.wait_until(async || stall(&rig.gateway.process.log()).is_some());
        assert!(told.await, "{}", rig.gateway.process.log_tail());
        let stall = stall(&rig.gateway.process.log()).unwrap();
        let millis = |name: &str| stall[name].as_u64().unwrap();
        assert!(millis("ms") > 1_000, "{stall}");
        assert!(millis("stood_still_ms") > millis("ms") / 2, "{stall}");
        assert!(millis("ran_ms") < millis("ms") / 2, "{stall}");
        let page = rig.gateway.metrics().await.unwrap();
        let mut lines = page.lines();
        let counted = lines.find_map(|line| {
            let count = line.strip_prefix("bergamothold_direct_executor_stalls_total ")?;
            count.parse::<u64>().ok()
        });
        assert!(counted.is_some_and(|count| count > 0), "{page}");
    });
}
