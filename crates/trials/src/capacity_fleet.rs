//! What control costs each node by the number of nodes, with a process for each.

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
const CALLS_PER_AGENT: u64 = 8;
const CALLS_AT_ONCE: u64 = 8;
const SETTLE_TIME: Duration = Duration::from_secs(6);
const IDLE_TIME: Duration = Duration::from_secs(10);
const CHANGES: u32 = 10;
const CHANGE_TIME: Duration = Duration::from_millis(500);
const TIME_LIMIT: Duration = Duration::from_secs(30);
const KIB: f64 = 1024.0;
const MESSAGES: &str = "bergamothold_control_messages_total";
const BYTES: &str = "bergamothold_control_bytes_total";
const STORE_READS: &str = "bergamothold_store_reads_total";
const HOST_READS: &str = "bergamothold_host_list_reads_total";

/// What all nodes of one role have used, per node.
#[derive(Debug, Clone, Copy, Default)]
struct Reading {
    cpu: f64,
    resident_kib: f64,
    messages: f64,
    bytes: f64,
    store_reads: f64,
    host_reads: f64,
}

/// Measures idle nodes and changes of configuration.
pub async fn measure(executor: &Executor) -> Result<Vec<Series>, TrialError> {
    let mut all = series();
    for agents in AGENTS {
        let mut fleet = Fleet::start(executor, &fleet_config(agents)).await?;
        let nodes = fleet.names().len() as f64;
        reach_all(executor, &fleet, agents).await;
        Timer::after(SETTLE_TIME).await;
        let before = read_roles(&mut fleet).await?;
        Timer::after(IDLE_TIME).await;
        let idle = read_roles(&mut fleet).await?;
        for number in 0..CHANGES {
            fleet
                .update_config(|declared| declared.teams[0].weight = 200 + number)
                .await?;
            Timer::after(CHANGE_TIME).await;
        }
        let changed = read_roles(&mut fleet).await?;
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

fn quantities(before: Reading, idle: Reading, changed: Reading) -> [f64; 7] {
    let seconds = IDLE_TIME.as_secs_f64();
    let rate = |late: f64, early: f64| (late - early) / seconds;
    let bytes = rate(idle.bytes, before.bytes);
    let while_changing = (CHANGE_TIME * CHANGES).as_secs_f64();
    let for_changes = changed.bytes - idle.bytes - bytes * while_changing;
    [
        rate(idle.cpu, before.cpu) * 100.0,
        idle.resident_kib,
        rate(idle.messages, before.messages),
        bytes,
        rate(idle.store_reads, before.store_reads),
        rate(idle.host_reads, before.host_reads),
        for_changes / f64::from(CHANGES),
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

async fn reach_all(executor: &Executor, fleet: &Fleet, agents: usize) {
    for gateway in fleet.gateways() {
        let driver = Driver::new(executor.clone(), vec![gateway], MODEL, TEAM_KEY);
        // A few at once, so that memory for requests in flight does not grow with the fleet.
        for round in 0..agents as u64 * CALLS_PER_AGENT / CALLS_AT_ONCE {
            let calls = (0..CALLS_AT_ONCE).map(|number| {
                let seed = round * CALLS_AT_ONCE + number;
                Call::completion(MODEL, seed, 1_000, 4).time_limit(TIME_LIMIT)
            });
            driver.send_all(calls, gateway).await;
        }
    }
}

async fn read_roles(fleet: &mut Fleet) -> Result<[Reading; 2], TrialError> {
    let mut sums = [Reading::default(); 2];
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

impl Reading {
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

/// Sum of a metric over its labels.
fn metric(page: &str, name: &str) -> f64 {
    page.lines()
        .filter(|line| line.starts_with(name))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}
