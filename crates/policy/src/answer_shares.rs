//! Shares of servers in the memory for responses that are being read.

use std::collections::HashMap;
use std::hash::Hash;

/// Limit on the bytes of one response body.
pub const MAX_ANSWER_BYTES: u64 = 16 << 20;
/// Bytes of a body that need no share of the memory, so that short responses do not depend on what long
/// ones leave.
pub const FREE_ANSWER_BYTES: u64 = 4 << 10;
/// Largest piece of memory that is added to a body at a time.
const MAX_GROWTH_BYTES: u64 = 64 << 10;
/// Part of the host's memory that buffered bodies may use, and the most that they use of any host.
const BUFFER_FRACTION: u64 = 5;
const MAX_BUFFER_BYTES: u64 = 32 << 20;

/// A response body that is being read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenAnswer<S> {
    /// Server that sends it.
    pub server: S,
    /// Bytes of memory that it uses.
    pub held: u64,
}

/// Bytes that buffered bodies of requests and responses may use together on a host with this memory.
pub fn buffer_bytes(host_bytes: u64) -> u64 {
    (host_bytes / BUFFER_FRACTION).min(MAX_BUFFER_BYTES)
}

/// Part of `buffers` for responses that are being read. The rest is left for requests and slow readers.
pub fn answer_bytes(buffers: u64) -> u64 {
    buffers / 4 * 3
}

/// Bytes by which the memory of a body grows that uses `held` bytes. Its pieces are not copied when it
/// grows, so that nothing is used beside them.
pub fn answer_growth(held: u64) -> u64 {
    held.clamp(FREE_ANSWER_BYTES, MAX_GROWTH_BYTES)
}

/// Index of the body to give up so that there is memory for `more` bytes of the body `asking`.
///
/// It is the largest one of the server whose bodies use most, the newest of those that are as large;
/// `answers` are in the order of their start.
///
/// Load pattern: a server that sends without end, or some of many. Its own responses use up what it
/// takes, and those of other servers are read to their ends.
pub fn answer_to_give_up<S: Eq + Hash>(
    answers: &[OpenAnswer<S>],
    asking: usize,
    more: u64,
) -> usize {
    let held = |index: usize| match index == asking {
        true => answers[index].held + more,
        false => answers[index].held,
    };
    let mut held_by = HashMap::new();
    for (index, answer) in answers.iter().enumerate() {
        *held_by.entry(&answer.server).or_insert(0) += held(index);
    }
    let held_by = |index: usize| held_by[&answers[index].server];
    // Of servers that use as much, the one that asks.
    let rank = |index: usize| {
        (
            held_by(index),
            answers[index].server == answers[asking].server,
        )
    };
    let indexes = 0..answers.len();
    indexes
        .max_by_key(|index| (rank(*index), held(*index)))
        .unwrap_or(asking)
}
