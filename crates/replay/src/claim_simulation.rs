//! Simulation of the claim protocol in virtual time: two agents, the table service, a plain
//! service and callers.

use crate::claim_types::{AttemptOutcome, ClaimCaller, ClaimFault, Injection, ServiceRun};

use bytes::Bytes;
use policy::{ClaimAction, ClaimConfig, ClaimEvent, ClaimRequest, Claims};
use proto::{AttemptId, RefusalReason};
use standins::TableSim;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of simulated agents.
pub const AGENT_COUNT: usize = 2;
pub(crate) const NETWORK_DELAY: Duration = Duration::from_millis(1);
pub(crate) const SERVICE_TIME: Duration = Duration::from_millis(5);
pub(crate) const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(400);
const AGENT_RESTART_TIME: Duration = Duration::from_millis(300);
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
const MAX_RUN_TIME: Duration = Duration::from_secs(60);

#[derive(Debug)]
pub(crate) struct ClaimAgent {
    pub(crate) claims: Claims,
    pub(crate) incarnation: u64,
    pub(crate) alive: bool,
    pub(crate) frozen_until: Duration,
    pub(crate) action_count: usize,
}

#[derive(Debug, Clone)]
pub(crate) enum ClaimSimEvent {
    SendRequest {
        caller: usize,
        agent: usize,
    },
    DeliverEvent {
        agent: usize,
        incarnation: u64,
        event: ClaimEvent,
    },
    ApplyStoreCall {
        agent: usize,
        incarnation: u64,
        action: ClaimAction,
        reply: ReplyDelivery,
    },
    FinishServiceCall {
        agent: usize,
        incarnation: u64,
        attempt: AttemptId,
        answer: Option<Bytes>,
    },
    ExecuteAction {
        agent: usize,
        incarnation: u64,
        action: ClaimAction,
    },
    WakeUp(usize),
    Restart(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReplyDelivery {
    Delivered,
    Lost,
}

/// Simulation of the claim protocol, with a record of what callers and the plain service saw.
#[derive(Debug)]
pub struct ClaimSimulation {
    /// Virtual time since the start of the run.
    pub now: Duration,
    /// Table service that stores the claims.
    pub table: TableSim,
    /// Calls that the plain service ran, in order.
    pub runs: Vec<ServiceRun>,
    /// Outcomes that callers saw, in order: index of the caller, attempt, outcome.
    pub outcomes: Vec<(usize, AttemptId, AttemptOutcome)>,
    /// Step names of the actions that each agent took, in order.
    pub steps: Vec<Vec<&'static str>>,
    pub(crate) agents: Vec<ClaimAgent>,
    pub(crate) callers: Vec<ClaimCaller>,
    attempt_counts: Vec<u32>,
    injections: Vec<Injection>,
    pub(crate) store_down_until: Duration,
    queue: BTreeMap<(Duration, u64), ClaimSimEvent>,
    sequence: u64,
}

fn claim_config(agent: usize, incarnation: u64) -> ClaimConfig {
    let wall_clock = Duration::from_secs(1_800_000_000);
    let seed = incarnation * 10 + agent as u64;
    ClaimConfig::for_agents(
        &format!("agent-{agent}"),
        AGENT_COUNT as u32,
        wall_clock,
        seed,
    )
}

impl ClaimSimulation {
    /// Creates a simulation with the given callers and faults to inject.
    pub fn new(callers: Vec<ClaimCaller>, injections: Vec<Injection>) -> Self {
        let agent = |index| ClaimAgent {
            claims: Claims::new(claim_config(index, 0)),
            incarnation: 0,
            alive: true,
            frozen_until: Duration::ZERO,
            action_count: 0,
        };
        let mut sim = Self {
            now: Duration::ZERO,
            table: TableSim::default(),
            runs: Vec::new(),
            outcomes: Vec::new(),
            steps: vec![Vec::new(); AGENT_COUNT],
            agents: (0..AGENT_COUNT).map(agent).collect(),
            attempt_counts: vec![0; callers.len()],
            callers,
            injections,
            store_down_until: Duration::ZERO,
            queue: BTreeMap::new(),
            sequence: 0,
        };
        for (caller, entry) in sim.callers.clone().iter().enumerate() {
            sim.after(
                entry.first_attempt_at,
                ClaimSimEvent::SendRequest {
                    caller,
                    agent: entry.agent,
                },
            );
        }
        sim
    }

    /// Runs until no events are left, for at most 60 s of virtual time: the agents sweep claims
    /// periodically without end.
    pub fn run(&mut self) {
        while let Some(((at, _), ev)) = self.queue.pop_first() {
            if at > MAX_RUN_TIME {
                return;
            }
            self.now = at;
            self.process_event(ev);
        }
    }

    /// Idempotency key that the caller with this index uses.
    pub fn key_of(&self, caller: usize) -> &'static str {
        self.callers[caller].key
    }

    /// Distinct attempts for which a caller saw an outcome.
    pub fn attempts_with_outcome(&self) -> BTreeSet<AttemptId> {
        self.outcomes
            .iter()
            .map(|(_, attempt, _)| *attempt)
            .collect()
    }

    /// Number of calls that the plain service ran for this key.
    pub fn run_count(&self, key: &str) -> usize {
        self.runs.iter().filter(|run| run.key == key).count()
    }

    pub(crate) fn after(&mut self, delay: Duration, ev: ClaimSimEvent) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), ev);
    }

    fn process_event(&mut self, ev: ClaimSimEvent) {
        match ev {
            ClaimSimEvent::SendRequest { caller, agent } => self.send_request(caller, agent),
            ClaimSimEvent::DeliverEvent {
                agent,
                incarnation,
                event,
            } => self.deliver_event(agent, incarnation, event),
            ClaimSimEvent::ApplyStoreCall {
                agent,
                incarnation,
                action,
                reply,
            } => {
                let event = self.execute_store_call(action);
                match reply {
                    ReplyDelivery::Delivered => self.after(
                        NETWORK_DELAY,
                        ClaimSimEvent::DeliverEvent {
                            agent,
                            incarnation,
                            event,
                        },
                    ),
                    ReplyDelivery::Lost => {}
                }
            }
            ClaimSimEvent::FinishServiceCall {
                agent,
                incarnation,
                attempt,
                answer,
            } => {
                self.finish_service_call(agent, incarnation, attempt, answer);
            }
            ClaimSimEvent::ExecuteAction {
                agent,
                incarnation,
                action,
            } => {
                if self.agents[agent].alive && self.agents[agent].incarnation == incarnation {
                    self.execute_action(agent, action, None);
                }
            }
            ClaimSimEvent::WakeUp(agent) => {
                let incarnation = self.agents[agent].incarnation;
                self.deliver_event(agent, incarnation, ClaimEvent::Tick);
            }
            ClaimSimEvent::Restart(agent) => {
                let entry = &mut self.agents[agent];
                entry.incarnation += 1;
                entry.alive = true;
                entry.claims = Claims::new(claim_config(agent, entry.incarnation));
            }
        }
    }

    fn send_request(&mut self, caller: usize, agent: usize) {
        self.attempt_counts[caller] += 1;
        let attempt = AttemptId {
            request: caller as u128,
            number: self.attempt_counts[caller],
        };
        if !self.agents[agent].alive {
            return self.record_outcome(attempt, AttemptOutcome::NotRun(RefusalReason::ServerDown));
        }
        let entry = &self.callers[caller];
        let request = ClaimRequest {
            attempt,
            team: "morska-stopa".into(),
            key: entry.key.into(),
            content: entry.content_hash,
            deadline: self.now + Duration::from_secs(5),
        };
        let incarnation = self.agents[agent].incarnation;
        self.deliver_event(agent, incarnation, ClaimEvent::Begin(request));
    }

    pub(crate) fn deliver_event(&mut self, agent: usize, incarnation: u64, event: ClaimEvent) {
        let entry = &mut self.agents[agent];
        if !entry.alive || entry.incarnation != incarnation {
            return;
        }
        if entry.frozen_until > self.now {
            let wait = entry.frozen_until - self.now;
            return self.after(
                wait,
                ClaimSimEvent::DeliverEvent {
                    agent,
                    incarnation,
                    event,
                },
            );
        }
        let mut actions = Vec::new();
        entry.claims.handle(self.now, event, &mut actions);
        for action in actions {
            self.execute_or_inject_fault(agent, action);
        }
        let wake = self.agents[agent].claims.next_wakeup();
        if let Some(at) = wake.filter(|at| *at <= MAX_RUN_TIME) {
            self.after(
                at.saturating_sub(self.now).max(NETWORK_DELAY),
                ClaimSimEvent::WakeUp(agent),
            );
        }
    }

    fn execute_or_inject_fault(&mut self, agent: usize, action: ClaimAction) {
        let entry = &mut self.agents[agent];
        let index = entry.action_count;
        entry.action_count += 1;
        self.steps[agent].push(step_name(&action));
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
                self.execute_action(agent, action, None);
                self.kill(agent);
            }
            Some(ClaimFault::Freeze(time)) => {
                self.agents[agent].frozen_until = self.now + time;
                let incarnation = self.agents[agent].incarnation;
                self.after(
                    time,
                    ClaimSimEvent::ExecuteAction {
                        agent,
                        incarnation,
                        action,
                    },
                );
            }
            Some(ClaimFault::DownFor(time)) => {
                self.store_down_until = self.now + time;
                self.execute_action(agent, action, None);
            }
            other => self.execute_action(agent, action, other),
        }
    }

    fn execute_action(&mut self, agent: usize, action: ClaimAction, fault: Option<ClaimFault>) {
        match action {
            ClaimAction::Run(attempt) => self.start_service_call(agent, attempt, fault),
            ClaimAction::ReplayAnswer { attempt, answer } => {
                self.record_outcome(attempt, AttemptOutcome::Answer(answer.body));
            }
            ClaimAction::Refuse {
                attempt, reason, ..
            } => self.record_outcome(attempt, AttemptOutcome::NotRun(reason)),
            ClaimAction::MayHaveRun { attempt, .. } => {
                self.record_outcome(attempt, AttemptOutcome::MayHaveRun);
            }
            action => self.call_store(agent, action, fault),
        }
    }

    fn kill(&mut self, agent: usize) {
        self.agents[agent].alive = false;
        self.after(AGENT_RESTART_TIME, ClaimSimEvent::Restart(agent));
        let unanswered: Vec<AttemptId> = (0..self.callers.len())
            .filter(|caller| {
                self.attempt_counts[*caller] > 0 && self.current_agent(*caller) == agent
            })
            .map(|caller| AttemptId {
                request: caller as u128,
                number: self.attempt_counts[caller],
            })
            .filter(|attempt| {
                !self
                    .outcomes
                    .iter()
                    .any(|(_, recorded, _)| recorded == attempt)
            })
            .collect();
        for attempt in unanswered {
            self.record_outcome(attempt, AttemptOutcome::ConnectionLost);
        }
    }

    fn current_agent(&self, caller: usize) -> usize {
        let retries = self.attempt_counts[caller].saturating_sub(1) as usize;
        (self.callers[caller].agent + retries) % AGENT_COUNT
    }

    /// Records the outcome of an attempt. A caller without an answer retries with the same key
    /// through the other agent.
    pub(crate) fn record_outcome(&mut self, attempt: AttemptId, outcome: AttemptOutcome) {
        let caller = attempt.request as usize;
        let retry_delay = match &outcome {
            AttemptOutcome::Answer(_) | AttemptOutcome::NotRun(RefusalReason::KeyConflict) => None,
            AttemptOutcome::NotRun(_) => Some(Duration::from_millis(300)),
            AttemptOutcome::MayHaveRun => Some(Duration::from_secs(1)),
            AttemptOutcome::ConnectionLost => Some(RECONNECT_DELAY),
        };
        self.outcomes.push((caller, attempt, outcome));
        if let Some(retry_delay) = retry_delay
            && self.attempt_counts[caller] < self.callers[caller].max_attempts
            && self.attempt_counts[caller] == attempt.number
        {
            let agent = (self.current_agent(caller) + 1) % AGENT_COUNT;
            self.after(retry_delay, ClaimSimEvent::SendRequest { caller, agent });
        }
    }
}

/// Name of the protocol step that an action belongs to.
pub fn step_name(action: &ClaimAction) -> &'static str {
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
