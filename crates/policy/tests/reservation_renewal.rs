//! Memory reserved at helpers while the engine that uses it comes and goes, in virtual time.

use policy::{RenewalStep, ReservationRenewal};
use std::time::Duration;

/// Bound on the time for which memory may stay reserved after its last use.
const FREE_MS: u64 = 4_000;
const LIFETIME_MS: u64 = 3_400;
/// Longest time that an order takes to arrive, and that a probe waits for a connection.
const ORDER_MS: u64 = 350;
const PROBE_MS: u64 = 60;
/// Interval of TCP keep-alive probes.
const KEEPALIVE_MS: u64 = 1_000;
const RUN_MS: u64 = 12_000;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// How the engine and the gateway fare, by time.
struct Fate {
    /// Whether the engine accepts connections.
    responds: Box<dyn Fn(u64) -> bool>,
    /// Whether the engine sends events at this time.
    sends: fn(u64) -> bool,
    /// Whether the gateway runs.
    gateway_runs: fn(u64) -> bool,
    /// When the connection of the request is reset, which ends the request at the gateway.
    reset_at: Option<u64>,
}

/// How the reservations ended.
#[derive(Debug, PartialEq, Eq)]
struct Outcome {
    /// When the engine was given up.
    given_up_at: Option<u64>,
    /// When the memory was free at the latest: released, or expired.
    free_at: u64,
}

fn play_with(responds: impl Fn(u64) -> bool + 'static, reset_at: u64) -> Outcome {
    play(&Fate {
        responds: Box::new(responds),
        sends: |_| false,
        gateway_runs: |_| true,
        reset_at: Some(reset_at),
    })
}

fn play(fate: &Fate) -> Outcome {
    let mut renewal = ReservationRenewal::new(at(LIFETIME_MS), at(0));
    let mut expires_at = ORDER_MS + LIFETIME_MS;
    let mut now = 0;
    let mut wakes_at = at(0);
    while now < RUN_MS {
        now += 1;
        if !(fate.gateway_runs)(now) {
            continue;
        }
        if fate.reset_at.is_some_and(|reset_at| now >= reset_at) {
            return Outcome {
                given_up_at: None,
                free_at: expires_at.min(now + ORDER_MS),
            };
        }
        if (fate.sends)(now) && renewal.on_data(at(now)) {
            wakes_at = at(now);
        }
        if at(now) < wakes_at {
            continue;
        }
        match renewal.next_step(at(now)) {
            RenewalStep::Wait(pause) => wakes_at = at(now) + pause,
            RenewalStep::Probe => {
                let responds = (fate.responds)(now);
                now += if responds { 1 } else { PROBE_MS };
                renewal.on_probe(responds, at(now));
            }
            RenewalStep::Renew => {
                renewal.on_renewed(at(now));
                expires_at = now + ORDER_MS + LIFETIME_MS;
            }
            RenewalStep::GiveUp => {
                return Outcome {
                    given_up_at: Some(now),
                    free_at: expires_at.min(now + ORDER_MS),
                };
            }
        }
    }
    Outcome {
        given_up_at: None,
        free_at: expires_at,
    }
}

/// The engine's last use of the memory is at `last_use`: by then the memory has to be free in time.
fn is_freed_in_time(fate: Fate, last_use: u64) {
    let outcome = play(&fate);
    assert!(outcome.free_at <= last_use + FREE_MS, "{outcome:?}");
}

/// The engine is sound, so it must not be given up.
fn is_kept(fate: Fate) {
    let outcome = play(&fate);
    assert_eq!(outcome.given_up_at, None);
    assert!(outcome.free_at > RUN_MS, "{outcome:?}");
}

macro_rules! fates {
    ($($name:ident: $check:ident($responds:expr, $sends:expr, $runs:expr $(, $last_use:expr)?);)*) => {$(
        #[test]
        fn $name() {
            let fate = Fate {
                responds: Box::new($responds),
                sends: $sends,
                gateway_runs: $runs,
                reset_at: None,
            };
            $check(fate $(, $last_use)?);
        }
    )*};
}

fates! {
    an_engine_dark_before_its_first_event:
        is_freed_in_time(|now| now < 500, |_| false, |_| true, 500);
    an_engine_dark_right_after_a_renewal:
        is_freed_in_time(|now| now < 1_140, |_| false, |_| true, 1_140);
    an_engine_dark_right_before_a_renewal:
        is_freed_in_time(|now| now < 1_130, |_| false, |_| true, 1_130);
    an_engine_dark_after_its_first_events:
        is_freed_in_time(|now| now < 3_000, |now| now < 3_000 && now % 40 == 0, |_| true, 3_000);
    an_engine_dark_after_events_far_apart:
        is_freed_in_time(|now| now < 3_010, |now| now < 3_010 && now % 500 == 0, |_| true, 3_010);
    an_engine_gone_from_the_start:
        is_freed_in_time(|_| false, |_| false, |_| true, 0);
    a_gateway_killed_while_it_holds_memory:
        is_freed_in_time(|_| true, |_| false, |now| now < 2_500, 2_500);
    an_engine_dark_and_the_gateway_killed_soon_after:
        is_freed_in_time(|now| now < 2_300, |_| false, |now| now < 4_000, 2_300);
    a_gateway_frozen_while_the_engine_goes_dark:
        is_freed_in_time(|now| now < 2_300, |_| false, |now| !(2_200..5_200).contains(&now), 2_300);
    an_engine_that_reads_for_long_is_kept:
        is_kept(|_| true, |_| false, |_| true);
    an_engine_that_writes_is_kept:
        is_kept(|_| false, |now| now % 40 == 0, |_| true);
    an_engine_that_does_not_respond_for_a_moment_is_kept:
        is_kept(|now| !(1_000..2_400).contains(&now), |_| false, |_| true);
}

/// An engine goes dark and starts anew at its address, where it accepts connections but has lost the
/// request. TCP keep-alive shows that within a second of the start.
#[test]
fn an_engine_that_starts_anew_after_it_went_dark() {
    for dark_at in (100..3_500_u64).step_by(50) {
        for dark_ms in (100..3_000).step_by(50) {
            let responds = move |now: u64| now < dark_at || now >= dark_at + dark_ms;
            let outcome = play_with(responds, dark_at + dark_ms + KEEPALIVE_MS);
            let bound = dark_at + FREE_MS;
            assert!(outcome.free_at <= bound, "{dark_at} {dark_ms} {outcome:?}");
        }
    }
}
