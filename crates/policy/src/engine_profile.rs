//! Performance figures that a model engine publishes, and the times that follow from them.

use crate::engine_choice::PromptRequirements;
use std::time::Duration;

/// Published performance figures of an engine.
///
/// An engine works in iterations of [`steps_per_iteration`](Self::steps_per_iteration) decode
/// steps, and prefills prompts between them.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProfile {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Size of the KV cache in tokens.
    pub kv_capacity_tokens: u64,
    /// Decode steps per iteration.
    pub steps_per_iteration: u32,
    /// Milliseconds per decode step with no request.
    pub step_ms: f64,
    /// Milliseconds that each decoding request adds to a step.
    pub step_ms_per_sequence: f64,
    /// Milliseconds that each thousand tokens of context add to a step.
    pub step_ms_per_k_context: f64,
    /// Prompt tokens prefilled per millisecond, without the cost of attention.
    pub prefill_tokens_per_ms: f64,
    /// Milliseconds of attention per million pairs of a token with an earlier one.
    pub attention_ms_per_m_pairs: f64,
    /// Milliseconds that a step takes longer for each further engine over which a prompt is split.
    pub hop_ms: f64,
    /// Mean length of an answer in tokens.
    pub mean_output_tokens: u64,
}

impl EngineProfile {
    /// Time to prefill a prompt of this many tokens on one engine that is otherwise idle.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        let tokens = tokens as f64;
        let m_pairs = tokens * tokens / 2.0 / 1e6;
        duration_from_ms(
            tokens / self.prefill_tokens_per_ms.max(1e-6) + m_pairs * self.attention_ms_per_m_pairs,
        )
    }

    /// Time of an iteration in which this many requests decode and nothing is prefilled.
    pub fn decode_iteration_time(&self, decoding_requests: u32) -> Duration {
        let step_ms = self.step_ms + self.step_ms_per_sequence * f64::from(decoding_requests);
        duration_from_ms(step_ms * f64::from(self.steps_per_iteration))
    }

    /// Time to decode the expected answer to a prompt on an engine that is otherwise idle.
    pub fn decode_time(&self, request: &PromptRequirements) -> Duration {
        let k_context = request.prompt_tokens as f64 / 1e3;
        let step_ms =
            self.step_ms + self.step_ms_per_sequence + self.step_ms_per_k_context * k_context;
        duration_from_ms(step_ms * request.expected_output_tokens as f64)
    }
}

fn duration_from_ms(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms.max(0.0) / 1e3).unwrap_or(Duration::MAX)
}
