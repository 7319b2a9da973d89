//! An engine of today, for tests of decisions about engines.

use policy::EngineModel;

/// Its published figures.
pub fn model() -> EngineModel {
    EngineModel {
        slots: 16,
        memory: 450_000,
        stride: 46,
        step_ms: 0.925,
        writer_ms: 0.00483,
        context_ms: 0.00254,
        read_per_ms: 256.0,
        pairs_ms: 0.0917,
        hop_ms: 0.1,
        usual_answer: 1_500,
    }
}
