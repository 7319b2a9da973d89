//! Queue of prompts that wait for engines, and the assignment of engines to them.

use crate::crash_guard::{BLOCKED_REASON, blocked_retry_after, is_blocked, server_in_turn};
use crate::job::Job;
use crate::send_permit::SendPermit;
use crate::shared::Shared;
use crate::signal::Signal;
use crate::waiting_news::{HoldNotices, place_in_fleet_order};
use async_channel::Sender;
use async_io::Timer;
use futures_lite::future::or;
use policy::{
    BackendId, CapacityForecast, EngineCandidate, EnginePlacement, EngineProfile, LocalPrompt,
    PromptRequirements, QueuedPrompt, RankDemand, RefusedPrompt, RetryTurn, ReturnSchedule,
    SendTimes, ServiceName, ServiceSpec, SuspectKind, TeamsOverShare, cannot_be_served,
    is_short_prompt, leaves_urgent_room, next_check_after, place_prompt, service_key, sort_queue,
    suggest_retry_after_limit,
};
use proto::{BackendEntry, Suspect, TeamKey};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Callers are not told to come back later than this where servers are at their limits.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(15);

/// Prompts wait for the end of a pause that is at most this far off. Callers that are refused need about
/// as long to come back.
const MAX_PAUSE_WAIT: Duration = Duration::from_millis(200);
/// Reason of refusals while all servers are in pauses, for logs and metrics.
pub const PAUSED_REASON: &str = "servers asked for a pause";

/// Request for engines for one prompt.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    /// Id of the request, for logs.
    pub req: Box<str>,
    /// Service whose engines may serve the prompt.
    pub service: Arc<ServiceSpec>,
    /// Size and latency targets of the prompt.
    pub requirements: PromptRequirements,
    /// Priority rank; 0 is served first.
    pub rank: u8,
    /// Team of the caller.
    pub team: TeamKey,
    /// Time from which the wait is counted: the arrival of the request, or the start of a retry.
    pub since: Duration,
    /// Time at which the caller gives up.
    pub deadline: Duration,
    /// Servers that were already tried for the call, and are not assigned again.
    pub tried_servers: Vec<BackendId>,
    /// What may have to be blocked because it crashes engines.
    pub suspects: Box<[Suspect]>,
    /// Whether the prompt is served although a suspect of it is blocked.
    pub is_trial: bool,
    /// Its turn, if it is sent again after a crash.
    pub turn: Option<RetryTurn>,
}

/// Engines that are assigned to a prompt.
#[derive(Debug)]
pub struct Assignment {
    /// Engine that gets the request.
    pub server: BackendEntry,
    /// Engines that prefill parts of the prompt, with the number of tokens for which memory must be
    /// reserved there; 0 for none.
    pub helpers: Vec<(BackendEntry, u64)>,
    /// Permit to send the request to `server`.
    pub permit: SendPermit,
    /// Counts the prompt in the load of these engines until it is dropped.
    pub job: Job,
    /// Time that each engine takes to prefill its part.
    pub part_prefill_time: Duration,
    /// Forecast of the time to the first event.
    pub forecast: Duration,
    /// The same forecast from the engine's published figures, without its measured slowdown.
    pub published_forecast: Duration,
}

/// Refusal of a prompt that gets no engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoEngines {
    /// Reason for logs and metrics.
    pub reason: &'static str,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

#[derive(Debug)]
struct WaitingPrompt {
    queued: QueuedPrompt,
    request: PlacementRequest,
    notices: HoldNotices,
    tx: Sender<Result<Assignment, NoEngines>>,
}

/// Prompts of all services that wait for engines.
#[derive(Debug, Default)]
pub struct PromptQueue {
    waiting: Mutex<Vec<WaitingPrompt>>,
    /// Latest placements by rank, for each service.
    rank_demand: Mutex<HashMap<ServiceName, RankDemand>>,
    next_id: AtomicU64,
    wake_signal: Signal,
    /// Retry times given to callers, by service.
    returns: Mutex<HashMap<ServiceName, ReturnSchedule>>,
}

impl PromptQueue {
    /// Waits until engines are assigned to a prompt, or it is refused. Dropping the future removes
    /// the prompt from the queue.
    pub async fn assign(
        &self,
        shared: &Arc<Shared>,
        request: PlacementRequest,
    ) -> Result<Assignment, NoEngines> {
        let (tx, rx) = async_channel::bounded(1);
        let queued = QueuedPrompt {
            id: self.next_id.fetch_add(1, Ordering::Relaxed),
            rank: request.rank,
            team: request.team,
            request: request.requirements.clone(),
            queued_at: request.since,
            deadline: request.deadline,
        };
        self.lock().push(WaitingPrompt {
            notices: HoldNotices::new(request.req.clone()),
            queued,
            request,
            tx,
        });
        self.assign_waiting(shared);
        self.wake_signal.notify();
        rx.recv().await.unwrap_or(Err(NoEngines {
            reason: "shutdown",
            retry_after: Duration::ZERO,
        }))
    }

