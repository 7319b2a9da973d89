//! Settings of the agent's backend server, from configuration and membership.

use declarations::{Declarations, Model, Server};
use node::ClusterView;
use policy::ServerSettings;
use std::time::Duration;

/// Returns the settings of backend server `name` for the scheduler. `epoch` is the fencing number
/// of the lease, zero without one; `shutting_down` tells whether the process shuts down. If the
/// configuration does not declare the server, all other settings have their defaults.
pub fn server_settings(
    view: &ClusterView,
    name: &str,
    epoch: u64,
    shutting_down: bool,
) -> ServerSettings {
    let Some(server) = view.declared.server(name) else {
        return ServerSettings {
            epoch,
            draining: shutting_down,
            ..ServerSettings::default()
        };
    };
    let domain = view.declared.domain(&server.domain);
    let leaving = view
        .members
        .agent_of(name)
        .is_some_and(|member| member.leaving);
    ServerSettings {
        config: view.version,
        epoch,
        warm_limit: server.warm_limit,
        cold_limit: server.cold_limit,
        prefill_rate: server.prefill_rate,
        decode_interval: server
            .decode_interval_ms
            .map(|ms| Duration::from_secs_f64(ms / 1000.0)),
        memory_tokens: memory_tokens(&view.declared, server),
        can_suspend: server.can_suspend,
        domain_out: domain.is_none_or(|domain| domain.out),
        draining: server.drained || leaving || shutting_down,
    }
}

fn memory_tokens(declared: &Declarations, server: &Server) -> Option<u64> {
    if server.memory_bytes == 0 {
        return None;
    }
    let models = declared
        .models
        .iter()
        .filter(|model| may_serve(server, model));
    let kv_bytes_per_token = models.map(|model| model.kv_bytes_per_token).max()?;
    Some(server.memory_bytes / kv_bytes_per_token.max(1))
}

fn may_serve(server: &Server, model: &Model) -> bool {
    server.models.is_empty() || server.models.contains(&model.name)
}
