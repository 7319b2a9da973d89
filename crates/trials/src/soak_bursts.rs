//! A soak of streams that come in bursts to gateways before engines that may be slower than declared, alone and
//! around stops of one, some and all gateways.

use crate::direct_rig::registration;
use crate::direct_soak::{SoakFigures, keep_logs_of_failure};
use crate::error::TrialError;
use crate::fault_proxy::LinkFault;
use crate::soak_client::{Client, ClientCall, ClientRequest, Ending};
use crate::soak_declarations::{SOAK_KEY, SoakDeclarations};
use crate::soak_fleet::{
    DOMAINS, FleetSize, PeerLinks, SoakFleet, SoakGateway, gateway_violations,
};
use crate::soak_log::log_line;
use crate::soak_losses::lost_request;
use crate::soak_rules::{TIME_LIMIT_SLACK, broken_answer};
use async_io::Timer;
use futures_lite::future::or;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use runtime::Executor;
use serde_json::Value;
use standins::ServerBehaviour;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time from the start of all gateways to the first burst.
const CALM: Duration = Duration::from_secs(4);
const RESTART_PAUSE: Duration = Duration::from_secs(1);
/// Gateways that are stopped together get SIGTERM within this time.
const STOP_SPREAD_MS: u64 = 100;
const TIME_LIMIT: Duration = Duration::from_secs(10);
const PROMPT_TOKENS: std::ops::Range<u64> = 2_000..14_000;
/// Calls that are printed, of each kind.
const MAX_PRINTED: usize = 12;

/// Size and duration of a soak of bursts.
#[derive(Debug, Clone, Copy)]
pub struct BurstPlan {
    /// Seed of requests, stops and disturbances.
    pub seed: u64,
    /// Numbers of processes and stand-ins.
    pub size: FleetSize,
    /// Time that engines take, as a multiple of the declared one.
    pub slowness: f64,
    /// Declared time to the first event.
    pub target: Duration,
    /// Streams of a burst, to all gateways in turn.
    pub streams: usize,
    /// Number of bursts.
    pub bursts: usize,
    /// Time between the starts of two bursts.
    pub burst_interval: Duration,
    /// Gateways that are stopped at the same time; none if it is zero.
    pub stops_at_once: usize,
    /// Time from the first burst to the first stop.
    pub first_stop: Duration,
    /// Time between two stops.
    pub stop_interval: Duration,
    /// Whether callers send late, in parts or read slowly, engines stall, servers leave, declarations change and the
    /// store is lost for a moment.
    pub is_disturbed: bool,
}

/// Runs a soak of bursts to its end. Fails if a process or a stand-in cannot be started or signalled; broken
/// guarantees are part of the result.
pub async fn run_burst_soak(
    executor: &Executor,
    plan: BurstPlan,
) -> Result<SoakFigures, TrialError> {
    let links = PeerLinks::Direct;
    let fleet = SoakFleet::start_slowed(executor, plan.size, links, plan.slowness, |store| {
        store.put("op", "config", &declarations(1, plan));
    })?;
    let figures = run(executor, plan, &fleet).await;
    fleet.end().await;
    keep_logs_of_failure(&fleet.directory, &figures);
    figures
}

fn declarations(version: u64, plan: BurstPlan) -> Value {
    let content = SoakDeclarations {
        version,
        idle_routes: version as usize,
        ..SoakDeclarations::default()
    };
    let mut content = content.to_json();
    for route in content["Routes"].as_array_mut().into_iter().flatten() {
        route["TargetLatencyMs"] = (plan.target.as_millis() as u64).into();
        route["TargetGapMs"] = 200.into();
    }
    content
}

