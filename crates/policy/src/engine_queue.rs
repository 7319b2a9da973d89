//! Queue of the prompts at a gateway that wait for engines.

use crate::engine_choice::{PromptRequirements, min_first_event_time};
use crate::engine_profile::EngineProfile;
use crate::team_shares::TeamsOverShare;
use proto::TeamKey;
use std::time::Duration;

/// Identifies a queued prompt within a gateway; a later prompt has a higher number.
pub type QueuedPromptId = u64;

/// A prompt that waits for engines.
#[derive(Debug, Clone)]
pub struct QueuedPrompt {
    /// Identifies the prompt; the lower number goes first between equals.
    pub id: QueuedPromptId,
    /// Priority; 0 goes first.
    pub rank: u8,
    /// Team of its caller.
    pub team: TeamKey,
    /// Whether it is sent again after its engine failed. It is not put behind others for its team's share:
    /// its prefill counted when it first started, and its caller may have part of the answer.
    pub is_retry: bool,
    /// What the prompt needs, as of its arrival.
    pub request: PromptRequirements,
    /// When it entered the queue.
    pub queued_at: Duration,
    /// When its caller gives up.
    pub deadline: Duration,
}

impl QueuedPrompt {
    /// What the prompt needs as of now, with the time waited and the time remaining.
    pub fn request_at(&self, now: Duration) -> PromptRequirements {
        PromptRequirements {
            waited: now.saturating_sub(self.queued_at),
            remaining: self.deadline.saturating_sub(now),
            ..self.request.clone()
        }
    }

    /// Whether the caller would give up before the first event even if all engines were idle.
    pub fn would_miss_deadline(
        &self,
        profile: &EngineProfile,
        engines: usize,
        now: Duration,
    ) -> bool {
        now + min_first_event_time(profile, &self.request, engines) > self.deadline
    }

    /// Whole shares that its team has got and for which it goes behind others.
    pub fn shares_over(&self, over_share: &TeamsOverShare) -> u8 {
        if self.is_retry {
            0
        } else {
            over_share.shares(self.team)
        }
    }

    fn share_steps(&self, over_share: &TeamsOverShare) -> u8 {
        if self.is_retry {
            0
        } else {
            over_share.steps(self.team)
        }
    }

    /// Place of the prompt in the order of the queue.
    pub fn order(
        &self,
        profile: &EngineProfile,
        engines: usize,
        over_share: &TeamsOverShare,
        now: Duration,
    ) -> QueueOrder {
        let min_time = min_first_event_time(profile, &self.request, engines);
        let latest_start =
            (self.queued_at + self.request.first_event_target).saturating_sub(min_time);
        QueueOrder {
            is_late: latest_start < now,
            rank: self.rank,
            shares_over: self.share_steps(over_share),
            latest_start,
        }
    }
}

/// Sort key of a waiting prompt; the lowest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueOrder {
    /// Whether it can no longer meet its target.
    pub is_late: bool,
    /// Priority.
    pub rank: u8,
    /// Half shares that its team has got.
    pub shares_over: u8,
    /// Latest start with which it meets its target.
    pub latest_start: Duration,
}

/// Sorts queued prompts: those that can still meet their target first, then by rank, then those of
/// teams that have got the fewest half shares, then by the latest time at which they can start and
/// still meet it.
///
/// Load pattern: a burst of more long prompts than the engines can prefill in time. In order of
/// arrival each of them would be late; in this order some are on time.
pub fn sort_queue(
    prompts: &mut [QueuedPrompt],
    profile: &EngineProfile,
    engines: usize,
    over_share: &TeamsOverShare,
    now: Duration,
) {
    prompts.sort_by_key(|prompt| (prompt.order(profile, engines, over_share, now), prompt.id));
}

/// Pause until the prompts that wait at one of `gateways` gateways are checked again. `target` is the
/// shortest of their targets for the first event.
///
/// Load pattern: long prompts wait at several gateways for the same engines. Were all checked as soon
/// as an engine becomes free, several would start on it before any gateway hears of another's start.
/// Short prompts, with targets of a few hundred milliseconds, can wait for tens of these only.
pub fn next_check_after(gateways: usize, target: Duration, random: u64) -> Duration {
    const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(8);
    const SPREAD_PER_GATEWAY: Duration = Duration::from_millis(5);
    const MAX_TARGET_DIVISOR: u32 = 4;
    const SHORT_TARGET: Duration = Duration::from_millis(500);
    const MAX_SHORT_SPREAD: Duration = Duration::from_millis(30);
    const STEPS: u64 = 256;
    let max_spread = if target <= SHORT_TARGET {
        MAX_SHORT_SPREAD
    } else {
        target / MAX_TARGET_DIVISOR
    };
    let spread = (SPREAD_PER_GATEWAY * gateways as u32).min(max_spread);
    MIN_CHECK_INTERVAL + spread.mul_f64((random % STEPS) as f64 / STEPS as f64)
}

/// Delay after which a caller should retry whose request all servers would take too late, or not at
/// all, because of the limits that they state. `wait` is the time until this gateway may send one more
/// request; `None` if other gateways have all shares of the limits.
///
/// The delay is lengthened at `random` by up to a quarter, so that callers do not all return at once.
pub fn suggest_retry_after_limit(wait: Option<Duration>, random: u64) -> Duration {
    const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
    const MAX_SPREAD_FRACTION: f64 = 0.25;
    const SPREAD_STEPS: u64 = 64;
    let spread = (random % SPREAD_STEPS) as f64 / SPREAD_STEPS as f64;
    let wait = wait.unwrap_or(MIN_RETRY_AFTER).max(MIN_RETRY_AFTER);
    wait.mul_f64(1.0 + MAX_SPREAD_FRACTION * spread)
}