    /// Checks the waiting prompts from time to time while there are any.
    pub async fn run(shared: Arc<Shared>) {
        let queue = &shared.prompt_queue;
        loop {
            match queue.shortest_target() {
                None => queue.wake_signal.notified().await,
                Some(target) => {
                    let gateways = shared.fleet.gateways();
                    let pause = next_check_after(gateways, target, rand::random());
                    let timer = async {
                        Timer::after(pause).await;
                        queue.assign_waiting(&shared);
                    };
                    // A new prompt, with which all are checked, may need the next check sooner.
                    or(timer, queue.wake_signal.notified()).await;
                }
            }
        }
    }

    /// Shortest target for the first event of the waiting prompts; `None` if none waits.
    fn shortest_target(&self) -> Option<Duration> {
        let waiting = self.lock();
        let targets = waiting.iter();
        let targets = targets.map(|waiting| waiting.request.requirements.first_event_target);
        targets.min()
    }

    /// Assigns engines to all waiting prompts that can start, and refuses those that never can.
    fn assign_waiting(&self, shared: &Arc<Shared>) {
        let mut waiting = self.lock();
        waiting.retain(|waiting| !waiting.tx.is_closed());
        for service in waiting_services(&waiting) {
            self.assign_service(shared, &service, &mut waiting);
        }
        let services = waiting_services(&waiting);
        let services: Vec<_> = services.iter().map(|name| service_key(name)).collect();
        shared.waiting.on_assigned(&services);
        shared.metrics.set_waiting_prompts(waiting.len());
    }

    fn assign_service(
        &self,
        shared: &Arc<Shared>,
        service: &ServiceName,
        waiting: &mut Vec<WaitingPrompt>,
    ) {
        let now = shared.clock.now();
        let service_prompts = waiting
            .iter()
            .filter(|waiting| waiting.request.service.name == *service);
        let mut queued: Vec<_> = service_prompts
            .map(|waiting| waiting.queued.clone())
            .collect();
        let Some(first) = waiting
            .iter()
            .find(|waiting| waiting.request.service.name == *service)
        else {
            return;
        };
        let spec = first.request.service.clone();
        let Some(profile) = &spec.engine else {
            return;
        };
        let servers = shared.store_cache.usable_servers(service, now);
        let teams = queued.iter().map(|prompt| prompt.team);
        let over_share = shared.waiting.teams_over_share(teams, now);
        sort_queue(&mut queued, profile, servers.len(), &over_share, now);
        let last_deadline = queued.iter().map(|prompt| prompt.deadline).max();
        let end = last_deadline.unwrap_or(now) + MAX_RETRY_AFTER;
        let send_times = shared.fleet.send_times(&spec, &servers, now, end);
        let pass = AssignmentPass {
            shared,
            spec: &spec,
            profile,
            servers: &servers,
            send_times,
            over_share,
            waiting_prefill: prefill_time(profile, &queued),
            now,
        };
        let mut ahead = Vec::new();
        let mut left = Vec::new();
        for prompt in queued {
            let Some(index) = waiting
                .iter()
                .position(|waiting| waiting.queued.id == prompt.id)
            else {
                continue;
            };
            let Some(result) = pass.decide(&prompt, &waiting[index], &ahead) else {
                ahead.push(profile.prefill_time(prompt.request.prompt_tokens));
                let shares = pass.over_share.shares(prompt.team);
                waiting[index].notices.on_over_share(shared, shares);
                left.push(prompt);
                continue;
            };
            let waiting = waiting.swap_remove(index);
            if result.is_ok() {
                // Its prefill counts in the load of its engines from now on.
                ahead.push(Duration::ZERO);
            }
            // The caller may have left. The assignment is then dropped, which ends its job.
            let _ = waiting.tx.try_send(result);
        }
        let frames = &mut shared.waiting.lock().frames;
        frames.set_waiting(service_key(service), &left, profile, servers.len(), now);
    }

