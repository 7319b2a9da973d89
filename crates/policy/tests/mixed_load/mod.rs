//! Gateways that place short prompts beside the longest ones, in virtual time. In the middle, engines begin
//! to fail some of their requests.

use crate::engine::model;
use crate::{TARGET, draft, idle, ms};
use policy::{
    AttemptResult, EngineCandidate, EnginePlacement, EngineProfile, HerdAvoidance,
    PromptRequirements, ServerHealth, place_prompt,
};
use proto::ServerUsage;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use std::time::Duration;

/// So few that each of them has seen failures of most of these engines.
const GATEWAYS: usize = 2;
const ENGINES: usize = 22;
/// Engines that begin to fail, those that short prompts are packed onto.
const FAILING: std::ops::Range<usize> = 0..5;
/// Share of its requests that a failing engine does not answer.
const FAILURE_RATE: f64 = 0.25;
pub const FAILURES_START: Duration = ms(5_000);
const LOAD_END: Duration = ms(10_000);
const ANSWER_TIME: Duration = ms(1_500);
const STEP: Duration = ms(10);
/// Short prompts per second. Their answers need four engines.
const SHORT_RATE: f64 = 25.0;
/// Interval of the longest prompts. Each takes 17 engines for 2.4 s, all that do not fail.
const LONG_INTERVAL: Duration = ms(2_000);

fn profile() -> EngineProfile {
    EngineProfile {
        slots: 12,
        kv_capacity_tokens: 405_000,
        ..model()
    }
}

#[derive(Debug, Clone)]
struct Prompt {
    id: u64,
    request: PromptRequirements,
    gateway: usize,
    arrived: Duration,
    checked_at: Duration,
}

#[derive(Debug, Default)]
struct Engine {
    part_ends: Duration,
    prefilled_at: Duration,
    /// Number and end of each answer that it decodes.
    answers: Vec<(u64, Duration)>,
}

/// Gateways that place short prompts beside the longest ones, with exact knowledge of the load.
#[derive(Debug)]
pub struct MixedLoad {
    rng: SmallRng,
    now: Duration,
    engines: Vec<Engine>,
    /// Health of the engines as each gateway knows it.
    health: Vec<Vec<ServerHealth>>,
    waiting: Vec<Prompt>,
    arrived: u64,
    /// Attempts at short prompts, with the time of their first event or failure.
    attempts: Vec<(Duration, usize, bool, Prompt)>,
    on_time: Vec<(Duration, bool)>,
}

impl MixedLoad {
    pub fn run(seed: u64) -> Self {
        let health = || (0..ENGINES).map(|_| ServerHealth::default()).collect();
        let mut load = Self {
            rng: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            health: (0..GATEWAYS).map(|_| health()).collect(),
            waiting: Vec::new(),
            arrived: 0,
            attempts: Vec::new(),
            on_time: Vec::new(),
        };
        while load.now < LOAD_END {
            load.now += STEP;
            if load.rng.random_bool(SHORT_RATE * STEP.as_secs_f64()) {
                load.arrive(draft(ms(0)));
            }
            let interval = LONG_INTERVAL.as_millis();
            if load.now.as_millis().is_multiple_of(interval) {
                load.arrive(longest());
            }
            load.end_attempts();
            for engine in &mut load.engines {
                engine.answers.retain(|(_, end)| *end > load.now);
            }
            load.check();
        }
        load
    }

    fn arrive(&mut self, request: PromptRequirements) {
        let gateway = self.rng.random_range(0..GATEWAYS);
        self.arrived += 1;
        self.waiting.push(Prompt {
            id: self.arrived,
            request,
            gateway,
            arrived: self.now,
            checked_at: self.now,
        });
    }

    fn end_attempts(&mut self) {
        let now = self.now;
        for (at, engine, is_answered, prompt) in
            self.attempts.extract_if(.., |attempt| attempt.0 <= now)
        {
            let health = &mut self.health[prompt.gateway][engine];
            if is_answered {
                health.on_result(AttemptResult::Answered, now);
                let on_time = at <= prompt.arrived + prompt.request.first_event_target;
                self.on_time.push((prompt.arrived, on_time));
            } else {
                health.on_result(AttemptResult::Failed, now);
                let answers = &mut self.engines[engine].answers;
                answers.retain(|(id, _)| *id != prompt.id);
                self.waiting.push(Prompt {
                    checked_at: now,
                    ..prompt
                });
            }
        }
    }