async fn run(
    executor: &Executor,
    plan: BurstPlan,
    fleet: &SoakFleet,
) -> Result<SoakFigures, TrialError> {
    let mut figures = SoakFigures::default();
    if let Some(n) = fleet.find_unready(START_TIMEOUT).await {
        let text = format!("soaked-{n} is never ready");
        figures.violations.push(text);
        return Ok(figures);
    }
    let calls = Arc::new(Mutex::new(Vec::new()));
    let start = Instant::now() + CALM;
    let end = start + plan.burst_interval * plan.bursts as u32;
    let callers = (0..plan.streams).map(|n| {
        let gateway = n % fleet.gateways.len();
        let client = Client::new(gateway, fleet.gateways[gateway].address);
        let caller = Caller {
            client,
            number: n,
            rng: SmallRng::seed_from_u64(plan.seed ^ ((n as u64 + 1) << 20)),
            calls: calls.clone(),
            plan,
        };
        executor.spawn(caller.run(start))
    });
    let callers: Vec<_> = callers.collect();
    let stops = stop_in_turn(executor, plan, &fleet.gateways, start, end);
    let work = async {
        for caller in callers {
            caller.await;
        }
    };
    if plan.is_disturbed {
        or(work, disturb(fleet, plan)).await;
    } else {
        work.await;
    }
    figures.faults = stops.await?;
    let calls = std::mem::take(&mut *calls.lock().unwrap_or_else(PoisonError::into_inner));
    check(fleet, &calls, &mut figures).await;
    Ok(figures)
}

/// Stops gateways in turn, as many at once as planned, until `end`; returns how many stops there were.
fn stop_in_turn(
    executor: &Executor,
    plan: BurstPlan,
    gateways: &[SoakGateway],
    start: Instant,
    end: Instant,
) -> impl Future<Output = Result<usize, TrialError>> + use<> {
    let gateways = gateways.to_vec();
    let spawner = executor.clone();
    executor.spawn(async move {
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let (mut stops, mut next) = (0, rng.random_range(0..gateways.len()));
        let mut at = start + plan.first_stop;
        while at < end && plan.stops_at_once > 0 {
            Timer::at(at).await;
            let stopped = (0..plan.stops_at_once.min(gateways.len())).map(|_| {
                let gateway = gateways[next % gateways.len()].clone();
                next += 1;
                let offset = Duration::from_millis(rng.random_range(0..STOP_SPREAD_MS));
                spawner.spawn(async move {
                    Timer::after(offset).await;
                    gateway.stop_and_start(RESTART_PAUSE).await
                })
            });
            for stop in stopped.collect::<Vec<_>>() {
                stop.await?;
                stops += 1;
            }
            at = (at + plan.stop_interval).max(Instant::now());
        }
        Ok(stops)
    })
}

/// Disturbs engines, rows of servers, declarations and the store in turn, and does not end.
async fn disturb(fleet: &SoakFleet, plan: BurstPlan) {
    let mut rng = SmallRng::seed_from_u64(plan.seed.wrapping_mul(31));
    let mut version = 1;
    loop {
        Timer::after(Duration::from_millis(rng.random_range(200..1_500))).await;
        let engine = rng.random_range(0..plan.size.engines);
        let server = &fleet.servers[engine];
        let register = |state| {
            let domain = DOMAINS[engine % DOMAINS.len()];
            let row = registration(domain, "engines", server.local_addr(), state);
            let name = format!("engines-{engine}");
            fleet.store.standin().put("servers", &name, &row);
        };
        match rng.random_range(0..4) {
            0 => {
                let stall = ServerBehaviour::PauseAfter(rng.random_range(0..6));
                server.standin().set_behaviour(stall);
                Timer::after(Duration::from_millis(rng.random_range(500..2_000))).await;
                server.standin().set_behaviour(ServerBehaviour::Normal);
            }
            1 => {
                register("draining");
                Timer::after(Duration::from_secs(2)).await;
                let name = format!("engines-{engine}");
                fleet.store.standin().remove("servers", &name);
                Timer::after(Duration::from_secs(1)).await;
                register("ready");
            }
            2 => {
                version += 1;
                let content = declarations(version, plan);
                fleet.store.standin().put("op", "config", &content);
            }
            _ => {
                let faults = [LinkFault::Cut, LinkFault::Silent, LinkFault::Status(503)];
                let fault = faults[rng.random_range(0..faults.len())];
                let set = |fault| {
                    for gateway in &fleet.gateways {
                        gateway.store_link.set(fault);
                    }
                };
                set(fault);
                Timer::after(Duration::from_millis(rng.random_range(200..2_000))).await;
                set(LinkFault::None);
            }
        }
    }
}

