//! What an agent and its engine do on each event.

use crate::message::{AgentIndex, Ev, Step, ToAgent, ToGateway};
use crate::observer::{CLOSED_TIME, NOTICE_TIME};
use crate::world::{HOP, World};
use declarations::Declarations;
use policy::FaultKind;
use policy::{Action, EngineReport, Event};
use proto::{AttemptId, ConfigVersion, Execution};
use standins::{EngineOutput, EngineRefusal};
use std::sync::Arc;
use std::time::Duration;

const LATE: Duration = Duration::from_secs(3);

impl World {
    pub(crate) fn on_agent_message(&mut self, agent: AgentIndex, born: u64, message: ToAgent) {
        let entry = &self.agents[agent];
        if !entry.alive || entry.incarnation != born {
            if let ToAgent::Offer(job) = message {
                self.tell_gateway(job.attempt, ToGateway::Broke);
            }
            return;
        }
        if entry.frozen_until > self.now {
            let at = entry.frozen_until;
            return self.schedule(at, Ev::ToAgent(agent, born, message));
        }
        match message {
            ToAgent::Offer(job) => {
                if self.agents[agent].jobs.contains_key(&job.attempt) {
                    return;
                }
                self.agents[agent].jobs.insert(job.attempt, job.clone());
                self.handle(agent, Event::Offer(job));
            }
            ToAgent::Body(attempt) => self.handle(agent, Event::BodyComplete(attempt)),
            ToAgent::Cancel(attempt) => self.cancel(agent, attempt),
        }
    }

    /// Gives up an attempt whose gateway has gone.
    pub(crate) fn cancel(&mut self, agent: AgentIndex, attempt: AttemptId) {
        let now = self.now;
        let was_at_engine = self.agents[agent].drop_attempt(now, attempt);
        self.handle(agent, Event::Cancel(attempt));
        if was_at_engine {
            self.handle(agent, Event::Ended { attempt, ok: false });
        }
        self.tell_gateway(attempt, ToGateway::Broke);
    }

    /// Gives the scheduler an event and carries out its actions.
    pub(crate) fn handle(&mut self, agent: AgentIndex, event: Event) {
        let now = self.now;
        let mut actions = Vec::new();
        let entry = &mut self.agents[agent];
        entry.scheduler.handle(now, event, &mut actions);
        for action in actions {
            self.carry_out(agent, action);
        }
        let entry = &self.agents[agent];
        if entry.stopping && entry.alive && entry.scheduler.outstanding() == 0 {
            return self.kill(agent);
        }
        if let Some(at) = entry.scheduler.next_wakeup() {
            let at = at.max(now + HOP);
            self.schedule(at, Ev::SchedulerTick(agent, entry.incarnation));
        }
    }

    pub(crate) fn on_tick(&mut self, agent: AgentIndex, born: u64) {
        let entry = &self.agents[agent];
        if !entry.alive || entry.incarnation != born {
            return;
        }
        if entry.frozen_until > self.now {
            return self.schedule(entry.frozen_until, Ev::SchedulerTick(agent, born));
        }
        if entry
            .scheduler
            .next_wakeup()
            .is_some_and(|at| at <= self.now)
        {
            self.handle(agent, Event::Tick);
        }
    }

    fn carry_out(&mut self, agent: AgentIndex, action: Action) {
        let now = self.now;
        match action {
            Action::Accept(attempt) => {
                self.answer(agent, attempt, Step::Verdict, ToGateway::Accepted);
            }
            Action::Refuse { attempt, refusal } => {
                self.agents[agent].jobs.remove(&attempt);
                self.answer(agent, attempt, Step::Verdict, ToGateway::Refused(refusal));
            }
            Action::Dispatch { attempt, priority } => {
                self.reach(Step::Dispatch, agent, attempt);
                let born = self.agents[agent].incarnation;
                self.after(HOP, Ev::Submit(agent, born, attempt, priority));
            }
            Action::Suspend(attempt) => {
                let _ = self.agents[agent].engine.suspend(now, &attempt.to_string());
                self.wake_engine(agent);
            }
            Action::Resume(attempt) => {
                let _ = self.agents[agent].engine.resume(now, &attempt.to_string());
                self.wake_engine(agent);
            }
            Action::Abort { attempt, .. } => {
                if self.agents[agent].drop_attempt(now, attempt) {
                    self.handle(agent, Event::Ended { attempt, ok: false });
                }
                let failed = ToGateway::Failed(Execution::MayHaveRun);
                self.answer(agent, attempt, Step::End, failed);
            }
        }
    }

    pub(crate) fn on_submit(&mut self, agent: AgentIndex, born: u64, attempt: AttemptId, pri: u8) {
        let now = self.now;
        let entry = &mut self.agents[agent];
        if !entry.alive || entry.incarnation != born {
            return;
        }
        if entry.frozen_until > now {
            let at = entry.frozen_until;
            return self.schedule(at, Ev::Submit(agent, born, attempt, pri));
        }
        let Some(request) = entry.engine_request(attempt, pri) else {
            return;
        };
        let before = entry.engine.counts().over_cold_limit;
        match entry.engine.submit(now, request) {
            Ok(()) => {
                entry.at_engine.insert(attempt);
                let is_over = entry.engine.counts().over_cold_limit > before;
                self.on_given(agent, attempt, is_over);
                self.wake_engine(agent);
            }
            Err(EngineRefusal::Down) => {
                entry.jobs.remove(&attempt);
                self.handle(agent, Event::Ended { attempt, ok: false });
                let failed = ToGateway::Failed(Execution::NotRun);
                self.answer(agent, attempt, Step::Verdict, failed);
            }
            Err(_) => self.handle(agent, Event::Rejected(attempt)),
        }
    }

