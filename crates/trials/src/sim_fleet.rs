//! Gateways, agents and engines in virtual time: real decisions, emulated engines, no sockets.

use crate::sim_figures::{SimEnd, SimFigures, SimOutcome};
use crate::sim_gateway::{SimGateway, SimPolicy, server_name};
use crate::sim_site::{SimSite, SiteMessage};
use crate::sim_trace::SimRequest;
use policy::{FailedAttempt, Job};
use proto::{AttemptId, Execution, Hints, ServerId};
use standins::EngineSpec;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

const ONE_WAY: Duration = Duration::from_millis(1);
const REPORT_PERIOD: Duration = Duration::from_millis(250);
const GATEWAYS: usize = 4;

/// A fault that begins or ends.
#[derive(Debug, Clone, Copy)]
pub enum SimFault {
    /// The engine runs so many times slower.
    Slow(f64),
    /// The engine falls back into cold start.
    FallBack,
}

/// A run to simulate.
#[derive(Debug, Clone)]
pub struct SimPlan {
    /// Engines, all alike.
    pub engines: usize,
    /// How they behave.
    pub spec: EngineSpec,
    /// Requests in order of time.
    pub requests: Vec<SimRequest>,
    /// Faults: when, at which engine, and which.
    pub faults: Vec<(Duration, usize, SimFault)>,
}

#[derive(Debug)]
enum Happening {
    Arrive(usize),
    Offer(AttemptId, usize),
    Cancel(AttemptId, usize),
    Wake(usize),
    Report(usize),
    Message(AttemptId, usize, SiteMessage),
    AttemptTime(AttemptId, usize),
    Deadline(usize),
    Fault(usize, SimFault),
}

#[derive(Debug)]
struct Due {
    at: Duration,
    order: u64,
    what: Happening,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A run.
#[derive(Debug)]
pub struct SimFleet {
    gateways: Vec<SimGateway>,
    sites: Vec<SimSite>,
    woken_at: Vec<Option<Duration>>,
    due: BinaryHeap<Reverse<Due>>,
    order: u64,
    now: Duration,
    tried: Vec<Vec<ServerId>>,
    open: Vec<Vec<(u32, usize)>>,
    figures: SimFigures,
}

impl SimFleet {
    /// Runs a plan under a policy until all is done.
    pub fn run(plan: &SimPlan, policy: SimPolicy) -> SimFigures {
        let mut fleet = Self::new(plan, policy);
        while let Some(Reverse(due)) = fleet.due.pop() {
            fleet.now = due.at;
            fleet.happen(due.what);
        }
        for (index, site) in fleet.sites.iter().enumerate() {
            let counts = site.engine.counts();
            fleet.figures.work += counts.prefill_tokens + counts.output_tokens;
            let over = site.over_bearable.iter().map(|at| (*at, index));
            fleet.figures.over_bearable.extend(over);
        }
        fleet.figures
    }

    fn new(plan: &SimPlan, policy: SimPolicy) -> Self {
        let is_fifo = policy != SimPolicy::Product;
        let site = |n| SimSite::new(&server_name(n), plan.spec.clone(), is_fifo);
        let count = plan.requests.len();
        let mut fleet = Self {
            gateways: (0..GATEWAYS)
                .map(|n| SimGateway::new(policy, n, plan.engines))
                .collect(),
            sites: (0..plan.engines).map(site).collect(),
            woken_at: vec![None; plan.engines],
            due: BinaryHeap::new(),
            order: 0,
            now: Duration::ZERO,
            tried: vec![Vec::new(); count],
            open: vec![Vec::new(); count],
            figures: SimFigures {
                requests: plan.requests.clone(),
                outcomes: vec![SimOutcome::default(); count],
                ..SimFigures::default()
            },
        };
        for (index, request) in plan.requests.iter().enumerate() {
            fleet.at(request.at, Happening::Arrive(index));
            fleet.at(request.at + request.time, Happening::Deadline(index));
        }
        for (at, server, fault) in &plan.faults {
            fleet.at(*at, Happening::Fault(*server, *fault));
        }
        let last = plan
            .requests
            .last()
            .map_or(Duration::ZERO, |r| r.at + r.time);
        for server in 0..plan.engines {
            fleet.on_site(server, SimSite::start);
            let mut at = Duration::ZERO;
            while at < last {
                fleet.at(at, Happening::Report(server));
                at += REPORT_PERIOD;
            }
        }
        fleet
    }

    fn at(&mut self, at: Duration, what: Happening) {
        self.order += 1;
        let order = self.order;
        self.due.push(Reverse(Due { at, order, what }));
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Arrive(index) => {
                self.gateways[index % GATEWAYS].on_request();
                self.attempt(index);
            }
            Happening::Offer(attempt, server) => {
                let job = self.job(attempt);
                self.on_site(server, |site, now, out| site.offer(now, job, out));
            }
            Happening::Cancel(attempt, server) => {
                self.on_site(server, |site, now, out| site.cancel(now, attempt, out));
            }
            Happening::Wake(server) => {
                if self.woken_at[server].is_some_and(|at| at <= self.now) {
                    self.woken_at[server] = None;
                    self.on_site(server, SimSite::wake);
                }
            }
            Happening::Report(server) => self.on_site(server, SimSite::report),
            Happening::Message(attempt, server, message) => {
                self.message(attempt, server, message);
            }
            Happening::AttemptTime(attempt, server) => self.attempt_time(attempt, server),
            Happening::Deadline(index) => self.deadline(index),
            Happening::Fault(server, fault) => self.on_site(server, |site, now, _| match fault {
                SimFault::Slow(factor) => site.engine.set_slow_factor(now, factor),
                SimFault::FallBack => site.engine.return_to_cold_start(now),
            }),
        }
    }

