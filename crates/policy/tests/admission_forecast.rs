//! Which waiting prompts are refused because the engines cannot get to them in time.

mod engine;

use engine::model;
use policy::{EngineCandidate, LateForecast, PromptRequirements, QueuedPrompt, late_forecast};
use proto::ServerUsage;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use std::time::Duration;

const NOW: Duration = ms(5_000);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn engine(shared_order: u64, backlog: Duration) -> EngineCandidate {
    EngineCandidate {
        shared_order,
        load: ServerUsage {
            prefill_remaining: backlog,
            ..ServerUsage::default()
        },
        slowdown: 1.0,
        accepts_requests: true,
        is_limited: false,
        suspect: None,
    }
}

fn engines(backlogs: &[Duration]) -> Vec<EngineCandidate> {
    let backlogs = backlogs.iter().zip(0..);
    backlogs
        .map(|(backlog, order)| engine(order, *backlog))
        .collect()
}

fn prompt(prompt_tokens: u64, remaining: Duration) -> QueuedPrompt {
    let request = PromptRequirements {
        prompt_tokens,
        expected_output_tokens: 800,
        first_event_target: ms(300),
        event_gap_target: ms(800),
        waited: ms(0),
        remaining,
    };
    QueuedPrompt {
        id: 1,
        rank: 1,
        team: 0,
        is_retry: false,
        request,
        queued_at: NOW,
        deadline: NOW + remaining,
    }
}

/// Adds a prompt to the engine that is free first; returns when it is prefilled.
fn serve_next(free: &mut [Duration], prefill: Duration) -> Duration {
    let first = free.iter_mut().min().unwrap();
    *first += prefill;
    *first
}

/// Prompts of a burst wait in order for engines of which some are lost in the middle. One that would be
/// served in time if each engine served them in turn must be kept, one that comes far too late must be
/// refused at once.
#[test]
fn hopeless_prompts_of_a_burst_are_refused_at_once_and_no_others() {
    let (mut refused, mut kept) = (0, 0);
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let tokens = rng.random_range(2_000..60_000);
        let prefill = model().prefill_time(tokens);
        let mut backlogs: Vec<_> = (0..rng.random_range(2..30))
            .map(|_| ms(rng.random_range(1..2_000)))
            .collect();
        let mut free = backlogs.clone();
        let mut ahead = Vec::new();
        for n in 0..200 {
            if n == 100 {
                let left = rng.random_range(1..=backlogs.len());
                backlogs.truncate(left);
                free = backlogs.clone();
                for prefill in &ahead {
                    serve_next(&mut free, *prefill);
                }
            }
            let candidates = engines(&backlogs);
            let remaining = ms(rng.random_range(1_000..6_000));
            let answered = serve_next(&mut free, prefill) + model().decode_iteration_time(0);
            let prompt = prompt(tokens, remaining);
            let late = late_forecast(&model(), &prompt, &candidates, &ahead, NOW);
            let is_refused = late.is_some();
            assert!(
                !is_refused || answered > remaining,
                "seed {seed}, prompt {n}"
            );
            let is_hopeless = answered.mul_f64(0.5) > remaining;
            assert!(is_refused || !is_hopeless, "seed {seed}, prompt {n}");
            refused += usize::from(is_refused);
            kept += usize::from(!is_refused);
            ahead.push(prefill);
        }
    }
    assert!(
        refused > 1_000 && kept > 1_000,
        "{refused} refused, {kept} kept"
    );
}

/// However long the queue is, a prompt is not refused while engines that can serve it are idle.
#[test]
fn nothing_is_refused_while_engines_are_idle() {
    let mut backlogs = vec![ms(60_000); 13];
    let ahead = vec![ms(300); 1_000];
    let long = prompt(60_000, ms(4_000));
    assert!(late_forecast(&model(), &long, &engines(&backlogs), &ahead, NOW).is_some());
    backlogs.push(ms(0));
    assert_eq!(
        late_forecast(&model(), &long, &engines(&backlogs), &ahead, NOW),
        None
    );
}

/// A longer prompt ahead may wait for more engines while a short one is placed.
#[test]
fn longer_prompts_ahead_do_not_count() {
    let engines = engines(&[ms(500); 14]);
    let short = prompt(5_000, ms(2_000));
    let longer = [ms(10_000); 20];
    assert_eq!(
        late_forecast(&model(), &short, &engines, &longer, NOW),
        None
    );
    let equal = [model().prefill_time(5_000); 4_000];
    assert!(late_forecast(&model(), &short, &engines, &equal, NOW).is_some());
}

/// A refusal says what it is based on. A longer prompt ahead that the decision left out would make the
/// figures contradict it.
#[test]
fn a_refusal_has_the_figures_of_its_forecast() {
    let prefill = model().prefill_time(5_000);
    let ahead = [prefill, ms(10_000), prefill];
    let engines = engines(&[ms(3_000), ms(5_000)]);
    let late = late_forecast(&model(), &prompt(5_000, ms(1_000)), &engines, &ahead, NOW);
    let done = ms(3_000) + 3 * prefill;
    assert!(done < ms(5_000), "one engine does all of it: {prefill:?}");
    let expected = LateForecast {
        forecast: done + model().decode_iteration_time(0),
        remaining: ms(1_000),
        backlog: ms(8_000),
        ahead: 2 * prefill,
    };
    assert_eq!(late, Some(expected));
}
