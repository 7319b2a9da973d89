//! Runs a local fleet of the shipped binaries and load scenarios against it. Not part of a release.
//!
//! ```no_run
//! use runtime::Executor;
//! use trials::{Call, Fleet, FleetConfig, MODEL, TEAM_KEY};
//! use std::time::Instant;
//!
//! Executor::run(4, |executor| async move {
//!     let mut fleet = Fleet::start(&executor, &FleetConfig::small()).await.unwrap();
//!     let call = Call::completion(MODEL, 1, 1_000, 16).key(TEAM_KEY);
//!     let gateway = fleet.gateways()[0];
//!     let outcome = call.run(&executor, fleet.client(), gateway, Instant::now()).await;
//!     assert!(outcome.end.is_whole());
//!     fleet.kill("agent-engine-nitra-c-1");
//! });
//! ```

mod binaries;
mod caller;
mod capacity;
mod capacity_decisions;
mod capacity_fleet;
mod capacity_links;
mod capacity_load;
mod capacity_placement;
mod capacity_state;
mod capacity_sum;
mod config_spread;
mod direct_gateway;
mod direct_rig;
mod direct_soak;
mod domain_out;
mod driver;
mod error;
mod fault_proxy;
mod figures;
mod fleet;
mod fleet_config;
mod hostile_bytes;
mod hostile_peers;
mod long_span;
mod loopback;
mod mixed_lengths;
mod node;
mod operator;
mod overhead;
mod plan;
mod platform_stand_ins;
mod process;
mod report;
mod scenario;
mod sim_cold_start;
mod sim_content;
mod sim_figures;
mod sim_fleet;
mod sim_flood;
mod sim_gateway;
mod sim_mixed;
mod sim_overload;
mod sim_report;
mod sim_retry_storm;
mod sim_scenario;
mod sim_server;
mod sim_trace;
mod sized_declarations;
mod slope;
mod soak_checks;
mod temp_dir;
mod wait_until;

pub use binaries::{Binaries, build_command, workspace};
pub use caller::{Call, End, Outcome};
pub use capacity::Capacity;
pub use capacity_sum::CapacityLine;
pub use direct_gateway::{CallerAnswer, DirectCaller, DirectGateway, RIG_HOST};
pub use direct_rig::DirectRig;
pub use direct_soak::{SoakFigures, SoakPlan, run_soak};
pub use driver::{Driver, Sample, Summary, quantile_ms};
pub use error::TrialError;
pub use fault_proxy::{FaultProxy, LinkFault};
pub use figures::{Bound, Figures};
pub use fleet::{Fleet, get_page};
pub use fleet_config::{
    Backend, BackendStandIn, FleetConfig, MODEL, OPERATOR_KEY, PlatformSpec, SERVICE_PATH, TEAM_KEY,
};
pub use hostile_bytes::HostileBytes;
pub use hostile_peers::{HostileFigures, run_hostile_peers};
pub use loopback::spawn_lock;
pub use node::{Node, NodeConfig, PlatformAddresses};
pub use operator::{Operator, OperatorReply};
pub use plan::{Arrival, LoadPlan, RequestClass};
pub use platform_stand_ins::{BackendStandIns, PlatformStandIns};
pub use process::{Process, ResourceUsage};
pub use report::html_report;
pub use scenario::{Scenario, ScenarioConfig};
pub use sim_content::{SimContentFigures, SimContentPlan, run_sim_content};
pub use sim_figures::{SimEnd, SimFigures, SimOutcome, has_long_prompt, has_short_prompt};
pub use sim_fleet::{SimFault, SimFleet, SimPlan};
pub use sim_gateway::SimPolicy;
pub use sim_report::{SimBound, SimReport};
pub use sim_scenario::{run_sim_scenario, sim_scenario_names};
pub use sim_trace::{SimRequest, TraceSpec};
pub use sized_declarations::{build_declarations, members_of, with_servers, with_teams};
pub use slope::{LinearFit, Series};
pub use temp_dir::TempDir;
pub use wait_until::wait_until;
