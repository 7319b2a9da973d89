//! A simulated backend server: an emulated engine and the scheduler of its agent.

use policy::{
    EngineReport, FifoScheduler, Job, Scheduler, SchedulerAction, SchedulerConfig, SchedulerEvent,
    ServerSettings,
};
use proto::{AttemptId, Hints};
use standins::{EngineOutput, EngineRequest, EngineSim, EngineSpec};
use std::time::Duration;

/// The agent's scheduler: the product's or a baseline.
#[derive(Debug)]
enum AgentScheduler {
    Product(Box<Scheduler>),
    Fifo(FifoScheduler),
}

/// A message from an agent to a gateway about one attempt. A baseline scheduler sends no
/// hints.
#[derive(Debug, Clone)]
pub enum AgentMessage {
    /// The attempt was admitted to the agent's queue.
    Accepted(Hints),
    /// The attempt was refused without having run.
    Refused(Option<Hints>),
    /// This many more response tokens were produced.
    Tokens(u64),
    /// The response is complete.
    Completed(Option<Hints>),
    /// The attempt was aborted or failed after it was admitted.
    Failed(Option<Hints>),
}

/// A simulated backend server.
#[derive(Debug)]
pub struct SimServer {
    /// The emulated engine.
    pub engine: EngineSim,
    /// Times of the dispatches that exceeded the engine's cold limit.
    pub over_cold_limit: Vec<Duration>,
    scheduler: AgentScheduler,
    settings: ServerSettings,
    actions: Vec<SchedulerAction>,
    outputs: Vec<EngineOutput>,
    /// Prompt and output tokens of each offered attempt that has not ended.
    jobs: std::collections::BTreeMap<AttemptId, (u64, u64)>,
}

impl SimServer {
    /// Creates a server whose agent runs the product's scheduler or, if `is_fifo`, serves in order
    /// of arrival.
    pub fn new(name: &str, spec: EngineSpec, is_fifo: bool) -> Self {
        let settings = ServerSettings {
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
        let scheduler = if is_fifo {
            AgentScheduler::Fifo(FifoScheduler::default())
        } else {
            AgentScheduler::Product(Box::new(Scheduler::new(SchedulerConfig::for_server(name))))
        };
        Self {
            engine: EngineSim::new(spec),
            over_cold_limit: Vec::new(),
            scheduler,
            settings,
            actions: Vec::new(),
            outputs: Vec::new(),
            jobs: std::collections::BTreeMap::new(),
        }
    }

    /// Starts the agent by giving it its settings.
    pub fn start_agent(&mut self, now: Duration, out: &mut Vec<(AttemptId, AgentMessage)>) {
        let settings = self.settings.clone();
        self.handle(now, SchedulerEvent::SettingsChanged(settings), out);
    }

    /// Time of the next event in the scheduler or the engine, if any.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let scheduler = match &self.scheduler {
            AgentScheduler::Product(scheduler) => scheduler.next_wakeup(),
            AgentScheduler::Fifo(scheduler) => scheduler.next_wakeup(),
        };
        [scheduler, self.engine.next_wakeup()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Offers an attempt to the agent; its body arrives at the same time.
    pub fn offer(&mut self, now: Duration, job: Job, out: &mut Vec<(AttemptId, AgentMessage)>) {
        let attempt = job.attempt;
        self.jobs
            .insert(attempt, (job.prompt_tokens, job.output_tokens));
        self.handle(now, SchedulerEvent::Offer(job), out);
        self.handle(now, SchedulerEvent::BodyComplete(attempt), out);
    }

    /// Cancels an attempt in the agent and the engine.
    pub fn cancel(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        out: &mut Vec<(AttemptId, AgentMessage)>,
    ) {
        self.handle(now, SchedulerEvent::Cancel(attempt), out);
        self.engine.cancel(now, &attempt.to_string());
        self.handle(now, SchedulerEvent::Ended { attempt, ok: false }, out);
        self.jobs.remove(&attempt);
    }

    /// Passes the engine's current load report to the agent.
    pub fn poll_load_report(&mut self, now: Duration, out: &mut Vec<(AttemptId, AgentMessage)>) {
        let load = self.engine.load_report(now);
        let report = EngineReport {
            running: load.running as u32,
            waiting: load.waiting as u32,
            free_tokens: load.free_tokens,
            cold: load.cold,
        };
        self.handle(now, SchedulerEvent::Report(report), out);
    }

    /// Advances the engine to `now`, then lets the scheduler handle its timers.
    pub fn on_wakeup(&mut self, now: Duration, out: &mut Vec<(AttemptId, AgentMessage)>) {
        self.run_engine(now, out);
        self.handle(now, SchedulerEvent::Tick, out);
    }

    fn handle(
        &mut self,
        now: Duration,
        event: SchedulerEvent,
        out: &mut Vec<(AttemptId, AgentMessage)>,
    ) {
        match &mut self.scheduler {
            AgentScheduler::Product(scheduler) => scheduler.handle(now, event, &mut self.actions),
            AgentScheduler::Fifo(scheduler) => scheduler.handle(now, event, &mut self.actions),
        }
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.perform(now, action, out);
        }
        if self.actions.is_empty() {
            self.actions = actions;
        }
        self.run_engine(now, out);
    }

