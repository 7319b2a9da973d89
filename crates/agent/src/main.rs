//! The agent: a process beside each backend server.

use std::process::ExitCode;

fn main() -> ExitCode {
    agent::main()
}
