//! Measures costs by size and prints the tables of docs/CAPACITY.md.

use clap::{Arg, ArgAction, Command, value_parser};
use runtime::Executor;
use std::process::ExitCode;
use trials::Capacity;

const THREADS: usize = 4;

fn main() -> ExitCode {
    let seed = Arg::new("seed")
        .long("seed")
        .default_value("1")
        .help("Seed of all draws")
        .value_parser(value_parser!(u64));
    let matches = Command::new("capacity")
        .about("Measures what each role costs by size, and sums it at the size expected")
        .arg(seed)
        .arg(
            Arg::new("decisions")
                .long("decisions")
                .help("Measures decisions alone, without processes")
                .action(ArgAction::SetTrue),
        )
        .get_matches();
    if matches.get_flag("decisions") {
        println!("{}", Capacity::decisions().to_markdown());
        return ExitCode::SUCCESS;
    }
    let seed = matches.get_one("seed").copied().unwrap_or(1);
    let measured = Executor::run(THREADS, |executor| async move {
        Capacity::measure(&executor, seed).await
    });
    match measured {
        Ok(capacity) => {
            println!("{}", capacity.to_markdown());
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("capacity: {err}");
            ExitCode::FAILURE
        }
    }
}
