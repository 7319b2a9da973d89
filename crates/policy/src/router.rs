//! Choice of a backend server by a gateway.

use crate::affinity::{PrefixTable, mix, prefix_tokens, top_two};
use crate::candidates::{Candidate, Candidates, DISTANCES, Distance, Pool};
use crate::members::Members;
use crate::server_load::ServerLoad;
use declarations::Declarations;
use proto::prelude::*;
use proto::{CacheHint, RefusalReason};
use std::sync::Arc;

/// Random servers compared at each distance, besides those with a known or likely cached prefix.
const SAMPLES_PER_GROUP: usize = 4;
/// Added to the predicted time to the first token if the server is in another failure domain of
/// the gateway's region.
const REGION_PENALTY_SECONDS: f64 = 0.002;
/// Added to the predicted time to the first token if the server is in another region.
const ELSEWHERE_PENALTY_SECONDS: f64 = 0.03;
/// A prefix goes to its hashed servers only up to this multiple of the mean load.
const MAX_LOAD_FACTOR: f64 = 1.25;

/// Settings of a [`Router`].
#[derive(Debug, Clone, PartialEq)]
pub struct RouterConfig {
    /// Failure domain of the gateway.
    pub domain: DomainId,
    /// Retry delay if no backend server can take a request.
    pub retry_after: Duration,
    /// Seed of the random samples.
    pub seed: u64,
}

/// Request that needs a backend server.
#[derive(Debug, Clone, Copy)]
pub struct RoutingRequest<'a> {
    /// Team of the caller.
    pub team: &'a str,
    /// Model; `None` for a plain service.
    pub model: Option<&'a str>,
    /// Service; `None` for a model.
    pub service: Option<&'a str>,
    /// Estimated prompt length.
    pub prompt_tokens: Tokens,
    /// Maximum number of tokens in the answer.
    pub output_tokens: Tokens,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Hashes of the prompt's leading blocks, shortest prefix first.
    pub prefixes: &'a [u64],
    /// Backend servers that were tried before; they are not chosen again.
    pub tried: &'a [ServerId],
}

/// Why no backend server was chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingRefusal {
    /// Reason reported to the caller.
    pub reason: RefusalReason,
    /// Delay after which the caller may retry.
    pub retry_after: Duration,
}

/// Chooses backend servers by their hints, which may be out of date: the agent has the final say.
///
/// The candidates are the two servers in the gateway's failure domain that rendezvous hashing
/// assigns to the start of the prompt, the server that probably holds its longest prefix, and a few
/// random ones at each distance. The one with the lowest predicted time to the first token is
/// chosen. If none of them can take the request, all eligible servers are considered.
#[derive(Debug)]
pub struct Router {
    cfg: RouterConfig,
    candidates: Candidates,
    loads: Vec<ServerLoad>,
    total_outstanding: u64,
    prefixes: PrefixTable,
    choices: u64,
}

#[derive(Debug, Clone, Copy)]
struct ScoredCandidate {
    seconds: f64,
    index: usize,
}

impl Router {
    /// Creates a router that refuses all requests until it is configured.
    pub fn new(cfg: RouterConfig) -> Self {
        Self {
            cfg,
            candidates: Candidates::default(),
            loads: Vec::new(),
            total_outstanding: 0,
            prefixes: PrefixTable::default(),
            choices: 0,
        }
    }

    /// Applies a configuration and membership. Servers that remain keep what is known of their
    /// load.
    pub fn configure(&mut self, declared: Arc<Declarations>, members: Arc<Members>) {
        let candidates = Candidates::new(declared, &members, &self.cfg.domain);
        let is_renumbered = candidates.names() != self.candidates.names();
        if is_renumbered {
            self.prefixes.clear();
        }
        let mut loads: Vec<ServerLoad> = Vec::with_capacity(candidates.names().len());
        for name in candidates.names() {
            let known = self.candidates.index_of(name);
            let mut load = known.map_or_else(ServerLoad::default, |index| {
                std::mem::take(&mut self.loads[index])
            });
            load.forget_draining();
            load.set_down(candidates.is_down(name));
            loads.push(load);
        }
        self.total_outstanding = loads.iter().map(|l| u64::from(l.outstanding())).sum();
        self.loads = loads;
        self.candidates = candidates;
    }

    /// Records hints from an agent.
    pub fn observe(&mut self, now: Duration, hints: &Hints) {
        self.update(&hints.server, |load| {
            load.observe(now, hints);
        });
    }

    /// Records a change in the prefix cache of an engine. Such changes arrive late, and some are
    /// lost.
    pub fn observe_cache(&mut self, server: &str, hint: &CacheHint) {
        let Some(index) = self.candidates.index_of(server) else {
            return;
        };
        if hint.cached {
            self.prefixes.insert(hint.prefix, index);
        } else {
            self.prefixes.remove(hint.prefix, index);
        }
    }

    /// Latest accepted hints of a backend server.
    pub fn hints_of(&self, server: &str) -> Option<&Hints> {
        self.loads[self.candidates.index_of(server)?].hints()
    }

    /// Records that an attempt was offered to a backend server.
    pub fn on_offered(&mut self, server: &str) {
        self.update(server, ServerLoad::on_offered);
    }

    /// Records that an attempt at a backend server ended.
    pub fn on_ended(&mut self, server: &str) {
        self.update(server, ServerLoad::on_ended);
    }

    /// Records that an agent could not be reached, so that its server is avoided for a while.
    pub fn on_unreachable(&mut self, now: Duration, server: &str) {
        self.update(server, |load| load.on_unreachable(now));
    }

