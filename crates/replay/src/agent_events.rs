//! Event handlers of the simulated agents and their engines.

use crate::message::{AgentIndex, SimEvent, Step, ToAgent, ToGateway};
use crate::observer::{MAX_CLOSE_DELAY, MAX_COLD_REPORT_DELAY};
use crate::simulation::{LINK_DELAY, Simulation};
use declarations::Declarations;
use policy::FaultKind;
use policy::{EngineReport, SchedulerAction, SchedulerEvent};
use proto::{AttemptId, ConfigVersion, Execution};
use standins::{EngineOutput, EngineRefusal};
use std::sync::Arc;
use std::time::Duration;

const INJECTED_MESSAGE_DELAY: Duration = Duration::from_secs(3);

impl Simulation {
    pub(crate) fn on_agent_message(
        &mut self,
        agent: AgentIndex,
        incarnation: u64,
        message: ToAgent,
    ) {
        let entry = &self.agents[agent];
        if !entry.alive || entry.incarnation != incarnation {
            if let ToAgent::Offer(job) = message {
                self.send_to_gateway(job.attempt, ToGateway::ConnectionLost);
            }
            return;
        }
        if entry.frozen_until > self.now {
            let at = entry.frozen_until;
            return self.schedule(at, SimEvent::ToAgent(agent, incarnation, message));
        }
        match message {
            ToAgent::Offer(job) => {
                if self.agents[agent].jobs.contains_key(&job.attempt) {
                    return;
                }
                self.agents[agent].jobs.insert(job.attempt, job.clone());
                self.handle_scheduler_event(agent, SchedulerEvent::Offer(job));
            }
            ToAgent::Body(attempt) => {
                self.handle_scheduler_event(agent, SchedulerEvent::BodyComplete(attempt));
            }
            ToAgent::Cancel(attempt) => self.cancel(agent, attempt),
        }
    }

    /// Cancels an attempt at the engine and the scheduler, and tells the gateway that its stream is
    /// lost.
    pub(crate) fn cancel(&mut self, agent: AgentIndex, attempt: AttemptId) {
        let now = self.now;
        let was_at_engine = self.agents[agent].drop_attempt(now, attempt);
        self.handle_scheduler_event(agent, SchedulerEvent::Cancel(attempt));
        if was_at_engine {
            self.handle_scheduler_event(agent, SchedulerEvent::Ended { attempt, ok: false });
        }
        self.send_to_gateway(attempt, ToGateway::ConnectionLost);
    }

    /// Passes an event to the agent's scheduler and executes the resulting actions. Completes the
    /// shutdown of a terminating agent once it has no attempts left.
    pub(crate) fn handle_scheduler_event(&mut self, agent: AgentIndex, event: SchedulerEvent) {
        let now = self.now;
        let mut actions = Vec::new();
        let entry = &mut self.agents[agent];
        entry.scheduler.handle(now, event, &mut actions);
        for action in actions {
            self.execute_action(agent, action);
        }
        let entry = &self.agents[agent];
        if entry.terminating && entry.alive && entry.scheduler.outstanding() == 0 {
            return self.kill(agent);
        }
        if let Some(at) = entry.scheduler.next_wakeup() {
            let at = at.max(now + LINK_DELAY);
            self.schedule(at, SimEvent::SchedulerTick(agent, entry.incarnation));
        }
    }

    pub(crate) fn on_tick(&mut self, agent: AgentIndex, incarnation: u64) {
        let entry = &self.agents[agent];
        if !entry.alive || entry.incarnation != incarnation {
            return;
        }
        if entry.frozen_until > self.now {
            return self.schedule(
                entry.frozen_until,
                SimEvent::SchedulerTick(agent, incarnation),
            );
        }
        if entry
            .scheduler
            .next_wakeup()
            .is_some_and(|at| at <= self.now)
        {
            self.handle_scheduler_event(agent, SchedulerEvent::Tick);
        }
    }

