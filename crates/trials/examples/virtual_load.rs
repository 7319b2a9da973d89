//! Runs a load scenario in virtual time: `virtual_load <scenario> [--seed N]`. The last line of the
//! output is JSON.

use clap::{Arg, Command, value_parser};
use trials::{SimReport, run_sim_scenario, sim_scenario_names};

fn main() {
    let command = Command::new("virtual_load")
        .about("Runs a load scenario in virtual time; the last line is JSON")
        .arg(
            Arg::new("scenario")
                .required(true)
                .value_parser(sim_scenario_names()),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        );
    let args = command.get_matches();
    let name = args
        .get_one::<String>("scenario")
        .map_or("", String::as_str);
    let seed = args.get_one::<u64>("seed").copied().unwrap_or(1);
    let report: Option<SimReport> = run_sim_scenario(name, seed);
    if let Some(report) = report {
        print!("{report}");
        println!("{}", report.to_json());
    }
}
