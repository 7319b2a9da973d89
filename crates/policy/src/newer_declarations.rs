//! Whether a gateway knows that newer declarations than its own exist.

use std::collections::HashMap;

/// Decides whether a gateway that has declarations may turn requests away by them.
///
/// Load pattern: a route or a key is added, and requests for it reach gateways that have heard of the new
/// declarations and do not have them yet.
#[derive(Debug, Default)]
pub struct NewerDeclarations {
    /// Versions that peers have in force.
    named: HashMap<Box<str>, u64>,
    /// Version of the store's row that is being decoded.
    decoding: Option<u64>,
}

impl NewerDeclarations {
    /// Records the version that a peer has in force; 0 for none.
    pub fn on_named(&mut self, peer: &str, version: u64) {
        self.named.insert(peer.into(), version);
    }

    /// Records that a peer is gone.
    pub fn on_gone(&mut self, peer: &str) {
        self.named.remove(peer);
    }

    /// Records that the store's row of this version is being decoded.
    pub fn on_decoding(&mut self, row: u64) {
        self.decoding = Some(row);
    }

    /// Records that the row that was being decoded is in force or refused.
    pub fn on_decoded(&mut self) {
        self.decoding = None;
    }

    /// Records that the declarations in force are those of the store's row of this version.
    pub fn on_in_force(&mut self, row: u64) {
        // A peer may bring a row that is still being decoded here.
        self.decoding = self.decoding.filter(|decoding| *decoding > row);
    }

    /// Whether a row of the store is being decoded.
    pub fn is_decoding(&self) -> bool {
        self.decoding.is_some()
    }

    /// Whether what the declarations of the version `own` do not allow may be allowed by newer ones.
    pub fn are_known(&self, own: u64) -> bool {
        self.decoding.is_some() || self.named.values().any(|version| *version > own)
    }
}
