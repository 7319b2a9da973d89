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

/// Writes versions, each of which adds a route and a key.
#[derive(Debug)]
pub(crate) struct Versions<'a> {
    pub(crate) store: &'a PlatformStore,
    pub(crate) history: &'a SharedHistory,
    pub(crate) declarations: SoakDeclarations,
    pub(crate) rng: SmallRng,
    /// Versions for which a route or a key stays.
    pub(crate) lifetime: usize,
    /// Number of versions that were written.
    pub(crate) count: usize,
}

impl Versions<'_> {
    /// Writes the next version, which also removes the oldest added parts.
    pub(crate) fn write(&mut self) {
        let (number, declarations) = (self.count, &mut self.declarations);
        declarations.version += self.rng.random_range(1..4);
        declarations.routes.push(format!("new-{number}"));
        declarations.keys.push(format!("new-key-{number}"));
        let removes = declarations.routes.len() > self.lifetime;
        if removes {
            declarations.routes.remove(0);
            declarations.keys.remove(0);
        }
        let value = declarations.to_json();
        let written_at = Instant::now();
        self.store.put("op", "config", &value);
        self.record(removes, written_at, Instant::now());
        self.count += 1;
    }

    fn record(&self, removes: bool, written_at: Instant, confirmed_at: Instant) {
        let mut history = lock(self.history);
        history.parts.push(Part {
            number: self.count,
            added_at: confirmed_at,
            removed: None,
        });
        if removes {
            history.parts[self.count - self.lifetime].removed = Some((written_at, confirmed_at));
        }
    }
}

/// Writes versions until `end`: each adds a route and a key, removes the oldest ones, and grows by its
/// part of the planned growth.
pub(crate) async fn change(
    plan: GrowthPlan,
    store: &PlatformStore,
    declarations: SoakDeclarations,
    history: &SharedHistory,
    end: Instant,
) {
    let mut versions = Versions {
        store,
        history,
        declarations,
        rng: SmallRng::seed_from_u64(plan.seed.wrapping_mul(31)),
        lifetime: LIFETIME_VERSIONS,
        count: 0,
    };
    let (from, to) = plan.bytes;
    while Instant::now() < end {
        let passed = 1.0 - (end - Instant::now()).as_secs_f64() / plan.time.as_secs_f64();
        // The growth leaves a quarter of the time for changes of the largest size.
        let share = (passed * 4.0 / 3.0).min(1.0);
        let bytes = from as f64 + (to as f64 - from as f64) * share;
        versions.declarations.idle_routes = bytes as usize / IDLE_ROUTE_BYTES;
        versions.write();
        let (shortest, longest) = plan.intervals;
        Timer::after(versions.rng.random_range(shortest..=longest)).await;
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
