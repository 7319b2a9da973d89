//! Scenario that measures how fast a new configuration becomes active at many processes, and what
//! control messages cost each of them.

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

const FLEET_SIZES: [usize; 3] = [25, 50, 100];
const GATEWAYS: usize = 4;
const DOMAINS: [&str; 3] = ["bratislava-a", "trnava-b", "nitra-c"];
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CONFIG_CHANGES: u64 = 6;
/// One in this many agents is frozen during a change.
const FROZEN_STRIDE: usize = 10;
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_ACTIVATION_MS: f64 = 5_000.0;
/// Limit of the control traffic of one node.
const MAX_BYTES_PER_SECOND: f64 = 2_048.0;
/// Limit of the mean CPU time of one node, in percent of a core.
const MAX_CORE_PERCENT: f64 = 2.4;
/// Limit of the resident memory of any node.
const MAX_MEMORY_MIB: f64 = 64.0;
const BYTES_PER_MIB: f64 = 1_048_576.0;
/// IP, UDP and QUIC headers and acknowledgements of one message, which the processes do not count.
const PROTOCOL_BYTES_PER_MESSAGE: f64 = 120.0;

/// Results for one fleet size.
struct Measurement {
    nodes: usize,
    /// Slowest activation at all nodes that were not frozen.
    slowest: Duration,
    /// Slowest activation at all nodes, after the frozen ones were thawed.
    slowest_thawed: Duration,
    /// Control bytes per second and node.
    bytes: f64,
    /// Control messages per second and node.
    messages: f64,
    core_percent: f64,
    max_memory_mib: f64,
    mean_memory_mib: f64,
    /// Store reads per second of the whole fleet.
    store_reads: f64,
}

/// Runs the scenario for each fleet size.
pub async fn run(executor: &Executor, cfg: ScenarioConfig) -> Result<Figures, TrialError> {
    let mut figures = Figures::new("config-spread", cfg.seed);
    let mut results = Vec::new();
    for nodes in FLEET_SIZES {
        let result = measure(executor, cfg, nodes).await?;
        let name = |figure: &str| format!("{figure}_at_{nodes}");
        figures.at_most(
            &name("in_force_p100_ms"),
            millis(result.slowest),
            MAX_ACTIVATION_MS,
        );
        let thawed = millis(result.slowest_thawed);
        figures.at_most(&name("woken_in_force_p100_ms"), thawed, MAX_ACTIVATION_MS);
        figures.at_most(
            &name("bytes_per_second"),
            result.bytes,
            MAX_BYTES_PER_SECOND,
        );
        figures.at_most(&name("core_percent"), result.core_percent, MAX_CORE_PERCENT);
        figures.at_most(&name("memory_mib"), result.max_memory_mib, MAX_MEMORY_MIB);
        figures.add(&name("memory_mean_mib"), result.mean_memory_mib);
        figures.add(&name("messages_per_second"), result.messages);
        figures.add(&name("store_reads_per_second"), result.store_reads);
        results.push(result);
    }
    if let (Some(first), Some(last)) = (results.first(), results.last()) {
        let nodes = (last.nodes - first.nodes) as f64;
        figures.add("bytes_slope_per_node", (last.bytes - first.bytes) / nodes);
        figures.add(
            "core_percent_slope_per_node",
            (last.core_percent - first.core_percent) / nodes,
        );
        figures.add(
            "memory_mib_slope_per_node",
            (last.max_memory_mib - first.max_memory_mib) / nodes,
        );
    }
    Ok(figures)
}

