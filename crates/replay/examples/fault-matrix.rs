//! Runs the fault matrices of all protocols and prints a summary. Fails if any cell fails.

#[path = "../../policy/tests/fleet/mod.rs"]
#[allow(dead_code, reason = "the tests of configurations use the rest")]
mod fleet;
#[path = "../tests/fault_matrix/outer.rs"]
mod outer;
#[path = "../../policy/tests/span/world/mod.rs"]
#[allow(dead_code, reason = "the tests of spans use the rest")]
mod span_world;

use outer::{config_matrix, order_matrix, span_matrix};
use replay::{FaultMatrix, claim_matrix, request_matrix, unreported_cold_matrix};
use std::process::ExitCode;

fn main() -> ExitCode {
    let parts = [
        request_matrix(),
        claim_matrix(),
        span_matrix(),
        order_matrix(),
        config_matrix(),
        unreported_cold_matrix(),
    ];
    let cells = parts.into_iter().flat_map(|part| part.cells).collect();
    let matrix = FaultMatrix { cells };
    print!("{matrix}");
    if matrix.failed().next().is_some() {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
