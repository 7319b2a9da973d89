//! Failure domains from which operators order requests away.

use policy::DomainName;
use std::collections::{HashMap, HashSet};

/// Evacuations of failure domains, each from its newest order.
#[derive(Debug, Default)]
pub struct Evacuations(HashMap<DomainName, Evacuation>);

#[derive(Debug)]
struct Evacuation {
    is_active: bool,
    version: u64,
    /// Version of the store's row, 0 for none; absent where a peer has told of the order.
    row: Option<u64>,
}

impl Evacuations {
    /// Applies a row of the store of this version, unless a newer one is known.
    pub fn on_order(&mut self, domain: DomainName, is_active: bool, version: u64) {
        let row = if is_active { version } else { 0 };
        self.update(domain, is_active, version, Some(row));
    }

    /// Applies all rows of the store as of `version`, by their domains with the versions of the rows, but for
    /// evacuations known from newer rows.
    pub fn on_listing(&mut self, listed: &HashMap<DomainName, u64>, version: u64) {
        let known: HashSet<DomainName> = self.0.keys().chain(listed.keys()).cloned().collect();
        for domain in known {
            let row = listed.get(&domain).copied();
            let is_active = row.is_some();
            // A later row is shown by its own version.
            let version = version.max(row.unwrap_or_default());
            self.update(domain, is_active, version, Some(row.unwrap_or_default()));
        }
    }

    /// Sets the evacuations that a peer knows as of `version`, but for those known from newer rows.
    pub fn set(&mut self, domains: &[DomainName], version: u64) {
        let active: HashSet<DomainName> = domains.iter().cloned().collect();
        let known: HashSet<DomainName> = self.0.keys().chain(&active).cloned().collect();
        for domain in known {
            let is_active = active.contains(&domain);
            let row = self
                .0
                .get(&domain)
                .filter(|known| known.is_active == is_active);
            // What is known already keeps the row that has shown it.
            let row = row.and_then(|known| known.row);
            self.update(domain, is_active, version, row);
        }
    }

    /// Version of the store's row for a domain, 0 for none; `None` where it is not known.
    pub fn row(&self, domain: &str) -> Option<u64> {
        self.0.get(domain).map_or(Some(0), |known| known.row)
    }

    fn update(&mut self, domain: DomainName, is_active: bool, version: u64, row: Option<u64>) {
        let known = self.0.get(&domain).map(|known| known.version);
        if known.is_none_or(|known| version >= known) {
            let evacuation = Evacuation {
                is_active,
                version,
                row,
            };
            self.0.insert(domain, evacuation);
        }
    }

    /// Domains that are evacuated.
    pub fn active(&self) -> HashSet<DomainName> {
        let active = self.0.iter().filter(|(_, evacuation)| evacuation.is_active);
        active.map(|(domain, _)| domain.clone()).collect()
    }
}
