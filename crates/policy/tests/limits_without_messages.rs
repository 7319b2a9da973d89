//! Limits that hold over all gateways without any messages between them.

use policy::{
    RepeatBudget, RepeatLimits, SendLimiter, SendRateCap, SendShares, SlidingWindow,
    cold_send_bound,
};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use std::time::Duration;

const LIMITS: RepeatLimits = RepeatLimits {
    ratio: 0.2,
    extra: 100.0,
    window: Duration::from_secs(10),
};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Four gateways try to repeat requests all the time while the rate of first sends rises and falls.
/// In no sliding window do the repeats exceed the limit for the first sends of that window.
#[test]
fn repeats_keep_the_bound_in_every_window() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut budgets: Vec<_> = (0..4).map(|_| new_budget(0)).collect();
        let (mut firsts, mut repeats) = (Vec::new(), Vec::new());
        for millis in 0..40_000 {
            let is_busy = (millis / 7_000) % 2 == 0;
            if rng.random_bool(if is_busy { 0.2 } else { 0.01 }) {
                budgets[rng.random_range(0..4)].record_first(at(millis));
                firsts.push(millis);
            }
            let budget = &mut budgets[rng.random_range(0..4)];
            if budget.try_spend(at(millis), LIMITS, 4) {
                repeats.push(millis);
            }
        }
        for end in (10_000..40_000).step_by(50) {
            let within = |times: &[u64], start: u64| {
                times
                    .iter()
                    .filter(|time| (start..end).contains(*time))
                    .count() as f64
            };
            let repeats = within(&repeats, end - 10_000);
            let bound = LIMITS.ratio * within(&firsts, end - 10_000) + LIMITS.extra;
            assert!(
                repeats <= bound,
                "seed {seed}, window to {end}: {repeats} over {bound}"
            );
        }
    }
}

/// What happens to the gateways while repeats press.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Upset {
    /// All are killed at the same moment, five times in a row.
    AllKilled,
    /// One after the other is stopped, and its callers go to the others.
    StoppedInTurn,
    /// Callers move from one part of the gateways to another.
    CallersMove,
}

/// Gateways that share a retry budget and repeat whatever they are allowed to.
struct RepeatingGateways {
    budgets: Vec<RepeatBudget>,
    /// When each of them runs; it is down before.
    runs_from: Vec<u64>,
}

/// Time of a virtual process between its end and its next start, and a planned stop.
const RESTART_MILLIS: u64 = 500;
const DAY_MILLIS: u64 = 60_000;
const STEP_MILLIS: u64 = 10;
/// Servers begin to fail requests at the same moment of each period, and the upset follows.
const PERIOD_MILLIS: u64 = 25_000;
const FAILURES_BEGIN: u64 = 10_000;
const KILLS: [u64; 5] = [10_500, 12_000, 13_500, 15_000, 16_500];

fn new_budget(started: u64) -> RepeatBudget {
    RepeatBudget::new(LIMITS.window, at(started))
}

impl RepeatingGateways {
    fn start(gateways: usize) -> Self {
        Self {
            budgets: (0..gateways).map(|_| new_budget(0)).collect(),
            runs_from: vec![0; gateways],
        }
    }

    fn restart(&mut self, gateway: usize, now: u64) {
        self.runs_from[gateway] = now + RESTART_MILLIS;
        self.budgets[gateway] = new_budget(now + RESTART_MILLIS);
    }

    /// The gateway that gets a caller's request; callers of one that is down go to the next one.
    fn receiver(&self, first: usize, now: u64) -> Option<usize> {
        let count = self.budgets.len();
        let mut order = (0..count).map(|n| (first + n) % count);
        order.find(|gateway| self.runs_from[*gateway] <= now)
    }

    fn upset(&mut self, upset: Upset, now: u64) {
        let count = self.budgets.len();
        match upset {
            Upset::AllKilled if KILLS.contains(&(now % PERIOD_MILLIS)) => {
                (0..count).for_each(|gateway| self.restart(gateway, now));
            }
            Upset::StoppedInTurn => {
                let after_failures = |n: usize| (n as u64 + 1) * 8_000 / count as u64;
                let stop = |n: usize| (FAILURES_BEGIN + after_failures(n)) / STEP_MILLIS;
                let step = now % PERIOD_MILLIS / STEP_MILLIS;
                for gateway in (0..count).filter(|n| stop(*n) == step) {
                    self.restart(gateway, now);
                }
            }
            Upset::AllKilled | Upset::CallersMove => {}
        }
    }
}

