//! A gateway's choice of a backend server.

use crate::affinity::{PrefixTable, mix, prefix_tokens, two_homes};
use crate::candidates::{Candidate, Candidates, DISTANCES, Distance, Pool};
use crate::members::Members;
use crate::server_load::ServerLoad;
use declarations::Declarations;
use proto::prelude::*;
use proto::{CacheHint, RefusalReason};
use std::sync::Arc;

const SAMPLES_OF_GROUP: usize = 4;
const REGION_SECONDS: f64 = 0.002;
const ELSEWHERE_SECONDS: f64 = 0.03;
const MOST_OVER_MEAN: f64 = 1.25;

/// Settings of a [`Router`].
#[derive(Debug, Clone, PartialEq)]
pub struct RouterConfig {
    /// Failure domain of the gateway.
    pub domain: DomainId,
    /// Time to come back where no backend server may carry a request.
    pub retry_after: Duration,
    /// Seed of all choices.
    pub seed: u64,
}

/// What is asked of the router.
#[derive(Debug, Clone, Copy)]
pub struct RoutingRequest<'a> {
    /// Team of the caller.
    pub team: &'a str,
    /// Model; none for a plain service.
    pub model: Option<&'a str>,
    /// Service; none for a model.
    pub service: Option<&'a str>,
    /// Estimated prompt length.
    pub prompt_tokens: Tokens,
    /// Most tokens of the answer.
    pub output_tokens: Tokens,
    /// Time left.
    pub remaining: Duration,
    /// Hashes of the prompt's leading blocks.
    pub prefixes: &'a [u64],
    /// Backend servers already tried.
    pub tried: &'a [ServerId],
}

/// Why there is no choice.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back.
    pub retry_after: Duration,
}

/// Chooses backend servers by hints, which may be out of date: the agent decides.
///
/// It compares the two homes that rendezvous hashing gives a prompt's beginning with a few servers
/// of each distance drawn at random, and takes the one whose first token should come first.
#[derive(Debug)]
pub struct Router {
    cfg: RouterConfig,
    candidates: Candidates,
    loads: Vec<ServerLoad>,
    outstanding: u64,
    prefixes: PrefixTable,
    choices: u64,
}

#[derive(Debug, Clone, Copy)]
struct Best {
    seconds: f64,
    index: usize,
}

impl Router {
    /// A router that knows no backend server yet.
    pub fn new(cfg: RouterConfig) -> Self {
        Self {
            cfg,
            candidates: Candidates::default(),
            loads: Vec::new(),
            outstanding: 0,
            prefixes: PrefixTable::default(),
            choices: 0,
        }
    }

