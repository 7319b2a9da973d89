//! The query and command language of operators, shared by the command line and the HTTP interface.
//!
//! ```
//! use query::{Statement, parse};
//!
//! let statement = parse("show servers where domain = bratislava-a order by queue desc").unwrap();
//! assert!(matches!(statement, Statement::Show(_)));
//! let err = parse("show severs").unwrap_err();
//! assert_eq!(err.suggestion.as_deref(), Some("servers"));
//! ```

mod error;
mod grammar;
mod render;
mod statement;
mod subject;
mod table;
mod timeline;
mod timeline_page;
mod token;
mod value;

pub use error::QueryError;
pub use grammar::parse;
pub use statement::{Comparison, Condition, Show, SortKey, Statement};
pub use subject::{Column, ColumnType, Subject};
pub use table::Table;
pub use timeline::{events_table, merge_events, select_events};
pub use timeline_page::timeline_page;
pub use value::Value;
