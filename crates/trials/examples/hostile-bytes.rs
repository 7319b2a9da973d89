//! Writes hostile bytes to the sockets of a direct gateway, one range of seeds after another.

use clap::{Arg, ArgMatches, Command, value_parser};
use runtime::Executor;
use std::process::ExitCode;
use trials::run_hostile_peers;

fn flag(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn command() -> Command {
    Command::new("hostile-bytes")
        .about("Writes hostile bytes to each kind of socket of a direct gateway")
        .arg(flag("from", "1", "First seed"))
        .arg(flag(
            "seeds",
            "16",
            "Seeds of a round, which are written at once",
        ))
        .arg(flag(
            "rounds",
            "10",
            "Rounds, each with gateways and seeds of its own",
        ))
}

fn value(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one(name).copied().unwrap_or_default()
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let (from, seeds) = (value(&matches, "from"), value(&matches, "seeds"));
    let mut failed = 0;
    for round in 0..value(&matches, "rounds") {
        let first = from + round * seeds;
        let run =
            |executor: Executor| async move { run_hostile_peers(&executor, first, seeds).await };
        match Executor::run(2, run) {
            Ok(figures) => {
                println!("seeds from {first}: {} streams", figures.streams);
                for violation in &figures.violations {
                    println!("  {violation}");
                }
                failed += usize::from(!figures.violations.is_empty());
            }
            Err(err) => {
                println!("seeds from {first}: not run: {err}");
                failed += 1;
            }
        }
    }
    println!("{failed} rounds failed");
    ExitCode::from(u8::from(failed > 0))
}
