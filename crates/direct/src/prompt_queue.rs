//! Queue of prompts that wait for engines, and the assignment of engines to them.

use crate::assignment::{Assignment, NoServer};
use crate::assignment_pass::AssignmentPass;
use crate::hold_notices::HoldNotices;
use crate::shared::Shared;
use crate::signal::Signal;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::future::or;
use policy::{
    BackendId, EngineProfile, PromptRequirements, QueuedPrompt, RankDemand, RetryTurn,
    ReturnSchedule, ServiceName, ServiceSpec, next_check_after, service_key, sort_queue,
};
use proto::{Suspect, TeamKey};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Callers are not told to come back later than this where servers are at their limits.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(15);
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
    /// Whether the request was sent before.
    pub is_retry: bool,
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

#[derive(Debug)]
pub(crate) struct WaitingPrompt {
    pub(crate) queued: QueuedPrompt,
    pub(crate) request: PlacementRequest,
    pub(crate) notices: HoldNotices,
    pub(crate) tx: Sender<Result<Assignment, NoServer>>,
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
    ) -> Result<Assignment, NoServer> {
        let (tx, rx) = async_channel::bounded(1);
        let queued = QueuedPrompt {
            id: self.next_id.fetch_add(1, Ordering::Relaxed),
            rank: request.rank,
            team: request.team,
            is_retry: request.is_retry,
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
        rx.recv().await.unwrap_or(Err(NoServer {
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

    /// Checks the waiting prompts now, as the process begins to drain. Returns how many wait on.
    pub fn check(&self, shared: &Arc<Shared>) -> usize {
        self.assign_waiting(shared);
        self.lock().len()
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
            drain: shared.draining.times(),
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
                let shares = prompt.shares_over(&pass.over_share);
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

    pub(crate) fn lock_returns(&self) -> MutexGuard<'_, HashMap<ServiceName, ReturnSchedule>> {
        self.returns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn lock_rank_demand(&self) -> MutexGuard<'_, HashMap<ServiceName, RankDemand>> {
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
