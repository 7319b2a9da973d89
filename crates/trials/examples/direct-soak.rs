//! Runs soaks of direct gateways, one seed after another, and prints the guarantees that were
//! broken.

use clap::{Arg, ArgMatches, Command, value_parser};
use runtime::Executor;
use std::process::ExitCode;
use std::time::Duration;
use trials::{SoakPlan, run_soak};

fn flag(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn command() -> Command {
    Command::new("direct-soak")
        .about("Runs direct gateways under random faults and checks what was promised")
        .arg(flag("from", "1", "First seed"))
        .arg(flag("seeds", "1", "Seeds to run"))
        .arg(flag("seconds", "8", "Seconds in which faults are begun"))
        .arg(flag("gateways", "5", "Gateways"))
        .arg(flag("servers", "4", "Backend servers of each service"))
}

fn value(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one(name).copied().unwrap_or_default()
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let from = value(&matches, "from");
    let mut failed_seeds = 0;
    for seed in from..from + value(&matches, "seeds") {
        let plan = SoakPlan {
            seed,
            gateways: value(&matches, "gateways") as usize,
            servers: value(&matches, "servers") as usize,
            fault_time: Duration::from_secs(value(&matches, "seconds")),
        };
        match Executor::run(4, |executor| async move { run_soak(&executor, plan).await }) {
            Ok(figures) => {
                let (calls, served) = (figures.calls, figures.served);
                println!(
                    "seed {seed}: {calls} calls, {served} served, {} faults, {} broken",
                    figures.faults,
                    figures.violations.len()
                );
                for violation in &figures.violations {
                    println!("  {violation}");
                }
                failed_seeds += usize::from(!figures.violations.is_empty());
            }
            Err(err) => {
                println!("seed {seed}: not run: {err}");
                failed_seeds += 1;
            }
        }
    }
    if failed_seeds == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
