//! Jobs queued for one backend server, and the order in which they are dispatched.

use crate::fairness::{MeanUsage, TeamUsage};
use crate::job::{Job, LengthClass, PrefillLevel};
use proto::AttemptId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Score per second of slack.
const SLACK_WEIGHT: f64 = 0.1;
const MAX_SLACK_SECONDS: f64 = 30.0;
/// Score deducted per second of waiting.
const AGE_WEIGHT: f64 = 0.5;
/// Score per share that the team used beyond the tolerated ones.
const EXCESS_SHARE_SECONDS: f64 = 2.0;
/// Score per share that the team used.
const SHARE_SECONDS: f64 = 0.05;
const MAX_SHARES: f64 = 10.0;

/// Recent use of a job's team, in multiples of its fair share.
#[derive(Debug, Default, Clone, Copy)]
struct RecentUse {
    shares: f64,
    excess: f64,
}

/// A job waiting in the queue.
#[derive(Debug)]
pub struct QueuedJob {
    /// The job.
    pub job: Job,
    /// Length class, predicted on arrival.
    pub class: LengthClass,
    /// Prefill level, predicted on arrival.
    pub level: PrefillLevel,
    /// Whether its times were predicted at the speed of the warm server. Such a job probes whether
    /// the server is warm again.
    pub is_probe: bool,
    /// Whether the whole request body has arrived; the job is not dispatched before.
    pub body_complete: bool,
    /// When the job was queued.
    pub enqueued_at: Duration,
    /// Predicted seconds of prefill.
    pub prefill_seconds: f64,
    /// Predicted seconds from dispatch to the end of the answer.
    pub service_seconds: f64,
}

impl QueuedJob {
    /// Seconds that the job can still wait and finish by its deadline; negative if it is late.
    pub fn slack(&self, now: Duration) -> f64 {
        seconds_between(now, self.job.deadline) - self.service_seconds
    }

    /// Score that orders the queue, in seconds; the lowest goes first. Short prefills, little slack
    /// and a long wait move a job forward, use beyond the team's share moves it back.
    fn score(&self, now: Duration, team_use: RecentUse) -> f64 {
        let slack = self.slack(now).clamp(0.0, MAX_SLACK_SECONDS) * SLACK_WEIGHT;
        let age = now.saturating_sub(self.enqueued_at).as_secs_f64() * AGE_WEIGHT;
        let excess = team_use.excess.min(MAX_SHARES) * EXCESS_SHARE_SECONDS;
        let shares = team_use.shares.min(MAX_SHARES) * SHARE_SECONDS;
        self.prefill_seconds + slack + excess + shares - age
    }
}

/// Seconds from `from` to `to`; negative if `to` is earlier.
pub fn seconds_between(from: Duration, to: Duration) -> f64 {
    to.as_secs_f64() - from.as_secs_f64()
}

/// Jobs queued for one backend server, in order of arrival.
#[derive(Debug, Default)]
pub struct JobQueue {
    jobs: Vec<QueuedJob>,
}

/// Queued work of one team.
#[derive(Debug, Default, Clone, Copy)]
pub struct TeamBacklog {
    /// Number of jobs.
    pub jobs: f64,
    /// Predicted seconds of prefill.
    pub seconds: f64,
    /// Weight of the team in fair sharing.
    pub weight: f64,
}

impl JobQueue {
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = &QueuedJob> {
        self.jobs.iter()
    }

    pub fn push(&mut self, waiting: QueuedJob) {
        self.jobs.push(waiting);
    }

    /// Marks the request body of a job as complete.
    pub fn set_body_complete(&mut self, attempt: AttemptId) {
        let found = self.jobs.iter_mut().find(|w| w.job.attempt == attempt);
        if let Some(waiting) = found {
            waiting.body_complete = true;
        }
    }

    pub fn get(&self, attempt: AttemptId) -> Option<&QueuedJob> {
        self.jobs.iter().find(|w| w.job.attempt == attempt)
    }

    /// Removes a job; `None` if it is not queued.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<QueuedJob> {
        let index = self.jobs.iter().position(|w| w.job.attempt == attempt)?;
        Some(self.jobs.remove(index))
    }

    /// Jobs with complete bodies in dispatch order. Jobs of the same length and team keep their
    /// order of arrival.
    pub fn ordered(&self, now: Duration, usage: &TeamUsage, mean: MeanUsage) -> Vec<AttemptId> {
        let mut team_uses: BTreeMap<&str, RecentUse> = BTreeMap::new();
        let mut scored: Vec<(f64, AttemptId)> = self
            .jobs
            .iter()
            .filter(|waiting| waiting.body_complete)
            .map(|waiting| {
                let team = &*waiting.job.team;
                let team_use = *team_uses.entry(team).or_insert_with(|| RecentUse {
                    shares: usage.share_ratio(mean, team),
                    excess: usage.excess_shares(mean, team),
                });
                (waiting.score(now, team_use), waiting.job.attempt)
            })
            .collect();
        scored.sort_by(|a, b| a.0.total_cmp(&b.0));
        scored.into_iter().map(|(_, attempt)| attempt).collect()
    }

    /// Backlog of each team that goes before a new job, leaving out what the teams have used.
    pub fn backlog_before(&self, now: Duration, new: &QueuedJob) -> BTreeMap<&str, TeamBacklog> {
        let new_score = new.score(now, RecentUse::default());
        self.backlog(|waiting| waiting.score(now, RecentUse::default()) <= new_score)
    }

    /// Backlog of each team in jobs up to a prefill level.
    pub fn backlog_up_to(&self, level: PrefillLevel) -> BTreeMap<&str, TeamBacklog> {
        self.backlog(|waiting| waiting.level <= level)
    }

    fn backlog(&self, is_counted: impl Fn(&QueuedJob) -> bool) -> BTreeMap<&str, TeamBacklog> {
        let mut teams: BTreeMap<&str, TeamBacklog> = BTreeMap::new();
        for waiting in self.jobs.iter().filter(|waiting| is_counted(waiting)) {
            let backlog = teams.entry(&*waiting.job.team).or_default();
            backlog.jobs += 1.0;
            backlog.seconds += waiting.prefill_seconds;
            backlog.weight = f64::from(waiting.job.weight.max(1));
        }
        teams
    }

    /// Whether [`Self::evict_for`] would make room.
    pub fn can_evict_for(&self, team: &str, weight: u32) -> bool {
        self.eviction_index(team, weight).is_some()
    }

    /// Makes room for a job of `team` in a full queue: removes the newest job of the team with the
    /// most jobs per weight. Removes nothing if that is `team` itself, or would be with the new
    /// job.
    pub fn evict_for(&mut self, team: &str, weight: u32) -> Option<QueuedJob> {
        let index = self.eviction_index(team, weight)?;
        Some(self.jobs.remove(index))
    }

    fn eviction_index(&self, team: &str, weight: u32) -> Option<usize> {
        let backlog = self.backlog(|_| true);
        let jobs_per_weight = |backlog: &TeamBacklog| backlog.jobs / backlog.weight;
        let own = backlog.get(team).map_or(0.0, jobs_per_weight);
        let own_after = own + 1.0 / f64::from(weight.max(1));
        let (largest_team, most) = backlog
            .iter()
            .map(|(name, backlog)| (*name, jobs_per_weight(backlog)))
            .max_by(|a, b| a.1.total_cmp(&b.1))?;
        if most <= own_after || largest_team == team {
            return None;
        }
        self.jobs.iter().rposition(|w| *w.job.team == *largest_team)
    }
}
