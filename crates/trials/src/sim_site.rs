//! One simulated backend server: its engine, and the agent beside it.

use policy::{
    EngineReport, FifoScheduler, Job, Scheduler, SchedulerAction, SchedulerConfig, SchedulerEvent,
    ServerSettings,
};
use proto::{AttemptId, Hints};
use standins::{EngineOutput, EngineRequest, EngineSim, EngineSpec};
use std::time::Duration;

/// The agent, with the policy of the run or with a baseline's.
#[derive(Debug)]
enum Agent {
    Policy(Box<Scheduler>),
    Fifo(FifoScheduler),
}

/// What a site tells gateways.
#[derive(Debug, Clone)]
pub enum SiteMessage {
    /// The attempt waits for its turn.
    Accepted(Hints),
    /// The attempt did not run.
    Refused(Option<Hints>),
    /// So many tokens came.
    Tokens(u64),
    /// The answer is whole.
    Ended(Option<Hints>),
    /// The attempt broke off.
    Failed(Option<Hints>),
}

/// A backend server.
#[derive(Debug)]
pub struct SimSite {
    /// Its engine.
    pub engine: EngineSim,
    /// Dispatches over what the engine bears in cold start.
    pub over_bearable: Vec<Duration>,
    agent: Agent,
    facts: ServerSettings,
    actions: Vec<SchedulerAction>,
    outputs: Vec<EngineOutput>,
    jobs: std::collections::BTreeMap<AttemptId, (u64, u64)>,
}

impl SimSite {
    /// A site whose agent runs the policy, or serves in order of arrival.
    pub fn new(name: &str, spec: EngineSpec, is_fifo: bool) -> Self {
        let facts = ServerSettings {
            config: 1,
            epoch: 1,
            warm_limit: spec.warm_limit as u32,
            cold_limit: spec.cold_limit as u32,
            prefill_rate: None,
            decode_interval: None,
            memory_tokens: Some(spec.memory_tokens),
            can_suspend: spec.can_suspend,
            ..ServerSettings::default()
        };
        let agent = if is_fifo {
            Agent::Fifo(FifoScheduler::default())
        } else {
            Agent::Policy(Box::new(Scheduler::new(SchedulerConfig::for_server(name))))
        };
        Self {
            engine: EngineSim::new(spec),
            over_bearable: Vec::new(),
            agent,
            facts,
            actions: Vec::new(),
            outputs: Vec::new(),
            jobs: std::collections::BTreeMap::new(),
        }
    }

    /// Starts the agent.
    pub fn start(&mut self, now: Duration, out: &mut Vec<(AttemptId, SiteMessage)>) {
        let facts = self.facts.clone();
        self.handle(now, SchedulerEvent::SettingsChanged(facts), out);
    }

