//! How fast a configuration is in force at many processes, and what control costs each of them.

use crate::error::TrialError;
use crate::figures::Figures;
use crate::fleet::{Fleet, get_page};
use crate::fleet_config::{Backend, FleetConfig};
use crate::operator::Operator;
use crate::process::ResourceUsage;
use crate::scenario::ScenarioConfig;
use async_io::Timer;
use runtime::{Executor, HttpClient, timeout};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SIZES: [usize; 3] = [25, 50, 100];
const GATEWAYS: usize = 4;
const DOMAINS: [&str; 3] = ["bratislava-a", "trnava-b", "nitra-c"];
const POLL: Duration = Duration::from_millis(50);
const CHANGES: u64 = 6;
const FROZEN_EACH: usize = 10;
const IN_FORCE_TIME: Duration = Duration::from_secs(30);
const LIMIT_MS: f64 = 5_000.0;
const BYTES_LIMIT: f64 = 2_048.0;
const CPU_LIMIT: f64 = 2.4;
const MEMORY_LIMIT_MIB: f64 = 64.0;
const MEBIBYTE: f64 = 1_048_576.0;
/// IP, UDP and QUIC headers and acknowledgements of one message, which the processes don't see.
const OVERHEAD_BYTES: f64 = 120.0;

/// What one size cost.
struct Cost {
    nodes: usize,
    slowest: Duration,
    slowest_woken: Duration,
    bytes: f64,
    messages: f64,
    cpu: f64,
    memory: f64,
    mean_memory: f64,
    reads: f64,
}

/// Runs the scenario.
pub async fn run(executor: &Executor, cfg: ScenarioConfig) -> Result<Figures, TrialError> {
    let mut figures = Figures::new("config-spread", cfg.seed);
    let mut costs = Vec::new();
    for nodes in SIZES {
        let cost = measure(executor, cfg, nodes).await?;
        let name = |figure: &str| format!("{figure}_at_{nodes}");
        figures.at_most(&name("in_force_p100_ms"), millis(cost.slowest), LIMIT_MS);
        let woken = millis(cost.slowest_woken);
        figures.at_most(&name("woken_in_force_p100_ms"), woken, LIMIT_MS);
        figures.at_most(&name("bytes_per_second"), cost.bytes, BYTES_LIMIT);
        figures.at_most(&name("core_percent"), cost.cpu, CPU_LIMIT);
        figures.at_most(&name("memory_mib"), cost.memory, MEMORY_LIMIT_MIB);
        figures.add(&name("memory_mean_mib"), cost.mean_memory);
        figures.add(&name("messages_per_second"), cost.messages);
        figures.add(&name("store_reads_per_second"), cost.reads);
        costs.push(cost);
    }
    if let (Some(first), Some(last)) = (costs.first(), costs.last()) {
        let nodes = (last.nodes - first.nodes) as f64;
        figures.add("bytes_slope_per_node", (last.bytes - first.bytes) / nodes);
        figures.add(
            "core_percent_slope_per_node",
            (last.cpu - first.cpu) / nodes,
        );
        figures.add(
            "memory_mib_slope_per_node",
            (last.memory - first.memory) / nodes,
        );
    }
    Ok(figures)
}

