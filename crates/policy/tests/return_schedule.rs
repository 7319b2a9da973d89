//! Times at which refused callers come back, for a burst at many gateways, in virtual time.

use policy::{CapacityForecast, MIN_RETRY_AFTER, RefusedPrompt, ReturnSchedule};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use std::time::Duration;

const GATEWAYS: usize = 26;
const ENGINES: usize = 60;
/// Prompts a second by rank, and the time to prefill one: each rank asks for two thirds of the
/// capacity of 60 engines, so that all ask for twice as much.
const DEMAND: [(u64, Duration); 3] = [(2_000, ms(20)), (160, ms(250)), (20, ms(2_000))];
const BURST: Duration = ms(5_000);
/// Prefill that the engines have to do from before the burst.
const BACKLOG_PER_ENGINE: Duration = ms(1_000);
/// Part of the engines' capacity that may come back within a second.
const MAX_LOAD: f64 = 1.25;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[derive(Debug)]
struct Return {
    rank: u8,
    after: Duration,
    time: Duration,
    work: Duration,
}

/// Refuses all prompts of the burst; `restarted` gateways forget in its middle what they told callers.
fn refuse_burst(seed: u64, restarted: usize) -> Vec<Return> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let long_ago = ms(0);
    let begin = ms(60_000);
    let mut schedules = vec![ReturnSchedule::new(long_ago); GATEWAYS];
    let mut returns = Vec::new();
    for step in 0..BURST.as_millis() as u64 {
        let now = begin + ms(step);
        if now == begin + BURST / 2 {
            schedules[..restarted].fill(ReturnSchedule::new(now));
        }
        for (rank, (rate, work)) in DEMAND.into_iter().enumerate() {
            let count = (step + 1) * rate / 1_000 - step * rate / 1_000;
            for _ in 0..count {
                let rank = rank as u8;
                let prompt = RefusedPrompt {
                    rank,
                    prefill_time: work,
                    remaining: ms(36_000),
                };
                let forecast = CapacityForecast {
                    backlog: BACKLOG_PER_ENGINE * ENGINES as u32,
                    waiting: ms(0),
                    engines: ENGINES,
                    gateways: GATEWAYS,
                };
                let schedule = &mut schedules[rng.random_range(0..GATEWAYS)];
                let after = schedule.assign(prompt, forecast, now, rng.random());
                assert!(after >= MIN_RETRY_AFTER && after <= prompt.remaining / 3);
                let time = now + after;
                returns.push(Return {
                    rank,
                    after,
                    time,
                    work,
                });
            }
        }
    }
    returns
}

/// Most work that comes back within a second, as a part of the engines' capacity.
fn peak_load(returns: &[Return]) -> f64 {
    let mut seconds = vec![0.0; 120];
    for returned in returns {
        seconds[returned.time.as_secs() as usize] += returned.work.as_secs_f64();
    }
    seconds.into_iter().fold(0.0, f64::max) / ENGINES as f64
}

fn mean_delay(returns: &[Return], rank: u8) -> f64 {
    let delays = returns.iter().filter(|returned| returned.rank == rank);
    let delays: Vec<_> = delays
        .map(|returned| returned.after.as_secs_f64())
        .collect();
    delays.iter().sum::<f64>() / delays.len() as f64
}

/// All callers of a burst were told the same time to come back, and overloaded the engines again,
/// whatever their rank.
fn refused_callers_come_back_spread_out(seed: u64, restarted: usize) {
    let returns = refuse_burst(seed, restarted);
    let peak = peak_load(&returns);
    let delays = [0, 1, 2].map(|rank| mean_delay(&returns, rank));
    assert!(peak <= MAX_LOAD, "peak {peak}, mean delays {delays:?}");
    assert!(
        delays[0] < 0.75 * delays[1] && delays[1] < 0.9 * delays[2],
        "{delays:?}"
    );
}

macro_rules! bursts {
    ($($name:ident: $seeds:expr, $restarted:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in $seeds {
                refused_callers_come_back_spread_out(seed, $restarted);
            }
        }
    )*};
}

bursts! {
    a_burst_comes_back_within_the_capacity_urgent_ranks_first: 1..6, 0;
    gateways_that_restart_in_a_burst_spread_their_refusals: 1..6, 3;
}

fn assign(remaining: Duration, forecast: CapacityForecast, count: u64) -> Vec<Duration> {
    let mut schedule = ReturnSchedule::new(ms(0));
    let prompt = RefusedPrompt {
        rank: 1,
        prefill_time: ms(250),
        remaining,
    };
    let mut times: Vec<_> = (0..count)
        .map(|random| schedule.assign(prompt, forecast, ms(60_000), random * 97))
        .collect();
    times.sort();
    times
}

/// Callers that are refused at the same time are told different times to retry.
#[test]
fn a_crowd_does_not_come_back_as_one() {
    let forecast = CapacityForecast {
        backlog: ms(14_000),
        waiting: ms(0),
        engines: 14,
        gateways: 1,
    };
    let mut times = assign(ms(12_000), forecast, 64);
    times.dedup();
    assert_eq!(times.len(), 64);
    assert!(times[0] >= ms(1_000) && times[63] <= ms(2_400), "{times:?}");
}

/// Where the capacity is free only after a third of the time left, callers would not come back. They
/// are spread over the last part of the time within which they do.
#[test]
fn nobody_is_told_a_time_at_which_it_does_not_come_back() {
    let forecast = CapacityForecast {
        backlog: ms(100_000),
        waiting: ms(0),
        engines: 10,
        gateways: 4,
    };
    let times = assign(ms(3_000), forecast, 40);
    assert!(times[0] >= ms(450) && times[39] <= ms(1_000), "{times:?}");
    assert!(times[39] - times[0] > ms(300), "{times:?}");
    assert_eq!(assign(ms(100), forecast, 1), [MIN_RETRY_AFTER]);
}

/// Without engines there is no forecast. Callers come back soon, at random.
#[test]
fn without_engines_callers_are_spread_at_random() {
    let forecast = CapacityForecast {
        backlog: ms(0),
        waiting: ms(0),
        engines: 0,
        gateways: 4,
    };
    let times = assign(ms(6_000), forecast, 40);
    assert!(
        times[39] <= ms(600) && times[39] - times[0] > ms(300),
        "{times:?}"
    );
}