#[derive(Debug)]
struct Caller {
    client: Client,
    number: usize,
    rng: SmallRng,
    calls: Arc<Mutex<Vec<ClientCall>>>,
    plan: BurstPlan,
}

impl Caller {
    async fn run(mut self, start: Instant) {
        let patience = TIME_LIMIT_SLACK;
        for burst in 0..self.plan.bursts {
            Timer::at(start + self.plan.burst_interval * burst as u32).await;
            let ms = |rng: &mut SmallRng, range| Duration::from_millis(rng.random_range(range));
            let (mut write, mut read) = (Duration::ZERO, Duration::ZERO);
            if self.plan.is_disturbed {
                match self.rng.random_range(0..6) {
                    0 => write = ms(&mut self.rng, 10..4_000),
                    1 => read = ms(&mut self.rng, 50..300),
                    2 => {
                        self.client.disconnect();
                        self.client.open().await;
                        Timer::after(ms(&mut self.rng, 0..1_000)).await;
                    }
                    3 => drop(Timer::after(ms(&mut self.rng, 0..500)).await),
                    _ => {}
                }
            }
            self.client = self.client.with_patience(patience).with_pauses(write, read);
            let request = self.request(burst);
            let call = self.client.call(request).await;
            let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
            calls.push(call);
        }
    }

    fn request(&mut self, burst: usize) -> ClientRequest {
        let resumes = self.plan.is_disturbed && self.rng.random_bool(0.2);
        ClientRequest {
            id: format!("burst-{}-{burst}", self.number),
            path: "/stream/x".into(),
            key: SOAK_KEY.into(),
            prompt: self.rng.random_range(PROMPT_TOKENS),
            last_event_id: resumes.then_some(5),
            time_limit: TIME_LIMIT,
        }
    }
}

/// Name of how a request ended.
fn outcome(call: &ClientCall) -> &'static str {
    match (&call.ending, call.status()) {
        (Ending::NotConnected, _) => "not connected",
        (Ending::NotSent, _) => "not sent",
        (Ending::Answered(_), Some(200..=299)) => "served",
        (Ending::Answered(_), Some(429 | 503)) => "refused (503)",
        (Ending::Answered(_), Some(502)) => "failed (502)",
        (Ending::Answered(_), Some(504)) => "timed out (504)",
        (Ending::Answered(_), _) => "other answer",
        (Ending::Closed(part), _) if part.status.is_some() => "broken off",
        (Ending::Closed(_), _) => "closed without an answer",
        (Ending::TimedOut(_), _) => "no end",
    }
}

async fn check(fleet: &SoakFleet, calls: &[ClientCall], figures: &mut SoakFigures) {
    let servers = fleet.server_view();
    let mut logs = Vec::new();
    for gateway in &fleet.gateways {
        logs.push(gateway.log().await);
    }
    let mut tally: BTreeMap<&str, usize> = BTreeMap::new();
    let mut closed = Vec::new();
    for call in calls {
        *tally.entry(outcome(call)).or_default() += 1;
        if matches!(call.ending, Ending::NotConnected) {
            figures.refused_connections += 1;
            continue;
        }
        figures.calls += 1;
        figures.served += usize::from(call.is_served());
        let upsets = fleet.gateways[call.gateway].upsets.upsets();
        let id = &call.request.id;
        let line = || log_line(&logs[call.gateway], id);
        let waited = call.ended_at.duration_since(call.sent_at);
        if matches!(call.ending, Ending::Closed(_)) {
            let outcome = outcome(call);
            closed.push(format!("{id}: {outcome} after {waited:?}{}", line()));
        }
        let broken = broken_answer(call, servers.runs(call)).into_iter();
        let broken = broken.chain(lost_request(call, &upsets, servers.work(call)));
        let broken = broken.map(|violation| format!("{id}: {violation}{}", line()));
        figures.violations.extend(broken);
    }
    figures.notes.push(format!("{tally:?}"));
    closed.truncate(MAX_PRINTED);
    figures.notes.extend(closed);
    let bad = gateway_violations(&fleet.gateways).await;
    figures.violations.extend(bad);
}
