//! Simulation of one gateway, its agents and their engines in virtual time.

use crate::agent_sim::AgentSim;
use crate::message::{AgentIndex, SimEvent, Step, ToGateway};
use crate::observer::Observer;
use crate::request_sim::RequestSim;
use declarations::{Declarations, Domain, Server, ServerKind};
use policy::{FaultKind, TraceRequest, TraceServer};
use policy::{Member, Members, Router, RouterConfig};
use proto::{AttemptId, ConfigVersion};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub(crate) const LINK_DELAY: Duration = Duration::from_millis(1);
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const GOSSIP_DELAY: Duration = Duration::from_millis(300);

/// Discrete-event simulation of the request protocol. Runs with the same inputs are identical.
#[derive(Debug)]
pub struct Simulation {
    pub(crate) now: Duration,
    pub(crate) router: Router,
    pub(crate) agents: Vec<AgentSim>,
    pub(crate) requests: Vec<RequestSim>,
    pub(crate) declared: Arc<Declarations>,
    pub(crate) version: ConfigVersion,
    pub(crate) observer: Observer,
    pub(crate) pending_fault: Option<(Step, FaultKind)>,
    pub(crate) fault_injected_at: Option<Duration>,
    queue: BTreeMap<(Duration, u64), SimEvent>,
    sequence: u64,
}

impl Simulation {
    /// Creates a simulation of these backend servers. The initial configuration is active
    /// everywhere from the start.
    pub fn new(servers: &[TraceServer]) -> Self {
        let declared = Arc::new(declarations_for(servers));
        let cfg = RouterConfig {
            domain: servers.first().map_or("", |server| &server.domain).into(),
            retry_after: Duration::from_secs(1),
            seed: 1,
        };
        let mut sim = Self {
            now: Duration::ZERO,
            router: Router::new(cfg),
            agents: servers.iter().cloned().map(AgentSim::new).collect(),
            requests: Vec::new(),
            declared: declared.clone(),
            version: 1,
            observer: Observer::default(),
            pending_fault: None,
            fault_injected_at: None,
            queue: BTreeMap::new(),
            sequence: 0,
        };
        sim.router.configure(declared.clone(), members(servers));
        for agent in 0..servers.len() {
            sim.activate_config(agent, declared.clone(), 1);
            sim.after(LINK_DELAY, SimEvent::ReportLoad(agent, 0));
        }
        sim
    }

    /// Injects a fault once, when an attempt next reaches the step.
    pub fn inject_at_step(&mut self, step: Step, fault: FaultKind) {
        self.pending_fault = Some((step, fault));
    }

    /// When the fault of [`Self::inject_at_step`] was injected; `None` before.
    pub fn fault_injected_at(&self) -> Option<Duration> {
        self.fault_injected_at
    }

    /// Observations up to the current time.
    pub fn observer(&self) -> &Observer {
        &self.observer
    }

    /// Schedules a request that arrives at `at`.
    pub fn schedule_request(&mut self, at: Duration, request: TraceRequest) {
        self.schedule(at, SimEvent::SendRequest(request));
    }

    /// Schedules a fault of a server at `at`; ignored if the server is unknown.
    pub fn schedule_fault(&mut self, at: Duration, server: &str, kind: FaultKind) {
        if let Some(agent) = self.agent_index(server) {
            self.schedule(at, SimEvent::InjectFault(agent, kind));
        }
    }

    /// Applies `change` to the latest configuration and schedules its commit at `at`.
    pub fn commit_config(&mut self, at: Duration, change: impl FnOnce(&mut Declarations)) {
        let mut declared = (*self.declared).clone();
        change(&mut declared);
        self.declared = Arc::new(declared);
        self.version += 1;
        self.schedule(
            at,
            SimEvent::CommitConfig(self.declared.clone(), self.version),
        );
    }

