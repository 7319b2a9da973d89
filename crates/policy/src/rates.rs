//! Learned speeds of one backend server.

use std::time::Duration;

/// How a measured time compares with the usual one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// As fast as the server is when warm.
    Usual,
    /// Slower, but within what load explains.
    Strained,
    /// So slow that the server must have fallen back.
    Slow,
}

const USUAL_FACTOR: f64 = 2.0;
const USUAL_GRACE: f64 = 0.1;
const SLOW_FACTOR: f64 = 2.5;
const SLOW_GRACE: f64 = 0.25;
const SLOW_INTERVAL_FACTOR: f64 = 2.5;
/// A cache hit that was not foreseen must not pass for speed.
const MOST_RISE_FACTOR: f64 = 2.0;
const TOKENS_OF_FULL_WEIGHT: f64 = 16_384.0;
const MOST_WEIGHT: f64 = 0.3;
const LEAST_WEIGHT: f64 = 0.02;
const REFERENCE_WEIGHT: f64 = 0.2;
const SLOW_REFERENCE_STEP: f64 = 0.02;
const INTERVAL_WEIGHT: f64 = 0.1;
const SLOW_INTERVAL_STEP: f64 = 0.001;
const RESIDENCE_WEIGHT: f64 = 0.1;
const OUTPUT_WEIGHT: f64 = 0.1;
const PRESUMED_OUTPUT_RATIO: f64 = 0.25;
const OVERDUE_ROUNDING: Duration = Duration::from_millis(1);
const PRESUMED_RESIDENCE: f64 = 0.05;
const LEAST_ELAPSED: f64 = 1e-4;

/// Moving averages of prefill rate, time between tokens, residence and answer length.
///
/// A reference of the warm server is kept beside each current value. Where the server reports its
/// warmth, the reference follows slow samples gradually, so that a fallback shows as a jump and a
/// wrong presumption wears off. A server that never reports it could pass a cold start off as its
/// usual pace: its reference is never slower than the declared pace.
#[derive(Debug, Clone)]
pub struct Rates {
    declared: WarmSpeed,
    silent: bool,
    prefill: f64,
    warm_prefill: f64,
    interval: f64,
    warm_interval: f64,
    residence: f64,
    output_ratio: f64,
}

/// How fast a server is when warm.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmSpeed {
    /// Prefill rate, in tokens a second.
    pub prefill_rate: f64,
    /// Time between tokens of an answer.
    pub decode_interval: Duration,
}

impl Rates {
    /// Starts from the declared pace, or the presumed one, until anything was measured.
    pub fn new(declared: WarmSpeed) -> Self {
        let prefill = declared.prefill_rate;
        let interval = declared.decode_interval;
        Self {
            declared,
            silent: false,
            prefill,
            warm_prefill: prefill,
            interval: interval.as_secs_f64(),
            warm_interval: interval.as_secs_f64(),
            residence: PRESUMED_RESIDENCE,
            output_ratio: PRESUMED_OUTPUT_RATIO,
        }
    }

    /// Takes another declared pace. What was learned under the old one is dropped.
    pub fn declare(&mut self, declared: WarmSpeed) {
        if self.declared != declared {
            let silent = self.silent;
            *self = Self::new(declared);
            self.silent = silent;
        }
    }

    /// Takes whether the server's reports leave out if it is warm.
    pub fn set_silent(&mut self, silent: bool) {
        self.silent = silent;
        self.bound_references();
    }

    /// Whether the server's reports leave out if it is warm.
    pub fn is_silent(&self) -> bool {
        self.silent
    }

    fn bound_references(&mut self) {
        if self.silent {
            let interval = self.declared.decode_interval.as_secs_f64();
            self.warm_prefill = self.warm_prefill.max(self.declared.prefill_rate);
            self.warm_interval = self.warm_interval.min(interval);
        }
    }

    /// Prefill rate in tokens a second.
    pub fn prefill(&self) -> f64 {
        self.prefill
    }

    /// Time between tokens.
    pub fn interval(&self) -> Duration {
        Duration::from_secs_f64(self.interval)
    }

    /// Time of a dispatched job until its end.
    pub fn residence(&self) -> Duration {
        Duration::from_secs_f64(self.residence)
    }

    /// Time to prefill that many tokens.
    pub fn prefill_time(&self, tokens: f64) -> f64 {
        tokens / self.prefill
    }

    /// Time to generate an answer of at most that many tokens.
    pub fn decode_time(&self, most_tokens: f64) -> f64 {
        most_tokens * self.output_ratio * self.interval
    }

    /// Seconds of prefill, and from there to the end of an answer, on the warm server.
    pub fn warm_times(&self, prefill: u64, most_output: u64) -> (f64, f64) {
        let answer = most_output as f64 * self.output_ratio;
        let interval = self.interval.min(self.warm_interval);
        let rate = self.prefill.max(self.warm_prefill);
        (prefill as f64 / rate, answer * interval)
    }

