//! Prefill time that each team gets while prompts wait.

use proto::{TeamKey, TeamPrefill, WaitingFrame};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Prefill that was started within this time counts. It is about as long as the longest prompts are
/// prefilled, so that a team with one of them counts as served until it ends.
const WINDOW: Duration = Duration::from_secs(5);
/// Multiple of an equal share from which a team goes behind others. With 1.0, about half of the teams
/// would be over it at any time.
const MAX_SHARES: f64 = 1.25;
/// Number of steps up to [`MAX_SHARES`] by which the queue orders teams. With a single one, a team that has
/// got one prompt of about a share counts like one that has got nothing, and is given a second prompt
/// before teams without any: 2.05 shares for a team with ten times the prompts.
const STEPS: u8 = 2;
/// Teams that gateways tell each other, those with the most prefill time. The others are far below
/// their share.
pub const MAX_REPORTED_TEAMS: usize = 16;
/// Starts of this gateway that are kept; several times what a gateway can start within the window.
const MAX_STARTS: usize = 1_024;
/// Peers whose reports are kept; three times the gateways that are expected in two years.
const MAX_PEERS: usize = 1_024;
/// Interval at which the shares are computed. Peers report no more often.
const REVIEW_INTERVAL: Duration = Duration::from_millis(50);

/// Hashes the name of a team; callers without a team count as one.
pub fn team_key(name: Option<&str>) -> TeamKey {
    name.map_or(0, |name| xxh3_64(name.as_bytes()))
}

/// How much of its share each team has got, in steps; teams below the first step are left out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TeamsOverShare(BTreeMap<TeamKey, u8>);

impl TeamsOverShare {
    /// Whole shares that a team has got; 0 if it is not over its share.
    pub fn shares(&self, team: TeamKey) -> u8 {
        self.steps(team) / STEPS
    }

    /// Half shares that a team has got, by which the queue orders teams.
    ///
    /// The number counts because the share of a short time can be less than one long prompt, so that
    /// most teams are over it.
    pub fn steps(&self, team: TeamKey) -> u8 {
        self.0.get(&team).copied().unwrap_or_default()
    }
}

/// Prefill time started for each team within the last seconds, at this gateway and its peers,
/// compared with an equal share of the teams that have demand.
///
/// Load pattern: a team sends many times as many long prompts as others. In order of their latest
/// starts its prompts would take the engines in proportion to their number.
#[derive(Debug, Default)]
pub struct TeamShares {
    own: VecDeque<Start>,
    peers: BTreeMap<Box<str>, PeerStarts>,
    over_share: TeamsOverShare,
    reviewed_at: Option<Duration>,
}

#[derive(Debug)]
struct Start {
    at: Duration,
    prefill: TeamPrefill,
}

#[derive(Debug)]
struct PeerStarts {
    reported_at: Duration,
    teams: Vec<TeamPrefill>,
}

impl TeamShares {
    /// Records that this gateway has started a prompt that takes `prefill_time` on all its engines
    /// together.
    pub fn record_start(&mut self, team: TeamKey, prefill_time: Duration, now: Duration) {
        self.drop_old(now);
        if self.own.len() >= MAX_STARTS {
            self.own.pop_front();
        }
        let prefill = TeamPrefill { team, prefill_time };
        self.own.push_back(Start { at: now, prefill });
    }

    /// Replaces what a peer has reported.
    pub fn on_peer_frame(&mut self, peer: &str, frame: &WaitingFrame, now: Duration) {
        self.peers.remove(peer);
        if self.peers.len() >= MAX_PEERS {
            self.drop_old(now);
        }
        let teams: Vec<_> = frame
            .started
            .iter()
            .take(MAX_REPORTED_TEAMS)
            .copied()
            .collect();
        if !teams.is_empty() && self.peers.len() < MAX_PEERS {
            let starts = PeerStarts {
                reported_at: now,
                teams,
            };
            self.peers.insert(peer.into(), starts);
        }
    }

    /// What this gateway has started, for peers.
    pub fn report(&mut self, now: Duration) -> Vec<TeamPrefill> {
        self.drop_old(now);
        let mut sums = BTreeMap::new();
        self.own
            .iter()
            .for_each(|start| add(&mut sums, start.prefill));
        let teams = sums.into_iter();
        let mut teams: Vec<_> = teams
            .map(|(team, prefill_time)| TeamPrefill { team, prefill_time })
            .collect();
        teams.sort_by_key(|team| std::cmp::Reverse(team.prefill_time));
        teams.truncate(MAX_REPORTED_TEAMS);
        teams
    }

    /// What teams have got of their share; `waiting` are those with prompts that wait here or
    /// at peers. The result is up to 50 ms old.
    ///
    /// A team's share depends on the number of teams only, so that none gains by sending more. What it
    /// has got leaves the window, so that none waits for ever.
    pub fn over_share(
        &mut self,
        waiting: impl IntoIterator<Item = TeamKey>,
        now: Duration,
    ) -> &TeamsOverShare {
        let is_due = |reviewed_at| now >= reviewed_at + REVIEW_INTERVAL;
        if self.reviewed_at.is_none_or(is_due) {
            self.reviewed_at = Some(now);
            self.over_share = self.review(waiting, now);
        }
        &self.over_share
    }

    /// Number of teams' figures that are kept.
    pub fn len(&self) -> usize {
        let of_peers = self.peers.values().map(|starts| starts.teams.len());
        self.own.len() + of_peers.sum::<usize>()
    }

    /// Whether no figures are kept.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty() && self.peers.is_empty()
    }

    fn review(
        &mut self,
        waiting: impl IntoIterator<Item = TeamKey>,
        now: Duration,
    ) -> TeamsOverShare {
        self.drop_old(now);
        let mut started: BTreeMap<_, _> = waiting
            .into_iter()
            .map(|team| (team, Duration::ZERO))
            .collect();
        self.own
            .iter()
            .for_each(|start| add(&mut started, start.prefill));
        for starts in self.peers.values() {
            // The starts of a report leave the window one by one.
            let age = now.saturating_sub(starts.reported_at).as_secs_f64();
            let left = (1.0 - age / WINDOW.as_secs_f64()).max(0.0);
            for team in &starts.teams {
                let prefill_time = team.prefill_time.mul_f64(left);
                add(
                    &mut started,
                    TeamPrefill {
                        prefill_time,
                        ..*team
                    },
                );
            }
        }
        let total: f64 = started.values().map(Duration::as_secs_f64).sum();
        let limit = MAX_SHARES * total / started.len().max(1) as f64;
        let over = started.into_iter().filter_map(|(team, started)| {
            let steps = started.as_secs_f64() / limit * f64::from(STEPS);
            (steps > 1.0).then_some((team, steps as u8))
        });
        TeamsOverShare(over.collect())
    }

    fn drop_old(&mut self, now: Duration) {
        while self
            .own
            .front()
            .is_some_and(|start| start.at + WINDOW <= now)
        {
            self.own.pop_front();
        }
        self.peers
            .retain(|_, starts| now < starts.reported_at + WINDOW);
    }
}

fn add(sums: &mut BTreeMap<TeamKey, Duration>, prefill: TeamPrefill) {
    let sum = sums.entry(prefill.team).or_default();
    *sum = sum.saturating_add(prefill.prefill_time);
}