/// Numbers of events up to each step.
fn sums(counts: &[u64]) -> Vec<f64> {
    let sums = counts.iter().scan(0, |sum, count| {
        *sum += count;
        Some(*sum as f64)
    });
    std::iter::once(0.0).chain(sums).collect()
}

/// All gateways repeat as much as they may while some of them start anew or get the callers of others.
fn repeats_keep_the_bound(gateways: usize, upset: Upset) {
    let most_arrivals = 4.max(gateways / 8);
    for seed in 0..4 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = RepeatingGateways::start(gateways);
        let (mut firsts, mut repeats) = (Vec::new(), Vec::new());
        for now in (0..DAY_MILLIS).step_by(STEP_MILLIS as usize) {
            if now > 0 {
                fleet.upset(upset, now);
            }
            let half = gateways.div_ceil(2);
            let moved = now % PERIOD_MILLIS > FAILURES_BEGIN + 500;
            let mut arrived = 0;
            for _ in 0..rng.random_range(0..most_arrivals) {
                let any = match upset {
                    Upset::CallersMove => rng.random_range(0..half) + usize::from(moved) * half,
                    _ => rng.random_range(0..gateways),
                };
                arrived += 1;
                if let Some(receiver) = fleet.receiver(any % gateways, now) {
                    fleet.budgets[receiver].record_first(at(now));
                }
            }
            let mut repeated = 0;
            for (budget, runs_from) in fleet.budgets.iter_mut().zip(&fleet.runs_from) {
                let presses = now % PERIOD_MILLIS >= FAILURES_BEGIN && *runs_from <= now;
                repeated += u64::from(presses && budget.try_spend(at(now), LIMITS, gateways));
            }
            firsts.push(arrived);
            repeats.push(repeated);
        }
        check_windows(&sums(&firsts), &sums(&repeats), seed);
    }
}

/// Checks each window against the requests in it, in the one before it and half a window earlier.
fn check_windows(firsts: &[f64], repeats: &[f64], seed: u64) {
    let window = (LIMITS.window.as_millis() as u64 / STEP_MILLIS) as usize;
    for start in window..repeats.len() - window {
        let within = |sums: &[f64], start: usize| sums[start + window] - sums[start];
        let requests = [start, start - window / 2, start - window];
        let requests = requests.map(|start| within(firsts, start));
        let requests = requests.into_iter().fold(0.0, f64::max);
        let (repeats, bound) = (
            within(repeats, start),
            LIMITS.ratio * requests + LIMITS.extra,
        );
        let at = start as u64 * STEP_MILLIS;
        assert!(
            repeats <= bound,
            "seed {seed}, window from {at}: {repeats} over {bound}"
        );
    }
}

macro_rules! repeats_keep_the_bound {
    ($($name:ident: $gateways:expr, $upset:expr;)*) => {$(
        #[test]
        fn $name() {
            repeats_keep_the_bound($gateways, $upset);
        }
    )*};
}

repeats_keep_the_bound! {
    repeats_went_beyond_the_bound_when_3_gateways_were_killed: 3, Upset::AllKilled;
    repeats_went_beyond_the_bound_when_11_gateways_were_killed: 11, Upset::AllKilled;
    repeats_went_beyond_the_bound_when_103_gateways_were_killed: 103, Upset::AllKilled;
    repeats_went_beyond_the_bound_when_340_gateways_were_killed: 340, Upset::AllKilled;
    repeats_went_beyond_the_bound_when_3_gateways_were_stopped_in_turn: 3, Upset::StoppedInTurn;
    repeats_went_beyond_the_bound_when_11_gateways_were_stopped_in_turn: 11, Upset::StoppedInTurn;
    repeats_went_beyond_the_bound_when_103_gateways_were_stopped_in_turn: 103, Upset::StoppedInTurn;
    repeats_went_beyond_the_bound_when_340_gateways_were_stopped_in_turn: 340, Upset::StoppedInTurn;
    repeats_went_beyond_the_bound_when_callers_moved_between_11_gateways: 11, Upset::CallersMove;
    repeats_went_beyond_the_bound_when_callers_moved_between_103_gateways: 103, Upset::CallersMove;
}

