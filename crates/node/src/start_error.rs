//! Errors at the start of a process.

use crate::node_settings::NodeSettings;
use quick_error::quick_error;
use runtime::{Identity, LinkError, Role, TlsError};
use std::net::SocketAddr;
use std::path::PathBuf;

quick_error! {
    /// The reason why a process could not start.
    #[derive(Debug)]
    pub enum StartError {
        /// A listen address could not be bound.
        Bind(address: SocketAddr, err: std::io::Error) {
            display("bind {address}: {err}; does another process use this address?")
        }
        /// The trace file could not be created.
        TraceFile(path: PathBuf, err: std::io::Error) {
            display("create trace file {}: {err}", path.display())
        }
        /// The certificates or keys cannot be used.
        Tls(err: TlsError) {
            display("{err}")
            from()
        }
        /// The link endpoint could not be set up.
        Link(err: LinkError) {
            display("{err}")
            from()
        }
        /// The certificate names another process or role.
        Subject(expected: Box<str>, found: Box<str>) {
            display("the certificate names {found}, expected {expected}")
        }
        /// A metric could not be registered.
        Metrics(err: prometheus::Error) {
            display("register metrics: {err}")
            from()
        }
        /// Signal handlers could not be installed.
        Signals(err: std::io::Error) {
            display("install signal handlers: {err}")
        }
    }
}

/// Loads the identity of a process. Its certificate must name the process and its role.
pub fn load_identity(settings: &NodeSettings, role: Role) -> Result<Identity, StartError> {
    let identity = Identity::load(&settings.tls)?;
    let subject = identity.subject()?;
    if subject.role == role && subject.node == settings.node {
        return Ok(identity);
    }
    let expected = format!("{role} {}", settings.node);
    let found = format!("{} {}", subject.role, subject.node);
    Err(StartError::Subject(expected.into(), found.into()))
}
