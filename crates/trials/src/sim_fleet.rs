//! Discrete-event simulation of a fleet in virtual time: the real policy code decides, engines are
//! emulated, and no sockets are used.

use crate::sim_figures::{SimEnd, SimFigures, SimOutcome};
use crate::sim_gateway::{SimGateway, SimPolicy, server_name};
use crate::sim_server::{AgentMessage, SimServer};
use crate::sim_trace::SimRequest;
use policy::{FailedAttempt, Job};
use proto::{AttemptId, Execution, Hints, ServerId};
use standins::EngineSpec;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

const ONE_WAY_DELAY: Duration = Duration::from_millis(1);
/// How often an agent polls its engine's load report.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const GATEWAYS: usize = 4;

/// A fault injected into an engine.
#[derive(Debug, Clone, Copy)]
pub enum SimFault {
    /// The engine runs slower by this factor; 1 ends the slowdown.
    Slow(f64),
    /// The engine returns to cold start.
    ReturnToColdStart,
}

/// What to simulate.
#[derive(Debug, Clone)]
pub struct SimPlan {
    /// Number of engines; all have the same spec.
    pub engines: usize,
    /// Behaviour of the engines.
    pub engine_spec: EngineSpec,
    /// Requests in order of arrival.
    pub requests: Vec<SimRequest>,
    /// Faults as `(time, engine index, fault)`.
    pub faults: Vec<(Duration, usize, SimFault)>,
}

#[derive(Debug)]
enum SimEvent {
    Arrival(usize),
    Offer(AttemptId, usize),
    Cancel(AttemptId, usize),
    Wakeup(usize),
    LoadReport(usize),
    Message(AttemptId, usize, AgentMessage),
    AttemptTimeout(AttemptId, usize),
    Deadline(usize),
    Fault(usize, SimFault),
}

#[derive(Debug)]
struct ScheduledEvent {
    at: Duration,
    /// Events at the same time happen in the order in which they were scheduled.
    seq: u64,
    event: SimEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

/// A simulation run.
#[derive(Debug)]
pub struct SimFleet {
    gateways: Vec<SimGateway>,
    servers: Vec<SimServer>,
    /// Earliest scheduled wakeup of each server.
    next_wakeups: Vec<Option<Duration>>,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    last_seq: u64,
    now: Duration,
    /// Servers that each request has been offered to.
    tried_servers: Vec<Vec<ServerId>>,
    /// Open attempts of each request, as `(attempt number, server index)`.
    open_attempts: Vec<Vec<(u32, usize)>>,
    figures: SimFigures,
}

impl SimFleet {
    /// Runs a plan under a policy until no events are left.
    pub fn run(plan: &SimPlan, policy: SimPolicy) -> SimFigures {
        let mut fleet = Self::new(plan, policy);
        while let Some(Reverse(scheduled)) = fleet.events.pop() {
            fleet.now = scheduled.at;
            fleet.handle(scheduled.event);
        }
        for (index, server) in fleet.servers.iter().enumerate() {
            let counts = server.engine.counts();
            fleet.figures.processed_tokens += counts.prefill_tokens + counts.output_tokens;
            let over = server.over_cold_limit.iter().map(|at| (*at, index));
            fleet.figures.over_cold_limit.extend(over);
        }
        fleet.figures
    }

    fn new(plan: &SimPlan, policy: SimPolicy) -> Self {
        let is_fifo = policy != SimPolicy::Product;
        let server = |n| SimServer::new(&server_name(n), plan.engine_spec.clone(), is_fifo);
        let count = plan.requests.len();
        let mut fleet = Self {
            gateways: (0..GATEWAYS)
                .map(|n| SimGateway::new(policy, n, plan.engines))
                .collect(),
            servers: (0..plan.engines).map(server).collect(),
            next_wakeups: vec![None; plan.engines],
            events: BinaryHeap::new(),
            last_seq: 0,
            now: Duration::ZERO,
            tried_servers: vec![Vec::new(); count],
            open_attempts: vec![Vec::new(); count],
            figures: SimFigures {
                requests: plan.requests.clone(),
                outcomes: vec![SimOutcome::default(); count],
                ..SimFigures::default()
            },
        };
        for (index, request) in plan.requests.iter().enumerate() {
            fleet.schedule(request.arrives_at, SimEvent::Arrival(index));
            fleet.schedule(
                request.arrives_at + request.time_limit,
                SimEvent::Deadline(index),
            );
        }
        for (at, server, fault) in &plan.faults {
            fleet.schedule(*at, SimEvent::Fault(*server, *fault));
        }
        let last = plan
            .requests
            .last()
            .map_or(Duration::ZERO, |r| r.arrives_at + r.time_limit);
        for server in 0..plan.engines {
            fleet.on_server(server, SimServer::start_agent);
            let mut at = Duration::ZERO;
            while at < last {
                fleet.schedule(at, SimEvent::LoadReport(server));
                at += REPORT_INTERVAL;
            }
        }
        fleet
    }

