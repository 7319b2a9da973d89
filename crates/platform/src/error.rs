//! Errors of calls to the platform. Each names the operation that failed and the peer.

use quick_error::quick_error;
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

/// An operation that the platform was asked to perform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformOperation {
    /// Read rows by key.
    Read,
    /// Scan rows by key prefix.
    Scan,
    /// Commit a transaction.
    Commit,
    /// Read an object.
    GetObject,
    /// Write an object.
    PutObject,
    /// Read the host list.
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
    /// A call to the platform failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlatformError {
        /// The platform did not execute the call; nothing changed.
        Unavailable(operation: PlatformOperation, peer: SocketAddr, reason: Box<str>) {
            display("{operation} at {peer}: {reason}")
        }
        /// The call failed after it may have reached the platform; a change may have taken effect.
        OutcomeUnknown(operation: PlatformOperation, peer: SocketAddr, reason: Box<str>) {
            display("{operation} at {peer}: {reason}; it may have taken effect")
        }
        /// The response cannot be decoded; a change may have taken effect.
        Malformed(operation: PlatformOperation, peer: SocketAddr, reason: Box<str>) {
            display("{operation} at {peer}: malformed response: {reason}")
        }
    }
}
