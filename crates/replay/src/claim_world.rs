//! Two agents, a table service, a plain service and callers in virtual time.

use crate::claim_types::{ClaimCaller, ClaimFault, Injection, ServiceRun, Told};

use bytes::Bytes;
use policy::{ClaimAction, ClaimConfig, ClaimEvent, ClaimRequest, Claims};
use proto::{AttemptId, RefusalReason};
use standins::TableSim;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Agents of the world.
pub const AGENTS: usize = 2;
pub(crate) const HOP: Duration = Duration::from_millis(1);
pub(crate) const SERVICE_TIME: Duration = Duration::from_millis(5);
pub(crate) const CALL_TIME: Duration = Duration::from_millis(400);
const RESTART_TIME: Duration = Duration::from_millis(300);
const LINK_BREAK_TIME: Duration = Duration::from_millis(50);
const END: Duration = Duration::from_secs(60);

#[derive(Debug)]
pub(crate) struct ClaimAgent {
    pub(crate) claims: Claims,
    pub(crate) incarnation: u64,
    pub(crate) alive: bool,
    pub(crate) frozen_until: Duration,
    pub(crate) actions: usize,
}

#[derive(Debug, Clone)]
pub(crate) enum Ev {
    Try {
        caller: usize,
        agent: usize,
    },
    Handle {
        agent: usize,
        incarnation: u64,
        event: ClaimEvent,
    },
    Apply {
        agent: usize,
        incarnation: u64,
        action: ClaimAction,
        answer: Answering,
    },
    Finish {
        agent: usize,
        incarnation: u64,
        attempt: AttemptId,
        answer: Option<Bytes>,
    },
    Act {
        agent: usize,
        incarnation: u64,
        action: ClaimAction,
    },
    Wake(usize),
    Restart(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Answering {
    Whole,
    Lost,
}

/// The world and what an observer at the callers and the service sees.
#[derive(Debug)]
pub struct ClaimWorld {
    /// Virtual time.
    pub now: Duration,
    /// The table service.
    pub table: TableSim,
    /// Calls that the service ran.
    pub runs: Vec<ServiceRun>,
    /// What callers were told, with the number of the caller.
    pub told: Vec<(usize, AttemptId, Told)>,
    /// Names of the actions of each agent.
    pub steps: Vec<Vec<&'static str>>,
    pub(crate) agents: Vec<ClaimAgent>,
    pub(crate) callers: Vec<ClaimCaller>,
    tries: Vec<u32>,
    injections: Vec<Injection>,
    pub(crate) down_until: Duration,
    queue: BTreeMap<(Duration, u64), Ev>,
    sequence: u64,
}

fn config(agent: usize, incarnation: u64) -> ClaimConfig {
    let wall = Duration::from_secs(1_800_000_000);
    let seed = incarnation * 10 + agent as u64;
    ClaimConfig::for_agents(&format!("agent-{agent}"), AGENTS as u32, wall, seed)
}

impl ClaimWorld {
    /// A world of these callers, in which these faults strike.
    pub fn new(callers: Vec<ClaimCaller>, injections: Vec<Injection>) -> Self {
        let agent = |index| ClaimAgent {
            claims: Claims::new(config(index, 0)),
            incarnation: 0,
            alive: true,
            frozen_until: Duration::ZERO,
            actions: 0,
        };
        let mut world = Self {
            now: Duration::ZERO,
            table: TableSim::default(),
            runs: Vec::new(),
            told: Vec::new(),
            steps: vec![Vec::new(); AGENTS],
            agents: (0..AGENTS).map(agent).collect(),
            tries: vec![0; callers.len()],
            callers,
            injections,
            down_until: Duration::ZERO,
            queue: BTreeMap::new(),
            sequence: 0,
        };
        for (caller, entry) in world.callers.clone().iter().enumerate() {
            world.after(
                entry.at,
                Ev::Try {
                    caller,
                    agent: entry.agent,
                },
            );
        }
        world
    }

    /// Runs until nothing is left to do but sweeping.
    pub fn run(&mut self) {
        while let Some(((at, _), ev)) = self.queue.pop_first() {
            if at > END {
                return;
            }
            self.now = at;
            self.take(ev);
        }
    }

    /// The key of a caller.
    pub fn key_of(&self, caller: usize) -> &'static str {
        self.callers[caller].key
    }

    /// Attempts that were told something, each once.
    pub fn told_once(&self) -> BTreeSet<AttemptId> {
        self.told.iter().map(|(_, attempt, _)| *attempt).collect()
    }

    /// How often a key ran.
    pub fn runs_of(&self, key: &str) -> usize {
        self.runs.iter().filter(|run| run.key == key).count()
    }

    pub(crate) fn after(&mut self, delay: Duration, ev: Ev) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), ev);
    }

    fn take(&mut self, ev: Ev) {
        match ev {
            Ev::Try { caller, agent } => self.offer(caller, agent),
            Ev::Handle {
                agent,
                incarnation,
                event,
            } => self.deliver(agent, incarnation, event),
            Ev::Apply {
                agent,
                incarnation,
                action,
                answer,
            } => {
                let event = self.apply(action);
                match answer {
                    Answering::Whole => self.after(
                        HOP,
                        Ev::Handle {
                            agent,
                            incarnation,
                            event,
                        },
                    ),
                    Answering::Lost => {}
                }
            }
            Ev::Finish {
                agent,
                incarnation,
                attempt,
                answer,
            } => {
                self.finish(agent, incarnation, attempt, answer);
            }
            Ev::Act {
                agent,
                incarnation,
                action,
            } => {
                if self.agents[agent].alive && self.agents[agent].incarnation == incarnation {
                    self.carry_out(agent, action, None);
                }
            }
            Ev::Wake(agent) => {
                let incarnation = self.agents[agent].incarnation;
                self.deliver(agent, incarnation, ClaimEvent::Tick);
            }
            Ev::Restart(agent) => {
                let entry = &mut self.agents[agent];
                entry.incarnation += 1;
                entry.alive = true;
                entry.claims = Claims::new(config(agent, entry.incarnation));
            }
        }
    }

    fn offer(&mut self, caller: usize, agent: usize) {
        self.tries[caller] += 1;
        let attempt = AttemptId {
            request: caller as u128,
            number: self.tries[caller],
        };
        if !self.agents[agent].alive {
            return self.tell(attempt, Told::NotRun(RefusalReason::ServerDown));
        }
        let entry = &self.callers[caller];
        let request = ClaimRequest {
            attempt,
            team: "morska-stopa".into(),
            key: entry.key.into(),
            content: entry.content,
            deadline: self.now + Duration::from_secs(5),
        };
        let incarnation = self.agents[agent].incarnation;
        self.deliver(agent, incarnation, ClaimEvent::Begin(request));
    }

    pub(crate) fn deliver(&mut self, agent: usize, incarnation: u64, event: ClaimEvent) {
        let entry = &mut self.agents[agent];
        if !entry.alive || entry.incarnation != incarnation {
            return;
        }
        if entry.frozen_until > self.now {
            let wait = entry.frozen_until - self.now;
            return self.after(
                wait,
                Ev::Handle {
                    agent,
                    incarnation,
                    event,
                },
            );
        }
        let mut actions = Vec::new();
        entry.claims.handle(self.now, event, &mut actions);
        for action in actions {
            self.act(agent, action);
        }
        let wake = self.agents[agent].claims.next_wakeup();
        if let Some(at) = wake.filter(|at| *at <= END) {
            self.after(at.saturating_sub(self.now).max(HOP), Ev::Wake(agent));
        }
    }

    fn act(&mut self, agent: usize, action: ClaimAction) {
        let entry = &mut self.agents[agent];
        let index = entry.actions;
        entry.actions += 1;
        self.steps[agent].push(name_of(&action));
        let injected = self
            .injections
            .iter()
            .find(|entry| (entry.agent, entry.action) == (agent, index));
        let fault = injected.map(|entry| entry.fault);
        if !self.agents[agent].alive {
            return;
        }
        match fault {
            Some(ClaimFault::KillBefore) => self.kill(agent),
            Some(ClaimFault::KillAfter) => {
                self.carry_out(agent, action, None);
                self.kill(agent);
            }
            Some(ClaimFault::Freeze(time)) => {
                self.agents[agent].frozen_until = self.now + time;
                let incarnation = self.agents[agent].incarnation;
                self.after(
                    time,
                    Ev::Act {
                        agent,
                        incarnation,
                        action,
                    },
                );
            }
            Some(ClaimFault::DownFor(time)) => {
                self.down_until = self.now + time;
                self.carry_out(agent, action, None);
            }
            other => self.carry_out(agent, action, other),
        }
    }

    fn carry_out(&mut self, agent: usize, action: ClaimAction, fault: Option<ClaimFault>) {
        match action {
            ClaimAction::Run(attempt) => self.start(agent, attempt, fault),
            ClaimAction::ReplayAnswer { attempt, answer } => {
                self.tell(attempt, Told::Answer(answer.body));
            }
            ClaimAction::Refuse {
                attempt, reason, ..
            } => self.tell(attempt, Told::NotRun(reason)),
            ClaimAction::MayHaveRun { attempt, .. } => self.tell(attempt, Told::MayHaveRun),
            action => self.ask_store(agent, action, fault),
        }
    }

    fn kill(&mut self, agent: usize) {
        self.agents[agent].alive = false;
        self.after(RESTART_TIME, Ev::Restart(agent));
        let open: Vec<AttemptId> = (0..self.callers.len())
            .filter(|caller| self.tries[*caller] > 0 && self.agent_of(*caller) == agent)
            .map(|caller| AttemptId {
                request: caller as u128,
                number: self.tries[caller],
            })
            .filter(|attempt| !self.told.iter().any(|(_, told, _)| told == attempt))
            .collect();
        for attempt in open {
            self.tell(attempt, Told::LinkBroke);
        }
    }

    fn agent_of(&self, caller: usize) -> usize {
        let hops = self.tries[caller].saturating_sub(1) as usize;
        (self.callers[caller].agent + hops) % AGENTS
    }

    /// Tells a caller; one without an answer repeats its key through the other agent.
    pub(crate) fn tell(&mut self, attempt: AttemptId, told: Told) {
        let caller = attempt.request as usize;
        let wait = match &told {
            Told::Answer(_) | Told::NotRun(RefusalReason::KeyConflict) => None,
            Told::NotRun(_) => Some(Duration::from_millis(300)),
            Told::MayHaveRun => Some(Duration::from_secs(1)),
            Told::LinkBroke => Some(LINK_BREAK_TIME),
        };
        self.told.push((caller, attempt, told));
        if let Some(wait) = wait
            && self.tries[caller] < self.callers[caller].tries
            && self.tries[caller] == attempt.number
        {
            let agent = (self.agent_of(caller) + 1) % AGENTS;
            self.after(wait, Ev::Try { caller, agent });
        }
    }
}

/// Name of an action, as a step of the protocol.
pub fn name_of(action: &ClaimAction) -> &'static str {
    match action {
        ClaimAction::Read { .. } => "read",
        ClaimAction::Commit { .. } => "commit",
        ClaimAction::Scan { .. } => "scan",
        ClaimAction::Run(_) => "run",
        ClaimAction::ReplayAnswer { .. } => "repeat",
        ClaimAction::Refuse { .. } => "refuse",
        ClaimAction::MayHaveRun { .. } => "may have run",
    }
}
