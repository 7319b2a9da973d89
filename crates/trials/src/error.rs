//! The error type of this crate.

use quick_error::quick_error;
use std::path::PathBuf;

quick_error! {
    /// The reason why a trial could not be carried out.
    #[derive(Debug)]
    pub enum TrialError {
        /// A file or directory could not be read, written or created.
        File(path: PathBuf, err: std::io::Error) {
            display("{}: {err}", path.display())
        }
        /// A shipped binary could not be built.
        Build(reason: Box<str>) {
            display("build the binaries: {reason}")
        }
        /// A process failed to start, become ready or reply; named with the failed step.
        Process(name: Box<str>, step: &'static str, reason: Box<str>) {
            display("{step} {name}: {reason}")
        }
        /// A certificate could not be issued or loaded.
        Tls(err: runtime::TlsError) {
            display("{err}")
            from()
        }
        /// A stand-in for the platform or a backend failed in the given step.
        StandIn(step: &'static str, reason: Box<str>) {
            display("{step}: {reason}")
        }
        /// A connection or request failed, or its reply was unusable, in the given step.
        Operation(step: &'static str, reason: Box<str>) {
            display("{step}: {reason}")
        }
    }
}
