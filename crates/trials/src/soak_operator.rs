//! The operator of a soak of unread changes, and the faults of the store's reads meanwhile.

use crate::direct_rig::registration;
use crate::soak_changes::Versions;
use crate::soak_fleet::{DOMAINS, SoakFleet};
use crate::soak_unread::UnreadPlan;
use crate::soak_unread_rules::Withdrawal;
use crate::soak_upsets::UpsetKind;
use async_io::Timer;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use standins::{Comparisons, ListedVersion, PlatformStore, QuietAnswer, StaleReads};
use std::time::{Duration, Instant};

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
/// A drill follows this part of the changes. Milliseconds from the copy until the store is away, for which it is away, and
/// until all that the copy lacks is written again.
const DRILL_SHARE: f64 = 0.5;
const COPY_AGE_MS: std::ops::Range<u64> = 500..6_000;
const AWAY_MS: std::ops::Range<u64> = 200..1_500;
const REWRITE_MS: std::ops::Range<u64> = 0..1_800;
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

/// How the store answers reads.
#[derive(Debug)]
pub(crate) struct ReadFaults {
    pub(crate) comparisons: Comparisons,
    behind: bool,
    /// Apart from the other random numbers, so that the same seed makes the same changes without these faults.
    rng: SmallRng,
}

impl ReadFaults {
    pub(crate) fn new(plan: UnreadPlan) -> Self {
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
pub(crate) struct Operator<'a> {
    versions: Versions<'a>,
    fleet: &'a SoakFleet,
    withdrawals: Vec<Withdrawal>,
    /// State in the row of each server; none without a row.
    states: Vec<Option<&'static str>>,
    reads: ReadFaults,
    /// Random numbers for drills, apart from the others as above.
    drills: SmallRng,
}

impl<'a> Operator<'a> {
    /// Creates the operator of a fleet, all of whose servers are ready.
    pub(crate) fn new(
        fleet: &'a SoakFleet,
        versions: Versions<'a>,
        reads: ReadFaults,
        seed: u64,
    ) -> Self {
        Self {
            versions,
            fleet,
            withdrawals: Vec::new(),
            states: vec![Some("ready"); fleet.servers.len()],
            reads,
            drills: SmallRng::seed_from_u64(seed.wrapping_mul(41)),
        }
    }

    /// Withdrawals that were made, for checks at the end.
    pub(crate) fn into_withdrawals(self) -> Vec<Withdrawal> {
        self.withdrawals
    }

    /// Goes on until `end`, and returns how often watches were quiet.
    pub(crate) async fn work(&mut self, plan: UnreadPlan, end: Instant) -> usize {
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
