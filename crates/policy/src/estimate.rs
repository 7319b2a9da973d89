//! Estimates of prompt lengths, and hashes of prompt prefixes.

use proto::Tokens;
use xxhash_rust::xxh3::Xxh3;

/// Size of the blocks of a prompt that are hashed together.
pub const PREFIX_BLOCK_BYTES: usize = 4096;
const BYTES_PER_TOKEN: u64 = 4;
const MAX_PREFIX_BLOCKS: usize = 8;

/// Estimated number of tokens in a prompt of `bytes`.
pub fn estimate_tokens(bytes: u64) -> Tokens {
    bytes.div_ceil(BYTES_PER_TOKEN).max(1)
}

/// Hashes of the prompt's leading blocks: entry `n` covers blocks `0..=n`. An incomplete block at
/// the end is left out.
pub fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut hash = Xxh3::new();
    prompt
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .take(MAX_PREFIX_BLOCKS)
        .map(|block| {
            hash.update(block);
            hash.digest()
        })
        .collect()
}
