//! What the writer of a row counts.

use serde::{Deserialize, Serialize};

/// How far the writer of a row had got when it wrote it. Versions of a store order rows until it comes back from a
/// copy and gives them out again; a writer goes on counting.
///
/// That a number of its start comes before the number of its message is the incarnation number of SWIM (Das,
/// Gupta, Motivala: SWIM, DSN 2002).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WriterCount {
    /// When its process started, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// What the process has written.
    pub sequence: u64,
}