    fn on_site(
        &mut self,
        server: usize,
        act: impl FnOnce(&mut SimSite, Duration, &mut Vec<(AttemptId, SiteMessage)>),
    ) {
        let mut out = Vec::new();
        let site = &mut self.sites[server];
        act(site, self.now, &mut out);
        if let Some(next) = site.next_wakeup() {
            let next = next.max(self.now + Duration::from_micros(1));
            if self.woken_at[server].is_none_or(|at| next < at) {
                self.woken_at[server] = Some(next);
                self.at(next, Happening::Wake(server));
            }
        }
        for (attempt, message) in out {
            self.at(
                self.now + ONE_WAY,
                Happening::Message(attempt, server, message),
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
            prompt_tokens: request.prompt,
            output_tokens: request.output,
            cached_tokens: 0,
            has_span_grant: false,
            deadline: request.at + request.time - 3 * ONE_WAY,
        }
    }

    fn attempt(&mut self, index: usize) {
        let request = &self.figures.requests[index];
        let gateway = &mut self.gateways[index % GATEWAYS];
        let chosen = gateway.choose(self.now, request, &self.tried[index]);
        let Some(server) = chosen else {
            return self.end(index, SimEnd::Refused);
        };
        let time = gateway.attempt_time(request);
        self.tried[index].push(server_name(server));
        self.figures.offers.push((self.now, server));
        let outcome = &mut self.figures.outcomes[index];
        outcome.attempts += 1;
        let attempt = AttemptId {
            request: index as u128,
            number: outcome.attempts,
        };
        self.open[index].push((attempt.number, server));
        self.at(self.now + ONE_WAY, Happening::Offer(attempt, server));
        if let Some(time) = time {
            self.at(self.now + time, Happening::AttemptTime(attempt, server));
        }
    }

    fn message(&mut self, attempt: AttemptId, server: usize, message: SiteMessage) {
        let index = attempt.request as usize;
        let last = self.figures.outcomes[index].attempts == attempt.number;
        let listens = last && self.figures.outcomes[index].end == SimEnd::Open;
        match message {
            SiteMessage::Accepted(hints) => {
                self.gateways[index % GATEWAYS].observe(self.now, &hints);
            }
            SiteMessage::Tokens(count) if listens => {
                let outcome = &mut self.figures.outcomes[index];
                outcome.first_token.get_or_insert(self.now);
                outcome.last_token = self.now;
                outcome.tokens += count;
            }
            SiteMessage::Tokens(count) => self.figures.wasted += count,
            SiteMessage::Ended(hints) => {
                self.close(attempt, server, hints.as_ref());
                if listens {
                    self.gateways[index % GATEWAYS].on_answer();
                    self.end(index, SimEnd::Finished);
                } else {
                    self.figures.wasted += self.figures.requests[index].prompt;
                }
            }
            SiteMessage::Refused(hints) => {
                self.close(attempt, server, hints.as_ref());
                self.unanswered(index, listens, Execution::NotRun, hints.as_ref());
            }
            SiteMessage::Failed(hints) => {
                self.close(attempt, server, hints.as_ref());
                self.unanswered(index, listens, Execution::MayHaveRun, hints.as_ref());
            }
        }
    }

    fn close(&mut self, attempt: AttemptId, server: usize, hints: Option<&Hints>) {
        let index = attempt.request as usize;
        self.open[index].retain(|(number, _)| *number != attempt.number);
        self.gateways[index % GATEWAYS].on_ended(self.now, server, hints);
    }

    fn unanswered(
        &mut self,
        index: usize,
        listens: bool,
        execution: Execution,
        hints: Option<&Hints>,
    ) {
        if !listens {
            return;
        }
        let outcome = &self.figures.outcomes[index];
        let end = FailedAttempt {
            execution,
            answer_started: outcome.first_token.is_some(),
            repeatable: true,
        };
        let request = &self.figures.requests[index];
        let gateway = &mut self.gateways[index % GATEWAYS];
        if gateway.may_retry(self.now, request, outcome.attempts, end, hints) {
            self.attempt(index);
        } else if execution == Execution::NotRun {
            self.end(index, SimEnd::Refused);
        } else {
            self.end(index, SimEnd::Failed);
        }
    }

    /// A caller without coordination gives the attempt up, and starts another beside it.
    fn attempt_time(&mut self, attempt: AttemptId, server: usize) {
        let index = attempt.request as usize;
        let outcome = &self.figures.outcomes[index];
        let given_up = outcome.end == SimEnd::Open
            && outcome.attempts == attempt.number
            && outcome.first_token.is_none();
        if given_up && outcome.attempts < 3 {
            self.gateways[index % GATEWAYS].on_ended(self.now, server, None);
            self.attempt(index);
        }
    }

    fn deadline(&mut self, index: usize) {
        if self.figures.outcomes[index].end != SimEnd::Open {
            return;
        }
        self.end(index, SimEnd::Late);
        for (number, server) in std::mem::take(&mut self.open[index]) {
            let attempt = AttemptId {
                request: index as u128,
                number,
            };
            self.at(self.now + ONE_WAY, Happening::Cancel(attempt, server));
            self.gateways[index % GATEWAYS].on_ended(self.now, server, None);
        }
    }

    fn end(&mut self, index: usize, end: SimEnd) {
        let outcome = &mut self.figures.outcomes[index];
        outcome.end = end;
        outcome.ended = self.now;
    }
}
