//! The prefix cache of an engine, and its change events, which are published late and with gaps.

use crate::engine_spec::PromptPrefix;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque, btree_map};
use std::time::Duration;

const MAX_RETAINED_EVENTS: usize = 10_000;

/// A published change of the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; an unpublished event leaves a gap.
    #[serde(rename = "n")]
    pub seq: u64,
    /// Hash of the prompt prefix.
    pub prefix: u64,
    /// True if the prefix was added, false if it was evicted.
    #[serde(rename = "held")]
    pub cached: bool,
}

/// Published events of the prefix cache.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events, in order of their sequence numbers.
    pub events: Vec<CacheEvent>,
    /// Sequence number of the newest event that is old enough to show, published or not.
    #[serde(rename = "last")]
    pub last_seq: u64,
}

#[derive(Debug)]
struct Entry {
    /// Tokens beyond the next shorter prefix of the prompt.
    added_tokens: u64,
    /// Value of `use_count` at the last use.
    last_use: u64,
}

/// An LRU cache of prompt prefixes.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity_tokens: u64,
    lag: Duration,
    dropped_interval: u64,
    entries: BTreeMap<u64, Entry>,
    hash_by_last_use: BTreeMap<u64, u64>,
    use_count: u64,
    tokens: u64,
    events: VecDeque<(Duration, CacheEvent)>,
    last_seq: u64,
}

impl PrefixCache {
    pub(crate) fn new(capacity_tokens: u64, lag: Duration, dropped_interval: u64) -> Self {
        Self {
            capacity_tokens,
            lag,
            dropped_interval,
            entries: BTreeMap::new(),
            hash_by_last_use: BTreeMap::new(),
            use_count: 0,
            tokens: 0,
            events: VecDeque::new(),
            last_seq: 0,
        }
    }

    /// Size of the content, in tokens.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Tokens of the longest cached prefix; `prefixes` are sorted by length.
    pub(crate) fn find(&mut self, prefixes: &[PromptPrefix]) -> u64 {
        let cached = prefixes
            .iter()
            .take_while(|prefix| self.entries.contains_key(&prefix.hash))
            .count();
        for prefix in prefixes[..cached].iter().rev() {
            self.touch(prefix.hash);
        }
        cached
            .checked_sub(1)
            .map_or(0, |last| prefixes[last].tokens)
    }

    /// Adds the prefixes of a prompt up to the capacity, and evicts the least recently used ones.
    pub(crate) fn insert(&mut self, now: Duration, prefixes: &[PromptPrefix]) {
        let mut covered = 0;
        for prefix in prefixes {
            let added_tokens = prefix.tokens.saturating_sub(covered);
            covered = prefix.tokens;
            if covered > self.capacity_tokens {
                break;
            }
            if let btree_map::Entry::Vacant(vacant) = self.entries.entry(prefix.hash) {
                vacant.insert(Entry {
                    added_tokens,
                    last_use: 0,
                });
                self.tokens += added_tokens;
                self.publish(now, prefix.hash, true);
            }
        }
        for prefix in prefixes.iter().rev() {
            self.touch(prefix.hash);
        }
        self.evict(now);
    }

    /// Evicts everything.
    pub(crate) fn clear(&mut self, now: Duration) {
        let hashes: Vec<u64> = self.entries.keys().copied().collect();
        for hash in hashes {
            self.publish(now, hash, false);
        }
        self.entries.clear();
        self.hash_by_last_use.clear();
        self.tokens = 0;
    }

    /// Published events with a sequence number above `after` that are older than the lag.
    pub(crate) fn events(&self, now: Duration, after: u64) -> CacheEvents {
        let visible = || {
            self.events
                .iter()
                .filter(|(at, _)| *at + self.lag <= now)
                .map(|(_, event)| event)
        };
        let published = |event: &&CacheEvent| !event.seq.is_multiple_of(self.dropped_interval);
        CacheEvents {
            events: visible()
                .filter(|event| event.seq > after)
                .filter(published)
                .cloned()
                .collect(),
            last_seq: visible().next_back().map_or(0, |event| event.seq),
        }
    }

    fn touch(&mut self, hash: u64) {
        self.use_count += 1;
        if let Some(entry) = self.entries.get_mut(&hash) {
            self.hash_by_last_use.remove(&entry.last_use);
            entry.last_use = self.use_count;
            self.hash_by_last_use.insert(self.use_count, hash);
        }
    }

    fn evict(&mut self, now: Duration) {
        while self.tokens > self.capacity_tokens {
            let Some((_, hash)) = self.hash_by_last_use.pop_first() else {
                return;
            };
            if let Some(entry) = self.entries.remove(&hash) {
                self.tokens -= entry.added_tokens;
            }
            self.publish(now, hash, false);
        }
    }

    fn publish(&mut self, now: Duration, prefix: u64, cached: bool) {
        self.last_seq += 1;
        let event = CacheEvent {
            seq: self.last_seq,
            prefix,
            cached,
        };
        self.events.push_back((now, event));
        if self.events.len() > MAX_RETAINED_EVENTS {
            self.events.pop_front();
        }
    }
}
