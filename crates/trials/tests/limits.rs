//! A team's token rate limit holds across all gateways.

use async_executor::Task;
use declarations::{Team, hash_key};
use runtime::{Executor, HttpClient};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use trials::{Call, End, Fleet, FleetConfig, MODEL, TEAM_KEY};

const TOKENS_PER_SECOND: u64 = 2_000;
const PROMPT_TOKENS: u64 = 500;
const OUTPUT_TOKENS: u64 = 8;
const BURST_SECONDS: f64 = 2.0;
const LIMITED_TEAMS: usize = 4;
const LOAD_DURATION: Duration = Duration::from_secs(8);

fn limited_key(team: usize) -> String {
    format!("limited-key-{team}")
}

fn limited_fleet() -> FleetConfig {
    let mut cfg = FleetConfig::small();
    let team = |number: usize| Team {
        name: format!("limited-{number}").into(),
        key_hashes: vec![hash_key(&limited_key(number))],
        weight: 100,
        tokens_per_second: Some(TOKENS_PER_SECOND),
    };
    cfg.base_declarations
        .teams
        .extend((0..LIMITED_TEAMS).map(team));
    cfg
}

/// Sends requests to one gateway for `LOAD_DURATION`, one after another, and returns how each ended.
async fn send_repeatedly(executor: Executor, gateway: SocketAddr, key: String) -> Vec<End> {
    let client = HttpClient::new(executor.clone());
    let start = Instant::now();
    let mut ends = Vec::new();
    while start.elapsed() < LOAD_DURATION {
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

/// How many requests of one team both gateways together completed and refused.
#[derive(Debug, Default)]
struct TeamOutcomes {
    completed: u64,
    refused: u64,
}

async fn count_outcomes(tasks: Vec<Task<Vec<End>>>) -> TeamOutcomes {
    let mut outcomes = TeamOutcomes::default();
    for task in tasks {
        for end in task.await {
            match end {
                End::Whole => outcomes.completed += 1,
                End::Refused {
                    status: 429,
                    retry_after: Some(_),
                    ..
                } => outcomes.refused += 1,
                other => panic!("{other:?}"),
            }
        }
    }
    outcomes
}

/// Two gateways together admit no more than a team's limit, yet some of its requests, whichever
/// gateway is its home; a team without a limit is not affected.
#[test]
fn limit_holds_over_two_gateways() {
    Executor::run(4, |executor| async move {
        let fleet = Fleet::start(&executor, &limited_fleet()).await.unwrap();
        let start = Instant::now();
        let send =
            |key: String, gateway| executor.spawn(send_repeatedly(executor.clone(), gateway, key));
        let mut teams = Vec::new();
        for team in 0..LIMITED_TEAMS {
            let gateways = fleet
                .gateways()
                .into_iter()
                .flat_map(|gateway| [gateway; 2]);
            teams.push(
                gateways
                    .map(|gateway| send(limited_key(team), gateway))
                    .collect(),
            );
        }
        let unlimited: Vec<_> = fleet
            .gateways()
            .into_iter()
            .map(|gateway| send(TEAM_KEY.into(), gateway))
            .collect();
        for tasks in teams {
            let outcomes = count_outcomes(tasks).await;
            let limit = TOKENS_PER_SECOND as f64 * (start.elapsed().as_secs_f64() + BURST_SECONDS);
            let used = (outcomes.completed * PROMPT_TOKENS) as f64;
            assert!(used <= limit, "{used} of {limit} tokens");
            assert!(
                outcomes.completed > 0 && outcomes.refused > 0,
                "{outcomes:?}"
            );
        }
        for task in unlimited {
            assert!(task.await.iter().all(End::is_whole));
        }
    });
}
