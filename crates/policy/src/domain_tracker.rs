//! Tracks the failure domains that operators take out of service and bring back.

use declarations::Declarations;
use proto::prelude::*;
use std::collections::BTreeMap;

/// Settings of [`DomainTracker`]: how work returns to a failure domain that is brought back.
#[derive(Debug, Clone, PartialEq)]
pub struct DomainRampConfig {
    /// Share of its usual work, from zero to one, that a domain gets right after it is brought
    /// back.
    pub initial_share: f64,
    /// Time over which the share then rises linearly to one.
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

/// A change in the availability of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DomainChange {
    /// The domain was taken out of service.
    TakenOut(DomainId),
    /// The domain was brought back.
    BroughtBack(DomainId),
}

/// Tracks which failure domains are out of service, and ramps up the work of those that come back.
///
/// Without the ramp, all gateways would see a domain come back at the same moment, find it idle
/// and each send all of their work there.
#[derive(Debug)]
pub struct DomainTracker {
    cfg: DomainRampConfig,
    out: BTreeMap<DomainId, bool>,
    back_since: BTreeMap<DomainId, Duration>,
}

impl DomainTracker {
    /// Creates a tracker without any domains.
    pub fn new(cfg: DomainRampConfig) -> Self {
        Self {
            cfg,
            out: BTreeMap::new(),
            back_since: BTreeMap::new(),
        }
    }

    /// Applies a configuration and returns the domains whose availability changed. The first
    /// configuration never reports a change.
    pub fn configure(&mut self, now: Duration, declared: &Declarations) -> Vec<DomainChange> {
        let is_first = self.out.is_empty();
        let mut changes = Vec::new();
        for domain in &declared.domains {
            let name = domain.name.clone();
            let was_out = self.out.insert(name.clone(), domain.out).unwrap_or(true);
            if is_first || was_out == domain.out {
                continue;
            }
            if domain.out {
                self.back_since.remove(&name);
                changes.push(DomainChange::TakenOut(name));
            } else {
                self.back_since.insert(name.clone(), now);
                changes.push(DomainChange::BroughtBack(name));
            }
        }
        self.out.retain(|name, _| declared.domain(name).is_some());
        changes
    }

    /// Share of its usual work that a domain should get now, from zero to one.
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
