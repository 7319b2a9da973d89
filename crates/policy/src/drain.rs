//! The end of a process: until when it accepts, starts and answers requests.

use crate::engine_profile::EngineProfile;
use crate::engine_queue::QueuedPrompt;
use std::time::Duration;

/// Reason of refusals by a process that ends, for logs and metrics.
pub const DRAINING_REASON: &str = "draining";
/// `Retry-After` of requests that a process refuses because it ends. The caller goes to another one.
pub const DRAIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The load balancer probes readiness once a second and removes a gateway after two failed probes.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(2_600);
/// The process ends this long before the platform sends SIGKILL.
const MAX_KILL_MARGIN: Duration = Duration::from_millis(400);
/// Time to send the last replies.
const MAX_REPLY_MARGIN: Duration = Duration::from_millis(400);
/// Fraction of that time in which streams that are left are ended.
const STREAM_MARGIN_FRACTION: u32 = 4;
/// Interval at which a process looks for signals while there are none.
pub const SIGNAL_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// A check that is later by more than this shows that the process stood still.
const MAX_CHECK_DELAY: Duration = Duration::from_millis(100);
/// What is left of the grace period when a process ends that stood still at its end.
const MIN_KILL_MARGIN: Duration = Duration::from_millis(80);
/// Time that such a process takes at least to give the replies that were due. SIGKILL ends it if it comes before.
const MIN_OVERTIME: Duration = Duration::from_millis(150);
/// Each margin takes at most this fraction of a short grace period.
const MARGIN_FRACTION: u32 = 10;
/// A call that may run once is started only if this many times its expected duration is left.
const SINGLE_RUN_FACTOR: u32 = 2;

/// A call that may be started while the process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LateCall {
    /// Time that it is expected to take.
    pub expected: Duration,
    /// When it gets a reply, whatever has become of it.
    pub deadline: Duration,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
}

/// A stream that may be started while the process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LateStream {
    /// Time that it is forecast to take from its start.
    pub forecast: Duration,
}

/// Times of a process that was asked to end, on the clock of its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drain {
    /// New connections are accepted until then.
    pub accept_end: Duration,
    /// Requests without a response get one from the gateway then.
    pub last_reply: Duration,
    /// Streams that still run are broken off then.
    pub streams_end: Duration,
    /// The process ends then, whatever is left.
    pub end: Duration,
    /// The platform sends SIGKILL then.
    kill: Duration,
}

impl Drain {
    /// Times of a drain that starts at `start`, with SIGKILL after `grace`.
    pub fn new(start: Duration, grace: Duration) -> Self {
        let kill_margin = MAX_KILL_MARGIN.min(grace / MARGIN_FRACTION);
        let accept_end = start + MAX_ACCEPT_TIME.min(grace / 2);
        Self {
            kill: start + grace,
            ..Self::with_margin(accept_end, start + grace - kill_margin, grace)
        }
    }

    /// When a signal was sent at the earliest that is handled at `now`. The process found none at `last_check`,
    /// and looks for signals each [`SIGNAL_CHECK_INTERVAL`]. A signal that was sent longer ago than `grace` would
    /// have been followed by SIGKILL.
    ///
    /// Load pattern: a process without processor time handles SIGTERM late, while the platform counts the grace
    /// period from when it sent the signal.
    pub fn earliest_start(last_check: Duration, now: Duration, grace: Duration) -> Duration {
        let stood_still = now > last_check + SIGNAL_CHECK_INTERVAL + MAX_CHECK_DELAY;
        let may_be_late = stood_still && now < last_check + grace;
        if may_be_late { last_check } else { now }
    }

    /// Time for which the process goes on at `now`, its end, where it stood still before: what was due
    /// meanwhile, such as last replies, has not been done.
    pub fn overtime(&self, now: Duration) -> Duration {
        let stood_still = now > self.end + MAX_CHECK_DELAY;
        let latest = self.kill.saturating_sub(MIN_KILL_MARGIN);
        let left = latest.saturating_sub(now);
        if stood_still {
            left.max(MIN_OVERTIME)
        } else {
            Duration::ZERO
        }
    }

    /// Times of a drain that starts at `start`, accepts for `accept` and ends after `time` in all.
    pub fn within(start: Duration, accept: Duration, time: Duration) -> Self {
        Self::with_margin(start + accept.min(time), start + time, time)
    }

    /// Times of a drain that takes `time` in all.
    fn with_margin(accept_end: Duration, end: Duration, time: Duration) -> Self {
        let reply_margin = MAX_REPLY_MARGIN.min(time / MARGIN_FRACTION);
        Self {
            accept_end,
            last_reply: end - reply_margin,
            streams_end: end - reply_margin / STREAM_MARGIN_FRACTION,
            end,
            kill: end,
        }
    }

    /// Whether a call can be expected to end in time if it is started now.
    pub fn may_start(&self, call: &LateCall, now: Duration) -> bool {
        let factor = if call.is_idempotent {
            1
        } else {
            SINGLE_RUN_FACTOR
        };
        let end = now + call.expected * factor;
        end.min(call.deadline) <= self.last_reply
    }

    /// Whether a stream is started whose request has been read now: before the end of accepting only.
    ///
    /// Load pattern: engines are many times slower than their figures say. A stream that is cut has no truthful
    /// reply, while the caller of one that comes late has not waited yet and can go to another gateway.
    pub fn takes_streams(&self, now: Duration) -> bool {
        now <= self.accept_end
    }

    /// Whether a stream can be expected to end in time if it is started now.
    pub fn may_stream(&self, stream: &LateStream, now: Duration) -> bool {
        now + stream.forecast <= self.streams_end
    }

    /// The prompt with the latest time for its first event with which its stream ends in time.
    pub fn limit_prompt(&self, profile: &EngineProfile, prompt: &QueuedPrompt) -> QueuedPrompt {
        let decode_time = profile.decode_time(&prompt.request);
        let latest = self.streams_end.saturating_sub(decode_time);
        QueuedPrompt {
            deadline: prompt.deadline.min(latest),
            ..prompt.clone()
        }
    }
}
