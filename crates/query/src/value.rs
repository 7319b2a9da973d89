//! Values in table cells and in conditions.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// A value in a table cell or a condition.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// The value is unknown or does not apply.
    Missing,
    /// A boolean, displayed as `yes` or `no`.
    Flag(bool),
    /// A whole number.
    Count(u64),
    /// Any other number; durations are in seconds.
    Number(f64),
    /// Text.
    Text(Box<str>),
}

impl Value {
    /// Converts a duration to a number of seconds.
    pub fn seconds(duration: Duration) -> Self {
        Self::Number(duration.as_secs_f64())
    }

    /// The text, or [`Value::Missing`] for `None`.
    pub fn optional_text(text: Option<&str>) -> Self {
        text.map_or(Self::Missing, |text| Self::Text(text.into()))
    }

    /// Compares two values; returns `None` if their types cannot be compared.
    pub fn compare(&self, other: &Self) -> Option<Ordering> {
        match (self, other) {
            (Self::Text(a), Self::Text(b)) => Some(a.cmp(b)),
            (Self::Flag(a), Self::Flag(b)) => Some(a.cmp(b)),
            (Self::Count(a), Self::Count(b)) => Some(a.cmp(b)),
            (a, b) => a.as_number()?.partial_cmp(&b.as_number()?),
        }
    }

    /// Order for sorting. Values that cannot be compared are ordered by type, missing ones last.
    pub(crate) fn sort_order(&self, other: &Self) -> Ordering {
        let by_type = || self.type_rank().cmp(&other.type_rank());
        self.compare(other).unwrap_or_else(by_type)
    }

    fn as_number(&self) -> Option<f64> {
        match self {
            Self::Count(count) => Some(*count as f64),
            Self::Number(number) => Some(*number),
            _ => None,
        }
    }

    fn type_rank(&self) -> u8 {
        match self {
            Self::Flag(_) => 0,
            Self::Count(_) | Self::Number(_) => 1,
            Self::Text(_) => 2,
            Self::Missing => 3,
        }
    }
}

impl Display for Value {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing => f.write_str("-"),
            Self::Flag(true) => f.write_str("yes"),
            Self::Flag(false) => f.write_str("no"),
            Self::Count(count) => write!(f, "{count}"),
            Self::Number(number) => write!(f, "{number:.3}"),
            Self::Text(text) => f.write_str(text),
        }
    }
}
