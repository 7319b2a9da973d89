//! For how long declarations may be the reason to turn a request away.

use policy::{ConfirmedBy, ConfirmedDeclarations};
use proto::{ClockReading, Confirmation, ConfirmationReport};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

const BOUND: Duration = Duration::from_secs(2);

const LISTED: ConfirmedBy = ConfirmedBy::Listing(9);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn gateway(process: u64) -> ConfirmedDeclarations {
    ConfirmedDeclarations::new(process, BOUND)
}

#[test]
fn declarations_that_nobody_has_confirmed_turn_nothing_away() {
    let mut confirmed = gateway(1);
    assert!(!confirmed.may_refuse(4, at(0)));
    assert_eq!(confirmed.age(4, at(0)), None);
    assert!(confirmed.is_check_due(4, at(0), 3, false, 0));
}

#[test]
fn the_store_confirms_for_as_long_as_a_change_may_take() {
    let mut confirmed = gateway(1);
    confirmed.on_store_answer(at(1_000), LISTED);
    assert!(confirmed.may_refuse(4, at(3_000)));
    assert!(!confirmed.may_refuse(4, at(3_001)));
    confirmed.on_store_answer(at(500), LISTED);
    assert!(confirmed.may_refuse(4, at(3_000)), "an older answer");
}

/// Readings of a clock of one gateway go to another and come back, as frames do.
#[test]
fn a_peer_confirms_with_the_time_on_the_way_added() {
    let (mut a, mut b) = (gateway(1), gateway(2));
    let hello = a.report("b", 4, at(100_000));
    assert_eq!(hello.confirmation, None);
    // The clock of `b` is 70 s behind, and the frame takes 30 ms.
    b.on_report("a", &hello, 4, at(30_030));
    b.on_store_answer(at(30_500), LISTED);
    let answer = b.report("a", 4, at(30_600));
    a.on_report("b", &answer, 4, at(101_000));
    assert_eq!(a.age(4, at(101_000)), Some(at(530)));
    // Before the reading came, it was confirmed as well.
    let mut c = gateway(3);
    c.on_store_answer(at(20_000), LISTED);
    c.on_report("a", &hello, 4, at(30_030));
    let answer = c.report("a", 4, at(30_040));
    let mut a = gateway(1);
    a.on_report("c", &answer, 4, at(101_000));
    assert_eq!(a.age(4, at(101_000)), Some(at(11_031)));
}

#[test]
fn what_a_peer_confirms_counts_once_it_is_in_force() {
    let (mut a, mut b) = (gateway(1), gateway(2));
    b.on_report("a", &a.report("b", 4, at(100)), 5, at(100));
    b.on_store_answer(at(150), LISTED);
    let newer = b.report("a", 5, at(200));
    a.on_report("b", &newer, 4, at(200));
    assert!(!a.may_refuse(4, at(200)));
    assert!(a.may_refuse(5, at(200)));
}

fn report(process: u64, reading: u64, offset_ms: i64) -> ConfirmationReport {
    ConfirmationReport {
        clock: ClockReading {
            process: 9,
            at: Duration::ZERO,
        },
        confirmation: Some(Confirmation {
            declarations: 4,
            reading: ClockReading {
                process,
                at: at(reading),
            },
            offset_ms,
        }),
    }
}

macro_rules! confirms {
    ($($name:ident: $report:expr => $age:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut confirmed = gateway(1);
                confirmed.on_report("b", &$report, 4, at(10_000));
                assert_eq!(confirmed.age(4, at(10_000)), $age);
            }
        )*
    };
}

confirms! {
    a_reading_of_an_earlier_process_confirms_nothing: report(7, 9_990, 0) => None;
    a_reading_from_the_future_confirms_nothing: report(1, 10_001, 0) => None;
    a_confirmation_from_the_future_counts_as_of_now: report(1, 9_990, i64::MAX) => Some(at(0));
    a_confirmation_from_before_the_clock_counts_as_of_its_start:
        report(1, 9_990, i64::MIN) => Some(at(10_000));
    a_confirmation_after_the_reading_is_that_much_younger: report(1, 9_000, 400) => Some(at(600));
    a_peer_of_an_earlier_build_confirms_nothing: ConfirmationReport::default() => None;
}

