//! Replays the given traces and prints their outcomes. Fails on a violated invariant or an unmet
//! expectation.

use replay::{Trace, TraceEnd, replay};
use std::process::ExitCode;
use std::{env, fs};

fn main() -> ExitCode {
    let mut failed = false;
    for path in env::args().skip(1) {
        let text = fs::read_to_string(&path).unwrap_or_default();
        let trace = match Trace::parse(&text) {
            Ok(trace) => trace,
            Err(err) => {
                eprintln!("{path}: {err}");
                return ExitCode::FAILURE;
            }
        };
        let report = replay(&trace);
        let count = |end| report.outcomes.count(end);
        println!(
            "{path}: finished {}, not run {}, may have run {}, open {}, otherwise than recorded {}",
            count(TraceEnd::Finished),
            count(TraceEnd::NotRun),
            count(TraceEnd::MayHaveRun),
            report.outcomes.unfinished.len(),
            report.changed_outcomes,
        );
        for line in report.violations.iter().chain(&report.unmet_expectations) {
            println!("{path}: {line}");
            failed = true;
        }
    }
    if failed {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
