//! Runs a load scenario: `cargo run --release --example load -- SCENARIO --seed N`.

use clap::{Arg, ArgMatches, Command, value_parser};
use runtime::Executor;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use trials::{Figures, Scenario, ScenarioConfig, TrialError};

const THREADS: usize = 4;

fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(figures) => {
            print_figures(&figures);
            if let Some(path) = matches.get_one::<PathBuf>("report")
                && let Err(err) = write_report(&figures, path)
            {
                eprintln!("load: {}: {err}", path.display());
                return ExitCode::FAILURE;
            }
            if figures.all_bounds_hold() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(err) => {
            eprintln!("load: {err}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let names = Scenario::names().join(", ");
    Command::new("load")
        .about("Drives a local fleet of the shipped binaries and checks what was measured")
        .arg(
            Arg::new("scenario")
                .required(true)
                .help(format!("One of: {names}"))
                .value_parser(|name: &str| name.parse::<Scenario>()),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .required(true)
                .help("Seed of all draws")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("10")
                .help("Length of the main load")
                .value_parser(value_parser!(u64).range(1..=600)),
        )
        .arg(
            Arg::new("report")
                .long("report")
                .value_name("FILE")
                .help("Write a page with plots, as one HTML file")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn run(matches: &ArgMatches) -> Result<Figures, TrialError> {
    let scenario: Scenario = *matches.get_one("scenario").expect("required");
    let seconds: u64 = *matches.get_one("seconds").expect("has a default");
    let cfg = ScenarioConfig {
        seed: *matches.get_one("seed").expect("required"),
        load_duration: Duration::from_secs(seconds),
    };
    Executor::run(THREADS, |executor| async move {
        let stopped = async {
            let _ = runtime::termination_signal().await;
            Err(TrialError::Operation("run", "interrupted".into()))
        };
        futures_lite::future::or(scenario.run(&executor, cfg), stopped).await
    })
}

fn write_report(figures: &Figures, path: &Path) -> Result<(), Box<dyn Error>> {
    std::fs::write(path, trials::html_report(figures)?)?;
    Ok(())
}

fn print_figures(figures: &Figures) {
    println!("{}, seed {}", figures.scenario, figures.seed);
    for (name, value) in &figures.figures {
        println!("  {name:<36} {value:>14.3}");
    }
    for bound in &figures.bounds {
        let (word, limit) = match (bound.at_most, bound.at_least) {
            (Some(limit), _) => ("at most", limit),
            (_, limit) => ("at least", limit.unwrap_or_default()),
        };
        let verdict = if bound.holds { "holds" } else { "FAILS" };
        println!("  {verdict}: {} {word} {limit}", bound.name);
    }
    println!("{}", figures.to_json());
}
