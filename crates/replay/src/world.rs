//! One gateway, its agents and their engines in virtual time.

use crate::agent_sim::AgentSim;
use crate::gateway_sim::RequestSim;
use crate::message::{AgentIndex, Ev, Step, ToGateway};
use crate::observer::Observer;
use declarations::{Declarations, Domain, Server, ServerKind};
use policy::{FaultKind, TraceRequest, TraceServer};
use policy::{Member, Members, Router, RouterConfig};
use proto::{AttemptId, ConfigVersion};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub(crate) const HOP: Duration = Duration::from_millis(1);
const REPORT_TIME: Duration = Duration::from_millis(250);
const SPREAD_TIME: Duration = Duration::from_millis(300);

/// The world.
#[derive(Debug)]
pub struct World {
    pub(crate) now: Duration,
    pub(crate) router: Router,
    pub(crate) agents: Vec<AgentSim>,
    pub(crate) requests: Vec<RequestSim>,
    pub(crate) declared: Arc<Declarations>,
    pub(crate) version: ConfigVersion,
    pub(crate) observer: Observer,
    pub(crate) armed: Option<(Step, FaultKind)>,
    pub(crate) struck: Option<Duration>,
    queue: BTreeMap<(Duration, u64), Ev>,
    sequence: u64,
}

impl World {
    /// A world of these backend servers, with a configuration in force everywhere.
    pub fn new(servers: &[TraceServer]) -> Self {
        let declared = Arc::new(declare(servers));
        let cfg = RouterConfig {
            domain: servers.first().map_or("", |server| &server.domain).into(),
            retry_after: Duration::from_secs(1),
            seed: 1,
        };
        let mut world = Self {
            now: Duration::ZERO,
            router: Router::new(cfg),
            agents: servers.iter().cloned().map(AgentSim::new).collect(),
            requests: Vec::new(),
            declared: declared.clone(),
            version: 1,
            observer: Observer::default(),
            armed: None,
            struck: None,
            queue: BTreeMap::new(),
            sequence: 0,
        };
        world.router.configure(declared.clone(), members(servers));
        for agent in 0..servers.len() {
            world.in_force(agent, declared.clone(), 1);
            world.after(HOP, Ev::Report(agent, 0));
        }
        world
    }

    /// Strikes with a fault when the step is next reached.
    pub fn arm(&mut self, step: Step, fault: FaultKind) {
        self.armed = Some((step, fault));
    }

    /// When the armed fault struck.
    pub fn struck(&self) -> Option<Duration> {
        self.struck
    }

    /// What was seen at callers and engines.
    pub fn observer(&self) -> &Observer {
        &self.observer
    }

    /// Adds a request that comes at `at`.
    pub fn request(&mut self, at: Duration, request: TraceRequest) {
        self.schedule(at, Ev::Request(request));
    }

    /// Adds a fault of a server that strikes at `at`; unknown servers have none.
    pub fn fault(&mut self, at: Duration, server: &str, kind: FaultKind) {
        if let Some(agent) = self.agent_index(server) {
            self.schedule(at, Ev::Fault(agent, kind));
        }
    }

    /// Commits a changed configuration at `at`.
    pub fn configure(&mut self, at: Duration, change: impl FnOnce(&mut Declarations)) {
        let mut declared = (*self.declared).clone();
        change(&mut declared);
        self.declared = Arc::new(declared);
        self.version += 1;
        self.schedule(at, Ev::Configure(self.declared.clone(), self.version));
    }

    /// Runs until `end`.
    pub fn run_until(&mut self, end: Duration) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), ev) = entry.remove_entry();
            self.now = self.now.max(at);
            self.take(ev);
        }
        self.now = self.now.max(end);
        for agent in 0..self.agents.len() {
            self.drive_engine(agent);
        }
    }

    pub(crate) fn agent_index(&self, server: &str) -> Option<AgentIndex> {
        let mut names = self.agents.iter().map(|agent| &*agent.spec.name);
        names.position(|name| name == server)
    }

    pub(crate) fn after(&mut self, delay: Duration, ev: Ev) {
        self.schedule(self.now + delay, ev);
    }

    pub(crate) fn schedule(&mut self, at: Duration, ev: Ev) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), ev);
    }

    /// Tells the gateway of an attempt, over the link.
    pub(crate) fn tell_gateway(&mut self, attempt: AttemptId, message: ToGateway) {
        self.after(HOP, Ev::ToGateway(attempt, message));
    }

    fn take(&mut self, ev: Ev) {
        match ev {
            Ev::Request(spec) => self.on_request(spec),
            Ev::Retry(request) => self.start_attempt(request),
            Ev::Deadline(request) => self.on_deadline(request),
            Ev::Silence(request, attempt) => self.on_silence(request, attempt),
            Ev::ToGateway(attempt, message) => self.on_answer(attempt, message),
            Ev::ToAgent(agent, incarnation, message) => {
                self.on_agent_message(agent, incarnation, message);
            }
            Ev::SchedulerTick(agent, incarnation) => self.on_tick(agent, incarnation),
            Ev::EngineWake(agent) => self.drive_engine(agent),
            Ev::Report(agent, incarnation) => {
                if self.on_report(agent, incarnation) {
                    self.after(REPORT_TIME, Ev::Report(agent, incarnation));
                }
            }
            Ev::Submit(agent, incarnation, attempt, priority) => {
                self.on_submit(agent, incarnation, attempt, priority);
            }
            Ev::Configure(declared, version) => self.on_configure(&declared, version),
            Ev::InForce(agent, declared, version) => self.in_force(agent, declared, version),
            Ev::RouterInForce(declared) => {
                let specs: Vec<_> = self.agents.iter().map(|agent| agent.spec.clone()).collect();
                self.router.configure(declared, members(&specs));
            }
            Ev::Restart(agent) => self.on_restart(agent),
            Ev::SpeedUp(agent) => {
                let now = self.now;
                self.agents[agent].engine.set_slow_factor(now, 1.0);
            }
            Ev::Fault(agent, kind) => self.strike(agent, None, kind),
        }
    }

    fn on_configure(&mut self, declared: &Arc<Declarations>, version: ConfigVersion) {
        for agent in 0..self.agents.len() {
            let delay = SPREAD_TIME * (agent as u32 + 1);
            self.after(delay, Ev::InForce(agent, declared.clone(), version));
        }
        self.after(SPREAD_TIME, Ev::RouterInForce(declared.clone()));
        for agent in &mut self.agents {
            let facts = agent.facts(declared, version);
            let is_closed = facts.domain_out || facts.draining;
            match (is_closed, agent.closed_since) {
                (true, None) => agent.closed_since = Some(self.now),
                (false, Some(_)) => agent.closed_since = None,
                _ => {}
            }
        }
    }
}

fn declare(servers: &[TraceServer]) -> Declarations {
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
