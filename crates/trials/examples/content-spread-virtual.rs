//! Prints how declarations of several sizes, and a change of one entry, spread over 103 and 340 gateways in
//! virtual time.

use trials::{SimContentPlan, run_sim_content};

const GATEWAYS: [usize; 3] = [26, 103, 340];
const SIZES: [usize; 5] = [100_000, 1_000_000, 3_000_000, 10_000_000, 30_000_000];
/// Limit on the scripts for a change of one entry, which `content_history` checks.
const CHANGE_BYTES: usize = 4 << 10;

fn main() {
    println!(
        "| gateways | declarations | sent | median ms | slowest ms | most sent by one, MB | read the store |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for gateways in GATEWAYS {
        for declarations in SIZES {
            for (label, bytes) in [("whole", declarations), ("one entry", CHANGE_BYTES)] {
                let figures = run_sim_content(SimContentPlan {
                    gateways,
                    bytes,
                    store_bytes: declarations * 4 / 3,
                    link_mbit: 200.0,
                    store_mbit: 1_000.0,
                    peers_send: true,
                    seed: 1,
                });
                println!(
                    "| {gateways} | {:.1} MB | {label} | {} | {} | {:.1} | {} |",
                    declarations as f64 / 1e6,
                    figures.median.as_millis(),
                    figures.slowest.as_millis(),
                    figures.max_sent / 1e6,
                    figures.fallbacks,
                );
            }
        }
    }
}
