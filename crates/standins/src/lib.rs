//! Small stand-ins for the systems that bergamothold meets; never shipped.
//!
//! Each listens on an address of its own, can be hosted in any process, and has faults that are
//! switched while it runs. [`TableModel`] and [`EngineModel`] hold what they do as values, for
//! tests in virtual time.
//!
//! ```
//! use runtime::Executor;
//! use standins::{FaultChange, TableStandin};
//!
//! Executor::run(1, |executor| async move {
//!     let table = TableStandin::bind(&executor, ([127, 0, 0, 1], 0).into()).unwrap();
//!     table.change_faults(&FaultChange { down: Some(true), ..FaultChange::default() });
//!     assert_ne!(table.local_addr().port(), 0);
//! });
//! ```

pub mod cli;
mod engine_answer;
mod engine_batch;
mod engine_calls;
mod engine_grants;
mod engine_http;
mod engine_model;
mod engine_orders;
mod engine_spec;
mod engine_standin;
mod faults;
mod host;
mod host_standin;
mod load_report;
mod object_standin;
mod platform_server;
mod platform_store;
mod prefix_cache;
mod service_standin;
mod table_model;
mod table_standin;
mod weight_standin;

pub use engine_answer::{Answer, AnswerForm, Prompt};
pub use engine_model::EngineModel;
pub use engine_orders::OrderState;
pub use engine_spec::{
    AttemptName, EngineCounts, EngineHolding, EngineLoad, EngineOrder, EngineOutput, EngineRefusal,
    EngineRequest, EngineRole, EngineSegment, EngineSpec, GrantName, HoldingKind, PrefixBlock,
};
pub use engine_standin::EngineStandin;
pub use faults::{FaultChange, FaultSwitch, Faults};
pub use host::{Call, CallError, Hosted, Stand};
pub use host_standin::{HostStandin, ListedHost, ListedHosts};
pub use object_standin::ObjectStandin;
pub use platform_server::{PlatformServer, ServerConduct, ServerKind, ServerRun};
pub use platform_store::PlatformStore;
pub use prefix_cache::{CacheEvent, CacheEvents};
pub use service_standin::{ServiceAnswer, ServiceCounts, ServiceSpec, ServiceStandin};
pub use table_model::{
    TableCondition, TableCounts, TableModel, TableRefusal, TableRow, TableSpec, TableWrite,
};
pub use table_standin::TableStandin;
pub use weight_standin::{WeightSpec, WeightStandin};
