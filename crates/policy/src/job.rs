//! An attempt as the scheduler sees it.

use proto::{AttemptId, ModelId, TeamId, Tokens};
use std::time::Duration;

/// Length class of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LengthClass {
    /// Prefill fits in one scheduling slice of an engine.
    Short,
    /// Longer than short, but leaves time for other prompts.
    Medium,
    /// Prefill alone would delay short prompts past their deadlines.
    Long,
    /// Needs more memory than one engine has.
    Span,
}

/// One attempt offered to an agent.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Team of the caller.
    pub team: TeamId,
    /// Weight of the team in fair sharing.
    pub weight: u32,
    /// Model; `None` for a plain service.
    pub model: Option<ModelId>,
    /// Estimated prompt length.
    pub prompt_tokens: Tokens,
    /// Maximum number of tokens in the answer.
    pub output_tokens: Tokens,
    /// Prompt tokens that are probably in the engine's prefix cache.
    pub cached_tokens: Tokens,
    /// Whether the job is part of a span and runs in memory granted to it. Such a job needs no more
    /// memory, and its latency does not show the speed of this engine, as it also waits for others.
    pub has_span_grant: bool,
    /// When the attempt must have finished at the latest.
    pub deadline: Duration,
}

impl Job {
    /// Engine memory that the job may need by its end, in tokens.
    pub fn memory_tokens(&self) -> Tokens {
        if self.has_span_grant {
            0
        } else {
            self.prompt_tokens + self.output_tokens
        }
    }

    /// Prompt tokens that the engine has to prefill.
    pub fn prefill_tokens(&self) -> Tokens {
        self.prompt_tokens.saturating_sub(self.cached_tokens)
    }
}

const SHORT_PREFILL_SECONDS: f64 = 0.4;
const MEDIUM_PREFILL_SECONDS: f64 = 2.0;

impl LengthClass {
    /// Class of a prompt whose prefill takes `seconds` on this engine.
    pub fn of_prefill(seconds: f64) -> Self {
        if seconds <= SHORT_PREFILL_SECONDS {
            Self::Short
        } else if seconds <= MEDIUM_PREFILL_SECONDS {
            Self::Medium
        } else {
            Self::Long
        }
    }
}

/// Level of a prefill by its duration, from zero for the shortest. Lower levels go first.
pub type PrefillLevel = u8;

/// Number of prefill levels.
pub const PREFILL_LEVELS: usize = 8;

const FIRST_LEVEL_SECONDS: f64 = 0.2;
const LEVEL_FACTOR: f64 = 1.6;

/// Level of a prefill that takes `seconds`. The upper bound of each level is 1.6 times that of the
/// one before.
pub fn prefill_level(seconds: f64) -> PrefillLevel {
    let steps = (seconds / FIRST_LEVEL_SECONDS).log(LEVEL_FACTOR).ceil();
    steps.clamp(0.0, PREFILL_LEVELS as f64 - 1.0) as PrefillLevel
}
