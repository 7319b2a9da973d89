//! A gateway that sends requests to backend servers itself, for a platform on which no agents run
//! beside the servers.
//!
//! A request passes these modules: `front` (finds route and team, reads the body) → `stream` or
//! `plain` (retries and failover) → `prompt_queue` (waits for engines) or
//! `plain_server` (chooses among other servers) → `attempt` (sends to one
//! server) → `server_stream` (reads one server's stream) → `stream` (relays to the caller). The
//! decisions are made by `policy`; `adapter` implements the protocols of the platform.
//!
//! ```
//! let command = direct::command();
//! assert_eq!(command.get_name(), direct::NAME);
//! ```

mod absent_rows;
mod answer_body;
mod answer_memory;
mod assignment;
mod assignment_pass;
mod attempt;
mod blocked_rows;
mod broadcast;
mod call;
mod call_tries;
mod checked_rows;
mod command;
mod confirmation;
mod content_metrics;
mod content_stream;
mod content_sync;
mod crash_guard;
mod declarations_row;
mod event_splitter;
pub mod explain_command;
mod fleet;
mod front;
mod gateway_rows;
mod hold_notices;
mod job;
mod local_reply;
mod lost_rows;
mod metrics;
mod news_stream;
mod on_silence;
mod open_calls;
mod own_row;
mod peer_content;
mod peer_streams;
mod peers;
mod plain;
mod plain_server;
mod possible_run;
mod process;
mod prompt_queue;
mod prompt_request;
mod request_limit;
mod reservation;
mod retry_budgets;
mod run_end;
mod send_permit;
mod send_slots;
mod server_failure;
mod server_pause;
mod server_probe;
mod server_stream;
mod shared;
mod signal;
mod stalls;
mod store_cache;
mod store_check;
mod store_watch;
mod stream;
mod stream_buffers;
mod stream_item;
mod stream_resume;
mod stream_start;
mod tried_servers;
mod unknown_peers;
mod unlisted_gateways;
mod waiting_news;

pub use command::{NAME, command, run};
pub use event_splitter::{EventError, EventSplitter};
pub use process::{ProcessOptions, StartError, read_settings};
