//! What goes into a [`Scheduler`](crate::Scheduler), and what comes out.

use crate::job::Job;
use crate::rates::WarmSpeed;
use proto::Refusal;
use proto::prelude::*;

/// Settings of a [`Scheduler`].
#[derive(Debug, Clone, PartialEq)]
pub struct SchedulerConfig {
    /// The backend server.
    pub server: ServerId,
    /// Most jobs that wait.
    pub queue_limit: usize,
    /// Pace presumed of a warm server that declares none.
    pub default_warm_speed: WarmSpeed,
}

impl SchedulerConfig {
    /// Settings for one backend server, with defaults.
    pub fn for_server(server: &str) -> Self {
        Self {
            server: server.into(),
            queue_limit: 1024,
            default_warm_speed: WarmSpeed {
                prefill_rate: 20_000.0,
                decode_interval: Duration::from_millis(30),
            },
        }
    }
}

/// What the configuration and membership say of the backend server.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServerSettings {
    /// Configuration version.
    pub config: ConfigVersion,
    /// Epoch of the agent's lease.
    pub epoch: Epoch,
    /// Requests that it bears at once when warm.
    pub warm_limit: u32,
    /// Requests that it bears at once in cold start.
    pub cold_limit: u32,
    /// Declared prefill rate when warm, in tokens a second.
    pub prefill_rate: Option<f64>,
    /// Declared time between tokens when warm.
    pub decode_interval: Option<Duration>,
    /// Engine memory, in tokens of KV cache; none for a plain service.
    pub memory_tokens: Option<Tokens>,
    /// Whether the engine can suspend a prefill.
    pub can_suspend: bool,
    /// Whether its failure domain is taken out.
    pub domain_out: bool,
    /// Whether it drains, leaves, or the agent shuts down.
    pub draining: bool,
}

/// What the engine reports, with a lag.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait in the engine.
    pub waiting: u32,
    /// Free memory, in tokens of KV cache.
    pub free_tokens: Tokens,
    /// Whether the engine says that it is in cold start; none where it does not say.
    pub cold: Option<bool>,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A gateway offers a job.
    Offer(Job),
    /// The whole body of a job has arrived.
    BodyComplete(AttemptId),
    /// The first token of an answer came.
    FirstToken(AttemptId),
    /// More tokens of an answer came.
    Progress {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens since the last event.
        tokens: Tokens,
    },
    /// The backend server ended an answer; `ok` tells whether it was whole.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// Whether the answer was whole.
        ok: bool,
    },
    /// The caller left; the driver cancels a dispatched job at the backend server.
    Cancel(AttemptId),
    /// The backend server turned a dispatched job away and did not run it.
    Rejected(AttemptId),
    /// The answer to a dispatched job comes in one piece, so that its first token tells nothing.
    NonStreaming(AttemptId),
    /// Grants of engine memory to spans hold that many tokens now.
    GrantedMemory(Tokens),
    /// The engine reported its load.
    Report(EngineReport),
    /// The configuration or membership changed.
    SettingsChanged(ServerSettings),
    /// Time passed.
    Tick,
}

/// Why a job is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbortReason {
    /// Its time is up.
    TimeUp,
    /// It cannot finish in its time any more.
    TooSlow,
}

/// What the driver must do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Tells the gateway that the job waits here.
    Accept(AttemptId),
    /// Refuses a job, which has not run.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// Gives the job to the backend server.
    Dispatch {
        /// The attempt.
        attempt: AttemptId,
        /// Priority for the engine; lower is more urgent.
        priority: u8,
    },
    /// Suspends a job in the engine.
    Suspend(AttemptId),
    /// Resumes a suspended job.
    Resume(AttemptId),
    /// Cancels a dispatched job at the backend server, and fails it to the gateway if it still
    /// listens.
    Abort {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: AbortReason,
        /// When to come back.
        retry_after: Duration,
    },
}
