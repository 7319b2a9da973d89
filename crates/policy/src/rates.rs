//! Learned prefill and decode speeds of one backend server.

use std::time::Duration;

/// How a measured time compares with the time expected of the warm server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LatencyClass {
    /// About as fast as the warm server.
    Normal,
    /// Slower, but load can explain it.
    Elevated,
    /// So slow that the server must have returned to cold start.
    Slow,
}

/// A time counts as normal up to this multiple of the expected time, plus the grace.
const NORMAL_FACTOR: f64 = 2.0;
const NORMAL_GRACE_SECONDS: f64 = 0.1;
/// A time counts as slow beyond this multiple of the expected time, plus the grace.
const SLOW_FACTOR: f64 = 2.5;
const SLOW_GRACE_SECONDS: f64 = 0.25;
const SLOW_INTERVAL_FACTOR: f64 = 2.5;
/// Limits how far one sample raises the rate, as an unexpected cache hit makes a prefill look fast.
const MAX_RISE_FACTOR: f64 = 2.0;
/// The weight of a sample is the size of its prefill divided by this, within the limits below.
const FULL_WEIGHT_TOKENS: f64 = 16_384.0;
const MAX_PREFILL_WEIGHT: f64 = 0.3;
const MIN_PREFILL_WEIGHT: f64 = 0.02;
/// Weight of a sample in the reference, relative to its weight in the current prefill rate.
const REFERENCE_WEIGHT_FACTOR: f64 = 0.2;
/// Weight of a slow sample in the reference.
const SLOW_REFERENCE_WEIGHT: f64 = 0.02;
const INTERVAL_WEIGHT: f64 = 0.1;
const SLOW_INTERVAL_WEIGHT: f64 = 0.001;
const RESIDENCE_WEIGHT: f64 = 0.1;
const OUTPUT_WEIGHT: f64 = 0.1;
const INITIAL_OUTPUT_RATIO: f64 = 0.25;
/// Keeps a timer set for an overdue prefill from firing slightly too early.
const OVERDUE_ROUNDING: Duration = Duration::from_millis(1);
const INITIAL_RESIDENCE_SECONDS: f64 = 0.05;
const MIN_ELAPSED_SECONDS: f64 = 1e-4;

/// Moving averages of prefill rate, time between tokens, residence time and answer length.
///
/// Beside each current speed there is a reference for the warm server. If the server reports its
/// warmth, the reference follows slow samples gradually, so that a return to cold start shows as a
/// jump and a wrong initial assumption wears off. If it does not, a cold start could come to look
/// normal that way, so the reference is never slower than the declared speed.
#[derive(Debug, Clone)]
pub struct Rates {
    declared: WarmSpeed,
    warmth_unreported: bool,
    prefill_rate: f64,
    warm_prefill_rate: f64,
    decode_interval: f64,
    warm_decode_interval: f64,
    residence: f64,
    output_ratio: f64,
}

/// Speed of a server when warm.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmSpeed {
    /// Prefill rate, in tokens per second.
    pub prefill_rate: f64,
    /// Time between two tokens of an answer.
    pub decode_interval: Duration,
}

impl Rates {
    /// Starts from the declared speed, or the assumed one, until there are measurements.
    pub fn new(declared: WarmSpeed) -> Self {
        let prefill = declared.prefill_rate;
        let interval = declared.decode_interval;
        Self {
            declared,
            warmth_unreported: false,
            prefill_rate: prefill,
            warm_prefill_rate: prefill,
            decode_interval: interval.as_secs_f64(),
            warm_decode_interval: interval.as_secs_f64(),
            residence: INITIAL_RESIDENCE_SECONDS,
            output_ratio: INITIAL_OUTPUT_RATIO,
        }
    }

    /// Sets the declared speed. If it differs from the last one, everything learned is dropped.
    pub fn set_declared_speed(&mut self, declared: WarmSpeed) {
        if self.declared != declared {
            let warmth_unreported = self.warmth_unreported;
            *self = Self::new(declared);
            self.warmth_unreported = warmth_unreported;
        }
    }

