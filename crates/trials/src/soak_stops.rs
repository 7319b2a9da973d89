//! A soak of planned stops in calm: gateways are stopped in turn under clients that keep their
//! connections, that open new ones until the gateway is gone, and whose prompts wait for engines.

use crate::direct_soak::{SoakFigures, keep_logs_of_failure};
use crate::error::TrialError;
use crate::soak_client::{Client, ClientCall, ClientRequest, Ending};
use crate::soak_declarations::{SOAK_KEY, SoakDeclarations};
use crate::soak_fleet::{FleetSize, PeerLinks, SoakFleet, SoakGateway, gateway_violations};
use crate::soak_growth::RECOVERY_BOUND;
use crate::soak_log::log_line;
use crate::soak_losses::lost_request;
use crate::soak_memory::check_memory;
use crate::soak_probes::is_in_touch;
use crate::soak_rules::{SERVED_IN_CALM, broken_answer, held_past_limit, too_few_served};
use async_io::Timer;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use runtime::Executor;
use standins::StandinServer;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for a gateway that started to be in touch again, and between two stops of it.
const CALM: Duration = Duration::from_secs(4);
const PROMPT_TIME_LIMIT: Duration = Duration::from_secs(15);
const TIME_LIMIT: Duration = Duration::from_secs(8);
const RECONNECT_INTERVAL: Duration = Duration::from_millis(50);
const LONG_PROMPT: u64 = 300_000;
/// Needs the memory of two engines.
const SPAN_PROMPT: u64 = 500_000;
const SHORT_PROMPT: u64 = 1_000;
/// Violations of one kind that are printed in full.
const MAX_PRINTED: usize = 12;

/// Size and duration of a soak of planned stops.
#[derive(Debug, Clone, Copy)]
pub struct StopPlan {
    /// Seed of the order and times of stops and requests.
    pub seed: u64,
    /// Numbers of processes and stand-ins.
    pub size: FleetSize,
    /// Time during which stops begin.
    pub time: Duration,
    /// Gateways that may be stopped at the same time.
    pub stops_at_once: usize,
    /// Clients of each kind at each gateway.
    pub clients: usize,
    /// Clients at each gateway that send long prompts.
    pub prompt_clients: usize,
    /// Clients at each gateway that send prompts larger than the memory of an engine.
    pub span_clients: usize,
}

/// Runs a soak of planned stops to its end. Fails if a process or a stand-in cannot be started or
/// signalled; broken guarantees are part of the result.
pub async fn run_stop_soak(executor: &Executor, plan: StopPlan) -> Result<SoakFigures, TrialError> {
    let declarations = SoakDeclarations {
        version: 1,
        ..SoakDeclarations::default()
    };
    let fleet = SoakFleet::start(executor, plan.size, PeerLinks::Direct, |store| {
        store.put("op", "config", &declarations.to_json());
    })?;
    let figures = run(executor, plan, &fleet).await;
    fleet.end().await;
    keep_logs_of_failure(&fleet.directory, &figures);
    figures
}

async fn run(
    executor: &Executor,
    plan: StopPlan,
    fleet: &SoakFleet,
) -> Result<SoakFigures, TrialError> {
    let mut figures = SoakFigures::default();
    if let Some(n) = fleet.find_unready(START_TIMEOUT).await {
        figures
            .violations
            .push(format!("soaked-{n} is never ready"));
        return Ok(figures);
    }
    let calls = Arc::new(Mutex::new(Vec::new()));
    let stop = Instant::now() + CALM + plan.time;
    let mut tasks = Vec::new();
    for (n, gateway) in fleet.gateways.iter().enumerate() {
        let kinds = [ClientKind::Kept, ClientKind::New].repeat(plan.clients);
        let kinds = kinds.into_iter();
        let kinds = kinds.chain([ClientKind::LongPrompt].repeat(plan.prompt_clients));
        let kinds = kinds.chain([ClientKind::SpanPrompt].repeat(plan.span_clients));
        for (number, kind) in kinds.enumerate() {
            let seed = plan.seed ^ (((n * 1_000 + number) as u64) << 20);
            let load = Load {
                kind,
                client: Client::new(n, gateway.address),
                name: format!("{n}-{number}"),
                rng: SmallRng::seed_from_u64(seed),
                calls: calls.clone(),
            };
            tasks.push(executor.spawn(load.run(stop)));
        }
    }
    Timer::after(CALM).await;
    let stops = stop_in_turn(executor, plan, &fleet.gateways);
    for stop in stops {
        figures.faults += stop.await?;
    }
    for task in tasks {
        task.await;
    }
    let calls = std::mem::take(&mut *calls.lock().unwrap_or_else(PoisonError::into_inner));
    check(fleet, &calls, &mut figures).await;
    if let Some(n) = fleet.find_unready(RECOVERY_BOUND).await {
        let text = format!("READY: soaked-{n} is not ready {RECOVERY_BOUND:?} after the last stop");
        figures.violations.push(text);
    }
    Ok(figures)
}

