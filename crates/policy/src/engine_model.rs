//! What a model engine publishes of its speed, and the times that follow from it.

use std::time::Duration;

/// Published figures of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineModel {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens of KV cache.
    pub memory: u64,
    /// Steps of a pass in which some request writes.
    pub stride: u32,
    /// Milliseconds of a step.
    pub step_ms: f64,
    /// Milliseconds that each writing request adds to a step.
    pub writer_ms: f64,
    /// Milliseconds that each thousand tokens of context add to a step.
    pub context_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub read_per_ms: f64,
    /// Milliseconds for a million pairs of a token with an earlier one.
    pub pairs_ms: f64,
    /// Milliseconds that a step takes longer where a prompt is spread over servers.
    pub hop_ms: f64,
    /// Mean tokens of an answer.
    pub usual_answer: u64,
}

impl EngineModel {
    /// Time to read a prompt on one otherwise idle server.
    pub fn read_time(&self, tokens: u64) -> Duration {
        let tokens = tokens as f64;
        let pairs = tokens * tokens / 2.0 / 1e6;
        duration_ms(tokens / self.read_per_ms.max(1e-6) + pairs * self.pairs_ms)
    }

    /// Time of a pass in which `writers` requests write and nothing is read.
    pub fn pass_time(&self, writers: u32) -> Duration {
        let step = self.step_ms + self.writer_ms * f64::from(writers);
        duration_ms(step * f64::from(self.stride))
    }
}

fn duration_ms(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms.max(0.0) / 1e3).unwrap_or(Duration::MAX)
}
