//! Measures the memory that state takes in a gateway and an agent, by the size of the state.

use crate::caller::Call;
use crate::driver::Driver;
use crate::error::TrialError;
use crate::fleet::Fleet;
use crate::fleet_config::{FleetConfig, MODEL, TEAM_KEY};
use crate::sized_declarations::{with_servers, with_teams};
use crate::slope::Series;
use async_io::{Async, Timer};
use declarations::Declarations;
use runtime::Executor;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const GATEWAY: &str = "gateway-1";
const SERVER: &str = "engine-bratislava-a-1";
const OUTPUT_TOKENS: u64 = 10_000;
/// The prompt and the output of one request, whose memory the engine reserves.
const TOKENS_PER_STREAM: u64 = 11_000;
const AGENT: &str = "agent-engine-bratislava-a-1";
const TEAMS: [usize; 4] = [1_375, 2_750, 5_500, 11_000];
const SERVERS: [usize; 4] = [75, 150, 300, 600];
const CONNECTIONS: [usize; 4] = [256, 512, 1_024, 2_048];
const STREAMS: [usize; 4] = [64, 128, 256, 512];
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time in which all requests of a round reach the engine and start to stream.
const RAMP_UP_TIME: Duration = Duration::from_secs(4);
const STREAM_TIME_LIMIT: Duration = Duration::from_secs(3_600);
const ENGINE_TOKENS: u64 = 20_000_000;
const KV_BYTES_PER_TOKEN: u64 = 1_024;
const KIB: f64 = 1024.0;

/// Measures declared teams, declared servers, open connections and active requests.
pub async fn measure(executor: &Executor) -> Result<Vec<Series>, TrialError> {
    let mut fleet = Fleet::start(executor, &fleet_config()).await?;
    let mut all = measure_teams(&mut fleet).await?;
    all.extend(measure_servers(&mut fleet).await?);
    fleet
        .update_config(|declared| declared.teams.truncate(1))
        .await?;
    restart(&mut fleet).await?;
    all.push(measure_connections(&mut fleet).await?);
    all.extend(measure_streams(executor, &mut fleet).await?);
    Ok(all)
}

fn fleet_config() -> FleetConfig {
    let mut cfg = FleetConfig::single();
    cfg.for_each_engine(|spec, declared| {
        spec.prefill_rate = 50_000_000.0;
        spec.prefill_chunk_tokens = 50_000;
        spec.decode_base = Duration::from_millis(200);
        spec.decode_per_request = Duration::ZERO;
        spec.warm_limit = 1_024;
        spec.memory_tokens = ENGINE_TOKENS;
        declared.memory_bytes = ENGINE_TOKENS * KV_BYTES_PER_TOKEN;
        declared.warm_limit = 1_024;
        declared.cold_limit = 1_024;
    });
    cfg
}

async fn measure_teams(fleet: &mut Fleet) -> Result<Vec<Series>, TrialError> {
    let mut gateway = Series::new("gateway memory", "KiB", "declared team");
    let mut agent = Series::new("agent memory", "KiB", "declared team");
    for teams in TEAMS {
        let resize = |declared: &mut Declarations| *declared = with_teams(declared.clone(), teams);
        let (gateway_kib, agent_kib) = memory_with(fleet, resize).await?;
        gateway.push(teams as f64, gateway_kib);
        agent.push(teams as f64, agent_kib);
    }
    Ok(vec![gateway, agent])
}

async fn measure_servers(fleet: &mut Fleet) -> Result<Vec<Series>, TrialError> {
    let mut gateway = Series::new("gateway memory", "KiB", "declared server");
    let mut agent = Series::new("agent memory", "KiB", "declared server");
    for servers in SERVERS {
        let resize = |declared: &mut Declarations| {
            declared.teams.truncate(1);
            *declared = with_servers(declared.clone(), servers);
        };
        let (gateway_kib, agent_kib) = memory_with(fleet, resize).await?;
        gateway.push(servers as f64, gateway_kib);
        agent.push(servers as f64, agent_kib);
    }
    Ok(vec![gateway, agent])
}

/// Resident memory of the gateway and the agent, in KiB, after a restart with changed declarations.
async fn memory_with(
    fleet: &mut Fleet,
    resize: impl FnOnce(&mut Declarations),
) -> Result<(f64, f64), TrialError> {
    fleet.update_config(resize).await?;
    restart(fleet).await?;
    Ok((resident_kib(fleet, GATEWAY)?, resident_kib(fleet, AGENT)?))
}

async fn restart(fleet: &mut Fleet) -> Result<(), TrialError> {
    for name in [AGENT, GATEWAY] {
        fleet.kill(name);
        fleet.restart(name).await?;
    }
    Timer::after(SETTLE_TIME).await;
    Ok(())
}

async fn measure_connections(fleet: &mut Fleet) -> Result<Series, TrialError> {
    let mut series = Series::new("gateway memory", "KiB", "caller's open connection");
    let address = fleet.gateways()[0];
    let mut open = Vec::new();
    for count in CONNECTIONS {
        while open.len() < count {
            open.push(connect(address).await?);
        }
        Timer::after(SETTLE_TIME / 2).await;
        series.push(count as f64, resident_kib(fleet, GATEWAY)?);
    }
    Ok(series)
}

async fn connect(address: SocketAddr) -> Result<Async<TcpStream>, TrialError> {
    let stream = Async::<TcpStream>::connect(address).await;
    stream.map_err(|err| TrialError::Operation("connect", err.to_string().into()))
}

async fn measure_streams(
    executor: &Executor,
    fleet: &mut Fleet,
) -> Result<Vec<Series>, TrialError> {
    let mut gateway = Series::new("gateway memory", "KiB", "request in flight");
    let mut agent = Series::new("agent memory", "KiB", "request in flight");
    for count in STREAMS {
        restart(fleet).await?;
        let target = fleet.gateways()[0];
        let driver = Driver::new(executor.clone(), vec![target], MODEL, TEAM_KEY);
        let calls = (0..count as u64).map(|seed| {
            Call::completion(MODEL, seed, 1_000, OUTPUT_TOKENS).time_limit(STREAM_TIME_LIMIT)
        });
        let calls: Vec<Call> = calls.collect();
        let running = executor.spawn(async move { driver.send_all(calls, target).await });
        Timer::after(RAMP_UP_TIME).await;
        let held_tokens = fleet.backends.request_tokens(SERVER);
        if held_tokens < count as u64 * TOKENS_PER_STREAM {
            eprintln!("capacity: the engine holds only {held_tokens} tokens for {count} requests");
        }
        gateway.push(count as f64, resident_kib(fleet, GATEWAY)?);
        agent.push(count as f64, resident_kib(fleet, AGENT)?);
        drop(running);
    }
    Ok(vec![gateway, agent])
}

fn resident_kib(fleet: &mut Fleet, name: &str) -> Result<f64, TrialError> {
    Ok(fleet.usage(name)?.resident_bytes as f64 / KIB)
}