/// Tasks that stop gateways in turn, each of them its own share; they return how many stops there were.
fn stop_in_turn(
    executor: &Executor,
    plan: StopPlan,
    gateways: &[SoakGateway],
) -> Vec<impl Future<Output = Result<usize, TrialError>> + use<>> {
    let end = Instant::now() + plan.time;
    let lanes = plan.stops_at_once.clamp(1, gateways.len());
    let tasks = (0..lanes).map(|lane| {
        let gateways: Vec<_> = gateways.iter().skip(lane).step_by(lanes).cloned().collect();
        let mut rng = SmallRng::seed_from_u64(plan.seed.wrapping_add(lane as u64));
        executor.spawn(async move {
            let mut stops = 0;
            let first = rng.random_range(0..gateways.len());
            for n in first.. {
                Timer::after(Duration::from_millis(rng.random_range(0..1_500))).await;
                if Instant::now() > end {
                    break;
                }
                let pause = Duration::from_millis(rng.random_range(0..400));
                gateways[n % gateways.len()].stop_and_start(pause).await?;
                stops += 1;
                Timer::after(CALM).await;
            }
            Ok(stops)
        })
    });
    tasks.collect()
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClientKind {
    /// Keeps its connection as long as it may.
    Kept,
    /// Opens a connection for each request.
    New,
    /// Sends prompts that keep an engine busy for seconds.
    LongPrompt,
    /// Sends prompts that need memory of several engines.
    SpanPrompt,
}

impl ClientKind {
    fn prompt(self) -> u64 {
        match self {
            Self::Kept | Self::New => SHORT_PROMPT,
            Self::LongPrompt => LONG_PROMPT,
            Self::SpanPrompt => SPAN_PROMPT,
        }
    }
}

#[derive(Debug)]
struct Load {
    kind: ClientKind,
    client: Client,
    name: String,
    rng: SmallRng,
    calls: Arc<Mutex<Vec<ClientCall>>>,
}

impl Load {
    async fn run(mut self, stop: Instant) {
        let mut count = 0;
        while Instant::now() < stop {
            count += 1;
            let request = self.request(count);
            if self.kind != ClientKind::Kept {
                self.client.disconnect();
            }
            let call = self.client.call(request).await;
            let pause = self.pause(&call);
            self.record(call);
            Timer::after(pause).await;
        }
    }

    fn record(&self, call: ClientCall) {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.push(call);
    }

    fn request(&mut self, count: usize) -> ClientRequest {
        let routes = match self.kind {
            ClientKind::Kept => &["lookup", "once", "stream", "single-run"][..],
            ClientKind::New => &["once", "once", "lookup", "single-run"],
            ClientKind::LongPrompt | ClientKind::SpanPrompt => &["stream", "stream", "single-run"],
        };
        let route = routes[self.rng.random_range(0..routes.len())];
        let prompt = self.kind.prompt();
        let is_long = prompt != SHORT_PROMPT;
        let resumes = route == "stream" && !is_long && self.rng.random_bool(0.2);
        ClientRequest {
            id: format!("soak-{}-{count}", self.name),
            path: format!("/{route}/x"),
            key: SOAK_KEY.into(),
            prompt,
            last_event_id: resumes.then_some(5),
            time_limit: if is_long {
                PROMPT_TIME_LIMIT
            } else {
                TIME_LIMIT
            },
        }
    }

    fn pause(&mut self, call: &ClientCall) -> Duration {
        let refusal = call.answer().and_then(|response| response.retry_after);
        match (refusal, &call.ending) {
            (Some(seconds), _) => Duration::try_from_secs_f64(seconds).unwrap_or_default(),
            (None, Ending::NotConnected) => RECONNECT_INTERVAL,
            (None, _) if self.kind == ClientKind::Kept && self.rng.random_bool(0.05) => {
                Duration::from_millis(self.rng.random_range(500..3_000))
            }
            (None, _) => Duration::from_millis(self.rng.random_range(20..250)),
        }
    }
}

async fn check(fleet: &SoakFleet, calls: &[ClientCall], figures: &mut SoakFigures) {
    let servers = fleet.server_view();
    let mut logs = Vec::new();
    for gateway in &fleet.gateways {
        logs.push(gateway.log().await);
    }
    let mut in_touch = Vec::new();
    for call in calls {
        let upsets = fleet.gateways[call.gateway].upsets.upsets();
        if matches!(call.ending, Ending::NotConnected) {
            figures.refused_connections += 1;
            continue;
        }
        figures.calls += 1;
        if is_in_touch(&upsets, call.sent_at, call.ended_at) {
            in_touch.push(call);
            let is_plain = ["/once/x", "/lookup/x"].contains(&&*call.request.path);
            if is_plain {
                figures.due.record(call);
            }
        }
        figures.served += usize::from(call.is_served());
        let broken = broken_answer(call, servers.runs(call)).into_iter();
        let broken = broken.chain(lost_request(call, &upsets, servers.work(call)));
        for violation in broken {
            let id = &call.request.id;
            let mut text = format!("{id} {}: {violation}", call.request.path);
            if figures.violations.len() < MAX_PRINTED {
                text.push_str(&log_line(&logs[call.gateway], id));
            }
            figures.violations.push(text);
        }
    }
    figures.violations.extend(held_past_limit(&in_touch));
    figures
        .violations
        .extend(too_few_served(figures.due, SERVED_IN_CALM));
    figures
        .violations
        .extend(gateway_violations(&fleet.gateways).await);
    let servers = fleet.servers.iter().map(StandinServer::standin);
    let (idle, reservations) = check_memory(servers);
    figures.violations.extend(idle);
    figures.reservations = reservations;
}
