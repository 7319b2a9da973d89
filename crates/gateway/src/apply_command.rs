//! `bergamothold apply FILE`: shows what a file of declarations would change, commits it, and waits
//! until the new version is active on all nodes.

use crate::check_command;
use crate::operator_client::{
    OperatorCall, OperatorClient, OperatorError, client_args, flag_value,
};
use crate::operator_response::OperatorResponse;
use async_io::Timer;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use node::{flag, run_command};
use platform::{HttpPlatform, PlatformConfig};
use policy::{CommandOutcome, CommandRequest, ConfigCommand};
use runtime::{Executor, HttpClient};
use serde::Deserialize;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Name of the subcommand.
pub const NAME: &str = "apply";
const THREADS: usize = 1;
const MAX_TRIES: u32 = 5;
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
const CONFIRM_POLL_INTERVAL: Duration = Duration::from_millis(250);
const TABLE_CALL_TIMEOUT: Duration = Duration::from_secs(10);
const STATUS_OK: u16 = 200;
const STATUS_UNAVAILABLE: u16 = 503;
const STATUS_GATEWAY_TIMEOUT: u16 = 504;

#[derive(Deserialize)]
struct DryRunReply {
    version: u64,
    change: String,
}

#[derive(Deserialize)]
struct CommitReply {
    version: u64,
}

#[derive(Deserialize)]
struct HostsReply {
    rows: Vec<HostRow>,
}

#[derive(Deserialize)]
struct HostRow {
    node: String,
    state: String,
    version: Option<u64>,
}

/// Defines the subcommand and its flags.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Shows what a file would change, commits it, and waits until it is in force")
        .arg(
            Arg::new("file")
                .required(true)
                .value_name("FILE")
                .help("Declarations, TOML"),
        )
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .action(ArgAction::SetTrue)
                .help("Only show what would change"),
        )
        .arg(
            Arg::new("wait-seconds")
                .long("wait-seconds")
                .value_name("N")
                .default_value("10")
                .value_parser(value_parser!(u64))
                .help("Longest wait until it is in force everywhere"),
        )
        .args(client_args())
        .arg(flag(
            "table",
            "IP:PORT",
            "Table service, for the very first declarations: commits without a gateway",
        ))
}

