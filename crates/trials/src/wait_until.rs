//! Polls for a condition of stand-ins or processes.

use async_io::Timer;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls until `condition` holds, for at most `limit`; returns whether it held in time.
pub async fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let wait = async {
        while !condition() {
            Timer::after(POLL_INTERVAL).await;
        }
    };
    runtime::timeout(limit, wait).await.is_ok()
}
