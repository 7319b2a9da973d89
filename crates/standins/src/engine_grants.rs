//! Memory that an engine holds for grants, and the segments prefilled in it.

use crate::engine_spec::{EngineReservation, GrantId, ReservationKind};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[derive(Debug)]
pub(crate) struct Grant {
    pub(crate) tokens: u64,
    pub(crate) since: Duration,
    pub(crate) prefilled_to: u64,
    pub(crate) segments: BTreeSet<u32>,
}

/// All grants of an engine.
#[derive(Debug, Default)]
pub(crate) struct Grants {
    grants: BTreeMap<GrantId, Grant>,
    tokens: u64,
}

impl Grants {
    /// Memory held, in tokens.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Grant> {
        self.grants.get(name)
    }

    /// Holds memory; false where `free` does not suffice. Idempotent.
    pub(crate) fn reserve(&mut self, now: Duration, name: &str, tokens: u64, free: u64) -> bool {
        if self.grants.contains_key(name) {
            return true;
        }
        if tokens > free {
            return false;
        }
        let grant = Grant {
            tokens,
            since: now,
            prefilled_to: 0,
            segments: BTreeSet::new(),
        };
        self.grants.insert(name.into(), grant);
        self.tokens += tokens;
        true
    }

    /// Frees a grant. Idempotent.
    pub(crate) fn release(&mut self, name: &str) {
        if let Some(grant) = self.grants.remove(name) {
            self.tokens -= grant.tokens;
        }
    }

    /// Notes that a segment is prefilled.
    pub(crate) fn finish_segment(&mut self, name: &str, segment: u32, to: u64) {
        if let Some(grant) = self.grants.get_mut(name) {
            grant.segments.insert(segment);
            grant.prefilled_to = grant.prefilled_to.max(to);
        }
    }

    pub(crate) fn clear(&mut self) {
        self.grants.clear();
        self.tokens = 0;
    }

    pub(crate) fn oldest_age(&self, now: Duration) -> Duration {
        let ages = self
            .grants
            .values()
            .map(|grant| now.saturating_sub(grant.since));
        ages.max().unwrap_or_default()
    }

    pub(crate) fn reservations(&self, now: Duration) -> impl Iterator<Item = EngineReservation> {
        self.grants
            .iter()
            .map(move |(name, grant)| EngineReservation {
                id: name.clone(),
                kind: ReservationKind::Grant,
                tokens: grant.tokens,
                age_ms: now.saturating_sub(grant.since).as_millis() as u64,
            })
    }
}