/// A gateway that had just started, without others, could not repeat any request.
#[test]
fn a_gateway_that_starts_alone_can_repeat_at_once() {
    assert!(new_budget(0).try_spend(at(0), LIMITS, 1));
}

/// Shares of each of `gateways` gateways. Each one does not know of a random part of the others.
fn shares_of(gateways: usize, unknown: f64, rng: &mut SmallRng) -> Vec<SendShares> {
    let names: Vec<_> = (0..gateways).map(|n| format!("gateway-{n}")).collect();
    let own_shares = |own: &String| {
        let peers = names.iter().filter(|name| *name != own);
        let known = peers.filter(|_| !rng.random_bool(unknown));
        SendShares::new(own, known.map(|name| &**name))
    };
    names.iter().map(own_shares).collect()
}

/// A server falls back into cold start unnoticed while all gateways send at their limit. In no
/// second does it get more than it can handle, even if requests arrive bunched.
fn cold_server_gets_what_it_bears(gateways: usize, cold_rate: f64) {
    let bound = cold_send_bound(cold_rate, 1.5, 5.0);
    for seed in 0..10 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let shares = shares_of(gateways, 0.0, &mut rng);
        let limits = shares.iter().map(|shares| shares.limit(seed, bound));
        let mut caps: Vec<_> = limits
            .map(|limit| (limit, SendRateCap::default()))
            .collect();
        let mut arrivals = Vec::new();
        for millis in 0..5_000 {
            for (limit, cap) in &mut caps {
                if rng.random_bool(0.5) && cap.has_room(at(millis), *limit) {
                    cap.record(at(millis));
                    arrivals.push(millis + rng.random_range(0..200));
                }
            }
        }
        for start in (0..4_000).step_by(20) {
            let in_second = arrivals
                .iter()
                .filter(|at| (start..start + 1_000).contains(*at));
            let in_second = in_second.count() as f64;
            assert!(
                bound.is_some_and(|bound| in_second <= bound),
                "seed {seed}, second from {start}: {in_second}"
            );
        }
    }
}

macro_rules! cold_servers {
    ($($name:ident: $gateways:expr, $cold_rate:expr;)*) => {$(
        #[test]
        fn $name() {
            cold_server_gets_what_it_bears($gateways, $cold_rate);
        }
    )*};
}

cold_servers! {
    a_server_that_is_cold_unnoticed_gets_what_it_bears: 4, 36.0;
    a_cold_server_before_30_gateways: 30, 14.0;
    a_cold_server_before_103_gateways: 103, 14.0;
    a_cold_server_before_122_gateways: 122, 14.0;
    a_cold_server_before_340_gateways: 340, 14.0;
}

/// All gateways send as much as they may to a server that is cold unnoticed; they are killed and start
/// anew within the second in which the sends count.
fn cold_server_outlasts_a_restart(gateways: usize, cold_rate: f64) {
    const KILL: u64 = 6_000;
    const LISTED: u64 = 50;
    const PRESSED: u64 = 200;
    let bound = cold_send_bound(cold_rate, 1.5, 5.0);
    let names: Vec<_> = (0..gateways).map(|n| format!("gateway-{n}")).collect();
    for seed in 0..4 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let server = format!("server-{seed}");
        let mut arrivals = Vec::new();
        for name in &names {
            let restart = KILL + RESTART_MILLIS;
            let lives = [
                (0, KILL - PRESSED, KILL - PRESSED, KILL),
                (restart, restart + LISTED, restart, KILL + 4_000),
            ];
            for (start, listed, press, end) in lives {
                let mut limiter = new_limiter(name, start);
                for millis in press..end {
                    if millis == listed {
                        let peers = names.iter().filter(|peer| *peer != name);
                        limiter.set_shares(SendShares::new(name, peers.map(|peer| &**peer)));
                    }
                    if limiter.start_send(&server, bound, at(millis)) {
                        arrivals.push(millis + rng.random_range(0..200));
                    }
                }
            }
        }
        for start in (0..KILL + 3_000).step_by(20) {
            let second = start..start + 1_000;
            let arrived = arrivals.iter().filter(|at| second.contains(*at)).count();
            assert!(
                bound.is_some_and(|bound| arrived as f64 <= bound),
                "seed {seed}, second from {start}: {arrived} over {bound:?}"
            );
        }
    }
}

