//! Limits on what a gateway holds of responses for callers that read slowly.

use std::time::Duration;

/// Limit on the bytes that wait for the caller of one stream. It covers the longest usual answers, so
/// that an engine is not held up by a caller that stops reading for some seconds.
pub const MAX_HELD_BYTES: u64 = 256 << 10;
/// Bytes that a stream may hold without a share of the memory of all streams. Callers that read all
/// events at once hold less, and must not depend on what others leave.
pub const FREE_HELD_BYTES: u64 = 16 << 10;
/// Callers that read within this time differ only by what is held for them.
const MIN_IDLE: Duration = Duration::from_millis(100);

/// What is held for the caller of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlowReader {
    /// Bytes that wait for the caller.
    pub held: u64,
    /// Time since the caller last read any of them.
    pub idle: Duration,
}

/// Whether a stream that holds `held` bytes for its caller may read on and hold `more`. One that holds
/// nothing always may.
pub fn may_hold(held: u64, more: u64) -> bool {
    held == 0 || held + more <= MAX_HELD_BYTES
}

/// Whether holding `more` bytes takes memory of that which all streams share.
pub fn needs_shared_memory(held: u64, more: u64) -> bool {
    held > 0 && held + more > FREE_HELD_BYTES
}

/// Index of the stream to end when the memory of all streams is used up: the one that holds most and
/// reads least. `None` if no stream uses that memory.
///
/// Load pattern: many callers that stop reading, such as those behind a lost link. Without this choice
/// they would hold the memory until their time limits, and the streams of callers that read would
/// have to wait.
pub fn reader_to_end(readers: &[SlowReader]) -> Option<usize> {
    let byte_seconds =
        |reader: &SlowReader| u128::from(reader.held) * reader.idle.max(MIN_IDLE).as_millis();
    let readers = readers.iter().enumerate();
    let readers = readers.filter(|(_, reader)| reader.held > FREE_HELD_BYTES);
    let slowest = readers.max_by_key(|(_, reader)| byte_seconds(reader));
    slowest.map(|(index, _)| index)
}
