//! An engine's prefix cache, and its events with lag and gaps.

use crate::engine_spec::PromptPrefix;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque, btree_map};
use std::time::Duration;

const EVENTS_KEPT: usize = 10_000;

/// A change of the cache, as it is published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; numbers that were not published are gaps.
    #[serde(rename = "n")]
    pub seq: u64,
    /// Hash of the leading part of a prompt.
    pub prefix: u64,
    /// Whether it is now held.
    #[serde(rename = "held")]
    pub cached: bool,
}

/// Published events.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events, oldest first.
    pub events: Vec<CacheEvent>,
    /// Number of the newest one, published or not.
    #[serde(rename = "last")]
    pub last_seq: u64,
}

#[derive(Debug)]
struct Entry {
    own_tokens: u64,
    used: u64,
}

/// Leading parts of prompts, least recently used ones dropped first.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    limit: u64,
    lag: Duration,
    gap: u64,
    entries: BTreeMap<u64, Entry>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    tokens: u64,
    events: VecDeque<(Duration, CacheEvent)>,
    last_seq: u64,
}

impl PrefixCache {
    pub(crate) fn new(limit: u64, lag: Duration, gap: u64) -> Self {
        Self {
            limit,
            lag,
            gap,
            entries: BTreeMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            tokens: 0,
            events: VecDeque::new(),
            last_seq: 0,
        }
    }

    /// Tokens held.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Tokens of the longest leading part that is held.
    pub(crate) fn find(&mut self, prefixes: &[PromptPrefix]) -> u64 {
        let held = prefixes
            .iter()
            .take_while(|block| self.entries.contains_key(&block.hash))
            .count();
        for block in prefixes[..held].iter().rev() {
            self.touch(block.hash);
        }
        held.checked_sub(1).map_or(0, |last| prefixes[last].tokens)
    }

    /// Holds the leading parts of a prompt.
    pub(crate) fn insert(&mut self, now: Duration, prefixes: &[PromptPrefix]) {
        let mut covered = 0;
        for block in prefixes {
            let own_tokens = block.tokens.saturating_sub(covered);
            covered = block.tokens;
            if covered > self.limit {
                break;
            }
            if let btree_map::Entry::Vacant(vacant) = self.entries.entry(block.hash) {
                vacant.insert(Entry {
                    own_tokens,
                    used: 0,
                });
                self.tokens += own_tokens;
                self.publish(now, block.hash, true);
            }
        }
        for block in prefixes.iter().rev() {
            self.touch(block.hash);
        }
        self.evict(now);
    }

    /// Drops everything.
    pub(crate) fn clear(&mut self, now: Duration) {
        let hashes: Vec<u64> = self.entries.keys().copied().collect();
        for hash in hashes {
            self.publish(now, hash, false);
        }
        self.entries.clear();
        self.by_use.clear();
        self.tokens = 0;
    }

    /// Events after number `after` that are old enough to be published.
    pub(crate) fn events(&self, now: Duration, after: u64) -> CacheEvents {
        let shown = || {
            self.events
                .iter()
                .filter(|(at, _)| *at + self.lag <= now)
                .map(|(_, event)| event)
        };
        let published = |event: &&CacheEvent| !event.seq.is_multiple_of(self.gap);
        CacheEvents {
            events: shown()
                .filter(|event| event.seq > after)
                .filter(published)
                .cloned()
                .collect(),
            last_seq: shown().next_back().map_or(0, |event| event.seq),
        }
    }

    fn touch(&mut self, hash: u64) {
        self.uses += 1;
        if let Some(entry) = self.entries.get_mut(&hash) {
            self.by_use.remove(&entry.used);
            entry.used = self.uses;
            self.by_use.insert(self.uses, hash);
        }
    }

    fn evict(&mut self, now: Duration) {
        while self.tokens > self.limit {
            let Some((_, hash)) = self.by_use.pop_first() else {
                return;
            };
            if let Some(entry) = self.entries.remove(&hash) {
                self.tokens -= entry.own_tokens;
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
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }
}
