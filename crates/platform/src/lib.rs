//! Clients of the platform. The table service, the object store and the host list have one trait
//! each; [`HttpPlatform`] implements all three.

mod error;
mod host_list;
mod http_platform;
mod object_store;
mod table;

pub use error::{PlatformError, PlatformOperation};
pub use host_list::{HostEntry, HostList, HostRole, HostState};
pub use http_platform::{HttpPlatform, PlatformConfig, PlatformCounters};
pub use object_store::ObjectStore;
pub use table::{CommitError, Row, RowCondition, RowVersion, RowWrite, TableService, Transaction};
