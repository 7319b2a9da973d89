//! A team's limit over all gateways.

use async_executor::Task;
use declarations::{Team, hash_key};
use runtime::{Executor, HttpClient};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use trials::{Call, End, Fleet, FleetConfig, MODEL, TEAM_KEY};

const RATE: u64 = 2_000;
const PROMPT_TOKENS: u64 = 500;
const OUTPUT_TOKENS: u64 = 8;
const BURST_SECONDS: f64 = 2.0;
const TEAMS: usize = 4;
const LOAD_TIME: Duration = Duration::from_secs(8);

fn limited_key(team: usize) -> String {
    format!("limited-key-{team}")
}

fn limited_fleet() -> FleetConfig {
    let mut cfg = FleetConfig::small();
    let team = |number: usize| Team {
        name: format!("limited-{number}").into(),
        key_hashes: vec![hash_key(&limited_key(number))],
        weight: 100,
        tokens_per_second: Some(RATE),
    };
    cfg.base_declarations.teams.extend((0..TEAMS).map(team));
    cfg
}

/// Asks one gateway again and again, and gives how each call ended.
async fn ask_on(executor: Executor, gateway: SocketAddr, key: String) -> Vec<End> {
    let client = HttpClient::new(executor.clone());
    let start = Instant::now();
    let mut ends = Vec::new();
    while start.elapsed() < LOAD_TIME {
        let call =
            Call::completion(MODEL, ends.len() as u64, PROMPT_TOKENS, OUTPUT_TOKENS).key(&key);
        ends.push(
            call.run(&executor, &client, gateway, Instant::now())
                .await
                .end,
        );
    }
    ends
}

/// What two gateways granted and refused to one team.
#[derive(Debug, Default)]
struct Granted {
    whole: u64,
    refused: u64,
}

async fn granted(tasks: Vec<Task<Vec<End>>>) -> Granted {
    let mut granted = Granted::default();
    for task in tasks {
        for end in task.await {
            match end {
                End::Whole => granted.whole += 1,
                End::Refused {
                    status: 429,
                    retry_after: Some(_),
                    ..
                } => granted.refused += 1,
                other => panic!("{other:?}"),
            }
        }
    }
    granted
}

/// Two gateways together grant each team no more than its limit, but something, whichever of them
/// keeps it; a team without a limit does not feel it.
#[test]
fn limit_holds_over_two_gateways() {
    Executor::run(4, |executor| async move {
        let fleet = Fleet::start(&executor, &limited_fleet()).await.unwrap();
        let start = Instant::now();
        let ask = |key: String, gateway| executor.spawn(ask_on(executor.clone(), gateway, key));
        let mut teams = Vec::new();
        for team in 0..TEAMS {
            let asking = fleet
                .gateways()
                .into_iter()
                .flat_map(|gateway| [gateway; 2]);
            teams.push(
                asking
                    .map(|gateway| ask(limited_key(team), gateway))
                    .collect(),
            );
        }
        let free: Vec<_> = fleet
            .gateways()
            .into_iter()
            .map(|gateway| ask(TEAM_KEY.into(), gateway))
            .collect();
        for tasks in teams {
            let granted = granted(tasks).await;
            let most = RATE as f64 * (start.elapsed().as_secs_f64() + BURST_SECONDS);
            let used = (granted.whole * PROMPT_TOKENS) as f64;
            assert!(used <= most, "{used} of {most} tokens");
            assert!(granted.whole > 0 && granted.refused > 0, "{granted:?}");
        }
        for task in free {
            assert!(task.await.iter().all(End::is_whole));
        }
    });
}
