//! Figures of a realistic engine, for tests of decisions about engines.

use policy::EngineProfile;

/// Published figures of the engine.
pub fn model() -> EngineProfile {
    EngineProfile {
        slots: 16,
        kv_capacity_tokens: 450_000,
        steps_per_iteration: 46,
        step_ms: 0.925,
        step_ms_per_sequence: 0.00483,
        step_ms_per_k_context: 0.00254,
        prefill_tokens_per_ms: 256.0,
        attention_ms_per_m_pairs: 0.0917,
        hop_ms: 0.1,
        mean_output_tokens: 1_500,
    }
}
