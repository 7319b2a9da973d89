//! What must hold between the declared things.

use crate::check::RawDiagnostic;
use crate::named::Named;
use crate::section::Item;
use crate::types::{Domain, Model, Operator, Route, Rule, Server, ServerKind, Team};
use std::collections::BTreeSet;

const HASH_PREFIX: &str = "sha256:";
const HASH_DIGITS: usize = 64;

/// All sections of a text.
#[derive(Debug)]
pub(crate) struct Sections {
    pub(crate) domains: Vec<Item<Domain>>,
    pub(crate) models: Vec<Item<Model>>,
    pub(crate) servers: Vec<Item<Server>>,
    pub(crate) teams: Vec<Item<Team>>,
    pub(crate) routes: Vec<Item<Route>>,
    pub(crate) rules: Vec<Item<Rule>>,
    pub(crate) operators: Vec<Item<Operator>>,
}

impl Sections {
    /// Notes every fault. References are checked only where every item could be read, since a
    /// reference to an item with a fault would be reported as a second one.
    pub(crate) fn validate(&self, with_references: bool, faults: &mut Vec<RawDiagnostic>) {
        check_names(&self.domains, faults);
        check_names(&self.models, faults);
        check_names(&self.servers, faults);
        check_names(&self.teams, faults);
        check_names(&self.routes, faults);
        check_names(&self.rules, faults);
        check_names(&self.operators, faults);
        self.check_keys(faults);
        self.check_values(faults);
        if with_references {
            self.check_servers(faults);
            self.check_routes(faults);
            self.check_rules(faults);
        }
    }

    fn check_keys(&self, faults: &mut Vec<RawDiagnostic>) {
        let mut seen = BTreeSet::new();
        for team in &self.teams {
            check_hashes(team, &team.value.key_hashes, &mut seen, faults);
        }
        let mut seen = BTreeSet::new();
        for operator in &self.operators {
            check_hashes(operator, &operator.value.key_hashes, &mut seen, faults);
        }
    }

    fn check_values(&self, faults: &mut Vec<RawDiagnostic>) {
        for team in &self.teams {
            check_positive(team, "weight", u64::from(team.value.weight), faults);
            if let Some(limit) = team.value.tokens_per_second {
                check_positive(team, "tokens_per_second", limit, faults);
            }
        }
        for model in &self.models {
            let value = &model.value;
            check_positive(
                model,
                "kv_bytes_per_token",
                value.kv_bytes_per_token,
                faults,
            );
            check_positive(model, "context_tokens", value.context_tokens, faults);
        }
        for route in &self.routes {
            check_positive(route, "time_limit_ms", route.value.time_limit_ms, faults);
            if !route.value.path.starts_with('/') {
                faults.push(RawDiagnostic::new(
                    route.at("path"),
                    "a path must start with `/`",
                ));
            }
        }
    }

    fn check_servers(&self, faults: &mut Vec<RawDiagnostic>) {
        let domains = names(&self.domains);
        let models = names(&self.models);
        let mut hosts = BTreeSet::new();
        for item in &self.servers {
            let server = &item.value;
            check_reference::<Domain>(&domains, &server.domain, item.at("domain"), faults);
            check_references::<Model, _>(&models, item, "models", &server.models, faults);
            if !hosts.insert(&server.host) {
                let reason = format!("host `{}` has a second backend server", server.host);
                faults.push(RawDiagnostic::new(item.at("host"), reason));
            }
            check_positive(item, "warm_limit", u64::from(server.warm_limit), faults);
            if server.cold_limit > server.warm_limit {
                let reason = "cold_limit must not be over warm_limit";
                faults.push(RawDiagnostic::new(item.at("cold_limit"), reason));
            }
            check_pace(item, faults);
            check_kind(item, faults);
        }
    }

