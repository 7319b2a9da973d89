//! How long a gateway waits for the events of a stream before it turns to another server.

use crate::route_table::Route;
use std::time::Duration;

/// The first event may take this many times its forecast, plus `FIRST_EVENT_SLACK`. The slack
/// covers the forward pass in progress and an engine's stall on a lost helper.
const FIRST_EVENT_FACTOR: f64 = 2.5;
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(700);
/// A server without a first event is abandoned at the latest after this fraction of the time that
/// a caller waits, so that another one can still respond.
const FIRST_EVENT_WAIT_FRACTION: f64 = 0.5;
/// A stream counts as silent after this many times the target gap of the route, but not before
/// `MIN_SILENCE`, which covers a forward pass that includes a long prefill.
const SILENCE_FACTOR: u32 = 3;
const MIN_SILENCE: Duration = Duration::from_millis(900);

/// Time for which the first event of a stream is waited for where another server may still respond.
/// Without a forecast, it is as long as its caller's patience allows.
pub fn first_event_wait(route: &Route, forecast: Option<Duration>) -> Duration {
    let longest = route.caller_wait_limit().mul_f64(FIRST_EVENT_WAIT_FRACTION);
    let Some(forecast) = forecast else {
        return longest;
    };
    let wait = forecast
        .mul_f64(FIRST_EVENT_FACTOR)
        .max(route.target_latency);
    longest.min(wait + FIRST_EVENT_SLACK)
}

/// Time without an event after which a stream that has begun counts as silent.
pub fn silence_limit(route: &Route) -> Duration {
    MIN_SILENCE.max(route.target_gap * SILENCE_FACTOR)
}