fn new_limiter(name: &str, started: u64) -> SendLimiter {
    SendLimiter::of_starting(name, at(started))
}

macro_rules! cold_servers_outlast_restarts {
    ($($name:ident: $gateways:expr, $cold_rate:expr;)*) => {$(
        #[test]
        fn $name() {
            cold_server_outlasts_a_restart($gateways, $cold_rate);
        }
    )*};
}

cold_servers_outlast_restarts! {
    a_cold_server_got_too_much_when_3_gateways_restarted: 3, 36.0;
    a_cold_server_got_too_much_when_11_gateways_restarted: 11, 26.0;
    a_cold_server_got_too_much_when_103_gateways_restarted: 103, 14.0;
    a_cold_server_got_too_much_when_340_gateways_restarted: 340, 14.0;
}

/// Gateways come and go, and for a moment each one misses another tenth of them. The shares still
/// add up to no more than the bound, no server is left without gateways, and each gateway reaches
/// enough servers.
#[test]
fn shares_hold_while_the_lists_of_gateways_differ() {
    const SERVERS: u64 = 112;
    const BOUND: f64 = 26.0;
    for gateways in [30, 103, 122, 340] {
        let mut rng = SmallRng::seed_from_u64(gateways as u64);
        let shares = shares_of(gateways, 0.1, &mut rng);
        let limit = |shares: &SendShares, server| shares.limit(server, Some(BOUND));
        for server in 0..SERVERS {
            let sum: usize = shares.iter().map(|shares| limit(shares, server)).sum();
            assert!((1..=26).contains(&sum), "{gateways} gateways: {sum}");
        }
        for shares in &shares {
            let reached = (0..SERVERS).filter(|server| limit(shares, *server) > 0);
            assert!(reached.count() >= 1, "{gateways} gateways");
        }
    }
}

#[test]
fn shares_never_add_up_to_more_than_the_bound() {
    let mut rng = SmallRng::seed_from_u64(0);
    for gateways in 1..=80 {
        let shares = shares_of(gateways, 0.0, &mut rng);
        let bound = cold_send_bound(36.0, 1.5, 5.0);
        let sum: usize = shares.iter().map(|shares| shares.limit(7, bound)).sum();
        assert!((1..=59).contains(&sum), "{gateways} gateways: {sum}");
    }
    assert_eq!(cold_send_bound(0.0, 1.5, 5.0), None);
    let alone = SendShares::new("a", std::iter::empty());
    assert_eq!(alone.limit(7, None), usize::MAX);
}

/// All gateways lose power and start at once. None knows the others yet, and all see a server that is
/// cold and looks as idle as the rest.
#[test]
fn gateways_that_start_at_once_keep_the_bound() {
    for (gateways, cold_rate) in [(4, 28.0), (29, 28.0), (103, 14.0)] {
        let bound = cold_send_bound(cold_rate, 1.5, 5.0);
        let names = (0..gateways).map(|n| format!("gateway-{n}"));
        let starting: Vec<_> = names.map(|name| SendShares::of_starting(&name)).collect();
        for server in 0..112 {
            let limits = starting.iter().map(|shares| shares.limit(server, bound));
            let sum: usize = limits.sum();
            let is_kept = bound.is_some_and(|bound| sum as f64 <= bound);
            assert!(is_kept, "{gateways} gateways: {sum}");
        }
        assert!(starting.iter().all(|shares| shares.gateways() > gateways));
        assert_eq!(starting[0].limit(7, None), usize::MAX);
    }
}

/// A service whose placements nobody asks for. What is recorded for it must not pile up.
#[test]
fn a_window_that_is_never_counted_stays_small() {
    let mut window = SlidingWindow::new(at(1_000));
    for millis in 0..100_000 {
        window.record(at(millis));
    }
    // As of an earlier time nothing is dropped, so this counts all that is kept.
    assert!(window.count(at(0)) <= 1_000);
}
