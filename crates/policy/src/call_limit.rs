//! How many calls a gateway handles at once, by the memory of its host.

use crate::answer_shares::buffer_bytes;

/// What a call takes beside the memory for bodies: two connections with the buffers of the HTTP library, and
/// its tasks.
const CALL_BYTES: u64 = 56 << 10;
/// What the process takes without calls, declarations of some MB included.
const IDLE_BYTES: u64 = 32 << 20;
/// Calls at once on a host that is too small for this.
const MIN_CALLS: u64 = 64;
/// Calls of one service for each further call that there is room for.
const MAX_PART_OF_ROOM: usize = 3;

/// Limit on the calls at once of a gateway whose host has this memory, a tenth of which stays free.
pub fn max_calls(host_bytes: u64) -> usize {
    let usable = host_bytes / 10 * 9;
    let left = usable.saturating_sub(IDLE_BYTES + buffer_bytes(host_bytes));
    (left / CALL_BYTES).max(MIN_CALLS) as usize
}

/// Calls that a gateway handles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenCallCounts {
    /// All of them.
    pub all: usize,
    /// Those of the service of a further call.
    pub of_service: usize,
}

/// Whether a gateway takes a further call. Otherwise it is refused before its body is read.
///
/// The calls of one service may be three times as many as there is room for further ones, so that it never has
/// more than three quarters of the room.
///
/// Load pattern: a service whose servers answer late or never, and that gets more calls than the host has
/// memory for. Calls of other services are taken.
pub fn takes_call(open: OpenCallCounts, host_bytes: u64) -> bool {
    let room = max_calls(host_bytes).saturating_sub(open.all);
    open.of_service < room * MAX_PART_OF_ROOM
}
