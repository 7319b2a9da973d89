//! Types of the simulated model engine: its specification, requests, outputs, orders and reports.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Id of an attempt, assigned by the agent.
pub type AttemptId = Box<str>;
/// Id of a memory grant, assigned by the agent.
pub type GrantId = Box<str>;

/// Speed, limits and behaviour of one engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Prefill rate when warm, in tokens per second.
    pub prefill_rate: f64,
    /// Most prompt tokens that one step prefills, over all requests.
    pub prefill_chunk_tokens: u64,
    /// Fixed part of the duration of a decode step.
    pub decode_base: Duration,
    /// Time that each decoding request adds to a decode step.
    pub decode_per_request: Duration,
    /// KV cache for requests and grants, in tokens.
    pub memory_tokens: u64,
    /// Capacity of the prefix cache, in tokens; separate from the KV cache of requests.
    pub cache_tokens: u64,
    /// Requests that it can run at once when warm; more are refused.
    pub warm_limit: usize,
    /// Requests that it can run at once in cold start; one more crashes it.
    pub cold_limit: usize,
    /// Factor by which steps take longer in cold start.
    pub cold_slowdown: f64,
    /// Busy time that ends a cold start.
    pub warm_up: Duration,
    /// Whether it is in cold start at the beginning.
    pub starts_cold: bool,
    /// Time from a crash until it accepts requests again.
    pub restart_time: Duration,
    /// Whether it supports suspending and resuming requests.
    pub can_suspend: bool,
    /// Whether a closed connection cancels the request and frees its memory.
    pub cancels_on_close: bool,
    /// Whether its load report includes if it is in cold start.
    pub reports_cold: bool,
    /// Age of the state that its load report shows.
    pub report_lag: Duration,
    /// Time from a change of the prefix cache until its event is published.
    pub event_lag: Duration,
    /// Every event whose sequence number is a multiple of this is never published; zero publishes
    /// all.
    pub dropped_event_interval: u64,
    /// Rate of KV cache exports and imports, in tokens per second.
    pub transfer_rate: f64,
    /// Models loaded at the start, as `name@version`.
    pub models: Vec<Box<str>>,
    /// Whether it refuses requests for a model that is not loaded.
    pub checks_model: bool,
    /// Duration of a model load; absent if [`EngineSim::finish_load`] ends each load.
    ///
    /// [`EngineSim::finish_load`]: crate::EngineSim::finish_load
    pub load_time: Option<Duration>,
    /// Whether it refuses an order with a fencing number below that of an accepted one.
    pub checks_fencing: bool,
    /// Whether it refuses an order without an identity.
    pub checks_identity: bool,
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self {
            prefill_rate: 20_000.0,
            prefill_chunk_tokens: 512,
            decode_base: Duration::from_millis(15),
            decode_per_request: Duration::from_micros(300),
            memory_tokens: 400_000,
            cache_tokens: 100_000,
            warm_limit: 64,
            cold_limit: 2,
            cold_slowdown: 4.0,
            warm_up: Duration::from_secs(10),
            starts_cold: true,
            restart_time: Duration::from_secs(5),
            can_suspend: true,
            cancels_on_close: true,
            reports_cold: true,
            report_lag: Duration::from_millis(500),
            event_lag: Duration::from_secs(1),
            dropped_event_interval: 10,
            transfer_rate: 1_000_000.0,
            models: Vec::new(),
            checks_model: false,
            load_time: Some(Duration::from_secs(2)),
            checks_fencing: true,
            checks_identity: false,
        }
    }
}

impl EngineSpec {
    /// Time between two tokens of a request while `requests` requests decode, if the engine is warm
    /// and prefills nothing.
    pub fn decode_interval(&self, requests: usize) -> Duration {
        self.decode_base + self.decode_per_request * requests as u32
    }
}

/// Hash and length of a prompt prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Hash of the whole prefix.
    pub hash: u64,
    /// Length of the whole prefix in tokens.
    pub tokens: u64,
}

/// A completion request to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRequest {
    /// Id of its attempt; a request with the same id replaces it.
    pub attempt: AttemptId,
    /// Requested model, without version.
    pub model: Option<Box<str>>,
    /// Priority; lower is more urgent.
    pub priority: u8,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Number of tokens to generate.
    pub max_tokens: u64,
    /// Prefixes of the prompt that the prefix cache may hold, shortest first.
    pub prefixes: Vec<PromptPrefix>,
    /// Grant whose memory and prefilled segments it uses; without one, it reserves its own memory.
    pub grant: Option<GrantId>,
}

/// A segment of a prompt, to be prefilled into the memory of a grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSegment {
    /// Grant whose memory it uses.
    pub grant: GrantId,
    /// Number of the segment within the prompt.
    pub segment: u32,
    /// First token.
    pub from: u64,
    /// Token after the last one.
    pub to: u64,
    /// Length of the KV cache that is imported before the prefill, in tokens.
    pub import_tokens: u64,
}

