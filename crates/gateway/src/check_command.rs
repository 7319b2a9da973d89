//! `bergamothold check FILE`: validates a file of declarations without network access.

use clap::{Arg, ArgMatches, Command};
use declarations::Document;
use std::fs;
use std::process::ExitCode;

/// Name of the subcommand.
pub const NAME: &str = "check";

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Validates declarations and prints each fault with its line and column")
        .arg(
            Arg::new("file")
                .required(true)
                .value_name("FILE")
                .help("Declarations, TOML"),
        )
}

/// Runs the subcommand: prints the number of declared items, or the errors in the file.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let path = matches.get_one::<String>("file").map_or("", String::as_str);
    match read_declarations(path) {
        Ok((_, document)) => {
            let declared = document.declared;
            println!(
                "{path}: {} domains, {} servers, {} models, {} teams; no fault",
                declared.domains.len(),
                declared.servers.len(),
                declared.models.len(),
                declared.teams.len()
            );
            ExitCode::SUCCESS
        }
        Err(errors) => {
            eprint!("{errors}");
            ExitCode::FAILURE
        }
    }
}

/// Reads and parses a file of declarations. Returns its text and content, or its errors, one per
/// line, each prefixed with the file name, line and column.
pub fn read_declarations(path: &str) -> Result<(String, Document), String> {
    let text = fs::read_to_string(path).map_err(|err| format!("{path}: {err}\n"))?;
    match Document::parse(&text) {
        Ok(document) => Ok((text, document)),
        Err(errors) => {
            let lines = errors
                .0
                .iter()
                .map(|error| format!("{path}:{}:{}: {}\n", error.line, error.column, error.reason));
            Err(lines.collect())
        }
    }
}
