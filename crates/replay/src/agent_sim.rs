//! State of a simulated agent and its engine.

use crate::message::ToGateway;
use declarations::Declarations;
use policy::TraceServer;
use policy::{Job, Scheduler, SchedulerConfig, ServerSettings};
use proto::{AttemptId, ConfigVersion, Epoch};
use standins::{EngineRequest, EngineSim, EngineSpec};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const WARM_UP_TIME: Duration = Duration::from_secs(3);
const ENGINE_RESTART_TIME: Duration = Duration::from_secs(2);

/// An agent and the engine on its host.
#[derive(Debug)]
pub(crate) struct AgentSim {
    pub(crate) spec: TraceServer,
    pub(crate) scheduler: Scheduler,
    pub(crate) engine: EngineSim,
    pub(crate) incarnation: u64,
    pub(crate) alive: bool,
    pub(crate) frozen_until: Duration,
    pub(crate) terminating: bool,
    pub(crate) jobs: BTreeMap<AttemptId, Job>,
    pub(crate) at_engine: BTreeSet<AttemptId>,
    pub(crate) config_version: ConfigVersion,
    pub(crate) epoch: Epoch,
    /// Since when the server is closed to new work: drained, out with its failure domain, or
    /// terminating.
    pub(crate) closed_since: Option<Duration>,
    /// When [`policy::FaultKind::ColdStart`] last put the engine back into cold start.
    pub(crate) cold_start_at: Option<Duration>,
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
            terminating: false,
            jobs: BTreeMap::new(),
            at_engine: BTreeSet::new(),
            config_version: 0,
            epoch: 1,
            closed_since: None,
            cold_start_at: None,
        }
    }

    /// Starts a new incarnation of the agent; the engine keeps running.
    pub(crate) fn restart(&mut self) {
        self.scheduler = new_scheduler(&self.spec);
        self.incarnation += 1;
        self.epoch += 1;
        self.alive = true;
        self.terminating = false;
        self.frozen_until = Duration::ZERO;
        self.jobs.clear();
        self.at_engine.clear();
    }

    /// Replaces the engine by a new one in cold start.
    pub(crate) fn replace_engine(&mut self) {
        let cold = TraceServer {
            cold: true,
            ..self.spec.clone()
        };
        self.engine = EngineSim::new(engine_spec(&cold));
    }

    /// Scheduler settings of this server under the given configuration. Limits come from the trace.
    /// Prefill rate and decode interval are set only if the engine's reports leave out cold start.
    pub(crate) fn settings(
        &self,
        declared: &Declarations,
        version: ConfigVersion,
    ) -> ServerSettings {
        let server = declared.server(&self.spec.name);
        let domain = declared.domain(&self.spec.domain);
        let cold_is_unreported = !self.spec.says_cold;
        ServerSettings {
            config: version,
            epoch: self.epoch,
            warm_limit: self.spec.warm_limit,
            cold_limit: self.spec.cold_limit,
            prefill_rate: cold_is_unreported.then_some(self.spec.prefill_rate),
            decode_interval: cold_is_unreported.then(|| EngineSpec::default().decode_interval(1)),
            memory_tokens: Some(self.spec.memory_tokens),
            can_suspend: true,
            domain_out: domain.is_none_or(|domain| domain.out),
            draining: self.terminating || server.is_none_or(|server| server.drained),
        }
    }

    /// Request to send to the engine for an attempt; `None` if the attempt is unknown.
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

    /// Drops an attempt and cancels it at the engine. Returns whether the engine had it.
    pub(crate) fn drop_attempt(&mut self, now: Duration, attempt: AttemptId) -> bool {
        self.jobs.remove(&attempt);
        let was_at_engine = self.at_engine.remove(&attempt);
        if was_at_engine {
            self.engine.cancel(now, &attempt.to_string());
        }
        was_at_engine
    }

    /// Finds the attempt at the engine whose id has this text form.
    pub(crate) fn find_attempt(&self, id: &str) -> Option<AttemptId> {
        let mut known = self.at_engine.iter().copied();
        known.find(|attempt| *attempt.to_string() == *id)
    }
}

/// Whether no further message about the attempt follows this one.
pub(crate) fn is_final(message: &ToGateway) -> bool {
    matches!(
        message,
        ToGateway::Refused(_)
            | ToGateway::End { .. }
            | ToGateway::Failed(_)
            | ToGateway::ConnectionLost
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
        warm_up: WARM_UP_TIME,
        restart_time: ENGINE_RESTART_TIME,
        ..EngineSpec::default()
    }
}