    fn lock_rank_demand(&self) -> MutexGuard<'_, HashMap<ServiceName, RankDemand>> {
        self.rank_demand
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<WaitingPrompt>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn waiting_services(waiting: &[WaitingPrompt]) -> Vec<ServiceName> {
    let mut names: Vec<_> = waiting
        .iter()
        .map(|waiting| waiting.request.service.name.clone())
        .collect();
    names.sort();
    names.dedup();
    names
}

/// Time that one engine would take to prefill all of these prompts.
fn prefill_time(profile: &EngineProfile, prompts: &[QueuedPrompt]) -> Duration {
    let times = prompts
        .iter()
        .map(|prompt| profile.prefill_time(prompt.request.prompt_tokens));
    times.sum()
}

/// Whether to count on an engine for the prefill of a waiting prompt: it can be reached, and no
/// request that decodes there has a shorter target for the gap between events than the prompt has.
/// A prefill would delay the events of such a request for too long.
fn can_prefill(engine: &EngineCandidate, requirements: &PromptRequirements) -> bool {
    !engine.is_unreachable() && engine.load.min_event_gap_target >= requirements.event_gap_target
}

/// One check of the waiting prompts of a service.
struct AssignmentPass<'a> {
    shared: &'a Arc<Shared>,
    spec: &'a Arc<ServiceSpec>,
    profile: &'a EngineProfile,
    servers: &'a [BackendEntry],
    /// When this gateway may send requests to the servers; `None` unless all state request limits.
    send_times: Option<SendTimes>,
    /// Teams that go behind others of their rank.
    over_share: TeamsOverShare,
    /// Prefill of the prompts that wait for the service at this gateway.
    waiting_prefill: Duration,
    now: Duration,
}

