//! Gateways with queues of their own before the same engines, in virtual time.

use crate::engine::model;
use policy::{
    AttemptResult, EngineCandidate, FleetPlacement, FleetQueue, HerdAvoidance, LocalPrompt,
    MAX_REPORTED_PROMPTS, PromptRequirements, QueuedPrompt, ServerHealth, TeamShares,
    TeamsOverShare, engines_needed, next_check_after, place_prompt, service_key, sort_queue,
};
use proto::{ReportedPrompt, ServerUsage, ServiceQueue, WaitingFrame};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use std::ops::Range;
use std::time::Duration;

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const STEP: Duration = ms(5);
/// Time that frames take to a peer.
const FRAME_DELAY: Duration = ms(10);
const FRAME_INTERVAL: Duration = ms(50);
const TEAMS: u64 = 24;
/// Share of its requests that a failing engine does not answer.
const FAILURE_RATE: f64 = 0.25;

/// What arrives.
#[derive(Debug)]
pub enum Load {
    /// Twice what the engines can prefill, of three ranks.
    OfThreeRanks,
    /// The same of one rank and 24 teams, of which the first sends ten times as many as each other.
    WithLargeTeam,
}

/// A prompt that has started or was given up.
#[derive(Debug, Clone, Copy)]
pub struct Ended {
    pub rank: u8,
    pub gateway: usize,
    pub on_time: bool,
    pub team: u64,
    /// Whether its prefill ended within the target; `None` if it did not start or an engine failed it.
    pub ended_in_time: Option<bool>,
    /// Prefill time that was started over all engines while another team's prompt waited that could
    /// still be on time; zero otherwise.
    pub started: Duration,
}

#[derive(Debug, Default)]
struct Gateway {
    queue: Vec<QueuedPrompt>,
    fleet_queue: FleetQueue,
    shares: TeamShares,
    /// Health of the engines as this gateway knows it.
    health: Vec<ServerHealth>,
    next_check: Duration,
    next_frame: Duration,
    is_silent: bool,
}

impl Gateway {
    fn before(engines: usize) -> Self {
        Self {
            health: vec![ServerHealth::default(); engines],
            ..Self::default()
        }
    }
}

#[derive(Debug)]
pub struct World {
    now: Duration,
    rng: SmallRng,
    /// Time at which each engine has ended its prefill, actual and by forecast.
    busy: Vec<(Duration, Duration)>,
    gateways: Vec<Gateway>,
    frames: Vec<(Duration, usize, WaitingFrame)>,
    ended: Vec<Ended>,
    /// Number, team and time up to which it can be on time of each prompt that waits.
    waiting: Vec<(u64, u64, Duration)>,
    arrived: u64,
    faults: Faults,
}

/// Errors of forecasts and failures of engines. They have random numbers of their own, so that a replay
/// without them does not depend on them.
#[derive(Debug)]
struct Faults {
    rng: SmallRng,
    /// Largest part of a forecast by which a prefill takes longer.
    max_overrun: f64,
    /// Engines that fail a part of their requests.
    failing: Range<usize>,
    /// Prompts that an engine fails, with the time at which their gateways hear of it.
    failed: Vec<(Duration, usize, QueuedPrompt, usize)>,
}

impl Faults {
    /// Factor by which a prefill takes longer than forecast.
    fn overrun(&mut self) -> f64 {
        if self.max_overrun == 0.0 {
            return 1.0;
        }
        1.0 + self.rng.random_range(0.0..=self.max_overrun)
    }

    /// The first of these engines that fails the prompt.
    fn failing_engine(&mut self, mut engines: impl Iterator<Item = usize>) -> Option<usize> {
        engines.find(|engine| self.failing.contains(engine) && self.rng.random_bool(FAILURE_RATE))
    }
}

impl World {
    pub fn new(gateways: usize, engines: usize, seed: u64) -> Self {
        Self {
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            busy: vec![(Duration::ZERO, Duration::ZERO); engines],
            gateways: (0..gateways).map(|_| Gateway::before(engines)).collect(),
            frames: Vec::new(),
            ended: Vec::new(),
            waiting: Vec::new(),
            arrived: 0,
            faults: Faults {
                rng: SmallRng::seed_from_u64(seed),
                max_overrun: 0.0,
                failing: 0..0,
                failed: Vec::new(),
            },
        }
    }

    /// From now on, prefills take up to `max` of their forecasts longer.
    pub fn overrun_forecasts(&mut self, max: f64) {
        self.faults.max_overrun = max;
    }

    /// From now on, these engines fail some of their requests.
    pub fn fail_engines(&mut self, engines: Range<usize>) {
        self.faults.failing = engines;
    }

    /// Prompts that started, with a forecast within their target, and no engine failed.
    pub fn started_as_on_time(&self) -> impl Iterator<Item = &Ended> {
        let started = self.ended.iter();
        started.filter(|ended| ended.on_time && ended.ended_in_time.is_some())
    }

