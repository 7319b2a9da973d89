//! Starts a small local fleet, sends prompts and service requests, and prints their outcomes.

use clap::{Arg, ArgAction, Command};
use runtime::Executor;
use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Instant;
use trials::{Call, End, Fleet, FleetConfig, MODEL, Outcome, SERVICE_PATH, TEAM_KEY};

const THREADS: usize = 4;
const PROMPTS: [(&str, u64); 6] = [
    ("short", 1_000),
    ("short", 2_000),
    ("medium", 20_000),
    ("long", 100_000),
    ("longest", 1_000_000),
    ("short", 1_000),
];
const OUTPUT_TOKENS: u64 = 16;
const PREFILL_RATE: f64 = 400_000.0;
const CHUNK_TOKENS: u64 = 8_000;

/// One request and its outcome, as a line of the printed table.
struct RequestLine {
    name: &'static str,
    tokens: u64,
    gateway: SocketAddr,
    outcome: Outcome,
}

fn main() -> ExitCode {
    let hold_arg = Arg::new("hold")
        .long("hold")
        .action(ArgAction::SetTrue)
        .help("Stay up until interrupted");
    let matches = Command::new("quickstart")
        .about("Starts a small local fleet and sends a few requests through it")
        .arg(hold_arg)
        .get_matches();
    let hold = matches.get_flag("hold");
    match Executor::run(
        THREADS,
        |executor| async move { run(&executor, hold).await },
    ) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("quickstart: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn run(executor: &Executor, hold: bool) -> Result<bool, Box<dyn Error>> {
    println!("Starting two gateways, and agents beside three engines and a label registry ...");
    let mut fleet = Fleet::start(executor, &fleet_config()).await?;
    print_fleet(&mut fleet);
    let lines = send(executor, &fleet).await;
    print_lines(&lines);
    let all_complete = lines.iter().all(|line| line.outcome.end.is_whole());
    println!();
    if hold {
        print_curl_example(fleet.gateways()[0]);
        runtime::termination_signal().await?;
    }
    Ok(all_complete)
}

async fn send(executor: &Executor, fleet: &Fleet) -> Vec<RequestLine> {
    let gateways = fleet.gateways();
    let send_one = |name, tokens, index: usize, call: Call| {
        let gateway = gateways[index % gateways.len()];
        let (spawner, client) = (executor.clone(), fleet.client().clone());
        executor.spawn(async move {
            let call = call.key(TEAM_KEY);
            let outcome = call.run(&spawner, &client, gateway, Instant::now()).await;
            RequestLine {
                name,
                tokens,
                gateway,
                outcome,
            }
        })
    };
    let mut tasks = Vec::new();
    for (index, (name, tokens)) in PROMPTS.into_iter().enumerate() {
        let call = Call::completion(MODEL, index as u64, tokens, OUTPUT_TOKENS);
        tasks.push(send_one(name, tokens, index, call));
    }
    let mut lines = Vec::new();
    for task in tasks {
        lines.push(task.await);
    }
    // Each label request repeats the same key at another gateway, so it waits for the one before.
    for index in 0..gateways.len() {
        let body = r#"{"crate":"42"}"#;
        let call = Call::plain(SERVICE_PATH, body).header("idempotency-key", "crate-42");
        lines.push(send_one("label", 0, index, call).await);
    }
    lines
}

fn fleet_config() -> FleetConfig {
    let mut cfg = FleetConfig::small();
    cfg.for_each_engine(|spec, _| {
        spec.prefill_rate = PREFILL_RATE;
        spec.prefill_chunk_tokens = CHUNK_TOKENS;
    });
    cfg
}

fn print_fleet(fleet: &mut Fleet) {
    println!("\n{:<28} {:<14} address", "process", "domain");
    for name in fleet.names() {
        let node = fleet.node(&name);
        println!("{name:<28} {:<14} {}", node.cfg.domain, node.address);
    }
}

fn print_lines(lines: &[RequestLine]) {
    println!(
        "\n{:<9} {:>9} {:<17} {:>12} {:>10} {:>8}  end",
        "request", "tokens", "gateway", "first (ms)", "all (ms)", "bytes"
    );
    for line in lines {
        let outcome = &line.outcome;
        let first = outcome.first_byte.unwrap_or(outcome.total).as_secs_f64() * 1e3;
        let total = outcome.total.as_secs_f64() * 1e3;
        println!(
            "{:<9} {:>9} {:<17} {first:>12.1} {total:>10.1} {:>8}  {}",
            line.name,
            line.tokens,
            line.gateway,
            outcome.bytes,
            end_text(&outcome.end)
        );
    }
}

fn end_text(end: &End) -> String {
    match end {
        End::Whole => "whole".into(),
        End::Refused { status, reason, .. } => format!("refused {status}: {}", reason.trim()),
        End::Failed { status, reason } => format!("failed {status}: {}", reason.trim()),
        End::Broken(reason) => format!("broken: {reason}"),
        End::Short => "SHORT".into(),
        End::Late => "no end".into(),
    }
}

fn print_curl_example(gateway: SocketAddr) {
    println!("The fleet stays up. Try:\n");
    println!("  curl -N http://{gateway}/v1/completions \\");
    println!("    -H 'Authorization: Bearer {TEAM_KEY}' -H 'Content-Type: application/json' \\");
    println!(
        "    -d '{{\"model\":\"{MODEL}\",\"prompt\":\"Catch certificate 42\",\"max_tokens\":8,\"stream\":true}}'\n"
    );
    println!("Interrupt to stop.");
}
