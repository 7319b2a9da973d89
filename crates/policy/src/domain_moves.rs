//! Failure domains that operators take out and bring back.

use declarations::Declarations;
use proto::prelude::*;
use std::collections::BTreeMap;

/// Settings of [`DomainTracker`].
#[derive(Debug, Clone, PartialEq)]
pub struct DomainRampConfig {
    /// Share of its usual work that a domain gets when it has just come back.
    pub initial_share: f64,
    /// Time from then until it gets all.
    pub ramp_time: Duration,
}

impl Default for DomainRampConfig {
    fn default() -> Self {
        Self {
            initial_share: 0.1,
            ramp_time: Duration::from_secs(10),
        }
    }
}

/// A domain that moved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DomainChange {
    /// It was taken out.
    TakenOut(DomainId),
    /// It was brought back.
    BroughtBack(DomainId),
}

/// Follows which failure domains are out, and lets work return to them gradually.
///
/// All gateways see a domain come back in the same moment and find it empty, so each would send
/// it all it has.
#[derive(Debug)]
pub struct DomainTracker {
    cfg: DomainRampConfig,
    out: BTreeMap<DomainId, bool>,
    back_since: BTreeMap<DomainId, Duration>,
}

impl DomainTracker {
    /// Knows no domain yet.
    pub fn new(cfg: DomainRampConfig) -> Self {
        Self {
            cfg,
            out: BTreeMap::new(),
            back_since: BTreeMap::new(),
        }
    }

    /// Takes a configuration into force; tells which domains moved. At the first configuration
    /// none has.
    pub fn configure(&mut self, now: Duration, declared: &Declarations) -> Vec<DomainChange> {
        let is_first = self.out.is_empty();
        let mut moves = Vec::new();
        for domain in &declared.domains {
            let name = domain.name.clone();
            let was_out = self.out.insert(name.clone(), domain.out).unwrap_or(true);
            if is_first || was_out == domain.out {
                continue;
            }
            if domain.out {
                self.back_since.remove(&name);
                moves.push(DomainChange::TakenOut(name));
            } else {
                self.back_since.insert(name.clone(), now);
                moves.push(DomainChange::BroughtBack(name));
            }
        }
        self.out.retain(|name, _| declared.domain(name).is_some());
        moves
    }

    /// Share of its usual work that a domain is to get now, from zero to one.
    pub fn traffic_share(&self, now: Duration, domain: &str) -> f64 {
        if self.out.get(domain).copied().unwrap_or(true) {
            return 0.0;
        }
        let Some(since) = self.back_since.get(domain) else {
            return 1.0;
        };
        let passed = now.saturating_sub(*since).as_secs_f64() / self.cfg.ramp_time.as_secs_f64();
        (self.cfg.initial_share + (1.0 - self.cfg.initial_share) * passed).min(1.0)
    }
}
