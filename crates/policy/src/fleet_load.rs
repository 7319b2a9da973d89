//! Load that all gateways together place on each backend server, as one gateway knows it.

use crate::herd_avoidance::{KnownPlacements, MANY_PEERS};
use crate::sliding_window::SlidingWindow;
use proto::{ServerKey, ServerUsage};
use std::collections::HashMap;
use std::mem;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a job of this gateway. A job is one request, on one or several servers.
pub type JobId = u64;

/// Hashes the id of a backend server, so that load reports stay small.
pub fn server_key(id: &str) -> ServerKey {
    xxh3_64(id.as_bytes())
}

/// Load that one job places on one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobLoad {
    /// Key of the server, from [`server_key`].
    pub server: ServerKey,
    /// Time to prefill the job's part of the prompt there.
    pub prefill_time: Duration,
    /// KV cache tokens that the job occupies there.
    pub kv_tokens: u64,
    /// Whether the answer is decoded there, so that the job occupies a slot.
    pub decodes: bool,
    /// Longest time between two events of the answer that counts as on time.
    pub event_gap_target: Duration,
    /// Whether it is a part of a long prompt.
    pub is_long: bool,
}

#[derive(Debug)]
struct LocalJob {
    load: JobLoad,
    placed_at: Duration,
    prefill_ends_at: Duration,
    prefilling: bool,
}

/// Until a prefill is reported done, at least its expected time divided by this counts as
/// remaining, since it may take longer than expected.
const OVERDUE_PREFILL_DIVISOR: u32 = 8;
/// Age from which the load that a peer reported is ignored.
const PEER_LOAD_TTL: Duration = Duration::from_millis(2_500);

/// Span over which placements that peers report are counted.
pub const PLACEMENT_WINDOW: Duration = Duration::from_secs(1);

/// Span over which a gateway counts its own placements: the first quarter second of a burst shows.
pub(crate) const OWN_PLACEMENT_WINDOW: Duration = Duration::from_millis(250);

/// Time after the first report of a peer from which its load is known well: gateways report at
/// least twice a second, so that it has reported again.
const MIN_REPORTED_SPAN: Duration = Duration::from_millis(500);

/// Age of the last report of a peer from which it counts as not heard. Gateways report at least twice a
/// second.
const MAX_HEARD_AGE: Duration = Duration::from_millis(700);

/// Number of servers above which those that no peer uses any more are dropped.
const MAX_TRACKED_SERVERS: usize = 4_096;

/// Number that stands for a peer in this process.
type PeerIndex = usize;

/// Jobs of this gateway, and the load that peers last reported.
#[derive(Debug, Default)]
pub struct FleetLoad {
    local: HashMap<ServerKey, HashMap<JobId, LocalJob>>,
    peers: HashMap<ServerKey, PeerLoad>,
    reports: Vec<PeerReport>,
    peer_indices: HashMap<Box<str>, PeerIndex>,
}

/// Load that peers place on one server.
#[derive(Debug)]
struct PeerLoad {
    usages: Vec<(PeerIndex, ServerUsage)>,
    placements: SlidingWindow,
}

impl Default for PeerLoad {
    fn default() -> Self {
        Self {
            usages: Vec::new(),
            placements: SlidingWindow::new(PLACEMENT_WINDOW),
        }
    }
}

/// Last report of one peer. The load that it contained is kept by server.
#[derive(Debug)]
struct PeerReport {
    /// Time of the first of the reports that came without a gap.
    first_reported_at: Duration,
    reported_at: Duration,
    servers: Vec<ServerKey>,
}

impl FleetLoad {
    /// Adds a job. Its prefill on a server is expected to end after all that is queued there.
    pub fn start(&mut self, job: JobId, parts: &[JobLoad], now: Duration) {
        for part in parts {
            let queued = self.total(part.server, now).prefill_remaining;
            let local_job = LocalJob {
                load: *part,
                placed_at: now,
                prefill_ends_at: now + queued + part.prefill_time,
                prefilling: true,
            };
            self.local
                .entry(part.server)
                .or_default()
                .insert(job, local_job);
        }
    }

