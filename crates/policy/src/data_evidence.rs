//! How often the data of a stream is recorded as evidence that its server runs.

use std::time::Duration;

/// Interval at which the data of one stream is recorded. Servers that are presumed gone are tried after
/// 200 ms, so that evidence must be newer to be of use.
const RECORD_INTERVAL: Duration = Duration::from_millis(50);

/// Limits how often the data of one stream is recorded.
///
/// Load pattern: a gateway relays thousands of events a second while servers fail, and each record takes
/// a lock that all requests take. The first event after a pause is recorded at once.
#[derive(Debug, Clone, Copy, Default)]
pub struct DataEvidence {
    recorded_at: Option<Duration>,
}

impl DataEvidence {
    /// Whether data that came at `now` is to be recorded; it counts as recorded then.
    pub fn is_due(&mut self, now: Duration) -> bool {
        let is_due = self
            .recorded_at
            .is_none_or(|recorded| now >= recorded + RECORD_INTERVAL);
        if is_due {
            self.recorded_at = Some(now);
        }
        is_due
    }
}
