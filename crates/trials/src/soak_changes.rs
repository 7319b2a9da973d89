//! Changes of declarations in series, and requests for what they add and remove.

use crate::readiness_check::ReadinessAnswer;
use crate::soak_client::{Client, ClientCall, ClientRequest};
use crate::soak_declarations::{IDLE_ROUTE_BYTES, SOAK_KEY, SoakDeclarations};
use crate::soak_growth::GrowthPlan;
use crate::soak_probes::{Part, Probe};
use async_io::Timer;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use standins::PlatformStore;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Versions for which a route or a key stays. Its probes end well before it is removed.
const LIFETIME_VERSIONS: usize = 24;
pub(crate) const PROBE_TIME_LIMIT: Duration = Duration::from_secs(2);
/// Requests for what every version has are this many in a hundred.
const STANDING_PROBES: u32 = 25;

#[derive(Debug, Default)]
pub(crate) struct History {
    pub(crate) parts: Vec<Part>,
    pub(crate) probes: Vec<(Probe, ClientCall)>,
    pub(crate) unready: Vec<Unready>,
}

/// A readiness check of a gateway that was not answered with 200.
#[derive(Debug)]
pub(crate) struct Unready {
    pub(crate) gateway: usize,
    pub(crate) asked_at: Instant,
    pub(crate) answer: ReadinessAnswer,
}

pub(crate) type SharedHistory = Arc<Mutex<History>>;

/// Writes versions until `end`: each adds a route and a key, removes the oldest ones, and grows by its
/// part of the planned growth.
pub(crate) async fn change(
    plan: GrowthPlan,
    store: &PlatformStore,
    mut declarations: SoakDeclarations,
    history: &SharedHistory,
    end: Instant,
) {
    let mut rng = SmallRng::seed_from_u64(plan.seed.wrapping_mul(31));
    let (from, to) = plan.bytes;
    let mut number = 0;
    while Instant::now() < end {
        let passed = 1.0 - (end - Instant::now()).as_secs_f64() / plan.time.as_secs_f64();
        // The growth leaves a quarter of the time for changes of the largest size.
        let share = (passed * 4.0 / 3.0).min(1.0);
        let bytes = from as f64 + (to as f64 - from as f64) * share;
        declarations.idle_routes = bytes as usize / IDLE_ROUTE_BYTES;
        declarations.version += rng.random_range(1..4);
        declarations.routes.push(format!("new-{number}"));
        declarations.keys.push(format!("new-key-{number}"));
        let removes = declarations.routes.len() > LIFETIME_VERSIONS;
        if removes {
            declarations.routes.remove(0);
            declarations.keys.remove(0);
        }
        let value = declarations.to_json();
        let written_at = Instant::now();
        store.put("op", "config", &value);
        let confirmed_at = Instant::now();
        record_version(history, number, removes, written_at, confirmed_at);
        number += 1;
        Timer::after(rng.random_range(plan.intervals.0..=plan.intervals.1)).await;
    }
}

/// Records a version that adds the part with this number and may remove the one of a lifetime before.
fn record_version(
    history: &SharedHistory,
    number: usize,
    removes: bool,
    written_at: Instant,
    confirmed_at: Instant,
) {
    let mut history = lock(history);
    history.parts.push(Part {
        number,
        added_at: confirmed_at,
        removed: None,
    });
    if removes {
        history.parts[number - LIFETIME_VERSIONS].removed = Some((written_at, confirmed_at));
    }
}

/// Sends one gateway requests for routes and keys that were added or removed more than the bound ago,
/// each soon after that, and for what every version has. `unknown` in a hundred ask for what no version has.
pub(crate) async fn send_probes(
    mut client: Client,
    history: SharedHistory,
    mut rng: SmallRng,
    (bound, unknown): (Duration, u32),
    end: Instant,
) {
    let mut count = 0;
    while Instant::now() < end {
        count += 1;
        let asks_unknown = unknown > 0 && rng.random_ratio(unknown, 100);
        let probe = if asks_unknown {
            match rng.random_bool(0.5) {
                true => Probe::UnknownRoute,
                false => Probe::UnknownKey,
            }
        } else {
            let history = lock(&history);
            let due = Instant::now().checked_sub(bound);
            let due = due.unwrap_or_else(Instant::now);
            let parts = &history.parts;
            let added = parts.iter().rev().find(|part| part.added_at < due);
            let is_removed = |part: &&Part| part.removed.is_some_and(|(_, at)| at < due);
            let removed = parts.iter().rev().find(is_removed);
            let part = if rng.random_bool(0.6) { added } else { removed };
            match part {
                Some(part) if !rng.random_ratio(STANDING_PROBES, 100) => {
                    if rng.random_bool(0.6) {
                        Probe::Route(part.number)
                    } else {
                        Probe::Key(part.number)
                    }
                }
                _ => Probe::Standing,
            }
        };
        let (path, key) = match probe {
            Probe::Route(number) => (format!("/new-{number}/x"), SOAK_KEY.to_owned()),
            Probe::Key(number) => ("/lookup/x".to_owned(), format!("new-key-{number}")),
            Probe::Standing => ("/lookup/x".to_owned(), SOAK_KEY.to_owned()),
            Probe::UnknownRoute => (format!("/never-{count}/x"), SOAK_KEY.to_owned()),
            Probe::UnknownKey => ("/lookup/x".to_owned(), format!("never-key-{count}")),
        };
        let request = ClientRequest {
            id: format!("probe-{:?}-{count}", client.gateway()),
            path,
            key,
            prompt: 10,
            last_event_id: None,
            time_limit: PROBE_TIME_LIMIT,
        };
        let call = client.call(request).await;
        lock(&history).probes.push((probe, call));
        Timer::after(Duration::from_millis(rng.random_range(40..160))).await;
    }
}

/// Locks a history that tasks share.
pub(crate) fn lock(history: &SharedHistory) -> MutexGuard<'_, History> {
    history.lock().unwrap_or_else(PoisonError::into_inner)
}
