//! A soak of changes that watches of the store do not tell of, in series, beside gateways that are killed,
//! frozen and started late.

use crate::direct_rig::registration;
use crate::direct_soak::{SoakFigures, keep_logs_of_failure};
use crate::error::TrialError;
use crate::soak_changes::{PROBE_TIME_LIMIT, SharedHistory, Versions, lock, send_probes};
use crate::soak_client::{Client, Ending};
use crate::soak_declarations::{IDLE_ROUTE_BYTES, SoakDeclarations};
use crate::soak_fleet::{
    DOMAINS, FleetSize, PeerLinks, SoakFleet, SoakGateway, gateway_violations,
};
use crate::soak_growth::GrowthPlan;
use crate::soak_log::log_line;
use crate::soak_losses::lost_request;
use crate::soak_probes::is_in_touch;
use crate::soak_rules::{STABLE_WINDOW, held_past_limit};
use crate::soak_turned_away_rules::{AnsweredProbe, TurnedAwayTally};
use crate::soak_unread_rules::{Withdrawal, requests_after_withdrawal};
use crate::soak_upsets::UpsetKind;
use async_io::Timer;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use runtime::Executor;
use standins::{Comparisons, ListedVersion, PlatformStore, QuietAnswer, StaleReads};
use std::time::{Duration, Instant};

const START_TIMEOUT: Duration = Duration::from_secs(60);
const PROBE_RUN_TIME: Duration = Duration::from_millis(5);
/// Requests for what no version has are this many in a hundred.
const UNKNOWN_PROBES: u32 = 10;
/// Versions for which a route or a key stays.
const LIFETIME_VERSIONS: usize = 3;
/// `DrainMs` and `EvacuateMs`.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
const EVACUATE_BOUND: Duration = Duration::from_secs(5);
/// Milliseconds for which watches hear nothing.
const HUSH_MS: std::ops::Range<u64> = 200..5_000;
/// Milliseconds for which listings stay behind once watches hear of changes again.
const BEHIND_MS: std::ops::Range<u64> = 0..1_500;
/// How far listings are behind in other silences, in milliseconds, and in how many of them.
const STALE_MS: std::ops::RangeInclusive<u64> = 1_000..=6_000;
const STALE_SHARE: f64 = 0.6;
const BETWEEN_CHANGES_MS: std::ops::Range<u64> = 0..400;
/// Longest time for which listings are behind, with the silence in which that begins.
const LONGEST_BEHIND: Duration = Duration::from_secs(11);
/// A drill follows this part of the changes. Milliseconds from the copy until the store is away, for which it is away, and
/// until all that the copy lacks is written again.
const DRILL_SHARE: f64 = 0.5;
const COPY_AGE_MS: std::ops::Range<u64> = 500..6_000;
const AWAY_MS: std::ops::Range<u64> = 200..1_500;
const REWRITE_MS: std::ops::Range<u64> = 0..1_800;
/// Time without faults after the last one.
const LAST_CALM: Duration = Duration::from_secs(6);
const MAX_LOG_LINES: usize = 4;
const ANSWERS: [QuietAnswer; 4] = [
    QuietAnswer::NewestVersion,
    QuietAnswer::PolledVersion,
    QuietAnswer::OldestVersion,
    QuietAnswer::Never,
];
const COMPARISONS: [Comparisons; 4] = [
    Comparisons::Exact,
    Comparisons::Refused,
    Comparisons::Blind,
    Comparisons::Behind,
];
const LISTED: [ListedVersion; 2] = [ListedVersion::OfContent, ListedVersion::Newest];

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
    let mut operator = Operator {
        versions: Versions {
            store: fleet.store.standin(),
            history: &history,
            declarations,
            rng,
            lifetime: LIFETIME_VERSIONS,
            count: 0,
        },
        fleet,
        withdrawals: Vec::new(),
        states: vec![Some("ready"); fleet.servers.len()],
        reads,
        drills: SmallRng::seed_from_u64(seed.wrapping_mul(41)),
    };
    figures.faults = operator.work(plan, end).await;
    for task in probes {
        task.await;
    }
    for task in others {
        task.await?;
    }
    let withdrawals = operator.withdrawals;
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

