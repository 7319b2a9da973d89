//! Times at which refused callers are told to come back.

use std::time::Duration;

/// No caller is told to come back sooner. Load reports of other gateways take about as long.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// A caller comes back if it is told to within this part of the time that it has left.
const MAX_WAIT_DIVISOR: u32 = 3;
/// Time that one slot of the schedule covers.
const SLOT: Duration = Duration::from_millis(50);
/// Slots that are planned ahead, 16 s: a third of the longest time limits in use.
const SLOTS: usize = 320;
/// After a start, the callers that were refused before come back during this time, and nothing is
/// known of them.
const RESTART_SPREAD: Duration = Duration::from_secs(4);
/// Without engines there is no forecast, and some may be there soon.
const NO_ENGINES_SPREAD: Duration = Duration::from_millis(450);
/// Refusals count towards the demand of their rank for about this long.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// Part of the capacity that is kept for more urgent ranks at most, so that the others come back too.
const MAX_KEPT_FRACTION: f64 = 0.8;
/// Callers come back within this last part of their time if the capacity is free only later.
const LATE_SPREAD_FRACTION: f64 = 0.5;
/// Ranks from the last of these on count as equal.
const RANKS: usize = 8;

/// A prompt that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedPrompt {
    /// Priority; 0 goes first.
    pub rank: u8,
    /// Time that one engine would take to prefill it.
    pub prefill_time: Duration,
    /// Time until its caller gives up.
    pub remaining: Duration,
}

/// Forecast of the capacity that becomes free.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacityForecast {
    /// Prefill that the engines have to do.
    pub backlog: Duration,
    /// Prefill of the prompts that wait at this gateway. Others are taken to have as much.
    pub waiting: Duration,
    /// Number of engines.
    pub engines: usize,
    /// Number of gateways, among which the free capacity is divided.
    pub gateways: usize,
}

/// Retry times that a gateway has given, as work that is expected in slots of time.
///
/// Load pattern: a burst beyond the engines' capacity. Callers that are refused at about the same time
/// were told about the same time to come back, and were refused together again. Here each of them
/// takes a part of the capacity that is forecast to be free.
#[derive(Debug, Clone)]
pub struct ReturnSchedule {
    started: Duration,
    /// Number of the first slot, counted from time zero.
    first_slot: u64,
    /// Seconds of prefill that are expected in each slot.
    expected: Vec<f64>,
    /// Seconds of prefill refused lately, by rank.
    demand: [f64; RANKS],
    demand_at: Duration,
}

impl ReturnSchedule {
    /// A schedule without any retry times, of a gateway that started at `started`.
    pub fn new(started: Duration) -> Self {
        Self {
            started,
            first_slot: 0,
            expected: vec![0.0; SLOTS],
            demand: [0.0; RANKS],
            demand_at: Duration::ZERO,
        }
    }

    /// Chooses the delay after which the caller of a refused prompt should retry, and counts the prompt
    /// in the capacity of that time.
    ///
    /// The delay is at least [`MIN_RETRY_AFTER`], and otherwise at most a third of the time that the
    /// caller has left.
    pub fn assign(
        &mut self,
        prompt: RefusedPrompt,
        forecast: CapacityForecast,
        now: Duration,
        random: u64,
    ) -> Duration {
        self.advance(now);
        let urgent_rate = self.urgent_demand(prompt, now);
        let latest = (prompt.remaining / MAX_WAIT_DIVISOR).max(MIN_RETRY_AFTER);
        if forecast.engines == 0 {
            let spread = NO_ENGINES_SPREAD.min(latest - MIN_RETRY_AFTER);
            return MIN_RETRY_AFTER + spread.mul_f64(fraction(random));
        }
        let waiting = forecast.backlog + forecast.waiting * forecast.gateways as u32;
        let mut earliest = MIN_RETRY_AFTER.max(waiting / forecast.engines as u32);
        if now.saturating_sub(self.started) < RESTART_SPREAD {
            let spread = latest.saturating_sub(earliest).min(RESTART_SPREAD);
            earliest += spread.mul_f64(fraction(random.rotate_left(32)));
        }
        let share = forecast.engines as f64 / forecast.gateways.max(1) as f64;
        let kept = (urgent_rate / share).min(MAX_KEPT_FRACTION);
        let capacity = share * SLOT.as_secs_f64() * (1.0 - kept);
        let earliest = earliest.min(latest);
        let first = self.index(now, earliest);
        let last = self.index(now, latest);
        let free = (first..=last).find(|slot| self.expected[*slot] < capacity);
        let slot = free.unwrap_or_else(|| {
            let spread_start = self.index(now, latest.mul_f64(LATE_SPREAD_FRACTION));
            self.least_expected(spread_start.min(last), last)
        });
        self.expect(slot, prompt.prefill_time.as_secs_f64(), capacity);
        let start = SLOT * (self.first_slot + slot as u64) as u32;
        let time = start + SLOT.mul_f64(fraction(random));
        time.saturating_sub(now).clamp(MIN_RETRY_AFTER, latest)
    }

    /// Drops the slots that are over.
    fn advance(&mut self, now: Duration) {
        let first = (now.as_millis() / SLOT.as_millis()) as u64;
        let over = first.saturating_sub(self.first_slot).min(SLOTS as u64) as usize;
        self.expected.drain(..over);
        self.expected.resize(SLOTS, 0.0);
        self.first_slot = self.first_slot.max(first);
    }

    /// Adds a prompt to the demand of its rank; returns the seconds of prefill that more urgent ranks
    /// have asked for lately in each second.
    fn urgent_demand(&mut self, prompt: RefusedPrompt, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.demand_at).as_secs_f64();
        let decay = (-elapsed / DEMAND_WINDOW.as_secs_f64()).exp();
        self.demand_at = now;
        for demand in &mut self.demand {
            *demand *= decay;
        }
        let rank = usize::from(prompt.rank).min(RANKS - 1);
        self.demand[rank] += prompt.prefill_time.as_secs_f64();
        self.demand[..rank].iter().sum::<f64>() / DEMAND_WINDOW.as_secs_f64()
    }

    fn index(&self, now: Duration, delay: Duration) -> usize {
        let slot = ((now + delay).as_millis() / SLOT.as_millis()) as u64;
        (slot.saturating_sub(self.first_slot) as usize).min(SLOTS - 1)
    }

    fn least_expected(&self, first: usize, last: usize) -> usize {
        let by_work = |a: &usize, b: &usize| self.expected[*a].total_cmp(&self.expected[*b]);
        (first..=last).min_by(by_work).unwrap_or(last)
    }

    /// Fills the capacity from a slot on with the prefill of a prompt. What does not fit before the end
    /// of the schedule counts in the slot in which the caller comes back.
    fn expect(&mut self, slot: usize, mut work_s: f64, capacity_s: f64) {
        for expected in &mut self.expected[slot..] {
            let part = work_s.min((capacity_s - *expected).max(0.0));
            *expected += part;
            work_s -= part;
            if work_s <= 0.0 {
                return;
            }
        }
        self.expected[slot] += work_s;
    }
}

fn fraction(random: u64) -> f64 {
    const STEPS: u64 = 4_096;
    (random % STEPS) as f64 / STEPS as f64
}