    /// Seconds of prefill, and from there to the end of an answer, as the server is now.
    pub fn times(&self, prefill: u64, most_output: u64) -> (f64, f64) {
        let prefill = self.prefill_time(prefill as f64);
        (prefill, self.decode_time(most_output as f64))
    }

    /// Takes a finished prefill of `work` tokens.
    pub fn on_prefill(&mut self, work: f64, elapsed: Duration) -> Pace {
        let elapsed = elapsed.as_secs_f64().max(LEAST_ELAPSED);
        let pace = self.pace_of(work, elapsed);
        let sample = work / elapsed;
        if pace == Pace::Slow {
            self.prefill = self.prefill.min(sample);
            self.warm_prefill = approach(self.warm_prefill, sample, SLOW_REFERENCE_STEP);
            self.bound_references();
            return pace;
        }
        let weight = (work / TOKENS_OF_FULL_WEIGHT).clamp(LEAST_WEIGHT, MOST_WEIGHT);
        if self.prefill * SLOW_FACTOR < sample.min(self.warm_prefill) {
            self.prefill = sample.min(self.warm_prefill);
        }
        let sample = sample.min(self.prefill * MOST_RISE_FACTOR);
        let recovers = self.prefill < sample && sample < self.warm_prefill;
        let weight = if recovers { MOST_WEIGHT } else { weight };
        self.prefill = approach(self.prefill, sample, weight);
        self.warm_prefill = approach(self.warm_prefill, sample, weight * REFERENCE_WEIGHT);
        self.bound_references();
        pace
    }

    /// Whether a prefill of `work` tokens that has not ended yet is already slow. If so, the rate
    /// is lowered to what it can be at most.
    pub fn is_overdue(&mut self, work: f64, elapsed: Duration) -> bool {
        let elapsed = elapsed.as_secs_f64();
        let overdue = self.pace_of(work, elapsed) == Pace::Slow;
        if overdue {
            self.prefill = self.prefill.min(work / elapsed);
        }
        overdue
    }

    /// When a prefill of `work` tokens becomes overdue after its dispatch.
    pub fn overdue_after(&self, work: f64) -> Duration {
        let expected = work / self.warm_prefill;
        Duration::from_secs_f64(SLOW_FACTOR * expected + SLOW_GRACE) + OVERDUE_ROUNDING
    }

    /// Takes the time of some tokens of an answer.
    pub fn on_tokens(&mut self, tokens: u64, elapsed: Duration) -> Pace {
        let sample = elapsed.as_secs_f64() / tokens.max(1) as f64;
        let slow = SLOW_INTERVAL_FACTOR * self.warm_interval;
        let usual = sample <= USUAL_FACTOR * self.warm_interval;
        let recovers = usual && self.interval > slow;
        let weight = if recovers { 0.5 } else { INTERVAL_WEIGHT };
        self.interval = approach(self.interval, sample, weight);
        if sample > slow {
            self.warm_interval = approach(self.warm_interval, sample, SLOW_INTERVAL_STEP);
            self.bound_references();
            let lasts = self.interval > slow;
            return if lasts { Pace::Slow } else { Pace::Strained };
        }
        self.warm_interval = approach(self.warm_interval, sample, INTERVAL_WEIGHT / 10.0);
        self.bound_references();
        if usual { Pace::Usual } else { Pace::Strained }
    }

    /// Takes a whole answer: its time since dispatch, and its length of the most allowed.
    pub fn on_end(&mut self, elapsed: Duration, produced: u64, most: u64) {
        self.residence = approach(self.residence, elapsed.as_secs_f64(), RESIDENCE_WEIGHT);
        if produced > 0 && most > 0 {
            let ratio = (produced as f64 / most as f64).min(1.0);
            self.output_ratio = approach(self.output_ratio, ratio, OUTPUT_WEIGHT);
        }
    }

    /// Pace of a plain service's answer.
    pub fn pace_of_service(&self, elapsed: Duration) -> Pace {
        let elapsed = elapsed.as_secs_f64();
        compare(elapsed, self.residence)
    }

    /// Pace of an answer that came in one piece.
    pub fn pace_of_whole(&self, prefill: u64, most_output: u64, elapsed: Duration) -> Pace {
        let expected = prefill as f64 / self.warm_prefill + most_output as f64 * self.warm_interval;
        compare(elapsed.as_secs_f64(), expected)
    }

    fn pace_of(&self, work: f64, elapsed: f64) -> Pace {
        compare(elapsed, work / self.warm_prefill)
    }
}

fn compare(elapsed: f64, expected: f64) -> Pace {
    if elapsed > SLOW_FACTOR * expected + SLOW_GRACE {
        Pace::Slow
    } else if elapsed > USUAL_FACTOR * expected + USUAL_GRACE {
        Pace::Strained
    } else {
        Pace::Usual
    }
}

fn approach(value: f64, sample: f64, weight: f64) -> f64 {
    value + weight * (sample - value)
}