/// How the store answers reads.
#[derive(Debug)]
struct ReadFaults {
    comparisons: Comparisons,
    behind: bool,
    /// Apart from the other random numbers, so that the same seed makes the same changes without these faults.
    rng: SmallRng,
}

impl ReadFaults {
    fn new(plan: UnreadPlan) -> Self {
        let mut rng = SmallRng::seed_from_u64(plan.changes.seed.wrapping_mul(37));
        let drawn = COMPARISONS.choose(&mut rng).copied();
        let drawn = drawn.filter(|_| plan.behind).unwrap_or_default();
        Self {
            comparisons: plan.comparisons.unwrap_or(drawn),
            behind: plan.behind,
            rng,
        }
    }

    fn draw(&mut self) -> Option<StaleReads> {
        let by = Duration::from_millis(self.rng.random_range(STALE_MS));
        let version = LISTED.choose(&mut self.rng).copied()?;
        let is_drawn = self.rng.random_bool(STALE_SHARE) && self.behind;
        is_drawn.then_some(StaleReads { by, version })
    }

    /// Whether no read of the store shows what holds while listings are behind.
    fn hide_all(&self) -> bool {
        self.comparisons == Comparisons::Refused
    }
}

/// Makes changes while watches hear nothing.
#[derive(Debug)]
struct Operator<'a> {
    versions: Versions<'a>,
    fleet: &'a SoakFleet,
    withdrawals: Vec<Withdrawal>,
    /// State in the row of each server; none without a row.
    states: Vec<Option<&'static str>>,
    reads: ReadFaults,
    /// Random numbers for drills, apart from the others as above.
    drills: SmallRng,
}

