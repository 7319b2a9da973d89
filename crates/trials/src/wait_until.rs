//! Waits for what stand-ins or processes show.

use async_io::Timer;
use std::time::Duration;

const POLL_TIME: Duration = Duration::from_millis(10);

/// Waits until `holds`, for at most `limit`; tells whether it came to hold.
pub async fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let wait = async {
        while !holds() {
            Timer::after(POLL_TIME).await;
        }
    };
    runtime::timeout(limit, wait).await.is_ok()
}
