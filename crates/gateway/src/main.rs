//! The gateway of bergamothold and its operator commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    gateway::main()
}
