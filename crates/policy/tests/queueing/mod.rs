//! Gateways with queues of their own before the same engines, in virtual time.

use crate::engine::model;
use policy::{
    EngineCandidate, FleetPlacement, FleetQueue, HerdAvoidance, LocalPrompt, MAX_REPORTED_PROMPTS,
    PromptRequirements, QueuedPrompt, TeamShares, TeamsOverShare, engines_needed, next_check_after,
    place_prompt, service_key, sort_queue,
};
use proto::{ReportedPrompt, ServerUsage, ServiceQueue, WaitingFrame};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use std::time::Duration;

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const STEP: Duration = ms(5);
/// Time that frames take to a peer.
const FRAME_DELAY: Duration = ms(10);
const FRAME_INTERVAL: Duration = ms(50);
const TEAMS: u64 = 24;

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
    /// Prefill time that was started over all engines while another team's prompt waited that could
    /// still be on time; zero otherwise.
    pub started: Duration,
}

#[derive(Debug, Default)]
struct Gateway {
    queue: Vec<QueuedPrompt>,
    fleet_queue: FleetQueue,
    shares: TeamShares,
    next_check: Duration,
    next_frame: Duration,
    is_silent: bool,
}

#[derive(Debug)]
pub struct World {
    now: Duration,
    rng: SmallRng,
    busy_until: Vec<Duration>,
    gateways: Vec<Gateway>,
    frames: Vec<(Duration, usize, WaitingFrame)>,
    ended: Vec<Ended>,
    /// Number, team and time up to which it can be on time of each prompt that waits.
    waiting: Vec<(u64, u64, Duration)>,
    arrived: u64,
}

impl World {
    pub fn new(gateways: usize, engines: usize, seed: u64) -> Self {
        Self {
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            busy_until: vec![Duration::ZERO; engines],
            gateways: (0..gateways).map(|_| Gateway::default()).collect(),
            frames: Vec::new(),
            ended: Vec::new(),
            waiting: Vec::new(),
            arrived: 0,
        }
    }

    pub fn run(&mut self, time: Duration, load: &Load) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.arrive(load);
            self.deliver_frames();
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
        let (random, engines) = (self.rng.random(), self.busy_until.len());
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
        let engines = self.candidates();
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
        let mut started = Duration::ZERO;
        let on_time = match placed {
            FleetPlacement::Start(placement) => {
                started = placement.part_prefill_time * (1 + placement.helpers.len() as u32);
                gateway.shares.record_start(prompt.team, started, now);
                let helpers = placement.helpers.iter().map(|helper| helper.engine);
                for engine in helpers.chain([placement.decoder]) {
                    self.busy_until[engine] = now + placement.part_prefill_time;
                }
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
            started: if others_wait { started } else { Duration::ZERO },
        });
    }

    fn send_frame(&mut self, index: usize) {
        let (now, engines) = (self.now, self.busy_until.len());
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

    fn candidates(&self) -> Vec<EngineCandidate> {
        let engines = self.busy_until.iter().enumerate();
        let candidates = engines.map(|(index, busy_until)| EngineCandidate {
            shared_order: index as u64,
            load: ServerUsage {
                prefill_remaining: busy_until.saturating_sub(self.now),
                long_prefills: u32::from(*busy_until > self.now),
                ..ServerUsage::default()
            },
            slowdown: 1.0,
            accepts_requests: true,
            is_limited: false,
            suspect: None,
        });
        candidates.collect()
    }
}