/// A gateway that hears of an older version from a peer knows that this one does not know all.
#[test]
fn a_peer_with_older_declarations_confirms_nothing() {
    let mut confirmed = gateway(1);
    confirmed.on_report("b", &report(1, 9_990, 0), 5, at(10_000));
    assert_eq!(confirmed.age(5, at(10_000)), None);
    // One that comes while the own version is older does not confirm what comes after it.
    confirmed.on_report("b", &report(1, 9_990, 0), 3, at(10_000));
    assert_eq!(confirmed.age(5, at(10_000)), None);
}

#[test]
fn the_last_confirmation_names_its_source() {
    let mut confirmed = gateway(1);
    assert_eq!(confirmed.confirmed_by(), None);
    confirmed.on_store_answer(at(9_000), LISTED);
    confirmed.on_report("b", &report(1, 9_990, 0), 4, at(10_000));
    assert_eq!(confirmed.confirmed_by(), Some(ConfirmedBy::Peer));
    confirmed.on_store_answer(at(9_500), LISTED);
    assert_eq!(confirmed.confirmed_by(), Some(ConfirmedBy::Peer));
}

#[test]
fn watchers_check_before_others_and_others_before_the_bound() {
    let mut confirmed = gateway(1);
    confirmed.on_store_answer(at(5_000), LISTED);
    confirmed.on_checked(at(5_000), at(10));
    let mut due = |ms, watches, random| confirmed.is_check_due(4, at(ms), 6, watches, random);
    assert!(!due(5_700, true, 0));
    assert!(due(5_701, true, 0));
    assert!(due(5_421, true, 999), "the first of several");
    assert!(!due(5_400, true, 999));
    assert!(!due(6_000, false, 0));
    assert!(due(6_701, false, 0));
}

/// A gateway whose peers confirmed the declarations all the time did not compare the orders of evacuation.
#[test]
fn own_rows_are_checked_though_peers_confirm() {
    for (watches, earliest, latest) in [(true, 1_875, 2_500), (false, 19_500, 26_000)] {
        let mut confirmed = gateway(1);
        confirmed.on_checked(at(5_000), at(10));
        let mut due = |ms: u64, random| {
            confirmed.on_store_answer(at(5_000 + ms), ConfirmedBy::Peer);
            confirmed.is_check_due(4, at(5_000 + ms), 26, watches, random)
        };
        assert!(!due(earliest - 1, 0));
        assert!(due(earliest, 0));
        assert!(due(latest, 999));
    }
}

#[test]
fn checks_that_fail_are_spread_over_the_gateways() {
    for (gateways, earliest) in [(3, 250_u64), (26, 260), (103, 1_030), (340, 3_400)] {
        let mut confirmed = gateway(1);
        confirmed.on_checked(at(10_000), at(10));
        let mut due =
            |ms, random| confirmed.is_check_due(4, at(10_000 + ms), gateways, false, random);
        assert!(!due(earliest - 1, 0), "{gateways}");
        assert!(due(earliest, 0), "{gateways}");
        assert!(!due(earliest, 999), "{gateways}");
    }
}

#[test]
fn a_check_that_takes_long_is_not_repeated_at_once() {
    let mut confirmed = gateway(1);
    confirmed.on_store_answer(at(10_000), LISTED);
    confirmed.on_checked(at(10_000), at(160));
    assert!(!confirmed.is_check_due(4, at(10_790), 3, true, 0));
    assert!(confirmed.is_check_due(4, at(10_800), 3, true, 0));
    // One that was frozen meanwhile confirms again within the bound.
    confirmed.on_checked(at(10_000), at(9_000));
    assert!(!confirmed.is_check_due(4, at(10_990), 3, true, 0));
    assert!(confirmed.is_check_due(4, at(11_000), 3, true, 0));
}

/// What happens to gateway `.0` in a replay.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// A poll is answered, as of this time, for a call sent at that one.
    Answered(usize, Duration, Duration),
    /// A poll is sent.
    Poll(usize),
    /// Frames go to all others.
    Send(usize),
    /// A frame of `.1` arrives, sent with this version.
    Receive(usize, usize, u64, Box<WireReport>),
    /// Content that a peer had arrives.
    Fetched(usize, u64),
}

