//! KV cache that an engine reserves for grants, and the segments prefilled into it.

use crate::engine_spec::{EngineReservation, GrantId, ReservationKind};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[derive(Debug)]
pub(crate) struct Grant {
    pub(crate) tokens: u64,
    pub(crate) reserved_at: Duration,
    pub(crate) prefilled_tokens: u64,
    pub(crate) segments: BTreeSet<u32>,
}

/// All grants of an engine.
#[derive(Debug, Default)]
pub(crate) struct Grants {
    grants: BTreeMap<GrantId, Grant>,
    tokens: u64,
}

impl Grants {
    /// KV cache reserved by all grants, in tokens.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Grant> {
        self.grants.get(name)
    }

    /// Reserves memory; false if it needs more than `free` tokens. Idempotent.
    pub(crate) fn reserve(&mut self, now: Duration, name: &str, tokens: u64, free: u64) -> bool {
        if self.grants.contains_key(name) {
            return true;
        }
        if tokens > free {
            return false;
        }
        let grant = Grant {
            tokens,
            reserved_at: now,
            prefilled_tokens: 0,
            segments: BTreeSet::new(),
        };
        self.grants.insert(name.into(), grant);
        self.tokens += tokens;
        true
    }

    /// Releases the memory of a grant. Idempotent.
    pub(crate) fn release(&mut self, name: &str) {
        if let Some(grant) = self.grants.remove(name) {
            self.tokens -= grant.tokens;
        }
    }

    /// Records that a segment is prefilled up to token `to`.
    pub(crate) fn finish_segment(&mut self, name: &str, segment: u32, to: u64) {
        if let Some(grant) = self.grants.get_mut(name) {
            grant.segments.insert(segment);
            grant.prefilled_tokens = grant.prefilled_tokens.max(to);
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
            .map(|grant| now.saturating_sub(grant.reserved_at));
        ages.max().unwrap_or_default()
    }

    pub(crate) fn reservations(&self, now: Duration) -> impl Iterator<Item = EngineReservation> {
        self.grants
            .iter()
            .map(move |(name, grant)| EngineReservation {
                id: name.clone(),
                kind: ReservationKind::Grant,
                tokens: grant.tokens,
                age_ms: now.saturating_sub(grant.reserved_at).as_millis() as u64,
            })
    }
}
