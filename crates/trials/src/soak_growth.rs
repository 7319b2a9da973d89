//! A soak of changes of declarations in series, which add and remove routes and keys and grow, while
//! gateways start, stop, are killed and lose their links.

use crate::direct_soak::{SoakFigures, keep_logs_of_failure};
use crate::error::TrialError;
use crate::fault_proxy::LinkFault;
use crate::soak_changes::{
    History, PROBE_TIME_LIMIT, SharedHistory, Unready, change, lock, send_probes,
};
use crate::soak_client::{Client, Ending};
use crate::soak_declarations::{IDLE_ROUTE_BYTES, SoakDeclarations};
use crate::soak_fleet::{FleetSize, PeerLinks, SoakFleet, SoakGateway, gateway_violations};
use crate::soak_log::log_line;
use crate::soak_losses::lost_request;
use crate::soak_probes::{Probe, is_in_touch, outdated_answer};
use crate::soak_rules::{SERVED_IN_CALM, STABLE_WINDOW, held_past_limit, too_few_served};
use crate::soak_upsets::Upset;
use async_io::Timer;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use runtime::Executor;
use std::time::{Duration, Instant};

const START_TIMEOUT: Duration = Duration::from_secs(30);
/// `ConfigApplyMs`: time within which a confirmed change is in force.
pub const APPLY_BOUND: Duration = Duration::from_secs(2);
/// `RecoveryS`: a process that has run for this long, with its store in reach, accepts requests.
pub const RECOVERY_BOUND: Duration = Duration::from_secs(12);
const PROBE_RUN_TIME: Duration = Duration::from_millis(5);
const READINESS_POLL_INTERVAL: Duration = Duration::from_secs(1);
const MAX_EXAMPLES: usize = 6;

/// Size and duration of a soak of changes of declarations.
#[derive(Debug, Clone, Copy)]
pub struct GrowthPlan {
    /// Seed of the changes and faults.
    pub seed: u64,
    /// Numbers of processes and stand-ins.
    pub size: FleetSize,
    /// Time in which changes are made.
    pub time: Duration,
    /// Size of the declarations at the start and at the end, in bytes of JSON.
    pub bytes: (usize, usize),
    /// Shortest and longest time between two changes.
    pub intervals: (Duration, Duration),
    /// Time after its confirmation from which a change has to be in force, [`APPLY_BOUND`] for the rule.
    pub apply_bound: Duration,
    /// Whether gateways are stopped, killed and frozen and their links fail.
    pub faults: bool,
}

/// Runs a soak of changes to its end. Fails if a process or a stand-in cannot be started or signalled;
/// broken guarantees are part of the result.
pub async fn run_growth_soak(
    executor: &Executor,
    plan: GrowthPlan,
) -> Result<SoakFigures, TrialError> {
    let mut declarations = SoakDeclarations {
        version: 1,
        ..SoakDeclarations::default()
    };
    declarations.idle_routes = plan.bytes.0 / IDLE_ROUTE_BYTES;
    let links = if plan.faults {
        PeerLinks::Proxied
    } else {
        PeerLinks::Direct
    };
    let fleet = SoakFleet::start(executor, plan.size, links, |store| {
        store.put("op", "config", &declarations.to_json());
    })?;
    let figures = run(executor, plan, &fleet, declarations).await;
    fleet.end().await;
    keep_logs_of_failure(&fleet.directory, &figures);
    figures
}

async fn run(
    executor: &Executor,
    plan: GrowthPlan,
    fleet: &SoakFleet,
    declarations: SoakDeclarations,
) -> Result<SoakFigures, TrialError> {
    let mut figures = SoakFigures::default();
    if let Some(n) = fleet.find_unready(START_TIMEOUT).await {
        figures
            .violations
            .push(format!("soaked-{n} is never ready"));
        return Ok(figures);
    }
    for server in &fleet.servers {
        server.standin().set_run_time(PROBE_RUN_TIME);
    }
    Timer::after(STABLE_WINDOW).await;
    let history = SharedHistory::default();
    let end = Instant::now() + plan.time;
    let probes_end = end + plan.apply_bound + PROBE_TIME_LIMIT;
    let mut tasks = Vec::new();
    for (n, gateway) in fleet.gateways.iter().enumerate() {
        let rng = SmallRng::seed_from_u64(plan.seed ^ ((n as u64) << 20));
        let (client, history) = (Client::new(n, gateway.address), history.clone());
        tasks.push(executor.spawn(send_probes(
            client,
            history,
            rng,
            (plan.apply_bound, 0),
            probes_end,
        )));
    }
    let watches = fleet.gateways.iter().enumerate();
    let watches = watches.map(|(n, gateway)| {
        executor.spawn(watch_readiness(
            gateway.clone(),
            n,
            history.clone(),
            probes_end,
        ))
    });
    tasks.extend(watches);
    let faults = plan.faults.then(|| {
        let rng = SmallRng::seed_from_u64(plan.seed);
        executor.spawn(inject_faults(
            executor.clone(),
            fleet.gateways.clone(),
            rng,
            end,
        ))
    });
    change(plan, fleet.store.standin(), declarations, &history, end).await;
    for task in tasks {
        task.await;
    }
    if let Some(faults) = faults {
        figures.faults = faults.await?;
    }
    let history = std::mem::take(&mut *lock(&history));
    check(plan, fleet, &history, &mut figures).await;
    Ok(figures)
}

