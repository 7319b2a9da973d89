//! Prompts that wait for engines, and the assignment of engines to them.

use crate::job::Job;
use crate::shared::Shared;
use crate::signal::Signal;
use async_channel::Sender;
use async_io::Timer;
use policy::{
    BackendId, EngineCandidate, EnginePlacement, EngineProfile, PlacementRequest, QueuedPrompt,
    ServiceName, ServiceSpec, is_short_prompt, place_prompt, sort_queue, suggest_retry_after,
};
use proto::BackendEntry;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time between looks at waiting prompts, as reads end without a message.
const LOOK_INTERVAL: Duration = Duration::from_millis(8);

/// A prompt that asks for engines.
#[derive(Debug, Clone)]
pub struct DeskAsk {
    /// The service.
    pub service: Arc<ServiceSpec>,
    /// What the prompt needs.
    pub need: PlacementRequest,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// When the caller's request arrived.
    pub since: Duration,
    /// When its caller gives up.
    pub gives_up: Duration,
    /// Servers that have had it already.
    pub tried: Vec<BackendId>,
}

/// Engines for a prompt.
#[derive(Debug)]
pub struct Assignment {
    /// Engine that gets the request.
    pub server: BackendEntry,
    /// Engines that read parts, with the tokens of their memory that are needed.
    pub helpers: Vec<(BackendEntry, u64)>,
    /// The work, as it is reckoned at these engines until it is dropped.
    pub job: Job,
    /// Time that each engine reads.
    pub part: Duration,
    /// Forecast of the time to the first event.
    pub forecast: Duration,
    /// The same by the published figures alone.
    pub usual: Duration,
}

/// Why a prompt gets no engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoEngines {
    /// Short reason for logs and metrics.
    pub reason: &'static str,
    /// When the caller should come back.
    pub come_back: Duration,
}

#[derive(Debug)]
struct Waiting {
    waiter: QueuedPrompt,
    ask: DeskAsk,
    tx: Sender<Result<Assignment, NoEngines>>,
}

/// Prompts that wait, by service.
#[derive(Debug, Default)]
pub struct Desk {
    waiting: Mutex<Vec<Waiting>>,
    next: AtomicU64,
    woken: Signal,
}

impl Desk {
    /// Waits for engines. Dropping the future takes the prompt off the desk.
    pub async fn assign(
        &self,
        shared: &Arc<Shared>,
        ask: DeskAsk,
    ) -> Result<Assignment, NoEngines> {
        let (tx, rx) = async_channel::bounded(1);
        let waiter = QueuedPrompt {
            id: self.next.fetch_add(1, Ordering::Relaxed),
            rank: ask.rank,
            request: ask.need.clone(),
            queued_at: ask.since,
            deadline: ask.gives_up,
        };
        self.lock().push(Waiting { waiter, ask, tx });
        self.look(shared);
        rx.recv().await.unwrap_or(Err(NoEngines {
            reason: "shutdown",
            come_back: Duration::ZERO,
        }))
    }

    /// Looks soon whether a waiting prompt can start.
    pub fn wake(&self) {
        self.woken.notify();
    }

    /// Looks again whenever work ends, and at intervals while prompts wait.
    pub async fn run(shared: Arc<Shared>) {
        loop {
            let woken = shared.desk.woken.notified();
            if shared.desk.is_empty() {
                woken.await;
            } else {
                let interval = async {
                    Timer::after(LOOK_INTERVAL).await;
                };
                futures_lite::future::or(woken, interval).await;
            }
            shared.desk.look(&shared);
        }
    }

    fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Gives engines to all waiting prompts that can start, and answers those that never can.
    fn look(&self, shared: &Arc<Shared>) {
        let mut waiting = self.lock();
        waiting.retain(|waiting| !waiting.tx.is_closed());
        for service in services(&waiting) {
            self.look_at(shared, &service, &mut waiting);
        }
        shared.metrics.set_waiting(waiting.len());
    }

