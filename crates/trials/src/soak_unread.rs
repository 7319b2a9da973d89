//! A soak of changes that watches of the store do not tell of, in series, beside gateways that are killed,
//! frozen and started late.

use crate::direct_soak::{SoakFigures, keep_logs_of_failure};
use crate::error::TrialError;
use crate::soak_changes::{PROBE_TIME_LIMIT, SharedHistory, Versions, lock, send_probes};
use crate::soak_client::{Client, Ending};
use crate::soak_declarations::{IDLE_ROUTE_BYTES, SoakDeclarations};
use crate::soak_fleet::{FleetSize, PeerLinks, SoakFleet, SoakGateway, gateway_violations};
use crate::soak_growth::GrowthPlan;
use crate::soak_log::log_line;
use crate::soak_losses::lost_request;
use crate::soak_operator::{Operator, ReadFaults};
use crate::soak_probes::is_in_touch;
use crate::soak_rules::{STABLE_WINDOW, held_past_limit};
use crate::soak_turned_away_rules::{AnsweredProbe, TurnedAwayTally};
use crate::soak_unread_rules::{Withdrawal, requests_after_withdrawal};
use async_io::Timer;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use runtime::Executor;
use standins::{Comparisons, QuietAnswer};
use std::time::{Duration, Instant};

const START_TIMEOUT: Duration = Duration::from_secs(60);
const PROBE_RUN_TIME: Duration = Duration::from_millis(5);
/// Requests for what no version has are this many in a hundred.
const UNKNOWN_PROBES: u32 = 10;
/// Versions for which a route or a key stays.
const LIFETIME_VERSIONS: usize = 3;
/// Longest time for which listings are behind, with the silence in which that begins.
const LONGEST_BEHIND: Duration = Duration::from_secs(11);
/// Time without faults after the last one.
const LAST_CALM: Duration = Duration::from_secs(6);
const MAX_LOG_LINES: usize = 4;

/// A soak of changes that watches do not tell of.
#[derive(Debug, Clone, Copy)]
pub struct UnreadPlan {
    /// Size of the fleet, which has no engines, and of the declarations, time between two faults, and whether gateways are killed
    /// and frozen.
    pub changes: GrowthPlan,
    /// How quiet polls are answered; drawn each time if it is not set.
    pub answer: Option<QuietAnswer>,
    /// Whether servers drain, are removed and come back, too.
    pub server_changes: bool,
    /// Gateways that are gone at the begin and start within the first half.
    pub late: usize,
    /// Whether listings show what held seconds ago while watches hear nothing and for a while after.
    pub behind: bool,
    /// How the store answers comparisons; drawn once if it is not set.
    pub comparisons: Option<Comparisons>,
    /// Whether the store comes back from copies now and then.
    pub drills: bool,
}

/// Runs a soak of unread changes to its end. Fails if a process or a stand-in cannot be started or signalled;
/// broken guarantees are part of the result.
pub async fn run_unread_soak(
    executor: &Executor,
    plan: UnreadPlan,
) -> Result<SoakFigures, TrialError> {
    let declarations = SoakDeclarations {
        version: 1,
        idle_routes: plan.changes.bytes.0 / IDLE_ROUTE_BYTES,
        ..SoakDeclarations::default()
    };
    let size = FleetSize {
        engines: 0,
        ..plan.changes.size
    };
    let reads = ReadFaults::new(plan);
    let fleet = SoakFleet::start(executor, size, PeerLinks::Direct, |store| {
        store.set_comparisons(reads.comparisons);
        store.put("op", "config", &declarations.to_json());
    })?;
    let figures = run(executor, plan, &fleet, declarations, reads).await;
    fleet.end().await;
    keep_logs_of_failure(&fleet.directory, &figures);
    figures
}

