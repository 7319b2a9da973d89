//! Lookup of the virtual-time scenarios by name.

use crate::sim_report::SimReport;
use crate::{sim_cold_start, sim_flood, sim_mixed, sim_overload, sim_retry_storm};

type RunFn = fn(u64) -> SimReport;

const SCENARIOS: [(&str, RunFn); 5] = [
    ("mixed", sim_mixed::run),
    ("flood", sim_flood::run),
    ("cold-start", sim_cold_start::run),
    ("retry-storm", sim_retry_storm::run),
    ("overload", sim_overload::run),
];

/// Names that [`run_sim_scenario`] accepts.
pub fn sim_scenario_names() -> Vec<&'static str> {
    SCENARIOS.iter().map(|(name, _)| *name).collect()
}

/// Runs the scenario with this name; `None` if there is none.
pub fn run_sim_scenario(name: &str, seed: u64) -> Option<SimReport> {
    let found = SCENARIOS.iter().find(|(known, _)| *known == name);
    found.map(|(_, run)| run(seed))
}
