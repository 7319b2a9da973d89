//! What comes of one read of a response stream.

use crate::run_end::RunEnd;
use bytes::Bytes;

/// Reason of an attempt or stream that is given up because its engine is lost.
pub const ENGINE_LOST: &str =
    "the engine does not respond, and memory is reserved for it elsewhere";

/// Next item of a stream.
#[derive(Debug)]
pub enum StreamItem {
    /// One or more complete events.
    Events(Bytes),
    /// The server ended the stream.
    End,
    /// The connection failed or the data is not a valid stream of events, with the reason.
    Broken(Box<str>),
    /// No event arrived within the allowed silence.
    Silent,
}

impl StreamItem {
    /// What it says of the end of the run.
    pub fn run_end(&self) -> Option<RunEnd> {
        match self {
            Self::Events(_) => None,
            Self::End => Some(RunEnd::Answered),
            Self::Broken(reason) if &**reason == ENGINE_LOST => Some(RunEnd::Lost),
            Self::Broken(_) => Some(RunEnd::Failed),
            Self::Silent => Some(RunEnd::Silent),
        }
    }

    /// Name for logs.
    pub fn outcome(&self) -> &str {
        match self {
            Self::Events(_) => "events",
            Self::End => "end",
            Self::Broken(reason) => reason,
            Self::Silent => "silent for too long",
        }
    }
}
