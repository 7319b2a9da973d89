//! One attempt as decisions see it.

use proto::{AttemptId, ModelId, TeamId, Tokens};
use std::time::Duration;

/// Class of a prompt's length.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LengthClass {
    /// Prefill ends within one scheduling slice of an engine.
    Short,
    /// Longer than short, but leaves room for others.
    Medium,
    /// Prefill alone would hold short prompts up past their time.
    Long,
    /// Needs more memory than one engine has.
    Span,
}

/// One attempt that an agent was offered.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// The attempt.
    pub attempt: AttemptId,
    /// Team of the caller.
    pub team: TeamId,
    /// Weight of the team.
    pub weight: u32,
    /// Model; none for a plain service.
    pub model: Option<ModelId>,
    /// Estimated prompt length.
    pub prompt_tokens: Tokens,
    /// Most tokens of the answer.
    pub output_tokens: Tokens,
    /// Prompt tokens that the engine's prefix cache is believed to hold.
    pub cached_tokens: Tokens,
    /// Whether its memory was granted before, as a part of a span: it needs no more, and its pace
    /// is no evidence, as it also waits for other engines.
    pub has_span_grant: bool,
    /// When the attempt must have finished.
    pub deadline: Duration,
}

impl Job {
    /// Engine memory that the job may need at its end.
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
    /// Class of a prompt whose prefill takes that many seconds on the engine at hand.
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

/// Grade of a prefill by its time, from zero for the shortest. Shorter grades go first.
pub type PrefillLevel = u8;

/// Grades of prefills.
pub const PREFILL_LEVELS: usize = 8;

const FIRST_LEVEL_SECONDS: f64 = 0.2;
const LEVEL_FACTOR: f64 = 1.6;

/// Grade of a prefill that takes that many seconds; the bound of each is 1.6 times the one before.
pub fn prefill_level(seconds: f64) -> PrefillLevel {
    let steps = (seconds / FIRST_LEVEL_SECONDS).log(LEVEL_FACTOR).ceil();
    steps.clamp(0.0, PREFILL_LEVELS as f64 - 1.0) as PrefillLevel
}
