//! Measures the memory of a direct gateway under many answers at once, without end or sound.

use clap::{Arg, ArgMatches, Command, value_parser};
use runtime::Executor;
use std::process::ExitCode;
use trials::{EndlessAnswer, run_endless_answers};

const MIB: f64 = (1 << 20) as f64;

fn command() -> Command {
    Command::new("endless-answers")
        .about("Measures the memory of a direct gateway under many answers at once")
        .arg(
            Arg::new("calls")
                .long("calls")
                .default_value("100")
                .value_parser(value_parser!(usize))
                .help("Calls at once"),
        )
        .arg(
            Arg::new("answer")
                .required(true)
                .value_parser([
                    "unframed", "length", "chunks", "error", "head", "stalled", "sound",
                ])
                .help("What the servers answer"),
        )
        .arg(
            Arg::new("bytes")
                .long("bytes")
                .default_value("15728640")
                .value_parser(value_parser!(usize))
                .help("Bytes of an answer that stalls or is sound"),
        )
}

fn answer(matches: &ArgMatches) -> EndlessAnswer {
    let bytes = matches.get_one("bytes").copied().unwrap_or_default();
    let name = matches.get_one::<String>("answer");
    match name.map_or("", |name| name) {
        "length" => EndlessAnswer::HugeLength,
        "chunks" => EndlessAnswer::Chunks,
        "error" => EndlessAnswer::Error,
        "head" => EndlessAnswer::Head,
        "stalled" => EndlessAnswer::Stalled(bytes),
        "sound" => EndlessAnswer::Sound(bytes),
        _ => EndlessAnswer::Unframed,
    }
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let calls = matches.get_one("calls").copied().unwrap_or_default();
    let answer = answer(&matches);
    let run =
        |executor: Executor| async move { run_endless_answers(&executor, answer, calls).await };
    match Executor::run(2, run) {
        Ok(figures) => {
            println!(
                "{answer:?}, {calls} at once: peak {:.1} MiB, {:.1} MiB before",
                figures.peak_bytes as f64 / MIB,
                figures.idle_bytes as f64 / MIB,
            );
            println!(
                "  answers by status: {:?}, refused as too many: {}",
                figures.answers, figures.refused
            );
            println!(
                "  not ready: {:?}, stalls: {:?}",
                figures.not_ready, figures.stalls
            );
            println!("  false promises: {:?}", figures.false_promises);
            let (served, not_served) = (figures.sound, figures.not_served.len());
            println!("  sound answers beside: {served} served, {not_served} not");
            ExitCode::SUCCESS
        }
        Err(err) => {
            println!("not run: {err}");
            ExitCode::FAILURE
        }
    }
}
