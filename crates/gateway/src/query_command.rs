//! `bergamothold query '…'`: runs a query or command through a gateway.

use crate::operator_client::{OperatorCall, OperatorClient, OperatorError, client_args};
use async_io::Timer;
use clap::{Arg, ArgAction, ArgMatches, Command};
use runtime::Executor;
use std::process::ExitCode;
use std::time::Duration;

/// Name of the subcommand.
pub const NAME: &str = "query";
const THREADS: usize = 1;
const WATCH_INTERVAL: Duration = Duration::from_secs(2);
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";
const STATUS_OK: u16 = 200;

/// Defines the subcommand and its flags.
pub fn command() -> Command {
    let switch = |name, help| {
        Arg::new(name)
            .long(name)
            .action(ArgAction::SetTrue)
            .help(help)
    };
    Command::new(NAME)
        .about("Asks what runs where and how it fares, or gives a command")
        .arg(
            Arg::new("statement")
                .required(true)
                .value_name("STATEMENT")
                .help("Such as 'show servers where domain = nitra-c'"),
        )
        .arg(switch("json", "Print JSON"))
        .arg(switch("html", "Print a time line as an HTML page"))
        .arg(switch("watch", "Ask again every two seconds"))
        .arg(
            Arg::new("command-id")
                .long("command-id")
                .value_name("ID")
                .help("Id of a command whose answer was lost, to ask again with one effect"),
        )
        .args(client_args())
}

/// Runs the subcommand; with `--watch`, repeats the query until it fails.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let result = Executor::run(THREADS, |executor| async move {
        let client = OperatorClient::read(matches, &executor)?;
        run_query(&client, matches).await
    });
    match result {
        Ok(code) => code,
        Err(err) => {
            eprintln!("bergamothold: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn run_query(
    client: &OperatorClient,
    matches: &ArgMatches,
) -> Result<ExitCode, OperatorError> {
    let accept = match (matches.get_flag("json"), matches.get_flag("html")) {
        (true, _) => "application/json",
        (_, true) => "text/html",
        _ => "text/plain",
    };
    let call = OperatorCall {
        path: "query",
        accept,
        body: matches
            .get_one::<String>("statement")
            .map_or("", String::as_str),
        command_id: matches.get_one::<String>("command-id").map(String::as_str),
        if_version: None,
    };
    loop {
        let reply = client.call(&call).await?;
        let text = reply.text.trim_end();
        if reply.status != STATUS_OK {
            eprintln!("{text}");
            return Ok(ExitCode::FAILURE);
        }
        if !matches.get_flag("watch") {
            println!("{text}");
            return Ok(ExitCode::SUCCESS);
        }
        println!("{CLEAR_SCREEN}{text}");
        Timer::after(WATCH_INTERVAL).await;
    }
}
