//! Clients of the platform, which provides a table service, an object store and a host list. Each
//! of these services has a trait; [`HttpPlatform`] implements all three.

mod error;
mod host_list;
mod http_platform;
mod object_store;
mod table;

pub use error::{PlatformError, PlatformOperation};
pub use host_list::{HostEntry, HostList, HostListing, HostRole, HostState};
pub use http_platform::{HttpPlatform, PlatformConfig, PlatformCounters};
pub use object_store::ObjectStore;
pub use table::{CommitError, Row, RowCondition, RowVersion, RowWrite, TableService, Transaction};
