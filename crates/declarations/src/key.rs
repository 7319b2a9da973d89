//! Hashes of team and operator keys. The declarations never contain the keys themselves.

use ring::digest::{SHA256, digest};
use std::fmt::Write;

const HASH_PREFIX: &str = "sha256:";

/// Returns the hash of a key as `sha256:` followed by 64 lower-case hexadecimal digits.
///
/// The hash has no salt, so keys must be generated at random.
pub fn hash_key(key: &str) -> Box<str> {
    let mut text = String::from(HASH_PREFIX);
    for byte in digest(&SHA256, key.as_bytes()).as_ref() {
        let _ = write!(text, "{byte:02x}");
    }
    text.into()
}

/// Whether the hash of `key` is among `hashes`.
pub fn matches_key(key: &str, hashes: &[Box<str>]) -> bool {
    let hash = hash_key(key);
    hashes.contains(&hash)
}