type WireReport = (u64, Duration, Option<(u64, u64, Duration, i64)>);

fn to_wire(report: &ConfirmationReport) -> WireReport {
    let confirmation = report.confirmation.as_ref();
    let confirmation =
        confirmation.map(|c| (c.declarations, c.reading.process, c.reading.at, c.offset_ms));
    (report.clock.process, report.clock.at, confirmation)
}

fn from_wire(&(process, at, confirmation): &WireReport) -> ConfirmationReport {
    ConfirmationReport {
        clock: ClockReading { process, at },
        confirmation: confirmation.map(|(declarations, process, at, offset_ms)| Confirmation {
            declarations,
            reading: ClockReading { process, at },
            offset_ms,
        }),
    }
}

/// Gateways whose clocks differ, of which some watch a store that turns them away at times, with links that
/// delay and lose frames, and processes that stand still.
struct Replay {
    rng: SmallRng,
    gateways: Vec<(ConfirmedDeclarations, Duration, u64)>,
    /// When each version was confirmed.
    versions: Vec<Duration>,
    /// Stretches in which a gateway stands still, or the store or all links serve nobody.
    frozen: Vec<(Duration, Duration)>,
    store_away: (Duration, Duration),
    links_away: (Duration, Duration),
    events: BinaryHeap<Reverse<(Duration, Step)>>,
    refusals: usize,
    doubts: usize,
}

const END: Duration = Duration::from_secs(40);

impl Replay {
    fn new(seed: u64, gateways: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut stretch = || {
            let from = at(rng.random_range(8_000..20_000));
            (from, from + at(rng.random_range(0..12_000)))
        };
        let (store_away, links_away) = (stretch(), stretch());
        let frozen = (0..gateways).map(|_| stretch()).collect();
        let mut versions = vec![Duration::ZERO];
        while versions[versions.len() - 1] < END {
            let last = versions[versions.len() - 1];
            versions.push(last + at(rng.random_range(200..6_000)));
        }
        let clocks = (0..gateways).map(|n| {
            let offset = at(rng.random_range(0..1_000_000));
            (gateway(n as u64), offset, 0)
        });
        let gateways: Vec<_> = clocks.collect();
        let mut replay = Self {
            gateways,
            versions,
            frozen,
            store_away,
            links_away,
            events: BinaryHeap::new(),
            refusals: 0,
            doubts: 0,
            rng,
        };
        for n in 0..replay.gateways.len() {
            replay.push(Duration::ZERO, Step::Send(n));
            if n < 3 {
                replay.push(Duration::ZERO, Step::Poll(n));
            }
        }
        replay
    }

    fn push(&mut self, time: Duration, step: Step) {
        self.events.push(Reverse((time, step)));
    }

    fn newest(&self, time: Duration) -> u64 {
        self.versions.partition_point(|made| *made <= time) as u64 - 1
    }

    fn random_ms(&mut self, most: u64) -> Duration {
        at(self.rng.random_range(0..most))
    }

    fn run(&mut self) {
        while let Some(Reverse((time, step))) = self.events.pop() {
            if time > END {
                break;
            }
            let (Step::Answered(n, ..)
            | Step::Poll(n)
            | Step::Send(n)
            | Step::Receive(n, ..)
            | Step::Fetched(n, _)) = step;
            let (from, until) = self.frozen[n];
            if time >= from && time < until {
                self.push(until, step);
                continue;
            }
            self.apply(n, time, step);
            self.check(n, time);
        }
    }

