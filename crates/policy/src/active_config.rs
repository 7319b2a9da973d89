//! The active declarations of a node, and a log of the changes that led to them.

use bytes::Bytes;
use declarations::{Declarations, Difference};
use proto::{ConfigChange, ConfigContent, ConfigVersion};
use std::collections::VecDeque;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

const MAX_LOG_CHANGES: usize = 64;
const MAX_LOG_BYTES: usize = 256 << 10;
/// Size of a part of the serialized full content, except the last.
const PART_BYTES: usize = 256 << 10;

/// The active configuration of a node.
#[derive(Debug, Clone)]
pub struct ActiveConfig {
    /// Version of `declared`; greater than zero.
    pub version: ConfigVersion,
    /// The declarations, in sorted order.
    pub declared: Arc<Declarations>,
    json: Bytes,
    digest: u64,
    change_log: VecDeque<ConfigChange>,
}

impl ActiveConfig {
    /// Creates a configuration from full declarations, with an empty change log. Returns `None` if
    /// they cannot be serialized.
    pub(crate) fn new(version: ConfigVersion, declared: Declarations) -> Option<Self> {
        let declared = declared.sorted();
        let json = Bytes::from(serde_json::to_vec(&declared).ok()?);
        let digest = xxh3_64(&json);
        Some(Self {
            version,
            declared: Arc::new(declared),
            json,
            digest,
            change_log: VecDeque::new(),
        })
    }

    /// The configuration that follows from this one when the full declarations of a later version
    /// arrive. The difference is added to the change log.
    pub(crate) fn replaced_by(
        &self,
        version: ConfigVersion,
        declared: Declarations,
    ) -> Option<Self> {
        let mut next = Self::new(version, declared)?;
        let difference = Difference::between(&self.declared, &next.declared);
        let change = ConfigChange {
            from: self.version,
            to: version,
            digest: next.digest,
            change: serde_json::to_vec(&difference).ok()?.into(),
        };
        next.change_log = self.change_log.clone();
        next.append_change(change);
        Some(next)
    }

    /// The configuration after applying `changes`. Returns `None` if they do not continue from this
    /// version, bring nothing new or lead to another digest than announced.
    pub(crate) fn with_changes(&self, changes: &[ConfigChange]) -> Option<Self> {
        let mut declared = (*self.declared).clone();
        let mut version = self.version;
        let mut change_log = self.change_log.clone();
        let mut digest = self.digest;
        for change in changes.iter().filter(|change| change.to > self.version) {
            if change.from != version {
                return None;
            }
            let difference: Difference = serde_json::from_slice(&change.change).ok()?;
            declared = difference.apply(&declared);
            version = change.to;
            digest = change.digest;
            change_log.push_back(change.clone());
        }
        let mut next = Self::new(version, declared)?;
        if version == self.version || next.digest != digest {
            return None;
        }
        next.change_log = change_log;
        next.trim_log();
        Some(next)
    }

    /// The changes from an earlier version to this one, if they are still in the log.
    pub(crate) fn changes_since(&self, version: ConfigVersion) -> Option<Vec<ConfigChange>> {
        let start = self
            .change_log
            .iter()
            .position(|change| change.from == version)?;
        Some(self.change_log.iter().skip(start).cloned().collect())
    }

    /// The change that led to this version, if it is in the log.
    pub(crate) fn last_change(&self) -> Option<Vec<ConfigChange>> {
        self.change_log.back().map(|change| vec![change.clone()])
    }

    /// What a peer with an earlier version needs: the changes if they are in the log, otherwise the
    /// first part of the full content.
    pub(crate) fn newer_than(&self, version: ConfigVersion) -> ConfigContent {
        if version >= self.version {
            return ConfigContent::Empty;
        }
        match self.changes_since(version) {
            Some(changes) => ConfigContent::Changes(changes),
            None => self.part(0),
        }
    }

    /// One part of the serialized full content, starting at byte `offset`.
    pub(crate) fn part(&self, offset: u64) -> ConfigContent {
        let total = self.json.len();
        let start = usize::try_from(offset).unwrap_or(total).min(total);
        let end = (start + PART_BYTES).min(total);
        ConfigContent::Part {
            version: self.version,
            offset: start as u64,
            total: total as u64,
            data: self.json.slice(start..end),
        }
    }

    fn append_change(&mut self, change: ConfigChange) {
        self.change_log.push_back(change);
        self.trim_log();
    }

    fn trim_log(&mut self) {
        let mut bytes: usize = self
            .change_log
            .iter()
            .map(|change| change.change.len())
            .sum();
        while self.change_log.len() > MAX_LOG_CHANGES || bytes > MAX_LOG_BYTES {
            let Some(oldest) = self.change_log.pop_front() else {
                return;
            };
            bytes -= oldest.change.len();
        }
    }
}

/// Reassembles the full content of one version from its parts.
#[derive(Debug, Default)]
pub(crate) struct PartAssembler {
    version: ConfigVersion,
    data: Vec<u8>,
}

impl PartAssembler {
    /// Adds a part. Returns the version and declarations once the last part has arrived. A part of
    /// another version, or one at offset zero, restarts the assembly; a part out of order is
    /// ignored.
    pub(crate) fn add(
        &mut self,
        version: ConfigVersion,
        offset: u64,
        total: u64,
        data: &[u8],
    ) -> Option<(ConfigVersion, Declarations)> {
        if version != self.version || offset == 0 {
            self.version = version;
            self.data.clear();
        }
        if offset != self.data.len() as u64 {
            return None;
        }
        self.data.extend_from_slice(data);
        if (self.data.len() as u64) < total {
            return None;
        }
        let declared = serde_json::from_slice(&self.data);
        self.data = Vec::new();
        Some((version, declared.ok()?))
    }

    /// The version being assembled and the number of bytes received; `None` if nothing is pending.
    pub(crate) fn progress(&self) -> Option<(ConfigVersion, u64)> {
        (!self.data.is_empty()).then_some((self.version, self.data.len() as u64))
    }
}
