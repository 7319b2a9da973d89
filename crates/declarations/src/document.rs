//! A declarations file, and how it is applied to the active declarations.

use crate::check::Diagnostics;
use crate::named::Named;
use crate::section::SpannedItem;
use crate::types::Declarations;
use crate::validate::Sections;
use std::collections::BTreeSet;

/// A parsed declarations file. Remembers for which items the file itself sets the states that
/// operators otherwise change by command.
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    /// The content of the file. `out` and `drained` are `false` where the file leaves them out.
    pub declared: Declarations,
    /// Names of the domains for which the file sets `out`.
    domains_setting_out: BTreeSet<Box<str>>,
    /// Names of the backend servers for which the file sets `drained`.
    servers_setting_drained: BTreeSet<Box<str>>,
}

impl Document {
    /// Parses and validates TOML text.
    ///
    /// # Errors
    ///
    /// Returns every error of the text, not only the first.
    pub fn parse(text: &str) -> Result<Self, Diagnostics> {
        crate::check::parse(text)
    }

    /// Returns the declarations that result from applying the file to the active ones, sorted by
    /// name.
    ///
    /// A domain that operators took out of service stays out, and a drained server stays drained,
    /// unless the file sets `out` or `drained` itself. Otherwise, applying a file could bring a
    /// domain back into service by accident.
    pub fn apply_to(&self, active: &Declarations) -> Declarations {
        let mut result = self.declared.clone();
        for domain in &mut result.domains {
            if !self.domains_setting_out.contains(&domain.name) {
                domain.out = active.domain(&domain.name).is_some_and(|old| old.out);
            }
        }
        for server in &mut result.servers {
            if !self.servers_setting_drained.contains(&server.name) {
                server.drained = active.server(&server.name).is_some_and(|old| old.drained);
            }
        }
        result.sorted()
    }

    pub(crate) fn from_sections(sections: Sections) -> Self {
        let domains_setting_out = names_with_field(&sections.domains, "out");
        let servers_setting_drained = names_with_field(&sections.servers, "drained");
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
            domains_setting_out,
            servers_setting_drained,
        }
    }
}

fn values<T>(items: Vec<SpannedItem<T>>) -> Vec<T> {
    items.into_iter().map(|item| item.value).collect()
}

fn names_with_field<T: Named>(items: &[SpannedItem<T>], field: &str) -> BTreeSet<Box<str>> {
    items
        .iter()
        .filter(|item| item.has_field(field))
        .map(|item| item.value.name().into())
        .collect()
}
