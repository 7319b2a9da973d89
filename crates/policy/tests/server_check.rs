//! Checks of servers that failed, on links that lose packets, in virtual time.

use policy::{CallChecks, CheckReply, CheckStep, RunningChecks, ServerCheck, ServerFate};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

const SEEDS: Range<u64> = 0..2_000;
/// Time that a packet takes to the server and back, in milliseconds.
const ROUND_TRIP_MS: u64 = 3;
/// Times after which the kernel sends the first packet of a connection again, in milliseconds.
const SEND_TIMES_MS: [u64; 3] = [0, 1_000, 3_000];
const NEVER: Range<u64> = 0..0;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// How a server and the link to it fare; times are in milliseconds.
#[derive(Debug, Clone)]
struct Fate {
    /// What the host replies to a connection.
    reply: Option<CheckReply>,
    /// Lost packets in a hundred, each way.
    loss: u32,
    /// When the server's host drops the first packets of connections, as one whose backlog is full.
    drops: Range<u64>,
    /// When the process that checks does not run.
    frozen: Range<u64>,
}

impl Fate {
    fn with_loss(reply: Option<CheckReply>, loss: u32) -> Self {
        Self {
            reply,
            loss,
            drops: NEVER,
            frozen: NEVER,
        }
    }
}

/// What a check found, and when.
#[derive(Debug, PartialEq, Eq)]
struct Outcome {
    fate: ServerFate,
    ended_at: u64,
    connections: u32,
    lost_packets: u32,
}

/// When the first reply to a connection made at `now` arrives, with what was lost.
fn reply_time(fate: &Fate, now: u64, rng: &mut StdRng) -> (Option<u64>, u32) {
    let mut lost = 0;
    for after in SEND_TIMES_MS {
        let sent_at = now + after;
        let arrives = !rng.random_ratio(fate.loss, 100) && !fate.drops.contains(&sent_at);
        if arrives && !rng.random_ratio(fate.loss, 100) {
            return (Some(sent_at + ROUND_TRIP_MS), lost);
        }
        lost += 1;
    }
    (None, lost)
}

fn check(fate: &Fate, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut check = ServerCheck::new(at(0));
    let mut replies = BTreeMap::new();
    let (mut connections, mut lost_packets, mut now) = (0, 0, 0);
    let mut connect = |now: u64, replies: &mut BTreeMap<u64, CheckReply>| {
        connections += 1;
        let (time, lost) = reply_time(fate, now, &mut rng);
        lost_packets += lost;
        if let (Some(time), Some(reply)) = (time, fate.reply) {
            replies.insert(time, reply);
        }
    };
    connect(0, &mut replies);
    loop {
        if fate.frozen.contains(&now) {
            now = fate.frozen.end;
        }
        for (_, reply) in replies.range(..=now) {
            check.on_reply(*reply);
        }
        match check.next_step(at(now)) {
            CheckStep::Connect => connect(now, &mut replies),
            CheckStep::Wait(_) => now += 1,
            CheckStep::Ended(fate) => {
                return Outcome {
                    fate,
                    ended_at: now,
                    connections,
                    lost_packets,
                };
            }
        }
    }
}

fn outcomes(fate: &Fate) -> Vec<Outcome> {
    SEEDS.map(|seed| check(fate, seed)).collect()
}

/// Losses of up to a fifth of the packets make no living server seem gone, at any seed.
fn is_never_gone(fate: &Fate) {
    for (seed, outcome) in outcomes(fate).iter().enumerate() {
        assert_eq!(outcome.fate, ServerFate::Lives, "seed {seed}: {outcome:?}");
    }
}

/// Where two packets in five are lost, only the loss of a packet of each connection, and of one that
/// was sent again, makes a living server seem gone; that is rare.
fn is_rarely_gone(fate: &Fate) {
    let mut outcomes = outcomes(fate);
    outcomes.retain(|outcome| outcome.fate != ServerFate::Lives);
    assert!(outcomes.len() < SEEDS.count() / 50, "{}", outcomes.len());
    for outcome in outcomes {
        assert!(outcome.lost_packets > outcome.connections, "{outcome:?}");
        assert!(outcome.connections >= 8, "{outcome:?}");
    }
}

fn is_always_gone(fate: &Fate) {
    for (seed, outcome) in outcomes(fate).iter().enumerate() {
        assert_ne!(outcome.fate, ServerFate::Lives, "seed {seed}: {outcome:?}");
        assert!(at(outcome.ended_at) <= ServerCheck::MAX_TIME, "{outcome:?}");
    }
}

