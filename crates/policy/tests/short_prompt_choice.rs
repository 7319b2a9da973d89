//! Short prompts that wait for an engine. Each test names the load pattern that it covers.

mod engine;
mod mixed_load;

use engine::model;
use mixed_load::{FAILURES_START, MixedLoad};
use policy::{EngineCandidate, HerdAvoidance, PromptRequirements, place_prompt};
use proto::ServerUsage;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use std::time::Duration;

const TARGET: Duration = ms(300);
/// Required share of short prompts on time.
const MIN_ON_TIME: f64 = 0.95;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn draft(waited: Duration) -> PromptRequirements {
    PromptRequirements {
        prompt_tokens: 5_000,
        expected_output_tokens: 1_600,
        first_event_target: TARGET,
        event_gap_target: ms(200),
        waited,
        remaining: ms(12_000),
    }
}

fn idle(order: usize) -> EngineCandidate {
    EngineCandidate {
        shared_order: order as u64,
        load: ServerUsage::default(),
        slowdown: 1.0,
        accepts_requests: true,
        is_limited: false,
        suspect: None,
    }
}

/// An engine that prefills a part of a long prompt for the given time, if any.
fn engine(order: usize, part: Option<Duration>) -> EngineCandidate {
    EngineCandidate {
        load: ServerUsage {
            prefill_remaining: part.unwrap_or_default(),
            long_prefills: u32::from(part.is_some()),
            ..ServerUsage::default()
        },
        ..idle(order)
    }
}

/// Engines that prefill a part of a long prompt, as they look to a gateway `now`. `parts` has for each the
/// forecast and the actual time of the part's end.
fn with_parts(parts: &[(Duration, Duration)], now: Duration) -> Vec<EngineCandidate> {
    let part = |(order, (forecast, end)): (usize, &(Duration, Duration))| {
        if *end <= now {
            engine(order, None)
        } else {
            engine(order, Some(forecast.saturating_sub(now).max(ms(10))))
        }
    };
    parts.iter().enumerate().map(part).collect()
}

/// Time to the first event of a short prompt that is checked every 30 ms, and the time of its placement.
fn first_event_behind_parts(
    parts: &[(Duration, Duration)],
    rng: &mut SmallRng,
) -> (Duration, Duration) {
    let mut checks = (0..600).step_by(30).map(ms);
    let placed = checks.find_map(|waited| {
        let herd_avoidance = HerdAvoidance {
            unseen_placements: 25.0,
            sender_fraction: 1.0,
            random: rng.random(),
            ..HerdAvoidance::default()
        };
        let need = draft(waited);
        let engines = with_parts(parts, waited);
        let placement = place_prompt(&model(), &need, &engines, herd_avoidance)?;
        Some((placement, waited))
    });
    let (placement, waited) = placed.expect("the wait ends");
    let (_, part_end) = parts[placement.decoder];
    let own = placement.part_prefill_time + model().decode_iteration_time(1);
    (part_end.max(waited) + own, waited)
}

/// A burst of short prompts while all engines prefill parts of long ones, of which a quarter take a second
/// longer than forecast. A prompt that waits gets the first engine that becomes free.
#[test]
fn short_prompts_wait_for_engines_that_are_soon_free() {
    const PROMPTS: usize = 200;
    let mut rng = SmallRng::seed_from_u64(1);
    let is_on_time = |_: &usize| {
        let part = |_| {
            let forecast = ms(rng.random_range(20..400));
            let overrun = if rng.random_bool(0.25) {
                ms(1_000)
            } else {
                ms(0)
            };
            (forecast, forecast + overrun)
        };
        let parts: Vec<_> = (0..14).map(part).collect();
        first_event_behind_parts(&parts, &mut rng).0 <= TARGET
    };
    let on_time = (0..PROMPTS).filter(is_on_time).count();
    assert!(on_time >= PROMPTS * 95 / 100, "{on_time} of {PROMPTS}");
}

/// The same, but the parts go on for long, as on engines that stall. The wait ends in time for the target.
#[test]
fn short_prompts_do_not_wait_for_engines_that_stall() {
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..100 {
        let part = |_| (ms(rng.random_range(20..400)), ms(9_000));
        let parts: Vec<_> = (0..14).map(part).collect();
        let (_, placed_at) = first_event_behind_parts(&parts, &mut rng);
        assert!(placed_at <= TARGET, "{placed_at:?}");
    }
}

/// A load of short prompts beside the longest ones. In the middle of it the engines that hold the short ones
/// begin to fail a quarter of their requests. Guards against short prompts that are placed behind parts of
/// long ones while engines that answer most of their requests are free.
#[test]
fn short_prompts_are_on_time_though_engines_begin_to_fail() {
    for seed in 1..=8 {
        let load = MixedLoad::run(seed);
        let shares = [ms(0), FAILURES_START].map(|start| load.share_on_time(start));
        println!("seed {seed}: {shares:.3?}");
        for share in shares {
            assert!(share >= MIN_ON_TIME, "seed {seed}: {shares:?}");
        }
    }
}
