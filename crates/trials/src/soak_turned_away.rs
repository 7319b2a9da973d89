//! A soak of a store that turns gateways away while it serves the operator, beside changes in series and
//! failures of gateways and of the links between them.

use crate::direct_soak::{SoakFigures, keep_logs_of_failure};
use crate::error::TrialError;
use crate::fault_proxy::LinkFault;
use crate::soak_changes::{History, PROBE_TIME_LIMIT, SharedHistory, change, lock, send_probes};
use crate::soak_client::{Client, Ending};
use crate::soak_declarations::{IDLE_ROUTE_BYTES, SoakDeclarations};
use crate::soak_fleet::{PeerLinks, SoakFleet, SoakGateway, gateway_violations};
use crate::soak_growth::GrowthPlan;
use crate::soak_log::log_line;
use crate::soak_losses::lost_request;
use crate::soak_probes::is_in_touch;
use crate::soak_rules::{STABLE_WINDOW, held_past_limit};
use crate::soak_turned_away_rules::{AnsweredProbe, TurnedAwayTally};
use crate::soak_upsets::UpsetKind;
use async_io::Timer;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom as _;
use rand::{Rng as _, SeedableRng as _};
use runtime::Executor;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const START_TIMEOUT: Duration = Duration::from_secs(40);
const PROBE_RUN_TIME: Duration = Duration::from_millis(5);
/// Requests for what no version has are this many in a hundred.
const UNKNOWN_PROBES: u32 = 15;
/// Milliseconds for which the store turns gateways away, and between two times.
const OUTAGE_MS: std::ops::Range<u64> = 3_000..10_000;
const PAUSE_MS: std::ops::Range<u64> = 500..8_000;
/// Time of changes after the last time at which the store turns gateways away. Other faults last up to 5 s
/// longer, and the stable window follows.
const LAST_CALM: Duration = Duration::from_secs(10);
/// Most failures of gateways and of links between them that begin while the store turns gateways away.
const MAX_OTHER_FAULTS: usize = 4;
const MAX_LOG_LINES: usize = 4;

/// Which gateways the store turns away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TurnedAway {
    /// Every gateway.
    All,
    /// Every gateway but one.
    AllButOne,
    /// Half of them.
    Half,
    /// A third of them.
    Third,
}

impl TurnedAway {
    fn count(self, gateways: usize) -> usize {
        match self {
            Self::All => gateways,
            Self::AllButOne => gateways - 1,
            Self::Half => gateways / 2,
            Self::Third => gateways / 3,
        }
    }
}

/// A soak of a store that turns gateways away. What is not set is drawn each time.
#[derive(Debug, Clone, Copy)]
pub struct TurnedAwayPlan {
    /// Changes of the declarations, and whether gateways and the links between them fail.
    pub changes: GrowthPlan,
    /// Which gateways are turned away.
    pub share: Option<TurnedAway>,
    /// How they are turned away.
    pub refusal: Option<LinkFault>,
    /// Fault of all links between gateways, from before they open to the end.
    pub links: LinkFault,
}

/// Runs a soak of a store that turns gateways away to its end. Fails if a process or a stand-in cannot be
/// started or signalled; broken guarantees are part of the result.
pub async fn run_turned_away_soak(
    executor: &Executor,
    plan: TurnedAwayPlan,
) -> Result<SoakFigures, TrialError> {
    let declarations = SoakDeclarations {
        version: 1,
        idle_routes: plan.changes.bytes.0 / IDLE_ROUTE_BYTES,
        ..SoakDeclarations::default()
    };
    let fleet = SoakFleet::start(executor, plan.changes.size, PeerLinks::Proxied, |store| {
        store.put("op", "config", &declarations.to_json());
    })?;
    let figures = run(executor, plan, &fleet, declarations).await;
    fleet.end().await;
    keep_logs_of_failure(&fleet.directory, &figures);
    figures
}

async fn run(
    executor: &Executor,
    plan: TurnedAwayPlan,
    fleet: &SoakFleet,
    declarations: SoakDeclarations,
) -> Result<SoakFigures, TrialError> {
    let mut figures = SoakFigures::default();
    let mut link_upsets = Vec::new();
    if plan.links != LinkFault::None {
        for gateway in &fleet.gateways {
            link_upsets.push(gateway.upsets.begin(UpsetKind::Link));
            gateway.set_links(plan.links);
        }
    }
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
    let changes = plan.changes;
    let faults_end = Instant::now() + changes.time;
    let end = faults_end + LAST_CALM;
    let probes_end = end + changes.apply_bound + PROBE_TIME_LIMIT;
    let mut tasks = Vec::new();
    for (n, gateway) in fleet.gateways.iter().enumerate() {
        let rng = SmallRng::seed_from_u64(changes.seed ^ ((n as u64) << 20));
        let client = Client::new(n, gateway.address);
        let kinds = (changes.apply_bound, UNKNOWN_PROBES);
        let probes = send_probes(client, history.clone(), rng, kinds, probes_end);
        tasks.push(executor.spawn(probes));
    }
    let gateways = fleet.gateways.clone();
    let faults = executor.spawn(turn_away(executor.clone(), gateways, plan, faults_end));
    let all_changes = GrowthPlan {
        time: changes.time + LAST_CALM,
        ..changes
    };
    change(
        all_changes,
        fleet.store.standin(),
        declarations,
        &history,
        end,
    )
    .await;
    for task in tasks {
        task.await;
    }
    figures.faults = faults.await?;
    let history = std::mem::take(&mut *lock(&history));
    check(plan, fleet, &history, &mut figures).await;
    Ok(figures)
}