    fn execute_action(&mut self, agent: AgentIndex, action: SchedulerAction) {
        let now = self.now;
        match action {
            SchedulerAction::Accept(attempt) => {
                self.send_reply(agent, attempt, Step::Verdict, ToGateway::Accepted);
            }
            SchedulerAction::Refuse { attempt, refusal } => {
                self.agents[agent].jobs.remove(&attempt);
                self.send_reply(agent, attempt, Step::Verdict, ToGateway::Refused(refusal));
            }
            SchedulerAction::Dispatch { attempt, priority } => {
                self.inject_pending_fault(Step::Dispatch, agent, attempt);
                let incarnation = self.agents[agent].incarnation;
                self.after(
                    LINK_DELAY,
                    SimEvent::SubmitToEngine(agent, incarnation, attempt, priority),
                );
            }
            SchedulerAction::Suspend(attempt) => {
                let _ = self.agents[agent].engine.suspend(now, &attempt.to_string());
                self.schedule_engine_wakeup(agent);
            }
            SchedulerAction::Resume(attempt) => {
                let _ = self.agents[agent].engine.resume(now, &attempt.to_string());
                self.schedule_engine_wakeup(agent);
            }
            SchedulerAction::Abort { attempt, .. } => {
                if self.agents[agent].drop_attempt(now, attempt) {
                    self.handle_scheduler_event(
                        agent,
                        SchedulerEvent::Ended { attempt, ok: false },
                    );
                }
                let failed = ToGateway::Failed(Execution::MayHaveRun);
                self.send_reply(agent, attempt, Step::End, failed);
            }
        }
    }

    pub(crate) fn on_submit(
        &mut self,
        agent: AgentIndex,
        incarnation: u64,
        attempt: AttemptId,
        priority: u8,
    ) {
        let now = self.now;
        let entry = &mut self.agents[agent];
        if !entry.alive || entry.incarnation != incarnation {
            return;
        }
        if entry.frozen_until > now {
            let at = entry.frozen_until;
            return self.schedule(
                at,
                SimEvent::SubmitToEngine(agent, incarnation, attempt, priority),
            );
        }
        let Some(request) = entry.engine_request(attempt, priority) else {
            return;
        };
        let before = entry.engine.counts().over_cold_limit;
        match entry.engine.submit(now, request) {
            Ok(()) => {
                entry.at_engine.insert(attempt);
                let exceeds_cold_limit = entry.engine.counts().over_cold_limit > before;
                self.record_submission(agent, attempt, exceeds_cold_limit);
                self.schedule_engine_wakeup(agent);
            }
            Err(EngineRefusal::Down) => {
                entry.jobs.remove(&attempt);
                self.handle_scheduler_event(agent, SchedulerEvent::Ended { attempt, ok: false });
                let failed = ToGateway::Failed(Execution::NotRun);
                self.send_reply(agent, attempt, Step::Verdict, failed);
            }
            Err(_) => self.handle_scheduler_event(agent, SchedulerEvent::Rejected(attempt)),
        }
    }

    fn record_submission(
        &mut self,
        agent: AgentIndex,
        attempt: AttemptId,
        exceeds_cold_limit: bool,
    ) {
        let name = self.agents[agent].spec.name.clone();
        let cold_start_at = self.agents[agent].cold_start_at;
        if exceeds_cold_limit
            && cold_start_at.is_some_and(|at| self.now <= at + MAX_COLD_REPORT_DELAY)
        {
            self.observer.unreported_excess += 1;
        } else if exceeds_cold_limit {
            let violation = format!("engine {name} got more than it bears in cold start");
            self.observer.violations.push(violation);
        }
        let closed = self.agents[agent].closed_since;
        if closed.is_some_and(|since| self.now > since + MAX_CLOSE_DELAY) {
            let violation = format!("engine {name} got new work after it was closed");
            self.observer.violations.push(violation);
        }
        self.observer.submissions.push((self.now, attempt));
    }

    /// Advances the engine to the current time and handles its outputs.
    pub(crate) fn advance_engine(&mut self, agent: AgentIndex) {
        let now = self.now;
        let mut outputs = Vec::new();
        self.agents[agent].engine.advance(now, &mut outputs);
        for output in outputs {
            self.on_output(agent, output);
        }
        self.schedule_engine_wakeup(agent);
    }

    pub(crate) fn schedule_engine_wakeup(&mut self, agent: AgentIndex) {
        if let Some(at) = self.agents[agent].engine.next_wakeup() {
            let at = at.max(self.now);
            self.schedule(at, SimEvent::EngineWakeup(agent));
        }
    }

