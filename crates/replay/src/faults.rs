//! How faults strike.

use crate::message::{AgentIndex, Ev, Step, ToGateway};
use crate::world::{HOP, World};
use declarations::Declarations;
use policy::Event;
use policy::FaultKind;
use proto::AttemptId;
use std::time::Duration;

const AGENT_START_TIME: Duration = Duration::from_secs(2);
const FREEZE_TIME: Duration = Duration::from_secs(5);
const SLOW_TIME: Duration = Duration::from_secs(5);
const SLOW_FACTOR: f64 = 10.0;
const RACE_GAP: Duration = Duration::from_millis(50);

impl World {
    /// Notes that an attempt reached a step; the armed fault strikes there, once.
    pub(crate) fn reach(
        &mut self,
        step: Step,
        agent: AgentIndex,
        attempt: AttemptId,
    ) -> Option<FaultKind> {
        let (armed, kind) = self.armed?;
        if armed != step {
            return None;
        }
        self.armed = None;
        self.struck = Some(self.now);
        self.strike(agent, Some(attempt), kind);
        Some(kind)
    }

    pub(crate) fn strike(
        &mut self,
        agent: AgentIndex,
        attempt: Option<AttemptId>,
        kind: FaultKind,
    ) {
        let now = self.now;
        let domain = self.agents[agent].spec.domain.clone();
        let server = self.agents[agent].spec.name.clone();
        match kind {
            FaultKind::KillAgent => self.kill(agent),
            FaultKind::KillEngine => {
                self.agents[agent].engine.restart(now);
                self.schedule(now, Ev::EngineWake(agent));
            }
            FaultKind::ReplaceHost => {
                self.kill(agent);
                self.agents[agent].replace_engine();
            }
            FaultKind::FreezeAgent => self.agents[agent].frozen_until = now + FREEZE_TIME,
            FaultKind::ColdStart => {
                self.agents[agent].engine.return_to_cold_start(now);
                self.agents[agent].fell_back = Some(now);
                self.wake_engine(agent);
            }
            FaultKind::SlowEngine => {
                self.agents[agent].engine.set_slow_factor(now, SLOW_FACTOR);
                self.after(SLOW_TIME, Ev::SpeedUp(agent));
            }
            FaultKind::CutLink if attempt.is_none() => self.cut_all(agent),
            FaultKind::DomainOut => {
                self.configure(now, |declared| set_out(declared, &domain, true));
            }
            FaultKind::OperatorRace => {
                self.configure(now, |declared| set_out(declared, &domain, true));
                self.configure(now + RACE_GAP, |declared| set_out(declared, &domain, false));
            }
            FaultKind::Drain => self.configure(now, |declared| drain(declared, &server)),
            FaultKind::Terminate => self.terminate(agent),
            FaultKind::CutLink
            | FaultKind::LoseMessage
            | FaultKind::DelayMessage
            | FaultKind::DuplicateMessage => {}
        }
    }

    pub(crate) fn on_restart(&mut self, agent: AgentIndex) {
        self.agents[agent].restart();
        self.agents[agent].config = 0;
        let (declared, version) = (self.declared.clone(), self.version);
        let facts = self.agents[agent].facts(&declared, version);
        if !facts.domain_out && !facts.draining {
            self.agents[agent].closed_since = None;
        }
        self.in_force(agent, declared, version);
        let incarnation = self.agents[agent].incarnation;
        self.after(HOP, Ev::Report(agent, incarnation));
    }

    /// Kills an agent: its connections close, on both sides.
    pub(crate) fn kill(&mut self, agent: AgentIndex) {
        self.cut_all(agent);
        let now = self.now;
        let entry = &mut self.agents[agent];
        let open: Vec<AttemptId> = entry.at_engine.iter().copied().collect();
        for attempt in open {
            entry.engine.connection_closed(now, &attempt.to_string());
        }
        entry.at_engine.clear();
        entry.jobs.clear();
        entry.alive = false;
        self.after(AGENT_START_TIME, Ev::Restart(agent));
    }

    fn cut_all(&mut self, agent: AgentIndex) {
        let open: Vec<AttemptId> = self.agents[agent].jobs.keys().copied().collect();
        let alive = self.agents[agent].alive;
        for attempt in open {
            self.tell_gateway(attempt, ToGateway::Broke);
            if alive {
                self.cancel(agent, attempt);
            }
        }
    }

    fn terminate(&mut self, agent: AgentIndex) {
        let (declared, version) = (self.declared.clone(), self.version);
        let entry = &mut self.agents[agent];
        entry.stopping = true;
        entry.closed_since.get_or_insert(self.now);
        let facts = entry.facts(&declared, version);
        self.handle(agent, Event::SettingsChanged(facts));
    }
}

fn set_out(declared: &mut Declarations, name: &str, out: bool) {
    for domain in &mut declared.domains {
        if &*domain.name == name {
            domain.out = out;
        }
    }
}

fn drain(declared: &mut Declarations, name: &str) {
    for server in &mut declared.servers {
        if &*server.name == name {
            server.drained = true;
        }
    }
}
