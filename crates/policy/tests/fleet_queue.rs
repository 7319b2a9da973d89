//! Long prompts that wait at several gateways for the same engines, in virtual time: they start in
//! the order of their ranks, whatever gateway they are at.

mod engine;
mod queueing;

use policy::{
    EngineCandidate, FleetPlacement, FleetQueue, HerdAvoidance, LocalPrompt, MAX_REPORTED_PROMPTS,
    MAX_REPORTED_SERVICES, MAX_REPORTED_TEAMS, PromptRequirements, QueueOrder, QueuedPrompt,
    TeamShares, TeamsOverShare, engines_needed, place_prompt, service_key, sort_queue,
};
use proto::{ReportedPrompt, ServerUsage, ServiceQueue, TeamPrefill, WaitingFrame};
use queueing::{Ended, Load, World, ms};
use std::time::Duration;

/// Guards against a prompt that waits at one gateway while others start less urgent ones.
#[test]
fn urgent_prompts_are_on_time_at_each_gateway() {
    for seed in 1..=5 {
        let mut world = World::new(11, 12, seed);
        world.run(ms(30_000), &Load::OfThreeRanks);
        let on_time = world.on_time(|prompt| prompt.rank == 0);
        println!("seed {seed}: {}", world.summary());
        assert!(on_time >= 0.95, "seed {seed}: {on_time}");
    }
}

/// Guards against engines that stay idle for the prompts of a gateway that is gone.
#[test]
fn urgent_prompts_are_on_time_though_a_peer_falls_silent() {
    for seed in 1..=5 {
        let mut world = World::new(11, 12, seed);
        world.run(ms(15_000), &Load::OfThreeRanks);
        world.silence(3);
        world.run(ms(15_000), &Load::OfThreeRanks);
        let on_time = world.on_time(|prompt| prompt.rank == 0 && prompt.gateway != 3);
        println!("seed {seed}: {}", world.summary());
        assert!(on_time >= 0.95, "seed {seed}: {on_time}");
    }
}

/// In the middle of the load a third of the engines begins to fail some of its requests, so that more prompts
/// start shortly before they would be late, also on failing engines. Prefills take up to a fortieth longer
/// than forecast. Guards against starts that count as on time and end late.
#[test]
fn starts_as_on_time_end_in_time_though_engines_begin_to_fail() {
    for seed in 1..=10 {
        let mut world = World::new(11, 12, seed);
        world.overrun_forecasts(0.025);
        world.run(ms(15_000), &Load::OfThreeRanks);
        let before = world.started_as_on_time().count();
        world.fail_engines(0..4);
        world.run(ms(15_000), &Load::OfThreeRanks);
        let starts: Vec<_> = world.started_as_on_time().collect();
        let is_late = |start: &&&Ended| start.ended_in_time == Some(false);
        let late = starts.iter().filter(is_late).count();
        let starts = starts.len();
        println!("seed {seed}: {late} late of {starts}, {before} before");
        assert!(starts > before, "seed {seed}: no starts after the failures");
        assert_eq!(late, 0, "seed {seed}: {late} of {starts}");
    }
}

fn requirements(waited: Duration) -> PromptRequirements {
    PromptRequirements {
        prompt_tokens: 200_000,
        expected_output_tokens: 800,
        first_event_target: ms(3_000),
        event_gap_target: ms(800),
        waited,
        remaining: ms(12_000),
    }
}

fn idle_engines(count: u64) -> Vec<EngineCandidate> {
    let engine = |shared_order| EngineCandidate {
        shared_order,
        load: ServerUsage::default(),
        slowdown: 1.0,
        accepts_requests: true,
        is_limited: false,
        suspect: None,
    };
    (0..count).map(engine).collect()
}

fn frame(service: &str, prompts: impl Iterator<Item = (u64, u8)>) -> WaitingFrame {
    let prompts = prompts.map(|(id, engines)| ReportedPrompt {
        id,
        rank: 0,
        latest_start_in: Some(ms(900)),
        engines,
        team: 0,
    });
    WaitingFrame {
        services: vec![ServiceQueue {
            service: service_key(service),
            prompts: prompts.collect(),
        }],
        started: Vec::new(),
    }
}