    fn schedule(&mut self, at: Duration, event: SimEvent) {
        self.last_seq += 1;
        let seq = self.last_seq;
        self.events.push(Reverse(ScheduledEvent { at, seq, event }));
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival(index) => {
                self.gateways[index % GATEWAYS].on_request();
                self.start_attempt(index);
            }
            SimEvent::Offer(attempt, server) => {
                let job = self.job(attempt);
                self.on_server(server, |server, now, out| server.offer(now, job, out));
            }
            SimEvent::Cancel(attempt, server) => {
                self.on_server(server, |server, now, out| server.cancel(now, attempt, out));
            }
            SimEvent::Wakeup(server) => {
                if self.next_wakeups[server].is_some_and(|at| at <= self.now) {
                    self.next_wakeups[server] = None;
                    self.on_server(server, SimServer::on_wakeup);
                }
            }
            SimEvent::LoadReport(server) => self.on_server(server, SimServer::poll_load_report),
            SimEvent::Message(attempt, server, message) => {
                self.on_message(attempt, server, message);
            }
            SimEvent::AttemptTimeout(attempt, server) => self.on_attempt_timeout(attempt, server),
            SimEvent::Deadline(index) => self.on_deadline(index),
            SimEvent::Fault(server, fault) => {
                self.on_server(server, |server, now, _| match fault {
                    SimFault::Slow(factor) => server.engine.set_slow_factor(now, factor),
                    SimFault::ReturnToColdStart => server.engine.return_to_cold_start(now),
                });
            }
        }
    }

    fn on_server(
        &mut self,
        server: usize,
        act: impl FnOnce(&mut SimServer, Duration, &mut Vec<(AttemptId, AgentMessage)>),
    ) {
        let mut out = Vec::new();
        let sim_server = &mut self.servers[server];
        act(sim_server, self.now, &mut out);
        if let Some(next) = sim_server.next_wakeup() {
            let next = next.max(self.now + Duration::from_micros(1));
            if self.next_wakeups[server].is_none_or(|at| next < at) {
                self.next_wakeups[server] = Some(next);
                self.schedule(next, SimEvent::Wakeup(server));
            }
        }
        for (attempt, message) in out {
            self.schedule(
                self.now + ONE_WAY_DELAY,
                SimEvent::Message(attempt, server, message),
            );
        }
    }

    fn job(&self, attempt: AttemptId) -> Job {
        let request = &self.figures.requests[attempt.request as usize];
        Job {
            attempt,
            team: format!("team-{}", request.team).into(),
            weight: 100,
            model: Some("m".into()),
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.output_tokens,
            cached_tokens: 0,
            has_span_grant: false,
            deadline: request.arrives_at + request.time_limit - 3 * ONE_WAY_DELAY,
        }
    }

    fn start_attempt(&mut self, index: usize) {
        let request = &self.figures.requests[index];
        let gateway = &mut self.gateways[index % GATEWAYS];
        let chosen = gateway.choose(self.now, request, &self.tried_servers[index]);
        let Some(server) = chosen else {
            return self.finish(index, SimEnd::Refused);
        };
        let timeout = gateway.attempt_timeout(request);
        self.tried_servers[index].push(server_name(server));
        self.figures.offers.push((self.now, server));
        let outcome = &mut self.figures.outcomes[index];
        outcome.attempts += 1;
        let attempt = AttemptId {
            request: index as u128,
            number: outcome.attempts,
        };
        self.open_attempts[index].push((attempt.number, server));
        self.schedule(self.now + ONE_WAY_DELAY, SimEvent::Offer(attempt, server));
        if let Some(timeout) = timeout {
            self.schedule(
                self.now + timeout,
                SimEvent::AttemptTimeout(attempt, server),
            );
        }
    }