    /// Takes a configuration and membership into force.
    pub fn configure(&mut self, declared: Arc<Declarations>, members: Arc<Members>) {
        let candidates = Candidates::new(declared, &members, &self.cfg.domain);
        let renumbered = candidates.names() != self.candidates.names();
        if renumbered {
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
        self.outstanding = loads.iter().map(|l| u64::from(l.outstanding())).sum();
        self.loads = loads;
        self.candidates = candidates;
    }

    /// Takes hints from an agent.
    pub fn observe(&mut self, now: Duration, hints: &Hints) {
        self.update(&hints.server, |load| {
            load.observe(now, hints);
        });
    }

    /// Takes a change in the prefix cache of a backend server's engine, late and with gaps.
    pub fn observe_cache(&mut self, server: &str, hint: &CacheHint) {
        let Some(index) = self.candidates.index_of(server) else {
            return;
        };
        if hint.held {
            self.prefixes.put(hint.prefix, index);
        } else {
            self.prefixes.drop_from(hint.prefix, index);
        }
    }

    /// The hints of a backend server that are believed.
    pub fn hints_of(&self, server: &str) -> Option<&Hints> {
        self.loads[self.candidates.index_of(server)?].hints()
    }

    /// Notes that an attempt was offered.
    pub fn on_offered(&mut self, server: &str) {
        self.update(server, ServerLoad::on_offered);
    }

    /// Notes that an attempt ended.
    pub fn on_ended(&mut self, server: &str) {
        self.update(server, ServerLoad::on_ended);
    }

    /// Notes that an agent could not be reached.
    pub fn on_unreachable(&mut self, now: Duration, server: &str) {
        self.update(server, |load| load.on_unreachable(now));
    }

    /// Chooses a backend server.
    pub fn choose(
        &mut self,
        now: Duration,
        ask: &RoutingRequest<'_>,
    ) -> Result<ServerId, RoutingRefusal> {
        let pool = self.candidates.pool(ask);
        let held = self.prefixes.longest(ask.prefixes);
        self.choices = self.choices.wrapping_add(1);
        let best = self
            .best_of_few(now, ask, &pool, held)
            .or_else(|| self.best_of_all(now, ask, &pool, held));
        let Some(Best { index, .. }) = best else {
            return Err(self.no_server(ask, &pool));
        };
        let cached = cached_at(held, index);
        self.loads[index].on_chosen(ask.prompt_tokens.saturating_sub(cached));
        for prefix in ask.prefixes {
            self.prefixes.put(*prefix, index);
        }
        Ok(self.candidates.names()[index].clone())
    }

    fn best_of_few(
        &self,
        now: Duration,
        ask: &RoutingRequest<'_>,
        pool: &Pool,
        held: Option<(usize, Tokens)>,
    ) -> Option<Best> {
        let mut best = None;
        let draw = mix(self.cfg.seed ^ self.choices);
        for distance in DISTANCES {
            let group = pool.group(distance);
            if group.is_empty() {
                continue;
            }
            let mut try_place = |place: usize, presumed: Tokens| {
                let cached = presumed.max(cached_at(held, group[place].index));
                let tried = self.try_candidate(now, ask, pool, distance, &group[place], cached);
                best = better(best, tried);
            };
            if let Some(key) = ask.prefixes.first()
                && distance == Distance::Domain
            {
                let tokens = prefix_tokens(ask.prefixes.len());
                for (place, parts) in two_homes(*key, group).into_iter().zip([2, 4]) {
                    let place = place.filter(|place| self.is_within_bound(group[*place].index));
                    if let Some(place) = place {
                        try_place(place, tokens / parts);
                    }
                }
            }
            let start = draw as usize % group.len();
            for n in 0..SAMPLES_OF_GROUP.min(group.len()) {
                try_place((start + n) % group.len(), 0);
            }
            let holder = held.and_then(|(index, _)| group.iter().position(|c| c.index == index));
            if let Some(place) = holder {
                try_place(place, 0);
            }
        }
        best
    }

    fn best_of_all(
        &self,
        now: Duration,
        ask: &RoutingRequest<'_>,
        pool: &Pool,
        held: Option<(usize, Tokens)>,
    ) -> Option<Best> {
        pool.all()
            .map(|(distance, candidate)| {
                let cached = cached_at(held, candidate.index);
                self.try_candidate(now, ask, pool, distance, candidate, cached)
            })
            .fold(None, better)
    }

    fn try_candidate(
        &self,
        now: Duration,
        ask: &RoutingRequest<'_>,
        pool: &Pool,
        distance: Distance,
        candidate: &Candidate,
        cached: Tokens,
    ) -> Option<Best> {
        let index = candidate.index;
        let fits = pool.fits(ask.prompt_tokens + ask.output_tokens, candidate);
        if !fits || ask.tried.contains(&self.candidates.names()[index]) {
            return None;
        }
        let seconds = self.loads[index].seconds_to_first_token(now, ask, cached);
        let way = match distance {
            Distance::Domain => 0.0,
            Distance::Region => REGION_SECONDS,
            Distance::Elsewhere => ELSEWHERE_SECONDS,
        };
        Some(Best {
            seconds: seconds + way,
            index,
        })
    }

    /// Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018).
    fn is_within_bound(&self, index: usize) -> bool {
        let mean = self.outstanding as f64 / self.loads.len().max(1) as f64;
        f64::from(self.loads[index].outstanding()) <= MOST_OVER_MEAN * mean + 1.0
    }

    fn no_server(&self, ask: &RoutingRequest<'_>, pool: &Pool) -> RoutingRefusal {
        let need = ask.prompt_tokens + ask.output_tokens;
        let any = pool.all().next().is_some();
        let reason = if any && !pool.can_hold(need) {
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
        self.outstanding -= u64::from(load.outstanding());
        change(load);
        self.outstanding += u64::from(load.outstanding());
    }
}

fn cached_at(held: Option<(usize, Tokens)>, index: usize) -> Tokens {
    held.filter(|(holder, _)| *holder == index)
        .map_or(0, |(_, tokens)| tokens)
}

fn better(best: Option<Best>, other: Option<Best>) -> Option<Best> {
    match (best, other) {
        (Some(a), Some(b)) if b.seconds < a.seconds => Some(b),
        (None, b) => b,
        (a, _) => a,
    }
}
