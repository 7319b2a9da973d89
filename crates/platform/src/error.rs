//! Errors of the platform, with the step and the peer.

use quick_error::quick_error;
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

/// What was asked of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformOperation {
    /// Reading rows.
    Read,
    /// Scanning rows.
    Scan,
    /// Committing a transaction.
    Commit,
    /// Reading an object.
    GetObject,
    /// Writing an object.
    PutObject,
    /// Reading the host list.
    Hosts,
}

impl Display for PlatformOperation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Read => "read rows",
            Self::Scan => "scan rows",
            Self::Commit => "commit",
            Self::GetObject => "get object",
            Self::PutObject => "put object",
            Self::Hosts => "read host list",
        })
    }
}

quick_error! {
    /// The platform did not do what was asked.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlatformError {
        /// Nothing changed.
        Unavailable(step: PlatformOperation, peer: SocketAddr, reason: Box<str>) {
            display("{step} at {peer}: {reason}")
        }
        /// The change may have taken effect.
        OutcomeUnknown(step: PlatformOperation, peer: SocketAddr, reason: Box<str>) {
            display("{step} at {peer}: {reason}; it may have taken effect")
        }
        /// The answer makes no sense.
        Malformed(step: PlatformOperation, peer: SocketAddr, reason: Box<str>) {
            display("{step} at {peer}: malformed answer: {reason}")
        }
    }
}
