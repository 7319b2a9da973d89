//! What the configuration and membership say of this agent's backend server.

use declarations::{Declarations, Model, Server};
use node::ClusterView;
use policy::ServerSettings;
use std::time::Duration;

/// Facts for the scheduler. `stopping` tells whether the process shuts down.
pub fn server_settings(
    view: &ClusterView,
    name: &str,
    epoch: u64,
    stopping: bool,
) -> ServerSettings {
    let Some(server) = view.declared.server(name) else {
        return ServerSettings {
            epoch,
            draining: stopping,
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
        draining: server.drained || leaving || stopping,
    }
}

fn memory_tokens(declared: &Declarations, server: &Server) -> Option<u64> {
    if server.memory_bytes == 0 {
        return None;
    }
    let served = declared
        .models
        .iter()
        .filter(|model| is_listed(server, model));
    let bytes = served.map(|model| model.kv_bytes_per_token).max()?;
    Some(server.memory_bytes / bytes.max(1))
}

fn is_listed(server: &Server, model: &Model) -> bool {
    server.models.is_empty() || server.models.contains(&model.name)
}