    fn check_routes(&self, faults: &mut Vec<RawDiagnostic>) {
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
                faults.push(RawDiagnostic::new(route.at("service"), reason));
            }
        }
    }

    fn check_rules(&self, faults: &mut Vec<RawDiagnostic>) {
        let regions: BTreeSet<&str> = self.domains.iter().map(|d| &*d.value.region).collect();
        for item in &self.rules {
            let rule = &item.value;
            check_references::<Team, _>(&names(&self.teams), item, "teams", &rule.teams, faults);
            let models = names(&self.models);
            check_references::<Model, _>(&models, item, "models", &rule.models, faults);
            let domains = names(&self.domains);
            check_references::<Domain, _>(&domains, item, "domains", &rule.domains, faults);
            let servers = names(&self.servers);
            check_references::<Server, _>(&servers, item, "servers", &rule.servers, faults);
            for (index, region) in rule.regions.iter().enumerate() {
                if !regions.contains(&**region) {
                    let hint = suggestion(region, regions.iter().copied());
                    let reason = format!("no domain lies in region `{region}`{hint}");
                    faults.push(RawDiagnostic::new(
                        item.at_element("regions", index),
                        reason,
                    ));
                }
            }
        }
    }
}

fn check_kind(item: &Item<Server>, faults: &mut Vec<RawDiagnostic>) {
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
        faults.push(RawDiagnostic::new(item.at(field), reason));
    }
}

fn check_pace(item: &Item<Server>, faults: &mut Vec<RawDiagnostic>) {
    let fields = [
        ("prefill_rate", item.value.prefill_rate),
        ("decode_interval_ms", item.value.decode_interval_ms),
    ];
    for (field, value) in fields {
        if value.is_some_and(|value| !value.is_finite() || value <= 0.0) {
            let reason = format!("{field} must be a number over zero");
            faults.push(RawDiagnostic::new(item.at(field), reason));
        }
    }
}

fn names<T: Named>(items: &[Item<T>]) -> BTreeSet<&str> {
    items.iter().map(|item| item.value.name()).collect()
}

fn check_names<T: Named>(items: &[Item<T>], faults: &mut Vec<RawDiagnostic>) {
    let mut seen = BTreeSet::new();
    for item in items {
        let name = item.value.name();
        let at = item.at(T::NAME_FIELD);
        let fits = |c: char| c.is_alphanumeric() || "-_./@:".contains(c);
        if name.is_empty() || !name.chars().all(fits) {
            let reason = "a name is made of letters, digits and -_./@:";
            faults.push(RawDiagnostic::new(at, reason));
        } else if !seen.insert(name) {
            let reason = format!("{} `{name}` is declared twice", T::KIND);
            faults.push(RawDiagnostic::new(at, reason));
        }
    }
}

fn check_hashes<'a, T: Named>(
    item: &Item<T>,
    hashes: &'a [Box<str>],
    seen: &mut BTreeSet<&'a str>,
    faults: &mut Vec<RawDiagnostic>,
) {
    if hashes.is_empty() {
        let reason = format!("{} without a key", T::KIND);
        faults.push(RawDiagnostic::new(item.at("key_hashes"), reason));
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
        faults.push(RawDiagnostic::new(
            item.at_element("key_hashes", index),
            reason,
        ));
    }
}

fn check_positive<T>(item: &Item<T>, field: &str, value: u64, faults: &mut Vec<RawDiagnostic>) {
    if value == 0 {
        let reason = format!("{field} must be over zero");
        faults.push(RawDiagnostic::new(item.at(field), reason));
    }
}

fn check_references<R: Named, T>(
    known: &BTreeSet<&str>,
    item: &Item<T>,
    field: &str,
    names: &[Box<str>],
    faults: &mut Vec<RawDiagnostic>,
) {
    for (index, name) in names.iter().enumerate() {
        check_reference::<R>(known, name, item.at_element(field, index), faults);
    }
}

fn check_reference<R: Named>(
    known: &BTreeSet<&str>,
    name: &str,
    at: usize,
    faults: &mut Vec<RawDiagnostic>,
) {
    if !known.contains(name) {
        let hint = suggestion(name, known.iter().copied());
        let reason = format!("no {} `{name}` is declared{hint}", R::KIND);
        faults.push(RawDiagnostic::new(at, reason));
    }
}

fn suggestion<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> String {
    crate::closest_match(word, known).map_or_else(String::new, |near| format!("; `{near}` is"))
}
