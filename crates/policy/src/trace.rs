//! Traces in JSON lines: requests, faults, operators' commands, recorded and expected outcomes.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Version of the trace format, as the first line states it.
pub const TRACE_FORMAT: u32 = 1;

quick_error! {
    /// Error of [`Trace::parse`].
    #[derive(Debug)]
    pub enum TraceError {
        /// A line is not a valid [`TraceLine`]; has the line number, counted from one.
        Line(number: usize, err: serde_json::Error) {
            display("line {number} of the trace: {err}")
        }
        /// The first line is not a [`TraceHead`] with [`TRACE_FORMAT`].
        Head {
            display("the trace does not start with a head of format {TRACE_FORMAT}")
        }
    }
}

/// One line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceLine {
    /// Time in milliseconds since the start of the trace.
    pub at_ms: u64,
    /// Event; its fields are on the same level as the time.
    #[serde(flatten)]
    pub what: TraceEvent,
}

/// Event that a line of a trace describes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TraceEvent {
    /// Head of the trace, on the first line only.
    Head(TraceHead),
    /// A backend server that exists during the replay.
    Server(TraceServer),
    /// A caller sends a request.
    Request(TraceRequest),
    /// A fault is injected.
    Fault(TraceFault),
    /// An operator gives a command, in the command language.
    Command(Box<str>),
    /// What the caller of a request was told when the trace was recorded.
    Outcome(TraceOutcome),
    /// Condition that a replay must meet.
    Expect(TraceExpect),
}

/// The first line of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceHead {
    /// Version of the format, [`TRACE_FORMAT`].
    pub format: u32,
    /// Name of the deployment.
    pub deployment: Box<str>,
}

/// A backend server, as a replay simulates it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceServer {
    /// Name that requests, faults and commands refer to.
    pub name: Box<str>,
    /// Failure domain that it is in.
    pub domain: Box<str>,
    /// Prefill rate in tokens per second.
    pub prefill_rate: f64,
    /// Size of its KV cache in tokens.
    pub memory_tokens: u64,
    /// Requests that it runs at the same time when warm.
    pub warm_limit: u32,
    /// Requests that it runs at the same time in cold start.
    pub cold_limit: u32,
    /// Whether the trace starts with it in cold start.
    #[serde(default)]
    pub cold: bool,
    /// Whether its reports say that it is in cold start.
    #[serde(default = "yes")]
    pub says_cold: bool,
}

/// A request of a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceRequest {
    /// Unique within the trace.
    pub id: Box<str>,
    /// Team of the caller.
    pub team: Box<str>,
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Largest number of tokens in the answer.
    pub output_tokens: u64,
    /// Time limit in milliseconds.
    pub time_ms: u64,
    /// Whether it may run more than once.
    #[serde(default = "yes")]
    pub repeatable: bool,
}

/// A fault at a backend server or its agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceFault {
    /// Backend server at which the fault occurs, either in the engine or in its agent.
    pub server: Box<str>,
    /// Kind of the fault.
    pub kind: FaultKind,
}

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The agent is killed and started again.
    KillAgent,
    /// The engine is killed and started again.
    KillEngine,
    /// Agent and engine are replaced by new ones.
    ReplaceHost,
    /// The agent is paused for a few seconds.
    FreezeAgent,
    /// The link between gateway and agent is cut.
    CutLink,
    /// A message is lost after its sender has acted on it.
    LoseMessage,
    /// A message arrives seconds late.
    DelayMessage,
    /// A message arrives twice.
    DuplicateMessage,
    /// The engine goes back to cold start.
    ColdStart,
    /// The engine runs several times slower for a while.
    SlowEngine,
    /// One operator takes the failure domain out while another brings it back.
    OperatorRace,
    /// Operators take the failure domain out.
    DomainOut,
    /// Operators drain the backend server.
    Drain,
    /// The agent is told to shut down gracefully.
    Terminate,
}

/// Outcome of a request, as its caller was told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceOutcome {
    /// Id of the request.
    pub id: Box<str>,
    /// How the request ended.
    pub end: TraceEnd,
}

/// How a request ended, as its caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TraceEnd {
    /// The caller got the whole answer.
    Finished,
    /// The caller was told that the request did not run.
    NotRun,
    /// The caller was told that the request may have run.
    MayHaveRun,
}

/// Condition on the outcomes of a replay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TraceExpect {
    /// At least this many requests finish.
    FinishedAtLeast(u64),
    /// At most this many requests end as [`TraceEnd::MayHaveRun`].
    MayHaveRunAtMost(u64),
    /// Requests that end as [`TraceEnd::MayHaveRun`] were last tried at one of these servers.
    MayHaveRunOnlyAt(Vec<Box<str>>),
    /// This request ends as stated.
    Request(TraceOutcome),
}

/// A trace that was read, or is to be written.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Trace {
    /// Lines in their order; the first is the head.
    pub lines: Vec<TraceLine>,
}

impl Trace {
    /// Parses JSON lines, skipping empty ones. Fails on the first invalid line, and if the head is
    /// missing or has another format.
    pub fn parse(text: &str) -> Result<Self, TraceError> {
        let mut lines = Vec::new();
        for (index, line) in text.lines().enumerate() {
            if !line.trim().is_empty() {
                let parsed = serde_json::from_str(line);
                lines.push(parsed.map_err(|err| TraceError::Line(index + 1, err))?);
            }
        }
        let trace = Self { lines };
        match trace.lines.first().map(|line| &line.what) {
            Some(TraceEvent::Head(head)) if head.format == TRACE_FORMAT => Ok(trace),
            _ => Err(TraceError::Head),
        }
    }

    /// Formats the trace as JSON lines.
    pub fn to_text(&self) -> String {
        let lines = self
            .lines
            .iter()
            .filter_map(|line| serde_json::to_string(line).ok());
        lines.map(|line| line + "\n").collect()
    }
}

fn yes() -> bool {
    true
}
