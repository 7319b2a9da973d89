//! Small stand-ins for the systems that bergamothold talks to, for tests and trials; never shipped.
//!
//! Each stand-in listens on its own address, can run in any process, and has faults that can be
//! changed while it runs. [`TableSim`] and [`EngineSim`] simulate the table service and a model
//! engine without a clock or I/O, for tests in virtual time.
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
mod completion;
mod engine_batch;
mod engine_calls;
mod engine_grants;
mod engine_http;
mod engine_orders;
mod engine_pace;
mod engine_sim;
mod engine_spec;
mod engine_standin;
mod faults;
mod host_list_standin;
mod load_report;
mod object_store_standin;
mod platform_server;
mod platform_store;
mod prefix_cache;
mod reservation_log;
mod server_behaviour;
mod service_standin;
mod stale_reads;
mod standin_server;
mod store_transaction;
mod table_sim;
mod table_standin;
mod watch_faults;
mod weight_store_standin;
mod work_log;

pub use completion::{Completion, CompletionApi, CompletionRequest};
pub use engine_orders::OrderState;
pub use engine_pace::EnginePace;
pub use engine_sim::EngineSim;
pub use engine_spec::{
    AttemptId, EngineCounts, EngineLoad, EngineOrder, EngineOutput, EngineRefusal, EngineRequest,
    EngineReservation, EngineRole, EngineSegment, EngineSpec, GrantId, PromptPrefix,
    ReservationKind,
};
pub use engine_standin::EngineStandin;
pub use faults::{FaultChange, FaultInjector, Faults};
pub use host_list_standin::{HostList, HostListStandin, ListedHost};
pub use object_store_standin::ObjectStoreStandin;
pub use platform_server::{ExecutedRequest, PlatformServer};
pub use platform_store::PlatformStore;
pub use prefix_cache::{CacheEvent, CacheEvents};
pub use reservation_log::HeldMemory;
pub use server_behaviour::{ServerBehaviour, ServerKind};
pub use service_standin::{ServiceCounts, ServiceResponse, ServiceSpec, ServiceStandin};
pub use stale_reads::{Comparisons, StaleReads};
pub use standin_server::{Call, CallError, Standin, StandinServer};
pub use table_sim::{
    TableCondition, TableCounts, TableRefusal, TableRow, TableSim, TableSpec, TableWrite,
};
pub use table_standin::TableStandin;
pub use watch_faults::{ListedVersion, QuietAnswer};
pub use weight_store_standin::{WeightStoreSpec, WeightStoreStandin};
pub use work_log::Work;
