//! Load, health and limits of the backend servers, as this gateway keeps them.

use crate::signal::Signal;
use adapter::HostSettings;
use policy::{
    AttemptResult, BackendId, EngineCandidate, FleetLoad, HerdAvoidance, JobId, JobLoad,
    PlainCandidate, RepeatBudget, RepeatLimits, SendRateCap, ServerHealth, ServiceName,
    ServiceSpec, gateway_send_limit, server_key,
};
use proto::{BackendEntry, ServerKey, ServerUse};
use rand::Rng as _;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Servers whose state is kept; beyond that, the state of those without work is dropped.
const MAX_TRACKED_SERVERS: usize = 4_096;

/// State of the backend servers.
#[derive(Debug)]
pub struct Fleet {
    state: Mutex<State>,
    gateways: AtomicUsize,
    update_interval_micros: AtomicU64,
    next_job_id: AtomicU64,
    changed: Signal,
    urgent: Signal,
    domain: Box<str>,
    retry_limits: RepeatLimits,
    cold_overage: f64,
    cold_slack: f64,
}

#[derive(Debug, Default)]
struct State {
    load: FleetLoad,
    health: HashMap<BackendId, ServerHealth>,
    arrivals: HashMap<BackendId, SendRateCap>,
    retry_budgets: HashMap<ServiceName, RepeatBudget>,
}

impl Fleet {
    /// An idle fleet.
    pub fn new(settings: &HostSettings) -> Self {
        let bounds = &settings.bounds;
        Self {
            changed: Signal::default(),
            urgent: Signal::default(),
            state: Mutex::default(),
            gateways: AtomicUsize::new(1),
            update_interval_micros: AtomicU64::new(0),
            next_job_id: AtomicU64::new(1),
            domain: settings.domain.clone(),
            retry_limits: bounds.repeats,
            cold_overage: bounds.cold_overage,
            cold_slack: bounds.cold_slack,
        }
    }

    /// Sets how many gateways share the limits.
    pub fn set_gateways(&self, gateways: usize) {
        self.gateways.store(gateways.max(1), Ordering::Relaxed);
    }

    /// Sets how often peers hear of this gateway's work, and it of theirs.
    pub fn set_update_interval(&self, interval: Duration) {
        self.update_interval_micros
            .store(interval.as_micros() as u64, Ordering::Relaxed);
    }

    /// How far this gateway places prompts without knowing of its peers' latest.
    pub fn scatter(&self, service: &ServiceSpec, now: Duration) -> HerdAvoidance {
        let peers = self.gateways.load(Ordering::Relaxed).saturating_sub(1);
        let window = self.retry_limits.window.as_secs_f64();
        let own = self.with_retry_budget(&service.name, |budget| budget.first_count(now));
        let rate = own as f64 / window.max(1.0);
        // What arrived since the last news is known half an interval late on average.
        let age = self.update_interval_micros.load(Ordering::Relaxed) as f64 / 2e6;
        HerdAvoidance {
            unseen_placements: rate * peers as f64 * age,
            random: rand::rng().random(),
        }
    }