    fn on_message(&mut self, attempt: AttemptId, server: usize, message: AgentMessage) {
        let index = attempt.request as usize;
        let is_latest = self.figures.outcomes[index].attempts == attempt.number;
        let is_awaited = is_latest && self.figures.outcomes[index].end == SimEnd::Pending;
        match message {
            AgentMessage::Accepted(hints) => {
                self.gateways[index % GATEWAYS].on_hints(self.now, &hints);
            }
            AgentMessage::Tokens(count) if is_awaited => {
                let outcome = &mut self.figures.outcomes[index];
                outcome.first_token_at.get_or_insert(self.now);
                outcome.last_token_at = self.now;
                outcome.tokens += count;
            }
            AgentMessage::Tokens(count) => self.figures.wasted_tokens += count,
            AgentMessage::Completed(hints) => {
                self.close_attempt(attempt, server, hints.as_ref());
                if is_awaited {
                    self.gateways[index % GATEWAYS].on_complete_response();
                    self.finish(index, SimEnd::Finished);
                } else {
                    self.figures.wasted_tokens += self.figures.requests[index].prompt_tokens;
                }
            }
            AgentMessage::Refused(hints) => {
                self.close_attempt(attempt, server, hints.as_ref());
                self.on_attempt_failed(index, is_awaited, Execution::NotRun, hints.as_ref());
            }
            AgentMessage::Failed(hints) => {
                self.close_attempt(attempt, server, hints.as_ref());
                self.on_attempt_failed(index, is_awaited, Execution::MayHaveRun, hints.as_ref());
            }
        }
    }

    fn close_attempt(&mut self, attempt: AttemptId, server: usize, hints: Option<&Hints>) {
        let index = attempt.request as usize;
        self.open_attempts[index].retain(|(number, _)| *number != attempt.number);
        self.gateways[index % GATEWAYS].on_attempt_ended(self.now, server, hints);
    }

    fn on_attempt_failed(
        &mut self,
        index: usize,
        is_awaited: bool,
        execution: Execution,
        hints: Option<&Hints>,
    ) {
        if !is_awaited {
            return;
        }
        let outcome = &self.figures.outcomes[index];
        let failed = FailedAttempt {
            execution,
            answer_started: outcome.first_token_at.is_some(),
            repeatable: true,
        };
        let request = &self.figures.requests[index];
        let gateway = &mut self.gateways[index % GATEWAYS];
        if gateway.may_retry(self.now, request, outcome.attempts, failed, hints) {
            self.start_attempt(index);
        } else if execution == Execution::NotRun {
            self.finish(index, SimEnd::Refused);
        } else {
            self.finish(index, SimEnd::Failed);
        }
    }

    /// Starts another attempt if the latest one has no token yet. The earlier one keeps running,
    /// because the retrying caller does not cancel it.
    fn on_attempt_timeout(&mut self, attempt: AttemptId, server: usize) {
        let index = attempt.request as usize;
        let outcome = &self.figures.outcomes[index];
        let timed_out = outcome.end == SimEnd::Pending
            && outcome.attempts == attempt.number
            && outcome.first_token_at.is_none();
        if timed_out && outcome.attempts < 3 {
            self.gateways[index % GATEWAYS].on_attempt_ended(self.now, server, None);
            self.start_attempt(index);
        }
    }

    fn on_deadline(&mut self, index: usize) {
        if self.figures.outcomes[index].end != SimEnd::Pending {
            return;
        }
        self.finish(index, SimEnd::Late);
        for (number, server) in std::mem::take(&mut self.open_attempts[index]) {
            let attempt = AttemptId {
                request: index as u128,
                number,
            };
            self.schedule(self.now + ONE_WAY_DELAY, SimEvent::Cancel(attempt, server));
            self.gateways[index % GATEWAYS].on_attempt_ended(self.now, server, None);
        }
    }

    fn finish(&mut self, index: usize, end: SimEnd) {
        let outcome = &mut self.figures.outcomes[index];
        outcome.end = end;
        outcome.ended_at = self.now;
    }
}