async fn measure(
    executor: &Executor,
    cfg: ScenarioConfig,
    nodes: usize,
) -> Result<Measurement, TrialError> {
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
    operator.wait_active(1, nodes, ACTIVATION_TIMEOUT).await?;
    let counts_before = read_counters(&fleet, &addresses).await?;
    let used_before = usage(&mut fleet)?;
    let start = Instant::now();
    let mut slowest = Duration::ZERO;
    let mut slowest_thawed = Duration::ZERO;
    let change_interval = cfg.load_duration / CONFIG_CHANGES as u32;
    for change in 0..CONFIG_CHANGES {
        let frozen = agents_to_freeze(&names, cfg.seed.wrapping_add(change));
        for name in &frozen {
            fleet.freeze(name)?;
        }
        let (verb, particle) = [("take", "out"), ("bring", "back")][(change % 2) as usize];
        let reply = operator
            .execute(&format!("{verb} domain nitra-c {particle}"), None)
            .await?;
        let committed = Instant::now();
        let time = wait_active(
            executor,
            &fleet,
            &addresses,
            reply.version(),
            nodes - frozen.len(),
        )
        .await;
        slowest = slowest.max(time.unwrap_or(ACTIVATION_TIMEOUT));
        for name in &frozen {
            fleet.thaw(name)?;
        }
        let time = wait_active(executor, &fleet, &addresses, reply.version(), nodes).await;
        slowest_thawed = slowest_thawed.max(time.unwrap_or(ACTIVATION_TIMEOUT));
        Timer::at(committed + change_interval).await;
    }
    let seconds = start.elapsed().as_secs_f64();
    let used = usage(&mut fleet)?;
    let counts_after = read_counters(&fleet, &addresses).await?;
    let node_seconds = nodes as f64 * seconds;
    let messages = counts_after.messages - counts_before.messages;
    let bytes = counts_after.bytes - counts_before.bytes + messages * PROTOCOL_BYTES_PER_MESSAGE;
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
    Ok(Measurement {
        nodes,
        slowest,
        slowest_thawed,
        bytes: bytes / node_seconds,
        messages: messages / node_seconds,
        core_percent: 100.0 * cpu / node_seconds,
        max_memory_mib: memory as f64 / BYTES_PER_MIB,
        mean_memory_mib: total_memory as f64 / nodes as f64 / BYTES_PER_MIB,
        store_reads: (counts_after.reads - counts_before.reads) / seconds,
    })
}

/// Gateways, and agents in front of stand-ins of plain services, which use few resources.
fn fleet_config(nodes: usize) -> FleetConfig {
    let mut cfg = FleetConfig::small();
    let domain = |index: usize| DOMAINS[index % DOMAINS.len()];
    cfg.gateways = (0..GATEWAYS).map(|index| domain(index).into()).collect();
    cfg.backends = (0..nodes - GATEWAYS)
        .map(|index| Backend::service(&format!("registry-{index}"), domain(index)))
        .collect();
    cfg
}

/// Names of the agents to freeze, a different set for consecutive seeds.
fn agents_to_freeze(names: &[Box<str>], seed: u64) -> Vec<Box<str>> {
    let agents = names.iter().filter(|name| name.starts_with("agent"));
    agents
        .skip((seed % FROZEN_STRIDE as u64) as usize)
        .step_by(FROZEN_STRIDE)
        .cloned()
        .collect()
}

/// Waits until `nodes` nodes report by their own metrics that `version` is active. Returns the time
/// that it took, or nothing if it took too long.
async fn wait_active(
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
                    Timer::after(POLL_INTERVAL).await;
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
    let reached = timeout(ACTIVATION_TIMEOUT, all).await;
    drop(tasks);
    reached.ok().map(|()| start.elapsed())
}

async fn config_version(client: &HttpClient, address: SocketAddr) -> u64 {
    match get_page(client, address, "/metrics").await {
        Ok((_, text)) => metric(&text, "bergamothold_config_version") as u64,
        Err(_) => 0,
    }
}

/// Counters of control traffic and store reads.
#[derive(Default)]
struct Counters {
    messages: f64,
    bytes: f64,
    reads: f64,
}

/// Sums the counters of all processes' metrics pages.
async fn read_counters(fleet: &Fleet, addresses: &[SocketAddr]) -> Result<Counters, TrialError> {
    let mut sum = Counters::default();
    for address in addresses {
        let (_, text) = get_page(fleet.client(), *address, "/metrics").await?;
        sum.messages += metric(&text, "bergamothold_control_messages_total");
        sum.bytes += metric(&text, "bergamothold_control_bytes_total");
        sum.reads += metric(&text, "bergamothold_store_reads_total");
    }
    Ok(sum)
}

/// Value of a metric on a metrics page, summed over all of its labels.
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
