//! Code that gateways and agents share: settings, the active configuration, and membership.

mod command_driver;
mod control_metrics;
mod control_plane;
mod control_store;
mod node_settings;
mod query_source;
mod settings;
mod start_error;
mod status;
mod view;

pub use command_driver::run_command;
pub use control_metrics::ControlMetrics;
pub use control_plane::{ControlPlane, ControlPlaneParts, role_of};
pub use node_settings::{NodeSettings, node_args};
pub use policy::{CONFIG_KEY, ConfigRow};
pub use query_source::{QuerySource, host_row, refusals, reply_to_query};
pub use settings::{SettingError, SettingErrors, SettingsReader, flag};
pub use start_error::{StartError, load_identity};
pub use status::{json_response, metrics_response, text_response};
pub use view::{ClusterView, SharedClusterView};