quick_error! {
    /// Why an engine refused a request or order; nothing of it ran.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum EngineRefusal {
        /// It is restarting.
        Down {
            display("engine is restarting")
        }
        /// It runs as many requests as it can.
        Full {
            display("engine is full")
        }
        /// Prompt and completion need more memory than the engine has in total.
        TooLong {
            display("prompt needs more memory than the engine has")
        }
        /// The model is not loaded.
        ModelNotLoaded {
            display("model is not loaded")
        }
        /// There is no such grant.
        UnknownGrant {
            display("no such grant")
        }
        /// The free memory does not suffice for the grant, or the grant for the segment.
        NoMemory {
            display("no memory for the grant")
        }
        /// The engine does not support suspending, or has no such attempt.
        CannotSuspend {
            display("attempt cannot be suspended or resumed")
        }
        /// The fencing number of the order is below that of an accepted one.
        StaleFence {
            display("order has an old fencing number")
        }
        /// The order has no identity.
        MissingIdentity {
            display("order has no identity")
        }
    }
}

/// An output of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineOutput {
    /// A token was generated.
    Token {
        /// The attempt.
        attempt: AttemptId,
        /// Zero-based index of the token.
        index: u64,
    },
    /// All tokens of the request have been generated.
    Done {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The engine crashed or restarted while the request ran or waited.
    Failed {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A segment is prefilled.
    SegmentDone {
        /// Its grant.
        grant: GrantId,
        /// Its number.
        segment: u32,
    },
    /// The engine crashed or restarted before the segment was prefilled.
    SegmentFailed {
        /// Its grant.
        grant: GrantId,
        /// Its number.
        segment: u32,
    },
}

/// Which phases of inference an engine serves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineRole {
    /// Prefills only.
    Prefill,
    /// Decodes only.
    Decode,
    /// Does both.
    #[default]
    Mixed,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineOrder {
    /// Load this `name@version`.
    Load(Box<str>),
    /// Unload this `name@version`.
    Unload(Box<str>),
    /// Load this adapter.
    Adapter(Box<str>),
    /// Change to this role.
    Role(EngineRole),
}

/// Load report of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests and segments that run.
    pub running: usize,
    /// Requests and segments that wait for memory or an import, or are suspended.
    pub waiting: usize,
    /// Free KV cache, in tokens.
    pub free_tokens: u64,
    /// Total KV cache, in tokens.
    pub total_tokens: u64,
    /// Whether it is in cold start; absent if it does not report this.
    pub cold: Option<bool>,
    /// Loaded models, as `name@version`.
    pub models: Vec<Box<str>>,
    /// Role that the last order set.
    pub role: EngineRole,
    /// Age of the reported state, in milliseconds.
    pub age_ms: u64,
}

/// What a KV cache reservation was made for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReservationKind {
    /// A request.
    Request,
    /// A grant.
    Grant,
}

/// A KV cache reservation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReservation {
    /// Id of the attempt or grant.
    pub id: Box<str>,
    /// Whether `id` names an attempt or a grant.
    pub kind: ReservationKind,
    /// Reserved KV cache, in tokens.
    pub tokens: u64,
    /// Age in milliseconds, counted from the arrival of the request or the reservation of the grant.
    pub age_ms: u64,
}

/// Counters and present reservations of an engine, which, unlike its load report, do not lag.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Requests accepted.
    pub requests: u64,
    /// Accepted requests whose attempt id had been accepted before.
    pub repeated: u64,
    /// Requests completed.
    pub finished: u64,
    /// Requests and segments that a crash or restart failed.
    pub failed: u64,
    /// Requests cancelled by a call, by a closed connection or by a repetition of their attempt.
    pub cancelled: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests and segments submitted in cold start above the cold limit.
    #[serde(rename = "over_bearable")]
    pub over_cold_limit: u64,
    /// Crashes by a request or segment above the cold limit.
    #[serde(rename = "falls")]
    pub crashes: u64,
    /// Cold starts, the first one included.
    pub cold_starts: u64,
    /// Most requests and segments in the batch at once.
    #[serde(rename = "most_at_once")]
    pub max_concurrent: usize,
    /// Most requests and segments at once in cold start, measured at each arrival: those that were
    /// running when the engine returned to cold start count from the next arrival on.
    #[serde(rename = "most_at_once_cold")]
    pub max_concurrent_cold: usize,
    /// Prompt tokens prefilled.
    pub prefill_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub output_tokens: u64,
    /// Orders accepted with a fencing number below that of an earlier one.
    pub stale_orders: u64,
    /// KV cache reserved by requests now, in tokens.
    pub request_tokens: u64,
    /// KV cache reserved by grants now, in tokens.
    pub grant_tokens: u64,
    /// KV cache reserved now by requests whose connection is closed, in tokens.
    #[serde(rename = "unowned_tokens")]
    pub disconnected_tokens: u64,
    /// Age of the oldest grant, in milliseconds; zero without grants.
    pub oldest_grant_ms: u64,
}