async fn measure(
    executor: &Executor,
    cfg: ScenarioConfig,
    nodes: usize,
) -> Result<Cost, TrialError> {
    let mut fleet = Fleet::start(executor, &fleet_config(nodes)).await?;
    let operator = Operator {
        client: fleet.client().clone(),
        gateway: fleet.gateways()[0],
    };
    let names = fleet.names();
    let addresses: Vec<SocketAddr> = [fleet.gateways(), fleet.agents()].concat();
    let usage = |fleet: &mut Fleet| -> Result<Vec<ResourceUsage>, TrialError> {
        names.iter().map(|name| fleet.usage(name)).collect()
    };
    operator.wait_active(1, nodes, IN_FORCE_TIME).await?;
    let counts_before = counts(&fleet, &addresses).await?;
    let used_before = usage(&mut fleet)?;
    let start = Instant::now();
    let mut slowest = Duration::ZERO;
    let mut slowest_woken = Duration::ZERO;
    let pause = cfg.load_duration / CHANGES as u32;
    for change in 0..CHANGES {
        let frozen = frozen(&names, cfg.seed.wrapping_add(change));
        for name in &frozen {
            fleet.freeze(name)?;
        }
        let (word, end) = [("take", "out"), ("bring", "back")][(change % 2) as usize];
        let reply = operator
            .execute(&format!("{word} domain nitra-c {end}"), None)
            .await?;
        let committed = Instant::now();
        let time = in_force(
            executor,
            &fleet,
            &addresses,
            reply.version(),
            nodes - frozen.len(),
        )
        .await;
        slowest = slowest.max(time.unwrap_or(IN_FORCE_TIME));
        for name in &frozen {
            fleet.thaw(name)?;
        }
        let time = in_force(executor, &fleet, &addresses, reply.version(), nodes).await;
        slowest_woken = slowest_woken.max(time.unwrap_or(IN_FORCE_TIME));
        Timer::at(committed + pause).await;
    }
    let seconds = start.elapsed().as_secs_f64();
    let used = usage(&mut fleet)?;
    let counted = counts(&fleet, &addresses).await?;
    let each = nodes as f64 * seconds;
    let messages = counted.messages - counts_before.messages;
    let bytes = counted.bytes - counts_before.bytes + messages * OVERHEAD_BYTES;
    let cpu: f64 = used
        .iter()
        .zip(&used_before)
        .map(|(after, before)| after.cpu_since(before).as_secs_f64())
        .sum();
    let memory = used
        .iter()
        .map(|used| used.resident_bytes)
        .max()
        .unwrap_or(0);
    let total_memory: u64 = used.iter().map(|used| used.resident_bytes).sum();
    Ok(Cost {
        nodes,
        slowest,
        slowest_woken,
        bytes: bytes / each,
        messages: messages / each,
        cpu: 100.0 * cpu / each,
        memory: memory as f64 / MEBIBYTE,
        mean_memory: total_memory as f64 / nodes as f64 / MEBIBYTE,
        reads: (counted.reads - counts_before.reads) / seconds,
    })
}

/// Gateways, and agents beside stand-ins of plain services, which cost little.
fn fleet_config(nodes: usize) -> FleetConfig {
    let mut cfg = FleetConfig::small();
    let domain = |index: usize| DOMAINS[index % DOMAINS.len()];
    cfg.gateways = (0..GATEWAYS).map(|index| domain(index).into()).collect();
    cfg.backends = (0..nodes - GATEWAYS)
        .map(|index| Backend::service(&format!("registry-{index}"), domain(index)))
        .collect();
    cfg
}

/// Some agents, another set for each seed.
fn frozen(names: &[Box<str>], seed: u64) -> Vec<Box<str>> {
    let agents = names.iter().filter(|name| name.starts_with("agent"));
    agents
        .skip((seed % FROZEN_EACH as u64) as usize)
        .step_by(FROZEN_EACH)
        .cloned()
        .collect()
}

/// Waits until so many nodes tell by their own metrics that the version is in force.
async fn in_force(
    executor: &Executor,
    fleet: &Fleet,
    addresses: &[SocketAddr],
    version: u64,
    nodes: usize,
) -> Option<Duration> {
    let start = Instant::now();
    let (tx, rx) = async_channel::unbounded();
    let tasks: Vec<_> = addresses
        .iter()
        .map(|address| {
            let tx = tx.clone();
            let client = fleet.client().clone();
            let address = *address;
            executor.spawn(async move {
                while config_version(&client, address).await < version {
                    Timer::after(POLL).await;
                }
                let _ = tx.send(()).await;
            })
        })
        .collect();
    let all = async {
        for _ in 0..nodes {
            let _ = rx.recv().await;
        }
    };
    let reached = timeout(IN_FORCE_TIME, all).await;
    drop(tasks);
    reached.ok().map(|()| start.elapsed())
}

async fn config_version(client: &HttpClient, address: SocketAddr) -> u64 {
    match get_page(client, address, "/metrics").await {
        Ok((_, text)) => metric(&text, "bergamothold_config_version") as u64,
        Err(_) => 0,
    }
}

#[derive(Default)]
struct Counts {
    messages: f64,
    bytes: f64,
    reads: f64,
}

/// Sums of the processes' own counts.
async fn counts(fleet: &Fleet, addresses: &[SocketAddr]) -> Result<Counts, TrialError> {
    let mut sum = Counts::default();
    for address in addresses {
        let (_, text) = get_page(fleet.client(), *address, "/metrics").await?;
        sum.messages += metric(&text, "bergamothold_control_messages_total");
        sum.bytes += metric(&text, "bergamothold_control_bytes_total");
        sum.reads += metric(&text, "bergamothold_store_reads_total");
    }
    Ok(sum)
}

/// Sum over all labels of a metric.
fn metric(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter(|line| {
        let rest = line.strip_prefix(name);
        rest.is_some_and(|rest| rest.starts_with([' ', '{']))
    });
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}

fn millis(time: Duration) -> f64 {
    const MILLIS_PER_SECOND: f64 = 1e3;
    time.as_secs_f64() * MILLIS_PER_SECOND
}