    /// Processes all events up to `end` and advances the time to `end`.
    pub fn run_until(&mut self, end: Duration) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), ev) = entry.remove_entry();
            self.now = self.now.max(at);
            self.process_event(ev);
        }
        self.now = self.now.max(end);
        for agent in 0..self.agents.len() {
            self.advance_engine(agent);
        }
    }

    pub(crate) fn agent_index(&self, server: &str) -> Option<AgentIndex> {
        let mut names = self.agents.iter().map(|agent| &*agent.spec.name);
        names.position(|name| name == server)
    }

    pub(crate) fn after(&mut self, delay: Duration, ev: SimEvent) {
        self.schedule(self.now + delay, ev);
    }

    pub(crate) fn schedule(&mut self, at: Duration, ev: SimEvent) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), ev);
    }

    /// Sends a message about an attempt to the gateway, with no fault injected.
    pub(crate) fn send_to_gateway(&mut self, attempt: AttemptId, message: ToGateway) {
        self.after(LINK_DELAY, SimEvent::ToGateway(attempt, message));
    }

    fn process_event(&mut self, ev: SimEvent) {
        match ev {
            SimEvent::SendRequest(spec) => self.on_request(spec),
            SimEvent::Retry(request) => self.start_attempt(request),
            SimEvent::Deadline(request) => self.on_deadline(request),
            SimEvent::SilenceTimeout(request, attempt) => self.on_silence(request, attempt),
            SimEvent::ToGateway(attempt, message) => self.on_agent_reply(attempt, message),
            SimEvent::ToAgent(agent, incarnation, message) => {
                self.on_agent_message(agent, incarnation, message);
            }
            SimEvent::SchedulerTick(agent, incarnation) => self.on_tick(agent, incarnation),
            SimEvent::EngineWakeup(agent) => self.advance_engine(agent),
            SimEvent::ReportLoad(agent, incarnation) => {
                if self.report_load(agent, incarnation) {
                    self.after(REPORT_INTERVAL, SimEvent::ReportLoad(agent, incarnation));
                }
            }
            SimEvent::SubmitToEngine(agent, incarnation, attempt, priority) => {
                self.on_submit(agent, incarnation, attempt, priority);
            }
            SimEvent::CommitConfig(declared, version) => {
                self.on_config_committed(&declared, version);
            }
            SimEvent::ActivateConfig(agent, declared, version) => {
                self.activate_config(agent, declared, version);
            }
            SimEvent::ActivateRouterConfig(declared) => {
                let specs: Vec<_> = self.agents.iter().map(|agent| agent.spec.clone()).collect();
                self.router.configure(declared, members(&specs));
            }
            SimEvent::RestartAgent(agent) => self.on_restart(agent),
            SimEvent::RestoreEngineSpeed(agent) => {
                let now = self.now;
                self.agents[agent].engine.set_slow_factor(now, 1.0);
            }
            SimEvent::InjectFault(agent, kind) => self.inject_fault(agent, None, kind),
        }
    }

    fn on_config_committed(&mut self, declared: &Arc<Declarations>, version: ConfigVersion) {
        for agent in 0..self.agents.len() {
            let delay = GOSSIP_DELAY * (agent as u32 + 1);
            self.after(
                delay,
                SimEvent::ActivateConfig(agent, declared.clone(), version),
            );
        }
        self.after(
            GOSSIP_DELAY,
            SimEvent::ActivateRouterConfig(declared.clone()),
        );
        for agent in &mut self.agents {
            let settings = agent.settings(declared, version);
            let is_closed = settings.domain_out || settings.draining;
            match (is_closed, agent.closed_since) {
                (true, None) => agent.closed_since = Some(self.now),
                (false, Some(_)) => agent.closed_since = None,
                _ => {}
            }
        }
    }
}

fn declarations_for(servers: &[TraceServer]) -> Declarations {
    let mut declared = Declarations::default();
    for spec in servers {
        if declared.domain(&spec.domain).is_none() {
            declared.domains.push(Domain {
                name: spec.domain.clone(),
                region: "region".into(),
                out: false,
            });
        }
        declared.servers.push(Server {
            name: spec.name.clone(),
            kind: ServerKind::Engine,
            host: spec.name.clone(),
            domain: spec.domain.clone(),
            models: Vec::new(),
            service: None,
            memory_bytes: 0,
            warm_limit: spec.warm_limit,
            cold_limit: spec.cold_limit,
            checks_fencing: false,
            checks_identity: false,
            prefill_rate: None,
            decode_interval_ms: None,
            can_suspend: true,
            drained: false,
        });
    }
    declared
}

fn members(servers: &[TraceServer]) -> Arc<Members> {
    let member = |spec: &TraceServer| Member {
        node: spec.name.clone(),
        host: spec.name.clone(),
        domain: spec.domain.clone(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        server: Some(spec.name.clone()),
        epoch: 1,
        leaving: false,
        down: false,
    };
    let nodes = servers
        .iter()
        .map(|spec| (spec.name.clone(), member(spec)))
        .collect();
    Arc::new(Members { nodes })
}
