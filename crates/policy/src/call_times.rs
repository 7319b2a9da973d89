//! How long calls take, as measured for their routes and services.

use std::collections::HashMap;
use std::time::Duration;

/// Number of names that are kept, which bounds the memory for names that are gone.
const MAX_NAMES: usize = 4_096;
/// Divisors of the latest measurement in the mean, and in the mean deviation from it; and deviations above
/// the mean that are expected. As TCP does for its retransmission timeout (RFC 6298).
const MEAN_DIVISOR: u32 = 8;
const DEVIATION_DIVISOR: u32 = 4;
const EXPECTED_DEVIATIONS: u32 = 4;

/// Times of calls, from a send to the end of the response.
#[derive(Debug, Default)]
pub struct CallTimes {
    routes: Estimates,
    services: Estimates,
}

/// Estimates by name.
#[derive(Debug, Default)]
struct Estimates {
    by_name: HashMap<Box<str>, Estimate>,
    /// Number of records so far.
    records: u64,
}

#[derive(Debug)]
struct Estimate {
    mean: Duration,
    deviation: Duration,
    /// Number of the latest record.
    last_record: u64,
}

impl CallTimes {
    /// Records that a call of a route to a service took, or was given up after, this time.
    pub fn record(&mut self, route: &str, service: &str, taken: Duration) {
        self.routes.record(route, taken);
        self.services.record(service, taken);
    }

    /// Records that a stream of a route took this time. Whole answers of its service are not expected to.
    pub fn record_stream(&mut self, route: &str, taken: Duration) {
        self.routes.record(route, taken);
    }

    /// Time within which nearly all streams of a route end; `None` if none was measured.
    pub fn expected_stream(&self, route: &str) -> Option<Duration> {
        self.routes.expected(route)
    }

    /// Time within which nearly all calls of a route end, or of its service if none of the route was
    /// measured; `None` if none of either was.
    pub fn expected(&self, route: &str, service: &str) -> Option<Duration> {
        let expected = self.routes.expected(route);
        expected.or_else(|| self.services.expected(service))
    }
}

impl Estimates {
    fn record(&mut self, name: &str, taken: Duration) {
        self.records += 1;
        if let Some(estimate) = self.by_name.get_mut(name) {
            return estimate.record(taken, self.records);
        }
        if self.by_name.len() >= MAX_NAMES {
            self.evict();
        }
        let first = Estimate::first(taken, self.records);
        self.by_name.insert(name.into(), first);
    }

    /// Drops the estimate with the oldest latest record.
    fn evict(&mut self) {
        let estimates = self.by_name.iter();
        let oldest = estimates.min_by_key(|(_, estimate)| estimate.last_record);
        if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
            self.by_name.remove(&oldest);
        }
    }

    fn expected(&self, name: &str) -> Option<Duration> {
        let estimate = self.by_name.get(name)?;
        Some(estimate.mean + estimate.deviation * EXPECTED_DEVIATIONS)
    }
}

impl Estimate {
    fn first(taken: Duration, number: u64) -> Self {
        Self {
            mean: taken,
            deviation: taken / 2,
            last_record: number,
        }
    }

    fn record(&mut self, taken: Duration, number: u64) {
        self.last_record = number;
        let error = self.mean.abs_diff(taken);
        self.deviation = average(self.deviation, error, DEVIATION_DIVISOR);
        self.mean = average(self.mean, taken, MEAN_DIVISOR);
    }
}

fn average(old: Duration, new: Duration, divisor: u32) -> Duration {
    old - old / divisor + new / divisor
}
