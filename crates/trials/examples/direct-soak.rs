//! Runs soaks of direct gateways, one seed after another, and prints the guarantees that were
//! broken.

use clap::{Arg, ArgMatches, Command, value_parser};
use runtime::Executor;
use standins::{Comparisons, QuietAnswer};
use std::process::ExitCode;
use std::time::Duration;
use trials::{
    BurstPlan, FleetSize, GrowthPlan, LinkFault, SoakFigures, SoakPlan, StopPlan, TrialError,
    TurnedAway, TurnedAwayPlan, UnreadPlan, run_burst_soak, run_growth_soak, run_soak,
    run_stop_soak, run_turned_away_soak, run_unread_soak,
};

const MIXES: [&str; 7] = [
    "faults",
    "calm",
    "bursts",
    "growth",
    "turned-away",
    "unread",
    "all",
];
const SHARES: [&str; 5] = ["any", "all", "all-but-one", "half", "third"];
const REFUSALS: [&str; 6] = [
    "any",
    "503",
    "429",
    "closed",
    "no-response",
    "lost-response",
];
const ANSWERS: [&str; 5] = ["any", "newest", "polled", "oldest", "never"];
const COMPARISONS: [&str; 5] = ["any", "exact", "refused", "blind", "behind"];
const LINKS: [&str; 3] = ["sound", "cut", "one-way"];