/// Turns gateways away at the store, one time after another, and lets them in again at once; returns how
/// many faults there were.
async fn turn_away(
    executor: Executor,
    gateways: Vec<SoakGateway>,
    plan: TurnedAwayPlan,
    end: Instant,
) -> Result<usize, TrialError> {
    const SHARES: [TurnedAway; 4] = [
        TurnedAway::All,
        TurnedAway::AllButOne,
        TurnedAway::Half,
        TurnedAway::Third,
    ];
    const REFUSALS: [LinkFault; 5] = [
        LinkFault::Status(503),
        LinkFault::Status(429),
        LinkFault::Cut,
        LinkFault::Silent,
        LinkFault::LostReplies,
    ];
    let mut rng = SmallRng::seed_from_u64(plan.changes.seed);
    let mut links = Vec::new();
    for gateway in &gateways {
        links.push(gateway.process.lock().await.peer_address());
    }
    let mut count = 0;
    loop {
        Timer::after(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        let left = end.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(OUTAGE_MS.start) {
            return Ok(count);
        }
        let duration = Duration::from_millis(rng.random_range(OUTAGE_MS)).min(left);
        let (share, refusal) = (rng.random_range(0..4), rng.random_range(0..5));
        let share = plan.share.unwrap_or(SHARES[share]);
        let refusal = plan.refusal.unwrap_or(REFUSALS[refusal]);
        let mut order: Vec<_> = (0..gateways.len()).collect();
        order.shuffle(&mut rng);
        if rng.random_bool(0.5) {
            // Those that read most of the store, which watch it for others.
            order.sort_by_key(|n| std::cmp::Reverse(gateways[*n].store_link.replied_bytes()));
        }
        let away = order[..share.count(gateways.len())].iter();
        let away: Vec<_> = away.map(|n| gateways[*n].clone()).collect();
        let upsets = away.iter().map(|gateway| {
            let upset = gateway.upsets.begin(UpsetKind::Link);
            gateway.store_link.set(refusal);
            upset
        });
        let upsets: Vec<_> = upsets.collect();
        count += 1;
        let mut others = Vec::new();
        if plan.changes.faults {
            order.shuffle(&mut rng);
            order.truncate(rng.random_range(0..=MAX_OTHER_FAULTS.min(gateways.len())));
            count += order.len();
            for n in order {
                let rng = SmallRng::seed_from_u64(rng.random());
                let (gateways, links) = (gateways.clone(), links.clone());
                others.push(executor.spawn(inject(gateways, links, n, rng)));
            }
        }
        Timer::after(duration).await;
        for gateway in &away {
            gateway.store_link.set(LinkFault::None);
        }
        drop(upsets);
        for other in others {
            other.await?;
        }
    }
}

/// Freezes gateway `n`, kills it and starts it later, or disturbs its links, for some time.
async fn inject(
    gateways: Vec<SoakGateway>,
    links: Vec<SocketAddr>,
    n: usize,
    mut rng: SmallRng,
) -> Result<(), TrialError> {
    let gateway = &gateways[n];
    Timer::after(Duration::from_millis(rng.random_range(0..2_000))).await;
    let duration = Duration::from_millis(rng.random_range(500..6_000));
    let delay = LinkFault::Delayed(Duration::from_millis(rng.random_range(20..800)));
    // Faults of the links that others have opened to it, and of those that it has opened.
    let (to_it, from_it) = match rng.random_range(0..6) {
        0 => return gateway.freeze(duration).await,
        1 => return gateway.kill_and_start(duration).await,
        2 => (LinkFault::Silent, LinkFault::Silent),
        3 => (LinkFault::Silent, LinkFault::NoReplies),
        4 => (LinkFault::NoReplies, LinkFault::Silent),
        _ => (delay, delay),
    };
    let set_from_it = |fault| {
        let proxies = gateways.iter().filter_map(|other| other.peer_link.as_ref());
        proxies.for_each(|proxy| proxy.set_for(links[n], fault));
    };
    let _upset = gateway.upsets.begin(UpsetKind::Link);
    gateway.set_links(to_it);
    set_from_it(Some(from_it));
    Timer::after(duration).await;
    set_from_it(None);
    gateway.set_links(LinkFault::None);
    Ok(())
}

async fn check(
    plan: TurnedAwayPlan,
    fleet: &SoakFleet,
    history: &History,
    figures: &mut SoakFigures,
) {
    let gateways = fleet.gateways.iter();
    let upsets: Vec<_> = gateways.map(|gateway| gateway.upsets.upsets()).collect();
    let servers = fleet.server_view();
    let mut tally = TurnedAwayTally::new(&history.parts, &upsets, plan.changes.apply_bound);
    let mut in_touch = Vec::new();
    let mut lost = Vec::new();
    for (probe, call) in &history.probes {
        if matches!(call.ending, Ending::NotConnected) {
            figures.refused_connections += 1;
            continue;
        }
        figures.calls += 1;
        figures.served += usize::from(call.is_served());
        let upsets = &upsets[call.gateway];
        if is_in_touch(upsets, call.sent_at, call.ended_at) {
            in_touch.push(call);
        }
        if let Some(text) = lost_request(call, upsets, servers.work(call)) {
            lost.push(format!("{}: {text}", call.request.id));
        }
        let runs = servers.runs(call);
        tally.record(AnsweredProbe {
            probe: *probe,
            call,
            runs,
        });
    }
    figures.due = tally.calm;
    figures.notes = tally.notes();
    figures.violations = tally.violations(plan.links == LinkFault::None);
    for (gateway, id) in tally.refused_ids().take(MAX_LOG_LINES) {
        let line = log_line(&fleet.gateways[gateway].log().await, id);
        figures.notes.push(format!("{id}{line}"));
    }
    figures.violations.extend(held_past_limit(&in_touch));
    figures.violations.extend(lost);
    let found = gateway_violations(&fleet.gateways).await;
    figures.violations.extend(found);
}
