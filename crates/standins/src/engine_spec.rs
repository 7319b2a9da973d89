//! What a model engine is asked, what it answers, and how fast it is.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Name of an attempt, as the agent gives it.
pub type AttemptId = Box<str>;
/// Name of a grant of memory, as the agent gives it.
pub type GrantId = Box<str>;

/// How one engine behaves.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Prefill rate when warm, in tokens a second.
    pub prefill_rate: f64,
    /// Prompt tokens that one step takes at most, over all requests.
    pub prefill_chunk_tokens: u64,
    /// Time of a decode step without requests.
    pub decode_base: Duration,
    /// Time that each decoding request adds to a step.
    pub decode_per_request: Duration,
    /// Memory, in tokens of KV cache.
    pub memory_tokens: u64,
    /// Prefix cache, in tokens, apart from the memory of requests.
    pub cache_tokens: u64,
    /// Requests that it bears at once when warm; more are refused.
    pub warm_limit: usize,
    /// Requests that it bears at once in cold start; one more makes it fall over.
    pub cold_limit: usize,
    /// How many times slower it is in cold start.
    pub cold_slowdown: f64,
    /// Busy time that ends a cold start.
    pub warm_up: Duration,
    /// Whether it begins in cold start.
    pub starts_cold: bool,
    /// Time from falling over until it answers again.
    pub restart_time: Duration,
    /// Whether it can suspend a request.
    pub can_suspend: bool,
    /// Whether a closed connection frees what the request held.
    pub cancels_on_close: bool,
    /// Whether its report says that it is in cold start.
    pub reports_cold: bool,
    /// Lag of its load report.
    pub report_lag: Duration,
    /// Lag of its cache events.
    pub event_lag: Duration,
    /// One in so many cache events is never published; zero for none.
    pub dropped_event_interval: u64,
    /// Rate of exports and imports, in tokens a second.
    pub transfer_rate: f64,
    /// Models loaded at the start, as `name@version`.
    pub models: Vec<Box<str>>,
    /// Whether it refuses requests for a model that is not loaded.
    pub checks_model: bool,
    /// Time that a load takes; none where the host says when it has ended.
    pub load_time: Option<Duration>,
    /// Whether it refuses an order with an old fencing number.
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
    /// Time between the tokens of each answer when so many decode, warm and without prefill.
    pub fn decode_interval(&self, requests: usize) -> Duration {
        self.decode_base + self.decode_per_request * requests as u32
    }
}

/// A leading part of a prompt: its hash and its length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Hash of the whole part.
    pub hash: u64,
    /// Tokens of the whole part.
    pub tokens: u64,
}

/// A request to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRequest {
    /// Its attempt.
    pub attempt: AttemptId,
    /// Model asked for, without version.
    pub model: Option<Box<str>>,
    /// Priority; lower is more urgent.
    pub priority: u8,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub max_tokens: u64,
    /// Leading parts of the prompt, shortest first.
    pub prefixes: Vec<PromptPrefix>,
    /// Grant whose memory and segments it uses.
    pub grant: Option<GrantId>,
}

/// A segment of a prompt to prefill in granted memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSegment {
    /// Grant whose memory it uses.
    pub grant: GrantId,
    /// Number of the segment.
    pub segment: u32,
    /// First token.
    pub from: u64,
    /// Token after the last.
    pub to: u64,
    /// Tokens whose KV cache is imported first.
    pub import_tokens: u64,
}

quick_error! {
    /// What an engine refused; nothing of it ran.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum EngineRefusal {
        /// It is restarting.
        Down {
            display("engine is restarting")
        }
        /// It bears no more requests.
        Full {
            display("engine is full")
        }
        /// The prompt needs more memory than there is.
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
        /// There is no memory for the grant.
        NoMemory {
            display("no memory for the grant")
        }
        /// There is no such attempt, or it cannot be suspended.
        CannotSuspend {
            display("attempt cannot be suspended or resumed")
        }
        /// The order's fencing number is old.
        StaleFence {
            display("order has an old fencing number")
        }
        /// The order has no identity.
        MissingIdentity {
            display("order has no identity")
        }
    }
}

/// What an engine gives out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineOutput {
    /// A token of an answer, from zero.
    Token {
        /// The attempt.
        attempt: AttemptId,
        /// Number of the token.
        index: u64,
    },
    /// The answer is whole.
    Done {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The request broke off.
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
    /// A segment broke off.
    SegmentFailed {
        /// Its grant.
        grant: GrantId,
        /// Its number.
        segment: u32,
    },
}

/// Role of an engine.
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
    /// Take this role.
    Role(EngineRole),
}

/// Load of an engine, as it reports it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests that run.
    pub running: usize,
    /// Requests that wait for memory, or are suspended.
    pub waiting: usize,
    /// Free memory, in tokens.
    pub free_tokens: u64,
    /// All memory, in tokens.
    pub total_tokens: u64,
    /// Whether it is in cold start.
    pub cold: Option<bool>,
    /// Loaded models, as `name@version`.
    pub models: Vec<Box<str>>,
    /// Role.
    pub role: EngineRole,
    /// Age of this report.
    pub age_ms: u64,
}

/// Kind of a holding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReservationKind {
    /// A request.
    Request,
    /// A grant.
    Grant,
}

/// Memory that is held.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReservation {
    /// Attempt or grant.
    pub id: Box<str>,
    /// Which of them.
    pub kind: ReservationKind,
    /// Tokens held.
    pub tokens: u64,
    /// How long.
    pub age_ms: u64,
}

/// True counts of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Requests taken.
    pub requests: u64,
    /// Requests whose attempt had been taken before.
    pub repeated: u64,
    /// Answers that were whole.
    pub finished: u64,
    /// Requests that broke off.
    pub failed: u64,
    /// Requests cancelled.
    pub cancelled: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests given in cold start over what it bears.
    #[serde(rename = "over_bearable")]
    pub over_cold_limit: u64,
    /// Times that it fell over.
    #[serde(rename = "falls")]
    pub crashes: u64,
    /// Cold starts, the first one included.
    pub cold_starts: u64,
    /// Most requests at once.
    #[serde(rename = "most_at_once")]
    pub max_concurrent: usize,
    /// Most requests at once in cold start, without those that a fallback met.
    #[serde(rename = "most_at_once_cold")]
    pub max_concurrent_cold: usize,
    /// Prompt tokens prefilled.
    pub prefill_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Tokens given out.
    pub output_tokens: u64,
    /// Orders taken with a fencing number older than one taken before.
    pub stale_orders: u64,
    /// Memory held by requests now, in tokens.
    pub request_tokens: u64,
    /// Memory held by grants now, in tokens.
    pub grant_tokens: u64,
    /// Memory held now by requests whose connection has gone, in tokens.
    pub unowned_tokens: u64,
    /// Age of the oldest grant.
    pub oldest_grant_ms: u64,
}
