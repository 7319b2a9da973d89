//! Load, health and rate limits of the backend servers, as tracked by this gateway.

use crate::retry_budgets::RetryBudgets;
use crate::signal::Signal;
use adapter::HostSettings;
use policy::{
    AttemptResult, BackendId, DataEvidence, EngineCandidate, FleetLoad, HerdAvoidance, JobId,
    JobLoad, LimitRevision, PeerReportEffect, PlainCandidate, RepeatCounts, SendLimiter,
    SendShares, SendTimes, ServerFailures, ServerHealth, ServerPauses, ServiceSpec, SuspectKind,
    cold_send_bound, server_key,
};
use proto::{BackendEntry, RequestLimit, ServerKey, ServerReport, ServerUsage};
use rand::Rng as _;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Number of servers with health state above which entries that carry no restriction
/// are dropped.
const MAX_TRACKED_SERVERS: usize = 4_096;

/// Tracked state of all backend servers, and the retry budgets of the services.
#[derive(Debug)]
pub struct Fleet {
    state: Mutex<State>,
    /// Whether data of streams is recorded, as of the last update of the server failures.
    awaits_data: AtomicBool,
    update_interval_micros: AtomicU64,
    next_job_id: AtomicU64,
    changed: Signal,
    urgent: Signal,
    name: Box<str>,
    domain: Box<str>,
    retries: RetryBudgets,
    cold_overage: f64,
    cold_slack: f64,
}

#[derive(Debug)]
struct State {
    load: FleetLoad,
    sends: SendLimiter,
    health: HashMap<BackendId, ServerHealth>,
    failures: ServerFailures,
    pauses: ServerPauses,
}

impl Fleet {
    /// Creates the state without any load, for a single gateway.
    pub fn new(settings: &HostSettings) -> Self {
        let bounds = &settings.bounds;
        Self {
            changed: Signal::default(),
            urgent: Signal::default(),
            state: Mutex::new(State {
                load: FleetLoad::default(),
                sends: SendLimiter::of_starting(&settings.name, Duration::ZERO),
                health: HashMap::new(),
                failures: ServerFailures::default(),
                pauses: ServerPauses::default(),
            }),
            name: settings.name.clone(),
            awaits_data: AtomicBool::new(false),
            update_interval_micros: AtomicU64::new(0),
            next_job_id: AtomicU64::new(1),
            domain: settings.domain.clone(),
            retries: RetryBudgets::new(bounds.repeats),
            cold_overage: bounds.cold_overage,
            cold_slack: bounds.cold_slack,
        }
    }