    /// Sets whether the server's reports leave out its warmth.
    pub fn set_warmth_unreported(&mut self, warmth_unreported: bool) {
        self.warmth_unreported = warmth_unreported;
        self.bound_references();
    }

    /// Whether the server's reports leave out its warmth.
    pub fn is_warmth_unreported(&self) -> bool {
        self.warmth_unreported
    }

    fn bound_references(&mut self) {
        if self.warmth_unreported {
            let interval = self.declared.decode_interval.as_secs_f64();
            self.warm_prefill_rate = self.warm_prefill_rate.max(self.declared.prefill_rate);
            self.warm_decode_interval = self.warm_decode_interval.min(interval);
        }
    }

    /// Current prefill rate, in tokens per second.
    pub fn prefill_rate(&self) -> f64 {
        self.prefill_rate
    }

    /// Current time between tokens.
    pub fn decode_interval(&self) -> Duration {
        Duration::from_secs_f64(self.decode_interval)
    }

    /// Mean time from the dispatch of a job to its end.
    pub fn residence(&self) -> Duration {
        Duration::from_secs_f64(self.residence)
    }

    /// Seconds to prefill `tokens` at the current rate.
    pub fn prefill_seconds(&self, tokens: f64) -> f64 {
        tokens / self.prefill_rate
    }

    /// Expected seconds to decode an answer limited to `max_tokens`.
    pub fn decode_seconds(&self, max_tokens: f64) -> f64 {
        max_tokens * self.output_ratio * self.decode_interval
    }

    /// Seconds of prefill and seconds of decode on the warm server.
    pub fn warm_times(&self, prefill: u64, max_output: u64) -> (f64, f64) {
        let answer = max_output as f64 * self.output_ratio;
        let interval = self.decode_interval.min(self.warm_decode_interval);
        let rate = self.prefill_rate.max(self.warm_prefill_rate);
        (prefill as f64 / rate, answer * interval)
    }

    /// Seconds of prefill and seconds of decode at the current speed.
    pub fn current_times(&self, prefill: u64, max_output: u64) -> (f64, f64) {
        let prefill = self.prefill_seconds(prefill as f64);
        (prefill, self.decode_seconds(max_output as f64))
    }

    /// Records a prefill that finished after the engine had prefilled `work` tokens, including
    /// those of other jobs, since its dispatch.
    pub fn on_prefill(&mut self, work: f64, elapsed: Duration) -> LatencyClass {
        let elapsed = elapsed.as_secs_f64().max(MIN_ELAPSED_SECONDS);
        let latency = self.prefill_latency(work, elapsed);
        let sample = work / elapsed;
        if latency == LatencyClass::Slow {
            self.prefill_rate = self.prefill_rate.min(sample);
            self.warm_prefill_rate =
                update_average(self.warm_prefill_rate, sample, SLOW_REFERENCE_WEIGHT);
            self.bound_references();
            return latency;
        }
        let weight = (work / FULL_WEIGHT_TOKENS).clamp(MIN_PREFILL_WEIGHT, MAX_PREFILL_WEIGHT);
        if self.prefill_rate * SLOW_FACTOR < sample.min(self.warm_prefill_rate) {
            self.prefill_rate = sample.min(self.warm_prefill_rate);
        }
        let sample = sample.min(self.prefill_rate * MAX_RISE_FACTOR);
        let is_recovering = self.prefill_rate < sample && sample < self.warm_prefill_rate;
        let weight = if is_recovering {
            MAX_PREFILL_WEIGHT
        } else {
            weight
        };
        self.prefill_rate = update_average(self.prefill_rate, sample, weight);
        self.warm_prefill_rate = update_average(
            self.warm_prefill_rate,
            sample,
            weight * REFERENCE_WEIGHT_FACTOR,
        );
        self.bound_references();
        latency
    }

