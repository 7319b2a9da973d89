//! Errors of trials.

use quick_error::quick_error;
use std::path::PathBuf;

quick_error! {
    /// A trial that could not be carried out.
    #[derive(Debug)]
    pub enum TrialError {
        /// A file or directory could not be used.
        File(path: PathBuf, err: std::io::Error) {
            display("{}: {err}", path.display())
        }
        /// A shipped binary could not be built.
        Build(reason: Box<str>) {
            display("build the binaries: {reason}")
        }
        /// A process did not do what it should.
        Process(name: Box<str>, step: &'static str, reason: Box<str>) {
            display("{step} {name}: {reason}")
        }
        /// Certificates could not be made.
        Tls(err: runtime::TlsError) {
            display("{err}")
            from()
        }
        /// A stand-in did not do what it should.
        StandIn(step: &'static str, reason: Box<str>) {
            display("{step}: {reason}")
        }
        /// A call got no usable answer.
        Operation(step: &'static str, reason: Box<str>) {
            display("{step}: {reason}")
        }
    }
}
