//! What a gateway says of its readiness while it drains.

use std::time::Duration;

/// The platform asks each second, and takes a gateway out after two questions without a success. It has to be
/// out 4 s after SIGTERM.
const UNREADY_BOUND: Duration = Duration::from_secs(2);

/// Answer to a question whether a gateway that got SIGTERM is ready.
#[derive(Debug, Clone, Copy)]
pub struct DrainAnswer {
    /// Time from the signal to the question.
    pub after: Duration,
    /// Whether the gateway said that it is ready.
    pub is_ready: bool,
}

/// Describes how long a gateway that drains says that it is ready, where that is too long.
pub fn ready_in_drain(answers: &[DrainAnswer]) -> Option<String> {
    let late = answers
        .iter()
        .filter(|answer| answer.is_ready && answer.after > UNREADY_BOUND);
    let last = late.map(|answer| answer.after).max()?;
    Some(format!("DRAIN: it is ready {last:?} after SIGTERM"))
}
