//! The server that is to run a request, and what it holds until the request has ended.

use crate::job::Job;
use crate::send_permit::SendPermit;
use policy::LateStream;
use proto::BackendEntry;
use std::time::Duration;

/// Server that is assigned to a stream.
#[derive(Debug)]
pub struct Assignment {
    /// Server that gets the request.
    pub server: BackendEntry,
    /// Engines that prefill parts of the prompt, with the number of tokens for which memory must be
    /// reserved there; 0 for none.
    pub helpers: Vec<(BackendEntry, u64)>,
    /// Permit to send the request to `server`.
    pub permit: SendPermit,
    /// Counts the request in the load of these servers until it is dropped.
    pub job: Job,
    /// Forecasts from the figures of an engine; `None` for a server that has none.
    pub forecast: Option<EngineForecast>,
    /// The stream, by which it is decided whether it still starts while the process ends.
    pub stream: LateStream,
}

/// Forecasts for a prompt at its engines.
#[derive(Debug, Clone, Copy)]
pub struct EngineForecast {
    /// Time that each engine takes to prefill its part.
    pub part_prefill_time: Duration,
    /// Time to the first event.
    pub first_event: Duration,
    /// The same from the engine's published figures, without its measured slowdown.
    pub published_first_event: Duration,
}

impl Assignment {
    /// Forecast of the time to the first event; `None` for a server without figures.
    pub fn first_event_forecast(&self) -> Option<Duration> {
        self.forecast.map(|forecast| forecast.first_event)
    }
}

/// Refusal of a request that gets no server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoServer {
    /// Reason for logs and metrics.
    pub reason: &'static str,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}
