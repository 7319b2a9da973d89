//! Estimates of a prompt's length, and hashes of its leading blocks.

use proto::Tokens;
use xxhash_rust::xxh3::Xxh3;

/// Bytes of one block of a prompt, for prefix hashes.
pub const PREFIX_BLOCK_BYTES: usize = 4096;
const BYTES_PER_TOKEN: u64 = 4;
const MAX_PREFIXES: usize = 8;

/// Estimated tokens of a prompt of that many bytes.
pub fn estimate_tokens(bytes: u64) -> Tokens {
    bytes.div_ceil(BYTES_PER_TOKEN).max(1)
}

/// Hashes of the prompt's leading blocks: entry `n` covers blocks `0..=n`. Whole blocks only.
pub fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut hash = Xxh3::new();
    prompt
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .take(MAX_PREFIXES)
        .map(|block| {
            hash.update(block);
            hash.digest()
        })
        .collect()
}
