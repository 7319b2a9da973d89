//! Many spans at the same time on few engines.

use crate::world::{ENGINE_TOKENS, FREEZE_TIME, Input, Msg, World};
use policy::{LeaderAction, Segment, SpanPlan};
use proto::prelude::*;
use proto::{SpanTicket, Stamp};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

const ENGINES: usize = 6;
/// Longest time from the reservation of memory to its release: all prefills and the answer.
const MAX_HOLD_TIME: Duration = Duration::from_secs(6);
const RETRY_DELAY: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_secs(600);
const SPAN_TOKENS: Tokens = ENGINE_TOKENS * 3 / 4;

fn start_span(
    world: &mut World,
    number: u128,
    servers: &[usize],
    tokens: Tokens,
    deadline: Duration,
) {
    let mut segments = Vec::new();
    for (index, server) in servers.iter().enumerate() {
        let from = index as Tokens * tokens;
        segments.push(Segment {
            server: server.to_string().into(),
            from,
            to: from + tokens,
            tokens,
        });
    }
    let attempt = AttemptId {
        request: number,
        number: 1,
    };
    let micros = world.now.as_micros() as u64;
    let ticket = SpanTicket {
        stamp: Stamp { micros, counter: 0 },
        attempt,
    };
    let plan = SpanPlan { segments };
    let leader = world.agent(*servers.last().unwrap());
    let input = Input::StartSpan {
        ticket,
        plan,
        deadline,
    };
    world.post(Duration::ZERO, Msg::Node(leader, input));
}

fn start_random_span(world: &mut World, rng: &mut SmallRng, number: u128, deadline: Duration) {
    let mut servers: Vec<_> = (0..ENGINES).collect();
    servers.shuffle(rng);
    servers.truncate(rng.random_range(2..=4));
    let tokens = rng.random_range(200..=650);
    start_span(world, number, &servers, tokens, deadline);
}

fn step(world: &mut World, by: Duration) {
    world.run_until(world.now + by);
    for engine in &world.engines {
        let held = engine.held_tokens_where(|id| !id.contains('-'));
        assert!(held <= SPAN_TOKENS, "short prompts keep their room");
    }
}

#[test]
fn all_spans_end_whole_within_the_bound() {
    for seed in 0..16 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = World::new(ENGINES, false);
        step(&mut world, Duration::from_secs(1));
        for number in 0..24 {
            start_random_span(&mut world, &mut rng, number, DEADLINE);
            let pause = rng.random_range(0..1500);
            step(&mut world, Duration::from_millis(pause));
        }
        for _ in 0..400 {
            step(&mut world, Duration::from_millis(500));
        }
        let mut led: Vec<_> = world.nodes.iter().flat_map(|node| &node.leaders).collect();
        led.sort_by_key(|led| led.started);
        assert_eq!(led.len(), 24);
        for (older, led) in led.iter().enumerate() {
            let end = led.end.as_ref().map(|(_, end)| end);
            assert_eq!(end, Some(&LeaderAction::Finished), "seed {seed}");
            let waited = led.prefill_started.unwrap() - led.started;
            let bound = (MAX_HOLD_TIME + RETRY_DELAY) * (older as u32) + RETRY_DELAY;
            assert!(
                waited <= bound,
                "seed {seed}: span {older} waited {waited:?}"
            );
        }
        assert_eq!(world.unowned_tokens(), 0);
    }
}

#[test]
fn wide_span_starts_among_a_stream_of_narrow_ones() {
    let mut world = World::new(ENGINES, false);
    step(&mut world, Duration::from_secs(1));
    for number in 0..120 {
        if number == 10 {
            let wide: Vec<_> = (0..ENGINES).collect();
            start_span(&mut world, 1000, &wide, 700, DEADLINE);
        }
        let first = (number as usize * 2) % ENGINES;
        start_span(&mut world, number, &[first, first + 1], 400, DEADLINE);
        step(&mut world, Duration::from_millis(500));
    }
    let mut led = world.nodes.iter().flat_map(|node| &node.leaders);
    let wide = led.find(|led| led.segments == ENGINES).unwrap();
    let waited = wide.prefill_started.expect("the wide span started") - wide.started;
    assert!(
        waited <= (MAX_HOLD_TIME + RETRY_DELAY) * 2,
        "waited {waited:?}"
    );
}

#[test]
fn nothing_leaks_while_agents_die_and_freeze() {
    const SPAN_TIME: Duration = Duration::from_secs(60);
    for seed in 100..116 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = World::new(ENGINES, seed % 2 == 0);
        step(&mut world, Duration::from_secs(1));
        for number in 0..40 {
            let deadline = world.now + SPAN_TIME;
            start_random_span(&mut world, &mut rng, number, deadline);
            let pause = rng.random_range(0..3000);
            step(&mut world, Duration::from_millis(pause));
            let victim = world.agent(rng.random_range(0..ENGINES));
            match rng.random_range(0..6) {
                0 if world.nodes[victim].alive => world.crash(victim),
                1 if world.nodes[victim].frozen_until <= world.now => world.freeze(victim),
                2 => {
                    let gone = Msg::Node(victim, Input::GatewayGone);
                    world.post(Duration::ZERO, gone);
                }
                _ => {}
            }
        }
        step(&mut world, SPAN_TIME + FREEZE_TIME * 2);
        let held: Tokens = world
            .engines
            .iter()
            .map(|engine| engine.held_tokens_where(|_| true))
            .sum();
        assert_eq!(held, 0, "seed {seed}");
    }
}
