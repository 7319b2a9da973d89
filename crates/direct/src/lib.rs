//! A gateway that reaches backend servers itself, on a platform where no agent stands beside
//! them.
//!
//! A request's way, one module a step: `front` (route, sender, body) → `stream` or `plain` (which
//! attempts) → `desk` (which engines, when) → `attempt` (one send) → `leg` (one engine's part of
//! a stream) → `stream` (to the caller). The decisions are those of `policy`; `adapter` knows the
//! platform's names.
//!
//! ```
//! let command = direct::command();
//! assert_eq!(command.get_name(), direct::NAME);
//! ```

mod attempt;
mod call;
mod command;
mod engine_stream;
mod event_splitter;
pub mod explain_command;
mod fleet;
mod front;
mod gateway_rows;
mod job;
mod local_reply;
mod metrics;
mod peers;
mod plain;
mod process;
mod prompt_queue;
mod reservation;
mod shared;
mod signal;
mod store_cache;
mod store_watch;
mod stream;

pub use command::{NAME, command, run};
pub use event_splitter::{EventError, EventSplitter};
pub use process::{ProcessOptions, StartError, read_settings};
