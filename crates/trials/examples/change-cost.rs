//! Measures from outside, by proxies, what a change of one route costs direct gateways, by their number and the size of the
//! declarations, and prints a table.

use clap::{Arg, Command, value_parser};
use runtime::Executor;
use std::process::ExitCode;
use trials::measure_change_cost;

fn numbers(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_delimiter(',')
        .value_parser(value_parser!(usize))
        .help(help)
}

fn main() -> ExitCode {
    let command = Command::new("change-cost")
        .about("Measures how a change of declarations reaches direct gateways")
        .arg(numbers("gateways", "3,24", "Numbers of gateways"))
        .arg(numbers(
            "kilobytes",
            "100,1000,3000,10000",
            "Sizes of the declarations",
        ));
    let matches = command.get_matches();
    let values = |name: &str| -> Vec<usize> {
        matches
            .get_many(name)
            .into_iter()
            .flatten()
            .copied()
            .collect()
    };
    println!(
        "| gateways | ready before | KB | KB from the store | KB on links | peak MB | in force, ms | without it |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for gateways in values("gateways") {
        for kilobytes in values("kilobytes") {
            let measured = Executor::run(4, |executor| async move {
                measure_change_cost(&executor, gateways, kilobytes * 1_000).await
            });
            let spread = match measured {
                Ok(spread) => spread,
                Err(err) => {
                    println!("{gateways} gateways, {kilobytes} KB: not run: {err}");
                    return ExitCode::FAILURE;
                }
            };
            let pair = |(median, largest): (u64, u64), unit: u64| {
                format!("{}; {}", median / unit, largest / unit)
            };
            println!(
                "| {gateways} | {} | {} | {} | {} | {} | {}; {} | {} |",
                spread.ready,
                spread.declarations_bytes / 1_000,
                pair(spread.store_bytes, 1_000),
                pair(spread.link_bytes, 1_000),
                pair(spread.peak_memory, 1_000_000),
                spread.in_force.0.as_millis(),
                spread.in_force.1.as_millis(),
                spread.missing,
            );
        }
    }
    ExitCode::SUCCESS
}
