//! What a soak of direct gateways checks from the requests that servers got.

use crate::soak_client::ClientCall;
use crate::soak_upsets::{Upset, UpsetKind};
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Time within which a gateway sends requests on to a server after it has passed on that it leaves.
const LEAVING_BOUND: Duration = Duration::from_secs(2);
/// An answer may reach its caller this long after the gateway that passed it on was stopped or killed.
const DELIVERY_SLACK: Duration = Duration::from_secs(1);
const REPEAT_WINDOW: Duration = Duration::from_secs(10);
const REPEAT_RATIO: f64 = 0.2;
/// Small beside the requests of a soak, so that the repeats press.
pub(crate) const REPEAT_EXTRA: f64 = 20.0;
const WINDOW_STEP: Duration = Duration::from_millis(100);

/// Requests that a gateway sent on to a server later than it may after that server had said that it
/// leaves. `upsets` are those of each gateway; failures of its links excuse nothing.
pub(crate) fn requests_after_leaving(
    server: &str,
    received: &[(Box<str>, Instant)],
    calls: &[ClientCall],
    upsets: &[Vec<Upset>],
) -> Vec<String> {
    let seal = format!("seal of {server}");
    let says_so = |call: &&ClientCall| call.leaving_seal() == Some(&*seal);
    let mut passed_on: HashMap<usize, Instant> = HashMap::new();
    for call in calls.iter().filter(says_so) {
        let first = passed_on.entry(call.gateway).or_insert(call.ended_at);
        *first = call.ended_at.min(*first);
    }
    let by_id: HashMap<&str, &ClientCall> =
        calls.iter().map(|call| (&*call.request.id, call)).collect();
    let late = received.iter().filter_map(|(id, at)| {
        let call = by_id.get(&**id)?;
        let told = *passed_on.get(&call.gateway)?;
        let is_excused = upsets[call.gateway].iter().any(|upset| {
            upset.kind != UpsetKind::Link && (told - DELIVERY_SLACK..*at).contains(&upset.from)
        });
        (call.sent_at > told + LEAVING_BOUND && !is_excused)
            .then(|| format!("{id} reached {server}, which had said that it leaves"))
    });
    late.collect()
}

/// The first window in which a service got more repeats than it may; `received` has the requests that
/// all its servers got, `sent` those that callers sent to it.
pub(crate) fn excess_repeats(
    service: &str,
    received: &mut [(Box<str>, Instant)],
    sent: &HashMap<&str, Instant>,
) -> Option<String> {
    received.sort_unstable_by_key(|(_, at)| *at);
    let mut seen = HashSet::new();
    let repeats = received.iter().filter(|(id, _)| !seen.insert(&**id));
    let repeats: Vec<_> = repeats.map(|(_, at)| *at).collect();
    let mut firsts: HashMap<&str, Instant> = sent.clone();
    for (id, at) in received.iter() {
        firsts.entry(id).or_insert(*at);
    }
    let within = |times: &[Instant], start: Instant| {
        let window = start..start + REPEAT_WINDOW;
        times.iter().filter(|at| window.contains(*at)).count()
    };
    let firsts: Vec<_> = firsts.into_values().collect();
    let (first, last) = (*repeats.first()?, *repeats.last()?);
    let mut start = first;
    while start <= last {
        let shifts = [Duration::ZERO, REPEAT_WINDOW / 2, REPEAT_WINDOW];
        let requests =
            shifts.map(|shift| within(&firsts, start.checked_sub(shift).unwrap_or(start)));
        let requests = requests.into_iter().max().unwrap_or_default();
        let bound = REPEAT_RATIO * requests as f64 + REPEAT_EXTRA;
        let found = within(&repeats, start);
        if found as f64 > bound {
            return Some(format!(
                "{service} got {found} repeats in a window, {bound} allowed"
            ));
        }
        start += WINDOW_STEP;
    }
    None
}
