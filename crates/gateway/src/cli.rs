//! The command line of `bergamothold`, and the dispatch to its subcommands.

use crate::{apply_command, check_command, keys_command, query_command, serve_command};
use clap::Command;
use std::process::ExitCode;

/// Defines the command line of `bergamothold`, with all subcommands.
pub fn command() -> Command {
    Command::new("bergamothold")
        .about("Serving layer for language models, for prompts of very unlike lengths")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help("Each flag can also be set by BERGAMOTHOLD_<FLAG>, as in BERGAMOTHOLD_LISTEN.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve_command::command())
        .subcommand(direct::command())
        .subcommand(direct::explain_command::command())
        .subcommand(keys_command::command())
        .subcommand(check_command::command())
        .subcommand(apply_command::command())
        .subcommand(query_command::command())
}

/// Parses the arguments of the process and runs the subcommand.
pub fn main() -> ExitCode {
    match command().get_matches().subcommand() {
        Some((serve_command::NAME, matches)) => serve_command::run(matches),
        Some((direct::NAME, matches)) => direct::run(matches),
        Some((direct::explain_command::NAME, matches)) => direct::explain_command::run(matches),
        Some((keys_command::NAME, matches)) => keys_command::run(matches),
        Some((check_command::NAME, matches)) => check_command::run(matches),
        Some((apply_command::NAME, matches)) => apply_command::run(matches),
        Some((query_command::NAME, matches)) => query_command::run(matches),
        _ => ExitCode::FAILURE,
    }
}
