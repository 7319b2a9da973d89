//! Polls the load of the engine.

use crate::backend::Backend;
use crate::scheduler_driver::SchedulerDriver;
use async_io::Timer;
use policy::SchedulerEvent;
use slog::{Logger, debug};
use std::sync::Arc;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Polls the load reports of the engine and passes them to the scheduler. Never returns.
pub async fn poll_engine_load(backend: Arc<Backend>, scheduler: Arc<SchedulerDriver>, log: Logger) {
    loop {
        match backend.load().await {
            Ok(report) => scheduler.handle(SchedulerEvent::Report(report)),
            Err(err) => debug!(log, "engine: load report failed"; "err" => %err),
        }
        Timer::after(POLL_INTERVAL).await;
    }
}