impl AssignmentPass<'_> {
    /// Assigns engines to a prompt or refuses it; `None` where it keeps waiting. `ahead` has the
    /// prefill times of the prompts that are served before it and wait.
    fn decide(
        &self,
        prompt: &QueuedPrompt,
        waiting: &WaitingPrompt,
        ahead: &[Duration],
    ) -> Option<Result<Assignment, NoEngines>> {
        let request = &waiting.request;
        if !request.is_trial && is_blocked(self.shared, &request.suspects) {
            return Some(Err(NoEngines {
                reason: BLOCKED_REASON,
                retry_after: blocked_retry_after(self.shared, &request.suspects),
            }));
        }
        let untried = self
            .servers
            .iter()
            .filter(|server| !request.tried_servers.contains(&server.id));
        let mut servers: Vec<_> = untried.cloned().collect();
        let pause_end = self.shared.fleet.remove_paused(&mut servers, self.now);
        if servers.is_empty() {
            return match pause_end {
                None => Some(Err(self.refuse("no server", prompt, &[]))),
                Some(end) => self.refuse_until(end),
            };
        }
        if let Some(refusal) = self.refuse_beyond_limits(prompt, ahead.len()) {
            return Some(Err(refusal));
        }
        let mut engines = self
            .shared
            .fleet
            .engine_candidates(self.spec, &servers, self.now);
        if let Some(turn) = request.turn
            && is_short_prompt(self.profile, &prompt.request)
        {
            self.prefer_engine_in_turn(turn, &servers, &mut engines);
        }
        let prefill_engines = engines
            .iter()
            .filter(|engine| can_prefill(engine, &prompt.request));
        if prompt.would_miss_deadline(self.profile, prefill_engines.count(), self.now) {
            return Some(Err(self.refuse("too late to be read", prompt, &engines)));
        }
        if cannot_be_served(self.profile, prompt, &engines, ahead, self.now) {
            return Some(Err(self.refuse("engines too far behind", prompt, &engines)));
        }
        let requirements = prompt.request_at(self.now);
        let herd_avoidance = self
            .shared
            .fleet
            .herd_avoidance(self.spec, &servers, self.now);
        let place = |engines: &[EngineCandidate]| {
            place_prompt(self.profile, &requirements, engines, herd_avoidance)
        };
        let is_short = is_short_prompt(self.profile, &requirements);
        let placement = if is_short {
            place(&engines)?
        } else {
            let local = LocalPrompt {
                service: service_key(&self.spec.name),
                order: prompt.order(self.profile, self.servers.len(), &self.over_share, self.now),
                requirements: &requirements,
            };
            let notices = &waiting.notices;
            let over_share = &self.over_share;
            place_in_fleet_order(self.shared, notices, &local, &engines, over_share, place)?
        };
        let mut demand = self.shared.prompt_queue.lock_rank_demand();
        let demand = demand.entry(self.spec.name.clone()).or_default();
        let urgent_rate =
            demand.urgent_share(prompt.rank, self.now) * herd_avoidance.placement_rate;
        if !is_short
            && !leaves_urgent_room(
                self.profile,
                &requirements,
                &engines,
                &placement,
                urgent_rate,
            )
        {
            return None;
        }
        let slowdown = engines[placement.decoder].slowdown;
        let assignment = self.assign(&requirements, &placement, &servers, slowdown)?;
        demand.record(prompt.rank, is_short, self.now);
        let engines = 1 + placement.helpers.len() as u32;
        let prefill_time = placement.part_prefill_time * engines;
        self.shared
            .waiting
            .on_start(prompt.team, prefill_time, self.now);
        Some(Ok(assignment))
    }

    /// Makes the engine whose turn it is the first choice for a prompt whose last engine crashed.
    fn prefer_engine_in_turn(
        &self,
        turn: RetryTurn,
        servers: &[BackendEntry],
        engines: &mut [EngineCandidate],
    ) {
        let is_suspect = |index: usize| engines[index].suspect.is_some();
        let Some(preferred) = server_in_turn(self.shared, turn, servers, is_suspect) else {
            return;
        };
        for (index, engine) in engines.iter_mut().enumerate() {
            engine.suspect = (index != preferred).then_some(SuspectKind::Unreachable);
        }
    }

    /// Refuses a prompt that the servers would take too late because of the limits that they state.
    fn refuse_beyond_limits(&self, prompt: &QueuedPrompt, ahead: usize) -> Option<NoEngines> {
        let send_times = self.send_times.as_ref()?;
        let start = send_times.after(ahead);
        // Engines with a limit do not help each other.
        if start.is_some_and(|start| !prompt.would_miss_deadline(self.profile, 1, start)) {
            return None;
        }
        let time = send_times.time_to_return(ahead);
        let wait = time.map(|time| time.saturating_sub(self.now));
        Some(NoEngines {
            reason: "servers at their limits",
            retry_after: suggest_retry_after_limit(wait, rand::random()),
        })
    }

    /// Refuses a prompt while all servers are in pauses of which the first ends at `end`; `None` where
    /// that is soon, so that the prompt waits.
    fn refuse_until(&self, end: Duration) -> Option<Result<Assignment, NoEngines>> {
        let wait = end.saturating_sub(self.now);
        let refusal = NoEngines {
            reason: PAUSED_REASON,
            retry_after: suggest_retry_after_limit(Some(wait), rand::random()),
        };
        (wait > MAX_PAUSE_WAIT).then_some(Err(refusal))
    }

    fn refuse(
        &self,
        reason: &'static str,
        prompt: &QueuedPrompt,
        engines: &[EngineCandidate],
    ) -> NoEngines {
        let prefill_time = self.profile.prefill_time(prompt.request.prompt_tokens);
        let backlogs = engines.iter().map(|engine| engine.load.prefill_remaining);
        let forecast = CapacityForecast {
            backlog: backlogs.sum(),
            waiting: self.waiting_prefill.saturating_sub(prefill_time),
            engines: engines.len(),
            gateways: self.shared.fleet.gateways(),
        };
        let refused = RefusedPrompt {
            rank: prompt.rank,
            prefill_time,
            remaining: prompt.deadline.saturating_sub(self.now),
        };
        let queue = &self.shared.prompt_queue;
        let mut returns = queue.returns.lock().unwrap_or_else(PoisonError::into_inner);
        // Times count from the start of the process.
        let schedule = returns
            .entry(self.spec.name.clone())
            .or_insert_with(|| ReturnSchedule::new(Duration::ZERO));
        NoEngines {
            reason,
            retry_after: schedule.assign(refused, forecast, self.now, rand::random()),
        }
    }

    /// Returns `None` if a request that is not in the queue has taken the engine's last permit.
    fn assign(
        &self,
        requirements: &PromptRequirements,
        placement: &EnginePlacement,
        servers: &[BackendEntry],
        slowdown: f64,
    ) -> Option<Assignment> {
        let helpers = placement.helpers.iter();
        let helpers: Vec<_> = helpers
            .map(|helper| (servers[helper.engine].clone(), helper.reserved_tokens))
            .collect();
        let server = servers[placement.decoder].clone();
        let permit = SendPermit::take(self.shared, self.spec, &server.id)?;
        let is_long = !is_short_prompt(self.profile, requirements);
        let job = Job::start(
            self.shared,
            requirements,
            placement.part_prefill_time,
            is_long,
            &server,
            &helpers,
        );
        Some(Assignment {
            server,
            helpers,
            permit,
            job,
            part_prefill_time: placement.part_prefill_time,
            forecast: placement.first_event_forecast,
            published_forecast: placement.first_event_forecast.div_f64(slowdown),
        })
    }
}
