//! Backend servers that are likely to hold the start of a prompt in their prefix cache.

use crate::candidates::Candidate;
use crate::estimate::PREFIX_BLOCK_BYTES;
use proto::prelude::*;
use std::collections::HashMap;

const MAX_PREFIXES_PER_GENERATION: usize = 16_384;
const TOKENS_PER_BLOCK: Tokens = PREFIX_BLOCK_BYTES as Tokens / 4;

/// Weight of a server for a key in rendezvous hashing (Thaler and Ravishankar, 1998).
pub fn rendezvous_weight(key: u64, server: u64) -> u64 {
    mix(key ^ mix(server))
}

/// Bit mixer of SplitMix64 (Steele, Lea and Flood, 2014).
pub fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Positions of the two servers of a group with the highest rendezvous weight for a key, best
/// first.
pub fn top_two(key: u64, group: &[Candidate]) -> [Option<usize>; 2] {
    let mut best: [Option<(u64, usize)>; 2] = [None; 2];
    for (position, candidate) in group.iter().enumerate() {
        let entry = Some((rendezvous_weight(key, candidate.hash), position));
        if entry > best[0] {
            best = [entry, best[0]];
        } else if entry > best[1] {
            best[1] = entry;
        }
    }
    best.map(|entry| entry.map(|(_, position)| position))
}

/// Estimated number of tokens in the first `blocks` blocks of a prompt.
pub fn prefix_tokens(blocks: usize) -> Tokens {
    blocks as Tokens * TOKENS_PER_BLOCK
}

/// Servers where prefixes were last placed, as a hint. When the recent generation is full, it
/// replaces the old one, which bounds the memory.
#[derive(Debug, Default)]
pub struct PrefixTable {
    recent: HashMap<u64, usize>,
    old: HashMap<u64, usize>,
}

impl PrefixTable {
    /// Records that a server holds, or is about to hold, a prefix.
    pub fn insert(&mut self, prefix: u64, server: usize) {
        if self.recent.len() >= MAX_PREFIXES_PER_GENERATION {
            self.old = std::mem::take(&mut self.recent);
        }
        self.recent.insert(prefix, server);
    }

    /// Records that a server dropped a prefix.
    pub fn remove(&mut self, prefix: u64, server: usize) {
        for generation in [&mut self.recent, &mut self.old] {
            if generation.get(&prefix) == Some(&server) {
                generation.remove(&prefix);
            }
        }
    }

    /// The server that holds the longest of the prefixes, and the number of tokens in that prefix.
    pub fn longest_match(&self, prefixes: &[u64]) -> Option<(usize, Tokens)> {
        (0..prefixes.len()).rev().find_map(|last| {
            let hash = &prefixes[last];
            let server = self.recent.get(hash).or_else(|| self.old.get(hash))?;
            Some((*server, prefix_tokens(last + 1)))
        })
    }

    /// Removes all entries; needed when the indices of servers change.
    pub fn clear(&mut self) {
        self.recent.clear();
        self.old.clear();
    }
}
