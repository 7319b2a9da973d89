//! Command line and entry point of the agent.

use crate::agent::Agent;
use crate::settings::{AgentSettings, agent_args};
use clap::Command;
use node::node_args;
use runtime::Executor;
use std::process::ExitCode;

const EXIT_INVALID_SETTINGS: u8 = 2;

/// Creates the command line parser of the agent.
pub fn command() -> Command {
    Command::new("bergamothold-agent")
        .about("Stands beside one backend server and decides what it runs")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help("Each flag can also be set by BERGAMOTHOLD_<FLAG>, as in BERGAMOTHOLD_LISTEN.")
        .args(node_args())
        .args(agent_args())
}

/// Runs the agent with the settings of the command line. The exit code is 2 if they are invalid,
/// and 1 if the agent cannot start.
pub fn main() -> ExitCode {
    let settings = match AgentSettings::read(&command().get_matches()) {
        Ok(settings) => settings,
        Err(errors) => {
            eprint!("bergamothold-agent: {errors}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    let threads = settings.node.threads;
    match Executor::run(threads, |executor| Agent::run(executor, settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("bergamothold-agent: {err}");
            ExitCode::FAILURE
        }
    }
}
