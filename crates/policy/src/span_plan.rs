//! Plans a span: chooses engines for a prompt that needs more memory than one of them has, and
//! splits the prompt into a segment for each.

use crate::engine_memory::max_tokens_per_job;
use crate::members::Members;
use crate::memory_lease::span_capacity;
use crate::rules::{rules_allow, serves};
use declarations::{Declarations, Server};
use proto::RefusalReason;
use proto::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Largest number of engines in one span.
pub const MAX_SEGMENTS: usize = 8;

/// Input of [`plan_span`].
#[derive(Debug, Clone, Copy)]
pub struct SpanPlanRequest<'a> {
    /// Team of the caller, which decides where the span may run.
    pub team: &'a str,
    /// Model that the engines must serve.
    pub model: &'a str,
    /// Backend server of the agent that leads. Its engine decodes the answer.
    pub leader: &'a str,
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// Largest number of tokens in the answer.
    pub output_tokens: Tokens,
    /// Backend servers that must not be used, because this span has failed there.
    pub excluded: &'a [ServerId],
    /// Shuffles equally near engines, so that different spans use different ones.
    pub seed: u64,
}

/// Part of a prompt that one engine prefills.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// Backend server of the engine.
    pub server: ServerId,
    /// First token of the segment.
    pub from: Tokens,
    /// Token after the last of the segment.
    pub to: Tokens,
    /// Tokens of memory to reserve: for the segment and, on the last engine, for the answer.
    pub tokens: Tokens,
}

/// Segments of a prompt and the engines that prefill them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpanPlan {
    /// Segments in the order of the prompt. The last belongs to the leader, whose engine decodes.
    pub segments: Vec<Segment>,
}

impl SpanPlan {
    /// Shortest time to prefill the whole prompt, without any waiting: the segments are prefilled
    /// one after another, and each imports the KV cache of all before it. Rates are in tokens per
    /// second.
    pub fn min_duration(&self, prefill_rate: f64, import_rate: f64) -> Duration {
        let prompt = self.segments.last().map_or(0, |last| last.to);
        let imported: Tokens = self.segments.iter().map(|segment| segment.from).sum();
        let seconds = prompt as f64 / prefill_rate + imported as f64 / import_rate;
        Duration::from_secs_f64(seconds)
    }
}

/// Number of tokens of a model that fit into the KV cache of a backend server's engine.
pub fn kv_capacity_tokens(declared: &Declarations, model: &str, server: &Server) -> Tokens {
    let bytes = declared
        .model(model)
        .map_or(1, |model| model.kv_bytes_per_token.max(1));
    server.memory_bytes / bytes
}

/// Whether a prompt and its answer, together of `tokens`, need more memory than a single job may
/// use on this backend server.
pub fn needs_span(declared: &Declarations, model: &str, server: &str, tokens: Tokens) -> bool {
    let capacity = declared
        .server(server)
        .map_or(0, |server| kv_capacity_tokens(declared, model, server));
    capacity > 0 && tokens > max_tokens_per_job(capacity)
}

/// Plans a span.
///
/// Fails with [`RefusalReason::NoMemory`] if no set of engines could hold it, or the leader's could
/// not hold the answer, with [`RefusalReason::NoServer`] if too few of them are in service now,
/// and with [`RefusalReason::NotAllowed`] if the leader's engine may not be used.
pub fn plan_span(
    declared: &Declarations,
    members: &Members,
    request: &SpanPlanRequest<'_>,
) -> Result<SpanPlan, RefusalReason> {
    let needed = request.prompt_tokens + request.output_tokens;
    let allowed: Vec<_> = declared
        .servers
        .iter()
        .filter(|server| serves(server, Some(request.model), None))
        .filter(|server| rules_allow(declared, request.team, Some(request.model), server))
        .collect();
    if max_span_capacity(declared, request.model, &allowed) < needed {
        return Err(RefusalReason::NoMemory);
    }
    let mut usable: Vec<_> = allowed
        .into_iter()
        .filter(|server| in_service(declared, members, server))
        .filter(|server| !request.excluded.contains(&server.name))
        .collect();
    let leader = usable
        .iter()
        .position(|server| &*server.name == request.leader)
        .ok_or(RefusalReason::NotAllowed)?;
    let leader = usable.swap_remove(leader);
    usable.sort_by_cached_key(|server| distance(declared, leader, server, request.seed));
    let chosen =
        choose_engines(declared, request, leader, &usable).ok_or(RefusalReason::NoServer)?;
    split(declared, request, &chosen).ok_or(RefusalReason::NoMemory)
}

fn max_span_capacity(declared: &Declarations, model: &str, servers: &[&Server]) -> Tokens {
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

fn distance(
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

/// Chooses the nearest engines that together hold the prompt, or the largest ones if that takes too
/// many.
fn choose_engines<'a>(
    declared: &Declarations,
    request: &SpanPlanRequest<'_>,
    leader: &'a Server,
    others: &[&'a Server],
) -> Option<Vec<&'a Server>> {
    let fill = |order: &[&'a Server]| {
        let mut chosen = vec![leader];
        let mut total_capacity = capacity(declared, request.model, leader);
        for server in order {
            if total_capacity >= request.prompt_tokens + request.output_tokens {
                break;
            }
            total_capacity += capacity(declared, request.model, server);
            chosen.push(server);
        }
        let enough = total_capacity >= request.prompt_tokens + request.output_tokens;
        (enough && chosen.len() <= MAX_SEGMENTS).then_some(chosen)
    };
    fill(others).or_else(|| {
        let mut largest = others.to_vec();
        largest.sort_by_key(|server| std::cmp::Reverse(server.memory_bytes));
        fill(&largest)
    })
}

/// Splits the prompt in proportion to the memory of the engines. The leader gets the last segment.
fn split(
    declared: &Declarations,
    request: &SpanPlanRequest<'_>,
    chosen: &[&Server],
) -> Option<SpanPlan> {
    let needed = request.prompt_tokens + request.output_tokens;
    let total_capacity: Tokens = chosen
        .iter()
        .map(|server| capacity(declared, request.model, server))
        .sum();
    let leader_capacity = capacity(declared, request.model, chosen.first()?);
    if request.output_tokens >= leader_capacity {
        return None;
    }
    let mut segments = Vec::with_capacity(chosen.len());
    let mut from = 0;
    let order = chosen.iter().skip(1).chain(chosen.first());
    for (index, server) in order.enumerate() {
        let is_last = index + 1 == chosen.len();
        let server_capacity = capacity(declared, request.model, server);
        let share = u128::from(server_capacity) * u128::from(needed);
        let share = share.div_ceil(u128::from(total_capacity)) as Tokens;
        let to = if is_last {
            request.prompt_tokens
        } else {
            (from + share.min(server_capacity)).min(request.prompt_tokens)
        };
        if from == to && !is_last {
            continue;
        }
        let output = if is_last { request.output_tokens } else { 0 };
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
