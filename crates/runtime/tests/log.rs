//! Log lines that are logged faster than they are written: which are lost, and what is told of it.

use runtime::{KEPT_LINE, LogFormat, logger};
use serde_json::Value;
use slog::{Level, info};
use std::env;
use std::io::{BufRead, BufReader, Read};
use std::process::{Command, Stdio};

const LINES_VARIABLE: &str = "LOG_TEST_LINES";
const ROUTINE: &str = "routine";
const REFUSAL: &str = "call: turned away";
const LOST: &str = "log: lines lost";
const ALL_LOGGED: &str = "all logged";

/// What a process logs before any of it is read.
#[derive(Debug, Clone, Copy)]
struct Burst {
    routine: usize,
    refusals: usize,
}

/// What can be read of it then.
#[derive(Debug, Default)]
struct Seen {
    routine: usize,
    refusals: usize,
    /// Lines that are said to be lost.
    lost: usize,
}

/// Body of the child process that [`log_in_child`] starts; no test by itself.
#[test]
fn child() {
    let Ok(lines) = env::var(LINES_VARIABLE) else {
        return;
    };
    let numbers: Vec<usize> = lines.split(' ').map(|text| text.parse().unwrap()).collect();
    let (log, guard) = logger(LogFormat::Json, Level::Info, "node-1");
    for n in 0..numbers[0] {
        info!(log, "routine"; "n" => n, "path" => "/a/path/of/usual/length");
    }
    for n in 0..numbers[1] {
        info!(log, #KEPT_LINE, "call: turned away"; "n" => n, "path" => "/a/path/of/usual/length");
    }
    eprintln!("{ALL_LOGGED}");
    drop(guard);
}

/// Logs in a process of its own, whose output is read only when all is logged.
fn log_in_child(burst: Burst) -> Seen {
    let mut child = Command::new(env::current_exe().unwrap())
        .args(["--exact", "child", "--nocapture"])
        .env(
            LINES_VARIABLE,
            format!("{} {}", burst.routine, burst.refusals),
        )
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let stderr = BufReader::new(child.stderr.take().unwrap());
    let mut lines = stderr.lines().map(Result::unwrap);
    assert!(lines.any(|line| line.contains(ALL_LOGGED)), "{burst:?}");
    let mut output = String::new();
    let mut stdout = child.stdout.take().unwrap();
    stdout.read_to_string(&mut output).unwrap();
    assert!(child.wait().unwrap().success(), "{burst:?}");
    let mut seen = Seen::default();
    // The test runner prints other lines.
    for line in output.lines().filter(|line| line.starts_with('{')) {
        let line: Value = serde_json::from_str(line).unwrap();
        match line["msg"].as_str().unwrap_or_default() {
            ROUTINE => seen.routine += 1,
            REFUSAL => seen.refusals += 1,
            text if text.starts_with(LOST) => seen.lost += line["lines"].as_u64().unwrap() as usize,
            _ => {}
        }
    }
    seen
}

#[test]
fn a_burst_of_refusals_is_written_in_full() {
    let burst = Burst {
        routine: 5_000,
        refusals: 20_000,
    };
    let seen = log_in_child(burst);
    assert_eq!(seen.refusals, burst.refusals, "{seen:?}");
    assert_eq!(seen.routine, burst.routine, "{seen:?}");
    assert_eq!(seen.lost, 0);
}

#[test]
fn refusals_are_kept_where_routine_lines_are_lost() {
    let burst = Burst {
        routine: 60_000,
        refusals: 10_000,
    };
    let seen = log_in_child(burst);
    assert_eq!(seen.refusals, burst.refusals, "{seen:?}");
    assert!(seen.lost > 0, "{seen:?}");
    assert_eq!(seen.routine + seen.lost, burst.routine, "{seen:?}");
}

#[test]
fn lost_lines_are_counted() {
    let burst = Burst {
        routine: 0,
        refusals: 120_000,
    };
    let seen = log_in_child(burst);
    assert!(seen.lost > 0, "{seen:?}");
    assert_eq!(seen.refusals + seen.lost, burst.refusals, "{seen:?}");
}
