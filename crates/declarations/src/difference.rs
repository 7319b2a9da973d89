//! Differences between two versions of the declarations.

use crate::named::Named;
use crate::types::{Declarations, Domain, Model, Operator, Route, Rule, Server, Team};
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};

/// Changes to one section.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(bound = "T: Serialize + serde::de::DeserializeOwned")]
pub struct SectionChange<T> {
    /// New and changed items, with all their fields.
    #[serde(default = "Vec::new", skip_serializing_if = "Vec::is_empty")]
    pub set: Vec<T>,
    /// Names of the items that no longer exist.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<Box<str>>,
}

impl<T> Default for SectionChange<T> {
    fn default() -> Self {
        Self {
            set: Vec::new(),
            removed: Vec::new(),
        }
    }
}

impl<T: Named + Clone + PartialEq> SectionChange<T> {
    /// Whether the section is unchanged.
    pub fn is_empty(&self) -> bool {
        self.set.is_empty() && self.removed.is_empty()
    }

    /// Compares two versions of a section. Both must be sorted by name.
    fn between(old: &[T], new: &[T]) -> Self {
        let index_of = |items: &[T], name: &str| {
            let index = items.binary_search_by(|item| item.name().cmp(name));
            index.ok()
        };
        let set = new
            .iter()
            .filter(|item| index_of(old, item.name()).is_none_or(|index| old[index] != **item));
        let removed = old
            .iter()
            .filter(|item| index_of(new, item.name()).is_none());
        Self {
            set: set.cloned().collect(),
            removed: removed.map(|item| item.name().into()).collect(),
        }
    }

    /// Applies the changes to `items`, which must be sorted by name.
    fn apply(&self, items: &mut Vec<T>) {
        items.retain(|item| !self.removed.iter().any(|name| **name == *item.name()));
        for item in &self.set {
            match items.binary_search_by(|old| old.name().cmp(item.name())) {
                Ok(index) => items[index] = item.clone(),
                Err(index) => items.insert(index, item.clone()),
            }
        }
    }

    fn push_summary(&self, old: &[T], out: &mut Vec<String>) {
        for name in &self.removed {
            out.push(format!("- {} {name}", T::KIND));
        }
        for item in &self.set {
            let existed = old.iter().any(|old| old.name() == item.name());
            let sign = if existed { '~' } else { '+' };
            out.push(format!("{sign} {} {}", T::KIND, item.name()));
        }
    }
}

macro_rules! difference {
    ($($section:ident: $kind:ident, $doc:literal;)*) => {
        /// Changes from one version of the declarations to another.
        #[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
        #[serde(default)]
        pub struct Difference {
            $(
                #[doc = $doc]
                #[serde(skip_serializing_if = "SectionChange::is_empty")]
                pub $section: SectionChange<$kind>,
            )*
        }

        impl Difference {
            /// Computes the changes that turn `old` into `new`.
            pub fn between(old: &Declarations, new: &Declarations) -> Self {
                let old = old.clone().sorted();
                let new = new.clone().sorted();
                Self { $($section: SectionChange::between(&old.$section, &new.$section),)* }
            }

            /// Whether both versions are the same.
            pub fn is_empty(&self) -> bool {
                $(self.$section.is_empty())&&*
            }

            /// Applies the changes to `old` and returns the result, sorted by name.
            pub fn apply(&self, old: &Declarations) -> Declarations {
                let mut result = old.clone().sorted();
                $(self.$section.apply(&mut result.$section);)*
                result
            }

            /// Summarizes the changes, one line each. `old` tells new items from changed ones.
            pub fn summary(&self, old: &Declarations) -> DifferenceSummary {
                let mut lines = Vec::new();
                $(self.$section.push_summary(&old.$section, &mut lines);)*
                DifferenceSummary(lines)
            }
        }

        impl Declarations {
            /// Sorts each section by name. Declarations are committed in this form.
            pub fn sorted(mut self) -> Self {
                $(self.$section.sort_by(|a, b| a.name().cmp(b.name()));)*
                self
            }
        }
    };
}

difference! {
    domains: Domain, "Failure domains.";
    models: Model, "Models.";
    servers: Server, "Backend servers.";
    teams: Team, "Teams.";
    routes: Route, "Routes.";
    rules: Rule, "Rules.";
    operators: Operator, "Operators.";
}

/// Human-readable lines of a [`Difference`], such as `~ server a`: `+` marks a new item, `~` a
/// changed one, `-` a removed one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DifferenceSummary(pub Vec<String>);

impl Display for DifferenceSummary {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for line in &self.0 {
            writeln!(f, "{line}")?;
        }
        Ok(())
    }
}
