//! The common interface of all declared items.

use crate::types::{Domain, Model, Operator, Route, Rule, Server, Team};

/// A declared item with a name that is unique in its section.
pub trait Named {
    /// Key of the section in TOML, such as `servers`.
    const SECTION: &'static str;
    /// TOML field that holds the name, such as `name` or `path`.
    const NAME_FIELD: &'static str;
    /// Singular noun for messages, such as `server`.
    const KIND: &'static str;

    /// Value of the field [`Named::NAME_FIELD`].
    fn name(&self) -> &str;
}

macro_rules! impl_named {
    ($($kind:ident in $section:literal by $field:ident as $noun:literal;)*) => {$(
        impl Named for $kind {
            const SECTION: &'static str = $section;
            const NAME_FIELD: &'static str = stringify!($field);
            const KIND: &'static str = $noun;

            fn name(&self) -> &str {
                &self.$field
            }
        }
    )*};
}

impl_named! {
    Domain in "domains" by name as "domain";
    Model in "models" by name as "model";
    Server in "servers" by name as "server";
    Team in "teams" by name as "team";
    Route in "routes" by path as "route";
    Rule in "rules" by name as "rule";
    Operator in "operators" by name as "operator";
}