    fn look_at(&self, shared: &Arc<Shared>, service: &ServiceName, waiting: &mut Vec<Waiting>) {
        let now = shared.clock.now();
        let asks = waiting
            .iter()
            .filter(|waiting| waiting.ask.service.name == *service);
        let mut waiters: Vec<_> = asks.map(|waiting| waiting.waiter.clone()).collect();
        let Some(spec) = waiting
            .iter()
            .find(|waiting| waiting.ask.service.name == *service)
        else {
            return;
        };
        let spec = spec.ask.service.clone();
        let Some(model) = &spec.engine else {
            return;
        };
        let servers = shared.knowledge.usable(service, now);
        sort_queue(&mut waiters, model, servers.len(), now);
        let queue = Queue {
            shared,
            spec: &spec,
            model,
            servers: &servers,
            now,
        };
        for waiter in waiters {
            let Some(at) = waiting
                .iter()
                .position(|waiting| waiting.waiter.id == waiter.id)
            else {
                continue;
            };
            if let Some(result) = queue.decide(&waiter, &waiting[at].ask) {
                let waiting = waiting.swap_remove(at);
                // The caller may have left; the assignment then ends as it is dropped.
                let _ = waiting.tx.try_send(result);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Waiting>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn services(waiting: &[Waiting]) -> Vec<ServiceName> {
    let mut names: Vec<_> = waiting
        .iter()
        .map(|waiting| waiting.ask.service.name.clone())
        .collect();
    names.sort();
    names.dedup();
    names
}

/// Whether an engine could read for a prompt without making the writers there pause too long for
/// the prompt's own kind; others are not to be reckoned with while it waits.
fn can_read_beside(engine: &EngineCandidate, need: &PlacementRequest) -> bool {
    !engine.suspect && engine.load.tightest_gap >= need.event_gap_target
}

/// One look at the prompts of a service.
struct Queue<'a> {
    shared: &'a Arc<Shared>,
    spec: &'a ServiceSpec,
    model: &'a EngineProfile,
    servers: &'a [BackendEntry],
    now: Duration,
}

impl Queue<'_> {
    /// What becomes of a prompt now; `None` where it waits on.
    fn decide(
        &self,
        waiter: &QueuedPrompt,
        ask: &DeskAsk,
    ) -> Option<Result<Assignment, NoEngines>> {
        let untried = self
            .servers
            .iter()
            .filter(|server| !ask.tried.contains(&server.id));
        let servers: Vec<_> = untried.cloned().collect();
        if servers.is_empty() {
            return Some(Err(self.refuse("no server", &[])));
        }
        let engines = self.shared.fleet.engines(self.spec, &servers, self.now);
        let readers = engines
            .iter()
            .filter(|engine| can_read_beside(engine, &waiter.request));
        if waiter.would_miss_deadline(self.model, readers.count(), self.now) {
            let loads: Vec<_> = engines.iter().map(|engine| engine.load.reading).collect();
            return Some(Err(self.refuse("too late to be read", &loads)));
        }
        let need = waiter.request_at(self.now);
        let scatter = self.shared.fleet.scatter(self.spec, self.now);
        let placement = place_prompt(self.model, &need, &engines, scatter)?;
        let pace = engines[placement.decoder].slowdown;
        Some(Ok(self.assign(&need, &placement, &servers, pace)))
    }

    fn refuse(&self, reason: &'static str, loads: &[Duration]) -> NoEngines {
        let backlog = loads.iter().sum();
        let come_back = suggest_retry_after(backlog, loads.len(), rand::random());
        NoEngines { reason, come_back }
    }

    fn assign(
        &self,
        need: &PlacementRequest,
        placement: &EnginePlacement,
        servers: &[BackendEntry],
        pace: f64,
    ) -> Assignment {
        let helpers = placement.helpers.iter();
        let helpers: Vec<_> = helpers
            .map(|helper| (servers[helper.engine].clone(), helper.reserved_tokens))
            .collect();
        let server = servers[placement.decoder].clone();
        let long = !is_short_prompt(self.model, need);
        let job = Job::start(
            self.shared,
            need,
            placement.part_prefill_time,
            long,
            &server,
            &helpers,
        );
        Assignment {
            server,
            helpers,
            job,
            part: placement.part_prefill_time,
            forecast: placement.first_event_forecast,
            usual: placement.first_event_forecast.div_f64(pace),
        }
    }
}
