//! What the prompt of a call asks of the queue for engines.

use crate::call::Call;
use crate::prompt_queue::PlacementRequest;
use policy::{PromptRequirements, RetryTurn, team_key};
use std::time::Duration;

/// Estimates of the response length are correct in the median; this factor covers most
/// longer responses.
const LENGTH_ESTIMATE_FACTOR: f64 = 1.3;

/// Estimates what a prompt needs of engines.
fn prompt_requirements(call: &Call) -> PromptRequirements {
    let mean_length = call
        .admitted
        .service
        .engine
        .as_ref()
        .map_or(0, |profile| profile.mean_output_tokens);
    let usage = call.head.usage;
    let estimate = usage
        .and_then(|usage| usage.estimated_output_tokens)
        .unwrap_or(mean_length);
    let output_tokens = (estimate as f64 * LENGTH_ESTIMATE_FACTOR) as u64;
    PromptRequirements {
        prompt_tokens: usage.map_or(1, |usage| usage.prompt_tokens),
        expected_output_tokens: usage.map_or(output_tokens, |usage| {
            output_tokens.min(usage.max_output_tokens)
        }),
        first_event_target: call.admitted.route.target_latency,
        event_gap_target: call.admitted.route.target_gap,
        waited: Duration::ZERO,
        remaining: call.admitted.route.caller_wait_limit(),
    }
}

/// Request for engines for the prompt of a call, which may have been sent before.
pub fn placement_request(call: &Call, turn: Option<RetryTurn>) -> PlacementRequest {
    let now = call.shared.clock.now();
    let is_retry = call.sends() > 0;
    // A retry starts to wait now: the caller of a resumed stream already has part of the response.
    let since = if is_retry { now } else { call.arrived };
    PlacementRequest {
        req: call.head.id.clone(),
        service: call.admitted.service.clone(),
        requirements: prompt_requirements(call),
        rank: call.rank(),
        team: team_key(call.admitted.team.as_ref().map(|team| &*team.name)),
        is_retry,
        since,
        deadline: call
            .deadline
            .min(since + call.admitted.route.caller_wait_limit()),
        tried_servers: call.tried.list(),
        suspects: call.suspects.clone(),
        is_trial: call.is_trial(),
        turn,
    }
}
