//! What can be shown, and the columns of each.

use serde::{Deserialize, Serialize};

/// Kind of a column's values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColumnType {
    /// Text.
    Text,
    /// A number; conditions may write `100k` and `1M`.
    Number,
    /// Seconds; conditions may write `250ms`, `5s`, `5m`, `1h`.
    Duration,
    /// Yes or no.
    Flag,
}

/// One column.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Column {
    /// Its name.
    pub name: &'static str,
    /// Kind of its values.
    pub column_type: ColumnType,
}

macro_rules! subjects {
    ($($(#[$doc:meta])* $subject:ident $word:literal: $($column:literal $kind:ident),+;)*) => {
        /// What can be shown.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Subject {
            $($(#[$doc])* $subject,)*
        }

        impl Subject {
            /// All subjects.
            pub const ALL: &'static [Subject] = &[$(Subject::$subject),*];

            /// The word that names it.
            pub fn word(self) -> &'static str {
                match self {
                    $(Self::$subject => $word,)*
                }
            }

            /// Its columns, in order.
            pub fn columns(self) -> &'static [Column] {
                match self {
                    $(Self::$subject => &[$(Column { name: $column, column_type: ColumnType::$kind }),+],)*
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
    /// Requests in hand at gateways and agents.
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
    /// Configuration history.
    History "history": "version" Number, "operator" Text, "command" Text, "change" Text;
    /// Refusals, and why.
    Refusals "refusals": "request" Text, "team" Text, "reason" Text, "detail" Text,
        "age" Duration, "node" Text;
    /// Events over all processes, in causal order.
    Timeline "timeline": "time" Text, "node" Text, "event" Text, "request" Text, "team" Text,
        "server" Text, "detail" Text, "age" Duration;
}

impl Subject {
    /// The subject that a word names.
    pub fn from_word(word: &str) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|subject| subject.word() == word)
    }

    /// Index of a column.
    pub fn column(self, name: &str) -> Option<usize> {
        self.columns().iter().position(|column| column.name == name)
    }
}
