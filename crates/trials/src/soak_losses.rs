//! Requests that ended without an answer, and what on their path excuses that.

use crate::soak_client::{ClientCall, Ending};
use crate::soak_declarations::ROUTE_TIMEOUT_MS;
use crate::soak_fleet::GRACE;
use crate::soak_upsets::{Upset, UpsetKind};
use std::time::{Duration, Instant};

/// `LossSlackMs`: a connection that ends sooner after the request may not have been read.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Work in the last part of the grace excuses a request that was sent at most this long after SIGTERM.
const EARLY_IN_DRAIN: Duration = Duration::from_secs(3);
/// Planned work lasts this much longer than the grace.
const PLANNED_SLACK: Duration = Duration::from_secs(1);

/// Time that a server spent on a request.
#[derive(Debug, Clone)]
pub struct ServerWork {
    /// When the request arrived.
    pub began: Instant,
    /// When the response was complete or the gateway had left; none while it is at work.
    pub ended: Option<Instant>,
    /// Whether the link to the server failed meanwhile.
    pub was_cut_off: bool,
}

/// Describes a request whose connection its gateway closed without a complete answer; `work` is that of all
/// servers on it. Store links and links between gateways are not on its path and excuse nothing.
///
/// Excused are requests that may not have been read, a time limit that was reached, a gateway that was
/// killed or frozen meanwhile, an answer that its server broke off, and work late in the grace on a
/// request that was sent early in it.
pub fn lost_request(call: &ClientCall, upsets: &[Upset], work: &[ServerWork]) -> Option<String> {
    let Ending::Closed(part) = &call.ending else {
        return None;
    };
    let waited = call.ended_at.duration_since(call.sent_at);
    let limit = Duration::from_millis(ROUTE_TIMEOUT_MS).min(call.request.time_limit);
    let may_be_unread = work.is_empty() && waited <= LOSS_SLACK;
    let has_failed = |upset: &Upset| {
        upset.kind == UpsetKind::Process && upset.overlaps(call.sent_at, call.ended_at)
    };
    let was_broken_off = part.status.is_some() && work.iter().any(|work| work.was_cut_off);
    if may_be_unread || waited >= limit || upsets.iter().any(has_failed) || was_broken_off {
        return None;
    }
    let stop = stop_around(call, upsets);
    if stop.is_some_and(|stop| was_at_work_late(call, stop, work)) {
        return None;
    }
    let place = stop.map_or("outside of stops".to_owned(), |stop| {
        let after = |at| signed_seconds(stop.from, at);
        let (connected, sent) = (after(call.connected_at), after(call.sent_at));
        let closed = after(call.ended_at);
        format!("connected {connected}, sent {sent}, closed {closed} s after SIGTERM")
    });
    Some(format!(
        "LOST: {place}, waited {waited:?}, {}, passed on {} times, status {:?}",
        if call.is_kept { "kept" } else { "new" },
        work.len(),
        part.status,
    ))
}

/// The stop of its gateway in which a request ended.
fn stop_around<'a>(call: &ClientCall, upsets: &'a [Upset]) -> Option<&'a Upset> {
    let mut stops = upsets.iter().filter(|upset| upset.kind == UpsetKind::Stop);
    stops.find(|stop| {
        stop.from <= call.ended_at && call.ended_at <= stop.from + GRACE + PLANNED_SLACK
    })
}

fn was_at_work_late(call: &ClientCall, stop: &Upset, work: &[ServerWork]) -> bool {
    let late = stop.from + GRACE.mul_f64(5.0 / 6.0);
    let worked_late = |work: &ServerWork| work.ended.is_none_or(|ended| ended > late);
    call.sent_at <= stop.from + EARLY_IN_DRAIN && work.iter().any(worked_late)
}

fn signed_seconds(from: Instant, at: Instant) -> String {
    let seconds = if at >= from {
        at.duration_since(from).as_secs_f64()
    } else {
        -from.duration_since(at).as_secs_f64()
    };
    format!("{seconds:.2}")
}