    /// Checks the prompts that wait every 30 ms, those with the shortest target first.
    fn check(&mut self) {
        let now = self.now;
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_key(|prompt| prompt.arrived + prompt.request.first_event_target);
        for mut prompt in waiting {
            let waited = now - prompt.arrived;
            if waited > prompt.request.remaining {
                continue;
            }
            if prompt.checked_at > now {
                self.waiting.push(prompt);
                continue;
            }
            prompt.checked_at = now + ms(30);
            let request = PromptRequirements {
                waited,
                remaining: prompt.request.remaining - waited,
                ..prompt.request.clone()
            };
            let herd_avoidance = HerdAvoidance {
                random: self.rng.random(),
                ..HerdAvoidance::default()
            };
            let engines = self.candidates(prompt.gateway);
            match place_prompt(&profile(), &request, &engines, herd_avoidance) {
                Ok(placement) => self.start(prompt, &placement),
                Err(_) => self.waiting.push(prompt),
            }
        }
    }

    fn candidates(&self, gateway: usize) -> Vec<EngineCandidate> {
        let engines = self.engines.iter().enumerate();
        let candidates = engines.map(|(order, engine)| EngineCandidate {
            load: ServerUsage {
                prefill_remaining: engine.prefilled_at.saturating_sub(self.now),
                long_prefills: u32::from(engine.part_ends > self.now),
                jobs: engine.answers.len() as u32,
                min_event_gap_target: if engine.answers.is_empty() {
                    Duration::MAX
                } else {
                    ms(200)
                },
                ..ServerUsage::default()
            },
            suspect: self.health[gateway][order].suspect_kind(self.now),
            ..idle(order)
        });
        candidates.collect()
    }

    fn start(&mut self, prompt: Prompt, placement: &EnginePlacement) {
        let now = self.now;
        let helpers = placement.helpers.iter().map(|helper| helper.engine);
        for index in helpers.chain([placement.decoder]) {
            let engine = &mut self.engines[index];
            engine.prefilled_at = engine.prefilled_at.max(now) + placement.part_prefill_time;
            if prompt.request.prompt_tokens == longest().prompt_tokens {
                engine.part_ends = engine.prefilled_at;
            }
        }
        if prompt.request.prompt_tokens == longest().prompt_tokens {
            return;
        }
        let engine = &mut self.engines[placement.decoder];
        engine.answers.push((prompt.id, now + ANSWER_TIME));
        let decode = profile().decode_iteration_time(engine.answers.len() as u32);
        let first_event = engine.prefilled_at + decode;
        let is_failing = now >= FAILURES_START && FAILING.contains(&placement.decoder);
        let is_answered = !(is_failing && self.rng.random_bool(FAILURE_RATE));
        self.attempts
            .push((first_event, placement.decoder, is_answered, prompt));
    }

    /// Share of the short prompts on time that arrived from `start` on. Those without an answer are late.
    pub fn share_on_time(&self, start: Duration) -> f64 {
        let answered = self.on_time.iter().copied();
        let attempts = self.attempts.iter().map(|(_, _, _, prompt)| prompt);
        let open = attempts
            .chain(&self.waiting)
            .filter(|prompt| prompt.request.prompt_tokens == draft(ms(0)).prompt_tokens)
            .filter(|prompt| prompt.arrived + TARGET < self.now)
            .map(|prompt| (prompt.arrived, false));
        let of_time: Vec<_> = answered
            .chain(open)
            .filter(|(arrived, _)| *arrived >= start)
            .collect();
        let on_time = of_time.iter().filter(|(_, on_time)| *on_time).count();
        on_time as f64 / of_time.len().max(1) as f64
    }
}

fn longest() -> PromptRequirements {
    PromptRequirements {
        prompt_tokens: 900_000,
        expected_output_tokens: 800,
        first_event_target: ms(4_000),
        event_gap_target: ms(4_000),
        waited: ms(0),
        remaining: ms(16_000),
    }
}
