//! Recent engine use of each team at one backend server.

use crate::job::{PREFILL_LEVELS, PrefillLevel};
use proto::TeamId;
use std::collections::BTreeMap;
use std::time::Duration;

const HALF_LIFE: Duration = Duration::from_secs(15);
/// Teams with less remaining use than this are dropped.
const MIN_KEPT_SECONDS: f64 = 1e-3;
/// Multiple of its fair share beyond which the use of a team counts as excessive.
const TOLERATED_SHARES: f64 = 2.0;
/// Fraction of the engine's time below which no use counts as excessive.
const MIN_NOTABLE_FRACTION: f64 = 0.2;
const MIN_TEAMS_TO_PRUNE: usize = 256;

#[derive(Debug)]
struct DecayedUsage {
    seconds: f64,
    updated_at: Duration,
    weight: f64,
}

impl DecayedUsage {
    fn decayed(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.seconds * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// Engine seconds used by each team, with exponential decay. Only teams with recent use are kept.
#[derive(Debug, Default)]
pub struct TeamUsage {
    teams: BTreeMap<TeamId, DecayedUsage>,
    prune_threshold: usize,
}

/// Mean use per unit of weight, at one moment.
#[derive(Debug, Clone, Copy)]
pub struct MeanUsage {
    now: Duration,
    per_weight: f64,
}

impl TeamUsage {
    /// Adds engine seconds to the use of a team.
    pub fn charge(&mut self, now: Duration, team: &str, weight: u32, seconds: f64) {
        if let Some(usage) = self.teams.get_mut(team) {
            usage.seconds = usage.decayed(now) + seconds;
            usage.updated_at = now;
            usage.weight = f64::from(weight.max(1));
            return;
        }
        self.prune(now);
        let usage = DecayedUsage {
            seconds,
            updated_at: now,
            weight: f64::from(weight.max(1)),
        };
        self.teams.insert(team.into(), usage);
    }

    /// Mean over the teams with recent use.
    pub fn mean(&self, now: Duration) -> MeanUsage {
        let (used, weight) = self
            .teams
            .values()
            .fold((0.0, 0.0), |(used, weight), usage| {
                (used + usage.decayed(now), weight + usage.weight)
            });
        MeanUsage {
            now,
            per_weight: if weight > 0.0 { used / weight } else { 0.0 },
        }
    }

    /// Multiple of its fair share that a team has used; 1 if there is nothing to compare with.
    pub fn share_ratio(&self, mean: MeanUsage, team: &str) -> f64 {
        if self.teams.len() < 2 || mean.per_weight <= 0.0 {
            return 1.0;
        }
        self.teams.get(team).map_or(0.0, |usage| {
            usage.decayed(mean.now) / usage.weight / mean.per_weight
        })
    }

    /// Shares that a team has used beyond the tolerated ones; zero if its use is small.
    pub fn excess_shares(&self, mean: MeanUsage, team: &str) -> f64 {
        let used = self
            .teams
            .get(team)
            .map_or(0.0, |usage| usage.decayed(mean.now));
        let full_use = HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        if used < MIN_NOTABLE_FRACTION * full_use {
            return 0.0;
        }
        (self.share_ratio(mean, team) - TOLERATED_SHARES).max(0.0)
    }

    fn prune(&mut self, now: Duration) {
        if self.teams.len() < self.prune_threshold.max(MIN_TEAMS_TO_PRUNE) {
            return;
        }
        self.teams
            .retain(|_, usage| usage.decayed(now) > MIN_KEPT_SECONDS);
        self.prune_threshold = self.teams.len() * 2;
    }
}

/// Fraction of the engine's time that prefills of each level have recently taken.
#[derive(Debug, Default)]
pub struct PrefillShares {
    seconds: [f64; PREFILL_LEVELS],
    updated_at: Duration,
}

/// Largest fraction of the prefill time that shorter prompts may take from longer ones.
pub const MAX_SHORTER_SHARE: f64 = 0.75;

impl PrefillShares {
    /// Records a prefill of `seconds`.
    pub fn add(&mut self, now: Duration, level: PrefillLevel, seconds: f64) {
        let decay = self.decay(now);
        for level_seconds in &mut self.seconds {
            *level_seconds *= decay;
        }
        self.seconds[usize::from(level)] += seconds;
        self.updated_at = now;
    }

    /// Fraction taken by prefills shorter than `level`, up to [`MAX_SHORTER_SHARE`].
    pub fn share_before(&self, now: Duration, level: PrefillLevel) -> f64 {
        let shorter: f64 = self.seconds[..usize::from(level)].iter().sum();
        let per_second = std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        (shorter * self.decay(now) * per_second).min(MAX_SHORTER_SHARE)
    }

    fn decay(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        (-age / HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// Leaky bucket that limits prefills which overtake others in the engine to [`MAX_SHORTER_SHARE`]
/// of the engine's time.
#[derive(Debug, Default)]
pub struct OvertakeBudget {
    seconds: f64,
    updated_at: Duration,
}

const MAX_BURST_SECONDS: f64 = 5.0;

impl OvertakeBudget {
    /// Records an overtaking prefill of `seconds`.
    pub fn add(&mut self, now: Duration, seconds: f64) {
        self.seconds = self.level(now) + seconds;
        self.updated_at = now;
    }

    /// Whether another prefill may overtake now.
    pub fn allows(&self, now: Duration) -> bool {
        self.level(now) < MAX_BURST_SECONDS
    }

    /// When another prefill may overtake.
    pub fn allowed_at(&self) -> Duration {
        let excess = (self.seconds - MAX_BURST_SECONDS).max(0.0);
        self.updated_at
            + Duration::from_secs_f64(excess / MAX_SHORTER_SHARE)
            + Duration::from_micros(1)
    }

    fn level(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        (self.seconds - age * MAX_SHORTER_SHARE).max(0.0)
    }
}
