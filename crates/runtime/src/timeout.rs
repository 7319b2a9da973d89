//! Time limits for futures.

use async_io::Timer;
use futures_lite::future::or;
use std::future::Future;
use std::time::Duration;

/// The future did not complete within its time limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

/// Runs a future for at most `limit`, then drops it and returns [`Elapsed`].
pub async fn timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Result<T, Elapsed> {
    let output = async { Ok(future.await) };
    let timer = async {
        Timer::after(limit).await;
        Err(Elapsed)
    };
    or(output, timer).await
}