    fn on_given(&mut self, agent: AgentIndex, attempt: AttemptId, is_over: bool) {
        let name = self.agents[agent].spec.name.clone();
        let fell_back = self.agents[agent].fell_back;
        if is_over && fell_back.is_some_and(|at| self.now <= at + NOTICE_TIME) {
            self.observer.unnoticed += 1;
        } else if is_over {
            let breach = format!("engine {name} got more than it bears in cold start");
            self.observer.breaches.push(breach);
        }
        let closed = self.agents[agent].closed_since;
        if closed.is_some_and(|since| self.now > since + CLOSED_TIME) {
            let breach = format!("engine {name} got new work after it was closed");
            self.observer.breaches.push(breach);
        }
        self.observer.given.push((self.now, attempt));
    }

    /// Lets the engine work until now and passes on what it gives.
    pub(crate) fn drive_engine(&mut self, agent: AgentIndex) {
        let now = self.now;
        let mut outputs = Vec::new();
        self.agents[agent].engine.advance(now, &mut outputs);
        for output in outputs {
            self.on_output(agent, output);
        }
        self.wake_engine(agent);
    }

    pub(crate) fn wake_engine(&mut self, agent: AgentIndex) {
        if let Some(at) = self.agents[agent].engine.next_wakeup() {
            let at = at.max(self.now);
            self.schedule(at, Ev::EngineWake(agent));
        }
    }

    fn on_output(&mut self, agent: AgentIndex, output: EngineOutput) {
        let name = match &output {
            EngineOutput::Token { attempt, .. }
            | EngineOutput::Done { attempt }
            | EngineOutput::Failed { attempt } => attempt,
            _ => return,
        };
        let Some(attempt) = self.agents[agent].attempt_of(name) else {
            return;
        };
        match output {
            EngineOutput::Token { index, .. } => self.on_token(agent, attempt, index),
            EngineOutput::Done { .. } => {
                let now = self.now;
                let hints = Box::new(self.agents[agent].scheduler.hints(now));
                self.answer(agent, attempt, Step::End, ToGateway::End { hints });
                self.forget(agent, attempt);
                self.handle(agent, Event::Ended { attempt, ok: true });
            }
            _ => {
                self.forget(agent, attempt);
                self.handle(agent, Event::Ended { attempt, ok: false });
                let failed = ToGateway::Failed(Execution::MayHaveRun);
                self.answer(agent, attempt, Step::End, failed);
            }
        }
    }

    fn on_token(&mut self, agent: AgentIndex, attempt: AttemptId, index: u64) {
        let first = index == 0;
        if first {
            self.handle(agent, Event::FirstToken(attempt));
        }
        self.handle(agent, Event::Progress { attempt, tokens: 1 });
        let step = if first {
            Step::FirstToken
        } else {
            Step::Stream
        };
        self.answer(agent, attempt, step, ToGateway::Tokens { count: 1, first });
    }

    fn forget(&mut self, agent: AgentIndex, attempt: AttemptId) {
        self.agents[agent].at_engine.remove(&attempt);
        self.agents[agent].jobs.remove(&attempt);
    }

    /// Answers the gateway; the armed fault may strike the message.
    fn answer(&mut self, agent: AgentIndex, attempt: AttemptId, step: Step, message: ToGateway) {
        let born = self.agents[agent].incarnation;
        let struck = self.reach(step, agent, attempt);
        if !self.agents[agent].alive || self.agents[agent].incarnation != born {
            return;
        }
        let ev = Ev::ToGateway(attempt, message);
        let frozen = self.agents[agent].frozen_until.saturating_sub(self.now);
        match struck {
            Some(FaultKind::LoseMessage | FaultKind::CutLink) => self.cancel(agent, attempt),
            Some(FaultKind::DelayMessage) => self.after(LATE, ev),
            Some(FaultKind::DuplicateMessage) if step == Step::End || step == Step::Verdict => {
                self.after(HOP, ev.clone());
                self.after(HOP * 2, ev);
            }
            _ => self.after(HOP + frozen, ev),
        }
    }

    /// Passes a report of the engine on; false where this agent is no more.
    pub(crate) fn on_report(&mut self, agent: AgentIndex, born: u64) -> bool {
        let now = self.now;
        let entry = &self.agents[agent];
        if !entry.alive || entry.incarnation != born {
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
        self.heartbeat(agent);
        self.handle(agent, Event::Report(report));
        true
    }

    fn heartbeat(&mut self, agent: AgentIndex) {
        let attempts: Vec<AttemptId> = self.agents[agent].jobs.keys().copied().collect();
        for attempt in attempts {
            self.tell_gateway(attempt, ToGateway::Heartbeat);
        }
    }

    pub(crate) fn in_force(
        &mut self,
        agent: AgentIndex,
        declared: Arc<Declarations>,
        version: ConfigVersion,
    ) {
        let entry = &mut self.agents[agent];
        if !entry.alive || entry.config >= version {
            return;
        }
        if entry.frozen_until > self.now {
            let at = entry.frozen_until;
            return self.schedule(at, Ev::InForce(agent, declared, version));
        }
        entry.config = version;
        let facts = entry.facts(&declared, version);
        self.handle(agent, Event::SettingsChanged(facts));
    }
}