    /// Whether an unfinished prefill of `work` tokens is already slow. If so, the rate is lowered
    /// to the highest value that is still possible.
    pub fn is_overdue(&mut self, work: f64, elapsed: Duration) -> bool {
        let elapsed = elapsed.as_secs_f64();
        let overdue = self.prefill_latency(work, elapsed) == LatencyClass::Slow;
        if overdue {
            self.prefill_rate = self.prefill_rate.min(work / elapsed);
        }
        overdue
    }

    /// Time after dispatch at which a prefill of `work` tokens becomes overdue.
    pub fn overdue_after(&self, work: f64) -> Duration {
        let expected = work / self.warm_prefill_rate;
        Duration::from_secs_f64(SLOW_FACTOR * expected + SLOW_GRACE_SECONDS) + OVERDUE_ROUNDING
    }

    /// Records how long consecutive tokens of an answer took.
    pub fn on_tokens(&mut self, tokens: u64, elapsed: Duration) -> LatencyClass {
        let sample = elapsed.as_secs_f64() / tokens.max(1) as f64;
        let slow = SLOW_INTERVAL_FACTOR * self.warm_decode_interval;
        let is_normal = sample <= NORMAL_FACTOR * self.warm_decode_interval;
        let is_recovering = is_normal && self.decode_interval > slow;
        let weight = if is_recovering { 0.5 } else { INTERVAL_WEIGHT };
        self.decode_interval = update_average(self.decode_interval, sample, weight);
        if sample > slow {
            self.warm_decode_interval =
                update_average(self.warm_decode_interval, sample, SLOW_INTERVAL_WEIGHT);
            self.bound_references();
            let is_sustained = self.decode_interval > slow;
            return if is_sustained {
                LatencyClass::Slow
            } else {
                LatencyClass::Elevated
            };
        }
        self.warm_decode_interval =
            update_average(self.warm_decode_interval, sample, INTERVAL_WEIGHT / 10.0);
        self.bound_references();
        if is_normal {
            LatencyClass::Normal
        } else {
            LatencyClass::Elevated
        }
    }

    /// Records a complete answer: the time since its dispatch, and its tokens out of those allowed.
    pub fn on_end(&mut self, elapsed: Duration, produced: u64, max_tokens: u64) {
        self.residence = update_average(self.residence, elapsed.as_secs_f64(), RESIDENCE_WEIGHT);
        if produced > 0 && max_tokens > 0 {
            let ratio = (produced as f64 / max_tokens as f64).min(1.0);
            self.output_ratio = update_average(self.output_ratio, ratio, OUTPUT_WEIGHT);
        }
    }

    /// Latency class of an answer of a plain service.
    pub fn service_latency(&self, elapsed: Duration) -> LatencyClass {
        let elapsed = elapsed.as_secs_f64();
        classify(elapsed, self.residence)
    }

    /// Latency class of an answer that arrived in one piece.
    pub fn non_streaming_latency(
        &self,
        prefill: u64,
        max_output: u64,
        elapsed: Duration,
    ) -> LatencyClass {
        let expected =
            prefill as f64 / self.warm_prefill_rate + max_output as f64 * self.warm_decode_interval;
        classify(elapsed.as_secs_f64(), expected)
    }

    fn prefill_latency(&self, work: f64, elapsed: f64) -> LatencyClass {
        classify(elapsed, work / self.warm_prefill_rate)
    }
}

fn classify(elapsed: f64, expected: f64) -> LatencyClass {
    if elapsed > SLOW_FACTOR * expected + SLOW_GRACE_SECONDS {
        LatencyClass::Slow
    } else if elapsed > NORMAL_FACTOR * expected + NORMAL_GRACE_SECONDS {
        LatencyClass::Elevated
    } else {
        LatencyClass::Normal
    }
}

fn update_average(value: f64, sample: f64, weight: f64) -> f64 {
    value + weight * (sample - value)
}
