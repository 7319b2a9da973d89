//! What all gateways together have given to each backend server, as one gateway knows it.

use proto::{ServerKey, ServerUsage};
use std::collections::HashMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Number of a job of this gateway.
pub type JobId = u64;

/// The key of a backend server.
pub fn server_key(id: &str) -> ServerKey {
    xxh3_64(id.as_bytes())
}

/// What one job takes of one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobLoad {
    /// The server.
    pub server: ServerKey,
    /// Time to read the job's part there.
    pub prefill_time: Duration,
    /// Tokens held there.
    pub kv_tokens: u64,
    /// Whether the job writes its answer there, and so holds a slot.
    pub decodes: bool,
    /// Longest pause between events that the job bears.
    pub event_gap_target: Duration,
    /// Whether it is part of a long prompt.
    pub is_long: bool,
}

#[derive(Debug)]
struct OwnPart {
    part: JobLoad,
    read_ends: Duration,
    reads: bool,
}

/// Part of a read's cost that is still reckoned with when it takes longer than foreseen.
const OVERDUE_PART: u32 = 8;
/// Time after which what a peer said is worth nothing.
const PEER_STALE: Duration = Duration::from_millis(2_500);

/// Own jobs, and what peers said of theirs.
#[derive(Debug, Default)]
pub struct FleetLoad {
    own: HashMap<ServerKey, HashMap<JobId, OwnPart>>,
    peers: HashMap<Box<str>, PeerUse>,
}

#[derive(Debug)]
struct PeerUse {
    heard: Duration,
    servers: HashMap<ServerKey, ServerUsage>,
}

impl FleetLoad {
    /// Notes that a job starts.
    pub fn start(&mut self, job: JobId, parts: &[JobLoad], now: Duration) {
        for part in parts {
            let queued = self.total(part.server, now).prefill_remaining;
            let own = OwnPart {
                part: *part,
                read_ends: now + queued + part.prefill_time,
                reads: true,
            };
            self.own.entry(part.server).or_default().insert(job, own);
        }
    }

    /// Notes that a job's prompt has been read.
    pub fn on_prefilled(&mut self, job: JobId, parts: &[JobLoad]) {
        for part in parts {
            let own = self.own.get_mut(&part.server);
            if let Some(own) = own.and_then(|jobs| jobs.get_mut(&job)) {
                own.reads = false;
            }
        }
    }

    /// Notes that a job has ended.
    pub fn end(&mut self, job: JobId, parts: &[JobLoad]) {
        for part in parts {
            if let Some(jobs) = self.own.get_mut(&part.server) {
                jobs.remove(&job);
                if jobs.is_empty() {
                    self.own.remove(&part.server);
                }
            }
        }
    }

    /// Takes in all that a peer has given to servers.
    pub fn on_peer_report(
        &mut self,
        peer: &str,
        servers: Vec<(ServerKey, ServerUsage)>,
        now: Duration,
    ) {
        let servers = servers.into_iter().collect();
        let told = PeerUse {
            heard: now,
            servers,
        };
        self.peers.insert(peer.into(), told);
    }

    /// What this gateway has given to servers.
    pub fn local(&self, now: Duration) -> Vec<(ServerKey, ServerUsage)> {
        let servers = self.own.iter();
        servers
            .map(|(key, jobs)| (*key, own_use(jobs, now)))
            .collect()
    }

    /// What all gateways have given to a server.
    pub fn total(&self, server: ServerKey, now: Duration) -> ServerUsage {
        let own = self.own.get(&server);
        let mut sum = own.map_or_else(ServerUsage::default, |jobs| own_use(jobs, now));
        for peer in self.peers.values() {
            let age = now.saturating_sub(peer.heard);
            if let Some(told) = peer.servers.get(&server).filter(|_| age < PEER_STALE) {
                let prefill_remaining = told.prefill_remaining.saturating_sub(age);
                sum.add(&ServerUsage {
                    prefill_remaining,
                    ..*told
                });
            }
        }
        sum
    }

    /// Requests of this gateway at a server.
    pub fn local_jobs(&self, server: ServerKey) -> usize {
        self.own.get(&server).map_or(0, HashMap::len)
    }
}

fn own_use(jobs: &HashMap<JobId, OwnPart>, now: Duration) -> ServerUsage {
    let mut sum = ServerUsage::default();
    for own in jobs.values() {
        sum.add(&ServerUsage {
            jobs: u32::from(own.part.decodes),
            prefill_remaining: own.reading_left(now),
            tokens: own.part.kv_tokens,
            tightest_gap: if own.part.decodes {
                own.part.event_gap_target
            } else {
                Duration::MAX
            },
            long_prefills: u32::from(own.part.is_long && own.reads),
        });
    }
    sum
}

impl OwnPart {
    fn reading_left(&self, now: Duration) -> Duration {
        if !self.reads {
            return Duration::ZERO;
        }
        let left = self
            .read_ends
            .saturating_sub(now)
            .min(self.part.prefill_time);
        left.max(self.part.prefill_time / OVERDUE_PART)
    }
}