    /// Sets the other gateways, by their names, with which this one shares rate limits and retry
    /// budgets; returns the number of all gateways.
    pub fn set_peers<'a>(&self, peers: impl Iterator<Item = &'a str>) -> usize {
        let shares = SendShares::new(&self.name, peers);
        let gateways = shares.gateways();
        self.lock().sends.set_shares(shares);
        gateways
    }

    /// How limits are divided among the gateways.
    pub fn send_shares(&self) -> SendShares {
        self.lock().sends.shares().clone()
    }

    /// Number of gateways, this one included.
    pub fn gateways(&self) -> usize {
        self.lock().sends.shares().gateways()
    }

    /// Sets the interval at which gateways send each other their load.
    pub fn set_update_interval(&self, interval: Duration) {
        self.update_interval_micros
            .store(interval.as_micros() as u64, Ordering::Relaxed);
    }

    /// Estimates how many prompts peers have placed on `servers` that this gateway has not heard of
    /// yet.
    pub fn herd_avoidance(
        &self,
        service: &ServiceSpec,
        servers: &[BackendEntry],
        now: Duration,
    ) -> HerdAvoidance {
        let bound = self.send_bound(service);
        let mut state = self.lock();
        let peers = state.sends.shares().gateways() - 1;
        let interval = self.update_interval_micros.load(Ordering::Relaxed);
        let interval = Duration::from_micros(interval);
        let keys = servers.iter().map(|server| server_key(&server.id));
        let known = state.load.known_placements(keys, peers, interval, now);
        let sender_fraction = state.sends.shares().sender_fraction(bound);
        HerdAvoidance::estimate(&known, sender_fraction, rand::rng().random())
    }

    /// Returns the id for a new job.
    pub fn next_job_id(&self) -> JobId {
        self.next_job_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Describes engines as candidates for a prompt, in the order of `servers`.
    pub fn engine_candidates(
        &self,
        service: &ServiceSpec,
        servers: &[BackendEntry],
        now: Duration,
    ) -> Vec<EngineCandidate> {
        let bound = self.send_bound(service);
        let mut state = self.lock();
        let gone = state.failures.gone(servers, now);
        let candidates = servers.iter().zip(gone).map(|(server, is_gone)| {
            let key = server_key(&server.id);
            let below_limit = state.sends.has_room(&server.id, bound, now);
            let health = state.health.get(&server.id).cloned().unwrap_or_default();
            EngineCandidate {
                shared_order: key,
                load: state.load.total(key, now),
                slowdown: health.slowdown(now),
                accepts_requests: below_limit
                    && !health.is_full(now)
                    && state.pauses.has_room(&server.id, now),
                is_limited: state.sends.limits().rate(key).is_some(),
                suspect: if is_gone {
                    Some(SuspectKind::Unreachable)
                } else {
                    health.suspect_kind(now)
                },
            }
        });
        candidates.collect()
    }

    /// Describes servers of a plain service as candidates for a request, in the order of `servers`.
    pub fn plain_candidates(&self, servers: &[BackendEntry], now: Duration) -> Vec<PlainCandidate> {
        let state = self.lock();
        let gone = state.failures.gone(servers, now);
        let candidates = servers.iter().zip(gone).map(|(server, is_gone)| {
            let health = state.health.get(&server.id);
            PlainCandidate {
                jobs: state.load.total(server_key(&server.id), now).jobs,
                slots: server.slots,
                suspect: is_gone || health.is_some_and(|health| health.is_suspect(now)),
                recently_full: health.is_some_and(|health| health.is_full(now)),
                same_domain: server.domain == self.domain,
                tie_break: rand::rng().random(),
            }
        });
        candidates.collect()
    }

    /// Whether this gateway's shares of the server's limits allow one more request now.
    pub fn may_send(&self, service: &ServiceSpec, server: &str, now: Duration) -> bool {
        let bound = self.send_bound(service);
        let mut state = self.lock();
        state.pauses.has_room(server, now) && state.sends.has_room(server, bound, now)
    }

    /// When this gateway may send requests to `servers` up to `end`; `None` if one of them states no
    /// request limit.
    pub fn send_times(
        &self,
        service: &ServiceSpec,
        servers: &[BackendEntry],
        now: Duration,
        end: Duration,
    ) -> Option<SendTimes> {
        let bound = self.send_bound(service);
        let ids = servers.iter().map(|server| &*server.id);
        self.lock().sends.send_times(ids, bound, now, end)
    }

    /// Counts a request for a server to which it is sent soon; returns `false`, and counts nothing, if
    /// this gateway's shares of the server's limits, or a pause that the server asked for, do not allow
    /// it.
    pub fn reserve_send(&self, service: &ServiceSpec, server: &str, now: Duration) -> bool {
        let bound = self.send_bound(service);
        let mut state = self.lock();
        state.pauses.has_room(server, now)
            && state.sends.reserve_send(server, bound, now)
            && state.pauses.claim_send(server, now)
    }

    /// Takes back a request that was counted by [`Self::reserve_send`].
    pub fn cancel_send(&self, server: &str) {
        self.lock().sends.cancel_send(server);
    }

    /// Counts a request that is about to be sent to a server; returns `false`, and counts nothing, if
    /// this gateway's shares of the server's limits do not allow it.
    pub fn start_send(&self, service: &ServiceSpec, server: &str, now: Duration) -> bool {
        let bound = self.send_bound(service);
        self.lock().sends.start_send(server, bound, now)
    }

    /// Updates the health of a server with the result of an attempt.
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

    /// Updates the servers that refuse connections; peers are told at once of what they have to hear.
    pub fn with_failures<T>(&self, now: Duration, f: impl FnOnce(&mut ServerFailures) -> T) -> T {
        let mut state = self.lock();
        let revision = state.failures.revision();
        let result = f(&mut state.failures);
        if state.failures.revision() != revision {
            self.urgent.notify();
        }
        let awaits_data = state.failures.awaits_data(now);
        self.awaits_data.store(awaits_data, Ordering::Relaxed);
        result
    }

    /// Records that a stream of a server has data, where this matters and not for each event.
    pub fn on_stream_data(
        &self,
        server: &BackendEntry,
        evidence: &mut DataEvidence,
        now: Duration,
    ) {
        if self.awaits_data.load(Ordering::Relaxed) && evidence.is_due(now) {
            self.with_failures(now, |failures| failures.on_data(server, now));
        }
    }

    /// Number of the last change of server failures.
    pub fn failure_revision(&self) -> u64 {
        self.lock().failures.revision()
    }

    /// Reports on servers that a peer has to hear of which has heard of `revision`, or of nothing yet,
    /// and the present revision.
    pub fn server_reports_since(
        &self,
        revision: Option<u64>,
        now: Duration,
    ) -> (Vec<ServerReport>, u64) {
        self.lock().failures.changed_since(revision, now)
    }

    /// Records that a server asks this gateway for a pause; returns how long it is kept.
    pub fn on_pause(&self, server: &str, pause: Duration, now: Duration) -> Duration {
        let mut state = self.lock();
        let gateways = state.sends.shares().gateways();
        let spread = (gateways, rand::rng().random());
        state.pauses.on_request(server, pause, now, spread)
    }

    /// Whether a server has asked this gateway for a pause that is not over.
    pub fn is_paused(&self, server: &str, now: Duration) -> bool {
        self.lock().pauses.is_paused(server, now)
    }

    /// Removes the servers that have asked this gateway for a pause which is not over. Returns when the
    /// first of their pauses ends, `None` if there are none.
    pub fn remove_paused(
        &self,
        servers: &mut Vec<BackendEntry>,
        now: Duration,
    ) -> Option<Duration> {
        let state = self.lock();
        let mut first_end: Option<Duration> = None;
        servers.retain(|server| {
            let end = state.pauses.end(&server.id).filter(|end| now < *end);
            first_end = first_end.into_iter().chain(end).min();
            end.is_none()
        });
        first_end
    }

    /// Number of servers that have asked this gateway for a pause that is not over.
    pub fn paused_servers(&self, now: Duration) -> usize {
        self.lock().pauses.paused_servers(now)
    }

    /// Records the request limit that a server states in a response to a request sent at `sent_at`.
    /// Returns whether it differs from what was known.
    pub fn on_request_limit(
        &self,
        server: &str,
        rate: Option<f64>,
        sent_at: Duration,
        now: Duration,
    ) -> bool {
        let mut state = self.lock();
        let limits = state.sends.limits_mut();
        let has_changed = limits.on_response(server_key(server), rate, sent_at, now);
        if has_changed {
            self.urgent.notify();
        }
        has_changed
    }

    /// Records what a peer has heard of the request limit of a server. Returns whether it differs
    /// from what was known.
    pub fn on_peer_request_limit(&self, limit: &RequestLimit, now: Duration) -> bool {
        let mut state = self.lock();
        let effect = state.sends.limits_mut().on_peer_report(limit, now);
        if effect == PeerReportEffect::Outdated {
            self.urgent.notify();
        }
        effect == PeerReportEffect::Changed
    }

    /// Request limits that a peer has to hear of which has heard of `revision`, or of nothing yet,
    /// and the present revision.
    pub fn request_limits_since(
        &self,
        revision: Option<LimitRevision>,
        now: Duration,
    ) -> (Vec<RequestLimit>, LimitRevision) {
        let state = self.lock();
        state.sends.limits().changed_since(revision, now)
    }

    /// Number of the last change of request limits.
    pub fn limit_revision(&self) -> LimitRevision {
        self.lock().sends.limits().revision()
    }

    /// Number of servers that state a request limit.
    pub fn limited_servers(&self) -> usize {
        self.lock().sends.limits().limited_servers()
    }

    /// Updates the slowdown of an engine: compares `taken`, the time to a first event, with the
    /// forecast from the engine's published figures.
    pub fn on_first_event(&self, server: &str, forecast: Duration, taken: Duration, now: Duration) {
        let mut state = self.lock();
        state
            .health
            .entry(server.into())
            .or_default()
            .on_latency(forecast, taken, now);
    }

    /// Counts a caller's request, which adds to the retry budget of the service.
    pub fn record_request(&self, service: &str, now: Duration) {
        self.retries
            .with(service, |budget, _| budget.record_first(now));
    }

    /// Takes one retry from the budget of the service; returns `false` if it is exhausted.
    pub fn claim_retry(&self, service: &str, now: Duration) -> bool {
        let gateways = self.lock().sends.shares().gateways();
        self.retries.with(service, |budget, limits| {
            budget.try_spend(now, limits, gateways)
        })
    }

    /// Whether [`Self::claim_retry`] would allow a retry.
    pub fn may_claim_retry(&self, service: &str, now: Duration) -> bool {
        let gateways = self.lock().sends.shares().gateways();
        self.retries.with(service, |budget, limits| {
            budget.may_spend(now, limits, gateways)
        })
    }

    /// What the retry budget of the service counts at present.
    pub fn repeat_counts(&self, service: &str, now: Duration) -> RepeatCounts {
        self.retries.with(service, |budget, _| budget.counts(now))
    }

    /// Adds a job to the load of its servers.
    pub fn start_job(&self, job: JobId, loads: &[JobLoad], now: Duration) {
        self.lock().load.start(job, loads, now);
        self.signal_change(loads);
    }

    /// Removes the prefill of a job from the load of its servers.
    pub fn on_prefill_done(&self, job: JobId, loads: &[JobLoad]) {
        self.lock().load.on_prefilled(job, loads);
        self.signal_change(loads);
    }

    /// Removes a job from the load of its servers.
    pub fn end_job(&self, job: JobId, loads: &[JobLoad]) {
        self.lock().load.end(job, loads);
        self.changed.notify();
    }

    /// Load that this gateway has placed on each server.
    pub fn local_load(&self, now: Duration) -> Vec<(ServerKey, ServerUsage)> {
        self.lock().load.local(now)
    }

    /// Replaces the load that a peer has placed on servers.
    pub fn on_peer_load(&self, peer: &str, servers: Vec<(ServerKey, ServerUsage)>, now: Duration) {
        self.lock().load.on_peer_report(peer, servers, now);
    }

    /// Signalled at each change of the load that this gateway places.
    pub fn changed(&self) -> &Signal {
        &self.changed
    }

    /// Signalled at changes that peers must hear of at once: a long prompt has started, has
    /// finished its prefill or has ended, or the store or a server's request limit has changed.
    pub fn urgent(&self) -> &Signal {
        &self.urgent
    }

    fn signal_change(&self, loads: &[JobLoad]) {
        self.changed.notify();
        if loads.iter().any(|load| load.is_long) {
            self.urgent.notify();
        }
    }

    /// Requests that all gateways together may send to one server of the service per second.
    fn send_bound(&self, service: &ServiceSpec) -> Option<f64> {
        cold_send_bound(service.cold_rate, self.cold_overage, self.cold_slack)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