    pub fn run(&mut self, time: Duration, load: &Load) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.arrive(load);
            self.deliver_frames();
            self.return_failed();
            let first = self.rng.random_range(0..self.gateways.len());
            for offset in 0..self.gateways.len() {
                let gateway = (first + offset) % self.gateways.len();
                self.check(gateway);
                self.send_frame(gateway);
            }
        }
    }

    /// From now on, peers hear nothing of this gateway, and it ends.
    pub fn silence(&mut self, gateway: usize) {
        self.gateways[gateway].is_silent = true;
        self.gateways[gateway].queue.clear();
    }

    /// Fraction of the prompts that were on time. Those that wait and are late count as well.
    pub fn on_time(&self, of: impl Fn(&Ended) -> bool) -> f64 {
        let gateways = self.gateways.iter().enumerate();
        let late = gateways.flat_map(|(gateway, state)| {
            let late = state
                .queue
                .iter()
                .filter(|prompt| prompt.queued_at + prompt.request.first_event_target < self.now);
            late.map(move |prompt| Ended {
                rank: prompt.rank,
                gateway,
                on_time: false,
                team: prompt.team,
                ended_in_time: None,
                started: Duration::ZERO,
            })
        });
        let ended = self.ended.iter().copied().chain(late);
        let ended: Vec<_> = ended.filter(|ended| of(ended)).collect();
        let on_time = ended.iter().filter(|ended| ended.on_time).count();
        on_time as f64 / ended.len().max(1) as f64
    }

    /// Prefill time started for each team while others wait, as a multiple of an equal share.
    pub fn shares(&self) -> Vec<f64> {
        let mut started = vec![0.0; TEAMS as usize];
        for ended in &self.ended {
            started[ended.team as usize] += ended.started.as_secs_f64();
        }
        let equal = started.iter().sum::<f64>() / TEAMS as f64;
        started.iter().map(|started| started / equal).collect()
    }

    pub fn summary(&self) -> String {
        let ranks = [0, 1, 2].map(|rank| self.on_time(|ended| ended.rank == rank));
        format!("{} ended, on time by rank {ranks:.2?}", self.ended.len())
    }

    fn arrive(&mut self, load: &Load) {
        // Rank, tokens, target and arrivals per second.
        let kinds = match load {
            Load::OfThreeRanks => [
                (0, 100_000, ms(1_500), 4.0),
                (1, 200_000, ms(3_000), 4.0),
                (2, 400_000, ms(8_000), 1.1),
            ],
            Load::WithLargeTeam => [(0, 200_000, ms(4_000), 13.5); 3],
        };
        for (rank, tokens, target, rate) in kinds {
            if !self.rng.random_bool(rate * STEP.as_secs_f64()) {
                continue;
            }
            let gateway = self.rng.random_range(0..self.gateways.len());
            if self.gateways[gateway].is_silent {
                continue;
            }
            self.arrived += 1;
            let team = match load {
                Load::OfThreeRanks => 0,
                Load::WithLargeTeam => self.rng.random_range(0..TEAMS + 9).saturating_sub(9),
            };
            let request = PromptRequirements {
                prompt_tokens: tokens,
                expected_output_tokens: 800,
                first_event_target: target,
                event_gap_target: ms(800),
                waited: Duration::ZERO,
                remaining: target * 4,
            };
            let latest = self.now + target - ms(500);
            self.waiting.push((self.arrived, team, latest));
            self.gateways[gateway].queue.push(QueuedPrompt {
                id: self.arrived,
                rank,
                team,
                is_retry: false,
                request,
                queued_at: self.now,
                deadline: self.now + target * 4,
            });
            self.gateways[gateway].next_check = self.now;
        }
    }

    fn deliver_frames(&mut self) {
        let now = self.now;
        let is_due = |frame: &mut (Duration, usize, WaitingFrame)| frame.0 <= now;
        for (_, from, frame) in self.frames.extract_if(.., is_due) {
            for (index, gateway) in self.gateways.iter_mut().enumerate() {
                if index != from {
                    let peer = from.to_string();
                    gateway.fleet_queue.on_peer_frame(&peer, &frame, now);
                    gateway.shares.on_peer_frame(&peer, &frame, now);
                }
            }
        }
    }

    fn check(&mut self, index: usize) {
        let (now, gateways) = (self.now, self.gateways.len());
        if now < self.gateways[index].next_check {
            return;
        }
        let (random, engines) = (self.rng.random(), self.busy.len());
        let gateway = &mut self.gateways[index];
        let targets = gateway.queue.iter();
        let target = targets.map(|prompt| prompt.request.first_event_target);
        let target = target.min().unwrap_or(ms(1_000));
        gateway.next_check = now + next_check_after(gateways, target, random);
        let own = gateway.queue.iter().map(|prompt| prompt.team);
        let waiting = own.chain(gateway.fleet_queue.waiting_teams(now));
        let over_share = gateway.shares.over_share(waiting, now).clone();
        sort_queue(&mut gateway.queue, &model(), engines, &over_share, now);
        for prompt in std::mem::take(&mut gateway.queue) {
            self.try_start(index, prompt, &over_share);
        }
    }

    fn try_start(&mut self, index: usize, prompt: QueuedPrompt, over_share: &TeamsOverShare) {
        let now = self.now;
        let engines = self.candidates(index);
        let requirements = prompt.request_at(now);
        let local = LocalPrompt {
            service: service_key("s"),
            order: prompt.order(&model(), engines.len(), over_share, now),
            requirements: &requirements,
        };
        let herd_avoidance = HerdAvoidance {
            random: self.rng.random(),
            ..HerdAvoidance::default()
        };
        let place = |engines: &[EngineCandidate]| {
            place_prompt(&model(), &requirements, engines, herd_avoidance).ok()
        };
        let gateway = &mut self.gateways[index];
        let placed = gateway
            .fleet_queue
            .place(&local, &engines, over_share, place, now);
        let others_wait = self
            .waiting
            .iter()
            .any(|(_, team, latest)| *team != prompt.team && now <= *latest);
        let (mut started, mut ended_in_time) = (Duration::ZERO, None);
        let on_time = match placed {
            FleetPlacement::Start(placement) => {
                started = placement.part_prefill_time * (1 + placement.helpers.len() as u32);
                gateway.shares.record_start(prompt.team, started, now);
                let helpers = placement.helpers.iter().map(|helper| helper.engine);
                let chosen: Vec<_> = helpers.chain([placement.decoder]).collect();
                let overrun = self.faults.overrun();
                let end = now + placement.part_prefill_time.mul_f64(overrun);
                for engine in &chosen {
                    self.busy[*engine] = (end, now + placement.part_prefill_time);
                }
                if let Some(engine) = self.faults.failing_engine(chosen.iter().copied()) {
                    self.faults.failed.push((end, index, prompt, engine));
                    return;
                }
                for engine in chosen {
                    gateway.health[engine].on_result(AttemptResult::Answered, now);
                }
                let first_event = now + placement.first_event_forecast.mul_f64(overrun);
                let target = prompt.queued_at + requirements.first_event_target;
                ended_in_time = Some(first_event <= target);
                requirements.waited + placement.first_event_forecast
                    <= requirements.first_event_target
            }
            _ if now < prompt.deadline => return gateway.queue.push(prompt),
            _ => false,
        };
        self.waiting.retain(|(id, ..)| *id != prompt.id);
        self.ended.push(Ended {
            rank: prompt.rank,
            gateway: index,
            on_time,
            team: prompt.team,
            ended_in_time,
            started: if others_wait { started } else { Duration::ZERO },
        });
    }

    fn send_frame(&mut self, index: usize) {
        let (now, engines) = (self.now, self.busy.len());
        let gateway = &mut self.gateways[index];
        let has_waiting = !gateway.queue.is_empty() || gateway.fleet_queue.has_waiting(now);
        if now < gateway.next_frame || gateway.is_silent || !has_waiting {
            return;
        }
        gateway.next_frame = now + FRAME_INTERVAL;
        let prompts = gateway.queue.iter().take(MAX_REPORTED_PROMPTS);
        let prompts = prompts.map(|prompt| ReportedPrompt {
            id: prompt.id,
            rank: prompt.rank,
            latest_start_in: prompt
                .order(&model(), engines, &TeamsOverShare::default(), now)
                .latest_start
                .checked_sub(now),
            engines: engines_needed(&model(), &prompt.request_at(now)) as u8,
            team: prompt.team,
        });
        let frame = WaitingFrame {
            services: vec![ServiceQueue {
                service: service_key("s"),
                prompts: prompts.collect(),
            }],
            started: gateway.shares.report(now),
        };
        self.frames.push((now + FRAME_DELAY, index, frame));
    }

    /// Returns prompts to the queues of their gateways once an engine has failed them.
    fn return_failed(&mut self) {
        let now = self.now;
        let failed = self.faults.failed.extract_if(.., |failed| failed.0 <= now);
        for (_, index, prompt, engine) in failed {
            let gateway = &mut self.gateways[index];
            gateway.health[engine].on_result(AttemptResult::Failed, now);
            gateway.queue.push(prompt);
            gateway.next_check = now;
        }
    }

    fn candidates(&self, gateway: usize) -> Vec<EngineCandidate> {
        let engines = self.busy.iter().zip(&self.gateways[gateway].health);
        let candidates = engines
            .enumerate()
            .map(|(index, ((end, forecast), health))| EngineCandidate {
                shared_order: index as u64,
                load: ServerUsage {
                    prefill_remaining: forecast.saturating_sub(self.now),
                    long_prefills: u32::from(*end > self.now),
                    ..ServerUsage::default()
                },
                slowdown: 1.0,
                accepts_requests: true,
                is_limited: false,
                suspect: health.suspect_kind(self.now),
            });
        candidates.collect()
    }
}