    /// Chooses a backend server, and counts the request towards its load.
    pub fn choose(
        &mut self,
        now: Duration,
        request: &RoutingRequest<'_>,
    ) -> Result<ServerId, RoutingRefusal> {
        let pool = self.candidates.pool(request);
        let prefix_match = self.prefixes.longest_match(request.prefixes);
        self.choices = self.choices.wrapping_add(1);
        let best = self
            .best_of_sample(now, request, &pool, prefix_match)
            .or_else(|| self.best_of_all(now, request, &pool, prefix_match));
        let Some(ScoredCandidate { index, .. }) = best else {
            return Err(self.refusal(request, &pool));
        };
        let cached = cached_at(prefix_match, index);
        self.loads[index].on_chosen(request.prompt_tokens.saturating_sub(cached));
        for prefix in request.prefixes {
            self.prefixes.insert(*prefix, index);
        }
        Ok(self.candidates.names()[index].clone())
    }

    fn best_of_sample(
        &self,
        now: Duration,
        request: &RoutingRequest<'_>,
        pool: &Pool,
        prefix_match: Option<(usize, Tokens)>,
    ) -> Option<ScoredCandidate> {
        let mut best = None;
        let random = mix(self.cfg.seed ^ self.choices);
        for distance in DISTANCES {
            let group = pool.group(distance);
            if group.is_empty() {
                continue;
            }
            let mut score_position = |position: usize, expected: Tokens| {
                let cached = expected.max(cached_at(prefix_match, group[position].index));
                let scored =
                    self.score_candidate(now, request, pool, distance, &group[position], cached);
                best = better(best, scored);
            };
            if let Some(key) = request.prefixes.first()
                && distance == Distance::Domain
            {
                let tokens = prefix_tokens(request.prefixes.len());
                for (position, divisor) in top_two(*key, group).into_iter().zip([2, 4]) {
                    let position = position
                        .filter(|position| self.is_within_load_bound(group[*position].index));
                    if let Some(position) = position {
                        score_position(position, tokens / divisor);
                    }
                }
            }
            let start = random as usize % group.len();
            for n in 0..SAMPLES_PER_GROUP.min(group.len()) {
                score_position((start + n) % group.len(), 0);
            }
            let holder =
                prefix_match.and_then(|(index, _)| group.iter().position(|c| c.index == index));
            if let Some(position) = holder {
                score_position(position, 0);
            }
        }
        best
    }

    fn best_of_all(
        &self,
        now: Duration,
        request: &RoutingRequest<'_>,
        pool: &Pool,
        prefix_match: Option<(usize, Tokens)>,
    ) -> Option<ScoredCandidate> {
        pool.all()
            .map(|(distance, candidate)| {
                let cached = cached_at(prefix_match, candidate.index);
                self.score_candidate(now, request, pool, distance, candidate, cached)
            })
            .fold(None, better)
    }

    fn score_candidate(
        &self,
        now: Duration,
        request: &RoutingRequest<'_>,
        pool: &Pool,
        distance: Distance,
        candidate: &Candidate,
        cached: Tokens,
    ) -> Option<ScoredCandidate> {
        let index = candidate.index;
        let fits = pool.fits(request.prompt_tokens + request.output_tokens, candidate);
        if !fits || request.tried.contains(&self.candidates.names()[index]) {
            return None;
        }
        let seconds = self.loads[index].seconds_to_first_token(now, request, cached);
        let penalty = match distance {
            Distance::Domain => 0.0,
            Distance::Region => REGION_PENALTY_SECONDS,
            Distance::Elsewhere => ELSEWHERE_PENALTY_SECONDS,
        };
        Some(ScoredCandidate {
            seconds: seconds + penalty,
            index,
        })
    }

    /// Load bound of consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam,
    /// 2018).
    fn is_within_load_bound(&self, index: usize) -> bool {
        let mean = self.total_outstanding as f64 / self.loads.len().max(1) as f64;
        f64::from(self.loads[index].outstanding()) <= MAX_LOAD_FACTOR * mean + 1.0
    }

    fn refusal(&self, request: &RoutingRequest<'_>, pool: &Pool) -> RoutingRefusal {
        let needed = request.prompt_tokens + request.output_tokens;
        let has_candidates = pool.all().next().is_some();
        let reason = if has_candidates && !pool.can_hold(needed) {
            RefusalReason::NoMemory
        } else {
            RefusalReason::NoServer
        };
        RoutingRefusal {
            reason,
            retry_after: self.cfg.retry_after,
        }
    }

    fn update(&mut self, server: &str, change: impl FnOnce(&mut ServerLoad)) {
        let Some(index) = self.candidates.index_of(server) else {
            return;
        };
        let load = &mut self.loads[index];
        self.total_outstanding -= u64::from(load.outstanding());
        change(load);
        self.total_outstanding += u64::from(load.outstanding());
    }
}

fn cached_at(prefix_match: Option<(usize, Tokens)>, index: usize) -> Tokens {
    prefix_match
        .filter(|(holder, _)| *holder == index)
        .map_or(0, |(_, tokens)| tokens)
}

fn better(
    best: Option<ScoredCandidate>,
    other: Option<ScoredCandidate>,
) -> Option<ScoredCandidate> {
    match (best, other) {
        (Some(a), Some(b)) if b.seconds < a.seconds => Some(b),
        (None, b) => b,
        (a, _) => a,
    }
}
