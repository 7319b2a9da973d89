//! `bergamothold serve`: runs a gateway.

use crate::gateway::Gateway;
use crate::settings::{GatewaySettings, gateway_args};
use clap::{ArgMatches, Command};
use node::node_args;
use runtime::Executor;
use std::process::ExitCode;

/// Name of the subcommand.
pub const NAME: &str = "serve";
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Defines the subcommand and its flags.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Runs a gateway, which takes callers' requests")
        .args(node_args())
        .args(gateway_args())
}

/// Runs a gateway until it has drained. Exits with status 2 if a setting is invalid.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let settings = match GatewaySettings::read(matches) {
        Ok(settings) => settings,
        Err(errors) => {
            eprint!("bergamothold: {errors}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    let threads = settings.node.threads;
    match Executor::run(threads, |executor| Gateway::run(executor, settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("bergamothold: {err}");
            ExitCode::FAILURE
        }
    }
}