macro_rules! fates {
    ($($name:ident: $check:ident($reply:expr, $loss:expr);)*) => {$(
        #[test]
        fn $name() {
            $check(&Fate::with_loss($reply, $loss));
        }
    )*};
}

const ACCEPTS: Option<CheckReply> = Some(CheckReply::Accepted);
const REFUSES: Option<CheckReply> = Some(CheckReply::Refused);

fates! {
    a_living_server_counted_as_gone_without_loss: is_never_gone(ACCEPTS, 0);
    a_living_server_counted_as_gone_with_5_in_100_lost: is_never_gone(ACCEPTS, 5);
    a_living_server_counted_as_gone_with_20_in_100_lost: is_never_gone(ACCEPTS, 20);
    a_living_server_counted_as_gone_with_40_in_100_lost: is_rarely_gone(ACCEPTS, 40);
    a_connection_that_was_not_made_counted_as_proof: is_never_gone(Some(CheckReply::Failed), 20);
    a_process_that_ended_counted_as_living: is_always_gone(REFUSES, 0);
    a_process_that_ended_counted_as_living_with_5_in_100_lost: is_always_gone(REFUSES, 5);
    a_process_that_ended_counted_as_living_with_20_in_100_lost: is_always_gone(REFUSES, 20);
    a_process_that_ended_counted_as_living_with_40_in_100_lost: is_always_gone(REFUSES, 40);
    a_server_that_is_cut_off_counted_as_living: is_always_gone(None, 0);
    a_server_that_is_cut_off_counted_as_living_with_40_in_100_lost: is_always_gone(None, 40);
}

/// A refusal and an acceptance end a check at once.
#[test]
fn a_check_went_on_after_a_reply() {
    for (reply, fate) in [(ACCEPTS, ServerFate::Lives), (REFUSES, ServerFate::Ended)] {
        let outcome = check(&Fate::with_loss(reply, 0), 0);
        let expected = Outcome {
            fate,
            ended_at: ROUND_TRIP_MS,
            connections: 1,
            lost_packets: 0,
        };
        assert_eq!(outcome, expected);
    }
}

#[test]
fn a_server_with_a_full_backlog_counted_as_gone() {
    for end in (0..=1_000).step_by(10) {
        let drops = 0..end;
        let fate = Fate {
            drops,
            ..Fate::with_loss(ACCEPTS, 0)
        };
        let outcome = check(&fate, 0);
        assert_eq!(outcome.fate, ServerFate::Lives, "{end} ms: {outcome:?}");
    }
}

/// A process that does not run for some time finds its connections unanswered.
#[test]
fn a_frozen_process_counted_a_living_server_as_gone() {
    for start in (0..1_200).step_by(150) {
        let fate = Fate {
            frozen: start..start + 4_000,
            ..Fate::with_loss(ACCEPTS, 20)
        };
        is_never_gone(&fate);
    }
}

#[test]
fn a_server_that_was_found_to_be_gone_twice_counted_twice() {
    let mut checks = CallChecks::default();
    let server = "engine-1".into();
    assert!(checks.start(&server, at(0)));
    assert!(!checks.start(&server, at(10)), "it is being checked");
    checks.on_fate(&server, ServerFate::Ended);
    assert!(!checks.start(&server, at(20)), "it is known to be gone");
    checks.on_fate(&server, ServerFate::Ended);
    assert_eq!(checks.gone(), 1);
}

/// A call that has no time to run again after a check has ended ends at once.
#[test]
fn a_call_waited_for_a_check_that_came_too_late() {
    let mut checks = CallChecks::default();
    assert!(!checks.is_worth_waiting(at(60_000)), "nothing is checked");
    let server = "engine-1".into();
    checks.start(&server, at(0));
    assert!(checks.is_worth_waiting(ServerCheck::MAX_TIME + at(1)));
    assert!(!checks.is_worth_waiting(ServerCheck::MAX_TIME));
    checks.on_fate(&server, ServerFate::Lives);
    assert!(!checks.is_worth_waiting(at(60_000)), "the check has ended");
}

/// Guards against connections for each of the calls that a lost host had.
#[test]
fn calls_that_lose_the_same_server_share_one_check() {
    let mut checks = RunningChecks::default();
    let (first, second): (Box<str>, Box<str>) = ("server-1".into(), "server-2".into());
    assert!(checks.join(&first, 1));
    assert!(!checks.join(&first, 2));
    assert!(checks.join(&second, 3));
    assert_eq!(checks.end(&first), [1, 2]);
    assert!(checks.join(&first, 4), "the next one after the end");
    assert_eq!(checks.end(&first), [4]);
    assert_eq!(checks.end(&second), [3]);
}
