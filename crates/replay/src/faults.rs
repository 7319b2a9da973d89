//! Fault injection.

use crate::message::{AgentIndex, SimEvent, Step, ToGateway};
use crate::simulation::{LINK_DELAY, Simulation};
use declarations::Declarations;
use policy::FaultKind;
use policy::SchedulerEvent;
use proto::AttemptId;
use std::time::Duration;

const AGENT_RESTART_TIME: Duration = Duration::from_secs(2);
const AGENT_FREEZE_TIME: Duration = Duration::from_secs(5);
const ENGINE_SLOW_TIME: Duration = Duration::from_secs(5);
const ENGINE_SLOW_FACTOR: f64 = 10.0;
const OPERATOR_RACE_DELAY: Duration = Duration::from_millis(50);

impl Simulation {
    /// Injects the pending fault if it is set for this step, and clears it. Returns the kind of
    /// the injected fault, so that the caller can apply faults of messages.
    pub(crate) fn inject_pending_fault(
        &mut self,
        step: Step,
        agent: AgentIndex,
        attempt: AttemptId,
    ) -> Option<FaultKind> {
        let (pending_step, kind) = self.pending_fault?;
        if pending_step != step {
            return None;
        }
        self.pending_fault = None;
        self.fault_injected_at = Some(self.now);
        self.inject_fault(agent, Some(attempt), kind);
        Some(kind)
    }

    pub(crate) fn inject_fault(
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
                self.schedule(now, SimEvent::EngineWakeup(agent));
            }
            FaultKind::ReplaceHost => {
                self.kill(agent);
                self.agents[agent].replace_engine();
            }
            FaultKind::FreezeAgent => self.agents[agent].frozen_until = now + AGENT_FREEZE_TIME,
            FaultKind::ColdStart => {
                self.agents[agent].engine.return_to_cold_start(now);
                self.agents[agent].cold_start_at = Some(now);
                self.schedule_engine_wakeup(agent);
            }
            FaultKind::SlowEngine => {
                self.agents[agent]
                    .engine
                    .set_slow_factor(now, ENGINE_SLOW_FACTOR);
                self.after(ENGINE_SLOW_TIME, SimEvent::RestoreEngineSpeed(agent));
            }
            FaultKind::CutLink if attempt.is_none() => self.drop_all_attempts(agent),
            FaultKind::DomainOut => {
                self.commit_config(now, |declared| set_domain_out(declared, &domain, true));
            }
            FaultKind::OperatorRace => {
                self.commit_config(now, |declared| set_domain_out(declared, &domain, true));
                self.commit_config(now + OPERATOR_RACE_DELAY, |declared| {
                    set_domain_out(declared, &domain, false);
                });
            }
            FaultKind::Drain => self.commit_config(now, |declared| drain_server(declared, &server)),
            FaultKind::Terminate => self.terminate(agent),
            FaultKind::CutLink
            | FaultKind::LoseMessage
            | FaultKind::DelayMessage
            | FaultKind::DuplicateMessage => {}
        }
    }

    pub(crate) fn on_restart(&mut self, agent: AgentIndex) {
        self.agents[agent].restart();
        self.agents[agent].config_version = 0;
        let (declared, version) = (self.declared.clone(), self.version);
        let settings = self.agents[agent].settings(&declared, version);
        if !settings.domain_out && !settings.draining {
            self.agents[agent].closed_since = None;
        }
        self.activate_config(agent, declared, version);
        let incarnation = self.agents[agent].incarnation;
        self.after(LINK_DELAY, SimEvent::ReportLoad(agent, incarnation));
    }

    /// Kills an agent and schedules its restart. Its connections to the gateway and to the engine
    /// close.
    pub(crate) fn kill(&mut self, agent: AgentIndex) {
        self.drop_all_attempts(agent);
        let now = self.now;
        let entry = &mut self.agents[agent];
        let attempts: Vec<AttemptId> = entry.at_engine.iter().copied().collect();
        for attempt in attempts {
            entry.engine.connection_closed(now, &attempt.to_string());
        }
        entry.at_engine.clear();
        entry.jobs.clear();
        entry.alive = false;
        self.after(AGENT_RESTART_TIME, SimEvent::RestartAgent(agent));
    }

    fn drop_all_attempts(&mut self, agent: AgentIndex) {
        let attempts: Vec<AttemptId> = self.agents[agent].jobs.keys().copied().collect();
        let alive = self.agents[agent].alive;
        for attempt in attempts {
            self.send_to_gateway(attempt, ToGateway::ConnectionLost);
            if alive {
                self.cancel(agent, attempt);
            }
        }
    }

    fn terminate(&mut self, agent: AgentIndex) {
        let (declared, version) = (self.declared.clone(), self.version);
        let entry = &mut self.agents[agent];
        entry.terminating = true;
        entry.closed_since.get_or_insert(self.now);
        let settings = entry.settings(&declared, version);
        self.handle_scheduler_event(agent, SchedulerEvent::SettingsChanged(settings));
    }
}

fn set_domain_out(declared: &mut Declarations, name: &str, out: bool) {
    for domain in &mut declared.domains {
        if &*domain.name == name {
            domain.out = out;
        }
    }
}

fn drain_server(declared: &mut Declarations, name: &str) {
    for server in &mut declared.servers {
        if &*server.name == name {
            server.drained = true;
        }
    }
}
