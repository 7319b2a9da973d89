//! Measures the cost of the control plane for each node in fleets of several sizes, with one
//! process per node.

use crate::caller::Call;
use crate::driver::Driver;
use crate::error::TrialError;
use crate::fleet::Fleet;
use crate::fleet_config::{Backend, FleetConfig, MODEL, TEAM_KEY};
use crate::process::ResourceUsage;
use crate::slope::Series;
use async_io::Timer;
use runtime::Executor;
use std::time::Duration;

const AGENTS: [usize; 4] = [8, 16, 32, 64];
const REQUESTS_PER_AGENT: u64 = 8;
const CONCURRENT_REQUESTS: u64 = 8;
const SETTLE_TIME: Duration = Duration::from_secs(6);
const IDLE_TIME: Duration = Duration::from_secs(10);
const CHANGES: u32 = 10;
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);
const TIME_LIMIT: Duration = Duration::from_secs(30);
const KIB: f64 = 1024.0;
const MESSAGES: &str = "bergamothold_control_messages_total";
const BYTES: &str = "bergamothold_control_bytes_total";
const STORE_READS: &str = "bergamothold_store_reads_total";
const HOST_READS: &str = "bergamothold_host_list_reads_total";

/// Mean resource usage of the nodes of one role since they started.
#[derive(Debug, Clone, Copy, Default)]
struct NodeUsage {
    /// Processor time in seconds.
    cpu: f64,
    resident_kib: f64,
    messages: f64,
    bytes: f64,
    store_reads: f64,
    host_reads: f64,
}

/// Measures nodes while they are idle and while the configuration changes.
pub async fn measure(executor: &Executor) -> Result<Vec<Series>, TrialError> {
    let mut all = series();
    for agents in AGENTS {
        let mut fleet = Fleet::start(executor, &fleet_config(agents)).await?;
        let nodes = fleet.names().len() as f64;
        send_through_all_gateways(executor, &fleet, agents).await;
        Timer::after(SETTLE_TIME).await;
        let before = usage_by_role(&mut fleet).await?;
        Timer::after(IDLE_TIME).await;
        let idle = usage_by_role(&mut fleet).await?;
        for number in 0..CHANGES {
            fleet
                .update_config(|declared| declared.teams[0].weight = 200 + number)
                .await?;
            Timer::after(CHANGE_INTERVAL).await;
        }
        let changed = usage_by_role(&mut fleet).await?;
        let hosts =
            crate::get_page(fleet.client(), fleet.platform.addresses().hosts, "/hosts").await?;
        for (role, offset) in [(0, 0), (1, 7)] {
            let values = quantities(before[role], idle[role], changed[role]);
            for (index, value) in values.into_iter().enumerate() {
                all[offset + index].push(nodes, value);
            }
        }
        all[14].push(nodes, hosts.1.len() as f64 / 1e3);
    }
    Ok(all)
}

fn series() -> Vec<Series> {
    let per = "node";
    let mut all = Vec::new();
    for names in [
        [
            "gateway idle processor time",
            "gateway memory",
            "gateway control messages",
            "gateway control bytes",
            "gateway table reads",
            "gateway host list reads",
            "gateway bytes for a change",
        ],
        [
            "agent idle processor time",
            "agent memory",
            "agent control messages",
            "agent control bytes",
            "agent table reads",
            "agent host list reads",
            "agent bytes for a change",
        ],
    ] {
        let units = ["% of a core", "KiB", "1/s", "B/s", "1/s", "1/s", "B"];
        let pairs = names.into_iter().zip(units);
        all.extend(pairs.map(|(name, unit)| Series::new(name, unit, per)));
    }
    all.push(Series::new("host list", "KB", per));
    all
}

/// Quantities of one role, in the order of [`series`].
fn quantities(before: NodeUsage, idle: NodeUsage, changed: NodeUsage) -> [f64; 7] {
    let seconds = IDLE_TIME.as_secs_f64();
    let rate = |end: f64, start: f64| (end - start) / seconds;
    let bytes = rate(idle.bytes, before.bytes);
    let change_seconds = (CHANGE_INTERVAL * CHANGES).as_secs_f64();
    let change_bytes = changed.bytes - idle.bytes - bytes * change_seconds;
    [
        rate(idle.cpu, before.cpu) * 100.0,
        idle.resident_kib,
        rate(idle.messages, before.messages),
        bytes,
        rate(idle.store_reads, before.store_reads),
        rate(idle.host_reads, before.host_reads),
        change_bytes / f64::from(CHANGES),
    ]
}

fn fleet_config(agents: usize) -> FleetConfig {
    let mut cfg = FleetConfig::small();
    let domains: Vec<Box<str>> = cfg
        .base_declarations
        .domains
        .iter()
        .map(|domain| domain.name.clone())
        .collect();
    let engine = |number: usize| {
        Backend::engine(
            &format!("engine-{number:03}"),
            &domains[number % domains.len()],
        )
    };
    cfg.backends = (0..agents).map(engine).collect();
    cfg
}

async fn send_through_all_gateways(executor: &Executor, fleet: &Fleet, agents: usize) {
    for gateway in fleet.gateways() {
        let driver = Driver::new(executor.clone(), vec![gateway], MODEL, TEAM_KEY);
        // A constant number at a time, so that the memory for active requests does not grow with
        // the fleet.
        for round in 0..agents as u64 * REQUESTS_PER_AGENT / CONCURRENT_REQUESTS {
            let calls = (0..CONCURRENT_REQUESTS).map(|number| {
                let seed = round * CONCURRENT_REQUESTS + number;
                Call::completion(MODEL, seed, 1_000, 4).time_limit(TIME_LIMIT)
            });
            driver.send_all(calls, gateway).await;
        }
    }
}

/// Mean usage of the gateways and of the agents, in this order.
async fn usage_by_role(fleet: &mut Fleet) -> Result<[NodeUsage; 2], TrialError> {
    let mut sums = [NodeUsage::default(); 2];
    let mut counts = [0.0; 2];
    for name in fleet.names() {
        let role = usize::from(name.starts_with("agent"));
        let usage = fleet.usage(&name)?;
        let (_, page) = fleet.get_page(&name, "/metrics").await?;
        sums[role].add(usage, &page);
        counts[role] += 1.0;
    }
    Ok([sums[0].mean(counts[0]), sums[1].mean(counts[1])])
}

impl NodeUsage {
    fn add(&mut self, usage: ResourceUsage, page: &str) {
        self.cpu += usage.cpu.as_secs_f64();
        self.resident_kib += usage.resident_bytes as f64 / KIB;
        self.messages += metric(page, MESSAGES);
        self.bytes += metric(page, BYTES);
        self.store_reads += metric(page, STORE_READS);
        self.host_reads += metric(page, HOST_READS);
    }

    fn mean(self, count: f64) -> Self {
        Self {
            cpu: self.cpu / count,
            resident_kib: self.resident_kib / count,
            messages: self.messages / count,
            bytes: self.bytes / count,
            store_reads: self.store_reads / count,
            host_reads: self.host_reads / count,
        }
    }
}

/// Sum of a metric over all its label values.
fn metric(page: &str, name: &str) -> f64 {
    page.lines()
        .filter(|line| line.starts_with(name))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}
