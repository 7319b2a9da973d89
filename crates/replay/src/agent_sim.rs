//! An agent with its engine in the world.

use crate::message::ToGateway;
use declarations::Declarations;
use policy::TraceServer;
use policy::{Job, Scheduler, SchedulerConfig, ServerSettings};
use proto::{AttemptId, ConfigVersion, Epoch};
use standins::{EngineRequest, EngineSim, EngineSpec};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const WARM_UP: Duration = Duration::from_secs(3);
const RESTART_TIME: Duration = Duration::from_secs(2);

/// An agent, and the engine that it stands beside.
#[derive(Debug)]
pub(crate) struct AgentSim {
    pub(crate) spec: TraceServer,
    pub(crate) scheduler: Scheduler,
    pub(crate) engine: EngineSim,
    pub(crate) incarnation: u64,
    pub(crate) alive: bool,
    pub(crate) frozen_until: Duration,
    pub(crate) stopping: bool,
    pub(crate) jobs: BTreeMap<AttemptId, Job>,
    pub(crate) at_engine: BTreeSet<AttemptId>,
    pub(crate) config: ConfigVersion,
    pub(crate) epoch: Epoch,
    pub(crate) closed_since: Option<Duration>,
    /// When the engine last fell back without a word.
    pub(crate) fell_back: Option<Duration>,
}

impl AgentSim {
    pub(crate) fn new(spec: TraceServer) -> Self {
        Self {
            scheduler: new_scheduler(&spec),
            engine: EngineSim::new(engine_spec(&spec)),
            spec,
            incarnation: 0,
            alive: true,
            frozen_until: Duration::ZERO,
            stopping: false,
            jobs: BTreeMap::new(),
            at_engine: BTreeSet::new(),
            config: 0,
            epoch: 1,
            closed_since: None,
            fell_back: None,
        }
    }

    /// Starts the agent anew, beside the same engine.
    pub(crate) fn restart(&mut self) {
        self.scheduler = new_scheduler(&self.spec);
        self.incarnation += 1;
        self.epoch += 1;
        self.alive = true;
        self.stopping = false;
        self.frozen_until = Duration::ZERO;
        self.jobs.clear();
        self.at_engine.clear();
    }

    /// Puts a new engine in the place of the old one.
    pub(crate) fn replace_engine(&mut self) {
        let cold = TraceServer {
            cold: true,
            ..self.spec.clone()
        };
        self.engine = EngineSim::new(engine_spec(&cold));
    }

    /// What the configuration says of the server.
    pub(crate) fn facts(&self, declared: &Declarations, version: ConfigVersion) -> ServerSettings {
        let server = declared.server(&self.spec.name);
        let domain = declared.domain(&self.spec.domain);
        let is_silent = !self.spec.says_cold;
        ServerSettings {
            config: version,
            epoch: self.epoch,
            warm_limit: self.spec.warm_limit,
            cold_limit: self.spec.cold_limit,
            prefill_rate: is_silent.then_some(self.spec.prefill_rate),
            decode_interval: is_silent.then(|| EngineSpec::default().decode_interval(1)),
            memory_tokens: Some(self.spec.memory_tokens),
            can_suspend: true,
            domain_out: domain.is_none_or(|domain| domain.out),
            draining: self.stopping || server.is_none_or(|server| server.drained),
        }
    }

    /// What the engine is asked for an attempt.
    pub(crate) fn engine_request(&self, attempt: AttemptId, priority: u8) -> Option<EngineRequest> {
        let job = self.jobs.get(&attempt)?;
        Some(EngineRequest {
            attempt: attempt.to_string().into(),
            model: job.model.clone(),
            priority,
            prompt_tokens: job.prompt_tokens,
            max_tokens: job.output_tokens,
            prefixes: Vec::new(),
            grant: None,
        })
    }

    /// Forgets an attempt and closes its connection to the engine.
    pub(crate) fn drop_attempt(&mut self, now: Duration, attempt: AttemptId) -> bool {
        self.jobs.remove(&attempt);
        let was = self.at_engine.remove(&attempt);
        if was {
            self.engine.cancel(now, &attempt.to_string());
        }
        was
    }

    /// The attempt of an engine's output.
    pub(crate) fn attempt_of(&self, name: &str) -> Option<AttemptId> {
        let mut known = self.at_engine.iter().copied();
        known.find(|attempt| *attempt.to_string() == *name)
    }
}

/// The last word of an agent on an attempt.
pub(crate) fn is_last(message: &ToGateway) -> bool {
    matches!(
        message,
        ToGateway::Refused(_) | ToGateway::End { .. } | ToGateway::Failed(_) | ToGateway::Broke
    )
}

fn new_scheduler(spec: &TraceServer) -> Scheduler {
    Scheduler::new(SchedulerConfig::for_server(&spec.name))
}

fn engine_spec(spec: &TraceServer) -> EngineSpec {
    EngineSpec {
        prefill_rate: spec.prefill_rate,
        memory_tokens: spec.memory_tokens,
        warm_limit: spec.warm_limit as usize,
        cold_limit: spec.cold_limit as usize,
        starts_cold: spec.cold,
        reports_cold: spec.says_cold,
        warm_up: WARM_UP,
        restart_time: RESTART_TIME,
        ..EngineSpec::default()
    }
}
