//! Metrics of an agent.

use policy::ClaimCounts;
use prometheus::{IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};

/// Metrics of an agent, exported as Prometheus text.
#[derive(Debug)]
pub struct Metrics {
    /// Registry that holds all metrics of the process.
    pub registry: Registry,
    /// Attempts that gateways have offered.
    pub offered: IntCounter,
    /// Attempts dispatched to the backend server.
    pub dispatched: IntCounter,
    /// Attempts that ended, by outcome: `finished`, `refused`, `failed` or `cancelled`.
    pub ended: IntCounterVec,
    /// Responses of the backend server to requests of callers whose head is no valid answer.
    pub invalid_answers: IntCounter,
    /// Attempts that wait or run.
    pub outstanding: IntGauge,
    /// Version of the active configuration; zero without one.
    pub config_version: IntGauge,
    /// Counters of [`ClaimCounts`], by their names.
    pub claims: IntGaugeVec,
}

impl Metrics {
    /// Creates all metrics in a new registry. Fails if a name is invalid or registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let offered = IntCounter::new("bergamothold_agent_offers_total", "Attempts offered")?;
        let dispatched = IntCounter::new(
            "bergamothold_agent_dispatches_total",
            "Attempts dispatched to the backend server",
        )?;
        let ended = IntCounterVec::new(
            Opts::new(
                "bergamothold_agent_attempts_total",
                "Attempts that ended, by outcome",
            ),
            &["outcome"],
        )?;
        let invalid_answers = IntCounter::new(
            "bergamothold_agent_invalid_answers_total",
            "Responses of the backend server whose head is no valid answer",
        )?;
        let outstanding = IntGauge::new(
            "bergamothold_agent_outstanding",
            "Attempts that wait or run",
        )?;
        let config_version = IntGauge::new(
            "bergamothold_config_version",
            "Configuration version in force",
        )?;
        let claims = IntGaugeVec::new(
            Opts::new(
                "bergamothold_agent_claims",
                "Claims of requests that may not be repeated, by what became of them",
            ),
            &["kind"],
        )?;
        registry.register(Box::new(claims.clone()))?;
        registry.register(Box::new(offered.clone()))?;
        registry.register(Box::new(dispatched.clone()))?;
        registry.register(Box::new(ended.clone()))?;
        registry.register(Box::new(invalid_answers.clone()))?;
        registry.register(Box::new(outstanding.clone()))?;
        registry.register(Box::new(config_version.clone()))?;
        Ok(Self {
            registry,
            offered,
            dispatched,
            ended,
            invalid_answers,
            outstanding,
            config_version,
            claims,
        })
    }

    /// Sets the metric of claims to the given counters.
    pub fn set_claim_counts(&self, counts: &ClaimCounts) {
        let kinds = [
            ("claimed", counts.claimed),
            ("repeats", counts.repeats),
            ("refused", counts.refused),
            ("in_use", counts.in_use),
            ("commits", counts.commits),
            ("unknown", counts.unknown),
            ("voided", counts.voided),
            ("answers_lost", counts.answers_lost),
            ("swept", counts.swept),
        ];
        for (kind, count) in kinds {
            self.claims.with_label_values(&[kind]).set(count as i64);
        }
    }
}
