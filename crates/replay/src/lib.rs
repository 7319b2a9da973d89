//! Replays traces and runs the fault matrix against the policy code of bergamothold, in virtual time.
//!
//! ```
//! use replay::{Trace, replay};
//!
//! let text = r#"{"at_ms":0,"head":{"format":1,"deployment":"morska-stopa"}}
//! {"at_ms":0,"server":{"name":"d-1","domain":"trnava-b","prefill_rate":20000.0,"memory_tokens":400000,"warm_limit":8,"cold_limit":2}}
//! {"at_ms":100,"request":{"id":"r1","team":"docks","prompt_tokens":1000,"output_tokens":20,"time_ms":5000}}
//! {"at_ms":100,"expect":{"finished-at-least":1}}
//! "#;
//! let report = replay(&Trace::parse(text).unwrap());
//! assert_eq!(report.violations, [] as [String; 0]);
//! ```

mod agent_events;
mod agent_sim;
mod claim_backends;
mod claim_matrix;
mod claim_observer;
mod claim_simulation;
mod claim_types;
mod faults;
mod gateway_events;
mod matrix;
mod message;
mod observer;
mod player;
mod request_matrix;
mod request_sim;
mod simulation;

pub use claim_matrix::claim_matrix;
pub use claim_observer::claim_violations;
pub use claim_simulation::{AGENT_COUNT, ClaimSimulation};
pub use claim_types::{AttemptOutcome, ClaimCaller, ClaimFault, Injection, ServiceRun};
pub use matrix::{Cell, FaultMatrix, Verdict};
pub use message::Step;
pub use observer::{DEADLINE_GRACE, MAX_CLOSE_DELAY, MAX_COLD_REPORT_DELAY, Observer, Outcomes};
pub use player::{ReplayReport, replay};
pub use policy::{
    FaultKind, TRACE_FORMAT, Trace, TraceEnd, TraceError, TraceEvent, TraceExpect, TraceFault,
    TraceHead, TraceLine, TraceOutcome, TraceRequest, TraceServer,
};
pub use request_matrix::{request_matrix, unreported_cold_matrix};
pub use simulation::Simulation;
