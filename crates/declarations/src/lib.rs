//! Declarations of failure domains, models, backend servers, teams, routes, rules and operators.
//! Operators write them as TOML files, which are kept in version control.
//!
//! ```
//! use declarations::Declarations;
//!
//! let text = r#"
//!     [[domains]]
//!     name = "nitra-c"
//!     region = "sk-west"
//! "#;
//! let declared = Declarations::parse(text).unwrap();
//! assert_eq!(&*declared.domains[0].name, "nitra-c");
//! ```

mod check;
mod closest_match;
mod difference;
mod document;
mod key;
mod named;
mod section;
mod types;
mod validate;

pub use check::{Diagnostic, Diagnostics};
pub use closest_match::closest_match;
pub use difference::{Difference, DifferenceSummary, SectionChange};
pub use document::Document;
pub use key::{hash_key, matches_key};
pub use named::Named;
pub use types::{
    Declarations, Domain, Model, Operator, Route, Rule, Server, ServerKind, ServerLocation, Team,
};