impl Operator<'_> {
    /// Goes on until `end`, and returns how often watches were quiet.
    async fn work(&mut self, plan: UnreadPlan, end: Instant) -> usize {
        let (shortest, longest) = plan.changes.intervals;
        let mut count = 0;
        while Instant::now() < end {
            self.change_quietly(plan).await;
            count += 1;
            if plan.drills && self.drills.random_bool(DRILL_SHARE) {
                self.drill(plan).await;
            }
            let pause = self.rng().random_range(shortest..=longest);
            Timer::after(pause).await;
        }
        count
    }

    fn rng(&mut self) -> &mut SmallRng {
        &mut self.versions.rng
    }

    fn store(&self) -> &PlatformStore {
        self.fleet.store.standin()
    }

    async fn change_quietly(&mut self, plan: UnreadPlan) {
        let drawn = ANSWERS.choose(self.rng()).copied();
        let listed = LISTED.choose(self.rng()).copied();
        let listed = listed.filter(|_| self.rng().random_bool(0.2));
        let rest = Duration::from_millis(self.rng().random_range(HUSH_MS));
        let (drops_history, cuts) = (self.rng().random_bool(0.5), self.rng().random_bool(0.5));
        self.store().quieten_watches(plan.answer.or(drawn));
        self.store().keep_listings(listed);
        let stale = self.reads.draw();
        self.store().read_behind(stale);
        // The store shows nothing of what is written then, but for comparisons.
        let is_hidden = listed.is_some() || stale.is_some() && self.reads.hide_all();
        let behind = self.fleet.gateways.iter().filter(|_| is_hidden);
        let behind = behind.map(|gateway| gateway.upsets.begin(UpsetKind::Link));
        let behind: Vec<_> = behind.collect();
        let before = self.rng().random_range(Duration::ZERO..=rest);
        Timer::after(before).await;
        self.change_rows(plan.server_changes).await;
        Timer::after(rest - before).await;
        if drops_history {
            self.store().forget_history();
        }
        self.store().quieten_watches(None);
        if cuts {
            self.store().cut_watches();
        }
        if listed.is_some() {
            let longer = Duration::from_millis(self.rng().random_range(BEHIND_MS));
            Timer::after(longer).await;
            self.store().keep_listings(None);
        }
        if let Some(stale) = stale {
            let longer = self.reads.rng.random_range(Duration::ZERO..=stale.by);
            Timer::after(longer).await;
            self.store().read_behind(None);
        }
        drop(behind);
    }

    /// Lets the store come back from a copy, which lacks changes, and writes these again.
    async fn drill(&mut self, plan: UnreadPlan) {
        let copy = self.store().copy();
        let [age, away, rewrite] = [COPY_AGE_MS, AWAY_MS, REWRITE_MS]
            .map(|range| Duration::from_millis(self.drills.random_range(range)));
        self.change_rows(plan.server_changes).await;
        Timer::after(age).await;
        let gateways = self.fleet.gateways.iter();
        let upsets = gateways.map(|gateway| gateway.upsets.begin(UpsetKind::Link));
        let upsets: Vec<_> = upsets.collect();
        self.store().restore(copy, away).await;
        Timer::after(rewrite).await;
        self.write_all();
        drop(upsets);
    }

    /// Writes again all that operators and servers have written.
    fn write_all(&self) {
        let declarations = self.versions.declarations.to_json();
        self.store().put("op", "config", &declarations);
        let is_evacuated = |domain: usize| {
            let mut orders = self.withdrawals.iter().filter(|found| found.rule == "EVAC");
            orders.any(|order| {
                let found = order
                    .servers
                    .first()
                    .map_or(0, |server| server % DOMAINS.len());
                order.until.is_none() && found == domain
            })
        };
        for domain in 0..DOMAINS.len() {
            match is_evacuated(domain) {
                true => self.order(domain),
                false => self.store().remove("op", &evacuation_key(domain)),
            }
        }
        for n in 0..self.states.len() {
            self.write_server(n);
        }
    }

    fn order(&self, domain: usize) {
        let key = evacuation_key(domain);
        self.store().put("op", &key, &serde_json::json!({}));
    }

    fn write_server(&self, n: usize) {
        let name = format!("registry-{n}");
        let Some(state) = self.states[n] else {
            return self.store().remove("servers", &name);
        };
        let address = self.fleet.servers[n].local_addr();
        let row = registration(DOMAINS[n % DOMAINS.len()], "registry", address, state);
        self.store().put("servers", &name, &row);
    }

    async fn change_rows(&mut self, server_changes: bool) {
        if self.rng().random_bool(0.4) {
            self.evacuate_or_return();
            self.pause().await;
        }
        if self.rng().random_bool(0.8) {
            self.versions.write();
            self.pause().await;
        }
        if self.rng().random_bool(0.6) && server_changes {
            self.withdraw_or_return();
        }
    }

    async fn pause(&mut self) {
        let pause = self.rng().random_range(BETWEEN_CHANGES_MS);
        Timer::after(Duration::from_millis(pause)).await;
    }

    /// Takes back the withdrawal under a rule that holds, and returns its servers.
    fn take_back(&mut self, rule: &str) -> Option<Vec<usize>> {
        let mut withdrawals = self.withdrawals.iter_mut();
        let found = withdrawals.find(|found| found.rule == rule && found.until.is_none())?;
        found.until = Some(Instant::now());
        Some(found.servers.clone())
    }

    fn withdraw(&mut self, rule: &'static str, bound: Duration, servers: Vec<usize>) {
        self.withdrawals.push(Withdrawal {
            rule,
            servers,
            bound,
            from: Instant::now(),
            until: None,
        });
    }

    fn evacuate_or_return(&mut self) {
        if let Some(servers) = self.take_back("EVAC") {
            let domain = servers.first().map_or(0, |server| server % DOMAINS.len());
            self.store().remove("op", &evacuation_key(domain));
            return;
        }
        let domain = self.rng().random_range(0..DOMAINS.len());
        self.order(domain);
        let servers = 0..self.fleet.servers.len();
        let servers = servers.filter(|server| server % DOMAINS.len() == domain);
        self.withdraw("EVAC", EVACUATE_BOUND, servers.collect());
    }

    /// Lets a plain server drain or removes its row, or brings it back.
    fn withdraw_or_return(&mut self) {
        if let Some(servers) = self.take_back("DRAIN") {
            for n in servers {
                self.states[n] = Some("ready");
                self.write_server(n);
            }
            return;
        }
        let n = self.versions.rng.random_range(0..self.fleet.servers.len());
        let drains = self.versions.rng.random_bool(0.5);
        self.states[n] = drains.then_some("draining");
        self.write_server(n);
        self.withdraw("DRAIN", DRAIN_BOUND, vec![n]);
    }
}

fn evacuation_key(domain: usize) -> String {
    format!("evacuate/{}", DOMAINS[domain])
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
