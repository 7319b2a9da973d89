//! Engine memory that stays reserved without use.

use standins::{HeldMemory, PlatformServer};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// `FreeMs`: time after its last use within which memory is free.
const FREE_BOUND: Duration = Duration::from_secs(4);
/// `MaxIdleMs`: time within which reserved memory is used.
const IDLE_BOUND: Duration = Duration::from_secs(9);
/// Shorter stretches beyond a bound do not count.
const MIN_STRETCH: Duration = Duration::from_secs(2);

/// Describes memory that is held too long; `uses` are the ends of the requests that used it, none for
/// those that still run.
pub fn idle_memory(held: &HeldMemory, uses: &[Option<Instant>]) -> Option<String> {
    if uses.contains(&None) {
        return None;
    }
    let last = uses.iter().flatten().max();
    let (rule, due) = match last {
        Some(last) => ("LEAK", (*last + FREE_BOUND).max(held.from)),
        None => ("STUCK", held.from + IDLE_BOUND),
    };
    let stretch = held.until.saturating_duration_since(due);
    (stretch >= MIN_STRETCH).then(|| {
        format!(
            "{rule}: reservation {} is held for {stretch:?} too long",
            held.id
        )
    })
}

/// What the engines among `servers` held too long, and how many reservations there were.
pub(crate) fn check_memory<'a>(
    servers: impl Iterator<Item = &'a PlatformServer> + Clone,
) -> (Vec<String>, usize) {
    let mut uses: HashMap<Box<str>, Vec<Option<Instant>>> = HashMap::new();
    for work in servers.clone().flat_map(PlatformServer::work) {
        for id in work.reservations {
            uses.entry(id).or_default().push(work.ended);
        }
    }
    let held: Vec<_> = servers.flat_map(PlatformServer::held_memory).collect();
    let found = held.iter().filter_map(|held| {
        let uses = uses.get(&held.id).map_or(&[][..], Vec::as_slice);
        idle_memory(held, uses)
    });
    (found.collect(), held.len())
}