    /// Records that a job's prompt is prefilled; the job still occupies slots and memory.
    pub fn on_prefilled(&mut self, job: JobId, parts: &[JobLoad]) {
        for part in parts {
            let jobs = self.local.get_mut(&part.server);
            if let Some(local_job) = jobs.and_then(|jobs| jobs.get_mut(&job)) {
                local_job.prefilling = false;
            }
        }
    }

    /// Removes a job.
    pub fn end(&mut self, job: JobId, parts: &[JobLoad]) {
        for part in parts {
            if let Some(jobs) = self.local.get_mut(&part.server) {
                jobs.remove(&job);
                if jobs.is_empty() {
                    self.local.remove(&part.server);
                }
            }
        }
    }

    /// Replaces the load of a peer by its latest report, which names all servers that it uses.
    pub fn on_peer_report(
        &mut self,
        peer: &str,
        servers: Vec<(ServerKey, ServerUsage)>,
        now: Duration,
    ) {
        let known = self.peer_indices.get(peer).copied();
        let index = known.unwrap_or_else(|| self.add_peer(peer));
        let report = &mut self.reports[index];
        let is_update = known.is_some() && now < report.reported_at + PEER_LOAD_TTL;
        if !is_update {
            report.first_reported_at = now;
        }
        report.reported_at = now;
        let keys = servers.iter().map(|(key, _)| *key).collect();
        let dropped = mem::replace(&mut report.servers, keys);
        for (key, usage) in servers {
            let load = self.peers.entry(key).or_default();
            let jobs_before = load.replace(index, usage);
            if is_update {
                (jobs_before..usage.jobs).for_each(|_| load.placements.record(now));
            }
        }
        for key in dropped {
            let is_used = self.reports[index].servers.contains(&key);
            if let Some(load) = self.peers.get_mut(&key).filter(|_| !is_used) {
                load.usages.retain(|(peer, _)| *peer != index);
            }
        }
        if self.peers.len() > MAX_TRACKED_SERVERS {
            self.peers.retain(|_, load| !load.usages.is_empty());
        }
    }

    fn add_peer(&mut self, peer: &str) -> PeerIndex {
        let index = self.reports.len();
        self.peer_indices.insert(peer.into(), index);
        self.reports.push(PeerReport {
            first_reported_at: Duration::ZERO,
            reported_at: Duration::ZERO,
            servers: Vec::new(),
        });
        index
    }

    /// Number of jobs on a server that peers reported as new within the last
    /// [`PLACEMENT_WINDOW`].
    pub fn peer_placements(&mut self, server: ServerKey, now: Duration) -> usize {
        let load = self.peers.get_mut(&server);
        load.map_or(0, |load| load.placements.count(now))
    }

    /// What is known of the latest placements on `servers` by this gateway and by `peers` others, which
    /// report their load every `report_interval`.
    pub fn known_placements(
        &mut self,
        servers: impl Iterator<Item = ServerKey>,
        peers: usize,
        report_interval: Duration,
        now: Duration,
    ) -> KnownPlacements {
        let (mut reported, mut reported_lately, mut own) = (0, 0, 0);
        for server in servers {
            if let Some(load) = self.peers.get_mut(&server) {
                reported += load.placements.count(now);
                reported_lately += load.placements.count_within(now, OWN_PLACEMENT_WINDOW);
            }
            own += self.own_placements(server, now);
        }
        let rate = |count: usize, window: Duration| count as f64 / window.as_secs_f64();
        let lately = if peers >= MANY_PEERS {
            rate(reported_lately, OWN_PLACEMENT_WINDOW)
        } else {
            0.0
        };
        KnownPlacements {
            peers,
            hears_peers: self.hears_peers(peers, now),
            reported_rate: rate(reported, PLACEMENT_WINDOW).max(lately),
            own,
            report_interval,
            silence: self.silence(now),
        }
    }