    fn perform(
        &mut self,
        now: Duration,
        action: SchedulerAction,
        out: &mut Vec<(AttemptId, AgentMessage)>,
    ) {
        match action {
            SchedulerAction::Accept(attempt) => {
                if let Some(hints) = self.hints(now) {
                    out.push((attempt, AgentMessage::Accepted(hints)));
                }
            }
            SchedulerAction::Refuse { attempt, refusal } => {
                self.jobs.remove(&attempt);
                out.push((attempt, AgentMessage::Refused(refusal.hints)));
            }
            SchedulerAction::Dispatch { attempt, priority } => {
                self.submit(now, attempt, priority, out);
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
                out.push((attempt, AgentMessage::Failed(hints)));
                self.handle(now, SchedulerEvent::Ended { attempt, ok: false }, out);
            }
        }
    }

    fn submit(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        priority: u8,
        out: &mut Vec<(AttemptId, AgentMessage)>,
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
        let submitted = self.engine.submit(now, request);
        if self.engine.counts().over_cold_limit > before {
            self.over_cold_limit.push(now);
        }
        if submitted.is_err() {
            self.handle(now, SchedulerEvent::Rejected(attempt), out);
        }
    }

    fn run_engine(&mut self, now: Duration, out: &mut Vec<(AttemptId, AgentMessage)>) {
        self.engine.advance(now, &mut self.outputs);
        for output in std::mem::take(&mut self.outputs) {
            match output {
                EngineOutput::Token { attempt, index } => {
                    let attempt = parse_attempt_id(&attempt);
                    let event = if index == 0 {
                        SchedulerEvent::FirstToken(attempt)
                    } else {
                        SchedulerEvent::Progress { attempt, tokens: 1 }
                    };
                    out.push((attempt, AgentMessage::Tokens(1)));
                    self.handle(now, event, out);
                }
                EngineOutput::Done { attempt } => {
                    let attempt = parse_attempt_id(&attempt);
                    self.jobs.remove(&attempt);
                    self.handle(now, SchedulerEvent::Ended { attempt, ok: true }, out);
                    let hints = self.hints(now);
                    out.push((attempt, AgentMessage::Completed(hints)));
                }
                EngineOutput::Failed { attempt } => {
                    let attempt = parse_attempt_id(&attempt);
                    self.jobs.remove(&attempt);
                    self.handle(now, SchedulerEvent::Ended { attempt, ok: false }, out);
                    let hints = self.hints(now);
                    out.push((attempt, AgentMessage::Failed(hints)));
                }
                EngineOutput::SegmentDone { .. } | EngineOutput::SegmentFailed { .. } => {}
            }
        }
    }

    fn hints(&mut self, now: Duration) -> Option<Hints> {
        match &mut self.scheduler {
            AgentScheduler::Product(scheduler) => Some(scheduler.hints(now)),
            AgentScheduler::Fifo(_) => None,
        }
    }
}

fn parse_attempt_id(text: &str) -> AttemptId {
    let (request, number) = text.split_once('-').unwrap_or((text, "0"));
    AttemptId {
        request: u128::from_str_radix(request, 16).unwrap_or_default(),
        number: number.parse().unwrap_or_default(),
    }
}