    fn on_output(&mut self, agent: AgentIndex, output: EngineOutput) {
        let id = match &output {
            EngineOutput::Token { attempt, .. }
            | EngineOutput::Done { attempt }
            | EngineOutput::Failed { attempt } => attempt,
            _ => return,
        };
        let Some(attempt) = self.agents[agent].find_attempt(id) else {
            return;
        };
        match output {
            EngineOutput::Token { index, .. } => self.on_token(agent, attempt, index),
            EngineOutput::Done { .. } => {
                let now = self.now;
                let hints = Box::new(self.agents[agent].scheduler.hints(now));
                self.send_reply(agent, attempt, Step::End, ToGateway::End { hints });
                self.remove_attempt(agent, attempt);
                self.handle_scheduler_event(agent, SchedulerEvent::Ended { attempt, ok: true });
            }
            _ => {
                self.remove_attempt(agent, attempt);
                self.handle_scheduler_event(agent, SchedulerEvent::Ended { attempt, ok: false });
                let failed = ToGateway::Failed(Execution::MayHaveRun);
                self.send_reply(agent, attempt, Step::End, failed);
            }
        }
    }

    fn on_token(&mut self, agent: AgentIndex, attempt: AttemptId, index: u64) {
        let first = index == 0;
        if first {
            self.handle_scheduler_event(agent, SchedulerEvent::FirstToken(attempt));
        }
        self.handle_scheduler_event(agent, SchedulerEvent::Progress { attempt, tokens: 1 });
        let step = if first {
            Step::FirstToken
        } else {
            Step::Stream
        };
        self.send_reply(agent, attempt, step, ToGateway::Tokens { count: 1, first });
    }

    fn remove_attempt(&mut self, agent: AgentIndex, attempt: AttemptId) {
        self.agents[agent].at_engine.remove(&attempt);
        self.agents[agent].jobs.remove(&attempt);
    }

    /// Sends a reply to the gateway. A fault pending for this step is injected first and may drop,
    /// delay or duplicate the reply.
    fn send_reply(
        &mut self,
        agent: AgentIndex,
        attempt: AttemptId,
        step: Step,
        message: ToGateway,
    ) {
        let incarnation = self.agents[agent].incarnation;
        let fault = self.inject_pending_fault(step, agent, attempt);
        if !self.agents[agent].alive || self.agents[agent].incarnation != incarnation {
            return;
        }
        let ev = SimEvent::ToGateway(attempt, message);
        let remaining_freeze = self.agents[agent].frozen_until.saturating_sub(self.now);
        match fault {
            Some(FaultKind::LoseMessage | FaultKind::CutLink) => self.cancel(agent, attempt),
            Some(FaultKind::DelayMessage) => self.after(INJECTED_MESSAGE_DELAY, ev),
            Some(FaultKind::DuplicateMessage) if step == Step::End || step == Step::Verdict => {
                self.after(LINK_DELAY, ev.clone());
                self.after(LINK_DELAY * 2, ev);
            }
            _ => self.after(LINK_DELAY + remaining_freeze, ev),
        }
    }

    /// Passes the engine's load report to the scheduler and sends heartbeats to the gateway.
    /// Returns false if this incarnation of the agent has died, which ends its reports.
    pub(crate) fn report_load(&mut self, agent: AgentIndex, incarnation: u64) -> bool {
        let now = self.now;
        let entry = &self.agents[agent];
        if !entry.alive || entry.incarnation != incarnation {
            return false;
        }
        if entry.frozen_until > now {
            return true;
        }
        let load = entry.engine.load_report(now);
        let report = EngineReport {
            running: load.running as u32,
            waiting: load.waiting as u32,
            free_tokens: load.free_tokens,
            cold: load.cold,
        };
        self.send_heartbeats(agent);
        self.handle_scheduler_event(agent, SchedulerEvent::Report(report));
        true
    }

    fn send_heartbeats(&mut self, agent: AgentIndex) {
        let attempts: Vec<AttemptId> = self.agents[agent].jobs.keys().copied().collect();
        for attempt in attempts {
            self.send_to_gateway(attempt, ToGateway::Heartbeat);
        }
    }

    pub(crate) fn activate_config(
        &mut self,
        agent: AgentIndex,
        declared: Arc<Declarations>,
        version: ConfigVersion,
    ) {
        let entry = &mut self.agents[agent];
        if !entry.alive || entry.config_version >= version {
            return;
        }
        if entry.frozen_until > self.now {
            let at = entry.frozen_until;
            return self.schedule(at, SimEvent::ActivateConfig(agent, declared, version));
        }
        entry.config_version = version;
        let settings = entry.settings(&declared, version);
        self.handle_scheduler_event(agent, SchedulerEvent::SettingsChanged(settings));
    }
}