    /// Number of prompts on a server that this gateway has placed there within the last
    /// [`OWN_PLACEMENT_WINDOW`], without those that only prefill there.
    fn own_placements(&self, server: ServerKey, now: Duration) -> usize {
        let jobs = self
            .local
            .get(&server)
            .into_iter()
            .flat_map(HashMap::values);
        jobs.filter(|job| job.load.decodes && now < job.placed_at + OWN_PLACEMENT_WINDOW)
            .count()
    }

    /// Whether at least half of `peers` other gateways have reported for a while without a gap.
    fn hears_peers(&self, peers: usize, now: Duration) -> bool {
        let heard = self.reports.iter().filter(|report| {
            now < report.reported_at + MAX_HEARD_AGE
                && now >= report.first_reported_at + MIN_REPORTED_SPAN
        });
        2 * heard.count() >= peers
    }

    /// Time since the last report of any peer; zero if there was none yet.
    fn silence(&self, now: Duration) -> Duration {
        let last = self.reports.iter().map(|report| report.reported_at).max();
        last.map_or(Duration::ZERO, |last| now.saturating_sub(last))
    }

    /// Load that this gateway places on servers; servers without any are left out.
    pub fn local(&self, now: Duration) -> Vec<(ServerKey, ServerUsage)> {
        let servers = self.local.iter();
        servers
            .map(|(key, jobs)| (*key, sum_local(jobs, now)))
            .collect()
    }

    /// Load that all gateways place on a server. The prefill that a peer reported is reduced by the
    /// age of its report.
    pub fn total(&self, server: ServerKey, now: Duration) -> ServerUsage {
        let local_jobs = self.local.get(&server);
        let mut sum = local_jobs.map_or_else(ServerUsage::default, |jobs| sum_local(jobs, now));
        let usages = self.peers.get(&server).map(|load| &load.usages);
        for (peer, usage) in usages.into_iter().flatten() {
            let age = now.saturating_sub(self.reports[*peer].reported_at);
            if age < PEER_LOAD_TTL {
                let prefill_remaining = usage.prefill_remaining.saturating_sub(age);
                sum.add(&ServerUsage {
                    prefill_remaining,
                    ..*usage
                });
            }
        }
        sum
    }

    /// Number of jobs of this gateway on a server, with those that only prefill there.
    pub fn local_jobs(&self, server: ServerKey) -> usize {
        self.local.get(&server).map_or(0, HashMap::len)
    }
}

impl PeerLoad {
    /// Replaces the usage of a peer; returns the number of jobs that it had before.
    fn replace(&mut self, peer: PeerIndex, usage: ServerUsage) -> u32 {
        match self.usages.iter_mut().find(|(known, _)| *known == peer) {
            Some((_, known)) => mem::replace(known, usage).jobs,
            None => {
                self.usages.push((peer, usage));
                0
            }
        }
    }
}

fn sum_local(jobs: &HashMap<JobId, LocalJob>, now: Duration) -> ServerUsage {
    let mut sum = ServerUsage::default();
    for job in jobs.values() {
        sum.add(&ServerUsage {
            jobs: u32::from(job.load.decodes),
            prefill_remaining: job.prefill_remaining(now),
            tokens: job.load.kv_tokens,
            min_event_gap_target: if job.load.decodes {
                job.load.event_gap_target
            } else {
                Duration::MAX
            },
            long_prefills: u32::from(job.load.is_long && job.prefilling),
        });
    }
    sum
}

impl LocalJob {
    fn prefill_remaining(&self, now: Duration) -> Duration {
        if !self.prefilling {
            return Duration::ZERO;
        }
        let left = self
            .prefill_ends_at
            .saturating_sub(now)
            .min(self.load.prefill_time);
        left.max(self.load.prefill_time / OVERDUE_PREFILL_DIVISOR)
    }
}
