//! A load report that shows the state of a fixed time ago.

use crate::engine_spec::EngineLoad;
use std::collections::VecDeque;
use std::time::Duration;

/// Limits the stored states: changes closer together than this part of the lag share a sample.
const SAMPLES_PER_LAG: u32 = 8;

/// Stores load samples until they are old enough to be reported.
#[derive(Debug)]
pub(crate) struct LoadReport {
    lag: Duration,
    samples: VecDeque<(Duration, EngineLoad)>,
}

impl LoadReport {
    pub(crate) fn new(lag: Duration, first: EngineLoad) -> Self {
        Self {
            lag,
            samples: VecDeque::from([(Duration::ZERO, first)]),
        }
    }

    /// Records the state that holds from `now` on.
    pub(crate) fn record(&mut self, now: Duration, state: EngineLoad) {
        let recent = now.saturating_sub(self.lag / SAMPLES_PER_LAG);
        match self.samples.back_mut() {
            Some((_, last)) if *last == state => {}
            Some((at, last)) if *at > recent => *last = state,
            _ => self.samples.push_back((now, state)),
        }
        self.drop_outdated(now);
    }

    /// The state of one lag before `now`, or the oldest one.
    pub(crate) fn read(&self, now: Duration) -> EngineLoad {
        let cutoff = now.saturating_sub(self.lag);
        let visible = self.samples.iter().rev().find(|(at, _)| *at <= cutoff);
        let mut load = visible
            .or(self.samples.front())
            .map_or_else(EngineLoad::default, |(_, load)| load.clone());
        load.age_ms = self.lag.min(now).as_millis() as u64;
        load
    }

    fn drop_outdated(&mut self, now: Duration) {
        let cutoff = now.saturating_sub(self.lag);
        while self.samples.get(1).is_some_and(|(at, _)| *at <= cutoff) {
            self.samples.pop_front();
        }
    }
}
