//! Failure domains from which operators order requests away.

use crate::restored_store::RestoredStore;
use crate::server_set::DomainName;
use proto::{EvacuationOrder, Revision, era};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Evacuations of failure domains, each from its newest order.
///
/// Load pattern: the store comes back from a copy that lacks an order, which operators write again.
#[derive(Debug, Default)]
pub struct Evacuations {
    known: HashMap<DomainName, Evacuation>,
    store: RestoredStore,
}

#[derive(Debug)]
struct Evacuation {
    is_active: bool,
    /// Revision of the row with the order, or of its removal.
    version: Revision,
}

impl Evacuations {
    /// Applies a row of the store of this revision, or its removal, unless a newer one is known. An order that a
    /// store lacks which has come back from a copy holds until it may have been written again. Returns whether
    /// the row was applied.
    pub fn on_order(
        &mut self,
        domain: DomainName,
        is_active: bool,
        version: Revision,
        now: Duration,
    ) -> bool {
        let knows_rows = !self.known.is_empty();
        self.store.on_revision(version, knows_rows, now);
        if let Some(known) = self.known.get(&domain) {
            if era(version) != era(known.version) {
                self.store.on_several_eras(now);
            }
            let takes_back = known.is_active && !is_active;
            let may_be_older = self.store.may_be_older(version, known.version, now);
            if version <= known.version || takes_back && may_be_older {
                return false;
            }
        }
        self.known.insert(domain, Evacuation { is_active, version });
        true
    }

    /// Domains with an order that is not `listed`, and the revision of each.
    pub fn missing(&self, listed: impl Fn(&str) -> bool) -> Vec<(DomainName, Revision)> {
        let active = self.known.iter().filter(|(_, known)| known.is_active);
        let missing = active.filter(|(domain, _)| !listed(domain));
        missing
            .map(|(domain, known)| (domain.clone(), known.version))
            .collect()
    }

    /// Revision of the store's row for a domain, 0 for none.
    pub fn row(&self, domain: &str) -> Revision {
        let active = self.known.get(domain).filter(|known| known.is_active);
        active.map_or(0, |known| known.version)
    }

    /// Orders and removed ones with their revisions, to pass on.
    pub fn orders(&self) -> Vec<EvacuationOrder> {
        let orders = self.known.iter().map(|(domain, known)| EvacuationOrder {
            domain: domain.clone(),
            is_active: known.is_active,
            version: known.version,
        });
        orders.collect()
    }

    /// Domains that are evacuated.
    pub fn active(&self) -> HashSet<DomainName> {
        let active = self
            .known
            .iter()
            .filter(|(_, evacuation)| evacuation.is_active);
        active.map(|(domain, _)| domain.clone()).collect()
    }
}