/// Places a prompt of rank 1 on some of `engines` idle engines; returns how many it gets.
fn started_on(queue: &mut FleetQueue, engines: u64, now: Duration) -> Option<usize> {
    let requirements = requirements(ms(0));
    let prompt = LocalPrompt {
        service: service_key("s"),
        order: QueueOrder {
            is_late: false,
            rank: 1,
            shares_over: 0,
            latest_start: now,
        },
        requirements: &requirements,
    };
    let model = engine::model();
    let place = |engines: &[EngineCandidate]| {
        place_prompt(&model, &requirements, engines, HerdAvoidance::default()).ok()
    };
    match queue.place(
        &prompt,
        &idle_engines(engines),
        &TeamsOverShare::default(),
        place,
        now,
    ) {
        FleetPlacement::Start(placement) => Some(1 + placement.helpers.len()),
        _ => None,
    }
}

/// A hold ends after 200 ms, though the peer goes on to report the prompt, and is not begun again.
#[test]
fn engines_are_left_to_a_peer_for_a_limited_time() {
    let mut queue = FleetQueue::default();
    for at in (0..1_000).step_by(50) {
        queue.on_peer_frame("p", &frame("s", [(7, 2)].into_iter()), ms(at));
        assert_eq!(
            started_on(&mut queue, 2, ms(at)).is_some(),
            at >= 200,
            "{at}"
        );
    }
}

/// A prompt takes fewer engines than it could, and all of them while they are enough for both.
#[test]
fn a_prompt_starts_on_the_engines_that_peers_do_not_need() {
    let mut queue = FleetQueue::default();
    assert_eq!(started_on(&mut queue, 4, ms(0)), Some(3));
    queue.on_peer_frame("p", &frame("s", [(7, 2)].into_iter()), ms(0));
    assert_eq!(started_on(&mut queue, 5, ms(0)), Some(3));
    assert_eq!(started_on(&mut queue, 4, ms(0)), Some(2));
    assert_eq!(started_on(&mut queue, 2, ms(0)), None);
}

/// Reports that are old, of other services or withdrawn hold nothing.
#[test]
fn only_current_reports_of_the_service_count() {
    let mut queue = FleetQueue::default();
    queue.on_peer_frame("p", &frame("other", [(7, 2)].into_iter()), ms(0));
    assert!(started_on(&mut queue, 2, ms(0)).is_some());
    queue.on_peer_frame("p", &frame("s", [(8, 2)].into_iter()), ms(0));
    assert!(started_on(&mut queue, 2, ms(501)).is_some());
    queue.on_peer_frame("p", &frame("s", [(9, 2)].into_iter()), ms(510));
    assert!(started_on(&mut queue, 2, ms(510)).is_none());
    queue.on_peer_frame("p", &WaitingFrame::default(), ms(520));
    assert!(started_on(&mut queue, 2, ms(520)).is_some());
}

/// Guards against state that grows with what peers send.
#[test]
fn state_is_bounded_before_340_gateways_and_beyond() {
    let mut queue = FleetQueue::default();
    let large = frame("s", (0..1_000).map(|id| (id, 1)));
    let large = WaitingFrame {
        services: vec![large.services[0].clone(); 100],
        ..large
    };
    let of_each = MAX_REPORTED_PROMPTS * MAX_REPORTED_SERVICES;
    (0..339).for_each(|peer| queue.on_peer_frame(&peer.to_string(), &large, ms(peer)));
    assert_eq!(queue.len(), 339 * of_each);
    (0..5_000).for_each(|peer| queue.on_peer_frame(&peer.to_string(), &large, ms(400)));
    assert_eq!(queue.len(), 1_024 * of_each);
    queue.on_peer_frame("new", &frame("s", [(7, 2)].into_iter()), ms(901));
    assert_eq!(queue.len(), 1);
}

#[test]
fn a_prompt_is_reported_with_the_engines_that_it_needs() {
    let needed = |waited| engines_needed(&engine::model(), &requirements(ms(waited)));
    assert_eq!((needed(0), needed(1_500), needed(2_900)), (2, 3, 17));
}

/// Guards against a team that takes the engines in proportion to what it sends.
#[test]
fn a_team_that_sends_ten_times_as_many_gets_no_more_than_twice_a_share() {
    for seed in 1..=2 {
        let mut world = World::new(11, 54, seed);
        world.run(ms(12_000), &Load::WithLargeTeam);
        let shares = world.shares();
        println!("seed {seed}: {shares:.2?}, {}", world.summary());
        assert!(shares[0] <= 2.0, "seed {seed}: {shares:?}");
        let least = shares.iter().copied().fold(f64::MAX, f64::min);
        assert!(least >= 0.25, "seed {seed}: {shares:?}");
    }
}