async fn run(
    executor: &Executor,
    plan: UnreadPlan,
    fleet: &SoakFleet,
    declarations: SoakDeclarations,
    reads: ReadFaults,
) -> Result<SoakFigures, TrialError> {
    let mut figures = SoakFigures::default();
    if let Some(n) = fleet.find_unready(START_TIMEOUT).await {
        let text = format!("soaked-{n} is never ready");
        figures.violations.push(text);
        return Ok(figures);
    }
    for server in &fleet.servers {
        server.standin().set_run_time(PROBE_RUN_TIME);
    }
    Timer::after(STABLE_WINDOW).await;
    let history = SharedHistory::default();
    let GrowthPlan {
        seed,
        time,
        apply_bound,
        ..
    } = plan.changes;
    let end = Instant::now() + time;
    let longest_fault = if plan.behind {
        LONGEST_BEHIND
    } else {
        Duration::ZERO
    };
    let probes_end = end + longest_fault + LAST_CALM + apply_bound + PROBE_TIME_LIMIT;
    let mut probes = Vec::new();
    for (n, gateway) in fleet.gateways.iter().enumerate() {
        let rng = SmallRng::seed_from_u64(seed ^ ((n as u64) << 20));
        let client = Client::new(n, gateway.address);
        let kinds = (apply_bound, UNKNOWN_PROBES);
        probes.push(executor.spawn(send_probes(client, history.clone(), rng, kinds, probes_end)));
    }
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut others = Vec::new();
    let is_late = |n: &usize| n + plan.late >= fleet.gateways.len();
    for n in (0..fleet.gateways.len()).filter(is_late) {
        let (gateway, pause) = (
            fleet.gateways[n].clone(),
            rng.random_range(time / 8..time / 2),
        );
        others.push(executor.spawn(async move { gateway.kill_and_start(pause).await }));
    }
    if plan.changes.faults {
        let gateways = fleet.gateways.clone();
        let rng = SmallRng::seed_from_u64(rng.random());
        others.push(executor.spawn(disturb(gateways, rng, end)));
    }
    let versions = Versions {
        store: fleet.store.standin(),
        history: &history,
        declarations,
        rng,
        lifetime: LIFETIME_VERSIONS,
        count: 0,
    };
    let mut operator = Operator::new(fleet, versions, reads, seed);
    figures.faults = operator.work(plan, end).await;
    for task in probes {
        task.await;
    }
    for task in others {
        task.await?;
    }
    let withdrawals = operator.into_withdrawals();
    check(plan, fleet, &history, &withdrawals, &mut figures).await;
    Ok(figures)
}

/// Kills and freezes gateways, one after another.
async fn disturb(
    gateways: Vec<SoakGateway>,
    mut rng: SmallRng,
    end: Instant,
) -> Result<(), TrialError> {
    loop {
        Timer::after(Duration::from_millis(rng.random_range(500..4_000))).await;
        if Instant::now() >= end {
            return Ok(());
        }
        let gateway = &gateways[rng.random_range(0..gateways.len())];
        let duration = Duration::from_millis(rng.random_range(200..4_000));
        match rng.random_bool(0.5) {
            true => gateway.freeze(duration).await?,
            false => gateway.kill_and_start(duration / 4).await?,
        }
    }
}

async fn check(
    plan: UnreadPlan,
    fleet: &SoakFleet,
    history: &SharedHistory,
    withdrawals: &[Withdrawal],
    figures: &mut SoakFigures,
) {
    let history = std::mem::take(&mut *lock(history));
    let gateways = fleet.gateways.iter();
    let upsets: Vec<_> = gateways.map(|gateway| gateway.upsets.upsets()).collect();
    let servers = fleet.server_view();
    let mut tally = TurnedAwayTally::new(&history.parts, &upsets, plan.changes.apply_bound);
    let (mut in_touch, mut lost, mut calls) = (Vec::new(), Vec::new(), Vec::new());
    for (probe, call) in &history.probes {
        if matches!(call.ending, Ending::NotConnected) {
            figures.refused_connections += 1;
            continue;
        }
        calls.push(call);
        figures.calls += 1;
        figures.served += usize::from(call.is_served());
        let upsets = &upsets[call.gateway];
        if is_in_touch(upsets, call.sent_at, call.ended_at) {
            in_touch.push(call);
        }
        if let Some(text) = lost_request(call, upsets, servers.work(call)) {
            lost.push(format!("{}: {text}", call.request.id));
        }
        tally.record(AnsweredProbe {
            probe: *probe,
            call,
            runs: servers.runs(call),
        });
    }
    figures.due = tally.calm;
    figures.notes = tally.notes();
    figures.violations = tally.violations(!plan.changes.faults);
    for (gateway, id) in tally.refused_ids().take(MAX_LOG_LINES) {
        let line = log_line(&fleet.gateways[gateway].log().await, id);
        figures.notes.push(format!("{id}{line}"));
    }
    let received = fleet.servers.iter();
    let received = received.map(|server| server.standin().received_requests());
    let received: Vec<_> = received.collect();
    let late = requests_after_withdrawal(withdrawals, &received, &calls, &upsets);
    figures.violations.extend(late);
    figures.violations.extend(held_past_limit(&in_touch));
    figures.violations.extend(lost);
    let found = gateway_violations(&fleet.gateways).await;
    figures.violations.extend(found);
}
