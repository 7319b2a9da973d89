//! When gateways tell each other which prompts wait, in virtual time, and the size of the frames.

mod engine;

use engine::model;
use policy::{
    MAX_REPORTED_PROMPTS, MAX_REPORTED_SERVICES, MAX_REPORTED_TEAMS, PromptRequirements,
    QueuedPrompt, WaitingFrames,
};
use proto::{TeamPrefill, encode};
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn prompt(id: u64) -> QueuedPrompt {
    QueuedPrompt {
        id,
        rank: 1,
        team: u64::MAX,
        is_retry: false,
        request: PromptRequirements {
            prompt_tokens: 200_000,
            expected_output_tokens: 800,
            first_event_target: ms(3_000),
            event_gap_target: ms(800),
            waited: ms(0),
            remaining: ms(12_000),
        },
        queued_at: ms(0),
        deadline: ms(12_000),
    }
}

/// Frames sent from `from` to `to` if the first prompt is `first_at(time)`; `None` is an empty queue.
fn frames_sent(
    frames: &mut WaitingFrames,
    peers: usize,
    (from, to): (u64, u64),
    first_at: impl Fn(u64) -> Option<u64>,
) -> usize {
    let mut sent = 0;
    for at in from..to {
        let prompts: Vec<_> = first_at(at).into_iter().map(prompt).collect();
        frames.set_waiting(7, &prompts, &model(), 54, ms(at));
        if frames
            .next_at(peers, false, ms(at))
            .is_some_and(|next| next <= ms(at))
        {
            frames.on_frame_due(ms(at));
            sent += 1;
        }
    }
    sent
}

/// Guards against a frame for each change of a busy queue, and frames while nothing waits.
#[test]
fn frames_are_limited_and_end_with_the_queue() {
    let mut frames = WaitingFrames::default();
    assert_eq!(frames_sent(&mut frames, 10, (0, 1_000), |_| None), 0);
    assert_eq!(
        frames_sent(&mut frames, 10, (1_000, 2_000), |at| Some(at / 5)),
        20
    );
    assert_eq!(frames_sent(&mut frames, 10, (2_000, 3_000), |_| Some(1)), 5);
    // Peers are told once that the queue is empty.
    assert_eq!(frames_sent(&mut frames, 10, (3_000, 4_000), |_| None), 1);
    assert_eq!(frames_sent(&mut frames, 10, (4_000, 5_000), |_| None), 0);
}

/// Peers count a report for 500 ms, so the interval stays below that.
#[test]
fn frames_of_340_gateways_are_fewer_and_still_in_time() {
    let mut frames = WaitingFrames::default();
    let sent = frames_sent(&mut frames, 339, (0, 10_000), |at| Some(at / 5));
    assert_eq!(sent, 30);
    let mut frames = WaitingFrames::default();
    let sent = frames_sent(&mut frames, 5_000, (0, 10_000), |_| Some(1));
    assert_eq!(sent, 25);
}

/// Teams' starts are told while prompts wait at peers only.
#[test]
fn starts_are_told_while_prompts_wait_at_peers() {
    let mut frames = WaitingFrames::default();
    assert_eq!(frames.next_at(10, false, ms(0)), None);
    assert_eq!(frames.next_at(10, true, ms(0)), Some(ms(0)));
    frames.on_frame_due(ms(0));
    assert_eq!(frames.next_at(10, true, ms(1)), Some(ms(200)));
}

/// Time is told as what is left, since gateways have no common clock.
#[test]
fn a_frame_tells_the_time_left_to_the_latest_start() {
    let mut frames = WaitingFrames::default();
    frames.set_waiting(7, &[prompt(1)], &model(), 54, ms(0));
    let left = |at| frames.frame(Vec::new(), at).services[0].prompts[0].latest_start_in;
    assert_eq!(left(ms(0)).unwrap() - left(ms(100)).unwrap(), ms(100));
    assert_eq!(left(ms(3_000)), None);
}

/// Guards against frames that grow with the queue, the services or the teams.
#[test]
fn frames_are_bounded() {
    let mut frames = WaitingFrames::default();
    let prompts: Vec<_> = (0..1_000).map(|id| prompt(u64::MAX - id)).collect();
    for service in 0..100 {
        frames.set_waiting(u64::MAX - service, &prompts, &model(), 54, ms(0));
    }
    let started = TeamPrefill {
        team: u64::MAX,
        prefill_time: Duration::MAX,
    };
    let frame = frames.frame(vec![started; MAX_REPORTED_TEAMS], ms(0));
    assert_eq!(frame.services.len(), MAX_REPORTED_SERVICES);
    assert!(
        frame
            .services
            .iter()
            .all(|queue| queue.prompts.len() == MAX_REPORTED_PROMPTS)
    );
    let bytes = encode(&frame).unwrap().len();
    println!("largest frame: {bytes} bytes");
    assert!(bytes <= 1_800, "{bytes}");
    frames.retain_services(&[u64::MAX]);
    let usual = encode(&frames.frame(vec![started; 4], ms(0)))
        .unwrap()
        .len();
    println!("frame of one service and four teams: {usual} bytes");
    assert!(usual <= 250, "{usual}");
}