/// The same with so few engines that a team waits for seconds between its starts.
#[test]
fn a_team_that_sends_ten_times_as_many_gets_no_more_than_twice_a_share_of_few_engines() {
    for seed in 1..=5 {
        let mut world = World::new(11, 12, seed);
        world.run(ms(30_000), &Load::WithLargeTeam);
        let shares = world.shares();
        assert!(shares[0] <= 2.0, "seed {seed}: {shares:?}");
        let least = shares.iter().copied().fold(f64::MAX, f64::min);
        assert!(least >= 0.25, "seed {seed}: {shares:?}");
    }
}

/// Guards against shares that depend on the reports of a gateway that is gone.
#[test]
fn shares_hold_though_a_peer_falls_silent() {
    for seed in 1..=2 {
        let mut world = World::new(11, 54, seed);
        world.run(ms(6_000), &Load::WithLargeTeam);
        world.silence(3);
        world.run(ms(6_000), &Load::WithLargeTeam);
        let shares = world.shares();
        println!("seed {seed}: {shares:.2?}");
        assert!(shares[0] <= 2.0, "seed {seed}: {shares:?}");
    }
}

fn queued_prompt(id: u64, rank: u8, team: u64, queued_at: Duration) -> QueuedPrompt {
    QueuedPrompt {
        id,
        rank,
        team,
        is_retry: false,
        request: requirements(ms(0)),
        queued_at,
        deadline: queued_at + ms(12_000),
    }
}

/// A stream broke off with its engine, and its prompt was put behind others until its caller gave up:
/// the start that had failed counted for its team.
#[test]
fn a_prompt_that_is_sent_again_does_not_go_behind_others() {
    let mut shares = TeamShares::default();
    shares.record_start(1, ms(4_000), ms(0));
    let mut prompts = [
        queued_prompt(10, 1, 2, ms(100)),
        QueuedPrompt {
            is_retry: true,
            ..queued_prompt(11, 1, 1, ms(95))
        },
    ];
    let over_share = shares.over_share([1, 2], ms(100));
    sort_queue(&mut prompts, &engine::model(), 14, over_share, ms(100));
    assert_eq!(prompts.map(|prompt| prompt.id), [11, 10]);
}

/// A team over its share goes behind the others of its rank, not behind those of other ranks, and no
/// longer once its starts are some seconds old.
#[test]
fn a_team_over_its_share_goes_behind_others_of_its_rank() {
    let mut shares = TeamShares::default();
    shares.record_start(1, ms(4_000), ms(0));
    shares.record_start(2, ms(1_000), ms(0));
    let mut order = |at| {
        let mut prompts = [
            queued_prompt(10, 1, 1, at),
            queued_prompt(11, 1, 2, at + ms(5)),
            queued_prompt(12, 2, 3, at),
        ];
        let over_share = shares.over_share([1, 2, 3], at);
        sort_queue(&mut prompts, &engine::model(), 14, over_share, at);
        prompts.map(|prompt| prompt.id)
    };
    assert_eq!(order(ms(100)), [11, 10, 12]);
    assert_eq!(order(ms(5_000)), [10, 11, 12]);
}

/// Guards against figures that grow with teams, starts and gateways.
#[test]
fn figures_of_teams_are_bounded_before_340_gateways_and_beyond() {
    let mut shares = TeamShares::default();
    (0..5_000).for_each(|team| shares.record_start(team, ms(team), ms(10)));
    assert_eq!(shares.len(), 1_024);
    assert_eq!(shares.report(ms(20)).len(), MAX_REPORTED_TEAMS);
    let started = (0..1_000).map(|team| TeamPrefill {
        team,
        prefill_time: Duration::MAX,
    });
    let large = WaitingFrame {
        started: started.collect(),
        ..WaitingFrame::default()
    };
    (0..339).for_each(|peer| shares.on_peer_frame(&peer.to_string(), &large, ms(20)));
    assert_eq!(shares.len(), 1_024 + 339 * MAX_REPORTED_TEAMS);
    (0..5_000).for_each(|peer| shares.on_peer_frame(&peer.to_string(), &large, ms(20)));
    assert_eq!(shares.len(), 1_024 + 1_024 * MAX_REPORTED_TEAMS);
    assert_eq!(shares.over_share([1], ms(30)).shares(2_000), 0);
    assert_eq!((shares.report(ms(5_020)).len(), shares.len()), (0, 0));
}
