//! The agent: a process beside each backend server that alone decides what the server runs.
//!
//! This crate only carries out decisions, which [`policy::Scheduler`] and the other state machines
//! of the `policy` crate make.
//!
//! ```
//! let command = agent::command();
//! assert_eq!(command.get_name(), "bergamothold-agent");
//! ```

mod agent;
mod attempt;
mod attempt_claim;
mod backend;
mod backend_run;
mod claimed_run;
mod claims;
mod cli;
mod engine_client;
mod engine_parts;
mod engine_watch;
mod lease_driver;
mod memory_driver;
mod metrics;
mod order_driver;
mod query_source;
mod registration;
mod scheduler_driver;
mod server_settings;
mod settings;
mod span_driver;
mod span_run;
mod status;

pub use agent::Agent;
pub use backend::{Backend, BackendError};
pub use claims::{ClaimDriver, ClaimVerdict};
pub use cli::{command, main};
pub use settings::AgentSettings;
