//! How a prompt is cut into segments over several engines.

use crate::members::Members;
use crate::memory_lease::span_capacity;
use crate::memory_share::max_tokens_per_job;
use crate::rules::{rules_allow, serves};
use declarations::{Declarations, Server};
use proto::RefusalReason;
use proto::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Most engines of one span.
pub const MAX_SEGMENTS: usize = 8;

/// What is asked of the planner.
#[derive(Debug, Clone, Copy)]
pub struct SpanPlanRequest<'a> {
    /// Team of the caller.
    pub team: &'a str,
    /// Model.
    pub model: &'a str,
    /// Backend server of the agent that leads, which answers the caller.
    pub leader: &'a str,
    /// Prompt length.
    pub prompt_tokens: Tokens,
    /// Most tokens of the answer.
    pub output_tokens: Tokens,
    /// Backend servers that have failed this span.
    pub excluded: &'a [ServerId],
    /// Spreads spans over engines.
    pub seed: u64,
}

/// One engine's part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// Its backend server.
    pub server: ServerId,
    /// First token.
    pub from: Tokens,
    /// Token after the last.
    pub to: Tokens,
    /// Memory to reserve: the segment and, on the last engine, the answer.
    pub tokens: Tokens,
}

/// Segments in the order of the prompt. The last is the leader's, whose engine decodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpanPlan {
    /// The segments.
    pub segments: Vec<Segment>,
}

impl SpanPlan {
    /// Time of the span with no waiting: the segments prefill one after another, each importing
    /// all that comes before it. Rates are in tokens a second.
    pub fn min_duration(&self, prefill_rate: f64, import_rate: f64) -> Duration {
        let prompt = self.segments.last().map_or(0, |last| last.to);
        let imported: Tokens = self.segments.iter().map(|segment| segment.from).sum();
        let seconds = prompt as f64 / prefill_rate + imported as f64 / import_rate;
        Duration::from_secs_f64(seconds)
    }
}

/// Tokens of KV cache that an engine's memory holds of a model.
pub fn kv_capacity_tokens(declared: &Declarations, model: &str, server: &Server) -> Tokens {
    let bytes = declared
        .model(model)
        .map_or(1, |model| model.kv_bytes_per_token.max(1));
    server.memory_bytes / bytes
}

/// Whether a prompt and its answer need more than the engine of one backend server takes in a job.
pub fn needs_span(declared: &Declarations, model: &str, server: &str, tokens: Tokens) -> bool {
    let memory = declared
        .server(server)
        .map_or(0, |server| kv_capacity_tokens(declared, model, server));
    memory > 0 && tokens > max_tokens_per_job(memory)
}

/// Plans a span, or says at once that no set of engines can hold it: [`RefusalReason::NoMemory`]
/// where none could, [`RefusalReason::NoServer`] where too few are in service now.
pub fn plan_span(
    declared: &Declarations,
    members: &Members,
    ask: &SpanPlanRequest<'_>,
) -> Result<SpanPlan, RefusalReason> {
    let needed = ask.prompt_tokens + ask.output_tokens;
    let allowed: Vec<_> = declared
        .servers
        .iter()
        .filter(|server| serves(server, Some(ask.model), None))
        .filter(|server| rules_allow(declared, ask.team, Some(ask.model), server))
        .collect();
    if best_capacity(declared, ask.model, &allowed) < needed {
        return Err(RefusalReason::NoMemory);
    }
    let mut usable: Vec<_> = allowed
        .into_iter()
        .filter(|server| in_service(declared, members, server))
        .filter(|server| !ask.excluded.contains(&server.name))
        .collect();
    let leader = usable
        .iter()
        .position(|server| &*server.name == ask.leader)
        .ok_or(RefusalReason::NotAllowed)?;
    let leader = usable.swap_remove(leader);
    usable.sort_by_cached_key(|server| nearness(declared, leader, server, ask.seed));
    let chosen = choose(declared, ask, leader, &usable).ok_or(RefusalReason::NoServer)?;
    cut(declared, ask, &chosen).ok_or(RefusalReason::NoMemory)
}

fn best_capacity(declared: &Declarations, model: &str, servers: &[&Server]) -> Tokens {
    let mut capacities: Vec<_> = servers
        .iter()
        .map(|server| capacity(declared, model, server))
        .collect();
    capacities.sort_unstable_by(|a, b| b.cmp(a));
    capacities.iter().take(MAX_SEGMENTS).sum()
}

fn capacity(declared: &Declarations, model: &str, server: &Server) -> Tokens {
    span_capacity(kv_capacity_tokens(declared, model, server))
}

fn in_service(declared: &Declarations, members: &Members, server: &Server) -> bool {
    let domain_in = declared
        .domain(&server.domain)
        .is_some_and(|domain| !domain.out);
    let agent_up = members
        .agent_of(&server.name)
        .is_some_and(|agent| !agent.leaving && !agent.down);
    domain_in && !server.drained && agent_up
}

fn nearness(
    declared: &Declarations,
    leader: &Server,
    server: &Server,
    seed: u64,
) -> (bool, bool, u64) {
    let region = |name: &str| declared.domain(name).map(|domain| domain.region.clone());
    (
        region(&server.domain) != region(&leader.domain),
        server.domain != leader.domain,
        xxh3_64_with_seed(server.name.as_bytes(), seed),
    )
}

/// Takes the nearest engines until they hold the prompt; where that needs too many, the largest.
fn choose<'a>(
    declared: &Declarations,
    ask: &SpanPlanRequest<'_>,
    leader: &'a Server,
    others: &[&'a Server],
) -> Option<Vec<&'a Server>> {
    let take = |order: &[&'a Server]| {
        let mut chosen = vec![leader];
        let mut room = capacity(declared, ask.model, leader);
        for server in order {
            if room >= ask.prompt_tokens + ask.output_tokens {
                break;
            }
            room += capacity(declared, ask.model, server);
            chosen.push(server);
        }
        let enough = room >= ask.prompt_tokens + ask.output_tokens;
        (enough && chosen.len() <= MAX_SEGMENTS).then_some(chosen)
    };
    take(others).or_else(|| {
        let mut largest = others.to_vec();
        largest.sort_by_key(|server| std::cmp::Reverse(server.memory_bytes));
        take(&largest)
    })
}

/// Cuts the prompt in proportion to the engines' memory; the leader has the last segment.
fn cut(declared: &Declarations, ask: &SpanPlanRequest<'_>, chosen: &[&Server]) -> Option<SpanPlan> {
    let needed = ask.prompt_tokens + ask.output_tokens;
    let room: Tokens = chosen
        .iter()
        .map(|server| capacity(declared, ask.model, server))
        .sum();
    let leader_room = capacity(declared, ask.model, chosen.first()?);
    if ask.output_tokens >= leader_room {
        return None;
    }
    let mut segments = Vec::with_capacity(chosen.len());
    let mut from = 0;
    let order = chosen.iter().skip(1).chain(chosen.first());
    for (index, server) in order.enumerate() {
        let last = index + 1 == chosen.len();
        let part = capacity(declared, ask.model, server);
        let share = u128::from(part) * u128::from(needed);
        let share = share.div_ceil(u128::from(room)) as Tokens;
        let to = if last {
            ask.prompt_tokens
        } else {
            (from + share.min(part)).min(ask.prompt_tokens)
        };
        if from == to && !last {
            continue;
        }
        let output = if last { ask.output_tokens } else { 0 };
        segments.push(Segment {
            server: server.name.clone(),
            from,
            to,
            tokens: to - from + output,
        });
        from = to;
    }
    Some(SpanPlan { segments })
}
