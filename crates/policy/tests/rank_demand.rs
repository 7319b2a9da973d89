//! Room that long prompts leave for more urgent short ones.

mod engine;

use engine::model;
use policy::{
    EngineCandidate, HerdAvoidance, PromptRequirements, RankDemand, UrgentRoomShortage,
    place_prompt, urgent_room_shortage,
};
use proto::ServerUsage;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use std::time::Duration;

const ROUNDS: usize = 100;
const ENGINES: u64 = 60;
/// More urgent prompts per second.
const URGENT_RATE: f64 = 120.0;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn archive(remaining: Duration) -> PromptRequirements {
    PromptRequirements {
        prompt_tokens: 400_000,
        expected_output_tokens: 800,
        first_event_target: ms(8_000),
        event_gap_target: ms(800),
        waited: ms(0),
        remaining,
    }
}

/// Engines of which 20 are idle, and the others have `max_free` free slots at most.
fn engines(rng: &mut SmallRng, max_free: u32) -> Vec<EngineCandidate> {
    let engine = |order| {
        let free = rng.random_range(0..=max_free);
        EngineCandidate {
            shared_order: order,
            load: ServerUsage {
                jobs: if order < 40 { model().slots - free } else { 0 },
                min_event_gap_target: if order < 40 { ms(200) } else { Duration::MAX },
                ..ServerUsage::default()
            },
            slowdown: 1.0,
            accepts_requests: true,
            is_limited: false,
            suspect: None,
        }
    };
    (0..ENGINES).map(engine).collect()
}

/// Free slots of the engines that a long prompt leaves, and the duration of its prefill, if it starts while
/// the rate of more urgent short prompts is `urgent_rate`; why it does not start otherwise.
fn start(
    engines: &[EngineCandidate],
    remaining: Duration,
    urgent_rate: f64,
) -> Result<(f64, Duration), UrgentRoomShortage> {
    let need = archive(remaining);
    let placement = place_prompt(&model(), &need, engines, HerdAvoidance::default()).unwrap();
    let helpers = placement.helpers.iter().map(|helper| helper.engine);
    let taken: Vec<_> = helpers.chain([placement.decoder]).collect();
    let others = (0..engines.len()).filter(|index| !taken.contains(index));
    let free = others.map(|index| model().slots - engines[index].load.jobs);
    let free = f64::from(free.sum::<u32>());
    match urgent_room_shortage(&model(), &need, engines, &placement, urgent_rate) {
        None => Ok((free, placement.first_event_forecast)),
        Some(shortage) => {
            assert_eq!(f64::from(shortage.free_slots), free);
            assert_eq!(shortage.forecast, placement.first_event_forecast);
            Err(shortage)
        }
    }
}

/// Long prompts arrive in a burst of more urgent short ones that have few slots left.
#[test]
fn long_prompts_leave_slots_for_more_urgent_ones() {
    let mut rng = SmallRng::seed_from_u64(1);
    let (mut urgent, mut served, mut started) = (0.0, 0.0, 0);
    for round in 0..ROUNDS {
        let engines = engines(&mut rng, if round % 2 == 0 { 2 } else { 14 });
        if let Ok((free, prefill)) = start(&engines, ms(30_000), URGENT_RATE) {
            let arrivals = URGENT_RATE * prefill.as_secs_f64();
            urgent += arrivals;
            served += free.min(arrivals);
            started += 1;
        }
    }
    assert!(served >= 0.95 * urgent, "{served} of {urgent}");
    assert!((ROUNDS / 4..ROUNDS).contains(&started), "{started} started");
}

/// In the middle of the burst the time of a long prompt runs out: it starts all the same.
#[test]
fn a_long_prompt_starts_before_it_cannot_be_served() {
    let engines = engines(&mut SmallRng::seed_from_u64(1), 0);
    assert!(start(&engines, ms(30_000), 10.0 * URGENT_RATE).is_err());
    assert!(start(&engines, ms(3_000), 10.0 * URGENT_RATE).is_ok());
    assert!(start(&engines, ms(30_000), 0.0).is_ok());
}

/// A long prompt that yields says for how long at most. It must still yield just before, and start then;
/// an operator would otherwise look for another cause of its wait.
#[test]
fn a_long_prompt_yields_for_as_long_as_it_says() {
    let engines = engines(&mut SmallRng::seed_from_u64(1), 0);
    let urgent_rate = 10.0 * URGENT_RATE;
    let remaining = ms(30_000);
    let shortage = start(&engines, remaining, urgent_rate).unwrap_err();
    let expected = urgent_rate * shortage.forecast.as_secs_f64();
    assert_eq!(shortage.expected_prompts, expected);
    assert!(f64::from(shortage.free_slots) < expected, "{shortage:?}");
    let left = remaining - shortage.max_wait;
    assert!(start(&engines, left + ms(1), urgent_rate).is_err());
    assert!(start(&engines, left - ms(1), urgent_rate).is_ok());
}

/// Only short prompts of a more urgent rank count, and only for a second.
#[test]
fn demand_is_counted_by_rank() {
    let mut demand = RankDemand::default();
    for (rank, is_short) in [(0, true), (0, false), (1, true), (2, true)] {
        demand.record(rank, is_short, ms(0));
    }
    let shares = [0, 1, 2].map(|rank| demand.urgent_share(rank, ms(900)));
    assert_eq!(shares, [0.0, 0.25, 0.5]);
    assert_eq!(demand.urgent_share(2, ms(1_000)), 0.0);
}