fn flag(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn choice<const N: usize>(
    name: &'static str,
    values: [&'static str; N],
    help: &'static str,
) -> Arg {
    let arg = Arg::new(name).long(name).default_value(values[0]);
    arg.value_parser(values).help(help)
}

fn command() -> Command {
    let mix = Arg::new("mix").long("mix").default_value("faults");
    Command::new("direct-soak")
        .about("Runs direct gateways under random faults and checks what was promised")
        .arg(mix.value_parser(MIXES).help("Kind of soak"))
        .arg(flag("from", "1", "First seed"))
        .arg(flag("seeds", "1", "Seeds to run"))
        .arg(flag("seconds", "8", "Seconds in which faults are begun"))
        .arg(flag("gateways", "5", "Gateways"))
        .arg(flag(
            "servers",
            "4",
            "Backend servers of each service, mix faults",
        ))
        .arg(flag("engines", "6", "Engines, other mixes"))
        .arg(flag("plain", "3", "Plain servers, other mixes"))
        .arg(flag(
            "clients",
            "3",
            "Clients of each kind at a gateway, mix calm",
        ))
        .arg(flag(
            "prompts",
            "3",
            "Clients with long prompts at a gateway, mix calm",
        ))
        .arg(flag(
            "spans",
            "1",
            "Clients with prompts for several engines at a gateway, mix calm",
        ))
        .arg(flag(
            "kilobytes-from",
            "100",
            "Declarations at first, mixes growth, turned-away and unread",
        ))
        .arg(flag(
            "kilobytes-to",
            "1500",
            "Declarations at last, mixes growth, turned-away and unread",
        ))
        .arg(flag(
            "shortest-ms",
            "200",
            "Shortest time between changes, mixes growth, turned-away and unread",
        ))
        .arg(flag(
            "apply-ms",
            "2000",
            "Time within which a change is in force, mixes growth, turned-away and unread",
        ))
        .arg(flag(
            "longest-ms",
            "1500",
            "Longest time between changes, mixes growth, turned-away and unread",
        ))
        .arg(flag(
            "calm-growth",
            "0",
            "1 for no other faults, mixes growth, turned-away and unread",
        ))
        .arg(choice(
            "share",
            SHARES,
            "Gateways that the store turns away, mix turned-away",
        ))
        .arg(choice(
            "refusal",
            REFUSALS,
            "How it does so, mix turned-away",
        ))
        .arg(choice(
            "links",
            LINKS,
            "All links between gateways, mix turned-away",
        ))
        .arg(flag(
            "link-delay-ms",
            "0",
            "Delay of sound links each way, mix turned-away",
        ))
        .arg(choice(
            "answer",
            ANSWERS,
            "Version in the answers of watches that hear nothing, mix unread",
        ))
        .arg(flag(
            "server-changes",
            "1",
            "0 for servers that stay, mix unread",
        ))
        .arg(flag("late", "0", "Gateways that start late, mix unread"))
        .arg(flag(
            "behind",
            "0",
            "1 for listings that are behind, mix unread",
        ))
        .arg(flag(
            "drills",
            "0",
            "1 for a store that comes back from copies, mix unread",
        ))
        .arg(choice(
            "comparisons",
            COMPARISONS,
            "How the store compares rows, mix unread",
        ))
        .arg(flag(
            "stops",
            "1",
            "Gateways that are stopped at the same time, mixes calm and bursts",
        ))
        .arg(flag("streams", "200", "Streams of a burst, mix bursts"))
        .arg(flag("bursts", "5", "Bursts, mix bursts"))
        .arg(flag(
            "burst-ms",
            "12000",
            "Time between the starts of bursts, mix bursts",
        ))
        .arg(flag("stop-ms", "24000", "Time between stops, mix bursts"))
        .arg(flag(
            "first-stop-ms",
            "300",
            "Time from a burst to the first stop, mix bursts",
        ))
        .arg(flag(
            "slow-percent",
            "100",
            "Time that engines take, in percent of the declared one, mix bursts",
        ))
        .arg(flag(
            "target-ms",
            "300",
            "Declared time to the first event, mix bursts",
        ))
        .arg(flag(
            "disturbed",
            "0",
            "1 for callers, engines, servers and a store with peculiarities, mix bursts",
        ))
}

fn value(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one(name).copied().unwrap_or_default()
}

fn growth_plan(seed: u64, size: FleetSize, time: Duration, matches: &ArgMatches) -> GrowthPlan {
    let bytes = |name| value(matches, name) as usize * 1_000;
    let interval = |name| Duration::from_millis(value(matches, name));
    GrowthPlan {
        seed,
        size,
        time,
        bytes: (bytes("kilobytes-from"), bytes("kilobytes-to")),
        intervals: (interval("shortest-ms"), interval("longest-ms")),
        apply_bound: interval("apply-ms"),
        faults: value(matches, "calm-growth") == 0,
    }
}

fn turned_away_plan(changes: GrowthPlan, matches: &ArgMatches) -> TurnedAwayPlan {
    let text = |name| matches.get_one::<String>(name).map_or("", String::as_str);
    let delay = Duration::from_millis(value(matches, "link-delay-ms"));
    TurnedAwayPlan {
        changes,
        share: match text("share") {
            "all" => Some(TurnedAway::All),
            "all-but-one" => Some(TurnedAway::AllButOne),
            "half" => Some(TurnedAway::Half),
            "third" => Some(TurnedAway::Third),
            _ => None,
        },
        refusal: match text("refusal") {
            "503" => Some(LinkFault::Status(503)),
            "429" => Some(LinkFault::Status(429)),
            "closed" => Some(LinkFault::Cut),
            "no-response" => Some(LinkFault::Silent),
            "lost-response" => Some(LinkFault::LostReplies),
            _ => None,
        },
        links: match text("links") {
            "cut" => LinkFault::Silent,
            "one-way" => LinkFault::NoReplies,
            _ if delay.is_zero() => LinkFault::None,
            _ => LinkFault::Delayed(delay),
        },
    }
}

fn unread_plan(changes: GrowthPlan, matches: &ArgMatches) -> UnreadPlan {
    let answer = matches.get_one::<String>("answer").map(String::as_str);
    UnreadPlan {
        changes,
        answer: match answer {
            Some("newest") => Some(QuietAnswer::NewestVersion),
            Some("polled") => Some(QuietAnswer::PolledVersion),
            Some("oldest") => Some(QuietAnswer::OldestVersion),
            Some("never") => Some(QuietAnswer::Never),
            _ => None,
        },
        server_changes: value(matches, "server-changes") > 0,
        late: value(matches, "late") as usize,
        behind: value(matches, "behind") > 0,
        drills: value(matches, "drills") > 0,
        comparisons: match matches.get_one::<String>("comparisons").map(String::as_str) {
            Some("exact") => Some(Comparisons::Exact),
            Some("refused") => Some(Comparisons::Refused),
            Some("blind") => Some(Comparisons::Blind),
            Some("behind") => Some(Comparisons::Behind),
            _ => None,
        },
    }
}

fn run(mix: &str, seed: u64, matches: &ArgMatches) -> Result<SoakFigures, TrialError> {
    let number = |name| value(matches, name) as usize;
    let time = Duration::from_secs(value(matches, "seconds"));
    let gateways = number("gateways");
    let size = FleetSize {
        gateways,
        engines: number("engines"),
        plain: number("plain"),
    };
    Executor::run(4, |executor| async move {
        match mix {
            "calm" => {
                let plan = StopPlan {
                    seed,
                    size,
                    time,
                    stops_at_once: number("stops"),
                    clients: number("clients"),
                    prompt_clients: number("prompts"),
                    span_clients: number("spans"),
                };
                run_stop_soak(&executor, plan).await
            }
            "bursts" => {
                let ms = |name| Duration::from_millis(value(matches, name));
                let plan = BurstPlan {
                    seed,
                    size,
                    slowness: value(matches, "slow-percent") as f64 / 100.0,
                    target: ms("target-ms"),
                    streams: number("streams"),
                    bursts: number("bursts"),
                    burst_interval: ms("burst-ms"),
                    stops_at_once: number("stops"),
                    first_stop: ms("first-stop-ms"),
                    stop_interval: ms("stop-ms"),
                    is_disturbed: value(matches, "disturbed") > 0,
                };
                run_burst_soak(&executor, plan).await
            }
            "growth" => {
                let plan = growth_plan(seed, size, time, matches);
                run_growth_soak(&executor, plan).await
            }
            "turned-away" => {
                let changes = growth_plan(seed, size, time, matches);
                run_turned_away_soak(&executor, turned_away_plan(changes, matches)).await
            }
            "unread" => {
                let changes = growth_plan(seed, size, time, matches);
                run_unread_soak(&executor, unread_plan(changes, matches)).await
            }
            _ => {
                let plan = SoakPlan {
                    seed,
                    gateways,
                    servers: number("servers"),
                    fault_time: time,
                };
                run_soak(&executor, plan).await
            }
        }
    })
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let from = value(&matches, "from");
    let mix = matches.get_one::<String>("mix").map_or("faults", |mix| mix);
    let mixes = MIXES
        .into_iter()
        .filter(|name| *name != "all" && (mix == *name || mix == "all"));
    let mixes: Vec<_> = mixes.collect();
    let mut failed_seeds = 0;
    for seed in from..from + value(&matches, "seeds") {
        for mix in &mixes {
            match run(mix, seed, &matches) {
                Ok(figures) => {
                    let (calls, served) = (figures.calls, figures.served);
                    println!(
                        "{mix}, seed {seed}: {calls} calls, {served} served, {} of {} that were due, {} \
                         reservations, {} connections refused, {} faults, {} broken",
                        figures.due.served,
                        figures.due.due,
                        figures.reservations,
                        figures.refused_connections,
                        figures.faults,
                        figures.violations.len()
                    );
                    for note in &figures.notes {
                        println!("  note: {note}");
                    }
                    for violation in &figures.violations {
                        println!("  {violation}");
                    }
                    failed_seeds += usize::from(!figures.violations.is_empty());
                }
                Err(err) => {
                    println!("{mix}, seed {seed}: not run: {err}");
                    failed_seeds += 1;
                }
            }
        }
    }
    if failed_seeds == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
