//! A file of declarations as it stands to what is in force.

use crate::check::Diagnostics;
use crate::named::Named;
use crate::section::Item;
use crate::types::Declarations;
use crate::validate::Sections;
use std::collections::BTreeSet;

/// A file of declarations, and which of the states that commands set it gives itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    /// What the file declares.
    pub declared: Declarations,
    stated_domains: BTreeSet<Box<str>>,
    stated_servers: BTreeSet<Box<str>>,
}

impl Document {
    /// Parses and validates TOML text; reports all faults at once.
    pub fn parse(text: &str) -> Result<Self, Diagnostics> {
        crate::check::parse(text)
    }

    /// The declarations that applying the file to those in force leads to.
    ///
    /// A domain that operators took out stays out, and a drained server drained, unless the file
    /// gives `out` or `drained` itself: applying a file must not bring a domain back by accident.
    pub fn apply_to(&self, in_force: &Declarations) -> Declarations {
        let mut result = self.declared.clone();
        for domain in &mut result.domains {
            if !self.stated_domains.contains(&domain.name) {
                domain.out = in_force.domain(&domain.name).is_some_and(|old| old.out);
            }
        }
        for server in &mut result.servers {
            if !self.stated_servers.contains(&server.name) {
                server.drained = in_force.server(&server.name).is_some_and(|old| old.drained);
            }
        }
        result.sorted()
    }

    pub(crate) fn from_sections(sections: Sections) -> Self {
        let stated_domains = stating(&sections.domains, "out");
        let stated_servers = stating(&sections.servers, "drained");
        let declared = Declarations {
            domains: values(sections.domains),
            models: values(sections.models),
            servers: values(sections.servers),
            teams: values(sections.teams),
            routes: values(sections.routes),
            rules: values(sections.rules),
            operators: values(sections.operators),
        };
        Self {
            declared,
            stated_domains,
            stated_servers,
        }
    }
}

fn values<T>(items: Vec<Item<T>>) -> Vec<T> {
    items.into_iter().map(|item| item.value).collect()
}

fn stating<T: Named>(items: &[Item<T>], field: &str) -> BTreeSet<Box<str>> {
    items
        .iter()
        .filter(|item| item.states(field))
        .map(|item| item.value.name().into())
        .collect()
}
