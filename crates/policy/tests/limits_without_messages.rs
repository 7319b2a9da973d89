//! Limits that hold over all gateways without any messages between them.

use policy::{RepeatBudget, RepeatLimits, SendRateCap, gateway_send_limit};
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
        let mut budgets: Vec<_> = (0..4).map(|_| RepeatBudget::new(LIMITS.window)).collect();
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

/// A server falls back into cold start unnoticed while all gateways send at their limit. In no
/// second does it get more than it can handle, even if requests arrive bunched.
#[test]
fn a_server_that_is_cold_unnoticed_gets_what_it_bears() {
    const GATEWAYS: usize = 4;
    let share = gateway_send_limit(36.0, 1.5, 5.0, GATEWAYS);
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut caps: Vec<_> = (0..GATEWAYS).map(|_| SendRateCap::default()).collect();
        let mut arrivals = Vec::new();
        for millis in 0..10_000 {
            for cap in &mut caps {
                if rng.random_bool(0.5) && cap.has_room(at(millis), share) {
                    cap.record(at(millis));
                    arrivals.push(millis + rng.random_range(0..200));
                }
            }
        }
        for start in (0..9_000).step_by(20) {
            let in_second = arrivals
                .iter()
                .filter(|at| (start..start + 1_000).contains(*at));
            assert!(in_second.count() <= 59, "seed {seed}, second from {start}");
        }
    }
}

#[test]
fn shares_never_add_up_to_more_than_the_bound() {
    for gateways in 1..=59 {
        assert!(gateway_send_limit(36.0, 1.5, 5.0, gateways) * gateways <= 59);
    }
    assert_eq!(gateway_send_limit(0.0, 1.5, 5.0, 4), usize::MAX);
}
