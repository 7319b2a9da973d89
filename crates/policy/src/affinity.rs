//! Which backend server is likely to hold the beginning of a prompt.

use crate::candidates::Candidate;
use crate::estimate::PREFIX_BLOCK_BYTES;
use proto::prelude::*;
use std::collections::HashMap;

const MOST_PREFIXES: usize = 16_384;
const TOKENS_OF_BLOCK: Tokens = PREFIX_BLOCK_BYTES as Tokens / 4;

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

/// The two servers of a group that rendezvous hashing gives for a key, best first.
pub fn two_homes(key: u64, group: &[Candidate]) -> [Option<usize>; 2] {
    let mut best: [Option<(u64, usize)>; 2] = [None; 2];
    for (place, candidate) in group.iter().enumerate() {
        let entry = Some((rendezvous_weight(key, candidate.hash), place));
        if entry > best[0] {
            best = [entry, best[0]];
        } else if entry > best[1] {
            best[1] = entry;
        }
    }
    best.map(|entry| entry.map(|(_, place)| place))
}

/// Tokens of that many leading blocks.
pub fn prefix_tokens(blocks: usize) -> Tokens {
    blocks as Tokens * TOKENS_OF_BLOCK
}

/// Where prefixes were last put, as a hint. Two generations bound its memory.
#[derive(Debug, Default)]
pub struct PrefixTable {
    young: HashMap<u64, usize>,
    old: HashMap<u64, usize>,
}

impl PrefixTable {
    /// Notes that a server holds, or is about to hold, a prefix.
    pub fn put(&mut self, prefix: u64, server: usize) {
        if self.young.len() >= MOST_PREFIXES {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(prefix, server);
    }

    /// Notes that a server dropped a prefix.
    pub fn drop_from(&mut self, prefix: u64, server: usize) {
        for generation in [&mut self.young, &mut self.old] {
            if generation.get(&prefix) == Some(&server) {
                generation.remove(&prefix);
            }
        }
    }

    /// The server that holds the longest of the prefixes, and how many tokens.
    pub fn longest(&self, prefixes: &[u64]) -> Option<(usize, Tokens)> {
        (0..prefixes.len()).rev().find_map(|last| {
            let hash = &prefixes[last];
            let server = self.young.get(hash).or_else(|| self.old.get(hash))?;
            Some((*server, prefix_tokens(last + 1)))
        })
    }

    /// Forgets everything, as when servers are numbered anew.
    pub fn clear(&mut self) {
        self.young.clear();
        self.old.clear();
    }
}
