//! Rows of the table service that hold the configuration, its history and the commands.

use declarations::{Declarations, Difference};
use proto::{ConfigVersion, OperatorId};
use serde::{Deserialize, Serialize};

/// Key of the [`ConfigRow`], which holds the full configuration.
pub const CONFIG_KEY: &str = "config/current";
/// Key of the [`ConfigHead`], which is small because all nodes poll it.
pub const CONFIG_HEAD_KEY: &str = "config/head";
/// Prefix of the keys of the history.
pub const HISTORY_PREFIX: &str = "config/history/";
const COMMAND_PREFIX: &str = "command/";

/// The committed configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigRow {
    /// Version of the configuration; increases with every commit.
    pub version: ConfigVersion,
    /// Operator who committed this version.
    pub author: Box<str>,
    /// The full declarations of this version.
    pub declarations: Declarations,
}

/// The version of the committed configuration, without its content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Same version as in the [`ConfigRow`].
    pub version: ConfigVersion,
}

/// One entry of the history: what a commit changed, and how to undo it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryRow {
    /// The version that the commit created.
    pub version: ConfigVersion,
    /// The version that it replaced; zero for the first commit.
    pub previous: ConfigVersion,
    /// Operator who committed it.
    pub author: OperatorId,
    /// Id of the command.
    pub command: Box<str>,
    /// Text of the command as the operator entered it.
    pub text: Box<str>,
    /// The changes, one per line.
    pub summary: Box<str>,
    /// Difference that restores the previous version.
    pub undo: Difference,
}

/// Result of a committed command, which makes a repeated command idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandRow {
    /// Operator who issued the command.
    pub author: OperatorId,
    /// Text of the command as the operator entered it.
    pub text: Box<str>,
    /// The version that the command created.
    pub version: ConfigVersion,
    /// The changes, one per line.
    pub summary: Box<str>,
}

/// Key of the [`HistoryRow`] of a version. The version is zero-padded, so keys sort by version.
pub fn history_key(version: ConfigVersion) -> Box<str> {
    format!("{HISTORY_PREFIX}{version:020}").into()
}

/// Key of the [`CommandRow`] of the command with the given id.
pub fn command_key(id: &str) -> Box<str> {
    format!("{COMMAND_PREFIX}{id}").into()
}
