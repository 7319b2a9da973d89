//! Measures the time in which a direct gateway places a prompt, running the policy code at several
//! fleet sizes.

use crate::capacity_decisions::median_micros;
use crate::slope::Series;
use policy::{
    EngineCandidate, EngineProfile, FleetLoad, HerdAvoidance, PromptRequirements, place_prompt,
    server_key,
};
use proto::{ServerKey, ServerUsage};
use std::hint::black_box;
use std::time::Duration;

const SERVERS: [usize; 3] = [20, 200, 600];
const GATEWAYS_PER_SERVER: f64 = 340.0 / 600.0;
/// Engines on which one gateway has requests.
const ENGINES_PER_GATEWAY: usize = 12;
const EVENT_GAP_TARGET: Duration = Duration::from_millis(200);

/// Measures the summing of all gateways' load reports, and the placement of short and long prompts.
pub fn measure() -> Vec<Series> {
    let mut sum = Series::new("load of all engines, for one look", "µs", "server");
    let mut short = Series::new("placing a short prompt", "µs", "server");
    let mut long = Series::new("placing a long prompt", "µs", "server");
    for servers in SERVERS {
        let keys: Vec<ServerKey> = (0..servers).map(|n| server_key(&n.to_string())).collect();
        let load = load_from_peer_reports(&keys);
        sum.push(
            servers as f64,
            median_micros(|_| drop(black_box(candidates(&load, &keys)))),
        );
        let candidates = candidates(&load, &keys);
        for (series, prompt) in [(&mut short, 5_000), (&mut long, 300_000)] {
            let micros = median_micros(|call| {
                let herd_avoidance = HerdAvoidance {
                    unseen_placements: 10.0,
                    sender_fraction: 1.0,
                    random: u64::from(call),
                    ..HerdAvoidance::default()
                };
                drop(black_box(place_prompt(
                    &engine_profile(),
                    &requirements(prompt),
                    &candidates,
                    herd_avoidance,
                )));
            });
            series.push(servers as f64, micros);
        }
    }
    vec![sum, short, long]
}

fn load_from_peer_reports(keys: &[ServerKey]) -> FleetLoad {
    let mut load = FleetLoad::default();
    let gateways = (keys.len() as f64 * GATEWAYS_PER_SERVER) as usize;
    for gateway in 0..gateways {
        let used = (0..ENGINES_PER_GATEWAY)
            .map(|n| keys[(gateway * ENGINES_PER_GATEWAY + n) % keys.len()]);
        let used = used.map(|key| {
            let usage = ServerUsage {
                jobs: 1,
                prefill_remaining: Duration::from_millis(5),
                tokens: 6_000,
                min_event_gap_target: EVENT_GAP_TARGET,
                long_prefills: 0,
            };
            (key, usage)
        });
        load.on_peer_report(&gateway.to_string(), used.collect(), Duration::ZERO);
    }
    load
}

fn candidates(load: &FleetLoad, keys: &[ServerKey]) -> Vec<EngineCandidate> {
    let candidate = |key: &ServerKey| EngineCandidate {
        shared_order: *key,
        load: load.total(*key, Duration::ZERO),
        slowdown: 1.0,
        accepts_requests: true,
        is_limited: false,
        suspect: None,
    };
    keys.iter().map(candidate).collect()
}

fn requirements(prompt_tokens: u64) -> PromptRequirements {
    PromptRequirements {
        prompt_tokens,
        expected_output_tokens: 1_500,
        first_event_target: Duration::from_secs(3),
        event_gap_target: EVENT_GAP_TARGET,
        waited: Duration::ZERO,
        remaining: Duration::from_secs(12),
    }
}

fn engine_profile() -> EngineProfile {
    EngineProfile {
        slots: 16,
        kv_capacity_tokens: 450_000,
        steps_per_iteration: 52,
        step_ms: 0.925,
        step_ms_per_sequence: 0.00483,
        step_ms_per_k_context: 0.00254,
        prefill_tokens_per_ms: 256.0,
        attention_ms_per_m_pairs: 0.0917,
        hop_ms: 0.1,
        mean_output_tokens: 1_500,
    }
}