async fn watch_readiness(gateway: SoakGateway, n: usize, history: SharedHistory, end: Instant) {
    while Instant::now() < end {
        let asked_at = Instant::now();
        let answer = gateway.check_readiness().await;
        if !answer.is_ready() {
            lock(&history).unready.push(Unready {
                gateway: n,
                asked_at,
                answer,
            });
        }
        Timer::after(READINESS_POLL_INTERVAL).await;
    }
}

/// Stops, kills and freezes gateways and disturbs their links, one after another; returns how often.
async fn inject_faults(
    executor: Executor,
    gateways: Vec<SoakGateway>,
    mut rng: SmallRng,
    end: Instant,
) -> Result<usize, TrialError> {
    let mut count = 0;
    let mut tasks = Vec::new();
    while Instant::now() < end {
        Timer::after(Duration::from_millis(rng.random_range(200..1_500))).await;
        let gateway = gateways[rng.random_range(0..gateways.len())].clone();
        let duration = Duration::from_millis(rng.random_range(200..4_000));
        let link_fault = match rng.random_range(0..4) {
            0 => LinkFault::Silent,
            1 => LinkFault::NoReplies,
            2 => LinkFault::Cut,
            _ => LinkFault::Delayed(Duration::from_millis(rng.random_range(20..800))),
        };
        let kind = rng.random_range(0..8);
        count += 1;
        tasks.push(executor.spawn(async move {
            match kind {
                0..=1 => gateway.stop_and_start(duration / 8).await,
                2..=3 => gateway.kill_and_start(duration / 8).await,
                4 => gateway.freeze(duration).await,
                5 => {
                    gateway.disturb_store_link(link_fault, duration).await;
                    Ok(())
                }
                _ => {
                    gateway.disturb_links(link_fault, duration).await;
                    Ok(())
                }
            }
        }));
    }
    for task in tasks {
        task.await?;
    }
    Ok(count)
}

async fn check(plan: GrowthPlan, fleet: &SoakFleet, history: &History, figures: &mut SoakFigures) {
    let upsets: Vec<_> = fleet
        .gateways
        .iter()
        .map(|gateway| gateway.upsets.upsets())
        .collect();
    let mut wrong = vec![0; fleet.gateways.len()];
    let mut kinds = [0; 3];
    let (mut lost, mut in_touch) = (Vec::new(), Vec::new());
    let servers = fleet.server_view();
    let mut examples = Vec::new();
    for (probe, call) in &history.probes {
        if matches!(call.ending, Ending::NotConnected) {
            figures.refused_connections += 1;
            continue;
        }
        figures.calls += 1;
        figures.served += usize::from(call.is_served());
        // A 401 or 404 for what every version allows counts from any gateway.
        let is_in_touch = is_in_touch(&upsets[call.gateway], call.sent_at, call.ended_at);
        if is_in_touch {
            in_touch.push(call);
            if probe.is_due(call, &history.parts) {
                figures.due.record(call);
            }
        }
        let counts = *probe == Probe::Standing || is_in_touch;
        if let Some(mut text) = lost_request(call, &upsets[call.gateway], servers.work(call)) {
            let id = &call.request.id;
            if lost.len() < MAX_EXAMPLES {
                text.push_str(&log_line(&fleet.gateways[call.gateway].log().await, id));
            }
            lost.push(format!("{id} {}: {text}", call.request.path));
        }
        let found = counts
            .then(|| {
                let runs = servers.runs(call);
                outdated_answer(*probe, call, runs, &history.parts, plan.apply_bound)
            })
            .flatten();
        if let Some((kind, text)) = found {
            wrong[call.gateway] += 1;
            kinds[kind as usize] += 1;
            if examples.len() < MAX_EXAMPLES {
                examples.push(format!("{}: {text}", call.request.id));
            }
        }
    }
    figures.violations.extend(held_past_limit(&in_touch));
    figures
        .violations
        .extend(too_few_served(figures.due, SERVED_IN_CALM));
    let total: usize = wrong.iter().sum();
    if total > 0 {
        let gateways: Vec<_> = (0..wrong.len()).filter(|n| wrong[*n] > 0).collect();
        figures.violations.push(format!(
            "CONFIG, DENIED: {total} of {} probes, by gateways {gateways:?}; added {}, removed {}, \
             standing {}; {examples:?}",
            figures.calls, kinds[0], kinds[1], kinds[2]
        ));
    }
    figures.violations.extend(lost);
    figures
        .violations
        .extend(gateway_violations(&fleet.gateways).await);
    for (n, upsets) in upsets.iter().enumerate() {
        let is_calm = |at: &Instant| {
            let from = at.checked_sub(RECOVERY_BOUND).unwrap_or(*at);
            upsets.iter().all(|upset| !upset.overlaps(from, *at))
        };
        let unready = history
            .unready
            .iter()
            .filter(|found| found.gateway == n && is_calm(&found.asked_at));
        let seen: Vec<_> = unready.map(|found| describe(found, upsets)).collect();
        if seen.len() > 1 {
            figures.violations.push(format!(
                "READY: soaked-{n} was not ready {} times, {RECOVERY_BOUND:?} after any fault: {}",
                seen.len(),
                seen.join("; ")
            ));
        }
    }
}

/// The answer to a readiness check, with the time from the check to the next disturbance of its gateway.
fn describe(unready: &Unready, upsets: &[Upset]) -> String {
    let begins = upsets.iter().map(|upset| upset.from);
    let next = begins.filter(|from| *from > unready.asked_at).min();
    let next = next.map(|from| from - unready.asked_at);
    format!("{}, next disturbance after {next:?}", unready.answer)
}
