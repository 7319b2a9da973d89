//! Counts of events in a sliding window, and the limits that are kept with them.

use std::collections::VecDeque;
use std::time::Duration;

/// Times of the events of the last `span`.
#[derive(Debug)]
pub struct SlidingWindow {
    span: Duration,
    times: VecDeque<Duration>,
}

impl SlidingWindow {
    /// An empty window.
    pub fn new(span: Duration) -> Self {
        Self {
            span,
            times: VecDeque::new(),
        }
    }

    /// Events in the window that ends now.
    pub fn count(&mut self, now: Duration) -> usize {
        while self.times.front().is_some_and(|at| *at + self.span <= now) {
            self.times.pop_front();
        }
        self.times.len()
    }

    /// Notes an event.
    pub fn record(&mut self, now: Duration) {
        self.times.push_back(now);
    }
}

/// Caps what one gateway sends to one server in any second, so that all gateways together stay
/// within what a cold server bears, whether or not anybody knows that it is cold.
///
/// Load pattern: a server that falls back into cold start unnoticed, or a failure domain that
/// returns, while every gateway finds it idle.
#[derive(Debug)]
pub struct SendRateCap {
    window: SlidingWindow,
}

/// Requests on their way may arrive closer together than they were sent; the window is longer
/// than the second of the bound by this spread.
const SPREAD: Duration = Duration::from_millis(250);

impl Default for SendRateCap {
    fn default() -> Self {
        Self {
            window: SlidingWindow::new(Duration::from_secs(1) + SPREAD),
        }
    }
}

impl SendRateCap {
    /// Whether one more request may be sent now, of `most` for this gateway.
    pub fn has_room(&mut self, now: Duration, most: usize) -> bool {
        self.window.count(now) < most
    }

    /// Notes a request that was sent.
    pub fn record(&mut self, now: Duration) {
        self.window.record(now);
    }
}

/// One gateway's part of what all may send a cold server in a second; at least one, since a
/// server that gets nothing is of no use and few gateways send at the same moment.
pub fn gateway_send_limit(cold_rate: f64, overage: f64, slack: f64, gateways: usize) -> usize {
    if cold_rate <= 0.0 {
        return usize::MAX;
    }
    let bound = cold_rate * overage + slack;
    ((bound / gateways.max(1) as f64).floor() as usize).max(1)
}

/// Repeats that one gateway may send for a service in any window.
///
/// Each gateway earns a ratio of its own first sends and holds an even part of the fixed
/// allowance, so the sum over all gateways stays within the bound without messages. A shared
/// bound is what keeps retries from multiplying load ("Timeouts that get retried into an outage").
#[derive(Debug)]
pub struct RepeatBudget {
    first: SlidingWindow,
    repeats: SlidingWindow,
}

/// Limits of a [`RepeatBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatLimits {
    /// Repeats for each first send.
    pub ratio: f64,
    /// Repeats besides, over all gateways.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Part of the bound that is used; the rest covers gateways that joined unnoticed.
const USED_PART: f64 = 0.8;

impl RepeatBudget {
    /// An empty budget.
    pub fn new(window: Duration) -> Self {
        Self {
            first: SlidingWindow::new(window),
            repeats: SlidingWindow::new(window),
        }
    }

    /// Notes a request of a caller.
    pub fn record_first(&mut self, now: Duration) {
        self.first.record(now);
    }

    /// Requests of callers in the window that ends now.
    pub fn first_count(&mut self, now: Duration) -> usize {
        self.first.count(now)
    }

    /// Takes one repeat, if there is one.
    pub fn try_spend(&mut self, now: Duration, limits: RepeatLimits, gateways: usize) -> bool {
        let earned = limits.ratio * self.first.count(now) as f64;
        let fixed = limits.extra / gateways.max(1) as f64;
        let allowed = ((self.repeats.count(now) + 1) as f64) <= USED_PART * (earned + fixed);
        if allowed {
            self.repeats.record(now);
        }
        allowed
    }
}
