//! Load that all gateways together place on each backend server, as one gateway knows it.

use proto::{ServerKey, ServerUsage};
use std::collections::HashMap;
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
    prefill_ends_at: Duration,
    prefilling: bool,
}

/// Until a prefill is reported done, at least its expected time divided by this counts as
/// remaining, since it may take longer than expected.
const OVERDUE_PREFILL_DIVISOR: u32 = 8;
/// Age from which the load that a peer reported is ignored.
const PEER_LOAD_TTL: Duration = Duration::from_millis(2_500);

/// Jobs of this gateway, and the load that peers last reported.
#[derive(Debug, Default)]
pub struct FleetLoad {
    local: HashMap<ServerKey, HashMap<JobId, LocalJob>>,
    peers: HashMap<Box<str>, PeerLoad>,
}

#[derive(Debug)]
struct PeerLoad {
    reported_at: Duration,
    servers: HashMap<ServerKey, ServerUsage>,
}

impl FleetLoad {
    /// Adds a job. Its prefill on a server is expected to end after all that is queued there.
    pub fn start(&mut self, job: JobId, parts: &[JobLoad], now: Duration) {
        for part in parts {
            let queued = self.total(part.server, now).prefill_remaining;
            let local_job = LocalJob {
                load: *part,
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
        let servers = servers.into_iter().collect();
        let report = PeerLoad {
            reported_at: now,
            servers,
        };
        self.peers.insert(peer.into(), report);
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
        for peer in self.peers.values() {
            let age = now.saturating_sub(peer.reported_at);
            if let Some(report) = peer.servers.get(&server).filter(|_| age < PEER_LOAD_TTL) {
                let prefill_remaining = report.prefill_remaining.saturating_sub(age);
                sum.add(&ServerUsage {
                    prefill_remaining,
                    ..*report
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
