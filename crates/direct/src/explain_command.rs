//! `bergamothold explain`: shows the log lines of one request from the logs of many processes.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::{Map, Value};
use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

/// Name of the subcommand on the command line.
pub const NAME: &str = "explain";
/// Fields that every line has; they are not repeated in the list of key-value pairs.
const COMMON_FIELDS: [&str; 5] = ["ts", "node", "level", "msg", "req"];

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Shows what the logs of any number of processes say of one request")
        .after_help("Exit codes: 0 where a line has the id, 1 where none has, 2 for a wrong call.")
        .arg(
            Arg::new("id")
                .value_name("ID")
                .required(true)
                .help("The request's id"),
        )
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Logs as JSON lines"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Prints the lines as they are"),
        )
}

/// Prints all log lines of a request in the order of their timestamps.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let id = matches.get_one::<String>("id").map_or("", String::as_str);
    let mut lines = Vec::new();
    for file in matches.get_many::<PathBuf>("files").into_iter().flatten() {
        match fs::read(file) {
            Ok(text) => lines.extend(matching_lines(&String::from_utf8_lossy(&text), id)),
            Err(err) => {
                eprintln!("bergamothold explain: {}: {err}", file.display());
                return ExitCode::FAILURE;
            }
        }
    }
    lines.sort_by(|a, b| timestamp(a).cmp(timestamp(b)));
    for line in &lines {
        if matches.get_flag("json") {
            println!("{}", Value::Object(line.clone()));
        } else {
            println!("{}", format_line(line));
        }
    }
    if lines.is_empty() {
        eprintln!("bergamothold explain: no line has the id {id}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// Parses a log and returns the lines whose `req` field is `id`. Text before the first `{` of a
/// line and lines that are not JSON are ignored.
fn matching_lines(text: &str, id: &str) -> Vec<Map<String, Value>> {
    let lines = text
        .lines()
        .filter_map(|line| line.find('{').map(|start| &line[start..]));
    let lines = lines.filter_map(|line| serde_json::from_str::<Map<String, Value>>(line).ok());
    lines
        .filter(|line| line.get("req").and_then(Value::as_str) == Some(id))
        .collect()
}

fn timestamp(line: &Map<String, Value>) -> &str {
    line.get("ts").and_then(Value::as_str).unwrap_or_default()
}

fn format_line(line: &Map<String, Value>) -> String {
    let text = |name: &str| line.get(name).and_then(Value::as_str).unwrap_or_default();
    let mut shown = format!("{} {} {}", text("ts"), text("node"), text("msg"));
    for (name, value) in line
        .iter()
        .filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()))
    {
        match value {
            Value::String(text) if text.is_empty() => {}
            Value::String(text) => shown.push_str(&format!("  {name}={text}")),
            Value::Null => {}
            value => shown.push_str(&format!("  {name}={value}")),
        }
    }
    shown
}
