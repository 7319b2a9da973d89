//! Checks the names, values and references of the declared items.

use crate::check::RawDiagnostic;
use crate::named::Named;
use crate::section::SpannedItem;
use crate::types::{Domain, Model, Operator, Route, Rule, Server, ServerKind, Team};
use std::collections::BTreeSet;

const HASH_PREFIX: &str = "sha256:";
const HASH_DIGITS: usize = 64;

/// The items of a declarations file, by section.
#[derive(Debug)]
pub(crate) struct Sections {
    pub(crate) domains: Vec<SpannedItem<Domain>>,
    pub(crate) models: Vec<SpannedItem<Model>>,
    pub(crate) servers: Vec<SpannedItem<Server>>,
    pub(crate) teams: Vec<SpannedItem<Team>>,
    pub(crate) routes: Vec<SpannedItem<Route>>,
    pub(crate) rules: Vec<SpannedItem<Rule>>,
    pub(crate) operators: Vec<SpannedItem<Operator>>,
}

impl Sections {
    /// Reports every error. References are checked only if every item was parsed: otherwise, a
    /// reference to an item that was not parsed would be reported as a second error.
    pub(crate) fn validate(&self, with_references: bool, diagnostics: &mut Vec<RawDiagnostic>) {
        check_names(&self.domains, diagnostics);
        check_names(&self.models, diagnostics);
        check_names(&self.servers, diagnostics);
        check_names(&self.teams, diagnostics);
        check_names(&self.routes, diagnostics);
        check_names(&self.rules, diagnostics);
        check_names(&self.operators, diagnostics);
        self.check_keys(diagnostics);
        self.check_values(diagnostics);
        if with_references {
            self.check_servers(diagnostics);
            self.check_routes(diagnostics);
            self.check_rules(diagnostics);
        }
    }

    fn check_keys(&self, diagnostics: &mut Vec<RawDiagnostic>) {
        let mut seen = BTreeSet::new();
        for team in &self.teams {
            check_hashes(team, &team.value.key_hashes, &mut seen, diagnostics);
        }
        let mut seen = BTreeSet::new();
        for operator in &self.operators {
            check_hashes(operator, &operator.value.key_hashes, &mut seen, diagnostics);
        }
    }

    fn check_values(&self, diagnostics: &mut Vec<RawDiagnostic>) {
        for team in &self.teams {
            check_positive(team, "weight", u64::from(team.value.weight), diagnostics);
            if let Some(limit) = team.value.tokens_per_second {
                check_positive(team, "tokens_per_second", limit, diagnostics);
            }
        }
        for model in &self.models {
            let value = &model.value;
            check_positive(
                model,
                "kv_bytes_per_token",
                value.kv_bytes_per_token,
                diagnostics,
            );
            check_positive(model, "context_tokens", value.context_tokens, diagnostics);
        }
        for route in &self.routes {
            check_positive(
                route,
                "time_limit_ms",
                route.value.time_limit_ms,
                diagnostics,
            );
            if !route.value.path.starts_with('/') {
                diagnostics.push(RawDiagnostic::new(
                    route.field_offset("path"),
                    "a path must start with `/`",
                ));
            }
        }
    }

    fn check_servers(&self, diagnostics: &mut Vec<RawDiagnostic>) {
        let domains = name_set(&self.domains);
        let models = name_set(&self.models);
        let mut hosts = BTreeSet::new();
        for item in &self.servers {
            let server = &item.value;
            check_reference::<Domain>(
                &domains,
                &server.domain,
                item.field_offset("domain"),
                diagnostics,
            );
            check_references::<Model, _>(&models, item, "models", &server.models, diagnostics);
            if !hosts.insert(&server.host) {
                let reason = format!("host `{}` has a second backend server", server.host);
                diagnostics.push(RawDiagnostic::new(item.field_offset("host"), reason));
            }
            check_positive(
                item,
                "warm_limit",
                u64::from(server.warm_limit),
                diagnostics,
            );
            if server.cold_limit > server.warm_limit {
                let reason = "cold_limit must not be over warm_limit";
                diagnostics.push(RawDiagnostic::new(item.field_offset("cold_limit"), reason));
            }
            check_rates(item, diagnostics);
            check_server_kind(item, diagnostics);
        }
    }

    fn check_routes(&self, diagnostics: &mut Vec<RawDiagnostic>) {
        let services: BTreeSet<&str> = self
            .servers
            .iter()
            .filter_map(|item| item.value.service.as_deref())
            .collect();
        for route in &self.routes {
            let service = &*route.value.service;
            if !services.contains(service) {
                let hint = suggestion(service, services.iter().copied());
                let reason = format!("no backend server carries the service `{service}`{hint}");
                diagnostics.push(RawDiagnostic::new(route.field_offset("service"), reason));
            }
        }
    }

