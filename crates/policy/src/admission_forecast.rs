//! Forecast of whether a waiting prompt can be served before its caller gives up.

use crate::engine_choice::{EngineCandidate, MAX_HELPERS, is_short_prompt, min_first_event_time};
use crate::engine_profile::EngineProfile;
use crate::engine_queue::QueuedPrompt;
use std::time::Duration;

/// A prompt is refused only if this part of its forecast is longer than its caller waits. Load reports
/// are late, and engines finish some prefills sooner than published.
const FORECAST_FRACTION: f64 = 0.8;

/// Forecast of a prompt that the engines would get to too late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LateForecast {
    /// Time from now to the first event. Four fifths of it are longer than `remaining`.
    pub forecast: Duration,
    /// Time until the caller gives up.
    pub remaining: Duration,
    /// Prefill that all engines together have to do first.
    pub backlog: Duration,
    /// Prefill of the prompts that go before it and are not longer.
    pub ahead: Duration,
}

/// Forecast of a waiting prompt whose caller gives up before `engines` get to it, by a forecast that is
/// rather too short; `None` if it may be served. `ahead` has the prefill times of the prompts that go
/// before it.
///
/// Load pattern: a burst of more prompts than the engines can prefill before the callers give up. They
/// waited until their time limits although it was known before that they could not be served, and had
/// no time left to come back.
pub fn late_forecast(
    profile: &EngineProfile,
    prompt: &QueuedPrompt,
    engines: &[EngineCandidate],
    ahead: &[Duration],
    now: Duration,
) -> Option<LateForecast> {
    let remaining = prompt.deadline.saturating_sub(now);
    let mut backlogs: Vec<_> = engines
        .iter()
        .map(|engine| engine.load.prefill_remaining)
        .collect();
    backlogs.sort();
    let idle = backlogs.partition_point(Duration::is_zero);
    if idle > 0 && min_first_event_time(profile, &prompt.request, idle) <= remaining {
        return None;
    }
    let prefill = profile.prefill_time(prompt.request.prompt_tokens);
    let parts = if is_short_prompt(profile, &prompt.request) {
        1
    } else {
        backlogs.len().min(MAX_HELPERS + 1)
    };
    // A longer prompt may wait for more engines, and this one be placed before it.
    let ahead = ahead.iter().filter(|ahead| **ahead <= prefill);
    let ahead = ahead.sum::<Duration>();
    let all_done = fill_time(&backlogs, prefill + ahead);
    let alone_done = fill_time(&backlogs[..parts.min(backlogs.len())], prefill);
    let forecast = all_done.max(alone_done) + profile.decode_iteration_time(0);
    (forecast.mul_f64(FORECAST_FRACTION) > remaining).then(|| LateForecast {
        forecast,
        remaining,
        backlog: backlogs.iter().sum(),
        ahead,
    })
}

/// Time until engines with these backlogs, in rising order, have done `work` beside them if it could be
/// divided at will.
fn fill_time(backlogs: &[Duration], work: Duration) -> Duration {
    let mut total = work;
    for (index, backlog) in backlogs.iter().enumerate() {
        total += *backlog;
        let time = total / (index as u32 + 1);
        if backlogs.get(index + 1).is_none_or(|next| time <= *next) {
            return time;
        }
    }
    Duration::ZERO
}
