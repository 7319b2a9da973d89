//! Inputs and outputs of a [`Scheduler`](crate::Scheduler).

use crate::job::Job;
use crate::rates::WarmSpeed;
use proto::Refusal;
use proto::prelude::*;

/// Settings of a [`Scheduler`](crate::Scheduler).
#[derive(Debug, Clone, PartialEq)]
pub struct SchedulerConfig {
    /// Name of the backend server.
    pub server: ServerId,
    /// Maximum number of queued jobs.
    pub queue_limit: usize,
    /// Speed assumed of a warm server that declares none.
    pub default_warm_speed: WarmSpeed,
}

impl SchedulerConfig {
    /// Default settings for one backend server.
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

/// Limits and state of the backend server, from configuration and membership.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServerSettings {
    /// Version of the configuration; zero while there is none.
    pub config: ConfigVersion,
    /// Epoch of the agent's lease.
    pub epoch: Epoch,
    /// Number of requests that the server can run at once when warm.
    pub warm_limit: u32,
    /// Number of requests that the server can run at once during a cold start.
    pub cold_limit: u32,
    /// Declared prefill rate when warm, in tokens per second; `None` if not declared.
    pub prefill_rate: Option<f64>,
    /// Declared time between tokens when warm; `None` if not declared.
    pub decode_interval: Option<Duration>,
    /// Engine memory, in tokens of KV cache; `None` for a plain service.
    pub memory_tokens: Option<Tokens>,
    /// Whether the engine can suspend a prefill.
    pub can_suspend: bool,
    /// Whether the server's failure domain is taken out of service.
    pub domain_out: bool,
    /// Whether the server drains or leaves, or the agent shuts down.
    pub draining: bool,
}

/// Load that the engine reports, with a lag.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineReport {
    /// Number of requests that run in the engine.
    pub running: u32,
    /// Number of requests that wait in the engine.
    pub waiting: u32,
    /// Free memory, in tokens of KV cache.
    pub free_tokens: Tokens,
    /// Whether the engine reports a cold start; `None` if it does not report its warmth.
    pub cold: Option<bool>,
}

/// Inputs of the scheduler.
#[derive(Debug, Clone, PartialEq)]
pub enum SchedulerEvent {
    /// A gateway offers a job.
    Offer(Job),
    /// The whole request body of a job has arrived.
    BodyComplete(AttemptId),
    /// The first token of an answer has arrived.
    FirstToken(AttemptId),
    /// More tokens of an answer have arrived.
    Progress {
        /// Attempt that the answer belongs to.
        attempt: AttemptId,
        /// Tokens since the last event.
        tokens: Tokens,
    },
    /// The backend server ended an answer.
    Ended {
        /// Attempt that the answer belongs to.
        attempt: AttemptId,
        /// Whether the answer was complete.
        ok: bool,
    },
    /// The caller left. If the job was dispatched, the driver cancels it at the backend server.
    Cancel(AttemptId),
    /// The backend server rejected a dispatched job without running it.
    Rejected(AttemptId),
    /// The answer to a dispatched job arrives in one piece, so its first token says nothing about
    /// the prefill time.
    NonStreaming(AttemptId),
    /// Engine memory held by grants to spans, in tokens; replaces the last value.
    GrantedMemory(Tokens),
    /// The engine reported its load.
    Report(EngineReport),
    /// The configuration or membership changed.
    SettingsChanged(ServerSettings),
    /// The time given by [`Scheduler::next_wakeup`](crate::Scheduler::next_wakeup) has come.
    Tick,
}

/// Why a dispatched job is aborted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbortReason {
    /// Its deadline has passed.
    TimeUp,
    /// It can no longer finish by its deadline.
    TooSlow,
}

/// What the driver must do.
#[derive(Debug, Clone, PartialEq)]
pub enum SchedulerAction {
    /// Tells the gateway that the job is queued here.
    Accept(AttemptId),
    /// Refuses a job that has not run.
    Refuse {
        /// Attempt that is refused.
        attempt: AttemptId,
        /// Reason and retry delay, with hints for the gateway.
        refusal: Refusal,
    },
    /// Dispatches the job to the backend server.
    Dispatch {
        /// Attempt that is dispatched.
        attempt: AttemptId,
        /// Priority for the engine; lower is more urgent.
        priority: u8,
    },
    /// Suspends a job in the engine.
    Suspend(AttemptId),
    /// Resumes a suspended job.
    Resume(AttemptId),
    /// Cancels a dispatched job at the backend server, and reports the failure to the gateway if it
    /// still listens.
    Abort {
        /// Attempt that is aborted.
        attempt: AttemptId,
        /// Why it is aborted.
        reason: AbortReason,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
}