    fn check_rules(&self, diagnostics: &mut Vec<RawDiagnostic>) {
        let regions: BTreeSet<&str> = self.domains.iter().map(|d| &*d.value.region).collect();
        for item in &self.rules {
            let rule = &item.value;
            check_references::<Team, _>(
                &name_set(&self.teams),
                item,
                "teams",
                &rule.teams,
                diagnostics,
            );
            let models = name_set(&self.models);
            check_references::<Model, _>(&models, item, "models", &rule.models, diagnostics);
            let domains = name_set(&self.domains);
            check_references::<Domain, _>(&domains, item, "domains", &rule.domains, diagnostics);
            let servers = name_set(&self.servers);
            check_references::<Server, _>(&servers, item, "servers", &rule.servers, diagnostics);
            for (index, region) in rule.regions.iter().enumerate() {
                if !regions.contains(&**region) {
                    let hint = suggestion(region, regions.iter().copied());
                    let reason = format!("no domain lies in region `{region}`{hint}");
                    diagnostics.push(RawDiagnostic::new(
                        item.element_offset("regions", index),
                        reason,
                    ));
                }
            }
        }
    }
}

fn check_server_kind(item: &SpannedItem<Server>, diagnostics: &mut Vec<RawDiagnostic>) {
    let server = &item.value;
    let reason = match (server.kind, &server.service) {
        (ServerKind::Engine, Some(_)) => Some(("service", "an engine carries no service")),
        (ServerKind::Service, None) => Some(("kind", "a service must name its `service`")),
        (ServerKind::Service, Some(_)) if !server.models.is_empty() => {
            Some(("models", "a service carries no models"))
        }
        (ServerKind::Engine, None) if server.memory_bytes == 0 => {
            Some(("memory_bytes", "an engine must give its memory_bytes"))
        }
        _ => None,
    };
    if let Some((field, reason)) = reason {
        diagnostics.push(RawDiagnostic::new(item.field_offset(field), reason));
    }
}

fn check_rates(item: &SpannedItem<Server>, diagnostics: &mut Vec<RawDiagnostic>) {
    let fields = [
        ("prefill_rate", item.value.prefill_rate),
        ("decode_interval_ms", item.value.decode_interval_ms),
    ];
    for (field, value) in fields {
        if value.is_some_and(|value| !value.is_finite() || value <= 0.0) {
            let reason = format!("{field} must be a number over zero");
            diagnostics.push(RawDiagnostic::new(item.field_offset(field), reason));
        }
    }
}

fn name_set<T: Named>(items: &[SpannedItem<T>]) -> BTreeSet<&str> {
    items.iter().map(|item| item.value.name()).collect()
}

fn check_names<T: Named>(items: &[SpannedItem<T>], diagnostics: &mut Vec<RawDiagnostic>) {
    let mut seen = BTreeSet::new();
    for item in items {
        let name = item.value.name();
        let offset = item.field_offset(T::NAME_FIELD);
        let is_allowed = |c: char| c.is_alphanumeric() || "-_./@:".contains(c);
        if name.is_empty() || !name.chars().all(is_allowed) {
            let reason = "a name is made of letters, digits and -_./@:";
            diagnostics.push(RawDiagnostic::new(offset, reason));
        } else if !seen.insert(name) {
            let reason = format!("{} `{name}` is declared twice", T::KIND);
            diagnostics.push(RawDiagnostic::new(offset, reason));
        }
    }
}

fn check_hashes<'a, T: Named>(
    item: &SpannedItem<T>,
    hashes: &'a [Box<str>],
    seen: &mut BTreeSet<&'a str>,
    diagnostics: &mut Vec<RawDiagnostic>,
) {
    if hashes.is_empty() {
        let reason = format!("{} without a key", T::KIND);
        diagnostics.push(RawDiagnostic::new(item.field_offset("key_hashes"), reason));
    }
    for (index, hash) in hashes.iter().enumerate() {
        let digits = hash.strip_prefix(HASH_PREFIX).unwrap_or_default();
        let is_lower_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        let reason = if digits.len() != HASH_DIGITS || !digits.chars().all(is_lower_hex) {
            "a key hash is `sha256:` and 64 lower-case hexadecimal digits"
        } else if !seen.insert(hash) {
            "this key hash is used twice"
        } else {
            continue;
        };
        diagnostics.push(RawDiagnostic::new(
            item.element_offset("key_hashes", index),
            reason,
        ));
    }
}

fn check_positive<T>(
    item: &SpannedItem<T>,
    field: &str,
    value: u64,
    diagnostics: &mut Vec<RawDiagnostic>,
) {
    if value == 0 {
        let reason = format!("{field} must be over zero");
        diagnostics.push(RawDiagnostic::new(item.field_offset(field), reason));
    }
}

fn check_references<R: Named, T>(
    known: &BTreeSet<&str>,
    item: &SpannedItem<T>,
    field: &str,
    names: &[Box<str>],
    diagnostics: &mut Vec<RawDiagnostic>,
) {
    for (index, name) in names.iter().enumerate() {
        check_reference::<R>(known, name, item.element_offset(field, index), diagnostics);
    }
}

fn check_reference<R: Named>(
    known: &BTreeSet<&str>,
    name: &str,
    offset: usize,
    diagnostics: &mut Vec<RawDiagnostic>,
) {
    if !known.contains(name) {
        let hint = suggestion(name, known.iter().copied());
        let reason = format!("no {} `{name}` is declared{hint}", R::KIND);
        diagnostics.push(RawDiagnostic::new(offset, reason));
    }
}

fn suggestion<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> String {
    crate::closest_match(word, known).map_or_else(String::new, |near| format!("; `{near}` is"))
}
