//! Checks on which backend servers a request may run.

use declarations::{Declarations, Rule, Server, ServerKind};

/// Whether a backend server serves the given model or, if no model is given, the given service. An
/// engine without a list of models serves every model.
pub fn serves(server: &Server, model: Option<&str>, service: Option<&str>) -> bool {
    match (server.kind, model) {
        (ServerKind::Engine, Some(model)) => {
            server.models.is_empty() || server.models.iter().any(|name| &**name == model)
        }
        (ServerKind::Service, None) => server.service.as_deref() == service,
        _ => false,
    }
}

/// Whether every rule that applies to the team and model allows the backend server.
pub fn rules_allow(
    declared: &Declarations,
    team: &str,
    model: Option<&str>,
    server: &Server,
) -> bool {
    declared
        .rules
        .iter()
        .filter(|rule| covers(rule, team, model))
        .all(|rule| {
            let region = declared
                .domain(&server.domain)
                .map_or("", |domain| &*domain.region);
            allows(&rule.regions, region)
                && allows(&rule.domains, &server.domain)
                && allows(&rule.servers, &server.name)
        })
}

fn covers(rule: &Rule, team: &str, model: Option<&str>) -> bool {
    let model_covered = match model {
        Some(model) => allows(&rule.models, model),
        None => rule.models.is_empty(),
    };
    allows(&rule.teams, team) && model_covered
}

fn allows(names: &[Box<str>], name: &str) -> bool {
    names.is_empty() || names.iter().any(|allowed| &**allowed == name)
}
