//! The gateway of bergamothold and its operator commands.
//!
//! This package does only I/O: [`policy::Router`] selects backend servers, and
//! [`policy::RetryBudget`] decides which attempts may be retried.
//!
//! ```
//! let command = gateway::command();
//! assert_eq!(command.get_name(), "bergamothold");
//! ```

mod active_requests;
mod apply_command;
mod attempt;
mod caller_api;
mod caller_error;
mod caller_request;
mod check_command;
mod cli;
mod completion_body;
mod delivery;
mod gateway;
mod keys_command;
mod metrics;
mod operator_api;
mod operator_client;
mod operator_response;
mod pools;
mod query_command;
mod query_driver;
mod response;
mod run_record;
mod serve_command;
mod settings;
mod team_limits;
mod trace_recorder;

pub use caller_error::{CallerError, ErrorBody};
pub use cli::{command, main};
pub use completion_body::CompletionBody;
pub use gateway::Gateway;
pub use settings::GatewaySettings;