/// Runs the subcommand. Fails if the file has errors, the commit fails, or not all nodes confirm
/// the version in time.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let path = matches.get_one::<String>("file").map_or("", String::as_str);
    let (file, document) = match check_command::read_declarations(path) {
        Ok(read) => read,
        Err(errors) => {
            eprint!("{errors}");
            return ExitCode::FAILURE;
        }
    };
    let result = Executor::run(THREADS, |executor| async move {
        if matches.contains_id("table") {
            return apply_first(matches, &executor, document.declared.sorted()).await;
        }
        let client = OperatorClient::read(matches, &executor)?;
        apply(&client, matches, &file).await
    });
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("bergamothold: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Commits the first declarations of a deployment directly to the table service, because gateways
/// know no operator key before there is a configuration.
async fn apply_first(
    matches: &ArgMatches,
    executor: &Executor,
    declared: declarations::Declarations,
) -> Result<bool, OperatorError> {
    let table = flag_value(matches, "table")?;
    let table: SocketAddr = table
        .parse()
        .map_err(|err| OperatorError::Flag("table", format!("{table}: {err}").into()))?;
    let cfg = PlatformConfig {
        table,
        objects: table,
        hosts: table,
        call_timeout: TABLE_CALL_TIMEOUT,
    };
    let platform = HttpPlatform::new(cfg, HttpClient::new(executor.clone()));
    let request = CommandRequest {
        id: random_command_id(),
        operator: "first apply".into(),
        text: "apply".into(),
        command: ConfigCommand::Replace(Box::new(declared)),
        if_version: Some(0),
        known_version: 0,
    };
    let outcome = run_command(&platform, request).await;
    let response = OperatorResponse::from_outcome(outcome.clone(), "first");
    print!("{response}");
    Ok(matches!(outcome, CommandOutcome::Committed { .. }))
}

async fn apply(
    client: &OperatorClient,
    matches: &ArgMatches,
    file: &str,
) -> Result<bool, OperatorError> {
    let mut call = OperatorCall {
        path: "apply?dry-run",
        accept: "application/json",
        body: file,
        ..OperatorCall::default()
    };
    let reply = client.call(&call).await?;
    let Some(planned) = parse_reply::<DryRunReply>(reply.status, &reply.text) else {
        return Ok(false);
    };
    if planned.change.is_empty() {
        println!("no change from version {}", planned.version);
        return Ok(true);
    }
    print!(
        "changes from version {}:\n{}",
        planned.version, planned.change
    );
    if matches.get_flag("dry-run") {
        return Ok(true);
    }
    let id = random_command_id();
    call.path = "apply";
    call.command_id = Some(&id);
    call.if_version = Some(planned.version);
    let Some(version) = commit_with_retries(client, &call).await? else {
        return Ok(false);
    };
    println!("version {version} committed");
    let seconds = matches
        .get_one::<u64>("wait-seconds")
        .copied()
        .unwrap_or_default();
    wait_until_active(client, version, Duration::from_secs(seconds)).await
}

/// Commits the file. If a call fails or its outcome is unknown, retries with the same command id,
/// so that the command takes effect at most once.
async fn commit_with_retries(
    client: &OperatorClient,
    call: &OperatorCall<'_>,
) -> Result<Option<u64>, OperatorError> {
    let mut tries = 0;
    loop {
        tries += 1;
        match client.call(call).await {
            Ok(reply)
                if matches!(reply.status, STATUS_UNAVAILABLE | STATUS_GATEWAY_TIMEOUT)
                    && tries < MAX_TRIES => {}
            Ok(reply) => {
                let committed = parse_reply::<CommitReply>(reply.status, &reply.text);
                return Ok(committed.map(|committed| committed.version));
            }
            Err(err) if tries >= MAX_TRIES => {
                let id = call.command_id.unwrap_or_default();
                eprintln!("the command may have taken effect; its id is {id}");
                return Err(err);
            }
            Err(_) => {}
        }
        Timer::after(RETRY_INTERVAL).await;
    }
}

/// Waits until every node reports the version as active; after `wait_limit`, prints the nodes that
/// have not.
async fn wait_until_active(
    client: &OperatorClient,
    version: u64,
    wait_limit: Duration,
) -> Result<bool, OperatorError> {
    let start = Instant::now();
    let call = OperatorCall {
        path: "query",
        accept: "application/json",
        body: "show hosts",
        ..OperatorCall::default()
    };
    loop {
        let reply = client.call(&call).await?;
        let Some(hosts) = parse_reply::<HostsReply>(reply.status, &reply.text) else {
            return Ok(false);
        };
        let (confirmed, unconfirmed): (Vec<_>, Vec<_>) = hosts
            .rows
            .into_iter()
            .partition(|host| host.version.is_some_and(|found| found >= version));
        if unconfirmed.is_empty() {
            let seconds = start.elapsed().as_secs_f64();
            println!(
                "in force at all {} nodes after {seconds:.1} s",
                confirmed.len()
            );
            return Ok(true);
        }
        if start.elapsed() >= wait_limit {
            println!("in force at {} nodes; not confirmed by:", confirmed.len());
            for host in unconfirmed {
                let found = host.version.map_or("-".into(), |found| found.to_string());
                println!("  {} ({}, version {found})", host.node, host.state);
            }
            return Ok(false);
        }
        Timer::after(CONFIRM_POLL_INTERVAL).await;
    }
}

/// Parses a successful reply; prints any other to stderr and returns `None`.
fn parse_reply<T: for<'de> Deserialize<'de>>(status: u16, text: &str) -> Option<T> {
    let found = (status == STATUS_OK).then(|| serde_json::from_str(text).ok());
    if found.is_none() {
        eprintln!("{}", text.trim_end());
    }
    found.flatten()
}

fn random_command_id() -> Box<str> {
    format!("{:032x}", rand::random::<u128>()).into()
}
