//! Sliding-window event counts, and the rate limits that are based on them.

use std::collections::VecDeque;
use std::time::Duration;

/// The times of the events within the last `length` of time.
#[derive(Debug)]
pub struct SlidingWindow {
    length: Duration,
    times: VecDeque<Duration>,
}

impl SlidingWindow {
    /// Creates an empty window.
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            times: VecDeque::new(),
        }
    }

    /// Number of events in the window that ends at `now`. Older events are dropped.
    pub fn count(&mut self, now: Duration) -> usize {
        while self
            .times
            .front()
            .is_some_and(|at| *at + self.length <= now)
        {
            self.times.pop_front();
        }
        self.times.len()
    }

    /// Number of recorded events in the window of another `length` that ends at `now`.
    pub fn count_within(&self, now: Duration, length: Duration) -> usize {
        self.times.len() - self.times.partition_point(|at| *at + length <= now)
    }

    /// Changes the length of the window. Events that were dropped before stay so.
    pub fn set_length(&mut self, length: Duration) {
        self.length = length;
    }

    /// Records an event and drops older ones. Events are expected in the order of their times.
    pub fn record(&mut self, now: Duration) {
        self.count(now);
        self.times.push_back(now);
    }
}

/// Caps the requests that one gateway sends to one server in any second, so that all gateways
/// together stay within what a cold server can handle, even if none of them knows that it is cold.
/// It also caps them in longer windows, for limits that a server states.
///
/// This guards against a server that falls back into cold start unnoticed, and against a failure
/// domain that returns and looks idle to every gateway.
#[derive(Debug)]
pub struct SendRateCap {
    window: SlidingWindow,
}

/// Requests may arrive closer together than they were sent, so windows exceed the span of their
/// limit by this much.
const DELIVERY_JITTER: Duration = Duration::from_millis(250);
/// Sends are kept for at least this long: when a server states a limit, those of the last seconds
/// count.
const MIN_KEPT: Duration = Duration::from_secs(4);

/// Time after a send for which it counts in a limit on the requests within `span`.
pub(crate) fn counted_span(span: Duration) -> Duration {
    span + DELIVERY_JITTER
}

impl Default for SendRateCap {
    fn default() -> Self {
        Self {
            window: SlidingWindow::new(counted_span(MIN_KEPT)),
        }
    }
}

impl SendRateCap {
    /// Whether one more request may be sent at `now` if this gateway may send `limit` per second.
    pub fn has_room(&mut self, now: Duration, limit: usize) -> bool {
        self.has_room_within(now, Duration::from_secs(1), limit)
    }

    /// Whether one more request may be sent at `now` if this gateway may send `limit` within any
    /// `span`. The sends must be kept for that long.
    pub fn has_room_within(&mut self, now: Duration, span: Duration, limit: usize) -> bool {
        self.window.count(now);
        self.window.count_within(now, counted_span(span)) < limit
    }

    /// Times, in order, at which the sends within the `span` that ends at `now` leave it.
    pub fn leave_times(&mut self, now: Duration, span: Duration) -> Vec<Duration> {
        self.window.count(now);
        let times = self.window.times.iter().map(|at| *at + counted_span(span));
        times.filter(|at| *at > now).collect()
    }

    /// Keeps sends long enough to count those within any `span` from now on.
    pub fn keep_for(&mut self, span: Duration) {
        self.window.set_length(counted_span(span.max(MIN_KEPT)));
    }

    /// Whether nothing was sent for as long as sends are kept.
    pub fn is_idle(&mut self, now: Duration) -> bool {
        self.window.count(now) == 0
    }

    /// Records a request that was sent at `now`.
    pub fn record(&mut self, now: Duration) {
        self.window.record(now);
    }
}

/// Retry budget of one gateway process for one service, over a sliding window.
///
/// Each process may repeat a fixed ratio of its own first sends, plus an equal share of a constant,
/// so the sum over all gateways stays within the limit without any messages between them. Such a
/// limit keeps retries from multiplying the load ("Timeouts that get retried into an outage").
///
/// Load pattern: servers fail while gateways start anew, or while callers go from one gateway to
/// another. No process knows what another one has spent, its predecessor included, so the sum has to
/// hold whatever each of them spent before.
///
/// It is for gateways that send to the backend servers themselves. Gateways that send to agents use
/// a [`RetryBudget`](crate::RetryBudget).
#[derive(Debug)]
pub struct RepeatBudget {
    started: Duration,
    first_sends: SlidingWindow,
    repeats: SlidingWindow,
}

/// Limits of a [`RepeatBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatLimits {
    /// Repeats that each first send allows.
    pub ratio: f64,
    /// Additional repeats per window, summed over all gateways.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// What a [`RepeatBudget`] counts in the window that ends now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RepeatCounts {
    /// First sends of callers' requests.
    pub first_sends: usize,
    /// Repeats that were allowed.
    pub repeats: usize,
}

/// Fraction of the limit for first sends that is used. The repeats in a window count against the first
/// sends of that window, or of the one before, while each process may spend on both of them.
const EARNED_FRACTION: f64 = 0.5;
/// Fraction of the constant that processes use which are older than the window.
const CONSTANT_FRACTION: f64 = 0.55;
/// Fraction of the constant that accrues to a process in its first window. Those that follow each other
/// at one gateway within a window get this much together, beside what the first of them may have spent.
const STARTING_FRACTION: f64 = 0.3;
/// Time that a process is credited with when it starts, so that a gateway without others can repeat at
/// once. Five starts within a window use up what the two fractions leave of the constant.
const STARTING_CREDIT: Duration = Duration::from_secs(1);

impl RepeatBudget {
    /// Creates a budget without any sends, for a window of the given length and a process that was
    /// started at `started`.
    pub fn new(window: Duration, started: Duration) -> Self {
        Self {
            started,
            first_sends: SlidingWindow::new(window),
            repeats: SlidingWindow::new(window),
        }
    }

    /// Records the first send of a caller's request.
    pub fn record_first(&mut self, now: Duration) {
        self.first_sends.record(now);
    }

    /// What is counted in the window that ends at `now`.
    pub fn counts(&mut self, now: Duration) -> RepeatCounts {
        RepeatCounts {
            first_sends: self.first_sends.count(now),
            repeats: self.repeats.count(now),
        }
    }

    /// Takes one repeat from the budget; returns whether there was one left.
    pub fn try_spend(&mut self, now: Duration, limits: RepeatLimits, gateways: usize) -> bool {
        let is_allowed = self.may_spend(now, limits, gateways);
        if is_allowed {
            self.repeats.record(now);
        }
        is_allowed
    }

    /// Whether one repeat is left.
    pub fn may_spend(&mut self, now: Duration, limits: RepeatLimits, gateways: usize) -> bool {
        let earned = EARNED_FRACTION * limits.ratio * self.first_sends.count(now) as f64;
        let allowed = earned + self.constant_share(now, limits, gateways);
        (self.repeats.count(now) + 1) as f64 <= allowed
    }

    /// Share of the constant. It accrues in the first window of the process, for which the one before
    /// it may have spent a whole share.
    fn constant_share(&self, now: Duration, limits: RepeatLimits, gateways: usize) -> f64 {
        let age = now.saturating_sub(self.started);
        let fraction = if age < limits.window {
            let accrued = (age + STARTING_CREDIT).as_secs_f64() / limits.window.as_secs_f64();
            STARTING_FRACTION * accrued
        } else {
            CONSTANT_FRACTION
        };
        fraction * limits.extra / gateways.max(1) as f64
    }
}
