//! The declarations in force at a node, and the changes that led to them.

use bytes::Bytes;
use declarations::{Declarations, Difference};
use proto::{ConfigChange, ConfigContent, ConfigVersion};
use std::collections::VecDeque;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

const LOG_CHANGES: usize = 64;
const LOG_BYTES: usize = 256 << 10;
const PART_BYTES: usize = 256 << 10;

/// Declarations in force.
#[derive(Debug, Clone)]
pub struct ActiveConfig {
    /// Their version.
    pub version: ConfigVersion,
    /// The declarations.
    pub declared: Arc<Declarations>,
    json: Bytes,
    digest: u64,
    log: VecDeque<ConfigChange>,
}

impl ActiveConfig {
    /// Takes whole declarations, with no changes known that led to them.
    pub(crate) fn whole(version: ConfigVersion, declared: Declarations) -> Option<Self> {
        let declared = declared.sorted();
        let json = Bytes::from(serde_json::to_vec(&declared).ok()?);
        let digest = xxh3_64(&json);
        Some(Self {
            version,
            declared: Arc::new(declared),
            json,
            digest,
            log: VecDeque::new(),
        })
    }

    /// The declarations after a later whole version.
    pub(crate) fn moved_to(&self, version: ConfigVersion, declared: Declarations) -> Option<Self> {
        let mut next = Self::whole(version, declared)?;
        let difference = Difference::between(&self.declared, &next.declared);
        let change = ConfigChange {
            from: self.version,
            to: version,
            digest: next.digest,
            change: serde_json::to_vec(&difference).ok()?.into(),
        };
        next.log = self.log.clone();
        next.remember(change);
        Some(next)
    }

    /// The declarations after changes; none where they do not follow on from these.
    pub(crate) fn changed_by(&self, changes: &[ConfigChange]) -> Option<Self> {
        let mut declared = (*self.declared).clone();
        let mut version = self.version;
        let mut log = self.log.clone();
        let mut digest = self.digest;
        for change in changes.iter().filter(|change| change.to > self.version) {
            if change.from != version {
                return None;
            }
            let difference: Difference = serde_json::from_slice(&change.change).ok()?;
            declared = difference.apply(&declared);
            version = change.to;
            digest = change.digest;
            log.push_back(change.clone());
        }
        let mut next = Self::whole(version, declared)?;
        if version == self.version || next.digest != digest {
            return None;
        }
        next.log = log;
        next.trim();
        Some(next)
    }

    /// The changes from an earlier version to this one, if they are still known.
    pub(crate) fn changes_since(&self, version: ConfigVersion) -> Option<Vec<ConfigChange>> {
        let start = self.log.iter().position(|change| change.from == version)?;
        Some(self.log.iter().skip(start).cloned().collect())
    }

    /// The change that led here, if it is known.
    pub(crate) fn last_change(&self) -> Option<Vec<ConfigChange>> {
        self.log.back().map(|change| vec![change.clone()])
    }

    /// The changes from an earlier version, or else the first part of the whole.
    pub(crate) fn newer_than(&self, version: ConfigVersion) -> ConfigContent {
        if version >= self.version {
            return ConfigContent::Empty;
        }
        match self.changes_since(version) {
            Some(changes) => ConfigContent::Changes(changes),
            None => self.part(0),
        }
    }

    /// One part of the whole.
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

    fn remember(&mut self, change: ConfigChange) {
        self.log.push_back(change);
        self.trim();
    }

    fn trim(&mut self) {
        let mut bytes: usize = self.log.iter().map(|change| change.change.len()).sum();
        while self.log.len() > LOG_CHANGES || bytes > LOG_BYTES {
            let Some(oldest) = self.log.pop_front() else {
                return;
            };
            bytes -= oldest.change.len();
        }
    }
}

/// Gathers the parts of whole declarations of one version.
#[derive(Debug, Default)]
pub(crate) struct PartAssembler {
    version: ConfigVersion,
    data: Vec<u8>,
}

impl PartAssembler {
    /// Takes a part; gives the version and declarations where it was the last.
    pub(crate) fn take(
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

    /// Version and bytes gathered so far.
    pub(crate) fn progress(&self) -> Option<(ConfigVersion, u64)> {
        (!self.data.is_empty()).then_some((self.version, self.data.len() as u64))
    }
}
