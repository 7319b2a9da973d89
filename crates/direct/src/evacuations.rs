//! Failure domains from which operators order requests away.

use policy::DomainName;
use proto::{EvacuationOrder, Revision};
use std::collections::{HashMap, HashSet};

/// Evacuations of failure domains, each from its newest order.
#[derive(Debug, Default)]
pub struct Evacuations(HashMap<DomainName, Evacuation>);

#[derive(Debug)]
struct Evacuation {
    is_active: bool,
    /// Revision of the row with the order, or of its removal.
    version: Revision,
}

impl Evacuations {
    /// Applies a row of the store of this revision, or its removal, unless a newer one is known.
    pub fn on_order(&mut self, domain: DomainName, is_active: bool, version: Revision) {
        let known = self.0.get(&domain).map(|known| known.version);
        if known.is_none_or(|known| version > known) {
            self.0.insert(domain, Evacuation { is_active, version });
        }
    }

    /// Domains with an order that is not `listed`.
    pub fn missing(&self, listed: impl Fn(&str) -> bool) -> Vec<DomainName> {
        let active = self.active().into_iter();
        active.filter(|domain| !listed(domain)).collect()
    }

    /// Revision of the store's row for a domain, 0 for none.
    pub fn row(&self, domain: &str) -> Revision {
        let active = self.0.get(domain).filter(|known| known.is_active);
        active.map_or(0, |known| known.version)
    }

    /// Orders and removed ones with their revisions, to pass on.
    pub fn orders(&self) -> Vec<EvacuationOrder> {
        let orders = self.0.iter().map(|(domain, known)| EvacuationOrder {
            domain: domain.clone(),
            is_active: known.is_active,
            version: known.version,
        });
        orders.collect()
    }

    /// Domains that are evacuated.
    pub fn active(&self) -> HashSet<DomainName> {
        let active = self.0.iter().filter(|(_, evacuation)| evacuation.is_active);
        active.map(|(domain, _)| domain.clone()).collect()
    }
}