    fn apply(&mut self, n: usize, time: Duration, step: Step) {
        let now = time + self.gateways[n].1;
        let own = self.gateways[n].2;
        match step {
            Step::Poll(_) => {
                let is_away = time >= self.store_away.0 && time < self.store_away.1;
                let (there, back) = (self.random_ms(200), self.random_ms(200));
                if is_away {
                    self.push(time + at(400), Step::Poll(n));
                } else {
                    let answer = Step::Answered(n, time, time + there);
                    self.push(time + there + back, answer);
                }
            }
            Step::Answered(_, sent, answered) => {
                self.gateways[n].2 = own.max(self.newest(answered));
                let sent = sent + self.gateways[n].1;
                self.gateways[n].0.on_store_answer(sent, LISTED);
                self.push(time + at(600), Step::Poll(n));
            }
            Step::Send(_) => {
                for peer in (0..self.gateways.len()).filter(|peer| *peer != n) {
                    let report = self.gateways[n].0.report(&peer.to_string(), own, now);
                    let is_lost = time >= self.links_away.0 && time < self.links_away.1;
                    let is_slow = self.rng.random_ratio(1, 20);
                    let delay = self.random_ms(if is_slow { 3_000 } else { 60 });
                    if !is_lost {
                        let frame = Step::Receive(peer, n, own, Box::new(to_wire(&report)));
                        self.push(time + delay, frame);
                    }
                }
                let pause = self.random_ms(500);
                self.push(time + pause, Step::Send(n));
            }
            Step::Receive(_, peer, version, report) => {
                let report = from_wire(&report);
                let gateway = &mut self.gateways[n];
                gateway
                    .0
                    .on_report(&peer.to_string(), &report, gateway.2, now);
                if version > own {
                    let delay = self.random_ms(300);
                    self.push(time + delay, Step::Fetched(n, version));
                }
            }
            Step::Fetched(_, version) => self.gateways[n].2 = own.max(version),
        }
    }

    /// A refusal by declarations is sound if nothing newer was confirmed longer ago than the bound.
    fn check(&mut self, n: usize, time: Duration) {
        let due = self.newest(time.saturating_sub(BOUND));
        let (confirmed, offset, own) = &mut self.gateways[n];
        if confirmed.may_refuse(*own, time + *offset) {
            self.refusals += 1;
            assert!(
                *own >= due,
                "gateway {n} at {time:?} refuses by {own}, {due} is due"
            );
        } else if time > at(2_000) {
            self.doubts += 1;
        }
    }
}

/// Confirmed routes were refused by gateways which nobody had told that their declarations were old.
#[test]
fn gateways_that_hear_of_nothing_refuse_nothing_by_old_declarations() {
    for seed in 0..200 {
        let mut replay = Replay::new(seed, 9);
        replay.run();
        assert!(replay.refusals > 1_000, "seed {seed}: {}", replay.refusals);
    }
}

#[test]
fn in_calm_all_gateways_refuse_what_declarations_do_not_allow() {
    for seed in 0..50 {
        let mut replay = Replay::new(seed, 9);
        replay.frozen.fill((END, END));
        replay.store_away = (END, END);
        replay.links_away = (END, END);
        replay.run();
        let share = replay.doubts as f64 / replay.refusals as f64;
        assert!(
            share < 0.01,
            "seed {seed}: {} of {}",
            replay.doubts,
            replay.refusals
        );
    }
}

/// Calls that the store handles in a second; it refuses more than wait for a second.
const CHECKS_PER_SECOND: usize = 200;

/// Gateways whose last confirmation has come from the same peer checked in the same moment.
#[test]
fn gateways_without_confirmation_do_not_check_all_at_once() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut checks = 0;
    for process in 0..340 {
        let mut confirmed = gateway(process);
        confirmed.on_store_answer(at(5_000), ConfirmedBy::Peer);
        // Each asks ten times a second, beginning at any moment.
        let first = rng.random_range(6_400..6_500);
        let mut ticks = (first..6_700).step_by(100);
        checks += usize::from(
            ticks.any(|ms| confirmed.is_check_due(4, at(ms), 340, false, rng.random())),
        );
    }
    assert!(checks <= CHECKS_PER_SECOND, "{checks} within 200 ms");
}

/// A gateway that started while reads were behind served a withdrawn key, as a peer told when it had last confirmed
/// the declarations: before the start, and before the change.
#[test]
fn what_a_peer_confirmed_before_the_start_ends_no_hold() {
    let (mut a, mut b) = (gateway(1).with_start(at(100_000)), gateway(2));
    b.on_store_answer(at(30_000), LISTED);
    b.on_report("a", &a.report("b", 4, at(100_010)), 4, at(30_030));
    a.on_report("b", &b.report("a", 4, at(30_040)), 4, at(100_030));
    assert!(!a.is_ever_confirmed());
    b.on_store_answer(at(30_060), LISTED);
    a.on_report("b", &b.report("a", 4, at(30_070)), 4, at(100_060));
    assert!(a.is_ever_confirmed());
}
