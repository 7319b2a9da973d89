//! What a model engine publishes of its speed, and the times that follow from it.

use std::time::Duration;

/// Published figures of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProfile {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens of KV cache.
    pub kv_capacity_tokens: u64,
    /// Steps of a pass in which some request writes.
    pub steps_per_iteration: u32,
    /// Milliseconds of a step.
    pub step_ms: f64,
    /// Milliseconds that each writing request adds to a step.
    pub step_ms_per_sequence: f64,
    /// Milliseconds that each thousand tokens of context add to a step.
    pub step_ms_per_k_context: f64,
    /// Prompt tokens read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Milliseconds for a million pairs of a token with an earlier one.
    pub attention_ms_per_m_pairs: f64,
    /// Milliseconds that a step takes longer where a prompt is spread over servers.
    pub hop_ms: f64,
    /// Mean tokens of an answer.
    pub mean_output_tokens: u64,
}

impl EngineProfile {
    /// Time to read a prompt on one otherwise idle server.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        let tokens = tokens as f64;
        let pairs = tokens * tokens / 2.0 / 1e6;
        duration_ms(
            tokens / self.prefill_tokens_per_ms.max(1e-6) + pairs * self.attention_ms_per_m_pairs,
        )
    }

    /// Time of a pass in which `writers` requests write and nothing is read.
    pub fn decode_iteration_time(&self, writers: u32) -> Duration {
        let step = self.step_ms + self.step_ms_per_sequence * f64::from(writers);
        duration_ms(step * f64::from(self.steps_per_iteration))
    }
}

fn duration_ms(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms.max(0.0) / 1e3).unwrap_or(Duration::MAX)
}
