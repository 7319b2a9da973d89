//! `bergamothold direct`: runs a gateway that reaches backend servers itself.

use crate::process::{ProcessOptions, read_settings, run as run_process};
use adapter::{DEFAULT_MAX_VALUE_BYTES, SETTINGS_PATH_VARIABLE};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use runtime::{Executor, LogFormat, logger};
use slog::Level;
use std::path::PathBuf;
use std::process::ExitCode;

/// Name of the subcommand on the command line.
pub const NAME: &str = "direct";
const MIB: usize = 1 << 20;
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Runs a gateway that reaches backend servers itself, on the users' platform")
        .after_help(
            "Exit codes: 0 after a drain, 1 where it cannot run, 2 where the settings are wrong.",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .env(SETTINGS_PATH_VARIABLE)
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file of the host, as the platform writes it"),
        )
        .arg(
            Arg::new("metrics-port")
                .long("metrics-port")
                .value_name("PORT")
                .value_parser(value_parser!(u16))
                .help("Port for metrics on the host's address; none are shown without it"),
        )
        .arg(
            Arg::new("max-declarations-mib")
                .long("max-declarations-mib")
                .value_name("MIB")
                .value_parser(value_parser!(u16).range(1..))
                .help(format!(
                    "Limit on the size of declarations; larger ones are refused [default: {}]",
                    DEFAULT_MAX_VALUE_BYTES / MIB
                )),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Only reads the settings file and says what is wrong with it"),
        )
}

/// Runs the gateway until it has drained. With `--check`, only validates the settings file.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let Some(path) = matches.get_one::<PathBuf>("settings").cloned() else {
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    };
    let settings = match read_settings(&path) {
        Ok(settings) => settings,
        Err(errors) => {
            eprint!("{errors}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        println!(
            "settings of host {} in {}: no fault",
            settings.name, settings.domain
        );
        return ExitCode::SUCCESS;
    }
    let (log, flushed_at_end) = logger(LogFormat::Json, Level::Info, &settings.name);
    let max_declarations = matches.get_one::<u16>("max-declarations-mib");
    let options = ProcessOptions {
        settings_path: path,
        settings,
        log_losses: flushed_at_end.losses(),
        metrics_port: matches.get_one("metrics-port").copied(),
        max_declarations_bytes: max_declarations
            .map_or(DEFAULT_MAX_VALUE_BYTES, |mib| usize::from(*mib) * MIB),
    };
    match Executor::run(1, |executor| run_process(executor, options, log)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("bergamothold direct: {err}");
            ExitCode::FAILURE
        }
    }
}
