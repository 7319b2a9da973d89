//! Until when declarations are known to have been the newest, told between processes without a common clock.

use serde::{Deserialize, Deserializer, Serialize};
use std::time::Duration;

/// Reading of the clock of one process, which counts while its host is suspended.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Random number of the process; readings of different processes cannot be compared.
    pub process: u64,
    /// Time on its clock.
    pub at: Duration,
}

/// A version of the declarations that was the newest at some moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Version that the declarations state.
    pub declarations: u64,
    /// Reading of the receiver's clock that the sender has got.
    pub reading: ClockReading,
    /// Milliseconds from when the sender got it to that moment; negative where the moment was before.
    pub offset_ms: i64,
}

/// What a process tells another one with each report of its load.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmationReport {
    /// Clock of the sender.
    pub clock: ClockReading,
    /// Last confirmation, if there is one and the sender has got a reading of the receiver.
    pub confirmation: Option<Confirmation>,
}

/// A message with a report behind it. Messages of earlier builds end before the report, or before what follows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Confirmed<T> {
    /// The message.
    pub message: T,
    /// The report.
    #[serde(deserialize_with = "default_if_absent")]
    pub report: ConfirmationReport,
    /// Whether the sender has just started, and knows no more than the store has told it.
    #[serde(deserialize_with = "default_if_absent")]
    pub is_starting: bool,
}

fn default_if_absent<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(
    deserializer: D,
) -> Result<T, D::Error> {
    Ok(T::deserialize(deserializer).unwrap_or_default())
}