    /// When something happens next by itself.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let agent = match &self.agent {
            Agent::Policy(scheduler) => scheduler.next_wakeup(),
            Agent::Fifo(scheduler) => scheduler.next_wakeup(),
        };
        [agent, self.engine.next_wakeup()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Takes an offer, with its body.
    pub fn offer(&mut self, now: Duration, job: Job, out: &mut Vec<(AttemptId, SiteMessage)>) {
        let attempt = job.attempt;
        self.jobs
            .insert(attempt, (job.prompt_tokens, job.output_tokens));
        self.handle(now, SchedulerEvent::Offer(job), out);
        self.handle(now, SchedulerEvent::BodyComplete(attempt), out);
    }

    /// Takes a cancel.
    pub fn cancel(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        out: &mut Vec<(AttemptId, SiteMessage)>,
    ) {
        self.handle(now, SchedulerEvent::Cancel(attempt), out);
        self.engine.cancel(now, &attempt.to_string());
        self.handle(now, SchedulerEvent::Ended { attempt, ok: false }, out);
        self.jobs.remove(&attempt);
    }

    /// Takes the engine's report to the agent.
    pub fn report(&mut self, now: Duration, out: &mut Vec<(AttemptId, SiteMessage)>) {
        let load = self.engine.load_report(now);
        let report = EngineReport {
            running: load.running as u32,
            waiting: load.waiting as u32,
            free_tokens: load.free_tokens,
            cold: load.cold,
        };
        self.handle(now, SchedulerEvent::Report(report), out);
    }

    /// Lets time pass.
    pub fn wake(&mut self, now: Duration, out: &mut Vec<(AttemptId, SiteMessage)>) {
        self.run_engine(now, out);
        self.handle(now, SchedulerEvent::Tick, out);
    }

    fn handle(
        &mut self,
        now: Duration,
        event: SchedulerEvent,
        out: &mut Vec<(AttemptId, SiteMessage)>,
    ) {
        match &mut self.agent {
            Agent::Policy(scheduler) => scheduler.handle(now, event, &mut self.actions),
            Agent::Fifo(scheduler) => scheduler.handle(now, event, &mut self.actions),
        }
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.carry_out(now, action, out);
        }
        if self.actions.is_empty() {
            self.actions = actions;
        }
        self.run_engine(now, out);
    }

    fn carry_out(
        &mut self,
        now: Duration,
        action: SchedulerAction,
        out: &mut Vec<(AttemptId, SiteMessage)>,
    ) {
        match action {
            SchedulerAction::Accept(attempt) => {
                if let Some(hints) = self.hints(now) {
                    out.push((attempt, SiteMessage::Accepted(hints)));
                }
            }
            SchedulerAction::Refuse { attempt, refusal } => {
                self.jobs.remove(&attempt);
                out.push((attempt, SiteMessage::Refused(refusal.hints)));
            }
            SchedulerAction::Dispatch { attempt, priority } => {
                self.submit(now, attempt, priority, out)
            }
            SchedulerAction::Suspend(attempt) => {
                let _ = self.engine.suspend(now, &attempt.to_string());
            }
            SchedulerAction::Resume(attempt) => {
                let _ = self.engine.resume(now, &attempt.to_string());
            }
            SchedulerAction::Abort { attempt, .. } => {
                self.engine.cancel(now, &attempt.to_string());
                self.jobs.remove(&attempt);
                let hints = self.hints(now);
                out.push((attempt, SiteMessage::Failed(hints)));
                self.handle(now, SchedulerEvent::Ended { attempt, ok: false }, out);
            }
        }
    }

    fn submit(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        priority: u8,
        out: &mut Vec<(AttemptId, SiteMessage)>,
    ) {
        let (prompt_tokens, max_tokens) = self.jobs.get(&attempt).copied().unwrap_or_default();
        let request = EngineRequest {
            attempt: attempt.to_string().into(),
            model: None,
            priority,
            prompt_tokens,
            max_tokens,
            prefixes: Vec::new(),
            grant: None,
        };
        let before = self.engine.counts().over_cold_limit;
        let taken = self.engine.submit(now, request);
        if self.engine.counts().over_cold_limit > before {
            self.over_bearable.push(now);
        }
        if taken.is_err() {
            self.handle(now, SchedulerEvent::Rejected(attempt), out);
        }
    }

    fn run_engine(&mut self, now: Duration, out: &mut Vec<(AttemptId, SiteMessage)>) {
        self.engine.advance(now, &mut self.outputs);
        for output in std::mem::take(&mut self.outputs) {
            match output {
                EngineOutput::Token { attempt, index } => {
                    let attempt = parse(&attempt);
                    let event = if index == 0 {
                        SchedulerEvent::FirstToken(attempt)
                    } else {
                        SchedulerEvent::Progress { attempt, tokens: 1 }
                    };
                    out.push((attempt, SiteMessage::Tokens(1)));
                    self.handle(now, event, out);
                }
                EngineOutput::Done { attempt } => {
                    let attempt = parse(&attempt);
                    self.jobs.remove(&attempt);
                    self.handle(now, SchedulerEvent::Ended { attempt, ok: true }, out);
                    let hints = self.hints(now);
                    out.push((attempt, SiteMessage::Ended(hints)));
                }
                EngineOutput::Failed { attempt } => {
                    let attempt = parse(&attempt);
                    self.jobs.remove(&attempt);
                    self.handle(now, SchedulerEvent::Ended { attempt, ok: false }, out);
                    let hints = self.hints(now);
                    out.push((attempt, SiteMessage::Failed(hints)));
                }
                EngineOutput::SegmentDone { .. } | EngineOutput::SegmentFailed { .. } => {}
            }
        }
    }

    fn hints(&mut self, now: Duration) -> Option<Hints> {
        match &mut self.agent {
            Agent::Policy(scheduler) => Some(scheduler.hints(now)),
            Agent::Fifo(_) => None,
        }
    }
}

fn parse(name: &str) -> AttemptId {
    let (request, number) = name.split_once('-').unwrap_or((name, "0"));
    AttemptId {
        request: u128::from_str_radix(request, 16).unwrap_or_default(),
        number: number.parse().unwrap_or_default(),
    }
}