    /// A number for a new job.
    pub fn next_job_id(&self) -> JobId {
        self.next_job_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Engines as candidates for a prompt.
    pub fn engine_candidates(
        &self,
        service: &ServiceSpec,
        servers: &[BackendEntry],
        now: Duration,
    ) -> Vec<EngineCandidate> {
        let share = self.arrivals_share(service);
        let mut state = self.lock();
        let candidates = servers.iter().map(|server| {
            let key = server_key(&server.id);
            let health = state.health.get(&server.id).cloned().unwrap_or_default();
            let arrivals = state.arrivals.get_mut(&server.id);
            let room = arrivals.is_none_or(|cap| cap.has_room(now, share));
            EngineCandidate {
                shared_order: key,
                load: state.load.total(key, now),
                slowdown: health.slowdown(now),
                accepts_requests: room && !health.is_full(now),
                suspect: health.is_suspect(now),
            }
        });
        candidates.collect()
    }

    /// Servers of a plain service as candidates for a request.
    pub fn plain_candidates(&self, servers: &[BackendEntry], now: Duration) -> Vec<PlainCandidate> {
        let state = self.lock();
        let candidates = servers.iter().map(|server| {
            let health = state.health.get(&server.id);
            PlainCandidate {
                jobs: state.load.total(server_key(&server.id), now).jobs,
                slots: server.slots,
                suspect: health.is_some_and(|health| health.is_suspect(now)),
                recently_full: health.is_some_and(|health| health.is_full(now)),
                same_domain: server.domain == self.domain,
                tie_break: rand::rng().random(),
            }
        });
        candidates.collect()
    }

    /// Whether one more request may be sent to a server in this second.
    pub fn may_send(&self, service: &ServiceSpec, server: &str, now: Duration) -> bool {
        let share = self.arrivals_share(service);
        let mut state = self.lock();
        let arrivals = state.arrivals.get_mut(server);
        arrivals.is_none_or(|cap| cap.has_room(now, share))
    }

    /// Notes that a request is sent to a server.
    pub fn on_sent(&self, server: &str, now: Duration) {
        let mut state = self.lock();
        if state.arrivals.len() > MAX_TRACKED_SERVERS {
            state.arrivals.retain(|_, cap| !cap.has_room(now, 1));
        }
        state.arrivals.entry(server.into()).or_default().record(now);
    }

    /// Notes how an attempt went.
    pub fn on_result(&self, server: &str, result: AttemptResult, now: Duration) {
        let mut state = self.lock();
        if state.health.len() > MAX_TRACKED_SERVERS {
            state.health.retain(|_, health| health.is_suspect(now));
        }
        state
            .health
            .entry(server.into())
            .or_default()
            .on_result(result, now);
    }

    /// Notes how long a first event took against the time by the published figures.
    pub fn on_pace(&self, server: &str, usual: Duration, taken: Duration, now: Duration) {
        let mut state = self.lock();
        state
            .health
            .entry(server.into())
            .or_default()
            .on_latency(usual, taken, now);
    }

    /// Notes a caller's request for a service.
    pub fn record_request(&self, service: &str, now: Duration) {
        self.with_retry_budget(service, |budget| budget.record_first(now));
    }

    /// Takes one repeat for a service from the shared budget, if there is one.
    pub fn claim_retry(&self, service: &str, now: Duration) -> bool {
        let gateways = self.gateways.load(Ordering::Relaxed);
        self.with_retry_budget(service, |budget| {
            budget.try_spend(now, self.retry_limits, gateways)
        })
    }

    /// Notes that a job starts.
    pub fn start_job(&self, job: JobId, parts: &[JobLoad], now: Duration) {
        self.lock().load.start(job, parts, now);
        self.note_change(parts);
    }

    /// Notes that a job's prompt has been read.
    pub fn on_prefill_done(&self, job: JobId, parts: &[JobLoad]) {
        self.lock().load.on_prefilled(job, parts);
        self.note_change(parts);
    }

    /// Notes that a job has ended.
    pub fn end_job(&self, job: JobId, parts: &[JobLoad]) {
        self.lock().load.end(job, parts);
        self.changed.notify();
    }

    /// All that this gateway has given to servers.
    pub fn own_load(&self, now: Duration) -> Vec<(ServerKey, ServerUse)> {
        self.lock().load.local(now)
    }

    /// Takes in what a peer has given to servers.
    pub fn on_peer_load(&self, peer: &str, servers: Vec<(ServerKey, ServerUse)>, now: Duration) {
        self.lock().load.on_peer_report(peer, servers, now);
    }

    /// Told of each change of this gateway's work.
    pub fn changed(&self) -> &Signal {
        &self.changed
    }

    /// Told when peers should hear at once: a long read has started or ended, or the store has
    /// changed.
    pub fn urgent(&self) -> &Signal {
        &self.urgent
    }

    fn note_change(&self, parts: &[JobLoad]) {
        self.changed.notify();
        if parts.iter().any(|part| part.is_long) {
            self.urgent.notify();
        }
    }

    fn with_retry_budget<T>(&self, service: &str, f: impl FnOnce(&mut RepeatBudget) -> T) -> T {
        let mut state = self.lock();
        let window = self.retry_limits.window;
        let budget = state.retry_budgets.entry(service.into());
        f(budget.or_insert_with(|| RepeatBudget::new(window)))
    }

    fn arrivals_share(&self, service: &ServiceSpec) -> usize {
        let gateways = self.gateways.load(Ordering::Relaxed);
        gateway_send_limit(
            service.cold_rate,
            self.cold_overage,
            self.cold_slack,
            gateways,
        )
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
