//! The tables that can be queried, and their columns.

use serde::{Deserialize, Serialize};

/// Type of the values of a column, which determines how a condition writes them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColumnType {
    /// Text, with or without quotes.
    Text,
    /// Number; conditions may use the suffixes `k` and `M`, such as in `100k`.
    Number,
    /// Duration in seconds; conditions give a unit, such as in `250ms`, `5s`, `5m`, `1h` or `2d`.
    Duration,
    /// Boolean; conditions write `yes` or `no`.
    Flag,
}

/// A column of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Column {
    /// Name, as used in conditions and as the key in JSON.
    pub name: &'static str,
    /// Type of the values.
    pub column_type: ColumnType,
}

macro_rules! subjects {
    ($($(#[$doc:meta])* $subject:ident $word:literal: $($column:literal $ty:ident),+;)*) => {
        /// A table that can be queried.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Subject {
            $($(#[$doc])* $subject,)*
        }

        impl Subject {
            /// All subjects.
            pub const ALL: &'static [Subject] = &[$(Subject::$subject),*];

            /// Name of the subject in statements.
            pub fn word(self) -> &'static str {
                match self {
                    $(Self::$subject => $word,)*
                }
            }

            /// Columns of the table, in the order of the values in each row.
            pub fn columns(self) -> &'static [Column] {
                match self {
                    $(Self::$subject => &[
                        $(Column { name: $column, column_type: ColumnType::$ty }),+
                    ],)*
                }
            }
        }
    };
}

subjects! {
    /// Backend servers.
    Servers "servers": "server" Text, "domain" Text, "kind" Text, "state" Text, "warmth" Text,
        "outstanding" Number, "limit" Number, "queue" Duration, "free_tokens" Number,
        "version" Number, "node" Text;
    /// Requests that gateways are processing.
    Requests "requests": "request" Text, "team" Text, "model" Text, "server" Text, "state" Text,
        "tokens" Number, "age" Duration, "remaining" Duration, "attempt" Number, "node" Text;
    /// Teams.
    Teams "teams": "team" Text, "weight" Number, "limit" Number, "requests" Number,
        "refused" Number, "node" Text;
    /// Models.
    Models "models": "model" Text, "version" Text, "replicas" Number, "servers" Number,
        "context" Number;
    /// Failure domains.
    Domains "domains": "domain" Text, "region" Text, "out" Flag, "servers" Number,
        "drained" Number;
    /// Hosts and the processes on them.
    Hosts "hosts": "host" Text, "domain" Text, "role" Text, "address" Text, "state" Text,
        "version" Number, "node" Text;
    /// Versions of the configuration, with the commands that made them.
    History "history": "version" Number, "operator" Text, "command" Text, "change" Text;
    /// Refused requests, with the reasons.
    Refusals "refusals": "request" Text, "team" Text, "reason" Text, "detail" Text,
        "age" Duration, "node" Text;
    /// Events of all processes, in causal order.
    Timeline "timeline": "time" Text, "node" Text, "event" Text, "request" Text, "team" Text,
        "server" Text, "detail" Text, "age" Duration;
}

impl Subject {
    /// Finds a subject by its name in statements.
    pub fn from_word(word: &str) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|subject| subject.word() == word)
    }

    /// Index of the column with this name.
    pub fn column(self, name: &str) -> Option<usize> {
        self.columns().iter().position(|column| column.name == name)
    }
}
